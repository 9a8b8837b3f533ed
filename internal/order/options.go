// Package order reconciles the models of the engines of one cell with the
// configuration: it sends orders to load and unload versions and adapters until
// the engines' load reports show the desired state.
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
	defaultReadingAge     = 2 * time.Second
	defaultFreshAge       = 10 * time.Second
	defaultLoadTimeout    = 5 * time.Minute
	defaultEffectTimeout  = 15 * time.Second
	defaultRetryPause     = 4 * time.Second
	defaultMaxPause       = time.Minute
	defaultRetakePause    = 15 * time.Second
	defaultPermitPause    = 2 * time.Second
	defaultShare          = 0.25
	defaultLoadLimit      = 32
	defaultBatchSize      = 16
	defaultMaxAttempts    = 3
	defaultCallsPerSecond = 4
)

// Sender sends one order to an engine. Errors of the kinds Unreachable,
// Overloaded and RateLimited say that the order had no effect, Stale that the
// engine has seen a higher fencing number, Timeout, Canceled, ReplyLost and
// UpstreamLost that the order may have had an effect. All other kinds are
// refusals. An order is not sent after the deadline of its context.
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
	// Fencing says what the engines do with an old fencing number.
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

// Options of a Reconciler. Cell, Node, Store, Sender, Engines, Report and
// Desired are required.
type Options struct {
	// Cell names the cell, Node this node.
	Cell, Node string
	Store      plat.Store
	Sender     Sender
	// Engines returns the engines of the cell.
	Engines func() []Engine
	// Report returns the last load report of an engine and the time at which it
	// was requested. The third result is false when there is none.
	Report func(name string) (engine.LoadReport, time.Time, bool)
	// Desired returns the configuration in force; false when there is none.
	Desired func() (Desired, bool)

	// Interval is the time between two rounds.
	Interval time.Duration
	// ReadingAge is how long a reading of the fencing number permits orders.
	// Every order ends within it. All nodes need the same value.
	ReadingAge time.Duration
	// FreshAge is the age at which a load report no longer counts.
	FreshAge time.Duration
	// LoadTimeout is the longest time from a load order to its effect. A permit
	// that does not change for longer than that plus FreshAge is void.
	LoadTimeout time.Duration
	// EffectTimeout is the time after which an accepted order other than a load
	// is repeated.
	EffectTimeout time.Duration
	// RetryPause is the first pause before an order is repeated; it doubles up
	// to MaxPause. It is at least the lag of the load reports.
	RetryPause, MaxPause time.Duration
	// RetakePause is the least time from the loss of the fencing number to the
	// next attempt to take one.
	RetakePause time.Duration
	// PermitPause is the mean time between two attempts to obtain permits.
	PermitPause time.Duration
	// Share is the largest part of the engines, from 0 to 1, that change their
	// version at a time. At least one engine does.
	Share float64
	// LoadLimit is the number of loads in flight in the deployment. All nodes
	// need the same value.
	LoadLimit int
	// BatchSize is the largest number of orders of a round.
	BatchSize int
	// MaxAttempts is how often an engine may die during a load before the load
	// counts as failed.
	MaxAttempts int
	// CallsPerSecond bounds the calls to the platform.
	CallsPerSecond float64
	// Rand returns numbers in [0, 1).
	Rand   func() float64
	Logger logrus.FieldLogger
	Scope  tally.Scope

	// without disables mechanisms; tests show that each of them is needed.
	without without
}

// without names the mechanisms that tests disable.
type without struct {
	fence, barrier, permits, loadFirst, stop, pause, share bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.ReadingAge, defaultReadingAge)
	setDefault(&o.FreshAge, defaultFreshAge)
	setDefault(&o.LoadTimeout, defaultLoadTimeout)
	setDefault(&o.EffectTimeout, defaultEffectTimeout)
	setDefault(&o.RetryPause, defaultRetryPause)
	setDefault(&o.MaxPause, defaultMaxPause)
	setDefault(&o.RetakePause, defaultRetakePause)
	setDefault(&o.PermitPause, defaultPermitPause)
	setDefault(&o.Share, defaultShare)
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
