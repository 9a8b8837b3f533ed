package sched

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
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
		if !s.fits(p.slot, t) || s.policy.admission && p.slot.wait(t.class, s.since(now)) > s.window(t.class) {
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
func (s *Scheduler) fits(e *slot, t *ticket) bool {
	return e.open() && e.room(t.pool, s.shortShare) >= t.need && e.serves(t.req.Model) &&
		!t.req.Alone && !slices.Contains(t.req.Avoid, e.name)
}

// give books a grant and decides the ticket.
func (s *Scheduler) give(t *ticket, shares []share, reservation string, now time.Time) {
	g := &grant{
		id:      fmt.Sprintf("%s-%d-%08x", t.req.ID, t.req.Attempt, s.opts.Rand.Uint32()),
		request: t.key(), entry: t.req.Entry, org: t.req.Organisation, fingerprint: t.req.Fingerprint,
		class: t.class, pool: t.pool, alone: t.req.Alone, reservation: reservation, shares: shares,
		weight: t.req.Weight, prompt: t.req.PromptTokens, limit: t.req.MaxTokens, granted: now, expires: now.Add(s.opts.Lifetime),
	}
	s.plan(g, t, now)
	s.policy.order.charge(g.org, g.weight, g.work)
	s.book(g)
	g.wire = Grant{
		ID: g.id, Cell: s.opts.Cell, Owner: s.opts.Owner,
		Engine: shares[0].slot.name, Address: shares[0].slot.address,
		Reservation: reservation, Priority: int(t.class), Lifetime: s.opts.Lifetime,
	}
	for i, sh := range shares {
		g.wire.Shares = append(g.wire.Shares, sh.tokens)
		if i > 0 {
			g.wire.Members = append(g.wire.Members, sh.slot.address)
		}
	}
	t.grant = g.wire
	t.grant.Digest = s.digest(now)
	s.opts.Log.WithField("request", t.req.ID).WithField("engine", g.wire.Engine).Debug("grant_made")
	s.opts.Metrics.Counter("granted").Inc(1)
	s.decide(t)
}

// plan predicts the prefill of a grant and adds it to the leader's book.
func (s *Scheduler) plan(g *grant, t *ticket, now time.Time) {
	e, at := g.leader(), s.since(now)
	g.cached = s.prefixes.cached(e, t.req.Prefixes, now)
	g.prefixes = t.req.Prefixes
	work := prefillWork(g.cached, g.prompt)
	g.work = work + decodeTokenWork*s.est.output*float64(g.limit)
	g.predicted = e.wait(g.class, at) + s.est.seconds(g.class, work, e.rate)
	g.prefillEnd = e.addPrefill(g.class, s.est.seconds(g.class, work, e.rate), at)
	e.lastGrant = now
	s.prefixes.expect(e, t, now)
}

// book enters a grant into the books of its engines.
func (s *Scheduler) book(g *grant) {
	for _, sh := range g.shares {
		e := sh.slot
		s.assert(e.exclusive == nil, "exclusive_engine_shared")
		s.assert(!g.alone || len(e.grants) == 0, "alone_grant_shares_engine")
		e.reserved += sh.tokens
		e.booked[g.pool] += sh.tokens
		e.grants[g.id] = g
		if g.alone {
			e.exclusive = g
		}
		s.assert(!e.reported || e.free() >= 0, "engine_overcommitted")
		s.index.update(e)
	}
	s.grants[g.id] = g
	s.granted[g.request] = g
	g.node = s.expiry.Push(g)
	s.addPin(g.fingerprint, g.leader())
}

// unbook removes a grant from all books and frees its reservations.
func (s *Scheduler) unbook(g *grant, now time.Time) {
	for _, sh := range g.shares {
		e := sh.slot
		e.reserved -= sh.tokens
		e.booked[g.pool] -= sh.tokens
		s.assert(e.reserved >= 0 && e.booked[g.pool] >= 0, "negative_booking")
		delete(e.grants, g.id)
		e.freed = append(e.freed, freedTokens{now, sh.tokens})
		if e.exclusive == g {
			e.exclusive = nil
		}
		if g.reservation != "" && s.byName[e.name] == e {
			s.unreserve(e, g.reservation, sh.tokens)
		}
		if sh.slot == g.leader() {
			e.dropPrefill(g.class, g.prefillEnd, s.since(now))
		}
		s.index.update(e)
	}
	s.expiry.Remove(g.node)
	delete(s.grants, g.id)
	if s.granted[g.request] == g {
		delete(s.granted, g.request)
	}
	s.ended[g.id] = struct{}{}
	s.endedList = append(s.endedList, endedGrant{g.id, now})
	s.removePin(g.fingerprint, g.leader())
}

// breakGrant frees the members of a grant that lost one. The leader's memory
// stays booked until the stream has ended there.
func (s *Scheduler) breakGrant(g *grant, now time.Time) {
	for _, sh := range g.shares[1:] {
		e := sh.slot
		e.reserved -= sh.tokens
		e.booked[g.pool] -= sh.tokens
		delete(e.grants, g.id)
		e.freed = append(e.freed, freedTokens{now, sh.tokens})
		if s.byName[e.name] == e {
			s.unreserve(e, g.reservation, sh.tokens)
		}
	}
	g.shares = g.shares[:1]
	g.broken, g.lapse = true, now
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

// Release ends a grant. An unknown id is ignored: the release may be repeated.
func (s *Scheduler) Release(r Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.grants[r.ID]
	if !ok {
		return
	}
	now := time.Now()
	s.learn(g, r, now)
	s.unbook(g, now)
	s.pump(now)
	s.notify()
}

// learn corrects the predictions and the organisation's account by what the
// request used.
func (s *Scheduler) learn(g *grant, r Release, now time.Time) {
	if r.Failed || r.PromptTokens <= 0 {
		return
	}
	s.est.observeOutput(r.CompletionTokens, g.limit)
	used := prefillWork(r.CachedTokens, r.PromptTokens) + decodeTokenWork*float64(r.CompletionTokens)
	s.policy.order.charge(g.org, g.weight, used-g.work)
	switch {
	case r.FirstToken > 0:
		s.est.observe(g.class, g.predicted, r.FirstToken.Seconds())
	case g.class == classLong && g.predicted > 0:
		decode := float64(r.CompletionTokens) * g.leader().step
		s.est.observe(g.class, g.predicted+decode, now.Sub(g.granted).Seconds())
	}
	if r.CachedTokens < g.cached/2 {
		for _, hash := range g.prefixes {
			s.prefixes.drop(g.leader(), hash)
		}
	}
}

// Renew extends the grants an entry node holds. It returns the ids that are
// not known and error kind NotOwner for another cell.
func (s *Scheduler) Renew(r Renewal) (unknown []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || r.Cell != s.opts.Cell {
		return nil, fault.New(fault.NotOwner, "this node does not schedule cell %s", r.Cell)
	}
	now := time.Now()
	for _, h := range r.Held {
		g, ok := s.grants[h.ID]
		if !ok {
			g, ok = s.adopt(r.Entry, h, now)
		}
		if !ok || g.broken {
			unknown = append(unknown, h.ID)
			continue
		}
		g.expires, g.lapsed = now.Add(s.opts.Lifetime), false
		s.expiry.Fix(g.node)
	}
	return unknown, nil
}

// Report takes over a load report of an engine of the cell.
func (s *Scheduler) Report(engineName, address string, r engine.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byName[engineName]
	if !ok || e.address != address {
		return
	}
	now := time.Now()
	models, capacity, known := e.report.Models, e.capacity, e.reported
	e.apply(r, now)
	if !known || capacity != e.capacity || !sameModels(models, e.report.Models) {
		s.reindex()
		s.refuseUnserved()
	}
	s.index.update(e)
	s.pump(now)
}

func sameModels(a, b []engine.Model) bool {
	return slices.EqualFunc(a, b, func(x, y engine.Model) bool { return x.Name == y.Name })
}

// CacheEvents takes over cache events of an engine. They may be late, repeated
// or have gaps.
func (s *Scheduler) CacheEvents(engineName string, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.byName[engineName]; ok {
		s.prefixes.apply(e, events, time.Now())
	}
}

// EngineLost ends every grant that used the engine. Its entry nodes learn it
// from their next renewal. The engine is used again after its next report.
// Waiting requests that the remaining engines cannot serve are refused.
func (s *Scheduler) EngineLost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byName[name]
	if !ok || e.lost {
		return
	}
	now := time.Now()
	s.lose(e, e.afterLoss(), now)
	s.refuseUnserved()
	s.refuseLate(now)
	s.pump(now)
	s.notify()
}

// lose ends the use of an engine and puts another one, unless nil, into its
// place.
func (s *Scheduler) lose(e, replacement *slot, now time.Time) {
	delete(s.byName, e.name)
	i := slices.Index(s.slots, e)
	if replacement != nil {
		s.slots[i], s.byName[e.name] = replacement, replacement
	} else {
		s.slots = slices.Delete(s.slots, i, i+1)
	}
	s.reindex()
	s.prefixes.forget(e)
	s.loseMember(e, now)
	for _, g := range sortedGrants(e.grants) {
		if g.leader() == e {
			s.unbook(g, now)
		} else {
			s.breakGrant(g, now)
		}
	}
	s.opts.Log.WithField("engine", e.name).Info("engine_lost")
}

// SetEngines replaces the list of engines. Engines that are not listed any
// more are lost; an engine with a new address is a new engine. An engine that
// EngineLost named stays out of use until it reports.
func (s *Scheduler) SetEngines(infos []EngineInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	keep := map[string]EngineInfo{}
	for _, i := range infos {
		keep[i.Name] = i
	}
	fewer := false
	for _, e := range slices.Clone(s.slots) {
		i, ok := keep[e.name]
		if !ok || i.Address != e.address {
			s.lose(e, nil, now)
		}
		fewer = fewer || !ok || i.Address != e.address || i.Leaving && !e.leaving
	}
	for _, i := range infos {
		e, ok := s.byName[i.Name]
		if !ok {
			e = newSlot(i)
			s.byName[i.Name] = e
			s.slots = append(s.slots, e)
		}
		e.leaving = i.Leaving
	}
	s.reindex()
	s.refuseUnserved()
	if fewer {
		s.refuseLate(now)
	}
	s.pump(now)
	s.notify()
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
