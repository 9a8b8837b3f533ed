package place

import (
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/crash"
)

// runsUnanswered reports whether a request with any of the parts runs that has not
// begun to be answered. Its outcome shows whether the parts end engines. The caller
// holds mu.
func (p *Pool) runsUnanswered(parts []crash.Part) bool {
	for _, j := range p.jobs {
		if j.grant != nil && !j.hasFirstEvent && j.Content.Intersects(parts) {
			return true
		}
	}
	return false
}

// isolate limits the candidates of a request so that the end of an engine during a
// trial has one explanation. No request joins the engine of a trial that has not been
// answered, unless there is no other engine. A request with suspected parts gets an
// engine on which all requests have begun to be answered, among them one with the
// fewest requests, as these are lost if the engine ends. If there is none, isolated is
// false, and there are no candidates unless the request is urgent.
func (p *Pool) isolate(j *job, candidates []candidate, now time.Time) (limited []candidate, isolated bool) {
	apart := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.runsTrial() })
	if len(apart) == 0 {
		apart = candidates
	}
	if len(j.suspects) == 0 {
		return apart, false
	}
	answered := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.runsUnanswered() })
	if len(answered) > 0 {
		fewest := slices.MinFunc(answered, func(a, b candidate) int { return a.slotsUsed - b.slotsUsed }).slotsUsed
		return slices.DeleteFunc(answered, func(c candidate) bool { return c.slotsUsed > fewest }), true
	}
	if p.urgent(j, len(candidates), now) {
		return apart, false
	}
	return nil, false
}

// runsTrial reports whether the engine runs a trial that has not been answered.
func (e *engine) runsTrial() bool {
	return e.runsAny(func(j *job) bool { return len(j.grant.Suspects) > 0 && !j.hasFirstEvent })
}

// runsUnanswered reports whether the engine runs a request that has not begun to be
// answered.
func (e *engine) runsUnanswered() bool {
	return e.runsAny(func(j *job) bool { return !j.hasFirstEvent })
}

func (e *engine) runsAny(matches func(j *job) bool) bool {
	for _, j := range e.jobs {
		if j.main == e && matches(j) {
			return true
		}
	}
	return false
}
