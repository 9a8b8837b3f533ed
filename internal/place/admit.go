package place

import (
	"time"
)

// urgent reports whether a request must be placed soon so that its first event
// does not come too late.
func (p *Pool) urgent(j *job, engines int, now time.Time) bool {
	return p.firstEventLeft(j, now) < scale(p.fastestFirstEvent(j, engines), urgencyFactor)
}

// firstEventLeft returns the time in which the first event must arrive. After that
// the caller abandons the request, or too little time remains to generate the likely
// output.
func (p *Pool) firstEventLeft(j *job, now time.Time) time.Duration {
	waited := now.Sub(j.arrivedAt)
	return min(j.AbandonTimeout, j.Remaining-scale(p.outputTime(j), likelyOutputShare)) - waited
}

// fastestFirstEvent returns the shortest possible time to the first event, with
// the prompt split over as many of the engines as one prompt may use (see
// maxHelpers).
func (p *Pool) fastestFirstEvent(j *job, engines int) time.Duration {
	return j.prefill/time.Duration(max(1, min(engines, 1+maxHelpers))) + p.eventTime()
}

// usableEngines returns the number of engines that are not leaving. The caller holds
// mu.
func (p *Pool) usableEngines() int {
	usable := 0
	for _, e := range p.engines {
		if !e.Leaving {
			usable++
		}
	}
	return usable
}

// unservable returns a refusal if the usable engines cannot run the request even when
// idle, otherwise nil. The caller holds mu.
func (p *Pool) unservable(j *job, usable int, now time.Time) *Refusal {
	if usable == 0 {
		return p.noEngine(now)
	}
	if each, _ := p.memoryNeed(j.PromptTokens, j.OutputTokens, min(usable, 1+maxHelpers)); each > p.memoryLimit() {
		return &Refusal{Reason: "the prompt needs more memory than the engines have", RetryAfter: time.Second}
	}
	return nil
}

// noEngine returns the refusal of a request to a cell without usable engines. The
// longer the cell has been without, the later the caller should come back. The caller
// holds mu.
func (p *Pool) noEngine(now time.Time) *Refusal {
	return &Refusal{Reason: "the service has no engine", RetryAfter: min(max(now.Sub(p.emptySince), minBarTime), maxBarTime), noEngine: true}
}

// infeasible returns a refusal if the request needs more memory than the engines
// have, or cannot end in time behind the requests that wait before it. Otherwise it
// returns nil. Short prompts do not wait for long ones. Only a part of the estimated
// output counts (see likelyOutputShare), as answers are often shorter. The caller
// holds mu.
func (p *Pool) infeasible(j *job, now time.Time) *Refusal {
	usable := p.usableEngines()
	if r := p.unservable(j, usable, now); r != nil {
		return r
	}
	need := p.fastestFirstEvent(j, usable)
	wait := p.queueDelay(j, usable, now)
	left := p.firstEventLeft(j, now)
	if wait+need <= left {
		return nil
	}
	return &Refusal{Reason: "the request cannot end in time", RetryAfter: max(wait+need-left, minBarTime)}
}

// queueDelay estimates how long a request will wait before it is placed. Short
// prompts run beside others without waiting. Long ones wait for the requests
// queued before them and, if they take most engines (see widePrefill), for the
// backlogs of all engines.
func (p *Pool) queueDelay(j *job, usable int, now time.Time) time.Duration {
	if !p.isLong(j) {
		return 0
	}
	var ahead time.Duration
	over := p.overShare()
	for _, w := range p.waiting {
		if w != j && p.compareWaiting(w, j, over, now) <= 0 {
			ahead += w.prefill
		}
	}
	if j.prefill > widePrefill {
		for _, e := range p.engines {
			ahead += e.backlog(now)
		}
	}
	return ahead / time.Duration(max(1, usable))
}

// beyondLimits returns a refusal if engines limit the requests that they take and more
// requests wait than the engines take in time. Requests that are admitted then reach an
// engine by their goal, so that later ones, which have their turn before late ones, do
// not starve them. The caller holds mu.
func (p *Pool) beyondLimits(j *job, now time.Time) *Refusal {
	perSecond, limited := p.requestRate(j)
	if !limited {
		return nil
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	wait := time.Duration(len(p.waiting)) * interval
	if wait <= min(max(j.goalLeft(now), 2*interval), p.firstEventLeft(j, now)) {
		return nil
	}
	return &Refusal{Reason: "the limits of the engines leave no room", RetryAfter: max(wait, minBarTime)}
}

// requestRate estimates how many requests like the given one the engines take in a
// second, by their limits and, without one, by their slots. It reports whether any
// engine has a limit. The caller holds mu.
func (p *Pool) requestRate(j *job) (perSecond float64, limited bool) {
	runTime := max(j.prefill+p.outputTime(j), p.eventTime())
	for _, e := range p.engines {
		if e.Leaving {
			continue
		}
		rate := float64(e.Slots) / runTime.Seconds()
		if l, ok := p.limits.limit(e.process); ok {
			rate, limited = min(rate, l), true
		}
		perSecond += rate
	}
	return perSecond, limited && perSecond > 0
}

// cellLimit is what the engines of a cell take together if each of them names a limit.
type cellLimit struct {
	perSecond float64
	// atOnce is the number of requests that may come at once.
	atOnce int
}

// cellLimit returns the limit of the cell, or false if it has none. The caller holds
// mu.
func (p *Pool) cellLimit() (l cellLimit, ok bool) {
	for _, e := range p.engines {
		if e.Leaving {
			continue
		}
		limit, ok := p.limits.limit(e.process)
		if !ok {
			return cellLimit{}, false
		}
		l.perSecond += limit
		l.atOnce += limitBurst(limit)
	}
	return l, l.perSecond > 0
}

// unreached returns a refusal if the limit keeps a waiting request, with the given
// number of requests before it, from being placed in the time left. Otherwise it
// returns nil.
func (l cellLimit) unreached(before int, left time.Duration) *Refusal {
	wait := time.Duration(float64(before-l.atOnce) / l.perSecond * float64(time.Second))
	if wait <= left {
		return nil
	}
	return &Refusal{Reason: "the limits of the engines leave no room", RetryAfter: max(wait, minBarTime)}
}

// outOfTime returns a refusal if a waiting request can no longer end in time,
// otherwise nil.
func (p *Pool) outOfTime(j *job, now time.Time) *Refusal {
	usable := p.usableEngines()
	need := p.fastestFirstEvent(j, usable)
	if p.firstEventLeft(j, now) > need {
		return nil
	}
	// The requests that wait before it have their turn first.
	wait := p.queueDelay(j, usable, now)
	return &Refusal{Reason: "no place became free in time", RetryAfter: max(wait+need, minBarTime)}
}
