package crash

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// The peer calls: MethodReport reports the end of an engine, and MethodList returns the
// quarantines in force.
const (
	MethodReport = "crash.report"
	MethodList   = "crash.list"
	// MethodLearn tells what is known of the ends on a part, and MethodEnds returns that
	// of all parts.
	MethodLearn = "crash.learn"
	MethodEnds  = "crash.ends"
)

// peerTimeout bounds a call to one peer.
const peerTimeout = time.Second

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
	Store Store
	// Registered reports whether a process is registered with the platform. It is nil where
	// processes do not register, and false for processes without a start time: their
	// successor has the same name. Current reports whether what this host knows of the
	// registrations is up to date.
	Registered func(process string) bool
	Current    func() bool
	Group      *group.Group
	Log        logrus.FieldLogger
	Metrics    tally.Scope
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
	m.Handle(MethodReport, wire.Typed(func(_ context.Context, from string, report Report) (struct{}, error) {
		r.apply(report, from, takeoverDelay)
		return struct{}{}, nil
	}))
	m.Handle(MethodLearn, wire.Typed(func(_ context.Context, _ string, e Ends) (struct{}, error) {
		r.Learn(e)
		return struct{}{}, nil
	}))
	m.Handle(MethodEnds, wire.Typed(func(context.Context, string, struct{}) ([]Ends, error) { return r.AllEnds(), nil }))
	m.Handle(MethodList, wire.Typed(func(context.Context, string, struct{}) ([]Quarantine, error) {
		active, _ := r.Quarantines()
		return active, nil
	}))
}

// Report records the end of an engine that this host observed, and reports it to the
// other hosts without waiting for them. Of a request that had begun to be answered and was
// not on trial they are told from the sharedEnds-th end on.
func (r *Registry) Report(report Report) {
	r.apply(report, r.options.Members.Self().Name, 0)
	if !report.Begun || len(report.Suspects) > 0 {
		r.tell(MethodReport, report)
		return
	}
	if e := r.EndsOf(report.Content.Whole); len(e.Engines) >= sharedEnds {
		r.tell(MethodLearn, e)
	}
}

// apply records a report of a host. A quarantine that follows from it is published after
// the delay, unless another host does so before.
func (r *Registry) apply(report Report, reporter string, delay time.Duration) {
	q, decided := r.Ended(report)
	fields := logrus.Fields{
		"event": "engine_ended", "engine": report.Engine, "reporter": reporter, "request_part": report.Content.Whole, "parts": report.Content.Shared,
		"begun": report.Begun, "trial": report.Suspects,
	}
	if !decided {
		r.options.Log.WithFields(fields).Info("an engine ended while it ran a request")
		return
	}
	r.options.Metrics.Counter("quarantines_total").Inc(1)
	fields["event"], fields["quarantine"], fields["until"] = "quarantined", q.Parts, q.Until
	r.options.Log.WithFields(fields).Warn("an engine ended in the trial of suspected content; requests with it are refused")
	guard.Locked(&r.mu, func() { r.dueAt[q.Key()] = time.Now().Add(delay) })
	r.wakeRun()
}

func (r *Registry) wakeRun() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
