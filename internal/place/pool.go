package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
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

// MaxEngines is the largest number of engines in a cell. An owner of 76 engines
// uses about a tenth of a core in the users' bench, and a prompt is read by 17 at
// most.
const MaxEngines = 128

// Pool schedules the engines of one cell.
type Pool struct {
	owner string
	cell  string
	log   logrus.FieldLogger

	mu      sync.Mutex
	model   route.Engine
	gap     time.Duration
	slots   []*slot
	byID    map[string]*slot
	jobs    map[string]*job
	waiting []*job
	crashes map[uint64]crash
	wake    chan struct{}
	// unsure says that engines may run requests that are not known here; inspect
	// wakes the inspection.
	unsure  bool
	inspect chan struct{}
	// inspected says that engines are asked for their load at need.
	inspected bool
	// asked is when a place was last asked for, heard when a node last reported,
	// and blind since when the first answers of the engines are awaited.
	asked, heard, blind time.Time
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
func NewPool(owner, cell string, log logrus.FieldLogger) *Pool {
	return &Pool{
		owner: owner, cell: cell, log: log, byID: map[string]*slot{}, jobs: map[string]*job{},
		crashes: map[uint64]crash{}, wake: make(chan struct{}, 1),
		unsure: true, inspect: make(chan struct{}, 1),
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

// Retire takes all engines away: the cell is no more. Requests that run go on.
func (p *Pool) Retire() {
	p.mu.Lock()
	model, gap := p.model, p.gap
	p.mu.Unlock()
	p.Set(model, gap, nil)
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
		group.Sleep(ctx, pumpPause)
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
		p.look(now)
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
