// Package order reconciles the models of the engines of one cell with the
// configuration: it sends orders to load and unload versions and adapters until
// the engines' load reports show the desired state.
//
// One node, the owner, sends the orders of a cell. Each new owner acquires a fencing
// number on the platform that is higher than all earlier ones. Every order carries
// the owner's number, so that an engine can refuse orders of earlier owners. To load
// a model version, the owner also needs a permit: the permits of all cells are stored
// together and limit the concurrent loads of the whole deployment.
package order

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/confd"
)

const (
	defaultInterval       = time.Second
	defaultOwnershipTTL   = 2 * time.Second
	defaultReportMaxAge   = 10 * time.Second
	defaultLoadTimeout    = 5 * time.Minute
	defaultEffectTimeout  = 15 * time.Second
	defaultRetryPause     = 4 * time.Second
	defaultMaxRetryPause  = time.Minute
	defaultReacquirePause = 15 * time.Second
	defaultPermitPause    = 2 * time.Second
	defaultRolloutShare   = 0.25
	defaultLoadLimit      = 32
	defaultBatchSize      = 16
	defaultMaxAttempts    = 3
	defaultCallsPerSecond = 4
)

// Sender sends one order to an engine. The kind of the error tells the outcome:
//   - Unreachable, Overloaded, RateLimited: the order had no effect.
//   - Stale: the engine has seen a higher fencing number.
//   - Timeout, Canceled, ReplyLost, UpstreamLost: the order may have had an effect.
//   - Any other kind: the engine refused the order.
//
// An order must not be sent after the deadline of its context.
type Sender interface {
	Order(ctx context.Context, address string, order engine.Order) error
}

// Engine is an engine of the cell.
type Engine struct {
	Name    string
	Address string
}

// Desired is the part of the configuration that concerns one cell.
type Desired struct {
	// Revision is the revision of the configuration.
	Revision uint64
	// Fencing tells whether the engines check fencing numbers or ignore them.
	Fencing confd.Fencing
	// Models are the models of the cell's service.
	Models map[string]confd.Model
}

// DesiredOf returns the desired state of the cells of a service. The second
// result is false when the document has no such engine service.
func DesiredOf(doc *confd.Document, revision uint64, service string) (Desired, bool) {
	s, ok := doc.Services[service]
	if !ok || s.Kind != confd.KindEngine {
		return Desired{}, false
	}
	d := Desired{Revision: revision, Fencing: s.Fencing, Models: map[string]confd.Model{}}
	for _, name := range s.Models {
		d.Models[name] = doc.Models[name]
	}
	return d, true
}

// Options configure a Reconciler. Cell, Node, Store, Sender, Engines, Report and
// Desired are required.
type Options struct {
	// Cell is the name of the cell, Node that of this node.
	Cell, Node string
	Store      plat.Store
	Sender     Sender
	// Engines returns the engines of the cell.
	Engines func() []Engine
	// Report returns the last load report of an engine, which lists the loaded
	// models, and the time at which the report was requested. The third result is
	// false when there is none.
	Report func(name string) (engine.LoadReport, time.Time, bool)
	// Desired returns the configuration in force; false when there is none.
	Desired func() (Desired, bool)

	// Interval is the time between two rounds.
	Interval time.Duration
	// OwnershipTTL is how long a confirmation of this node's fencing number is
	// valid, counted from the start of the platform call that confirmed it. The end
	// of this time is the deadline of every order. All nodes need the same value,
	// because a new owner waits this long for the orders of the earlier one.
	OwnershipTTL time.Duration
	// ReportMaxAge is the age above which a load report is ignored.
	ReportMaxAge time.Duration
	// LoadTimeout is the maximum time from a load order to its effect. A permit
	// that has not changed for longer than LoadTimeout plus ReportMaxAge expires.
	LoadTimeout time.Duration
	// EffectTimeout is the time after which an accepted order other than a load
	// is repeated.
	EffectTimeout time.Duration
	// RetryPause is the first pause before an order is repeated; the pause doubles
	// up to MaxRetryPause. RetryPause must be at least the lag of the load reports,
	// so that a report can show the effect of an order before it is repeated.
	RetryPause, MaxRetryPause time.Duration
	// ReacquirePause is the minimum time from the loss of the ownership to the
	// next attempt to acquire it.
	ReacquirePause time.Duration
	// PermitPause is the mean time between two attempts to obtain load permits. It
	// grows while attempts do not obtain all wanted permits.
	PermitPause time.Duration
	// RolloutShare is the maximum fraction of the engines, from 0 to 1, that
	// change their version at the same time. At least one engine may always
	// change.
	RolloutShare float64
	// LoadLimit is the maximum number of loads in flight in the whole deployment,
	// and thus of load permits. All nodes need the same value.
	LoadLimit int
	// BatchSize is the maximum number of orders sent in one round.
	BatchSize int
	// MaxAttempts is the number of attempts to load a version, each ended by a
	// restart of the engine, after which the load counts as failed.
	MaxAttempts int
	// CallsPerSecond limits the rate of calls to the platform.
	CallsPerSecond float64
	// Rand returns numbers in [0, 1).
	Rand   func() float64
	Logger logrus.FieldLogger
	Scope  tally.Scope

	// disabled turns off safety mechanisms. Tests use it to show that each of them is
	// needed.
	disabled disabledMechanisms
}

// disabledMechanisms lists the safety mechanisms that are turned off: true means off.
//   - fencing: orders are sent only while the fencing number is confirmed.
//   - barrier: a new owner ignores reports made before the orders of earlier owners
//     have arrived.
//   - permits: a load is ordered only with a permit.
//   - loadBeforeUnload: an engine keeps an old version until it has the desired one.
//   - stopOnFailure: a roll-out stops after a failure.
//   - retryPause: an order is not repeated before a pause.
//   - rolloutShare: only a share of the engines changes at the same time.
type disabledMechanisms struct {
	fencing, barrier, permits, loadBeforeUnload, stopOnFailure, retryPause, rolloutShare bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.OwnershipTTL, defaultOwnershipTTL)
	setDefault(&o.ReportMaxAge, defaultReportMaxAge)
	setDefault(&o.LoadTimeout, defaultLoadTimeout)
	setDefault(&o.EffectTimeout, defaultEffectTimeout)
	setDefault(&o.RetryPause, defaultRetryPause)
	setDefault(&o.MaxRetryPause, defaultMaxRetryPause)
	setDefault(&o.ReacquirePause, defaultReacquirePause)
	setDefault(&o.PermitPause, defaultPermitPause)
	setDefault(&o.RolloutShare, defaultRolloutShare)
	setDefault(&o.LoadLimit, defaultLoadLimit)
	setDefault(&o.BatchSize, defaultBatchSize)
	setDefault(&o.MaxAttempts, defaultMaxAttempts)
	setDefault(&o.CallsPerSecond, defaultCallsPerSecond)
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
