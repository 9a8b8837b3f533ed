package sched

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// Engines makes the scheduler's calls to engines. Addresses are those passed to
// SetEngines. Every call returns when its context ends.
type Engines interface {
	// Streams lists the streams on an engine.
	Streams(ctx context.Context, address string) ([]engine.Stream, error)
	// Reserve reserves tokens of KV memory under id until ttl has passed.
	Reserve(ctx context.Context, address, id string, tokens int, ttl time.Duration) error
	// Unreserve frees the reservation with the given id.
	Unreserve(ctx context.Context, address, id string) error
	// Cancel ends the stream with the given id.
	Cancel(ctx context.Context, address, id string) error
}

// EngineInfo identifies an engine of the cell.
type EngineInfo struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Leaving engines receive no new work; their streams run to the end.
	Leaving bool `json:"leaving,omitempty"`
}

// Weights are the relative importance of two latency objectives to a service.
// Only their ratio matters.
type Weights struct {
	TimeToFirstToken   float64 `json:"time_to_first_token"`
	HeadOfLineBlocking float64 `json:"head_of_line_blocking"`
}

// CapacityRules bound the queue and the part of the memory kept for short requests.
// A zero field takes its default.
type CapacityRules struct {
	// ShortPromptTokens is the maximum length of a prompt that counts as short.
	ShortPromptTokens int `json:"short_prompt_tokens"`
	// MinShortShare and MaxShortShare bound the fraction of an engine's memory
	// kept for short requests.
	MinShortShare float64 `json:"min_short_share"`
	MaxShortShare float64 `json:"max_short_share"`
	// MaxQueued is the number of waiting requests per engine, and MaxQueueWait
	// the predicted time to serve the queue, above which requests of
	// organisations over their share are refused.
	MaxQueued    int           `json:"max_queued"`
	MaxQueueWait time.Duration `json:"max_queue_wait_ns"`
}

// PolicyName selects one of the scheduling policies.
type PolicyName string

// The policies. PolicyWeighted is the default; the others are kept for
// comparison.
const (
	PolicyWeighted    PolicyName = "weighted"
	PolicyPartitioned PolicyName = "partitioned"
	PolicyBaseline    PolicyName = "baseline"
)

// Options are the dependencies and limits of a Scheduler. Zero durations take
// their defaults.
type Options struct {
	Cell    string
	Owner   string
	Engines Engines
	Rand    *rand.Rand
	Weights Weights
	Rules   CapacityRules
	Policy  PolicyName
	// Lifetime of a grant without renewal.
	Lifetime time.Duration
	// RebuildWindow is the time after New during which renewals are collected
	// and nothing is granted. A negative value disables it.
	RebuildWindow time.Duration
	// GatherHold is how long memory is held for one request while other requests
	// on the same engines end.
	GatherHold time.Duration
	// OrphanAge is the time without a reader after which a stream without a
	// grant is cancelled; OrphanInterval is the time between stream lists.
	OrphanAge      time.Duration
	OrphanInterval time.Duration
	// CallTimeout bounds each call to an engine.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Metrics     tally.Scope
	// OnViolation is called with the name of an invariant that does not hold. If
	// nil, the violation is logged.
	OnViolation func(name string)
}

const (
	defaultLifetime       = 15 * time.Second
	defaultRebuildWindow  = 2 * time.Second
	defaultGatherHold     = 20 * time.Second
	defaultOrphanAge      = 10 * time.Second
	defaultOrphanInterval = 5 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultShortPrompt    = 8 << 10
	defaultMinShortShare  = 0.05
	defaultMaxShortShare  = 0.40
	defaultMaxQueued      = 64
	defaultMaxQueueWait   = 20 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Lifetime, defaultLifetime)
	setDefault(&o.RebuildWindow, defaultRebuildWindow)
	setDefault(&o.GatherHold, defaultGatherHold)
	setDefault(&o.OrphanAge, defaultOrphanAge)
	setDefault(&o.OrphanInterval, defaultOrphanInterval)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.Policy, PolicyWeighted)
	o.Rules = o.Rules.withDefaults()
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

func (r CapacityRules) withDefaults() CapacityRules {
	setDefault(&r.ShortPromptTokens, defaultShortPrompt)
	setDefault(&r.MinShortShare, defaultMinShortShare)
	setDefault(&r.MaxShortShare, defaultMaxShortShare)
	setDefault(&r.MaxQueued, defaultMaxQueued)
	setDefault(&r.MaxQueueWait, defaultMaxQueueWait)
	return r
}

// setDefault sets a field that is zero to its default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
