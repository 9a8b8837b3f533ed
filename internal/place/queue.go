package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// pump grants places to waiting requests in their order. The caller holds mu.
func (p *Pool) pump(now time.Time) {
	p.expire(now)
	if len(p.waiting) == 0 || p.isBlind(now) {
		return
	}
	p.sortWaiting(now)
	misses := map[bool]int{}
	for _, j := range slices.Clone(p.waiting) {
		if r := p.expired(j, now); r != nil {
			p.remove(j)
			p.refuse(j, *r)
			continue
		}
		if misses[p.long(j)] >= pumpMisses {
			continue
		}
		plan, ok := p.choose(j, now)
		if !ok {
			misses[p.long(j)]++
			continue
		}
		p.give(j, plan, now)
	}
}

// give grants a plan. The caller holds mu.
func (p *Pool) give(j *job, plan plan, now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *job) bool { return w == j })
	j.granted = now
	j.grant = &Grant{ID: j.ID, Cell: p.cell, Upstream: plan.main.Upstream, Expected: plan.finish}
	_, reserve := p.share(j.Prompt, j.Output, 1+len(plan.helpers))
	for _, h := range plan.helpers {
		j.grant.Helpers = append(j.grant.Helpers, Helper{ID: h.ID, Address: h.Address, Reserve: reserve})
	}
	p.occupy(j, plan.main, plan.helpers, now)
	close(j.settled)
	p.log.WithFields(logrus.Fields{
		"event": "granted", "cell": p.cell, "request": j.ID, "upstream": plan.main.ID,
		"helpers": len(plan.helpers), "waited_ms": now.Sub(j.arrived).Milliseconds(),
		"expected_ms": plan.finish.Milliseconds(), "goal_ms": j.goalLeft(now).Milliseconds(),
		"disturbed": plan.loss, "running": len(p.jobs) - len(p.waiting), "waiting": len(p.waiting),
	}).Info("a request was placed")
}

// sortWaiting orders the waiting requests: those of organisations within
// their share first, then by priority, then those whose goal has not passed,
// then those that take least time to read. Waiting makes up for a longer prompt,
// so that each one has its turn. The caller holds mu.
func (p *Pool) sortWaiting(now time.Time) {
	over := p.overShare()
	slices.SortStableFunc(p.waiting, func(a, b *job) int { return p.compare(a, b, over, now) })
}

// compare orders two waiting requests.
func (p *Pool) compare(a, b *job, over map[string]bool, now time.Time) int {
	return cmp.Or(
		compareBool(over[a.Organisation], over[b.Organisation]),
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.goalLeft(now) < 0, b.goalLeft(now) < 0),
		cmp.Compare(a.turn(now), b.turn(now)),
	)
}

// turn orders requests of the same rank.
func (j *job) turn(now time.Time) time.Duration {
	return j.prefill - scale(now.Sub(j.arrived), agingRate)
}

// overShare returns the organisations that run more than an equal part of the
// work while others wait. The caller holds mu.
func (p *Pool) overShare() map[string]bool {
	work := map[string]time.Duration{}
	var total time.Duration
	for _, j := range p.jobs {
		if j.grant != nil {
			work[j.Organisation] += j.prefill
			total += j.prefill
		} else if _, ok := work[j.Organisation]; !ok {
			work[j.Organisation] = 0
		}
	}
	over := map[string]bool{}
	for o, w := range work {
		// An organisation keeps its turn until it holds twice an equal part.
		over[o] = w > 2*total/time.Duration(max(1, len(work)))
	}
	return over
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
