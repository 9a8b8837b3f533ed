package crash

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// The peer calls: MethodReport reports the end of an engine, and MethodList returns the
// quarantines in force.
const (
	MethodReport = "crash.report"
	MethodList   = "crash.list"
)

const (
	// reportTimeout bounds the report to one peer.
	reportTimeout = time.Second
	// publishInterval is how often the quarantines of this host are compared with
	// those on the platform, and publishTimeout bounds the calls for one of them.
	publishInterval = 500 * time.Millisecond
	publishTimeout  = time.Second
	// takeoverDelay is how long the host that decided a quarantine has to publish it
	// before the others do.
	takeoverDelay = 2 * time.Second
	// exchangeInterval is how often a host without a store asks a peer for its
	// quarantines.
	exchangeInterval = 2 * time.Second
)

// Members is the part of the cluster membership that the registry uses.
type Members interface {
	Self() member.Member
	Members() []member.Member
}

// Store keeps quarantines on the platform, so that hosts which start or are cut off
// from their peers learn of them.
type Store interface {
	// Publish stores a quarantine until it ends.
	Publish(ctx context.Context, q Quarantine) error
	// Withdraw removes a quarantine.
	Withdraw(ctx context.Context, key string) error
}

// Options are the dependencies of a Registry.
type Options struct {
	Members Members
	Caller  wire.Caller
	// Store is nil if hosts learn quarantines from their peers only.
	Store   Store
	Group   *group.Group
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

// Registry shares what hosts know of content that ends engines. Reports go to all
// hosts at once; quarantines are also kept on the platform.
type Registry struct {
	*Tracker
	options Options
	wake    chan struct{}

	mu sync.Mutex
	// published holds the keys of the quarantines on the platform.
	published map[string]bool
	// dueAt is when this host publishes a quarantine that is not on the platform, by
	// key.
	dueAt map[string]time.Time
}

// NewRegistry returns a registry. Run publishes its quarantines.
func NewRegistry(o Options) *Registry {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Registry{
		Tracker: NewTracker(), options: o, wake: make(chan struct{}, 1),
		published: map[string]bool{}, dueAt: map[string]time.Time{},
	}
}

// Register adds the handler of the reports of other hosts.
func (r *Registry) Register(m *wire.Mux) {
	m.Handle(MethodReport, wire.Typed(func(_ context.Context, _ string, report Report) (struct{}, error) {
		r.apply(report, takeoverDelay)
		return struct{}{}, nil
	}))
	m.Handle(MethodList, wire.Typed(func(context.Context, string, struct{}) ([]Quarantine, error) {
		active, _ := r.Quarantines()
		return active, nil
	}))
}

// Report records the end of an engine that this host observed, and reports it to the
// other hosts without waiting for them. They need not know of requests that had begun
// to be answered, unless these were on trial.
func (r *Registry) Report(report Report) {
	r.apply(report, 0)
	if report.Begun && len(report.Suspects) == 0 {
		return
	}
	self := r.options.Members.Self().Name
	for _, m := range r.options.Members.Members() {
		if m.Name == self || m.State == member.Dead {
			continue
		}
		r.options.Group.Go("crash report", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if err := r.options.Caller.Call(ctx, m.PeerAddress, MethodReport, report, &struct{}{}); err != nil {
				// The host learns of quarantines from the platform.
				r.options.Log.WithError(err).WithFields(logrus.Fields{"event": "crash_report_lost", "member": m.Name}).
					Debug("could not report the end of an engine to another host")
			}
			return nil
		})
	}
}

// apply records a report. A quarantine that follows from it is published after the
// delay, unless another host does so before.
func (r *Registry) apply(report Report, delay time.Duration) {
	q, decided := r.Ended(report)
	fields := logrus.Fields{
		"event": "engine_ended", "engine": report.Engine, "request_part": report.Content.Whole, "parts": report.Content.Shared,
		"begun": report.Begun, "trial": report.Suspects,
	}
	if !decided {
		r.options.Log.WithFields(fields).Info("an engine ended while it ran a request")
		return
	}
	r.options.Metrics.Counter("quarantines_total").Inc(1)
	fields["event"], fields["quarantine"], fields["until"] = "quarantined", q.Parts, q.Until
	r.options.Log.WithFields(fields).Warn("an engine ended in the trial of suspected content; requests with it are refused")
	r.mu.Lock()
	r.dueAt[q.Key()] = time.Now().Add(delay)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Sync adopts the quarantines on the platform.
func (r *Registry) Sync(quarantines []Quarantine) {
	published := map[string]bool{}
	r.mu.Lock()
	known := r.published
	r.mu.Unlock()
	for _, q := range quarantines {
		key := q.Key()
		published[key] = true
		if !known[key] {
			r.Adopt(q)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = published
}

// Run publishes and withdraws quarantines until the context ends, or exchanges them with
// peers if there is no store.
func (r *Registry) Run(ctx context.Context) error {
	interval := publishInterval
	if r.options.Store == nil {
		interval = exchangeInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if r.options.Store == nil {
			r.exchange(ctx, round)
		} else {
			r.publish(ctx)
		}
	}
}

// exchange adopts the quarantines of one of the peers, which take turns.
func (r *Registry) exchange(ctx context.Context, round int) {
	self := r.options.Members.Self().Name
	peers := slices.DeleteFunc(r.options.Members.Members(), func(m member.Member) bool {
		return m.Name == self || m.State != member.Alive
	})
	if len(peers) == 0 {
		return
	}
	peer := peers[round%len(peers)]
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var list []Quarantine
	if err := r.options.Caller.Call(ctx, peer.PeerAddress, MethodList, struct{}{}, &list); err != nil {
		r.options.Log.WithError(err).WithFields(logrus.Fields{"event": "quarantines_not_read", "member": peer.Name}).
			Debug("a host did not answer with its quarantines; the next one is asked")
		return
	}
	for _, q := range list {
		r.Adopt(q)
	}
}

// publish makes the quarantines on the platform those of this host.
func (r *Registry) publish(ctx context.Context) {
	active, refuted := r.Quarantines()
	for _, q := range active {
		if key := q.Key(); r.due(key) {
			r.call(ctx, key, "publish", func(ctx context.Context) error { return r.options.Store.Publish(ctx, q) })
		}
	}
	for _, key := range refuted {
		r.mu.Lock()
		published := r.published[key]
		r.mu.Unlock()
		if published {
			r.call(ctx, key, "withdraw", func(ctx context.Context) error { return r.options.Store.Withdraw(ctx, key) })
		}
	}
}

// due reports whether this host should publish a quarantine now. It then waits for
// takeoverDelay before it tries again.
func (r *Registry) due(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	at, ok := r.dueAt[key]
	if !ok {
		at = now.Add(takeoverDelay)
		r.dueAt[key] = at
	}
	if r.published[key] || now.Before(at) {
		return false
	}
	r.dueAt[key] = now.Add(takeoverDelay)
	return true
}

func (r *Registry) call(ctx context.Context, key, operation string, fn func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	log := r.options.Log.WithFields(logrus.Fields{"event": "quarantine_" + operation, "quarantine_key": key})
	if err := fn(ctx); err != nil {
		log.WithError(err).Warn("the platform did not accept a change of the quarantines; it is tried again")
		return
	}
	log.Info("the platform accepted a change of the quarantines")
}
