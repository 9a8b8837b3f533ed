package claims

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"unique"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// ledger is a node's copy of the log of one shard.
//
// Every record is committed by a compare-and-swap on one key, the open segment,
// that is never deleted. A write that succeeds therefore proves that nothing
// was claimed since the copy was read, however long its writer was paused. A
// full segment is copied under its number before the open segment starts again
// with the next number; the copy is never changed.
type ledger struct {
	store  plat.Store
	prefix string

	loaded bool
	// number, revision and content are those of the open segment. Revision
	// zero means that no segment was ever written.
	number   uint64
	revision plat.Revision
	content  []byte
	full     bool
	open     batch
	sealed   []sealed
	claims   map[identity]*claim
	// doomed lists sealed segments under the horizon that may still have to be
	// deleted.
	doomed []uint64
	// horizon is the time of the newest key, in Unix milliseconds, that may
	// have been deleted from the log.
	horizon int64
}

// batch lists the claims of one segment.
type batch struct {
	ids []identity
	// newest is the highest key time, in Unix milliseconds.
	newest int64
}

type sealed struct {
	batch
	number uint64
}

// claim is a claimed identity in memory.
type claim struct {
	digest      identity
	node        unique.Handle[string]
	incarnation uint64
	sequence    uint64
	time        int64
	outcome     *Outcome
}

func (c *claim) heldBy(who Claimant) bool {
	return c.node.Value() == who.Node && c.incarnation == who.Incarnation && c.sequence == who.Sequence
}

const openName = "open"

// maxFollow is the largest number of sealed segments that are read one by one;
// beyond it the whole shard is read in one call.
const maxFollow = 16

func shardPrefix(service string, shard int) string {
	return fmt.Sprintf("claims/%s/%d/", url.PathEscape(service), shard)
}

func newLedger(store plat.Store, service string, shard int) *ledger {
	l := &ledger{store: store, prefix: shardPrefix(service, shard)}
	l.reset()
	return l
}

// reset forgets the copy.
func (l *ledger) reset() {
	l.loaded, l.full = false, false
	l.number, l.revision, l.content = 1, 0, mustEncode(record{Segment: 1})
	l.open, l.sealed, l.doomed, l.horizon = batch{}, nil, nil, 0
	l.claims = map[identity]*claim{}
}

func (l *ledger) key(number uint64) string { return fmt.Sprintf("%s%012d", l.prefix, number) }

// refresh brings the copy up to the open segment's present revision. The open
// segment is read first: every segment below its number was sealed before, so
// one that is missing afterwards was deleted and lies under the horizon.
func (l *ledger) refresh(ctx context.Context) error {
	entry, err := l.store.Get(ctx, l.prefix+openName)
	if fault.Is(err, fault.NotFound) {
		if l.revision != 0 {
			return fault.New(fault.Internal, "the open segment of a shard of claims is gone")
		}
		l.loaded = true
		return nil
	}
	if err != nil {
		return err
	}
	if entry.Revision == l.revision {
		return nil
	}
	if err := l.advance(ctx, entry); err != nil {
		// The copy may be half applied.
		l.reset()
		return err
	}
	l.prune()
	return nil
}

func (l *ledger) advance(ctx context.Context, entry plat.Entry) error {
	number, err := segmentNumber(entry.Value)
	if err != nil {
		return err
	}
	if number > l.number+maxFollow {
		l.reset()
	}
	switch {
	case !l.loaded:
		err = l.load(ctx, number)
	case number != l.number:
		err = l.follow(ctx, number)
	case len(entry.Value) < len(l.content):
		err = fault.New(fault.Internal, "a segment of claims has become shorter")
	default:
		// Records are only ever appended to a segment.
		err = decode(entry.Value[len(l.content):], l.apply)
	}
	if err != nil {
		return err
	}
	if !l.loaded || number != l.number {
		l.open, l.full, l.number = batch{}, false, number
		if err := decode(entry.Value, l.apply); err != nil {
			return err
		}
	}
	l.loaded, l.content, l.revision = true, entry.Value, entry.Revision
	return nil
}

// load reads every sealed segment below a number.
func (l *ledger) load(ctx context.Context, below uint64) error {
	entries, err := l.store.List(ctx, l.prefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		number, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, l.prefix), 10, 64)
		if err != nil || number >= below {
			continue
		}
		if err := l.applySealed(number, entry.Value); err != nil {
			return err
		}
	}
	return nil
}

// follow reads the segments that were sealed since the copy was read, starting
// with the one that was open then.
func (l *ledger) follow(ctx context.Context, below uint64) error {
	skip := len(l.content)
	for number := l.number; number < below; number++ {
		entry, err := l.store.Get(ctx, l.key(number))
		if err != nil && !fault.Is(err, fault.NotFound) {
			return err
		}
		if err == nil {
			if err := decode(entry.Value[skip:], l.apply); err != nil {
				return err
			}
		}
		l.seal(number)
		skip = 0
	}
	return nil
}

func (l *ledger) applySealed(number uint64, content []byte) error {
	if err := decode(content, l.apply); err != nil {
		return err
	}
	l.seal(number)
	return nil
}

// seal moves the claims applied since the last seal to a sealed segment.
func (l *ledger) seal(number uint64) {
	l.sealed = append(l.sealed, sealed{batch: l.open, number: number})
	l.open, l.full = batch{}, false
}

// apply adds a record to the copy. The first claim of an identity stands.
func (l *ledger) apply(r record) error {
	switch {
	case len(r.Claim) == len(identity{}) && len(r.Digest) == len(identity{}):
		id := identity(r.Claim)
		l.open.newest = max(l.open.newest, r.Time)
		if _, ok := l.claims[id]; ok {
			return nil
		}
		l.open.ids = append(l.open.ids, id)
		l.claims[id] = &claim{
			digest: identity(r.Digest), node: unique.Make(r.Node),
			incarnation: r.Incarnation, sequence: r.Sequence, time: r.Time,
		}
	case len(r.Finish) == len(identity{}) && r.Outcome != nil:
		if c, ok := l.claims[identity(r.Finish)]; ok && c.outcome == nil {
			c.outcome = r.Outcome
			l.open.newest = max(l.open.newest, c.time)
		}
	case r.Segment != 0 || r.Horizon != 0:
		l.horizon = max(l.horizon, r.Horizon)
	case r.Full:
		l.full = true
	default:
		return fault.New(fault.Internal, "unknown record in a segment of claims")
	}
	return nil
}

// prune forgets the claims of sealed segments under the horizon.
func (l *ledger) prune() {
	kept := l.sealed[:0]
	for _, segment := range l.sealed {
		if segment.newest > l.horizon {
			kept = append(kept, segment)
			continue
		}
		l.doomed = append(l.doomed, segment.number)
		for _, id := range segment.ids {
			delete(l.claims, id)
		}
	}
	l.sealed = kept
}

// append commits records by one compare-and-swap, after copying the segment
// if it is full. After any error the copy must be refreshed: a Conflict says
// that it is old, and a ReplyLost that the records may be committed, now or
// later. A later write from the same base decides which, since only one write
// from a base succeeds.
func (l *ledger) append(ctx context.Context, records []record, closing bool) error {
	number, content := l.number, l.content
	if l.full {
		if err := l.copyFull(ctx); err != nil {
			return err
		}
		number++
		content = mustEncode(record{Segment: number, Horizon: l.horizon})
	}
	next := append(make([]byte, 0, len(content)+len(records)*256), content...)
	for _, r := range records {
		next = append(next, mustEncode(r)...)
	}
	if closing {
		next = append(next, fullLine...)
	}
	revision, err := l.store.Put(ctx, l.prefix+openName, next, l.revision)
	if err != nil {
		return err
	}
	if l.full {
		l.seal(l.number)
	}
	l.number, l.content, l.revision, l.full = number, next, revision, closing
	for _, r := range records {
		if err := l.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// copyFull stores the full open segment under its number. Every writer stores
// the same content, because nothing follows the record that closes a segment.
func (l *ledger) copyFull(ctx context.Context) error {
	_, err := l.store.Put(ctx, l.key(l.number), l.content, 0)
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	return err
}

// expired returns the highest time of the sealed segments whose keys are all
// older than a time. Both times are in Unix milliseconds; zero stands for none.
func (l *ledger) expired(before int64) int64 {
	var newest int64
	for _, segment := range l.sealed {
		if segment.newest < before {
			newest = max(newest, segment.newest)
		}
	}
	return newest
}

// remove deletes the doomed segments.
func (l *ledger) remove(ctx context.Context) error {
	for len(l.doomed) > 0 {
		entry, err := l.store.Get(ctx, l.key(l.doomed[0]))
		if err == nil {
			err = l.store.Delete(ctx, entry.Key, entry.Revision)
		}
		if err != nil && !fault.Is(err, fault.NotFound) {
			return err
		}
		l.doomed = l.doomed[1:]
	}
	return nil
}

// segmentNumber reads the number of a segment from its first record.
func segmentNumber(content []byte) (uint64, error) {
	var number uint64
	first, _, _ := bytes.Cut(content, []byte{'\n'})
	err := decode(first, func(r record) error { number = r.Segment; return nil })
	if err == nil && number == 0 {
		err = fault.New(fault.Internal, "a segment of claims has no number")
	}
	return number, err
}
