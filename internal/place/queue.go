package place

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
)

// dispatch tries to place the waiting requests in their order, and refuses those that
// can no longer be served. The caller holds mu.
func (p *Pool) dispatch(now time.Time) {
	p.applyNotices()
	p.removeAbandoned(now)
	if len(p.waiting) == 0 {
		return
	}
	p.sortWaiting(now)
	round := dispatchRound{usable: p.usableEngines(), misses: map[bool]int{}}
	round.limit, round.limited = p.cellLimit()
	for _, j := range slices.Clone(p.waiting) {
		err := guard.Do(context.Background(), p.cellLog, "placement", func(context.Context) error {
			p.offer(j, &round, now)
			return nil
		})
		if err != nil {
			p.dropFaulty(j, err)
		}
	}
}

// dispatchRound is the state of one call of dispatch.
type dispatchRound struct {
	// usable is the number of usable engines, and kept that of the requests so far
	// that keep waiting.
	usable, kept int
	// limit is that of the cell, if limited is set.
	limit   cellLimit
	limited bool
	// misses counts the requests that could not be placed, separately for long
	// (true) and for short prompts.
	misses map[bool]int
}

// offer places or refuses a waiting request, or keeps it waiting. The caller holds mu.
func (p *Pool) offer(j *job, round *dispatchRound, now time.Time) {
	verdict := p.crashes.Check(j.Content)
	r := quarantineRefusal(verdict)
	if r == nil {
		r = p.pausedRefusal(j, now)
	}
	if r == nil {
		r = p.unservable(j, round.usable, now)
	}
	if r == nil {
		r = p.outOfTime(j, now)
	}
	if r == nil && round.limited {
		r = round.limit.unreached(round.kept, p.firstEventLeft(j, now))
	}
	if r != nil {
		p.remove(j)
		p.refuse(j, *r)
		return
	}
	j.suspects = verdict.Suspects
	if p.place(j, round, now) {
		return
	}
	round.kept++
}

// place grants engines to a request and returns true, or returns false if the request
// should wait. The caller holds mu.
func (p *Pool) place(j *job, round *dispatchRound, now time.Time) bool {
	if len(j.suspects) > 0 && p.runsUnanswered(j.suspects) || round.misses[p.isLong(j)] >= maxDispatchMisses {
		return false
	}
	plan, ok := p.choose(j, now)
	if !ok {
		round.misses[p.isLong(j)]++
		return false
	}
	p.grantPlan(j, plan, now)
	return true
}

// tryDispatch calls dispatch and returns when to call it again at the latest. If
// dispatch fails unexpectedly, the waiting requests are refused, since none of them
// may ever get its turn.
func (p *Pool) tryDispatch() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := guard.Do(context.Background(), p.cellLog, "dispatch", func(context.Context) error {
		p.dispatch(time.Now())
		return nil
	})
	if err != nil {
		for _, j := range slices.Clone(p.waiting) {
			p.dropFaulty(j, err)
		}
	}
	if len(p.waiting) > 0 {
		return dispatchInterval
	}
	return reportTimeout
}

// dropFaulty refuses a request whose placement failed unexpectedly, so that the
// others are still placed. The caller holds mu.
func (p *Pool) dropFaulty(j *job, err error) {
	p.log.WithError(err).WithFields(logrus.Fields{"event": "placement_failed", "cell": p.cell, "request": j.ID}).
		Error("the placement of a request failed unexpectedly")
	p.remove(j)
	select {
	case <-j.decided:
		return
	default:
	}
	j.grant = nil
	p.refuse(j, Refusal{Reason: "the request could not be placed", RetryAfter: minBarTime})
}

// grantPlan grants the engines of a plan to a request. The caller holds mu.
func (p *Pool) grantPlan(j *job, plan plan, now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *job) bool { return w == j })
	j.grantedAt = now
	j.grant = &Grant{ID: j.ID, Cell: p.cell, Upstream: plan.main.Upstream, Expected: plan.expected}
	if plan.isolated {
		j.grant.Suspects = j.suspects
	}
	_, reserve := p.memoryNeed(j.PromptTokens, j.OutputTokens, 1+len(plan.helpers))
	for _, h := range plan.helpers {
		j.grant.Helpers = append(j.grant.Helpers, Helper{ID: h.ID, Address: h.Address, Process: h.process, Reserve: reserve})
	}
	p.occupy(j, plan.main, plan.helpers, now)
	for _, e := range j.engines() {
		p.limits.take(e.process)
	}
	_, j.grant.Limited = p.limits.limit(plan.main.process)
	close(j.decided)
	log := p.log
	if len(j.grant.Suspects) > 0 {
		log = log.WithField("trial", j.grant.Suspects)
	}
	log.WithFields(logrus.Fields{
		"event": "granted", "cell": p.cell, "request": j.ID, "upstream": plan.main.ID,
		"helpers": len(plan.helpers), "waited_ms": now.Sub(j.arrivedAt).Milliseconds(),
		"expected_ms": plan.expected.Milliseconds(), "goal_ms": j.goalLeft(now).Milliseconds(),
		"disturbed": plan.loss, "running": len(p.jobs) - len(p.waiting), "waiting": len(p.waiting),
	}).Info("a request was placed")
}

// sortWaiting sorts the waiting requests: first those of organisations that are not
// over their share (see overShare), then by priority, then those whose goal has not
// passed, then by prefill time less the credit for waiting. The credit keeps long
// prompts from waiting forever. The caller holds mu.
func (p *Pool) sortWaiting(now time.Time) {
	over := p.overShare()
	slices.SortStableFunc(p.waiting, func(a, b *job) int { return p.compareWaiting(a, b, over, now) })
}

// compareWaiting is the order of sortWaiting.
func (p *Pool) compareWaiting(a, b *job, over map[string]bool, now time.Time) int {
	return cmp.Or(
		compareBool(over[a.Organisation], over[b.Organisation]),
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.goalLeft(now) < 0, b.goalLeft(now) < 0),
		cmp.Compare(a.agedPrefill(now), b.agedPrefill(now)),
	)
}

// agedPrefill returns the prefill time less the credit for waiting (see agingRate).
func (j *job) agedPrefill(now time.Time) time.Duration {
	return j.prefill - scale(now.Sub(j.arrivedAt), agingRate)
}

// overShare reports, for each organisation with running or waiting requests, whether
// it runs more than twice an equal share of the work. Work is measured in prefill
// time, and all these organisations have equal shares. The caller holds mu.
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
		// Up to twice an equal share, requests of an organisation are not put last.
		over[o] = w > 2*total/time.Duration(max(1, len(work)))
	}
	return over
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
