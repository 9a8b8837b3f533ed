package sched

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// gatherDelay is how long a request must have found no memory before a
	// gathering is started for the request on one engine.
	gatherDelay = time.Second
	// reserveRetryDelay is the pause before a new gathering for a request whose
	// reservation an engine refused.
	reserveRetryDelay = time.Second
	// maxGatherWait bounds the predicted wait for memory that is added to the hold
	// time of a gathering. With a longer prediction, the gathering expires after
	// the hold time alone.
	maxGatherWait = 2 * time.Minute
	// reservationGrace is how long a reservation outlives the deadline of its
	// request.
	reservationGrace = 15 * time.Second
	// gatherPrefix is the prefix of the ids of reservations and of their grants.
	gatherPrefix = "gather-"
)

// gathering collects memory for one request on one or more engines while their
// running requests end. A cell has at most one gathering. It is aborted at
// expiresAt: the hold time after the readyAt that was predicted at the start, or
// after the start if the predicted wait exceeds maxGatherWait. Reservations are
// made on all members or on none.
type gathering struct {
	ticket    *ticket
	members   []gatherMember
	expiresAt time.Time
	// readyAt is when the members are predicted to have the memory, in seconds
	// since the scheduler's epoch, and predictedAt when that was computed. Until
	// readyAt, requests that end before it may use the memory. The gathering holds
	// memory before readyAt only if all of it is free or the request must run alone.
	readyAt     float64
	predictedAt time.Time
	id          string
	// reserving is set while the engines are asked for the reservations. aborted
	// makes reserveJob free them again.
	reserving, aborted bool
}

// gatherMember is the memory, in tokens, that a gathering needs on an engine
// (target) and keeps from other requests so far (held).
type gatherMember struct {
	engine       *engineState
	target, held int
}

// startGather starts a gathering for a ticket of the queue.
func (s *Scheduler) startGather(t *ticket, now time.Time) offerResult {
	if p, ok := s.pins[t.req.Fingerprint]; ok && t.req.Fingerprint != "" {
		s.park(t, p.engine)
		return taken
	}
	if s.gather != nil {
		return stopLane
	}
	if now.Before(t.gatherNotBefore) {
		return skipTicket
	}
	members := s.chooseMembers(t, now)
	if members == nil {
		return skipTicket
	}
	s.policy.order.remove(t)
	t.state, t.memoryClass = stateGathering, t.class
	s.gather = &gathering{
		ticket: t, members: members, expiresAt: now.Add(s.opts.GatherHold),
		id: fmt.Sprintf(gatherPrefix+"%s-%d-%08x", t.req.ID, t.req.Attempt, s.opts.Rand.Uint32()),
	}
	s.addPin(t.req.Fingerprint, members[0].engine)
	for _, m := range members {
		if t.req.Alone {
			m.engine.draining = true
			s.index.update(m.engine)
		}
	}
	s.predictReady(now)
	if wait := s.gather.readyAt - s.sinceEpoch(now); wait < maxGatherWait.Seconds() {
		s.gather.expiresAt = s.gather.expiresAt.Add(toDuration(wait))
	}
	s.advanceGather(now)
	return taken
}

// chooseMembers returns the fewest engines that can hold the ticket, preferring
// those that are predicted to have the memory earliest. The first member is the
// leader, on which the prefill can start earliest. The result is nil when the
// usable engines are too small.
func (s *Scheduler) chooseMembers(t *ticket, now time.Time) []gatherMember {
	var usable []*engineState
	for _, e := range s.engines {
		if e.open() && e.serves(t.req.Model) && !slices.Contains(t.req.Avoid, e.name) {
			usable = append(usable, e)
		}
	}
	available := func(e *engineState) int {
		if t.req.Alone {
			return -e.booked - e.unexplained
		}
		return e.available(t.class, s.shortShare)
	}
	slices.SortStableFunc(usable, func(a, b *engineState) int { return cmp.Compare(available(b), available(a)) })
	shortShare := s.shortShare
	if t.req.Alone {
		shortShare = 0
	}
	if n := len(fewestEngines(usable, t.memory, shortShare)); n > 0 && !t.req.Alone {
		readyAt := map[*engineState]float64{}
		for _, e := range usable {
			readyAt[e] = s.predictFreed(e, t.memory/n-available(e), s.sinceEpoch(now))
		}
		slices.SortStableFunc(usable, func(a, b *engineState) int { return cmp.Compare(readyAt[a], readyAt[b]) })
	}
	chosen := fewestEngines(usable, t.memory, shortShare)
	if chosen == nil {
		// The request fits into the cell only if it also uses the short share.
		chosen = fewestEngines(usable, t.memory, 0)
		shortShare = 0
	}
	if chosen == nil {
		return nil
	}
	slices.SortStableFunc(chosen, func(a, b *engineState) int { return cmp.Compare(a.busyUntil[t.class], b.busyUntil[t.class]) })
	members, remaining := make([]gatherMember, len(chosen)), t.memory
	for i, e := range chosen {
		target := min(remaining, max(e.longCapacity(shortShare), 0))
		if even := (remaining + len(chosen) - i - 1) / (len(chosen) - i); target > even {
			target = even
		}
		members[i] = gatherMember{engine: e, target: target}
		remaining -= target
	}
	// Engines that are smaller than an even part leave a remainder for the
	// others.
	for i := range members {
		extra := min(remaining, members[i].engine.longCapacity(shortShare)-members[i].target)
		members[i].target += extra
		remaining -= extra
	}
	return members
}

// fewestEngines returns the shortest prefix of engines whose total capacity
// outside the short share is at least memory, or nil if there is none.
func fewestEngines(engines []*engineState, memory int, shortShare float64) []*engineState {
	sum := 0
	for i, e := range engines {
		if sum += e.longCapacity(shortShare); sum >= memory {
			return engines[:i+1]
		}
	}
	return nil
}

// advanceGather holds the free memory of the members when readyAt is reached, when
// all of the memory is free, or at once for a request that must run alone. It
// completes the gathering that has all of its memory and aborts the one that has
// expired. Short requests keep their share of the members' memory meanwhile.
func (s *Scheduler) advanceGather(now time.Time) {
	g := s.gather
	if g == nil || g.reserving {
		return
	}
	if now.Sub(g.predictedAt) >= expiryInterval {
		s.predictReady(now)
	}
	complete := false
	if g.ticket.req.Alone || s.sinceEpoch(now) >= g.readyAt || s.allGatherable(g) {
		complete = s.holdFree(g)
	}
	switch {
	case complete && len(g.members) == 1:
		s.finishGather(now, "")
	case complete:
		g.reserving = true
		s.jobs = append(s.jobs, reserveJob(g, g.ticket.deadline.Sub(now)+reservationGrace))
		s.notify()
	case !now.Before(g.expiresAt):
		s.opts.Log.WithField("request", g.ticket.req.ID).Info("hold time expired before the gathering had all of its memory")
		s.abortGather(now, s.opts.GatherHold/2)
	}
}

// holdFree withholds the free memory of the members from other requests and
// reports whether the gathering has all of its memory.
func (s *Scheduler) holdFree(g *gathering) bool {
	complete := true
	for i := range g.members {
		m := &g.members[i]
		e := m.engine
		if n := min(m.target-m.held, s.gatherable(g, *m)); n > 0 {
			m.held += n
			e.held += n
			s.index.update(e)
		}
		// Streams started by another scheduler of the cell may use held memory.
		complete = complete && m.held == m.target && e.free() >= 0 &&
			(!g.ticket.req.Alone || len(e.grants) == 0 && e.unexplained == 0)
	}
	return complete
}

// gatherable is the free memory of a member that a gathering may hold. If the
// target fits beside the short share, the unused part of that share is excluded.
func (s *Scheduler) gatherable(g *gathering, m gatherMember) int {
	e, free := m.engine, m.engine.free()
	if shortMemory := e.capacity - e.longCapacity(s.shortShare); !g.ticket.req.Alone && m.target <= e.longCapacity(s.shortShare) {
		free -= max(0, shortMemory-(e.booked-e.bookedByClass[classLong])-e.unexplained)
	}
	return free
}

// allGatherable reports whether the members have all of the missing memory free.
func (s *Scheduler) allGatherable(g *gathering) bool {
	return !slices.ContainsFunc(g.members, func(m gatherMember) bool { return s.gatherable(g, m) < m.target-m.held })
}

// predictReady predicts when all members of the gathering have the memory.
func (s *Scheduler) predictReady(now time.Time) {
	g, at := s.gather, s.sinceEpoch(now)
	g.predictedAt, g.readyAt = now, at
	for _, m := range g.members {
		g.readyAt = max(g.readyAt, s.predictFreed(m.engine, m.target-m.held-s.gatherable(g, m), at))
	}
}

// predictFreed predicts when the engine's grants have given back the missing
// tokens. The result and at, the current time, are in seconds since the scheduler's
// epoch. The result is infinite if all of the grants together hold fewer tokens.
func (s *Scheduler) predictFreed(e *engineState, missing int, at float64) float64 {
	if missing <= 0 {
		return at
	}
	type grantEnd struct {
		at     float64
		tokens int
	}
	ends := make([]grantEnd, 0, len(e.grants))
	for _, g := range e.grants {
		ends = append(ends, grantEnd{max(at, g.prefillEnd) + s.est.outputFraction*float64(g.maxTokens)*e.decodeStep, g.tokensOn(e)})
	}
	slices.SortFunc(ends, func(a, b grantEnd) int { return cmp.Or(cmp.Compare(a.at, b.at), a.tokens-b.tokens) })
	for _, end := range ends {
		if missing -= end.tokens; missing <= 0 {
			return end.at
		}
	}
	return math.Inf(1)
}

// delaysGather reports whether the ticket would still use memory on the engine
// when the gathering is predicted to need it. Short requests are exempt, because
// they have their own share and end soon.
func (s *Scheduler) delaysGather(e *engineState, t *ticket, now time.Time) bool {
	g := s.gather
	if g == nil || g.reserving || g.ticket.req.Alone || t.class == classShort {
		return false
	}
	i := slices.IndexFunc(g.members, func(m gatherMember) bool { return m.engine == e })
	if i < 0 || s.sinceEpoch(now)+t.serviceTime.Seconds() <= g.readyAt {
		return false
	}
	return s.gatherable(g, g.members[i])-(g.members[i].target-g.members[i].held) < t.memory
}

// releaseHeld ends the gathering in progress, makes the memory that it holds
// available again and returns the gathering.
func (s *Scheduler) releaseHeld() *gathering {
	g := s.gather
	s.gather = nil
	for _, m := range g.members {
		m.engine.held -= m.held
		s.assert(m.engine.held == 0, "held_after_gathering")
		m.engine.draining = false
		s.index.update(m.engine)
	}
	s.removePin(g.ticket.req.Fingerprint, g.members[0].engine)
	return g
}

// finishGather issues the grant for which the gathering has collected memory.
func (s *Scheduler) finishGather(now time.Time, reservation string) {
	g := s.releaseHeld()
	shares := make([]engineShare, len(g.members))
	for i, m := range g.members {
		shares[i] = engineShare{m.engine, m.target}
	}
	s.issueGrant(g.ticket, shares, reservation, now)
}

// abortGather ends the gathering without a grant. A ticket that still waits
// returns to the queue, and no gathering is started for it during pause.
func (s *Scheduler) abortGather(now time.Time, pause time.Duration) {
	g := s.releaseHeld()
	if g.reserving {
		// The reservations may take up memory until the engines have confirmed
		// their release.
		for _, m := range g.members {
			m.engine.freeing += m.target
			s.index.update(m.engine)
		}
	}
	g.aborted = true
	if t := g.ticket; t.state == stateGathering {
		t.state = stateQueued
		t.gatherNotBefore = now.Add(pause)
		s.policy.order.push(t)
	}
}

// reserveJob requests the reservation on all members in parallel. When one of them
// refuses, or the gathering was aborted meanwhile, the reservations are freed on
// all members, including those whose response was lost.
func reserveJob(g *gathering, ttl time.Duration) job {
	return func(ctx context.Context, s *Scheduler) {
		calls := group.New(ctx)
		for _, m := range g.members {
			calls.Go("reserve", func(ctx context.Context) error {
				return s.opts.Engines.Reserve(ctx, m.engine.address, g.id, m.target, ttl)
			})
		}
		err := calls.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		if err == nil && !g.aborted {
			s.finishGather(now, g.id)
			s.dispatch(now)
			return
		}
		if !g.aborted {
			s.opts.Log.WithField("request", g.ticket.req.ID).WithError(err).Info("could not reserve memory on every member of the gathering")
			s.abortGather(now, reserveRetryDelay)
		}
		for _, m := range g.members {
			// unreserve adds the memory to freeing again.
			m.engine.freeing -= m.target
			s.unreserve(m.engine, g.id, m.target)
		}
		s.dispatch(now)
		s.notify()
	}
}

// abortGatherOn aborts the gathering if it uses the engine.
func (s *Scheduler) abortGatherOn(e *engineState, now time.Time) {
	if s.gather == nil {
		return
	}
	if slices.ContainsFunc(s.gather.members, func(m gatherMember) bool { return m.engine == e }) {
		s.abortGather(now, 0)
	}
}

// gatherBlocked is called for a request that found no memory. It raises the short
// share if the request books memory as a short one. For a request of another class
// that has found no memory for gatherDelay, it starts a gathering on one engine.
func (s *Scheduler) gatherBlocked(t *ticket, now time.Time) offerResult {
	if t.blockedSince.IsZero() {
		t.blockedSince = now
	}
	if t.memoryClass == classShort {
		s.boostShare(now)
	}
	if t.class == classShort || now.Sub(t.blockedSince) < gatherDelay || s.gather != nil {
		return skipTicket
	}
	return s.startGather(t, now)
}

// addPin pins a fingerprint to an engine for one more grant or gathering.
func (s *Scheduler) addPin(fingerprint string, e *engineState) {
	if fingerprint == "" {
		return
	}
	p, ok := s.pins[fingerprint]
	s.assert(!ok || p.engine == e, "fingerprint_on_two_engines")
	s.pins[fingerprint] = pin{e, p.count + 1}
}

// removePin undoes one addPin.
func (s *Scheduler) removePin(fingerprint string, e *engineState) {
	p, ok := s.pins[fingerprint]
	if !ok || p.engine != e {
		return
	}
	if p.count--; p.count > 0 {
		s.pins[fingerprint] = p
		return
	}
	delete(s.pins, fingerprint)
}

// park moves a ticket out of the queue until the engine that its fingerprint is
// pinned to can take it.
func (s *Scheduler) park(t *ticket, e *engineState) {
	s.policy.order.remove(t)
	t.state, t.parkedFor = stateParked, e
	s.parked = append(s.parked, t)
}

// retryParked grants the parked tickets whose engine can take them now and refuses
// the tickets that can no longer meet their deadline. Tickets whose fingerprint is
// no longer pinned return to the queue.
func (s *Scheduler) retryParked(now time.Time) {
	parked := s.parked
	s.parked = nil
	for _, t := range parked {
		if t.state != stateParked {
			continue
		}
		p, pinned := s.pins[t.req.Fingerprint]
		switch {
		case s.unattainable(t, now):
			s.refuse(t, fault.New(fault.DeadlineUnattainable, "the request cannot finish within its time limit any more"))
		case !pinned:
			t.state, t.parkedFor = stateQueued, nil
			s.policy.order.push(t)
		case t.lane != laneGather && s.fits(p.engine, t, now) && p.engine.wait(t.class, s.sinceEpoch(now)) <= s.window(t.class):
			s.issueGrant(t, []engineShare{{p.engine, t.memory}}, "", now)
		default:
			t.parkedFor = p.engine
			s.parked = append(s.parked, t)
		}
	}
}

// nextWake returns how long Run may sleep. A waiting request may become grantable
// without another event once the shortest wait of its class on any engine has fallen
// to the window of the class (see Scheduler.window). The result is at most
// expiryInterval.
func (s *Scheduler) nextWake(now time.Time) time.Duration {
	at, root, wait := s.sinceEpoch(now), s.index.root(), expiryInterval.Seconds()
	for c := range classCount {
		if s.lanes[c].count > 0 {
			if d := root.busyUntil[c] - s.window(c) - at; d > 0 && !math.IsInf(d, 1) {
				wait = min(wait, d)
			}
		}
	}
	return max(toDuration(wait), time.Millisecond)
}
