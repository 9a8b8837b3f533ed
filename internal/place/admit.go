package place

import (
	"time"
)

// urgent reports whether a request that is late has to be placed soon to end in
// time.
func (p *Pool) urgent(j *job, engines int, now time.Time) bool {
	return p.firstLeft(j, now) < scale(p.shortest(j, engines), urgency)
}

// firstLeft returns the time left until the first event comes too late: the
// caller gives up, or the answer would be cut off.
func (p *Pool) firstLeft(j *job, now time.Time) time.Duration {
	waited := now.Sub(j.arrived)
	return min(j.Patience, j.Remaining-scale(p.output(j), likelyOutput)) - waited
}

// shortest returns the time to the first event with as many engines as may read
// the prompt.
func (p *Pool) shortest(j *job, engines int) time.Duration {
	return j.prefill/time.Duration(max(1, min(engines, 1+maxHelpers))) + p.eventTime()
}

// hopeless refuses a request that cannot end in time given what waits before
// it; short prompts do not wait for long ones. Half of the expected output counts, as answers are often shorter. The caller holds mu.
func (p *Pool) hopeless(j *job, now time.Time) *Refusal {
	usable := 0
	for _, s := range p.slots {
		if !s.Leaving {
			usable++
		}
	}
	if each, _ := p.share(j.Prompt, j.Output, min(usable, 1+maxHelpers)); each > p.room() {
		return &Refusal{Reason: "the prompt needs more memory than the engines have", RetryAfter: time.Second}
	}
	need := p.shortest(j, usable)
	wait := p.wait(j, usable, now)
	left := p.firstLeft(j, now)
	if wait+need <= left {
		return nil
	}
	return &Refusal{Reason: "the request cannot end in time", RetryAfter: max(wait+need-left, penaltyBase)}
}

// wait estimates how long a request will wait for a place. Short prompts find
// one beside others; long ones wait for the requests that come before them,
// and for all engines when they need many.
func (p *Pool) wait(j *job, usable int, now time.Time) time.Duration {
	if !p.long(j) {
		return 0
	}
	var ahead time.Duration
	over := p.overShare()
	for _, w := range p.waiting {
		if p.compare(w, j, over, now) <= 0 {
			ahead += w.prefill
		}
	}
	if j.prefill > wideReading {
		for _, s := range p.slots {
			ahead += s.backlog(now)
		}
	}
	return ahead / time.Duration(usable)
}

// expired refuses a waiting request that can no longer end in time.
func (p *Pool) expired(j *job, now time.Time) *Refusal {
	if p.firstLeft(j, now) > p.shortest(j, len(p.slots)) {
		return nil
	}
	return &Refusal{Reason: "no place became free in time", RetryAfter: penaltyBase}
}
