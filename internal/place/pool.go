package place

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// reportTimeout is how long a granted request counts as running without a
	// report from its node.
	reportTimeout = 2500 * time.Millisecond
	// grantGrace is how long a new grant may be missing from its node's full
	// reports.
	grantGrace = time.Second
	// pollTimeout is how long a waiting request is kept after the last call of its
	// node.
	pollTimeout = time.Second
	// dispatchInterval is how often placing the waiting requests is tried again.
	// Each report of a node also causes a try; minDispatchPause is the shortest time
	// between two tries.
	dispatchInterval = 20 * time.Millisecond
	minDispatchPause = 3 * time.Millisecond
	// maxDispatchMisses is the maximum number of requests for which one try looks for
	// engines in vain, separately for long and for short prompts. A long queue would
	// otherwise use up the processor.
	maxDispatchMisses = 8
	// agingRate is the number of seconds of prefill that a second of waiting offsets
	// in the order of the queue. Prompts with the longest prefill, 30 s and more,
	// therefore let others pass for half of their prefill time.
	agingRate = 2.0
)

// MaxEngines is the maximum number of engines in a cell. Scheduling 76 engines takes
// about a tenth of a core in the benchmark, and a prompt uses 17 engines at most.
const MaxEngines = 128

// Pool schedules the engines of one cell. Its state is only complete on the owner.
type Pool struct {
	owner string
	cell  string
	log   logrus.FieldLogger
	// cellLog is log with the name of the cell.
	cellLog logrus.FieldLogger

	mu    sync.Mutex
	model route.Engine
	// tightestGap is the shortest MaxGap of the service's routes (see
	// route.Table.MinGapGoal).
	tightestGap time.Duration
	// engines are in fill order: short prompts fill the first ones first. byID holds
	// the same engines by ID.
	engines []*engine
	byID    map[string]*engine
	// configured is set once the engines of the cell are known, which may be none.
	// emptySince is when the last usable engine was lost, while there is none.
	configured bool
	emptySince time.Time
	// jobs holds the waiting and the granted requests by ID, and waiting those
	// without a grant.
	jobs    map[string]*job
	waiting []*job
	// limits gives out the requests that engines take.
	limits *limitTable
	// notices holds the notices of engines, of which those up to noticesSeen are
	// applied.
	notices     *Notices
	noticesSeen uint64
	// crashes says which requests may run.
	crashes *crash.Tracker
	// wake wakes Run.
	wake chan struct{}
	// loadUnknown is set while engines may run requests that this node does not
	// know. A value on inspectNow starts an inspection.
	loadUnknown bool
	inspectNow  chan struct{}
	// lastAcquire is when a request last arrived.
	lastAcquire time.Time
}

// job is a request that waits or runs, with what the owner knows of it.
type job struct {
	Request
	arrivedAt time.Time
	// prefill is the time that one engine of normal speed takes to prefill the
	// prompt.
	prefill time.Duration
	// value is what the request is worth (see promptValue).
	value float64
	// lastPolled is when the node last called Acquire for the request.
	lastPolled time.Time
	// pausedUntil holds, by process, until when engines want nothing from the node.
	pausedUntil map[string]time.Time
	grantedAt   time.Time
	grant       *Grant
	refusal     *Refusal
	// decided is closed once the request is granted or refused.
	decided chan struct{}
	// main is the engine that runs the request, and helpers prefill parts of the
	// prompt for it.
	main    *engine
	helpers []*engine
	// partPrefill is the time that an engine of normal speed takes to prefill its
	// part of the prompt.
	partPrefill time.Duration
	// mainMemory and helperMemory are the tokens held at the main engine and at
	// each helper.
	mainMemory, helperMemory int
	// hasFirstEvent is set once the node has reported the first event.
	hasFirstEvent bool
	// suspects are the suspected parts of the request's content (see crash.Verdict).
	suspects []crash.Part
	// lastReported is when the node last reported the request.
	lastReported time.Time
}

func (j *job) goalLeft(now time.Time) time.Duration { return j.Goal - now.Sub(j.arrivedAt) }

// PoolOptions are the dependencies of a Pool.
type PoolOptions struct {
	// Owner is the name of this node, and Cell that of the cell.
	Owner, Cell string
	// Members returns the members of the cluster.
	Members func() []member.Member
	Random  *rand.Rand
	Crashes *crash.Tracker
	Notices *Notices
	Log     logrus.FieldLogger
}

// NewPool returns a pool without engines.
func NewPool(o PoolOptions) *Pool {
	return &Pool{
		owner: o.Owner, cell: o.Cell, crashes: o.Crashes, log: o.Log, cellLog: o.Log.WithField("cell", o.Cell), byID: map[string]*engine{}, jobs: map[string]*job{},
		limits: newLimitTable(func() float64 { return reachableShare(o.Members()) }, o.Random), notices: o.Notices,
		wake: make(chan struct{}, 1), loadUnknown: true, inspectNow: make(chan struct{}, 1),
	}
}

// SetEngines replaces the engines and the model of their speed. Gap is the
// tightest gap of the service (see Pool).
func (p *Pool) SetEngines(model route.Engine, gap time.Duration, engines []Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model, p.tightestGap = model, gap
	listed := map[string]bool{}
	for _, u := range engines {
		listed[u.ID] = true
		e := p.byID[u.ID]
		if e == nil || e.Address != u.Address || !e.Started.Equal(u.Started) {
			e = &engine{process: u.Process(), jobs: map[string]*job{}, slowdown: 1}
			p.byID[u.ID] = e
		}
		e.Upstream = u
	}
	p.noticesSeen = 0
	p.engines = p.engines[:0]
	for id, e := range p.byID {
		if !listed[id] {
			e.Leaving = true
			if len(e.jobs) == 0 {
				delete(p.byID, id)
				continue
			}
		}
		p.engines = append(p.engines, e)
	}
	// The fill order depends on the owner, so that two owners do not fill the same
	// engines first while nodes disagree on who the owner is.
	p.engines = cells.Rank("place/"+p.owner, p.engines, func(e *engine) string { return e.ID })
	for i, e := range p.engines {
		e.order = i
	}
	p.configured = true
	p.applyNotices()
	p.recordEmpty()
	p.wakeRun()
}

// recordEmpty records since when the cell has no usable engine. The caller holds mu.
func (p *Pool) recordEmpty() {
	if p.usableEngines() > 0 {
		p.emptySince = time.Time{}
	} else if p.emptySince.IsZero() {
		p.emptySince = time.Now()
	}
}

// Retire removes all engines of a cell that no longer exists. Running requests
// continue.
func (p *Pool) Retire() {
	p.mu.Lock()
	model, gap := p.model, p.tightestGap
	p.mu.Unlock()
	p.SetEngines(model, gap, nil)
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
		next := p.tryDispatch()
		group.Sleep(ctx, minDispatchPause)
		timer.Reset(next)
	}
}

func (p *Pool) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Acquire places or refuses a request. If neither is decided within the wait, it
// returns an empty verdict, and the node calls again. Without usable engines the
// verdict has NoEngineKnown set and, if this node knows the engines of the cell, a
// refusal.
func (p *Pool) Acquire(ctx context.Context, req Request, wait time.Duration) Verdict {
	j, empty := p.poll(req, time.Now())
	if j == nil {
		return empty
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-j.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return Verdict{Grant: j.grant, Refusal: j.refusal, NoEngineKnown: j.refusal != nil && j.refusal.noEngine}
}

// poll records a call for a request and returns its job. A new request is submitted,
// unless the cell has no usable engine, for which poll returns the verdict.
func (p *Pool) poll(req Request, now time.Time) (*job, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyNotices()
	j := p.jobs[req.ID]
	if j == nil && p.usableEngines() == 0 {
		return nil, p.emptyVerdict(now)
	}
	if j == nil {
		p.inspectIfUnknown(now)
		j = p.submit(req, now)
		p.wakeRun()
	}
	j.lastPolled = now
	j.setPauses(req.Paused, now)
	return j, Verdict{}
}

// emptyVerdict returns the verdict of a cell without usable engines. The caller holds
// mu.
func (p *Pool) emptyVerdict(now time.Time) Verdict {
	v := Verdict{NoEngineKnown: true}
	if p.configured {
		v.Refusal = p.noEngine(now)
	}
	return v
}

// submit adds a request to the queue or refuses it. The caller holds mu.
func (p *Pool) submit(req Request, now time.Time) *job {
	j := &job{
		Request: req, arrivedAt: now, lastPolled: now, prefill: p.model.Prefill(req.PromptTokens),
		value: promptValue(req.PromptTokens), decided: make(chan struct{}),
	}
	j.setPauses(req.Paused, now)
	if r := quarantineRefusal(p.crashes.Check(req.Content)); r != nil {
		p.refuse(j, *r)
		return j
	}
	for _, check := range []func(*job, time.Time) *Refusal{p.pausedRefusal, p.infeasible, p.beyondLimits} {
		if r := check(j, now); r != nil {
			p.refuse(j, *r)
			return j
		}
	}
	p.jobs[req.ID] = j
	p.waiting = append(p.waiting, j)
	return j
}

// quarantineRefusal returns the refusal of a request whose content is quarantined,
// otherwise nil.
func quarantineRefusal(v crash.Verdict) *Refusal {
	if v.RefusedFor <= 0 {
		return nil
	}
	return &Refusal{Reason: "the content of the request ends engines", RetryAfter: v.RefusedFor, Quarantined: true}
}

func (p *Pool) refuse(j *job, r Refusal) {
	j.refusal = &r
	close(j.decided)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
