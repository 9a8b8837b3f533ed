package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// slot is the scheduler's book of one engine. Memory is in tokens.
type slot struct {
	name, address string
	position      int
	leaving       bool
	report        engine.LoadReport
	reported      bool
	// lost engines stay out of use until their next report.
	lost bool
	// measured is when the engine took the last report, lastGrant when it was
	// last given a request.
	measured, lastGrant time.Time

	capacity int
	// reserved is booked by grants and booked its parts by class, held is kept
	// for the gathering in progress, foreign used by streams without a grant.
	// freeing are reservations whose release the engine has not confirmed.
	reserved, held, foreign, freeing int
	booked                           [classCount]int
	// listed and unbooked are the tokens without a grant by the last stream
	// list and by the last load report; foreign is the larger one.
	listed, unbooked int
	grants           map[string]*grant
	// freed lists bookings that ended after the last report was measured.
	freed []freedTokens
	// exclusive is the grant that runs alone; draining keeps new work away
	// while the engine empties for one.
	exclusive *grant
	draining  bool

	// busy is the time, in seconds since the scheduler's epoch, at which the
	// prefill of each class and the classes before it is predicted to end.
	busy [classCount]float64
	// rate is the prefill speed in tokens/s, peak its highest value, step the
	// decode step in seconds.
	rate, peak, step float64

	prefixes slotPrefixes
}

type freedTokens struct {
	at     time.Time
	tokens int
}

func newSlot(i EngineInfo) *slot {
	return &slot{
		name: i.Name, address: i.Address, grants: map[string]*grant{},
		rate: defaultPrefillRate, step: defaultDecodeStep,
	}
}

// afterLoss returns the slot that takes the place of a lost engine. Its last
// capacity, models and speeds are kept, its bookings are not.
func (e *slot) afterLoss() *slot {
	n := newSlot(EngineInfo{Name: e.name, Address: e.address})
	n.lost, n.leaving = true, e.leaving
	n.report, n.capacity = e.report, e.capacity
	n.rate, n.peak, n.step = e.rate, e.peak, e.step
	return n
}

// usable reports whether the engine may take new work at all.
func (e *slot) usable() bool { return e.reported && !e.leaving }

// pending reports whether the first report of the engine is awaited.
func (e *slot) pending() bool { return !e.reported && !e.lost && !e.leaving }

func (e *slot) free() int { return e.capacity - e.reserved - e.held - e.foreign - e.freeing }

// longCap is the memory that long requests may use.
func (e *slot) longCap(shortShare float64) int { return int((1 - shortShare) * float64(e.capacity)) }

// room is the memory that a request of the class may still take.
func (e *slot) room(c class, shortShare float64) int {
	room := int((1-keepsOut[c]*shortShare)*float64(e.capacity)) - e.held - e.freeing
	for k := c; k < classCount; k++ {
		room -= e.booked[k]
	}
	return min(room, e.free())
}

func (e *slot) open() bool {
	return e.usable() && !e.draining && e.exclusive == nil
}

// adoptable reports whether a grant of an earlier owner may be booked.
// Reservations whose release the engine has not confirmed still take memory.
func (e *slot) adoptable(tokens int, alone bool) bool {
	if e.lost || e.draining || e.exclusive != nil || alone && len(e.grants) > 0 {
		return false
	}
	return !e.reported || e.capacity-e.reserved-e.held-e.freeing >= tokens
}

// serves reports whether the engine has the model loaded. An engine that
// lists no models is taken to serve every model.
func (e *slot) serves(model string) bool {
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
func (e *slot) wait(c class, now float64) float64 { return max(0, e.busy[c]-now) }

const (
	// grantPenalty in seconds per running request and fillPenalty in seconds
	// for a full memory stand for the decode steps between prefill chunks.
	grantPenalty = 0.002
	fillPenalty  = 0.02
)

// penalty is the predicted delay in seconds that running requests cause.
func (e *slot) penalty() float64 {
	p := grantPenalty * float64(len(e.grants))
	if e.capacity > 0 {
		p += fillPenalty * float64(e.reserved) / float64(e.capacity)
	}
	return p
}

// addPrefill books prefill time and returns when it is predicted to end.
func (e *slot) addPrefill(c class, seconds, now float64) float64 {
	for k := c; k < classCount; k++ {
		e.busy[k] = max(e.busy[k], now) + seconds
	}
	return e.busy[c]
}

// dropPrefill takes back prefill time that is not needed any more.
func (e *slot) dropPrefill(c class, end, now float64) {
	if rest := end - now; rest > 0 {
		for k := c; k < classCount; k++ {
			e.busy[k] = max(now, e.busy[k]-rest)
		}
	}
	if len(e.grants) == 0 {
		e.busy = [classCount]float64{}
	}
}

// Reported prefill speeds depend on the prompts of the moment: long ones show
// a lower speed. The book follows rises fast and falls slowly, so it stays
// near the speed of short prompts.
const (
	rateRise = 0.5
	rateFall = 0.02
	stepGain = 0.2
)

// apply takes over a load report. What the engine uses beyond the bookings
// that were in place when it measured belongs to streams without a grant.
func (e *slot) apply(r engine.LoadReport, now time.Time) {
	measured := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if e.reported && measured.Before(e.measured) {
		return
	}
	e.report, e.reported, e.lost, e.measured = r, true, false, measured
	e.capacity = r.CapacityTokens
	booked := 0
	for _, g := range e.grants {
		if !g.granted.After(measured) {
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
	e.unbooked = max(0, r.UsedTokens-booked)
	e.foreign = max(e.listed, e.unbooked)
	if v := r.PrefillTokensPerSecond; v > e.rate {
		e.rate += rateRise * (v - e.rate)
	} else if v > 0 {
		e.rate += rateFall * (v - e.rate)
	}
	e.peak = max(e.peak, e.rate)
	if r.Running+r.Waiting == 0 {
		// An idle engine measures nothing; a speed measured under load must not
		// refuse requests for ever.
		e.rate += rateFall * (e.peak - e.rate)
	}
	if v := r.DecodeStepMillis / 1000; v > 0 {
		e.step += stepGain * (v - e.step)
	}
	if r.Running+r.Waiting == 0 && e.lastGrant.Before(measured) {
		e.busy = [classCount]float64{}
	}
}
