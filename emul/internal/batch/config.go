// Package batch simulates a language model engine with continuous batching,
// chunked prefill, limited KV memory and a prefix cache. It does no I/O of its own
// and takes the time from package time, so that it also runs inside
// testing/synctest.
//
// The KV cache of a long prompt can span several engines: the leader runs the
// stream, and members hold the part that does not fit on the leader.
package batch

import (
	"context"
	"time"
)

// Fixed times of the engine protocol. TimeScale does not apply to them, because
// the callers of an engine rely on them.
const (
	// Keepalive is the interval between keepalive lines while no token is due.
	Keepalive = time.Second
	// DetachedTTL is how long a stream without a reader is kept.
	DetachedTTL = 15 * time.Second
	// ImportTTL is how long an import is kept without a renewal, by default.
	ImportTTL = 10 * time.Second
	// renewInterval is the interval at which a leader renews its imports.
	renewInterval = 3 * time.Second
	// memberTimeout bounds one call to a member.
	memberTimeout = 2 * time.Second
	// sweepInterval is the interval between the checks for expired streams and
	// allocations, and thus the resolution of expiry times.
	sweepInterval = 100 * time.Millisecond
	// loadRetry is the pause after a failed read of a model's weights.
	loadRetry = time.Second
)

// Config describes an engine.
type Config struct {
	// Name identifies the engine in its load report.
	Name string
	// CapacityTokens is the size of the KV memory in tokens.
	CapacityTokens int
	// PrefillRate is the speed of prefill in tokens per second at the start of a
	// prompt.
	PrefillRate float64
	// PrefillKnee is the position in tokens at which the speed of prefill has
	// fallen to half of PrefillRate. Attention makes the cost of a token grow
	// linearly with its position.
	PrefillKnee float64
	// ChunkTokens is the maximum number of prompt tokens prefilled in one step.
	ChunkTokens int
	// MaxBatch is the maximum number of streams in the batch.
	MaxBatch int
	// The time of a decode step is StepBase, plus StepPerStream for each stream,
	// plus StepPerContext for each 1,000 tokens of context.
	StepBase, StepPerStream, StepPerContext time.Duration
	// TimeScale multiplies prefill and decode times and LoadTime.
	TimeScale float64
	// LoadInterval is the interval between load reports.
	LoadInterval time.Duration
	// EventDelay is the time until a cache event is published. EventLossShare is
	// the share of cache events that are never published.
	EventDelay     time.Duration
	EventLossShare float64
	// Seed seeds the choice of lost cache events.
	Seed uint64
	// CheckFence makes the engine refuse orders whose fencing number is lower
	// than one that it has seen.
	CheckFence bool
	// Models are loaded at the start.
	Models []Model
	// Role is the reported role until an order changes it.
	Role string
	// Crash is called after the first prefill step of a prompt that contains
	// CrashMarker. An empty CrashMarker never matches.
	CrashMarker string
	Crash       func()
	// Weights reads the weights of a model, given as name@version. If Weights is
	// nil, loading a model takes LoadTime.
	Weights  func(ctx context.Context, model string) error
	LoadTime time.Duration
	// Peers calls the members that hold a part of a stream's KV cache. If it is
	// nil, a stream that needs members is refused.
	Peers Peers
	// Control pauses and slows down the engine; nil for neither.
	Control Control
}

// Control pauses and slows down an engine.
type Control interface {
	// Wait blocks while the engine is frozen, and returns an error when ctx
	// ends.
	Wait(ctx context.Context) error
	// Slow returns the factor on modelled times, 1 for normal speed.
	Slow() float64
}

// Peers calls the KV interface of other engines.
type Peers interface {
	// Import asks a member to hold at most the tokens of req, and returns how many
	// it holds.
	Import(ctx context.Context, address string, req ImportRequest) (int, error)
	// Free releases an import.
	Free(ctx context.Context, address, id string) error
}

// DefaultConfig returns the configuration of an engine with one accelerator.
func DefaultConfig() Config {
	return Config{
		Name:           "engine",
		CapacityTokens: 480_000,
		PrefillRate:    40_000,
		PrefillKnee:    400_000,
		ChunkTokens:    1024,
		MaxBatch:       64,
		StepBase:       20 * time.Millisecond,
		StepPerStream:  300 * time.Microsecond,
		StepPerContext: 50 * time.Microsecond,
		TimeScale:      1,
		LoadInterval:   500 * time.Millisecond,
		EventDelay:     time.Second,
		EventLossShare: 0.02,
		Seed:           1,
		Role:           "mixed",
		LoadTime:       2 * time.Second,
		Crash:          func() {},
	}
}

type noControl struct{}

func (noControl) Wait(ctx context.Context) error { return ctx.Err() }
func (noControl) Slow() float64                  { return 1 }
