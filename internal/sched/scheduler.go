package sched

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/queue"
)

// Scheduler schedules the requests of one cell. Its methods may be called
// from any goroutine.
type Scheduler struct {
	opts  Options
	epoch time.Time

	mu      sync.Mutex
	rules   CapacityRules
	weights Weights
	policy  policy
	est     estimator

	engines []*engineState
	byName  map[string]*engineState
	// usable counts the engines that may take new work, pending those whose
	// first report is awaited.
	usable   int
	pending  int
	index    index
	prefixes *prefixIndex
	// memoryByModel caches the results of memoryFor.
	memoryByModel map[string]modelMemory

	tickets      map[requestKey]*ticket
	lanes        [laneCount]laneQueue
	queuedTokens int
	// parked are the tickets that wait for the engine that their fingerprint is
	// pinned to.
	parked []*ticket
	// gather is the gathering in progress, or nil. A gathering collects memory for
	// one request while requests on the engines end.
	gather *gathering

	grants map[string]*grant
	// expiry holds the grants in order of their expiry.
	expiry          *queue.Heap[*grant]
	grantsByRequest map[requestKey]*grant
	// pins maps the fingerprints of requests in flight to the engines that run
	// these requests.
	pins map[string]pin
	// ended keeps the ids of ended grants for Options.Lifetime, so that a late
	// renewal does not book them again; endedList has them in the order in which
	// they ended.
	ended     map[string]struct{}
	endedList []endedGrant

	// mixShort and mixAll are moving averages of the memory that short requests
	// and all requests ask for.
	mixShort, mixAll float64
	// shortShare is the fraction of every engine's memory kept for short
	// requests, boost the temporary addition to it and boostedAt when the
	// addition last grew.
	shortShare, boost float64
	boostedAt         time.Time

	// rebuildUntil is the end of the rebuild window. In this window entry nodes
	// renew the grants that an earlier owner of the cell issued. The scheduler books
	// them (see adopt) and issues no grants of its own. decayedAt is when boost and
	// the values that est has learned last decayed.
	rebuildUntil, decayedAt time.Time
	stopped                 bool
	// dispatching is set during dispatch, which is not reentrant.
	dispatching bool
	// jobs are the calls to engines that Run has still to make.
	jobs []job
	// wake receives a value when Run must check for jobs and expired grants at
	// once.
	wake chan struct{}
	// searchSteps counts, for tests and benchmarks, the steps of the searches for an
	// engine: the nodes of the index and the cached prefixes that they visited.
	searchSteps int
}

// pin binds a fingerprint to an engine. count is the number of grants and
// gatherings on the engine that have the fingerprint.
type pin struct {
	engine *engineState
	count  int
}

// endedGrant is the id of a grant and the time at which it ended.
type endedGrant struct {
	id string
	at time.Time
}

// New returns a scheduler without engines. Nothing is granted before the
// rebuild window has passed (see Options.RebuildWindow).
func New(o Options) *Scheduler {
	o = o.withDefaults()
	now := time.Now()
	s := &Scheduler{
		opts: o, epoch: now, rules: o.Rules, weights: o.Weights,
		policy: newPolicy(o.Policy), est: newEstimator(),
		byName: map[string]*engineState{}, prefixes: newPrefixIndex(),
		tickets:         map[requestKey]*ticket{},
		grants:          map[string]*grant{},
		expiry:          queue.NewHeap(func(a, b *grant) bool { return a.expiresAt.Before(b.expiresAt) }),
		grantsByRequest: map[requestKey]*grant{},
		pins:            map[string]pin{},
		ended:           map[string]struct{}{},
		rebuildUntil:    now.Add(o.RebuildWindow), decayedAt: now,
		wake: make(chan struct{}, 1),
	}
	s.shortShare = (s.rules.MinShortShare + s.rules.MaxShortShare) / 2
	s.reindex()
	return s
}

// sinceEpoch converts a time to seconds since the scheduler's epoch.
func (s *Scheduler) sinceEpoch(now time.Time) float64 { return now.Sub(s.epoch).Seconds() }

// reindex recomputes the values derived from the list of engines: the index,
// the memory per model and the counts of usable and pending engines.
func (s *Scheduler) reindex() {
	s.index.rebuild(s.engines, s.shortShare)
	s.resetModelMemory()
	s.usable, s.pending = 0, 0
	for _, e := range s.engines {
		switch {
		case e.usable():
			s.usable++
		case e.pending():
			s.pending++
		}
	}
}

// Acquire waits until the request is granted or refused or its remaining time
// is used up. Errors have the kinds Invalid, NotOwner, PromptTooLong,
// DeadlineUnattainable, Overloaded, NoEngine, NotStarted and Canceled; with
// each of them the request was not started.
func (s *Scheduler) Acquire(ctx context.Context, req Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	var t *ticket
	var err error
	guard.Locked(&s.mu, func() {
		if t, err = s.submit(req, time.Now()); err == nil {
			s.dispatch(time.Now())
		}
	})
	if err != nil {
		return Grant{}, err
	}
	select {
	case <-t.done:
		return t.grant, t.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandon(t, ctx.Err())
}

// submit validates a request and queues it. A repeated request shares the
// ticket of the earlier call or receives its grant again.
func (s *Scheduler) submit(req Request, now time.Time) (*ticket, error) {
	if err := s.validate(req); err != nil {
		return nil, err
	}
	key := requestKey{req.ID, req.Attempt}
	if t, ok := s.tickets[key]; ok {
		t.waiters++
		return t, nil
	}
	if g, ok := s.grantsByRequest[key]; ok && !g.ending() {
		g.expiresAt = now.Add(s.opts.Lifetime)
		s.expiry.Fix(g.expiryNode)
		t := &ticket{req: req, state: stateDecided, done: make(chan struct{}), grant: g.response}
		t.grant.Digest = s.digest(now)
		close(t.done)
		return t, nil
	}
	t := s.newTicket(req, now)
	if err := s.admit(t, now); err != nil {
		s.opts.Log.WithField("request", req.ID).WithError(err).Debug("request refused")
		s.opts.Metrics.Counter("refused").Inc(1)
		return nil, err
	}
	s.tickets[key] = t
	s.enqueue(t)
	s.policy.order.push(t)
	return t, nil
}

func (s *Scheduler) validate(req Request) error {
	switch {
	case s.stopped || req.Cell != s.opts.Cell:
		return fault.New(fault.NotOwner, "this node does not schedule cell %s", req.Cell)
	case req.ID == "" || req.PromptTokens < 0 || req.MaxTokens < 0 || req.PromptTokens+req.MaxTokens == 0:
		return fault.New(fault.Invalid, "a request needs an id and a number of tokens")
	case req.Remaining <= 0:
		return fault.New(fault.NotStarted, "no time is left for the request")
	}
	return nil
}

func (s *Scheduler) newTicket(req Request, now time.Time) *ticket {
	t := &ticket{
		req: req, arrived: now, deadline: now.Add(req.Remaining),
		memory: req.PromptTokens + req.MaxTokens, waiters: 1, done: make(chan struct{}),
	}
	if t.req.Weight <= 0 {
		t.req.Weight = 1
	}
	t.class = classOf(req.PromptTokens, s.rules.ShortPromptTokens)
	t.lane = int(t.class)
	if req.Alone || t.memory > s.maxOnOneEngine(req.Model, t.class) && s.usable > 0 {
		t.lane = laneGather
	}
	outputTokens := s.est.outputFraction * float64(req.MaxTokens)
	t.prefillWork = prefillWork(0, req.PromptTokens)
	t.totalWork = t.prefillWork + decodeTokenWork*outputTokens
	rate, step := s.speeds()
	t.prefillSeconds = s.est.prefillSeconds(t.class, t.prefillWork, rate)
	t.serviceTime = toDuration(s.est.prefillSeconds(t.class, s.minPrefillWork(t, now), rate) + outputTokens*step)
	t.rank = t.prefillSeconds + agingRate*s.sinceEpoch(now)
	s.observeMix(t)
	return t
}

// agingRate weighs waiting time against predicted prefill time in the order of an
// organisation's requests: a request that has waited one second longer than another
// goes first if its predicted prefill is at most agingRate seconds longer.
const agingRate = 0.5

// speeds returns the best prefill rate of the cell, in tokens/s, and the duration of
// a decode step, in seconds, on an engine chosen at random.
func (s *Scheduler) speeds() (rate, step float64) {
	rate = s.index.root().prefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	step = defaultDecodeStep
	if n := len(s.engines); n > 0 {
		step = s.engines[s.opts.Rand.IntN(n)].decodeStep
	}
	return rate, step
}

// abandon is called when the context of a waiting Acquire has ended. The ticket
// is refused when no other Acquire waits for it.
func (s *Scheduler) abandon(t *ticket, cause error) (Grant, error) {
	if t.state == stateDecided {
		return t.grant, t.err
	}
	kind := fault.NotStarted
	if errors.Is(cause, context.Canceled) {
		kind = fault.Canceled
	}
	err := fault.New(kind, "the request ended before it was granted")
	if t.waiters--; t.waiters == 0 {
		s.refuse(t, err)
		s.dispatch(time.Now())
	}
	return Grant{}, err
}

// refuse ends a ticket with an error.
func (s *Scheduler) refuse(t *ticket, err error) {
	if t.state == stateDecided {
		return
	}
	s.policy.order.remove(t)
	t.err = err
	s.decide(t)
	if s.gather != nil && s.gather.ticket == t {
		s.abortGather(time.Now(), 0)
	}
}

// decide ends the wait of a ticket that was granted or refused: the ticket no longer
// counts as waiting in its lane, and its waiters are woken.
func (s *Scheduler) decide(t *ticket) {
	t.state = stateDecided
	s.dequeue(t)
	delete(s.tickets, t.key())
	close(t.done)
}

// dispatch grants the waiting requests that can be placed now.
func (s *Scheduler) dispatch(now time.Time) {
	if s.stopped || s.dispatching || now.Before(s.rebuildUntil) {
		return
	}
	s.dispatching = true
	defer func() { s.dispatching = false }()
	err := guard.Do(context.Background(), s.opts.Log, "gathering", func(context.Context) error {
		s.advanceGather(now)
		return nil
	})
	if err != nil && s.gather != nil {
		s.refuseFaulty(s.gather.ticket)
	}
	guard.Run(s.opts.Log, "parked requests", func() { s.retryParked(now) })
	guard.Run(s.opts.Log, "dispatch", func() {
		s.policy.order.each(now, func(t *ticket) offerResult { return s.safeOffer(t, now) })
	})
}

// safeOffer is offer, but refuses a ticket whose placement fails unexpectedly, so that
// the others are still placed.
func (s *Scheduler) safeOffer(t *ticket, now time.Time) (result offerResult) {
	err := guard.Do(context.Background(), s.opts.Log, "placement", func(context.Context) error {
		result = s.offer(t, now)
		return nil
	})
	if err != nil {
		s.refuseFaulty(t)
		return taken
	}
	return result
}

// refuseFaulty refuses a ticket after an unexpected error.
func (s *Scheduler) refuseFaulty(t *ticket) {
	s.opts.Log.WithFields(logrus.Fields{"event": "placement_failed", "request": t.req.ID}).
		Error("the placement of a request failed unexpectedly")
	guard.Run(s.opts.Log, "refusal", func() {
		s.refuse(t, fault.New(fault.Overloaded, "the request could not be placed"))
	})
}

// offer tries to place a ticket. The policy's order calls it for one ticket after
// another.
func (s *Scheduler) offer(t *ticket, now time.Time) offerResult {
	if s.unattainable(t, now) {
		s.refuse(t, fault.New(fault.DeadlineUnattainable, "the request cannot finish within its time limit any more"))
		return taken
	}
	if t.lane == laneGather {
		return s.startGather(t, now)
	}
	// Short requests of an organisation far beyond its fair share book memory like
	// long ones, which leaves memory for other organisations; see demoteLead.
	if t.memoryClass = t.class; s.policy.order.lead(t.req.Organisation) > demoteLead {
		t.memoryClass = classLong
	}
	var e *engineState
	if p, ok := s.pins[t.req.Fingerprint]; ok && t.req.Fingerprint != "" {
		if !s.fits(p.engine, t, now) || s.policy.admission && p.engine.wait(t.class, s.sinceEpoch(now)) > s.window(t.class) {
			s.park(t, p.engine)
			return taken
		}
		e = p.engine
	} else {
		var result offerResult
		if e, result = s.policy.placer.place(s, t, now); e == nil {
			if result == skipTicket {
				return s.gatherBlocked(t, now)
			}
			return result
		}
	}
	s.policy.order.remove(t)
	s.issueGrant(t, []engineShare{{e, t.memory}}, "", now)
	return taken
}

// unattainable reports whether the ticket can no longer meet its deadline. A policy
// without admission does not check this, and the result is always false.
func (s *Scheduler) unattainable(t *ticket, now time.Time) bool {
	return s.policy.admission && now.After(t.latestStart())
}

// fits reports whether the engine has the memory for the ticket and may run it
// now.
func (s *Scheduler) fits(e *engineState, t *ticket, now time.Time) bool {
	return e.open() && e.available(t.memoryClass, s.shortShare) >= t.memory && e.serves(t.req.Model) &&
		!t.req.Alone && !slices.Contains(t.req.Avoid, e.name) && !s.delaysGather(e, t, now)
}

// assert counts and reports a violation of the named invariant unless ok.
func (s *Scheduler) assert(ok bool, name string) {
	if ok {
		return
	}
	s.opts.Metrics.Tagged(map[string]string{"invariant": name}).Counter("violations").Inc(1)
	if s.opts.OnViolation != nil {
		s.opts.OnViolation(name)
		return
	}
	s.opts.Log.WithField("invariant", name).Error("scheduler invariant violated")
}

// SetCapacityRules replaces the rules; zero fields take their defaults.
func (s *Scheduler) SetCapacityRules(r CapacityRules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = r.withDefaults()
	s.dispatch(time.Now())
}

// SetWeights replaces the weights of the service's two latency objectives, time to
// first token and head-of-line blocking.
func (s *Scheduler) SetWeights(w Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights = w
	s.dispatch(time.Now())
}

// Digest summarises the load of the cell.
func (s *Scheduler) Digest() LoadDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest(time.Now())
}

func (s *Scheduler) digest(now time.Time) LoadDigest {
	root := s.index.root()
	d := LoadDigest{FreeTokens: root.freeTotal, QueuedTokens: s.queuedTokens}
	if s.usable > 0 && !math.IsInf(root.busyUntil[classShort], 1) {
		wait := max(0, root.busyUntil[classShort]-s.sinceEpoch(now))
		d.Wait = toDuration(wait + s.lanes[classShort].prefillSeconds/float64(s.usable))
	}
	return d
}

// notify wakes Run, which then makes the pending calls to engines.
func (s *Scheduler) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
