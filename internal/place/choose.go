package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxHelpers is how many engines may read parts of a prompt for another.
	maxHelpers = 16
	// gapSafety is the part of an allowed pause that is left unused, since
	// events are delayed on their way and engines differ.
	gapSafety = 0.2
	// firstSafety is the time kept between the expected first event and the
	// goal, for the way to the caller.
	firstSafety = 15 * time.Millisecond
	// lateLoss is the part of a request's value that is lost when it is late.
	lateLoss = 0.75
	// sizeExponent relates the value of a request to the size of its prompt:
	// ten times the tokens count 4.5 times as much.
	sizeExponent = 0.65
	// unitTokens is the prompt whose value is one.
	unitTokens = 5000
	// patience is the slack to the goal above which a request waits for engines
	// on which it disturbs nobody.
	patience = 150 * time.Millisecond
	// spareSlots is how many places of an engine short prompts leave free at
	// first, so that the last ones go to engines that work less.
	spareSlots = 1
	// urgency is the multiple of its reading time that a late request may have
	// left, beside the time to write, before it is placed wherever that costs
	// others less than it is worth.
	urgency = 2.5
	// wideReading is the reading time from which a prompt takes most engines.
	wideReading = time.Second
	// spareEngines is the part of the engines that may be busy before the time
	// of the others is worth something.
	spareEngines = 0.6
	// priceOfReading is the value of a second of reading while all engines are
	// busy: what a prompt of 250,000 tokens yields, so that longer ones, which
	// yield less, wait for a quieter time or until they are urgent.
	priceOfReading = 1.6
	// likelyOutput is the part of the largest output that a request is taken to
	// write when it is weighed whether it can end in time.
	likelyOutput = 0.3
	// abandonGaps times the allowed pause, at least abandonMin, is the pause
	// after which callers give a stream up; it is lost then, not only late, and
	// abandonLoss times its value counts, since its work is done again.
	abandonGaps = 8
	abandonMin  = 2 * time.Second
	abandonLoss = 3.0
	// abandonShare of that pause counts as all of it: engines read slower than
	// planned, and gateways leave an engine that is silent for 0.8 of it.
	abandonShare = 0.6
	// readOverlap is the reading that an engine may have left when it gets a
	// part of a long prompt. Engines read the newest part first, so that one
	// which waits behind others on the engine may starve; it waits here instead.
	readOverlap = 40 * time.Millisecond
	// mixingLoss is the cost of each running stream on an engine that reads a
	// long prompt beside it without delaying it: new short prompts have to go
	// to other engines meanwhile.
	mixingLoss = 0.02
	// firstEvents is the time from the end of reading to the first event, and
	// passWait the usual wait for the end of the pass that an engine is in when
	// a request arrives, both in times between events.
	firstEvents = 1.0
	passWait    = 0.5
	// queueShare is the part of the time to the goal that may go into reading,
	// the prompt itself included, before a short prompt takes an engine that is
	// kept for long ones.
	queueShare = 0.4
	// freeLoss is the loss up to which a plan counts as disturbing nobody.
	freeLoss = 0.5
	// maxBarred is the part of the engines that may be passed over for failures.
	maxBarred = 0.4
	// memorySafety is the part of an engine's memory that is planned with.
	memorySafety = 0.97
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

// valueOf returns the value of a prompt relative to one of unitTokens.
func valueOf(prompt int) float64 {
	return math.Pow(max(1, float64(prompt))/unitTokens, sizeExponent)
}

// long reports whether a prompt takes so long to read that a stream with the
// tightest gap beside it would be late.
func (p *Pool) long(j *job) bool { return j.prefill > p.slack(p.gap) }

// slack returns how much reading an engine may do at once without delaying an
// event of a stream beyond an allowed pause.
func (p *Pool) slack(gap time.Duration) time.Duration {
	return time.Duration(float64(gap)*(1-gapSafety)) - p.eventTime()
}

// output returns the time to write the answer of a request.
func (p *Pool) output(j *job) time.Duration {
	return time.Duration(j.Output) * p.model.Step(p.model.Slots, p.model.Slots*unitTokens)
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
	c := candidate{slot: s, backlog: s.backlog(now), places: s.foreign}
	for _, j := range s.jobs {
		if j.slot != s {
			continue
		}
		c.places++
		if j.Gap <= 0 {
			continue
		}
		at := slices.IndexFunc(c.streams, func(g streams) bool { return g.gap == j.Gap })
		if at < 0 {
			at = len(c.streams)
			c.streams = append(c.streams, streams{
				gap: j.Gap, slack: p.slack(j.Gap),
				abandon: scale(max(abandonMin, abandonGaps*j.Gap), abandonShare),
			})
		}
		c.streams[at].count++
		c.streams[at].weight += j.value
	}
	return c
}

// choose returns the engines for a request, or false when it should wait. The
// caller holds mu.
func (p *Pool) choose(j *job, now time.Time) (plan, bool) {
	engines := p.candidates(j, now)
	if len(engines) == 0 {
		return plan{}, false
	}
	best, ok := p.bestPlan(j, engines, now)
	if !ok {
		return plan{}, false
	}
	left := j.goalLeft(now) - firstSafety
	onTime := best.finish <= left
	free := best.loss < freeLoss
	dear := p.price(engines)*j.prefill.Seconds() > lateLoss*j.value
	missed := j.prefill/time.Duration(min(len(engines), 1+maxHelpers)) > left
	switch {
	case dear && !p.urgent(j, len(engines), now):
		return plan{}, false
	case free && (onTime || missed):
		return best, true
	case onTime && left-best.finish > patience:
		return plan{}, false
	case onTime && best.loss < lateLoss*j.value:
		return best, true
	case p.urgent(j, len(engines), now) && best.loss < j.value:
		return best, true
	}
	return plan{}, false
}

// price returns what a second of an engine's reading is worth to others now,
// from the part of the engines that are busy.
func (p *Pool) price(engines []candidate) float64 {
	busy := 0
	for _, c := range engines {
		if c.backlog > 0 || 2*c.places >= c.Slots {
			busy++
		}
	}
	used := float64(busy) / float64(len(engines))
	return priceOfReading * max(0, used-spareEngines) / (1 - spareEngines)
}

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

// eventTime is the usual time between events on a full engine.
func (p *Pool) eventTime() time.Duration {
	return p.model.EventTime(p.model.Slots, p.model.Slots*unitTokens)
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
	limit := j.goalLeft(now) - firstSafety - scale(p.eventTime(), firstEvents+passWait)
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
	pl.finish += scale(p.eventTime(), firstEvents+passWait)
	return pl, len(pl.helpers) == n-1
}

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
