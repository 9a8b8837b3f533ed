package place

import (
	"math"
	"time"
)

const (
	// minBarTime is how long an engine is barred from new requests after its first
	// failure. The time doubles with each further failure. It is capped at
	// maxBarTime, as an engine that restarts serves again after some seconds.
	// minBarTime is also the RetryAfter time of refusals without a longer estimate.
	minBarTime = 500 * time.Millisecond
	maxBarTime = 8 * time.Second
	// minHeldBacklog is the smallest backlog that an engine counts as having while
	// it is held for a long prompt (see holdsEngines). It exceeds maxPrefillOverlap,
	// so that the engine gets no part of another long prompt.
	minHeldBacklog = 2 * maxPrefillOverlap
	// A prompt without a first event counts as lost after overdueFactor times the
	// expected time plus overdueBase. If an engine has died, the engines that wait
	// for it cancel the work after 1.5 s. overdueBase allows for this wait.
	overdueFactor = 2.0
	overdueBase   = 1500 * time.Millisecond
	// slowdownWeight is the weight of a new measurement in the moving average of an
	// engine's slowdown.
	slowdownWeight = 0.4
	// Engines with a slowdown of slowThreshold or more count as slow. Measurements
	// above maxSlowdown are lowered to it. Measurements below normalSpeedLimit count
	// as normal speed, as the time between events varies by up to this factor with
	// the other streams of the engine.
	slowThreshold    = 2.0
	maxSlowdown      = 20.0
	normalSpeedLimit = 1.4
)

// engine is the state of an engine of the pool.
type engine struct {
	Upstream
	// process is the result of Upstream.Process.
	process string
	// order is the engine's position in the order in which short prompts fill the
	// engines.
	order int
	// jobs holds, by ID, the granted requests that the engine runs or of which it
	// prefills a part.
	jobs map[string]*job
	// prefillEnd is when the engine is expected to complete the prefill of all
	// requests granted to it.
	prefillEnd time.Time
	// memoryUsed is the memory booked for the granted requests, in tokens.
	memoryUsed int
	// unreported is the number of requests that the engine runs although no node
	// has reported them.
	unreported int
	// slowdown is the factor by which the engine is slower than expected; 1 is normal
	// speed.
	slowdown float64

	failures    int
	barredUntil time.Time
}

// backlog returns the time until the prefill of all granted requests is complete.
// A part of a long prompt holds its engine until the prompt's first event: the
// engine gets no part of another long prompt, even if the estimate says that the
// prefill is complete. Engines prefill the newest part first. If the prefill took a
// little longer than estimated, a new part would therefore delay the older one by
// its whole prefill time.
func (e *engine) backlog(now time.Time) time.Duration {
	left := max(0, e.prefillEnd.Sub(now))
	for _, j := range e.jobs {
		if j.holdsEngines(now) {
			return max(left, minHeldBacklog)
		}
	}
	return left
}

// holdsEngines reports whether a request keeps its engines from parts of other long
// prompts: the prefill of its part is long, and its first event is neither reported
// nor overdue (see overdueFactor).
func (j *job) holdsEngines(now time.Time) bool {
	return j.grant != nil && !j.hasFirstEvent && j.partPrefill > maxPrefillOverlap &&
		now.Sub(j.grantedAt) < scale(j.grant.Expected, overdueFactor)+overdueBase
}

// recordFailure counts a failure of the engine and bars it for a time.
func (e *engine) recordFailure(now time.Time) {
	e.failures++
	e.barredUntil = now.Add(min(maxBarTime, time.Duration(float64(minBarTime)*math.Pow(2, float64(e.failures-1)))))
}

// recordSuccess records that the engine served a request.
func (e *engine) recordSuccess() { e.failures = 0 }

// observeSlowdown adds a measurement to the average slowdown; zero means none.
func (e *engine) observeSlowdown(slowdown float64) {
	if slowdown <= 0 {
		return
	}
	if slowdown < normalSpeedLimit {
		slowdown = 1
	}
	e.slowdown += slowdownWeight * (min(slowdown, maxSlowdown) - e.slowdown)
}

// usable reports whether the engine may take new requests.
func (e *engine) usable(now time.Time) bool { return !e.Leaving && !now.Before(e.barredUntil) }
