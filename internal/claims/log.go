// Package claims is the at-most-once log for non-idempotent calls. A call is
// dispatched only after its key is committed to the platform in the name of one
// dispatcher; a claim is never given to a second one.
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

	// maxSegmentSize bounds a segment, in bytes.
	maxSegmentSize = 16 << 10
	// maxClaimSize is the size of a claim's record with long names, in bytes.
	maxClaimSize = 256
	// maxHeaderSize is the size of the first record of a segment, in bytes.
	maxHeaderSize = 64
	// minSegmentSize leaves room for one outcome with its body, in bytes.
	minSegmentSize = 2 << 10

	conflictPause = 20 * time.Millisecond
	finishPause   = 100 * time.Millisecond
	abandonTime   = 5 * time.Second
)

// Options of a Log. Store, Caller, Owner, Node and Incarnation are required.
type Options struct {
	Store  plat.Store
	Caller wire.Caller
	// Owner names the live member that collects the claims of a shard. It
	// affects speed only.
	Owner func(service string, shard int) (member.Member, bool)
	// Node and Incarnation identify this daemon as a dispatcher. Each start of
	// a daemon needs another incarnation.
	Node        string
	Incarnation uint64
	// Shards is the number of shards of a service that has no claims yet. The
	// platform keeps the number of a service that has.
	Shards int
	// FlushInterval is the least time between two writes of a shard.
	FlushInterval time.Duration
	// SegmentSize is at most 16 KiB, in bytes. Every write repeats the open
	// segment, so small segments save bytes and cost writes.
	SegmentSize int
	// MaxBody is the largest body kept with an outcome, in bytes.
	MaxBody int
	// ClockSkew is the largest difference of two clocks.
	ClockSkew time.Duration
	// WritesPerSecond is this node's budget of platform writes.
	WritesPerSecond float64
	// RouteTimeout bounds the message to a shard's owner. After it the node
	// writes the claim itself.
	RouteTimeout time.Duration
	// CallTimeout bounds one call of the platform.
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

	mu      sync.Mutex
	group   *group.Group
	shards  map[shardName]*shard
	layouts map[string]int
}

type shardName struct {
	service string
	number  int
}

// New returns a log. Run must be running for Acquire and Finish to end before
// their deadlines.
func New(options Options) *Log {
	options = options.withDefaults()
	burst := max(1, int(options.WritesPerSecond/10))
	return &Log{
		options: options,
		writes:  rate.NewLimiter(rate.Limit(options.WritesPerSecond), burst),
		shards:  map[shardName]*shard{},
		layouts: map[string]int{},
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
		g.Go("claims shard", s.run)
	}
	l.mu.Unlock()
	<-g.Context().Done()
	l.mu.Lock()
	l.group = nil
	l.mu.Unlock()
	return g.Wait()
}

// Acquire asks to dispatch a call. The context must carry the call's deadline;
// after Run the dispatch must use the same context.
//
// An error means that the call was not run and will not be run in the name of
// this Acquire, except KeyExpired, which says nothing about earlier sends. The
// kinds are Invalid, KeyExpired, Conflict (the key was used with another
// request), PlatformDown and NotStarted (the deadline passed).
func (l *Log) Acquire(ctx context.Context, call Call) (Decision, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Decision{}, fault.New(fault.Invalid, "a claim needs a deadline")
	}
	id, keyTime, err := call.identify(time.Now(), l.options.ClockSkew)
	if err != nil {
		return Decision{}, err
	}
	shards, err := l.layout(ctx, call.Service)
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

// notRun gives an error a kind that states that the call was not run. The claim
// of this Acquire may be committed, but nobody else can use it.
func notRun(ctx context.Context, err error) error {
	switch kind := fault.KindOf(err); {
	case kind == fault.Invalid, kind == fault.KeyExpired, kind == fault.Conflict, kind == fault.PlatformDown:
		return err
	case ctx.Err() != nil:
		return fault.Wrap(fault.NotStarted, err, "the time limit passed before the claim was committed")
	}
	return fault.Wrap(fault.PlatformDown, err, "the claim could not be committed; the request was not run")
}

func mayBeClaimed(err error) bool {
	return fault.Is(err, fault.PlatformDown) || fault.Is(err, fault.NotStarted)
}

// abandon records, if the claim was committed after all, that its call was not
// run and will not be. Without the record a resend would be answered Unknown.
func (l *Log) abandon(claim Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group == nil {
		return
	}
	l.group.Go("claims abandon", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, abandonTime)
		defer cancel()
		err := l.Finish(ctx, claim, Outcome{Run: fault.RunNo})
		if err != nil && !fault.Is(err, fault.NotFound) {
			l.options.Logger.WithError(err).WithField("service", claim.service).Info("claims_abandon_failed")
		}
		return nil
	})
}

// Finish records the outcome of a claimed call and tries until the context
// ends. A resend is answered with the outcome from then on, and Unknown until
// then. Finishing a call twice keeps the first outcome.
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
	for wait := finishPause; ; wait = min(2*wait, abandonTime) {
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

// acquire sends a claim to the shard's owner. When the owner gives no answer
// the node commits the claim itself; it asks in the same name, so it makes no
// difference whether the owner has committed it too.
func (l *Log) acquire(ctx context.Context, params AcquireParams) (AcquireResult, error) {
	var result AcquireResult
	if address, ok := l.remote(params.Service, params.Shard); ok {
		err := l.send(ctx, address, MethodAcquire, params, &result)
		switch fault.KindOf(err) {
		case fault.Invalid, fault.KeyExpired, fault.Conflict:
			return result, err
		}
		if err == nil {
			return result, nil
		}
		l.count("claims_fallbacks", 1)
		l.options.Logger.WithError(err).WithField("service", params.Service).Debug("claims_owner_unavailable")
	}
	return l.shard(params.Service, params.Shard).submit(ctx, &item{acquire: &params})
}

func (l *Log) finish(ctx context.Context, params FinishParams) error {
	if address, ok := l.remote(params.Service, params.Shard); ok {
		var result FinishResult
		err := l.send(ctx, address, MethodFinish, params, &result)
		if err == nil || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Stale) {
			return err
		}
	}
	_, err := l.shard(params.Service, params.Shard).submit(ctx, &item{finish: &params})
	return err
}

// remote returns the owner's address when the owner is another node.
func (l *Log) remote(service string, number int) (string, bool) {
	owner, ok := l.options.Owner(service, number)
	return owner.PeerAddress, ok && owner.Name != l.options.Node
}

// send leaves at least half of the time for the node's own write.
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
	return l.shard(params.Service, params.Shard).submit(ctx, &item{acquire: &params})
}

func (l *Log) handleFinish(ctx context.Context, from string, params FinishParams) (FinishResult, error) {
	if err := params.check(from); err != nil {
		return FinishResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(params.TimeoutMS)*time.Millisecond)
	defer cancel()
	params.Outcome = params.Outcome.trimmed(l.options.MaxBody)
	_, err := l.shard(params.Service, params.Shard).submit(ctx, &item{finish: &params})
	return FinishResult{}, err
}

func (l *Log) shard(service string, number int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := shardName{service, number}
	s, ok := l.shards[name]
	if !ok {
		s = newShard(l, service, number)
		l.shards[name] = s
		if l.group != nil {
			l.group.Go("claims shard", s.run)
		}
	}
	return s
}

// layout is what the platform keeps about the claims of a service.
type layout struct {
	Shards int `json:"shards"`
}

// layout returns the number of shards of a service. The platform keeps it
// because two nodes with different numbers would claim the same key in
// different shards.
func (l *Log) layout(ctx context.Context, service string) (int, error) {
	l.mu.Lock()
	shards := l.layouts[service]
	l.mu.Unlock()
	if shards > 0 {
		return shards, nil
	}
	store := timedStore{l.options.Store, l.options.CallTimeout}
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
	l.layouts[service] = stored.Shards
	return stored.Shards, nil
}

func (l *Log) count(name string, n int64) { l.options.Scope.Counter(name).Inc(n) }
