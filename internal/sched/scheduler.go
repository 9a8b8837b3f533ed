package sched

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Scheduler schedules the requests of one cell. Its methods may be called
// from any goroutine.
type Scheduler struct {
	opts Options

	mu      sync.Mutex
	rules   CapacityRules
	weights Weights
	policy  policy
	slots   []*slot
	byName  map[string]*slot
	tickets map[requestKey]*ticket
	grants  map[string]*grant
	granted map[requestKey]*grant
	pins    map[string]pin
	// ended keeps the ids of ended grants for one lifetime, so that a late
	// renewal does not bring them back.
	ended   map[string]time.Time
	rebuilt time.Time
	stopped bool
	jobs    []job
	wake    chan struct{}
}

// pin binds a fingerprint in flight to an engine.
type pin struct {
	slot  *slot
	count int
}

// New returns a scheduler without engines. Nothing is granted before the
// rebuild window has passed.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{
		opts: o, rules: o.Rules, weights: o.Weights,
		policy:  newPolicy(o.Policy),
		byName:  map[string]*slot{},
		tickets: map[requestKey]*ticket{},
		grants:  map[string]*grant{},
		granted: map[requestKey]*grant{},
		pins:    map[string]pin{},
		ended:   map[string]time.Time{},
		rebuilt: time.Now().Add(o.RebuildWindow),
		wake:    make(chan struct{}, 1),
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
	case <-ctx.Done():
		s.mu.Lock()
		s.leave(t, ctx.Err())
		s.mu.Unlock()
		<-t.done
	}
	return t.grant, t.err
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
	if g, ok := s.granted[key]; ok && !g.lapsed {
		g.expires = now.Add(s.opts.Lifetime)
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
	s.policy.order.push(t, now)
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
	t.work = float64(t.need)
	t.class = classOf(req.PromptTokens, s.rules.ShortPromptTokens)
	return t
}

// admit refuses a request that the cell cannot hold.
func (s *Scheduler) admit(t *ticket, _ time.Time) error {
	total, known := 0, false
	for _, e := range s.slots {
		known = known || e.reported
		if e.reported && e.serves(t.req.Model) {
			total = max(total, e.capacity)
		}
	}
	if known && total < t.need {
		return fault.New(fault.TooLong, "the request needs %d tokens of memory and the cell has %d", t.need, total)
	}
	return nil
}

// leave is called when a waiter's context ended.
func (s *Scheduler) leave(t *ticket, cause error) {
	t.waiters--
	if t.state == stateDecided || t.waiters > 0 && !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	kind := fault.NotStarted
	if errors.Is(cause, context.Canceled) {
		kind = fault.Canceled
	}
	s.refuse(t, fault.New(kind, "the request ended before it was granted"))
	s.pump(time.Now())
}

// refuse ends a ticket with an error.
func (s *Scheduler) refuse(t *ticket, err error) {
	if t.state == stateDecided {
		return
	}
	s.policy.order.remove(t)
	t.err = err
	s.decide(t)
}

func (s *Scheduler) decide(t *ticket) {
	t.state = stateDecided
	delete(s.tickets, t.key())
	close(t.done)
}

// pump grants what can be granted now.
func (s *Scheduler) pump(now time.Time) {
	if s.stopped || now.Before(s.rebuilt) {
		return
	}
	s.policy.order.each(now, func(t *ticket) verdict { return s.offer(t, now) })
}

func (s *Scheduler) offer(t *ticket, now time.Time) verdict {
	e, why := s.choose(t, now)
	if e == nil {
		return why
	}
	s.policy.order.remove(t)
	s.give(t, []share{{e, t.need}}, "", now)
	return taken
}

// choose returns the engine that a fingerprint in flight is pinned to, or
// what the placer selects.
func (s *Scheduler) choose(t *ticket, now time.Time) (*slot, verdict) {
	if p, ok := s.pins[t.req.Fingerprint]; ok && t.req.Fingerprint != "" {
		if s.fits(p.slot, t) {
			return p.slot, taken
		}
		return nil, blocked
	}
	return s.policy.placer.place(s, t, now)
}

// fits reports whether the engine may run the ticket now.
func (s *Scheduler) fits(e *slot, t *ticket) bool {
	return e.open() && e.free() >= t.need && e.serves(t.req.Model) &&
		(!t.req.Alone || len(e.grants) == 0 && e.foreign == 0) &&
		!slices.Contains(t.req.Avoid, e.name)
}

// give books a grant and decides the ticket.
func (s *Scheduler) give(t *ticket, shares []share, reservation string, now time.Time) {
	g := &grant{
		id:      fmt.Sprintf("%s-%d-%08x", t.req.ID, t.req.Attempt, s.opts.Rand.Uint32()),
		request: t.key(), entry: t.req.Entry, org: t.req.Organisation, fingerprint: t.req.Fingerprint,
		class: t.class, alone: t.req.Alone, reservation: reservation, shares: shares,
		work: t.work, prompt: t.req.PromptTokens, granted: now, expires: now.Add(s.opts.Lifetime),
	}
	s.policy.order.charge(g.org, t.req.Weight, g.work)
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

// book enters a grant into the books of its engines.
func (s *Scheduler) book(g *grant) {
	for _, sh := range g.shares {
		e := sh.slot
		s.assert(e.exclusive == nil, "exclusive_engine_shared")
		s.assert(!g.alone || len(e.grants) == 0, "alone_grant_shares_engine")
		e.reserved += sh.tokens
		if g.class != classShort {
			e.long += sh.tokens
		}
		e.grants[g.id] = g
		if g.alone {
			e.exclusive = g
		}
		s.assert(e.free() >= 0, "engine_overcommitted")
	}
	s.grants[g.id] = g
	s.granted[g.request] = g
	if g.fingerprint != "" {
		p, ok := s.pins[g.fingerprint]
		s.assert(!ok || p.slot == g.leader(), "fingerprint_on_two_engines")
		s.pins[g.fingerprint] = pin{g.leader(), p.count + 1}
	}
}

// unbook removes a grant from all books and frees its reservations.
func (s *Scheduler) unbook(g *grant, now time.Time) {
	for _, sh := range g.shares {
		e := sh.slot
		e.reserved -= sh.tokens
		if g.class != classShort {
			e.long -= sh.tokens
		}
		s.assert(e.reserved >= 0 && e.long >= 0, "negative_booking")
		delete(e.grants, g.id)
		e.freed = append(e.freed, freedTokens{now, sh.tokens})
		if e.exclusive == g {
			e.exclusive = nil
		}
		if g.reservation != "" && s.byName[e.name] == e {
			s.jobs = append(s.jobs, unreserveJob(e.address, g.reservation))
		}
	}
	delete(s.grants, g.id)
	if s.granted[g.request] == g {
		delete(s.granted, g.request)
	}
	s.ended[g.id] = now
	if p, ok := s.pins[g.fingerprint]; ok && p.slot == g.leader() {
		p.count--
		if s.pins[g.fingerprint] = p; p.count == 0 {
			delete(s.pins, g.fingerprint)
		}
	}
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
	s.unbook(g, now)
	s.pump(now)
	s.notify()
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
		if !ok {
			unknown = append(unknown, h.ID)
			continue
		}
		g.expires, g.lapsed = now.Add(s.opts.Lifetime), false
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
	e.apply(r, now)
	s.pump(now)
}

// CacheEvents takes over cache events of an engine.
func (s *Scheduler) CacheEvents(string, []engine.CacheEvent) {}

// EngineLost ends every grant that used the engine. Its entry nodes learn it
// from their next renewal.
func (s *Scheduler) EngineLost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose(name, time.Now())
	s.pump(time.Now())
	s.notify()
}

func (s *Scheduler) lose(name string, now time.Time) {
	e, ok := s.byName[name]
	if !ok {
		return
	}
	delete(s.byName, name)
	s.slots = slices.DeleteFunc(s.slots, func(o *slot) bool { return o == e })
	for _, g := range sortedGrants(e.grants) {
		s.unbook(g, now)
	}
	s.opts.Log.WithField("engine", name).Info("engine_lost")
}

// SetEngines replaces the list of engines. Engines that are not listed any
// more are lost; an engine with a new address is a new engine.
func (s *Scheduler) SetEngines(infos []EngineInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	keep := map[string]EngineInfo{}
	for _, i := range infos {
		keep[i.Name] = i
	}
	for _, e := range slices.Clone(s.slots) {
		if i, ok := keep[e.name]; !ok || i.Address != e.address {
			s.lose(e.name, now)
		}
	}
	for _, i := range infos {
		e, ok := s.byName[i.Name]
		if !ok {
			e = &slot{name: i.Name, address: i.Address, grants: map[string]*grant{}}
			s.byName[i.Name] = e
			s.slots = append(s.slots, e)
		}
		e.leaving = i.Leaving
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

func (s *Scheduler) digest(time.Time) Digest {
	var d Digest
	for _, e := range s.slots {
		if e.open() {
			d.FreeTokens += max(0, e.free())
		}
	}
	for _, t := range s.tickets {
		d.QueuedTokens += t.need
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
