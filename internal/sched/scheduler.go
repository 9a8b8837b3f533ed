package sched

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

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

	// slots are the engines; usable counts those that may take new work,
	// pending those that have not reported yet.
	slots    []*slot
	byName   map[string]*slot
	usable   int
	pending  int
	index    index
	prefixes *prefixIndex
	capacity map[string]modelRoom

	tickets      map[requestKey]*ticket
	lanes        [laneCount]lane
	queuedTokens int
	parked       []*ticket
	gather       *gathering

	grants  map[string]*grant
	expiry  *queue.Heap[*grant]
	granted map[requestKey]*grant
	pins    map[string]pin
	// ended keeps the ids of ended grants for one lifetime, so that a late
	// renewal does not bring them back.
	ended     map[string]struct{}
	endedList []endedGrant

	mixShort, mixAll  float64
	shortShare, boost float64
	boosted           time.Time

	rebuilt, relaxed time.Time
	stopped          bool
	pumping          bool
	jobs             []job
	wake             chan struct{}
	// steps counts visits of the index for the benchmarks.
	steps int
}

// pin binds a fingerprint in flight to an engine.
type pin struct {
	slot  *slot
	count int
}

type endedGrant struct {
	id string
	at time.Time
}

// New returns a scheduler without engines. Nothing is granted before the
// rebuild window has passed.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	now := time.Now()
	s := &Scheduler{
		opts: o, epoch: now, rules: o.Rules, weights: o.Weights,
		policy: newPolicy(o.Policy), est: newEstimator(),
		byName: map[string]*slot{}, prefixes: newPrefixIndex(),
		tickets: map[requestKey]*ticket{},
		grants:  map[string]*grant{},
		expiry:  queue.NewHeap(func(a, b *grant) bool { return a.expires.Before(b.expires) }),
		granted: map[requestKey]*grant{},
		pins:    map[string]pin{},
		ended:   map[string]struct{}{},
		rebuilt: now.Add(o.RebuildWindow), relaxed: now,
		wake: make(chan struct{}, 1),
	}
	s.shortShare = (s.rules.MinShortShare + s.rules.MaxShortShare) / 2
	s.reindex()
	return s
}

// since converts a time to seconds since the scheduler's epoch.
func (s *Scheduler) since(now time.Time) float64 { return now.Sub(s.epoch).Seconds() }

// reindex rebuilds what is derived from the list of engines.
func (s *Scheduler) reindex() {
	s.index.rebuild(s.slots, s.shortShare)
	s.forgetCapacities()
	s.usable, s.pending = 0, 0
	for _, e := range s.slots {
		switch {
		case e.usable():
			s.usable++
		case e.pending():
			s.pending++
		}
	}
}

// Acquire waits until the request is granted or refused or its remaining time
// is used up. Errors have the kinds Invalid, NotOwner, TooLong, Unattainable,
// Overloaded, Unreachable, NotStarted and Canceled; with each of them the
// request was not started.
func (s *Scheduler) Acquire(ctx context.Context, req Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	s.mu.Lock()
	t, err := s.submit(req, time.Now())
	if err == nil {
		s.pump(time.Now())
	}
	s.mu.Unlock()
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
	return s.leave(t, ctx.Err())
}

// submit validates a request and queues it. A request that is known already
// joins the earlier ticket or its grant.
func (s *Scheduler) submit(req Request, now time.Time) (*ticket, error) {
	if err := s.validate(req); err != nil {
		return nil, err
	}
	key := requestKey{req.ID, req.Attempt}
	if t, ok := s.tickets[key]; ok {
		t.waiters++
		return t, nil
	}
	if g, ok := s.granted[key]; ok && !g.ending() {
		g.expires = now.Add(s.opts.Lifetime)
		s.expiry.Fix(g.node)
		t := &ticket{req: req, state: stateDecided, done: make(chan struct{}), grant: g.wire}
		t.grant.Digest = s.digest(now)
		close(t.done)
		return t, nil
	}
	t := s.newTicket(req, now)
	if err := s.admit(t, now); err != nil {
		s.opts.Log.WithField("request", req.ID).WithError(err).Debug("acquire_refused")
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
		need: req.PromptTokens + req.MaxTokens, waiters: 1, done: make(chan struct{}),
	}
	if t.req.Weight <= 0 {
		t.req.Weight = 1
	}
	t.class = classOf(req.PromptTokens, s.rules.ShortPromptTokens)
	t.lane = int(t.class)
	if req.Alone || t.need > s.singleRoom(req.Model, t.class) && s.usable > 0 {
		t.lane = laneGather
	}
	out := s.est.output * float64(req.MaxTokens)
	t.prefill = prefillWork(0, req.PromptTokens)
	t.work = t.prefill + decodeTokenWork*out
	rate, step := s.speeds()
	t.seconds = s.est.seconds(t.class, t.prefill, rate)
	t.service = toDuration(s.est.seconds(t.class, s.prefillLeft(t, now), rate) + out*step)
	t.rank = t.seconds + agingRate*s.since(now)
	s.observeMix(t)
	return t
}

// agingRate is the predicted cost, in seconds, that one second of waiting
// outweighs within an organisation.
const agingRate = 0.5

// speeds are the best prefill rate and a typical decode step of the cell.
func (s *Scheduler) speeds() (rate, step float64) {
	rate = s.index.root().rate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	step = defaultDecodeStep
	if n := len(s.slots); n > 0 {
		step = s.slots[s.opts.Rand.IntN(n)].step
	}
	return rate, step
}

// leave is called when a waiter's context ended. The ticket is refused with
// its last waiter.
func (s *Scheduler) leave(t *ticket, cause error) (Grant, error) {
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
		s.pump(time.Now())
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
		s.endGather(time.Now(), 0)
	}
}

func (s *Scheduler) decide(t *ticket) {
	t.state = stateDecided
	s.dequeue(t)
	delete(s.tickets, t.key())
	close(t.done)
}

// pump grants what can be granted now.
func (s *Scheduler) pump(now time.Time) {
	if s.stopped || s.pumping || now.Before(s.rebuilt) {
		return
	}
	s.pumping = true
	defer func() { s.pumping = false }()
	s.collect(now)
	s.retryParked(now)
	s.policy.order.each(now, func(t *ticket) verdict { return s.offer(t, now) })
}

// offer tries to place a ticket. Taken means that it left the queue.
func (s *Scheduler) offer(t *ticket, now time.Time) verdict {
	if s.doomed(t, now) {
		s.refuse(t, fault.New(fault.Unattainable, "the request cannot finish within its time limit any more"))
		return taken
	}
	if t.lane == laneGather {
		return s.startGather(t, now)
	}
	if t.pool = t.class; s.policy.order.ahead(t.req.Organisation) > demoteLead {
		t.pool = classLong
	}
	var e *slot
	if p, ok := s.pins[t.req.Fingerprint]; ok && t.req.Fingerprint != "" {
		if !s.fits(p.slot, t, now) || s.policy.admission && p.slot.wait(t.class, s.since(now)) > s.window(t.class) {
			s.park(t, p.slot)
			return taken
		}
		e = p.slot
	} else {
		var why verdict
		if e, why = s.policy.placer.place(s, t, now); e == nil {
			if why == blocked {
				return s.gatherBlocked(t, now)
			}
			return why
		}
	}
	s.policy.order.remove(t)
	s.give(t, []share{{e, t.need}}, "", now)
	return taken
}

// doomed reports whether the ticket cannot meet its deadline any more.
func (s *Scheduler) doomed(t *ticket, now time.Time) bool {
	return s.policy.admission && now.After(t.latestStart())
}

// fits reports whether the engine may run the ticket now.
func (s *Scheduler) fits(e *slot, t *ticket, now time.Time) bool {
	return e.open() && e.room(t.pool, s.shortShare) >= t.need && e.serves(t.req.Model) &&
		!t.req.Alone && !slices.Contains(t.req.Avoid, e.name) && !s.outlasts(e, t, now)
}

func (s *Scheduler) assert(ok bool, name string) {
	if ok {
		return
	}
	s.opts.Metrics.Tagged(map[string]string{"invariant": name}).Counter("violations").Inc(1)
	if s.opts.Violation != nil {
		s.opts.Violation(name)
		return
	}
	s.opts.Log.WithField("invariant", name).Error("invariant_violated")
}

// SetCapacityRules replaces the rules; zero fields take their defaults.
func (s *Scheduler) SetCapacityRules(r CapacityRules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = r.withDefaults()
	s.pump(time.Now())
}

// SetWeights replaces the weights of the measures.
func (s *Scheduler) SetWeights(w Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights = w
	s.pump(time.Now())
}

// Digest summarises the load of the cell.
func (s *Scheduler) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest(time.Now())
}

func (s *Scheduler) digest(now time.Time) Digest {
	root := s.index.root()
	d := Digest{FreeTokens: root.freeTotal, QueuedTokens: s.queuedTokens}
	if s.usable > 0 && !math.IsInf(root.busy[classShort], 1) {
		wait := max(0, root.busy[classShort]-s.since(now))
		d.Wait = toDuration(wait + s.lanes[classShort].seconds/float64(s.usable))
	}
	return d
}

// notify wakes Run.
func (s *Scheduler) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
