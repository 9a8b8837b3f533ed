package place

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/route"
)

const (
	// reportTimeout is how long a granted request is believed to run without
	// a report of its node.
	reportTimeout = 2500 * time.Millisecond
	// grantGrace is how long a node may take to report a new grant.
	grantGrace = time.Second
	// pollTimeout is how long a waiting request is kept without a call of its
	// node.
	pollTimeout = time.Second
	// pumpInterval is how often waiting requests are tried again, and pumpPause
	// the least time between two tries: each report of a node causes one.
	pumpInterval = 20 * time.Millisecond
	pumpPause    = 3 * time.Millisecond
	// pumpMisses bounds the requests that are tried in vain at a time, of long
	// and of short prompts each, so that a long queue does not use up the
	// processor.
	pumpMisses = 8
	// agingRate is how much reading time a second of waiting makes up for: the
	// longest prompts, of 30 s and more, wait for others half of their time.
	agingRate = 2.0
	// crashLimit is how many engines in a row a request may have lost before it
	// is refused: for quarantineBase, then it is tried once more, and twice as
	// long after each further loss. A request that ends well was not the cause.
	crashLimit     = 3
	quarantineBase = 10 * time.Second
	// crashMemory is how long losses are remembered.
	crashMemory = 5 * time.Minute
)

// Pool schedules the engines of one service.
type Pool struct {
	owner   string
	service string
	log     logrus.FieldLogger

	mu      sync.Mutex
	model   route.Engine
	gap     time.Duration
	slots   []*slot
	byID    map[string]*slot
	jobs    map[string]*job
	waiting []*job
	crashes map[uint64]crash
	wake    chan struct{}
	// unsure says that engines may run requests that are not known here; doubt
	// wakes the inspection.
	unsure bool
	doubt  chan struct{}
	// asked is when a place was last asked for.
	asked time.Time
}

type crash struct {
	count int
	at    time.Time
}

// job is a request that waits or runs.
type job struct {
	Request
	arrived time.Time
	// prefill is the time that one engine of normal speed needs for the prompt.
	prefill time.Duration
	value   float64
	polled  time.Time
	granted time.Time
	grant   *Grant
	refusal *Refusal
	settled chan struct{}
	slot    *slot
	helpers []*slot
	part    time.Duration
	// first and helper are the tokens that it holds at its engines.
	first, helper int
	begun         bool
	// reported is when the node last reported the request.
	reported time.Time
}

func (j *job) goalLeft(now time.Time) time.Duration { return j.Goal - now.Sub(j.arrived) }

// NewPool returns a pool without engines. Owner is the name of its node.
func NewPool(owner, service string, log logrus.FieldLogger) *Pool {
	return &Pool{
		owner: owner, service: service, log: log, byID: map[string]*slot{}, jobs: map[string]*job{},
		crashes: map[uint64]crash{}, wake: make(chan struct{}, 1),
		unsure: true, doubt: make(chan struct{}, 1),
	}
}

// Set replaces the engines and how fast they work. Gap is the tightest pause
// between events that routes of the service ask for.
func (p *Pool) Set(model route.Engine, gap time.Duration, engines []Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model, p.gap = model, gap
	known := map[string]bool{}
	for _, u := range engines {
		known[u.ID] = true
		s := p.byID[u.ID]
		if s == nil || s.Address != u.Address || !s.Started.Equal(u.Started) {
			s = &slot{jobs: map[string]*job{}, pace: 1}
			p.byID[u.ID] = s
		}
		s.Upstream = u
	}
	p.slots = p.slots[:0]
	for id, s := range p.byID {
		if !known[id] {
			s.Leaving = true
			if len(s.jobs) == 0 {
				delete(p.byID, id)
				continue
			}
		}
		p.slots = append(p.slots, s)
	}
	// Owners fill the engines in orders of their own, so that two of them do not
	// fill the same ones first while nodes disagree on the owner.
	p.slots = cells.Ranked("place/"+p.owner, p.slots, func(s *slot) string { return s.ID })
	for i, s := range p.slots {
		s.order = i
	}
	p.poke()
}

// Run places waiting requests until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-p.wake:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		p.mu.Lock()
		p.pump(time.Now())
		next := reportTimeout
		if len(p.waiting) > 0 {
			next = pumpInterval
		}
		p.mu.Unlock()
		pause(ctx, pumpPause)
		timer.Reset(next)
	}
}

func (p *Pool) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Acquire places a request or, when it must wait, returns an empty verdict
// after the wait; the node then calls again.
func (p *Pool) Acquire(ctx context.Context, req Request, wait time.Duration) Verdict {
	p.mu.Lock()
	now := time.Now()
	j := p.jobs[req.ID]
	if j == nil && !slices.ContainsFunc(p.slots, func(s *slot) bool { return !s.Leaving }) {
		p.mu.Unlock()
		return Verdict{Unready: true}
	}
	if j == nil {
		if p.unsure && now.Sub(p.asked) > inspectIdle {
			p.suspect()
		}
		p.asked = now
		j = p.submit(req, now)
		p.poke()
	}
	j.polled = now
	p.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-j.settled:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return Verdict{Grant: j.grant, Refusal: j.refusal}
}

// submit adds a request to those that wait, or refuses it. The caller holds mu.
func (p *Pool) submit(req Request, now time.Time) *job {
	j := &job{
		Request: req, arrived: now, polled: now, prefill: p.model.Prefill(req.Prompt),
		value: valueOf(req.Prompt), settled: make(chan struct{}),
	}
	if left := p.quarantine(req.Fingerprint, now); left > 0 {
		p.refuse(j, Refusal{Reason: "the request crashed several engines", RetryAfter: left, Quarantined: true})
		return j
	}
	if r := p.hopeless(j, now); r != nil {
		p.refuse(j, *r)
		return j
	}
	p.jobs[req.ID] = j
	p.waiting = append(p.waiting, j)
	return j
}

// quarantine returns how long a request is refused for the engines that it
// crashed. The caller holds mu.
func (p *Pool) quarantine(fingerprint uint64, now time.Time) time.Duration {
	c := p.crashes[fingerprint]
	if fingerprint == 0 || c.count < crashLimit {
		return 0
	}
	term := min(crashMemory, quarantineBase<<min(c.count-crashLimit, 5))
	return term - now.Sub(c.at)
}

func (p *Pool) refuse(j *job, r Refusal) {
	j.refusal = &r
	close(j.settled)
}

// Withdraw ends a request that waits, or a grant that was not used.
func (p *Pool) Withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.jobs[id]; j != nil {
		p.remove(j)
		p.poke()
	}
}

// Report takes over what a node says of its requests.
func (p *Pool) Report(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range r.Ended {
		p.end(e, now)
	}
	listed := map[string]bool{}
	for _, run := range r.Running {
		listed[run.ID] = true
		p.hear(r.Node, run, now)
	}
	if r.Full {
		for id, j := range p.jobs {
			if j.Node == r.Node && j.grant != nil && !listed[id] && now.Sub(j.granted) > grantGrace {
				p.remove(j)
			}
		}
	}
	p.poke()
}

// hear takes over one running request. The caller holds mu.
func (p *Pool) hear(node string, run Running, now time.Time) {
	j := p.jobs[run.ID]
	if j != nil && j.grant == nil {
		p.remove(j)
		j = nil
	}
	if j == nil {
		j = p.adopt(node, run, now)
		if j == nil {
			return
		}
	}
	j.reported = now
	if run.Begun && !j.begun {
		p.begin(j, now)
	}
}

// adopt takes over a request that an earlier owner, or its node alone, placed.
// The caller holds mu.
func (p *Pool) adopt(node string, run Running, now time.Time) *job {
	s := p.byID[run.Upstream]
	if s == nil {
		return nil
	}
	j := &job{
		Request: Request{
			ID: run.ID, Service: p.service, Node: node, Organisation: run.Organisation,
			Prompt: run.Prompt, Output: run.Output, Gap: run.Gap,
		},
		arrived: now, granted: now, polled: now, settled: make(chan struct{}),
		prefill: p.model.Prefill(run.Prompt), value: valueOf(run.Prompt), grant: &Grant{ID: run.ID, Upstream: s.Upstream},
	}
	close(j.settled)
	var helpers []*slot
	for _, id := range run.Helpers {
		if h := p.byID[id]; h != nil {
			helpers = append(helpers, h)
		}
	}
	p.occupy(j, s, helpers, now)
	if run.Begun {
		p.begin(j, now)
	}
	return j
}

// occupy books the engines of a request. The caller holds mu.
func (p *Pool) occupy(j *job, s *slot, helpers []*slot, now time.Time) {
	j.slot, j.helpers = s, helpers
	j.part = j.prefill / time.Duration(1+len(helpers))
	p.jobs[j.ID] = j
	j.first, j.helper = p.share(j.Prompt, j.Output, 1+len(helpers))
	s.memory += j.first
	for _, h := range helpers {
		h.memory += j.helper
	}
	for _, e := range j.engines() {
		e.jobs[j.ID] = j
		e.reading = later(e.reading, now).Add(scale(j.part, e.pace))
	}
}

func (j *job) engines() []*slot { return append([]*slot{j.slot}, j.helpers...) }

// begin records the first event of a request: its prompt has been read.
func (p *Pool) begin(j *job, now time.Time) {
	j.begun = true
	j.slot.succeed()
	for _, e := range j.engines() {
		e.reading = p.readingUntil(e, now)
	}
	for _, h := range j.helpers {
		delete(h.jobs, j.ID)
	}
}

// readingUntil estimates when an engine has read the prompts that have not
// begun. The caller holds mu.
func (p *Pool) readingUntil(e *slot, now time.Time) time.Time {
	var left, oldest time.Duration
	for _, j := range e.jobs {
		if j.grant != nil && !j.begun {
			left += scale(j.part, e.pace)
			oldest = max(oldest, min(now.Sub(j.granted), scale(j.part, e.pace)))
		}
	}
	return now.Add(min(left-min(left, oldest), max(0, e.reading.Sub(now))))
}

// end removes a request and judges its engine. The caller holds mu.
func (p *Pool) end(e Ending, now time.Time) {
	j := p.jobs[e.ID]
	if j != nil && j.slot != nil {
		p.judge(j, e, now)
	}
	if j != nil {
		p.remove(j)
	}
	if e.Outcome == Done {
		delete(p.crashes, e.Fingerprint)
	}
	if e.Outcome == Broken && e.Fingerprint != 0 {
		c := p.crashes[e.Fingerprint]
		p.crashes[e.Fingerprint] = crash{c.count + 1, now}
		for f, c := range p.crashes {
			if now.Sub(c.at) > crashMemory {
				delete(p.crashes, f)
			}
		}
	}
}

func (p *Pool) judge(j *job, e Ending, now time.Time) {
	at := j.slot
	if s := p.byID[e.Fault]; s != nil {
		at = s
	}
	switch e.Outcome {
	case Done:
		j.slot.observe(e.Pace)
		if e.Pace > 0 {
			j.slot.succeed()
		}
	case Broken:
		at.fail(now)
		p.log.WithFields(logrus.Fields{
			"event": "engine_failed", "service": p.service, "request": j.ID, "upstream": at.ID,
			"failures": at.failures, "barred_ms": at.barred.Sub(now).Milliseconds(),
		}).Warn("an engine failed a request and gets no new ones for a time")
	case Rejected:
		// The engine holds more than this node knows of, or is another one.
		at.fail(now)
		p.suspect()
	}
}

// remove forgets a request. The caller holds mu.
func (p *Pool) remove(j *job) {
	delete(p.jobs, j.ID)
	if j.grant == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *job) bool { return w == j })
		return
	}
	if j.slot == nil {
		return
	}
	now := time.Now()
	j.slot.memory -= j.first
	for _, h := range j.helpers {
		h.memory -= j.helper
	}
	for _, e := range j.engines() {
		delete(e.jobs, j.ID)
		if !j.begun {
			e.reading = p.readingUntil(e, now)
		}
	}
}

// expire removes requests whose node is gone. The caller holds mu.
func (p *Pool) expire(now time.Time) {
	for _, j := range p.jobs {
		switch {
		case j.grant == nil && now.Sub(j.polled) > pollTimeout:
			p.remove(j)
		case j.grant != nil && now.Sub(later(j.granted, j.reported)) > reportTimeout:
			p.remove(j)
		}
	}
}

// pump grants places to waiting requests in their order. The caller holds mu.
func (p *Pool) pump(now time.Time) {
	p.expire(now)
	if len(p.waiting) == 0 {
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
	j.grant = &Grant{ID: j.ID, Upstream: plan.main.Upstream, Expected: plan.finish}
	_, reserve := p.share(j.Prompt, j.Output, 1+len(plan.helpers))
	for _, h := range plan.helpers {
		j.grant.Helpers = append(j.grant.Helpers, Helper{ID: h.ID, Address: h.Address, Reserve: reserve})
	}
	p.occupy(j, plan.main, plan.helpers, now)
	close(j.settled)
	p.log.WithFields(logrus.Fields{
		"event": "granted", "service": p.service, "request": j.ID, "upstream": plan.main.ID,
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
