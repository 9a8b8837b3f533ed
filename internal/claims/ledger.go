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

// ledger keeps a node's copy of the log of one shard and appends to that log.
//
// The log is a sequence of numbered segments. Every record is committed by a
// compare-and-swap on the key of the open segment, from the revision of the copy.
// This key is never deleted. A write that succeeds therefore proves that nothing was
// claimed since the copy was read, however long the writer was paused. A segment that
// has no room left is closed by its last record. It is then sealed, that is, stored
// under its own number, before the open segment restarts with the next number. A
// sealed segment is never changed.
type ledger struct {
	store  plat.Store
	prefix string

	// loaded reports whether the copy has been read from the platform.
	loaded bool
	// number, revision, content and closed describe the open segment. Revision
	// zero means that no segment was ever written.
	number   uint64
	revision plat.Revision
	content  []byte
	closed   bool
	// open indexes the claims of the open segment.
	open   segmentIndex
	sealed []sealedSegment
	claims map[identity]*claim
	// obsolete lists the numbers of the sealed segments below the horizon that
	// might not have been deleted from the platform yet. A segment is below the
	// horizon if none of its keys is newer than the horizon.
	obsolete []uint64
	// horizon is the time of the newest key, in Unix milliseconds, whose claim may
	// have been deleted from the log.
	horizon int64
}

// segmentIndex lists the claims of one segment.
type segmentIndex struct {
	ids []identity
	// newestTime is the highest key time, in Unix milliseconds, of the claims in
	// the segment and of the earlier claims whose outcomes it contains.
	newestTime int64
}

type sealedSegment struct {
	segmentIndex
	number uint64
}

// claim is the copy of a claim, without its identity.
type claim struct {
	// digest is the start of the request's digest, cut to the length of an
	// identity.
	digest      identity
	node        unique.Handle[string]
	incarnation uint64
	sequence    uint64
	time        int64
	outcome     *Outcome
}

func (c *claim) heldBy(claimant Claimant) bool {
	return c.node.Value() == claimant.Node && c.incarnation == claimant.Incarnation && c.sequence == claimant.Sequence
}

const openName = "open"

// maxCatchUp is the maximum number of newly sealed segments that are read one by
// one. If there are more, the whole shard is read with a single call.
const maxCatchUp = 16

func shardPrefix(service string, shard int) string {
	return fmt.Sprintf("claims/%s/%d/", url.PathEscape(service), shard)
}

func newLedger(store plat.Store, service string, shard int) *ledger {
	l := &ledger{store: store, prefix: shardPrefix(service, shard)}
	l.reset()
	return l
}

// reset discards the copy.
func (l *ledger) reset() {
	l.loaded, l.closed = false, false
	l.number, l.revision, l.content = 1, 0, mustEncode(record{Segment: 1})
	l.open, l.sealed, l.obsolete, l.horizon = segmentIndex{}, nil, nil, 0
	l.claims = map[identity]*claim{}
}

func (l *ledger) segmentKey(number uint64) string { return fmt.Sprintf("%s%012d", l.prefix, number) }

// refresh updates the copy to the current revision of the open segment. The open
// segment is read first, and every segment with a lower number was sealed before this
// read. A sealed segment that is missing afterwards was therefore deleted and lies
// below the horizon.
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
		// Only part of the changes may have been applied to the copy.
		l.reset()
		return err
	}
	l.prune()
	return nil
}

// advance updates the copy to an entry of the open segment.
func (l *ledger) advance(ctx context.Context, entry plat.Entry) error {
	number, err := segmentNumber(entry.Value)
	if err != nil {
		return err
	}
	if number > l.number+maxCatchUp {
		l.reset()
	}
	switch {
	case !l.loaded:
		err = l.load(ctx, number)
	case number != l.number:
		err = l.catchUp(ctx, number)
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
		l.open, l.closed, l.number = segmentIndex{}, false, number
		if err := decode(entry.Value, l.apply); err != nil {
			return err
		}
	}
	l.loaded, l.content, l.revision = true, entry.Value, entry.Revision
	return nil
}

// load reads every sealed segment whose number is lower than below.
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

// catchUp reads the segments below a number that were sealed since the copy was
// read, starting with the one that was open at that time.
func (l *ledger) catchUp(ctx context.Context, below uint64) error {
	skip := len(l.content) // the part of the first segment that the copy already has
	for number := l.number; number < below; number++ {
		entry, err := l.store.Get(ctx, l.segmentKey(number))
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

// seal turns the index of the open segment into that of a sealed segment and
// starts an empty one. It changes only the copy.
func (l *ledger) seal(number uint64) {
	l.sealed = append(l.sealed, sealedSegment{segmentIndex: l.open, number: number})
	l.open, l.closed = segmentIndex{}, false
}

// apply adds a record to the copy. Only the first claim of an identity counts.
func (l *ledger) apply(r record) error {
	switch {
	case len(r.ClaimedID) == len(identity{}) && len(r.Digest) == len(identity{}):
		id := identity(r.ClaimedID)
		l.open.newestTime = max(l.open.newestTime, r.Time)
		if _, ok := l.claims[id]; ok {
			return nil
		}
		l.open.ids = append(l.open.ids, id)
		l.claims[id] = &claim{
			digest: identity(r.Digest), node: unique.Make(r.Node),
			incarnation: r.Incarnation, sequence: r.Sequence, time: r.Time,
		}
	case len(r.FinishedID) == len(identity{}) && r.Outcome != nil:
		if c, ok := l.claims[identity(r.FinishedID)]; ok && c.outcome == nil {
			c.outcome = r.Outcome
			l.open.newestTime = max(l.open.newestTime, c.time)
		}
	case r.Segment != 0 || r.Horizon != 0:
		l.horizon = max(l.horizon, r.Horizon)
	case r.Close:
		l.closed = true
	default:
		return fault.New(fault.Internal, "unknown record in a segment of claims")
	}
	return nil
}

// prune removes the sealed segments below the horizon, with their claims, from
// the copy and lists them as obsolete.
func (l *ledger) prune() {
	kept := l.sealed[:0]
	for _, segment := range l.sealed {
		if segment.newestTime > l.horizon {
			kept = append(kept, segment)
			continue
		}
		l.obsolete = append(l.obsolete, segment.number)
		for _, id := range segment.ids {
			delete(l.claims, id)
		}
	}
	l.sealed = kept
}

// append commits records by one compare-and-swap. If the open segment is closed,
// append seals it first and starts the next one. With closing, the write also
// closes the segment.
//
// After any error the copy must be refreshed. A Conflict means that the copy is
// out of date. A ReplyLost means that the write may have taken effect or may do
// so later. A later write from the same base revision decides this: it conflicts if
// the lost write took effect, and otherwise prevents that.
func (l *ledger) append(ctx context.Context, records []record, closing bool) error {
	number, content := l.number, l.content
	if l.closed {
		if err := l.storeClosed(ctx); err != nil {
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
		next = append(next, closeLine...)
	}
	revision, err := l.store.Put(ctx, l.prefix+openName, next, l.revision)
	if err != nil {
		return err
	}
	if l.closed {
		l.seal(l.number)
	}
	l.number, l.content, l.revision, l.closed = number, next, revision, closing
	for _, r := range records {
		if err := l.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// storeClosed stores the closed segment under its own number. All writers store
// the same content, because nothing follows the record that closes a segment, so
// a Conflict means that another writer has already stored it.
func (l *ledger) storeClosed(ctx context.Context) error {
	_, err := l.store.Put(ctx, l.segmentKey(l.number), l.content, 0)
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	return err
}

// expiredUpTo returns the newest key time among the sealed segments whose keys
// are all older than before, or zero if there is no such segment. Both times are
// in Unix milliseconds.
func (l *ledger) expiredUpTo(before int64) int64 {
	var newest int64
	for _, segment := range l.sealed {
		if segment.newestTime < before {
			newest = max(newest, segment.newestTime)
		}
	}
	return newest
}

// deleteObsolete deletes the obsolete segments from the platform.
func (l *ledger) deleteObsolete(ctx context.Context) error {
	for len(l.obsolete) > 0 {
		entry, err := l.store.Get(ctx, l.segmentKey(l.obsolete[0]))
		if err == nil {
			err = l.store.Delete(ctx, entry.Key, entry.Revision)
		}
		if err != nil && !fault.Is(err, fault.NotFound) {
			return err
		}
		l.obsolete = l.obsolete[1:]
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
