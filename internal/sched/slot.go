package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// slot is the scheduler's book of one engine. Memory is in tokens.
type slot struct {
	name, address string
	leaving       bool
	report        engine.LoadReport
	reported      bool
	// measured is when the engine took the last report.
	measured time.Time

	capacity int
	// reserved is booked by grants, long the part of it above classShort, held
	// by the gathering in progress, foreign used by streams without a grant.
	reserved, long, held, foreign int
	grants                        map[string]*grant
	// freed lists bookings that ended after the last report was measured.
	freed []freedTokens
	// exclusive is the grant that runs alone; draining keeps new work away
	// while the engine empties for one.
	exclusive *grant
	draining  bool
}

type freedTokens struct {
	at     time.Time
	tokens int
}

func (e *slot) free() int { return e.capacity - e.reserved - e.held - e.foreign }

func (e *slot) open() bool {
	return e.reported && !e.leaving && !e.draining && e.exclusive == nil
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

// apply takes over a load report. What the engine uses beyond the bookings
// that were in place when it measured belongs to streams without a grant.
func (e *slot) apply(r engine.LoadReport, now time.Time) {
	measured := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if e.reported && measured.Before(e.measured) {
		return
	}
	e.report, e.reported, e.measured = r, true, measured
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
	e.foreign = max(0, r.UsedTokens-booked)
}
