// Package claims is the at-most-once log for non-idempotent calls. A call is
// dispatched only after its key is committed to the platform as the claim of one
// dispatcher. No other dispatcher can obtain that claim.
package claims

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	defaultShards          = 8
	defaultFlushInterval   = 100 * time.Millisecond
	defaultSegmentSize     = 4 << 10
	defaultMaxBody         = 512
	defaultClockSkew       = 30 * time.Second
	defaultWritesPerSecond = 40
	defaultRouteTimeout    = time.Second
	defaultCallTimeout     = 2 * time.Second
	defaultCollectInterval = time.Minute

	// maxSegmentSize is the largest allowed segment size, in bytes.
	maxSegmentSize = 16 << 10
	// maxClaimSize is the size, in bytes, that is reserved for a claim's record. It
	// suffices for a long node name.
	maxClaimSize = 256
	// maxHeaderSize is the size, in bytes, that is reserved for the first record of a
	// segment.
	maxHeaderSize = 64
	// minSegmentSize is the smallest allowed segment size, in bytes. It leaves
	// room for one outcome with its body.
	minSegmentSize = 2 << 10

	// conflictBackoff is the maximum of the random pause before a write is retried
	// after a conflict or a lost reply.
	conflictBackoff = 20 * time.Millisecond
	// finishBackoff is the first pause between attempts to record an outcome.
	finishBackoff = 100 * time.Millisecond
	// abandonTimeout bounds the recording of an abandoned claim. It is also the
	// longest pause between attempts to record an outcome.
	abandonTimeout = 5 * time.Second
)

// Options of a Log. Store, Caller, Owner, Node and Incarnation are required.
type Options struct {
	Store  plat.Store
	Caller wire.Caller
	// Owner returns the live member that commits the claims of a shard for all
	// nodes. It affects performance only, not correctness.
	Owner func(service string, shard int) (member.Member, bool)
	// Node and Incarnation identify this daemon as a dispatcher. The incarnation
	// must differ at each start of a daemon.
	Node        string
	Incarnation uint64
	// Shards is the number of shards for a service that has no claims yet. For a
	// service that has claims, the number stored on the platform applies.
	Shards int
	// FlushInterval is the minimum time between two group commits of a shard.
	FlushInterval time.Duration
	// SegmentSize is the maximum size of a segment in bytes, at most 16 KiB.
	// Every write repeats the whole open segment, so smaller segments mean fewer
	// bytes but more writes.
	SegmentSize int
	// MaxBody is the maximum size of a body that is stored with an outcome, in
	// bytes.
	MaxBody int
	// ClockSkew is the maximum allowed difference between the clocks of two nodes.
	ClockSkew time.Duration
	// WritesPerSecond limits this node's rate of platform writes.
	WritesPerSecond float64
	// RouteTimeout bounds the message to a shard's owner. When it has passed, the
	// node writes the claim itself.
	RouteTimeout time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// CollectInterval is the time between two garbage collections.
	CollectInterval time.Duration
	// Rand returns numbers in [0, 1). It is called by several goroutines.
	Rand   func() float64
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	setDefault(&o.Shards, defaultShards)
	setDefault(&o.FlushInterval, defaultFlushInterval)
	setDefault(&o.SegmentSize, defaultSegmentSize)
	setDefault(&o.MaxBody, defaultMaxBody)
	setDefault(&o.ClockSkew, defaultClockSkew)
	setDefault(&o.WritesPerSecond, defaultWritesPerSecond)
	setDefault(&o.RouteTimeout, defaultRouteTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.CollectInterval, defaultCollectInterval)
	o.SegmentSize = min(max(o.SegmentSize, minSegmentSize), maxSegmentSize)
	o.MaxBody = min(o.MaxBody, o.SegmentSize/4)
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

func setDefault[T int | float64 | time.Duration](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}

// Log is a node's access to the claims of all services.
type Log struct {
	options  Options
	writes   *rate.Limiter
	sequence atomic.Uint64

	mu sync.Mutex
	// group runs the shards. It is nil unless Run is running.
	group  *group.Group
	shards map[shardName]*shard
	// shardCounts caches the number of shards of each service.
	shardCounts map[string]int
}

type shardName struct {
	service string
	number  int
}

// New returns a log. Unless Run is running, operations that this node commits
// itself wait until their deadlines.
func New(options Options) *Log {
	options = options.withDefaults()
	burst := max(1, int(options.WritesPerSecond/10))
	return &Log{
		options:     options,
		writes:      rate.NewLimiter(rate.Limit(options.WritesPerSecond), burst),
		shards:      map[shardName]*shard{},
		shardCounts: map[string]int{},
	}
}

// Register adds the handlers of the peer messages.
func (l *Log) Register(mux *wire.Mux) {
	mux.Handle(MethodAcquire, wire.Typed(l.handleAcquire))
	mux.Handle(MethodFinish, wire.Typed(l.handleFinish))
}

// Run commits claims and collects garbage until the context ends.
func (l *Log) Run(ctx context.Context) error {
	g := group.New(ctx)
	l.mu.Lock()
	l.group = g
	for _, s := range l.shards {
		g.Go("claims shard", guard.Loop(l.options.Logger, "claims shard", s.run))
	}
	l.mu.Unlock()
	<-g.Context().Done()
	l.mu.Lock()
	l.group = nil
	l.mu.Unlock()
	return g.Wait()
}

// Acquire claims a call for dispatch. The context must carry the call's
// deadline. If the verdict is Run, the dispatch must use the same context.
//
// An error means that the call was not run and that this Acquire will not cause
// it to run. KeyExpired is the exception: the call may have been run for an
// earlier send of the key. The kinds are Invalid, KeyExpired, Conflict (the key
// was used with another request), PlatformDown and NotStarted (the deadline
// passed).
func (l *Log) Acquire(ctx context.Context, call Call) (Decision, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Decision{}, fault.New(fault.Invalid, "a claim needs a deadline")
	}
	id, keyTime, err := call.identify(time.Now(), l.options.ClockSkew)
	if err != nil {
		return Decision{}, err
	}
	shards, err := l.shardCount(ctx, call.Service)
	if err != nil {
		return Decision{}, notRun(ctx, err)
	}
	claim := Claim{
		service: call.Service, shard: id.shard(shards), id: id,
		claimant: Claimant{Node: l.options.Node, Incarnation: l.options.Incarnation, Sequence: l.sequence.Add(1)},
	}
	result, err := l.acquire(ctx, AcquireParams{
		Service: call.Service, Shard: claim.shard, ID: id[:], Time: keyTime, Digest: call.Digest[:len(id)],
		Claimant: claim.claimant, Attempt: call.Attempt, WindowMS: millis(call.Window),
		TimeoutMS: millis(time.Until(deadline)),
	})
	if err == nil && result.Verdict == Run {
		err = ctx.Err()
	}
	if err != nil {
		err = notRun(ctx, err)
		if mayBeClaimed(err) {
			l.abandon(claim)
		}
		return Decision{}, err
	}
	l.options.Scope.Tagged(map[string]string{"verdict": verdictNames[result.Verdict]}).Counter("claims_decisions").Inc(1)
	return Decision{Verdict: result.Verdict, Claim: claim, Outcome: result.Outcome}, nil
}

var verdictNames = map[Verdict]string{Unknown: "unknown", Run: "run", Recorded: "recorded"}

// notRun returns the error with a kind that states that the call was not run.
// The claim of this Acquire may have been committed, but no other Acquire can use
// it.
func notRun(ctx context.Context, err error) error {
	switch kind := fault.KindOf(err); {
	case kind == fault.Invalid, kind == fault.KeyExpired, kind == fault.Conflict, kind == fault.PlatformDown:
		return err
	case ctx.Err() != nil:
		return fault.Wrap(fault.NotStarted, err, "the time limit passed before the claim was committed")
	}
	return fault.Wrap(fault.PlatformDown, err, "the claim could not be committed; the request was not run")
}

// mayBeClaimed reports whether the claim of an Acquire that failed with err may
// have been committed.
func mayBeClaimed(err error) bool {
	return fault.Is(err, fault.PlatformDown) || fault.Is(err, fault.NotStarted)
}

// abandon records in the background that the call of a claim was not run and
// will not be, in case the claim was committed after all. Without this record
// the verdict for a resend would be Unknown.
func (l *Log) abandon(claim Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group == nil {
		return
	}
	l.group.Go("claims abandon", guard.Task(l.options.Logger, "claims abandon", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, abandonTimeout)
		defer cancel()
		err := l.Finish(ctx, claim, Outcome{Run: fault.RunNo})
		if err != nil && !fault.Is(err, fault.NotFound) {
			l.options.Logger.WithError(err).WithField("service", claim.service).Info("could not record that the call of an abandoned claim was not run")
		}
		return nil
	}))
}

// Finish records the outcome of a claimed call. It retries until the context
// ends. The verdict for a resend is Unknown until the outcome is recorded, and
// Recorded afterwards. If a call is finished twice, the first outcome is kept.
//
// Errors: NotFound (the claim has expired), Invalid (no deadline), PlatformDown
// (the context ended first).
func (l *Log) Finish(ctx context.Context, claim Claim, outcome Outcome) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fault.New(fault.Invalid, "an outcome needs a deadline")
	}
	params := FinishParams{
		Service: claim.service, Shard: claim.shard, ID: claim.id[:], Claimant: claim.claimant,
		Outcome: outcome.trimmed(l.options.MaxBody),
	}
	for wait := finishBackoff; ; wait = min(2*wait, abandonTimeout) {
		params.TimeoutMS = millis(time.Until(deadline))
		err := l.finish(ctx, params)
		switch fault.KindOf(err) {
		case fault.NotFound, fault.Invalid, fault.Stale, fault.Forbidden:
			return err
		}
		if err == nil {
			return nil
		}
		pause(ctx, time.Duration((0.5+l.options.Rand()/2)*float64(wait)))
		if ctx.Err() != nil {
			return fault.Wrap(fault.PlatformDown, err, "the outcome could not be recorded")
		}
	}
}

// acquire sends a claim to the shard's owner. If the owner does not answer, the
// node commits the claim itself. The claimant is the same in both cases, so it
// does not matter whether the owner has committed the claim as well.
func (l *Log) acquire(ctx context.Context, params AcquireParams) (AcquireResult, error) {
	var result AcquireResult
	if address, ok := l.remoteOwner(params.Service, params.Shard); ok {
		err := l.send(ctx, address, MethodAcquire, params, &result)
		switch fault.KindOf(err) {
		case fault.Invalid, fault.KeyExpired, fault.Conflict:
			return result, err
		}
		if err == nil {
			return result, nil
		}
		l.count("claims_fallbacks", 1)
		l.options.Logger.WithError(err).WithField("service", params.Service).Debug("shard owner could not commit a claim; committing it on this node")
	}
	return l.shard(params.Service, params.Shard).submit(ctx, &operation{acquire: &params})
}

// finish records an outcome through the shard's owner, or on this node if the
// owner cannot.
func (l *Log) finish(ctx context.Context, params FinishParams) error {
	if address, ok := l.remoteOwner(params.Service, params.Shard); ok {
		var result FinishResult
		err := l.send(ctx, address, MethodFinish, params, &result)
		if err == nil || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Stale) {
			return err
		}
	}
	_, err := l.shard(params.Service, params.Shard).submit(ctx, &operation{finish: &params})
	return err
}

// remoteOwner returns the address of the shard's owner if that is another node.
func (l *Log) remoteOwner(service string, number int) (string, bool) {
	owner, ok := l.options.Owner(service, number)
	return owner.PeerAddress, ok && owner.Name != l.options.Node
}

// send calls the shard's owner. It uses at most half of the time until the
// deadline, so that this node can still commit the operation itself.
func (l *Log) send(ctx context.Context, address, method string, params, result any) error {
	timeout := l.options.RouteTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.options.Caller.Call(ctx, address, method, params, result)
}

func (l *Log) handleAcquire(ctx context.Context, from string, params AcquireParams) (AcquireResult, error) {
	if err := params.check(from); err != nil {
		return AcquireResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(params.TimeoutMS)*time.Millisecond)
	defer cancel()
	return l.shard(params.Service, params.Shard).submit(ctx, &operation{acquire: &params})
}

func (l *Log) handleFinish(ctx context.Context, from string, params FinishParams) (FinishResult, error) {
	if err := params.check(from); err != nil {
		return FinishResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(params.TimeoutMS)*time.Millisecond)
	defer cancel()
	params.Outcome = params.Outcome.trimmed(l.options.MaxBody)
	_, err := l.shard(params.Service, params.Shard).submit(ctx, &operation{finish: &params})
	return FinishResult{}, err
}

// shard returns a shard of a service, which it creates and starts if needed.
func (l *Log) shard(service string, number int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := shardName{service, number}
	s, ok := l.shards[name]
	if !ok {
		s = newShard(l, service, number)
		l.shards[name] = s
		if l.group != nil {
			l.group.Go("claims shard", guard.Loop(l.options.Logger, "claims shard", s.run))
		}
	}
	return s
}

// layout is the stored value that gives the number of shards of a service.
type layout struct {
	Shards int `json:"shards"`
}

// shardCount returns the number of shards of a service. It is stored on the
// platform because two nodes with different numbers would claim the same key in
// different shards.
func (l *Log) shardCount(ctx context.Context, service string) (int, error) {
	l.mu.Lock()
	shards := l.shardCounts[service]
	l.mu.Unlock()
	if shards > 0 {
		return shards, nil
	}
	store := timeoutStore{l.options.Store, l.options.CallTimeout}
	key := "claims/" + url.PathEscape(service) + "/layout"
	entry, err := store.Get(ctx, key)
	if fault.Is(err, fault.NotFound) {
		value, _ := json.Marshal(layout{Shards: l.options.Shards})
		if _, err = store.Put(ctx, key, value, 0); err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.ReplyLost) {
			entry, err = store.Get(ctx, key)
		}
	}
	if err != nil {
		return 0, fault.Wrap(fault.PlatformDown, err, "the layout of the claims is not known; the request was not run")
	}
	var stored layout
	if err := json.Unmarshal(entry.Value, &stored); err != nil || stored.Shards <= 0 {
		return 0, fault.New(fault.Internal, "the layout of the claims is malformed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shardCounts[service] = stored.Shards
	return stored.Shards, nil
}

func (l *Log) count(name string, n int64) { l.options.Scope.Counter(name).Inc(n) }
