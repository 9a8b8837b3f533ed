// Package poison finds prompts that crash engines and keeps them from costing
// the fleet more than two engines each.
package poison

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	defaultSuspectTime = time.Hour
	defaultWatchTime   = 10 * time.Second
	defaultCallTimeout = 2 * time.Second
	defaultSettleTime  = 2 * time.Second
	defaultClockSkew   = 30 * time.Second

	// refreshJitter spreads the reads of all nodes after a change.
	refreshJitter = 500 * time.Millisecond
	// adoptTime is how long a node waits for the blaming node to commit a
	// suspect before it tries to commit the suspect itself.
	adoptTime = 5 * time.Second

	retryPause = 50 * time.Millisecond
	retryMax   = time.Second
	pushLimit  = 32
)

// Options of a Registry. Store, Caller, Peers and Node are required.
type Options struct {
	Store  plat.Store
	Caller wire.Caller
	// Peers returns the members that are alive, with or without this node.
	Peers func() []member.Member
	Node  string
	// SuspectTime is how long a suspect that nobody sends again is kept.
	SuspectTime time.Duration
	// WatchTime bounds one watch. A copy whose last watch ended longer ago than
	// WatchTime plus CallTimeout is stale.
	WatchTime time.Duration
	// CallTimeout bounds one call of the platform or of a peer.
	CallTimeout time.Duration
	// SettleTime is how long Blame waits when a peer did not acknowledge, so
	// that the peer's watch shows it the record.
	SettleTime time.Duration
	// ClockSkew is the largest difference of two clocks.
	ClockSkew time.Duration
	// Rand returns numbers in [0, 1). It is called by several goroutines.
	Rand   func() float64
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	for value, def := range map[*time.Duration]time.Duration{
		&o.SuspectTime: defaultSuspectTime, &o.WatchTime: defaultWatchTime,
		&o.CallTimeout: defaultCallTimeout, &o.SettleTime: defaultSettleTime,
		&o.ClockSkew: defaultClockSkew,
	} {
		if *value <= 0 {
			*value = def
		}
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Verdict says how a prompt may be dispatched.
type Verdict struct {
	State State
	// Until is the end of the quarantine.
	Until time.Time
	// Wait says that a suspect must not be dispatched now: its record is not
	// committed, another dispatch is running it, or the platform is down. Check
	// again, within the request's time limit.
	Wait bool
	// Stale says that the node's copy may be old, because the platform has not
	// answered lately. A Clear verdict may then miss a record.
	Stale bool
}

// pendingMark is a suspect that is not known to be committed.
type pendingMark struct {
	mark Mark
	// due is when this node tries to commit it.
	due time.Time
}

// Registry is a node's copy of all suspects and quarantined prompts.
type Registry struct {
	options Options

	mu      sync.Mutex
	loaded  bool
	shards  [shardCount]map[Fingerprint]Record
	known   [shardCount]plat.Revision
	pending map[Fingerprint][]pendingMark
	// seen is the highest revision that a watch need not report again.
	seen    plat.Revision
	contact time.Time
	down    bool
}

// New returns an empty registry. Run fills it.
func New(options Options) *Registry {
	r := &Registry{options: options.withDefaults(), pending: map[Fingerprint][]pendingMark{}, down: true}
	for i := range r.shards {
		r.shards[i] = map[Fingerprint]Record{}
	}
	return r
}

// Register adds the handler of the peer message.
func (r *Registry) Register(mux *wire.Mux) {
	mux.Handle(MethodPush, wire.Typed(r.handlePush))
}

// Check says how a prompt may be dispatched. It answers from memory. It is
// PlatformDown as long as the node has seen no records at all.
func (r *Registry) Check(_ context.Context, f Fingerprint) (Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return Verdict{}, fault.New(fault.PlatformDown, "the quarantine records are not loaded yet")
	}
	return r.verdict(f, 0), nil
}

// verdict is called with the lock held. Runner is the hash of the dispatch that
// asks, or zero.
func (r *Registry) verdict(f Fingerprint, runner uint64) Verdict {
	now := time.Now()
	v := Verdict{State: Clear, Stale: r.stale(now)}
	record, ok := r.shards[f.shard()][f]
	if ok && now.Before(record.Until) {
		v.State = record.State
	}
	_, pending := r.pending[f]
	switch {
	case v.State == Quarantined:
		v.Until = record.Until
	case v.State == Alone, pending:
		v.State = Alone
		busy := record.Runner != 0 && record.Runner != runner && now.Before(record.RunUntil)
		v.Wait = pending || v.Stale || busy
	}
	return v
}

func (r *Registry) stale(now time.Time) bool {
	return r.down || now.Sub(r.contact) > r.options.WatchTime+r.options.CallTimeout
}

// Reserve commits that a dispatch runs a suspect alone until the deadline of
// the context, which must be the deadline of the dispatch. No other dispatch of
// the prompt is reserved meanwhile. The caller may dispatch if the verdict is
// Clear, or Alone without Wait.
func (r *Registry) Reserve(ctx context.Context, f Fingerprint, dispatch string) (Verdict, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Verdict{}, fault.New(fault.Invalid, "a reservation needs a deadline")
	}
	hash := dispatchHash(dispatch)
	if v, err := r.Check(ctx, f); err != nil || v.State != Alone || v.Wait {
		return v, err
	}
	err := r.update(ctx, f.shard(), func(records map[Fingerprint]Record) bool {
		record, known := records[f]
		busy := record.Runner == hash || record.Runner != 0 && time.Now().Before(record.RunUntil)
		if !known || record.State != Alone || busy {
			return false
		}
		record.Runner, record.RunUntil = hash, deadline.Add(r.options.ClockSkew)
		records[f] = record
		return true
	})
	if err != nil {
		return Verdict{State: Alone, Wait: true, Stale: true}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(f, hash), nil
}

// Release ends a reservation whose dispatch was not started.
func (r *Registry) Release(ctx context.Context, f Fingerprint, dispatch string) error {
	return r.update(ctx, f.shard(), func(records map[Fingerprint]Record) bool {
		record := records[f]
		if record.Runner != dispatchHash(dispatch) {
			return false
		}
		record.Runner, record.RunUntil = 0, time.Time{}
		records[f] = record
		return true
	})
}

// Blame records that an engine died while the marked prompts ran on it. It
// returns when the records are committed and the other nodes know them, so the
// prompts' callers must be answered only afterwards. On PlatformDown the
// records are not committed yet; this node and its peers go on trying and
// meanwhile make the prompts wait.
func (r *Registry) Blame(ctx context.Context, engine string, marks []Mark) error {
	if len(marks) == 0 {
		return nil
	}
	distinct := map[Fingerprint]bool{}
	for _, m := range marks {
		distinct[m.Fingerprint] = true
	}
	marks = slices.Clone(marks)
	for i := range marks {
		marks[i].Alone = marks[i].Alone && len(distinct) == 1
	}
	r.hold(marks, time.Now())
	r.options.Logger.WithFields(logrus.Fields{"engine": engine, "suspects": len(distinct)}).Warn("engine_crash_blamed")
	r.options.Scope.Counter("poison_blames").Inc(1)
	early := group.New(ctx)
	early.Go("poison push", func(ctx context.Context) error {
		r.push(ctx, PushParams{Marks: marks})
		return nil
	})
	err := r.commit(ctx, marks)
	if failed := early.Wait(); err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	if !r.push(ctx, PushParams{Shards: r.states(marks)}) {
		pause(ctx, r.options.SettleTime)
	}
	return nil
}

// hold makes prompts wait until their marks are committed.
func (r *Registry) hold(marks []Mark, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range marks {
		known := func(p pendingMark) bool { return p.mark.Dispatch == m.Dispatch }
		if r.shards[m.Fingerprint.shard()][m.Fingerprint].contains(m) || slices.ContainsFunc(r.pending[m.Fingerprint], known) {
			continue
		}
		r.pending[m.Fingerprint] = append(r.pending[m.Fingerprint], pendingMark{m, due})
	}
}

// commit writes the marks, one shard at a time next to the others.
func (r *Registry) commit(ctx context.Context, marks []Mark) error {
	byShard := map[int][]Mark{}
	for _, m := range marks {
		byShard[m.Fingerprint.shard()] = append(byShard[m.Fingerprint.shard()], m)
	}
	g := group.New(ctx)
	for shard, part := range byShard {
		g.Go("poison commit", func(ctx context.Context) error {
			return r.update(ctx, shard, func(records map[Fingerprint]Record) bool {
				changed := false
				for _, m := range part {
					changed = blame(records, m, r.options.SuspectTime, time.Now()) || changed
				}
				return changed
			})
		})
	}
	err := g.Wait()
	if err == nil {
		// The group does not report functions that its context cut off.
		err = ctx.Err()
	}
	return fault.Wrap(fault.PlatformDown, err, "the suspects could not be committed")
}

// Cleared records that a suspect finished alone.
func (r *Registry) Cleared(ctx context.Context, f Fingerprint) error {
	return r.remove(ctx, f, Alone)
}

// Lift removes a prompt's record, for operators. It is NotFound when there is
// none.
func (r *Registry) Lift(ctx context.Context, f Fingerprint) error {
	return r.remove(ctx, f, Alone, Quarantined)
}

func (r *Registry) remove(ctx context.Context, f Fingerprint, states ...State) error {
	found := false
	err := r.update(ctx, f.shard(), func(records map[Fingerprint]Record) bool {
		if record, ok := records[f]; !ok || !slices.Contains(states, record.State) {
			return false
		}
		found = true
		delete(records, f)
		return true
	})
	if err != nil {
		return err
	}
	if !found {
		return fault.New(fault.NotFound, "the fingerprint has no such record")
	}
	r.push(ctx, PushParams{Shards: r.states([]Mark{{Fingerprint: f}})})
	return nil
}

// List returns all records that have not ended, by fingerprint.
func (r *Registry) List() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	all := map[Fingerprint]Record{}
	for _, records := range r.shards {
		maps.Copy(all, records)
	}
	maps.DeleteFunc(all, func(_ Fingerprint, record Record) bool { return !now.Before(record.Until) })
	return listRecords(all)
}

// update changes a shard by compare-and-swap and tries until the context ends.
// A lost reply is resolved by reading back: change then finds its own effect,
// or its next write competes with the lost one from the same base.
func (r *Registry) update(ctx context.Context, shard int, change func(map[Fingerprint]Record) bool) error {
	for wait := retryPause; ; wait = min(2*wait, retryMax) {
		err := r.tryUpdate(ctx, shard, change)
		switch fault.KindOf(err) {
		case fault.Conflict, fault.ReplyLost, fault.PlatformDown, fault.Timeout:
		default:
			return err
		}
		pause(ctx, time.Duration(r.options.Rand()*float64(wait)))
		if ctx.Err() != nil {
			return fault.Wrap(fault.PlatformDown, err, "the quarantine records could not be written")
		}
	}
}

func (r *Registry) tryUpdate(ctx context.Context, shard int, change func(map[Fingerprint]Record) bool) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	entry, err := r.options.Store.Get(ctx, shardKey(shard))
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	records, err := decodeRecords(entry.Value)
	if err != nil {
		return err
	}
	if !change(records) {
		r.adopt(shard, entry.Revision, records)
		return nil
	}
	maps.DeleteFunc(records, func(_ Fingerprint, record Record) bool { return !time.Now().Before(record.Until) })
	value, err := encodeRecords(records)
	if err != nil {
		return err
	}
	revision, err := r.options.Store.Put(ctx, shardKey(shard), value, entry.Revision)
	if err != nil {
		return err
	}
	r.adopt(shard, revision, records)
	return nil
}

// adopt replaces the copy of a shard by a newer one and forgets pending marks
// that it contains.
func (r *Registry) adopt(shard int, revision plat.Revision, records map[Fingerprint]Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.known[shard] {
		return
	}
	r.known[shard], r.shards[shard] = revision, records
	for f, marks := range r.pending {
		if f.shard() != shard {
			continue
		}
		marks = slices.DeleteFunc(marks, func(p pendingMark) bool { return records[f].contains(p.mark) })
		if r.pending[f] = marks; len(marks) == 0 {
			delete(r.pending, f)
		}
	}
}

// states returns the copies of the shards of some marks.
func (r *Registry) states(marks []Mark) []ShardState {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := map[int]bool{}
	var states []ShardState
	for _, m := range marks {
		if shard := m.Fingerprint.shard(); !done[shard] {
			done[shard] = true
			states = append(states, r.state(shard))
		}
	}
	return states
}

func (r *Registry) state(shard int) ShardState {
	return ShardState{Shard: shard, Revision: r.known[shard], Records: listRecords(r.shards[shard])}
}
