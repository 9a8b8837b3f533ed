package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/route"
)

// plan is a choice of engines for a request.
type plan struct {
	main    *slot
	helpers []*slot
	// finish is the expected time to the first event.
	finish time.Duration
	// loss is the value of running requests that become late.
	loss float64
}

// candidate is an engine with what it costs to add a part of a prompt there.
type candidate struct {
	*slot
	backlog time.Duration
	loss    float64
	// places is the number of its requests that hold a place, and streams what
	// they are worth by the pause that they allow.
	places  int
	streams []streams
}

// streams are the running streams of an engine that allow the same pause.
type streams struct {
	gap, slack, abandon time.Duration
	count               int
	weight              float64
}

// candidateOf sums up what runs on an engine.
func (p *Pool) candidateOf(s *slot, now time.Time) candidate {
	c := candidate{slot: s, backlog: s.backlog(now)}
	p.addStreams(&c, p.gap, s.unreported, float64(s.unreported))
	for _, j := range s.jobs {
		if j.slot == s {
			p.addStreams(&c, j.Gap, 1, j.value)
		}
	}
	return c
}

// addStreams adds streams that allow a pause. Of requests that no node reports
// little is known; most are short ones.
func (p *Pool) addStreams(c *candidate, gap time.Duration, count int, weight float64) {
	c.places += count
	if gap <= 0 || count == 0 {
		return
	}
	at := slices.IndexFunc(c.streams, func(g streams) bool { return g.gap == gap })
	if at < 0 {
		at = len(c.streams)
		c.streams = append(c.streams, streams{
			gap: gap, slack: p.slack(gap), abandon: scale(route.Patience(0, gap), abandonShare),
		})
	}
	c.streams[at].count += count
	c.streams[at].weight += weight
}

// candidates returns the engines that may take a request, or a part of it.
func (p *Pool) candidates(j *job, now time.Time) []candidate {
	var free, avoided []candidate
	barred := p.barred(now)
	for _, s := range p.slots {
		if s.Leaving || barred && !s.usable(now) {
			continue
		}
		c := p.candidateOf(s, now)
		if slices.Contains(j.Avoid, s.ID) || s.pace >= slowPace {
			avoided = append(avoided, c)
		} else {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return avoided
	}
	return free
}

// barred reports whether engines that failed lately are passed over. When they
// are more than maxBarred of all, the fault is likely elsewhere, or nothing
// better is left.
func (p *Pool) barred(now time.Time) bool {
	failed, all := 0, 0
	for _, s := range p.slots {
		if s.Leaving {
			continue
		}
		all++
		if !s.usable(now) {
			failed++
		}
	}
	return float64(failed) <= maxBarred*float64(all)
}

// room returns how many tokens an engine can hold, without a bound where the
// model names none.
func (p *Pool) room() int {
	if p.model.Memory == 0 {
		return math.MaxInt
	}
	return int(memorySafety * float64(p.model.Memory))
}

// share returns the memory that a request needs at each of n engines: all of
// it at the first one or, when it is too large for an engine, an equal part.
func (p *Pool) share(prompt, output, n int) (first, helper int) {
	if total := prompt + output; total > p.room() {
		each := (total + n - 1) / n
		return each, each
	}
	return prompt + output, 0
}

// bestPlan weighs plans with different numbers of helpers.
func (p *Pool) bestPlan(j *job, free []candidate, now time.Time) (plan, bool) {
	limit := 1
	if p.long(j) {
		limit = min(len(free), 1+maxHelpers)
	}
	if limit > 1 {
		free = slices.DeleteFunc(slices.Clone(free), func(c candidate) bool { return c.backlog > readOverlap })
		limit = min(limit, len(free))
	}
	var best plan
	found := false
	bestTotal := math.Inf(1)
	for n := 1; n <= limit; n++ {
		pl, ok := p.planOf(j, free, n, now)
		if !ok || pl.finish > p.firstLeft(j, now) {
			// It would take the engines' time and still come too late.
			continue
		}
		total := pl.loss
		if pl.finish > j.goalLeft(now)-firstSafety {
			total += lateLoss * j.value
		}
		if !found || total < bestTotal || total == bestTotal && pl.finish < best.finish {
			best, bestTotal, found = pl, total, true
		}
	}
	return best, found
}

// planOf returns the cheapest plan with n engines.
func (p *Pool) planOf(j *job, free []candidate, n int, now time.Time) (plan, bool) {
	part := j.prefill / time.Duration(n)
	long := p.long(j)
	for i := range free {
		c := &free[i]
		c.loss = c.disturbed(c.backlog+scale(part, c.pace), long, p.gap)
	}
	limit := j.goalLeft(now) - firstSafety - p.firstDelay()
	slices.SortFunc(free, func(a, b candidate) int {
		if long {
			return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.backlog, b.backlog), cmp.Compare(b.order, a.order))
		}
		return p.compareShort(j, a, b, limit)
	})
	first, helper := p.share(j.Prompt, j.Output, n)
	if first > p.room() {
		return plan{}, false
	}
	at := slices.IndexFunc(free, func(c candidate) bool { return c.places < c.Slots && c.memory+first <= p.room() })
	if at < 0 {
		return plan{}, false
	}
	pl := plan{main: free[at].slot}
	add := func(c candidate) {
		pl.loss += c.loss
		pl.finish = max(pl.finish, c.backlog+scale(part, c.pace))
	}
	add(free[at])
	for i := 0; len(pl.helpers) < n-1 && i < len(free); i++ {
		if i == at || free[i].memory+helper > p.room() {
			continue
		}
		pl.helpers = append(pl.helpers, free[i].slot)
		add(free[i])
	}
	pl.finish += p.firstDelay()
	return pl, len(pl.helpers) == n-1
}

// firstDelay is the time from the end of reading to the first event.
func (p *Pool) firstDelay() time.Duration { return scale(p.eventTime(), firstEvents+passWait) }

// compareShort orders engines for a short prompt: those on which it is on time
// and disturbs nobody, in their fixed order up to spareSlots places, so that
// the last engines stay free for long prompts.
func (p *Pool) compareShort(j *job, a, b candidate, limit time.Duration) int {
	soft := scale(limit, queueShare)
	bad := func(c candidate) float64 {
		loss := c.loss
		if c.backlog+scale(j.prefill, c.pace) > limit {
			loss += lateLoss
		}
		return loss
	}
	queues := func(c candidate) time.Duration {
		if c.backlog == 0 || c.backlog+scale(j.prefill, c.pace) <= soft {
			return 0
		}
		return c.backlog
	}
	full := func(c candidate) int {
		switch n := c.places; {
		case n >= c.Slots:
			return 2
		case n >= c.Slots-spareSlots:
			return 1
		}
		return 0
	}
	fa, fb := full(a), full(b)
	if fa == 2 || fb == 2 {
		return cmp.Compare(fa, fb)
	}
	return cmp.Or(cmp.Compare(bad(a), bad(b)), cmp.Compare(fa, fb), cmp.Compare(queues(a), queues(b)), cmp.Compare(a.order, b.order))
}

// disturbed returns the value of the streams on an engine that become late, or
// are lost, by a reading time. Long prompts also pay for each stream with the
// tightest gap beside them.
func (c *candidate) disturbed(reading time.Duration, long bool, tightest time.Duration) float64 {
	loss := 0.0
	for _, g := range c.streams {
		switch {
		case reading > g.abandon:
			loss += abandonLoss * g.weight
		case reading > g.slack:
			loss += lateLoss * g.weight
		case long && g.gap <= tightest:
			loss += mixingLoss * float64(g.count)
		}
	}
	return loss
}
