// Package route holds the gateway's configuration: which service answers a
// request, under which limits, and which organisation a key belongs to.
package route

import "time"

// Config is one version of the operators' configuration.
type Config struct {
	// Version rises with every change, in steps of any size.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Keys maps an API key to its organisation. Nil means that the
	// configuration has no organisations and requests need no key.
	Keys map[string]Organisation
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Organisation is the owner of API keys.
type Organisation struct {
	Name string
	// Priority replaces that of the route; 0 is the highest. Nil keeps the
	// route's.
	Priority *int
}

// Route says how requests of a host name and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream routes answer with a series of events.
	Stream bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
	// Anonymous routes need no key.
	Anonymous bool
	// Timeout is the longest time to a final answer.
	Timeout time.Duration
	// Goal is the time to the answer, or to the first event of a stream, up to
	// which it is on time; GapGoal is the longest pause between events.
	Goal    time.Duration
	GapGoal time.Duration
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Shares are the services that answer, by weight.
	Shares []Share
}

// Repeatable reports whether a request of the route may run again after an
// attempt with an unknown outcome.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Stream && r.Resumable }

const (
	// Callers give a stream up after abandonGaps times the allowed pause,
	// abandonGoals times the goal or abandonMin, whichever is longest, as the
	// users' callers are said to do.
	abandonGaps  = 8
	abandonGoals = 4
	abandonMin   = 2 * time.Second
)

// Patience returns how long callers wait for the next event of a stream with a
// goal and an allowed pause.
func Patience(goal, gap time.Duration) time.Duration {
	return max(abandonMin, abandonGaps*gap, abandonGoals*goal)
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// Engine describes the engines of a model service; nil for a plain one.
	Engine *Engine
}

// Engine describes how fast the engines of a service work.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Memory is the number of prompt and output tokens that an engine holds.
	Memory int
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// PairTime is the time for a million pairs of a prompt token with an
	// earlier one.
	PairTime time.Duration
	// StepTime, StepTimePerRequest and StepTimePerContext make up the time of a
	// step, which yields a token for each running request; the last is for a
	// thousand tokens of context.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	StepTimePerContext time.Duration
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
}

// Prefill returns the time that one engine of normal speed needs to read a
// prompt.
func (e *Engine) Prefill(tokens int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6
	return time.Duration(float64(tokens)/e.ReadRate*float64(time.Second)) + time.Duration(pairs*float64(e.PairTime))
}

// Step returns the time of a step with a number of running requests that have
// a context of so many tokens together.
func (e *Engine) Step(requests, context int) time.Duration {
	return e.StepTime + time.Duration(requests)*e.StepTimePerRequest +
		time.Duration(float64(context)/1000*float64(e.StepTimePerContext))
}

// EventTime returns the usual time between the events of a stream.
func (e *Engine) EventTime(requests, context int) time.Duration {
	return time.Duration(max(1, e.EventTokens)) * e.Step(requests, context)
}
