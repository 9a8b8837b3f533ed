package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// engineState is the scheduler's record of one engine. Memory is in tokens.
type engineState struct {
	name, address string
	// position is the place of the engine in Scheduler.engines.
	position int
	leaving  bool
	report   engine.LoadReport
	reported bool
	// lost means that the engine is not used until its next report.
	lost bool
	// measuredAt is when the engine measured its last report, lastGrantAt when
	// the last grant for it was issued.
	measuredAt, lastGrantAt time.Time

	capacity int
	// booked is the memory of grants, held that kept for the gathering in
	// progress, unexplained that of streams without a grant, and freeing that of
	// reservations whose release the engine has not confirmed.
	booked, held, unexplained, freeing int
	// bookedByClass divides booked by the memory class of the grants.
	bookedByClass [classCount]int
	// unexplainedListed is the memory of streams without a grant according to the
	// last list of streams, unexplainedReported that according to the last load
	// report. unexplained is the larger one.
	unexplainedListed, unexplainedReported int
	grants                                 map[string]*grant
	// freed lists the bookings that ended after the last report was measured.
	freed []freedTokens
	// exclusive is the grant that runs alone on the engine. While draining is set,
	// the engine takes no new work, so that it becomes empty for such a grant.
	exclusive *grant
	draining  bool

	// busyUntil is the time, in seconds since the scheduler's epoch, at which the
	// prefill of each class and of the shorter classes is predicted to end.
	busyUntil [classCount]float64
	// prefillRate is the prefill speed in tokens/s, peakPrefillRate its highest
	// value, decodeStep the duration of a decode step in seconds.
	prefillRate, peakPrefillRate, decodeStep float64

	prefixes enginePrefixes
}

// freedTokens is a booking that ended.
type freedTokens struct {
	at     time.Time
	tokens int
}

// newEngineState returns the state of an engine that has not reported yet.
func newEngineState(i EngineInfo) *engineState {
	return &engineState{
		name: i.Name, address: i.Address, grants: map[string]*grant{},
		prefillRate: defaultPrefillRate, decodeStep: defaultDecodeStep,
	}
}

// afterLoss returns the state that replaces that of a lost engine. It keeps the
// last known capacity, models and speeds, but no bookings.
func (e *engineState) afterLoss() *engineState {
	replacement := newEngineState(EngineInfo{Name: e.name, Address: e.address})
	replacement.lost, replacement.leaving = true, e.leaving
	replacement.report, replacement.capacity = e.report, e.capacity
	replacement.prefillRate, replacement.peakPrefillRate, replacement.decodeStep = e.prefillRate, e.peakPrefillRate, e.decodeStep
	return replacement
}

// usable reports whether the engine has reported and is not leaving.
func (e *engineState) usable() bool { return e.reported && !e.leaving }

// pending reports whether the engine's first report is awaited.
func (e *engineState) pending() bool { return !e.reported && !e.lost && !e.leaving }

// free is the memory that is neither booked, held nor used otherwise. It is
// negative while the engine is overcommitted.
func (e *engineState) free() int { return e.capacity - e.booked - e.held - e.unexplained - e.freeing }

// longCapacity is the memory outside the short share, which long requests may use.
func (e *engineState) longCapacity(shortShare float64) int {
	return int((1 - shortShare) * float64(e.capacity))
}

// available is the memory that a request of the class may still book.
func (e *engineState) available(c class, shortShare float64) int {
	memory := int((1-excludedShortShare[c]*shortShare)*float64(e.capacity)) - e.held - e.freeing
	for k := c; k < classCount; k++ {
		memory -= e.bookedByClass[k]
	}
	return min(memory, e.free())
}

// open reports whether the engine may take new work now.
func (e *engineState) open() bool {
	return e.usable() && !e.draining && e.exclusive == nil
}

// unexplainedWithout is the memory of the streams without a grant, excluding one
// stream that uses at most the given tokens.
func (e *engineState) unexplainedWithout(tokens int) int {
	return max(0, e.unexplainedListed-tokens, e.unexplainedReported-tokens)
}

// adoptable reports whether the engine has the memory to book a grant that an
// earlier owner of the cell issued. Reservations whose release the engine has not
// confirmed still use memory, and so do other streams without a grant.
func (e *engineState) adoptable(tokens int, alone bool) bool {
	if e.lost || e.draining || e.exclusive != nil || alone && len(e.grants) > 0 {
		return false
	}
	return !e.reported || e.capacity-e.booked-e.held-e.freeing-e.unexplainedWithout(tokens) >= tokens
}

// serves reports whether the engine has the model loaded. An engine that
// lists no models is taken to serve every model.
func (e *engineState) serves(model string) bool {
	if len(e.report.Models) == 0 {
		return true
	}
	for _, m := range e.report.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// wait is the predicted time in seconds until the engine starts the prefill
// of a new request of the class.
func (e *engineState) wait(c class, now float64) float64 { return max(0, e.busyUntil[c]-now) }

const (
	// grantPenalty, in seconds per running request, and fillPenalty, in seconds
	// when the memory is full, approximate the time of the decode steps between
	// prefill chunks.
	grantPenalty = 0.002
	fillPenalty  = 0.02
)

// penalty is the predicted delay in seconds that the running requests add to a
// prefill.
func (e *engineState) penalty() float64 {
	p := grantPenalty * float64(len(e.grants))
	if e.capacity > 0 {
		p += fillPenalty * float64(e.booked) / float64(e.capacity)
	}
	return p
}

// addPrefill adds prefill time to the busy time of the class and of the longer
// classes. It returns when the prefill is predicted to end.
func (e *engineState) addPrefill(c class, seconds, now float64) float64 {
	for k := c; k < classCount; k++ {
		e.busyUntil[k] = max(e.busyUntil[k], now) + seconds
	}
	return e.busyUntil[c]
}

// removePrefill subtracts the remaining time of a prefill that was predicted to
// end at end. An engine without grants is not busy at all.
func (e *engineState) removePrefill(c class, end, now float64) {
	if remaining := end - now; remaining > 0 {
		for k := c; k < classCount; k++ {
			e.busyUntil[k] = max(now, e.busyUntil[k]-remaining)
		}
	}
	if len(e.grants) == 0 {
		e.busyUntil = [classCount]float64{}
	}
}

// Weights of a reported speed in the moving averages. The reported prefill speed
// depends on the current prompts: it is lower for long ones. The average follows
// increases fast and decreases slowly, so it stays near the speed for short
// prompts.
const (
	rateRise = 0.5
	rateFall = 0.02
	stepGain = 0.2
)

// applyReport updates the state from a load report. Reported memory beyond the
// bookings that existed when the engine measured the load belongs to streams
// without a grant.
func (e *engineState) applyReport(r engine.LoadReport, now time.Time) {
	measured := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if e.reported && measured.Before(e.measuredAt) {
		return
	}
	e.report, e.reported, e.lost, e.measuredAt = r, true, false, measured
	e.capacity = r.CapacityTokens
	booked := 0
	for _, g := range e.grants {
		if !g.grantedAt.After(measured) {
			booked += g.tokensOn(e)
		}
	}
	kept := e.freed[:0]
	for _, f := range e.freed {
		if f.at.After(measured) {
			booked += f.tokens
			kept = append(kept, f)
		}
	}
	e.freed = kept
	e.unexplainedReported = max(0, r.UsedTokens-booked)
	e.unexplained = max(e.unexplainedListed, e.unexplainedReported)
	if rate := r.PrefillTokensPerSecond; rate > e.prefillRate {
		e.prefillRate += rateRise * (rate - e.prefillRate)
	} else if rate > 0 {
		e.prefillRate += rateFall * (rate - e.prefillRate)
	}
	e.peakPrefillRate = max(e.peakPrefillRate, e.prefillRate)
	if r.Running+r.Waiting == 0 {
		// An idle engine measures no speed. The rate returns to its peak, because
		// otherwise a low speed measured under load could make the scheduler
		// refuse requests permanently.
		e.prefillRate += rateFall * (e.peakPrefillRate - e.prefillRate)
	}
	if step := r.DecodeStepMillis / 1000; step > 0 {
		e.decodeStep += stepGain * (step - e.decodeStep)
	}
	if r.Running+r.Waiting == 0 && e.lastGrantAt.Before(measured) {
		e.busyUntil = [classCount]float64{}
	}
}
