package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/route"
)

// plan is a possible choice of engines for a request.
type plan struct {
	main    *engine
	helpers []*engine
	// expected is the expected time to the first event.
	expected time.Duration
	// loss is the value that running streams lose by the plan.
	loss float64
	// isolated is set if no other request begins on the main engine (see isolate).
	isolated bool
}

// candidate is an engine that may take a request or a part of its prompt. Loss is
// the value that the engine's running streams lose if it does.
type candidate struct {
	*engine
	backlog time.Duration
	loss    float64
	// slotsUsed is the number of requests that hold a slot of the engine, and
	// streams groups those that have an allowed gap.
	slotsUsed int
	streams   []streamGroup
}

// streamGroup sums up the streams of an engine with the same allowed gap. They are
// late if a prefill on the engine takes longer than slack, and count as abandoned by
// their callers if it takes longer than abandon. Weight is the sum of their values.
type streamGroup struct {
	gap, slack, abandon time.Duration
	weight              float64
}

// candidateOf returns an engine with its backlog and running streams.
func (p *Pool) candidateOf(e *engine, now time.Time) candidate {
	c := candidate{engine: e, backlog: e.backlog(now)}
	// Little is known of requests that no node reports. Most have short prompts, so
	// each counts as a stream with the tightest gap and a value of one.
	p.addStreams(&c, p.tightestGap, e.unreported, float64(e.unreported))
	for _, j := range e.jobs {
		if j.main == e {
			p.addStreams(&c, j.MaxGap, 1, j.value)
		}
	}
	return c
}

// addStreams adds streams with the same allowed gap to a candidate.
func (p *Pool) addStreams(c *candidate, gap time.Duration, count int, weight float64) {
	c.slotsUsed += count
	if gap <= 0 || count == 0 {
		return
	}
	i := slices.IndexFunc(c.streams, func(g streamGroup) bool { return g.gap == gap })
	if i < 0 {
		i = len(c.streams)
		c.streams = append(c.streams, streamGroup{
			gap: gap, slack: p.prefillSlack(gap), abandon: scale(route.AbandonTimeout(0, gap), abandonShare),
		})
	}
	c.streams[i].weight += weight
}

// candidates returns the engines that may take a request or a part of its prompt.
// Engines that take no request now, by the limit that they name or by a pause that they
// asked for, are left out.
// Slow engines, and those that the request avoids, are only returned if there are
// no others.
func (p *Pool) candidates(j *job, now time.Time) []candidate {
	var preferred, avoided []candidate
	excludeBarred := p.excludesBarred(now)
	for _, e := range p.engines {
		if e.Leaving || excludeBarred && !e.usable(now) || !p.limits.ready(e.process) || now.Before(j.pausedUntil[e.process]) {
			continue
		}
		c := p.candidateOf(e, now)
		if slices.Contains(j.Avoid, e.ID) || e.slowdown >= slowThreshold {
			avoided = append(avoided, c)
		} else {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) == 0 {
		return avoided
	}
	return preferred
}

// excludesBarred reports whether engines that failed lately get no requests. If
// they are more than maxBarredShare of all engines, they do get requests, as the
// fault is likely elsewhere or no better engines are left.
func (p *Pool) excludesBarred(now time.Time) bool {
	failed, all := 0, 0
	for _, e := range p.engines {
		if e.Leaving {
			continue
		}
		all++
		if !e.usable(now) {
			failed++
		}
	}
	return float64(failed) <= maxBarredShare*float64(all)
}

// memoryLimit returns how many tokens an engine can hold. There is no limit if the
// model does not set one.
func (p *Pool) memoryLimit() int {
	if p.model.Memory == 0 {
		return math.MaxInt
	}
	return int(usableMemoryShare * float64(p.model.Memory))
}

// memoryNeed returns the memory that a request needs at the main engine and at
// each helper when n engines prefill it. The main engine holds all of it or, if
// that is too much for one engine, each engine holds an equal part.
func (p *Pool) memoryNeed(prompt, output, n int) (mainNeed, helperNeed int) {
	if total := prompt + output; total > p.memoryLimit() {
		each := (total + n - 1) / n
		return each, each
	}
	return prompt + output, 0
}

// bestPlan returns the plan with the least loss over all numbers of helpers. The
// loss includes the value that the request itself loses if it is late. At equal loss,
// bestPlan returns the plan with the earliest first event.
func (p *Pool) bestPlan(j *job, engines []candidate, now time.Time) (plan, bool) {
	maxCount := 1
	if p.isLong(j) {
		maxCount = min(len(engines), 1+maxHelpers)
	}
	if maxCount > 1 {
		engines = slices.DeleteFunc(slices.Clone(engines), func(c candidate) bool { return c.backlog > maxPrefillOverlap })
		maxCount = min(maxCount, len(engines))
	}
	var best plan
	found := false
	bestCost := math.Inf(1)
	for n := 1; n <= maxCount; n++ {
		pl, ok := p.cheapestPlan(j, engines, n, now)
		if !ok || pl.expected > p.firstEventLeft(j, now) {
			// The first event would come too late, so the work would be wasted.
			continue
		}
		cost := pl.loss
		if pl.expected > j.goalLeft(now)-firstEventMargin {
			cost += lateLoss * j.value
		}
		if !found || cost < bestCost || cost == bestCost && pl.expected < best.expected {
			best, bestCost, found = pl, cost, true
		}
	}
	return best, found
}

// cheapestPlan returns the plan with the least loss for n engines. It sets the loss
// of the candidates and reorders them.
func (p *Pool) cheapestPlan(j *job, engines []candidate, n int, now time.Time) (plan, bool) {
	part := j.prefill / time.Duration(n)
	long := p.isLong(j)
	for i := range engines {
		c := &engines[i]
		c.loss = c.streamLoss(c.backlog + scale(part, c.slowdown))
	}
	prefillLimit := j.goalLeft(now) - firstEventMargin - p.firstEventDelay()
	slices.SortFunc(engines, func(a, b candidate) int {
		if long {
			return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.backlog, b.backlog), cmp.Compare(b.order, a.order))
		}
		return p.compareShort(j, a, b, prefillLimit)
	})
	mainNeed, helperNeed := p.memoryNeed(j.PromptTokens, j.OutputTokens, n)
	if mainNeed > p.memoryLimit() {
		return plan{}, false
	}
	mainIndex := slices.IndexFunc(engines, func(c candidate) bool { return c.slotsUsed < c.Slots && c.memoryUsed+mainNeed <= p.memoryLimit() })
	if mainIndex < 0 {
		return plan{}, false
	}
	pl := plan{main: engines[mainIndex].engine}
	add := func(c candidate) {
		pl.loss += c.loss
		pl.expected = max(pl.expected, c.backlog+scale(part, c.slowdown))
	}
	add(engines[mainIndex])
	for i := 0; len(pl.helpers) < n-1 && i < len(engines); i++ {
		if i == mainIndex || engines[i].memoryUsed+helperNeed > p.memoryLimit() {
			continue
		}
		pl.helpers = append(pl.helpers, engines[i].engine)
		add(engines[i])
	}
	pl.expected += p.firstEventDelay()
	return pl, len(pl.helpers) == n-1
}

// firstEventDelay returns the time that the first event takes beyond the prefill.
func (p *Pool) firstEventDelay() time.Duration {
	return scale(p.eventTime(), firstEventIntervals+joinIntervals)
}

// compareShort orders engines for a short prompt. Engines on which the prompt is on
// time and delays no stream come first. Among them, engines with more than spareSlots
// free slots come first, in their fill order, so that the last engines stay free for
// long prompts.
func (p *Pool) compareShort(j *job, a, b candidate, prefillLimit time.Duration) int {
	queueLimit := scale(prefillLimit, queueShare)
	totalLoss := func(c candidate) float64 {
		loss := c.loss
		if c.backlog+scale(j.prefill, c.slowdown) > prefillLimit {
			loss += lateLoss
		}
		return loss
	}
	queueing := func(c candidate) time.Duration {
		if c.backlog == 0 || c.backlog+scale(j.prefill, c.slowdown) <= queueLimit {
			return 0
		}
		return c.backlog
	}
	// occupancy is 2 without a free slot, 1 with at most spareSlots free slots, and 0
	// with more.
	occupancy := func(c candidate) int {
		switch n := c.slotsUsed; {
		case n >= c.Slots:
			return 2
		case n >= c.Slots-spareSlots:
			return 1
		}
		return 0
	}
	occupancyA, occupancyB := occupancy(a), occupancy(b)
	if occupancyA == 2 || occupancyB == 2 {
		return cmp.Compare(occupancyA, occupancyB)
	}
	return cmp.Or(cmp.Compare(totalLoss(a), totalLoss(b)), cmp.Compare(occupancyA, occupancyB), cmp.Compare(queueing(a), queueing(b)), cmp.Compare(a.order, b.order))
}

// streamLoss returns the value that the streams of an engine lose, being late or
// abandoned, when a prefill delays them.
func (c *candidate) streamLoss(prefill time.Duration) float64 {
	loss := 0.0
	for _, g := range c.streams {
		switch {
		case prefill > g.abandon:
			loss += abandonLoss * g.weight
		case prefill > g.slack:
			loss += lateLoss * g.weight
		}
	}
	return loss
}
