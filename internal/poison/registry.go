// Package poison detects prompts that crash engines and limits each of them to at
// most two engine crashes in the whole fleet. A prompt that was running on an
// engine when the engine crashed becomes a suspect and runs alone from then on. If
// an engine crashes again while the prompt runs alone on it, the prompt is
// quarantined.
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

	// refreshJitter is the maximum random delay before a node reads a change, so
	// that not all nodes read the change at the same time.
	refreshJitter = 500 * time.Millisecond
	// takeoverDelay is the minimum delay after which a node tries to commit a
	// suspect that a peer has sent. Until then, only the node that reported the
	// crash tries.
	takeoverDelay = 5 * time.Second

	// minRetryPause and maxRetryPause bound the backoff of platform calls.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// maxConcurrentPushes is the maximum number of peers that one push calls at
	// the same time.
	maxConcurrentPushes = 32
)

// Options of a Registry. Store, Caller, Peers and Node are required.
type Options struct {
	Store  plat.Store
	Caller wire.Caller
	// Peers returns the live members. The list may contain this node.
	Peers func() []member.Member
	Node  string
	// SuspectTime is how long a suspect's record lasts after the suspect's last
	// crash.
	SuspectTime time.Duration
	// WatchTime is the maximum duration of one watch of the platform. The node's
	// copy of the records is stale if the platform has not answered for longer
	// than WatchTime plus CallTimeout.
	WatchTime time.Duration
	// CallTimeout is the maximum duration of one call to the platform or to a peer.
	CallTimeout time.Duration
	// SettleTime is how long RecordCrash waits if a peer did not acknowledge the
	// records, so that the peer can learn of them through its watch.
	SettleTime time.Duration
	// ClockSkew is the maximum allowed difference between the clocks of two nodes.
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
	// Wait means that a suspect must not be dispatched now: its record is not
	// committed, another dispatch has reserved it, or the copy may be out of
	// date. The caller checks again within the request's time limit.
	Wait bool
	// Stale means that the node's copy may be out of date, because the platform
	// has not answered recently. The state may then be Clear although a record
	// exists.
	Stale bool
}

// pendingReport is a crash report that is not known to be committed.
type pendingReport struct {
	report CrashReport
	// due is the time from which this node tries to commit the report.
	due time.Time
}

// Registry is a node's copy of all suspects and quarantined prompts.
type Registry struct {
	options Options

	mu sync.Mutex
	// loaded reports whether the copy was ever filled, from the platform or from
	// a peer.
	loaded bool
	// shards holds the records of each shard, as of its revision in revisions.
	shards    [shardCount]map[Fingerprint]Record
	revisions [shardCount]plat.Revision
	// pending holds the crash reports that are not known to be committed, by
	// prompt. The prompts wait.
	pending map[Fingerprint][]pendingReport
	// watchedRevision is the revision after which the next watch reports changes.
	watchedRevision plat.Revision
	// lastContact is the time at which the copy was last known to be up to date.
	lastContact time.Time
	// platformDown is true from a failed watch or read of the platform until the
	// next successful read, and before the first one.
	platformDown bool
}

// New returns an empty registry. Run fills it.
func New(options Options) *Registry {
	r := &Registry{options: options.withDefaults(), pending: map[Fingerprint][]pendingReport{}, platformDown: true}
	for i := range r.shards {
		r.shards[i] = map[Fingerprint]Record{}
	}
	return r
}

// Register adds the handler of the peer message.
func (r *Registry) Register(mux *wire.Mux) {
	mux.Handle(MethodPush, wire.Typed(r.handlePush))
}

// Check says how a prompt may be dispatched. It answers from memory. It returns
// PlatformDown until the records have been loaded once.
func (r *Registry) Check(_ context.Context, f Fingerprint) (Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return Verdict{}, fault.New(fault.PlatformDown, "the quarantine records are not loaded yet")
	}
	return r.verdict(f, 0), nil
}

// verdict returns the verdict for the dispatch with the given hash, which may have
// reserved the prompt. A hash of zero stands for a dispatch without a reservation.
// The caller must hold the lock.
func (r *Registry) verdict(f Fingerprint, hash uint64) Verdict {
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
	case v.State == Suspected, pending:
		v.State = Suspected
		reservedByOther := record.ReservedBy != 0 && record.ReservedBy != hash && now.Before(record.ReservedUntil)
		v.Wait = pending || v.Stale || reservedByOther
	}
	return v
}

// stale reports whether the copy may be out of date. The caller must hold the
// lock.
func (r *Registry) stale(now time.Time) bool {
	return r.platformDown || now.Sub(r.lastContact) > r.options.WatchTime+r.options.CallTimeout
}

// Reserve reserves a suspect for one dispatch until the deadline of the context,
// which must be the deadline of the dispatch. No other dispatch can reserve the
// prompt until then. The caller may dispatch if the verdict is Clear, or Suspected
// without Wait.
func (r *Registry) Reserve(ctx context.Context, f Fingerprint, dispatch string) (Verdict, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Verdict{}, fault.New(fault.Invalid, "a reservation needs a deadline")
	}
	hash := dispatchHash(dispatch)
	if v, err := r.Check(ctx, f); err != nil || v.State != Suspected || v.Wait {
		return v, err
	}
	err := r.update(ctx, f.shard(), func(records map[Fingerprint]Record) bool {
		record, known := records[f]
		// This dispatch holds the reservation already if the reply to an earlier
		// write was lost.
		reserved := record.ReservedBy == hash || record.ReservedBy != 0 && time.Now().Before(record.ReservedUntil)
		if !known || record.State != Suspected || reserved {
			return false
		}
		record.ReservedBy, record.ReservedUntil = hash, deadline.Add(r.options.ClockSkew)
		records[f] = record
		return true
	})
	if err != nil {
		return Verdict{State: Suspected, Wait: true, Stale: true}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(f, hash), nil
}

// Release ends a reservation whose dispatch was not started.
func (r *Registry) Release(ctx context.Context, f Fingerprint, dispatch string) error {
	return r.update(ctx, f.shard(), func(records map[Fingerprint]Record) bool {
		record := records[f]
		if record.ReservedBy != dispatchHash(dispatch) {
			return false
		}
		record.ReservedBy, record.ReservedUntil = 0, time.Time{}
		records[f] = record
		return true
	})
}

// RecordCrash records that an engine crashed while it ran the reported dispatches. It
// returns when the records are committed and the other nodes know of them. The
// callers of the prompts must not be answered before: a caller may resend at once
// through another node. If that node does not know of the crash, it runs the prompt
// together with others, and the prompt can crash more engines. On PlatformDown the
// records are not committed yet; this node and its peers continue to try, and the
// prompts have to wait in the meantime.
func (r *Registry) RecordCrash(ctx context.Context, engine string, reports []CrashReport) error {
	if len(reports) == 0 {
		return nil
	}
	distinct := map[Fingerprint]bool{}
	for _, report := range reports {
		distinct[report.Fingerprint] = true
	}
	reports = slices.Clone(reports)
	for i := range reports {
		reports[i].Alone = reports[i].Alone && len(distinct) == 1
	}
	r.addPending(reports, time.Now())
	r.options.Logger.WithFields(logrus.Fields{"engine": engine, "suspects": len(distinct)}).Warn("engine crashed; recording the crash for the prompts that ran on it")
	r.options.Scope.Counter("poison_blames").Inc(1)
	pushGroup := group.New(ctx)
	pushGroup.Go("poison push", func(ctx context.Context) error {
		r.push(ctx, PushParams{CrashReports: reports})
		return nil
	})
	err := r.commit(ctx, reports)
	if pushErr := pushGroup.Wait(); err == nil {
		err = pushErr
	}
	if err != nil {
		return err
	}
	if !r.push(ctx, PushParams{Shards: r.shardStates(reports)}) {
		pause(ctx, r.options.SettleTime)
	}
	return nil
}

// addPending makes the prompts of crash reports wait until the reports are committed.
// This node tries to commit them from the time due on.
func (r *Registry) addPending(reports []CrashReport, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		isPending := func(p pendingReport) bool { return p.report.Dispatch == report.Dispatch }
		if r.shards[report.Fingerprint.shard()][report.Fingerprint].counts(report) || slices.ContainsFunc(r.pending[report.Fingerprint], isPending) {
			continue
		}
		r.pending[report.Fingerprint] = append(r.pending[report.Fingerprint], pendingReport{report, due})
	}
}

// commit writes crash reports to the shards of their prompts, all shards
// concurrently.
func (r *Registry) commit(ctx context.Context, reports []CrashReport) error {
	byShard := map[int][]CrashReport{}
	for _, report := range reports {
		byShard[report.Fingerprint.shard()] = append(byShard[report.Fingerprint.shard()], report)
	}
	g := group.New(ctx)
	for shard, shardReports := range byShard {
		g.Go("poison commit", func(ctx context.Context) error {
			return r.update(ctx, shard, func(records map[Fingerprint]Record) bool {
				changed := false
				for _, report := range shardReports {
					changed = addCrash(records, report, r.options.SuspectTime, time.Now()) || changed
				}
				return changed
			})
		})
	}
	err := g.Wait()
	if err == nil {
		// The group returns no error if its functions failed because ctx was
		// cancelled, although they may not have committed the reports.
		err = ctx.Err()
	}
	return fault.Wrap(fault.PlatformDown, err, "the suspects could not be committed")
}

// Clear removes the record of a suspect that ran alone without a crash of its
// engine. It returns NotFound if the prompt is not a suspect.
func (r *Registry) Clear(ctx context.Context, f Fingerprint) error {
	return r.remove(ctx, f, Suspected)
}

// Lift removes the record of a suspect or a quarantined prompt on behalf of an
// operator. It returns NotFound if there is none.
func (r *Registry) Lift(ctx context.Context, f Fingerprint) error {
	return r.remove(ctx, f, Suspected, Quarantined)
}

// remove deletes a record that is in one of the given states, and pushes the
// change to the peers.
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
	r.push(ctx, PushParams{Shards: r.shardStates([]CrashReport{{Fingerprint: f}})})
	return nil
}

// List returns all records that have not expired, sorted by fingerprint.
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

// update changes a shard by compare-and-swap and retries until the context ends.
// When the reply to a write is lost, the shard is read again. If that write has
// taken effect, change must find its effect in the records and report false.
// Otherwise the next write has the same base revision as the lost one, so that only
// one of the two can succeed.
func (r *Registry) update(ctx context.Context, shard int, change func(map[Fingerprint]Record) bool) error {
	for wait := minRetryPause; ; wait = min(2*wait, maxRetryPause) {
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

// tryUpdate reads a shard, applies the change and writes the shard once if change
// reports true.
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
		r.replaceShard(shard, entry.Revision, records)
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
	r.replaceShard(shard, revision, records)
	return nil
}

// replaceShard replaces the copy of a shard unless the revision is older than
// that of the copy, and removes the pending crash reports that the records count.
func (r *Registry) replaceShard(shard int, revision plat.Revision, records map[Fingerprint]Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revisions[shard] {
		return
	}
	r.revisions[shard], r.shards[shard] = revision, records
	for f, reports := range r.pending {
		if f.shard() != shard {
			continue
		}
		reports = slices.DeleteFunc(reports, func(p pendingReport) bool { return records[f].counts(p.report) })
		if r.pending[f] = reports; len(reports) == 0 {
			delete(r.pending, f)
		}
	}
}

// shardStates returns the copies of the shards that the reports' prompts belong to.
func (r *Registry) shardStates(reports []CrashReport) []ShardState {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := map[int]bool{}
	var states []ShardState
	for _, report := range reports {
		if shard := report.Fingerprint.shard(); !done[shard] {
			done[shard] = true
			states = append(states, r.shardState(shard))
		}
	}
	return states
}

// shardState returns the copy of a shard. The caller must hold the lock.
func (r *Registry) shardState(shard int) ShardState {
	return ShardState{Shard: shard, Revision: r.revisions[shard], Records: listRecords(r.shards[shard])}
}
