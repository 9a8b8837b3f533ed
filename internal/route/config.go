// Package route holds the gateway's configuration: which service answers a
// request, which limits apply, and which organisation an API key belongs to.
package route

import "time"

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with every change, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Keys maps API keys to organisations. If it is nil, the configuration has no
	// organisations and requests need no key.
	Keys map[string]Organisation
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64
}

// Organisation is the owner of API keys.
type Organisation struct {
	Name string
	// Priority, unless nil, overrides the priority of the route; 0 is the highest.
	Priority *int
}

// Route defines how requests for a host name and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream routes answer with a stream of events.
	Stream bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may continue at another upstream after the last event that
	// was sent.
	Resumable bool
	// Anonymous routes need no API key.
	Anonymous bool
	// Timeout is the maximum time until the answer is complete.
	Timeout time.Duration
	// Goal is the longest time to the answer, or to the first event of a stream,
	// that counts as on time. GapGoal is the longest pause between two events of a
	// stream that counts as on time.
	Goal    time.Duration
	GapGoal time.Duration
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Shares lists the services that answer, with their weights.
	Shares []Share
}

// Repeatable reports whether a request of the route may run again after an
// attempt with an unknown outcome.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Stream && r.Resumable }

const (
	// Callers are assumed to abandon a stream after abandonGaps times the GapGoal
	// of its route, abandonGoals times the Goal or abandonMin, whichever is longest.
	abandonGaps  = 8
	abandonGoals = 4
	abandonMin   = 2 * time.Second
)

// AbandonTimeout returns how long callers wait for the next event of a stream
// before they abandon it. The arguments are the Goal and the GapGoal of its route.
func AbandonTimeout(goal, gapGoal time.Duration) time.Duration {
	return max(abandonMin, abandonGaps*gapGoal, abandonGoals*goal)
}

// Share is a service that answers a part of a route's requests. Its weight is
// relative to those of the route's other shares.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// Engine describes the engines of a model service; it is nil for a plain
	// service.
	Engine *Engine
}

// Engine describes the capacity and the speed of a service's engines.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Memory is the number of prompt and output tokens that an engine can hold; zero
	// means no limit.
	Memory int
	// PrefillRate is the number of prompt tokens prefilled per second, without the
	// additional time of MillionPairTime.
	PrefillRate float64
	// MillionPairTime is the additional prefill time, for attention, per million pairs
	// of a prompt token and an earlier one. The number of pairs grows with the square
	// of the prompt's length.
	MillionPairTime time.Duration
	// A decoding step generates one token for each running request. It takes
	// StepTime, plus StepTimePerRequest for each running request, plus
	// StepTimePerContext for each thousand context tokens of all running requests.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	StepTimePerContext time.Duration
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
}

// Prefill returns the time that one engine of normal speed takes to prefill a
// prompt, or zero if PrefillRate is not set.
func (e *Engine) Prefill(tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6
	return time.Duration(float64(tokens)/e.PrefillRate*float64(time.Second)) + time.Duration(pairs*float64(e.MillionPairTime))
}

// Step returns the time of a decoding step. Context is the number of context
// tokens of all running requests together.
func (e *Engine) Step(requests, context int) time.Duration {
	return e.StepTime + time.Duration(requests)*e.StepTimePerRequest +
		time.Duration(float64(context)/1000*float64(e.StepTimePerContext))
}

// EventTime returns the usual time between the events of a stream on an engine with
// the given load (see Step).
func (e *Engine) EventTime(requests, context int) time.Duration {
	return time.Duration(max(1, e.EventTokens)) * e.Step(requests, context)
}
