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
	// gatherAfter is how long a request finds no memory before it is gathered
	// for on one engine.
	gatherAfter = time.Second
	// reserveRetry is the pause after an engine refused a reservation.
	reserveRetry = time.Second
	// maxGatherWait bounds how far ahead the memory of a gathering may be
	// predicted; one that is predicted later ends after the hold time.
	maxGatherWait = 2 * time.Minute
	// reservationGrace is added to the time limit for the time to live of a
	// reservation.
	reservationGrace = 15 * time.Second
	// gatherPrefix begins the ids of reservations and of their grants.
	gatherPrefix = "gather-"
)

// gathering collects memory for one request on one or more engines while
// their running requests end. There is at most one in a cell; it ends when the
// hold time has passed after ready. Reservations are all or nothing.
type gathering struct {
	ticket  *ticket
	members []gatherShare
	until   time.Time
	// ready is when the members are predicted to have the memory, in seconds
	// since the epoch, and predicted when that was computed. Until then nothing
	// is held, and requests that end earlier may use the memory.
	ready     float64
	predicted time.Time
	id        string
	// reserving is set while the engines are asked for the reservations,
	// aborted when the result is not wanted any more.
	reserving, aborted bool
}

type gatherShare struct {
	slot      *slot
	want, got int
}

// startGather begins collecting for a ticket of the queue.
func (s *Scheduler) startGather(t *ticket, now time.Time) verdict {
	if p, ok := s.pins[t.req.Fingerprint]; ok && t.req.Fingerprint != "" {
		s.park(t, p.slot)
		return taken
	}
	if s.gather != nil {
		return closed
	}
	if now.Before(t.notBefore) {
		return blocked
	}
	members := s.gatherMembers(t, now)
	if members == nil {
		return blocked
	}
	s.policy.order.remove(t)
	t.state, t.pool = stateGathering, t.class
	s.gather = &gathering{
		ticket: t, members: members, until: now.Add(s.opts.GatherHold),
		id: fmt.Sprintf(gatherPrefix+"%s-%d-%08x", t.req.ID, t.req.Attempt, s.opts.Rand.Uint32()),
	}
	s.addPin(t.req.Fingerprint, members[0].slot)
	for _, m := range members {
		if t.req.Alone {
			m.slot.draining = true
			s.index.update(m.slot)
		}
	}
	s.predictReady(now)
	if wait := s.gather.ready - s.since(now); wait < maxGatherWait.Seconds() {
		s.gather.until = s.gather.until.Add(toDuration(wait))
	}
	s.collect(now)
	return taken
}

// gatherMembers picks the fewest engines that can hold the ticket, those that
// are predicted to have the memory first. The leader has the least prefill
// ahead.
func (s *Scheduler) gatherMembers(t *ticket, now time.Time) []gatherShare {
	var usable []*slot
	for _, e := range s.slots {
		if e.open() && e.serves(t.req.Model) && !slices.Contains(t.req.Avoid, e.name) {
			usable = append(usable, e)
		}
	}
	available := func(e *slot) int {
		if t.req.Alone {
			return -e.reserved - e.foreign
		}
		return e.room(t.class, s.shortShare)
	}
	slices.SortStableFunc(usable, func(a, b *slot) int { return cmp.Compare(available(b), available(a)) })
	share := s.shortShare
	if t.req.Alone {
		share = 0
	}
	if n := len(takeUntil(usable, t.need, share)); n > 0 && !t.req.Alone {
		ready := map[*slot]float64{}
		for _, e := range usable {
			ready[e] = s.drained(e, t.need/n-available(e), s.since(now))
		}
		slices.SortStableFunc(usable, func(a, b *slot) int { return cmp.Compare(ready[a], ready[b]) })
	}
	chosen := takeUntil(usable, t.need, share)
	if chosen == nil {
		// The cell can hold the request only with the short share.
		chosen = takeUntil(usable, t.need, 0)
		share = 0
	}
	if chosen == nil {
		return nil
	}
	slices.SortStableFunc(chosen, func(a, b *slot) int { return cmp.Compare(a.busy[t.class], b.busy[t.class]) })
	members, left := make([]gatherShare, len(chosen)), t.need
	for i, e := range chosen {
		want := min(left, max(e.longCap(share), 0))
		if even := (left + len(chosen) - i - 1) / (len(chosen) - i); want > even {
			want = even
		}
		members[i] = gatherShare{slot: e, want: want}
		left -= want
	}
	// Engines of unequal size leave a rest of the even division.
	for i := range members {
		more := min(left, members[i].slot.longCap(share)-members[i].want)
		members[i].want += more
		left -= more
	}
	return members
}

// takeUntil returns the shortest prefix of engines whose capacity outside the
// short share reaches need, or nil.
func takeUntil(engines []*slot, need int, share float64) []*slot {
	sum := 0
	for i, e := range engines {
		if sum += e.longCap(share); sum >= need {
			return engines[:i+1]
		}
	}
	return nil
}

// collect takes memory that became free, from the predicted time on or when
// all of it is free, and completes the gathering. Short requests keep their
// share of the members meanwhile.
func (s *Scheduler) collect(now time.Time) {
	g := s.gather
	if g == nil || g.reserving {
		return
	}
	if now.Sub(g.predicted) >= expiryInterval {
		s.predictReady(now)
	}
	complete := false
	if g.ticket.req.Alone || s.since(now) >= g.ready || s.allSpare(g) {
		complete = s.hold(g)
	}
	switch {
	case complete && len(g.members) == 1:
		s.finishGather(now, "")
	case complete:
		g.reserving = true
		s.jobs = append(s.jobs, reserveJob(g, g.ticket.deadline.Sub(now)+reservationGrace))
		s.notify()
	case !now.Before(g.until):
		s.opts.Log.WithField("request", g.ticket.req.ID).Info("gathering_expired")
		s.endGather(now, s.opts.GatherHold/2)
	}
}

// hold keeps what is free on the members from other requests and reports
// whether the gathering has all of its memory.
func (s *Scheduler) hold(g *gathering) bool {
	complete := true
	for i := range g.members {
		m := &g.members[i]
		e := m.slot
		if n := min(m.want-m.got, s.spare(g, *m)); n > 0 {
			m.got += n
			e.held += n
			s.index.update(e)
		}
		// Streams that other schedulers started may have taken held memory.
		complete = complete && m.got == m.want && e.free() >= 0 &&
			(!g.ticket.req.Alone || len(e.grants) == 0 && e.foreign == 0)
	}
	return complete
}

// spare is the memory that a gathering may still take on a member.
func (s *Scheduler) spare(g *gathering, m gatherShare) int {
	e, spare := m.slot, m.slot.free()
	if keep := e.capacity - e.longCap(s.shortShare); !g.ticket.req.Alone && m.want <= e.longCap(s.shortShare) {
		spare -= max(0, keep-(e.reserved-e.booked[classLong])-e.foreign)
	}
	return spare
}

func (s *Scheduler) allSpare(g *gathering) bool {
	return !slices.ContainsFunc(g.members, func(m gatherShare) bool { return s.spare(g, m) < m.want-m.got })
}

// predictReady predicts when all members of the gathering have the memory.
func (s *Scheduler) predictReady(now time.Time) {
	g, at := s.gather, s.since(now)
	g.predicted, g.ready = now, at
	for _, m := range g.members {
		g.ready = max(g.ready, s.drained(m.slot, m.want-m.got-s.spare(g, m), at))
	}
}

// drained predicts when the engine's grants have given back the missing
// tokens, in seconds since the epoch.
func (s *Scheduler) drained(e *slot, missing int, at float64) float64 {
	if missing <= 0 {
		return at
	}
	type end struct {
		at     float64
		tokens int
	}
	ends := make([]end, 0, len(e.grants))
	for _, g := range e.grants {
		ends = append(ends, end{max(at, g.prefillEnd) + s.est.output*float64(g.limit)*e.step, g.tokensOn(e)})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), a.tokens-b.tokens) })
	for _, x := range ends {
		if missing -= x.tokens; missing <= 0 {
			return x.at
		}
	}
	return math.Inf(1)
}

// outlasts reports whether the ticket would take memory that the gathering is
// predicted to need before the ticket ends. Short requests are exempt: they
// have their share and end soon.
func (s *Scheduler) outlasts(e *slot, t *ticket, now time.Time) bool {
	g := s.gather
	if g == nil || g.reserving || g.ticket.req.Alone || t.class == classShort {
		return false
	}
	i := slices.IndexFunc(g.members, func(m gatherShare) bool { return m.slot == e })
	if i < 0 || s.since(now)+t.service.Seconds() <= g.ready {
		return false
	}
	return s.spare(g, g.members[i])-(g.members[i].want-g.members[i].got) < t.need
}

// dropHeld gives back what the gathering holds.
func (s *Scheduler) dropHeld() *gathering {
	g := s.gather
	s.gather = nil
	for _, m := range g.members {
		m.slot.held -= m.got
		s.assert(m.slot.held == 0, "held_after_gathering")
		m.slot.draining = false
		s.index.update(m.slot)
	}
	s.removePin(g.ticket.req.Fingerprint, g.members[0].slot)
	return g
}

// finishGather turns the gathering into a grant.
func (s *Scheduler) finishGather(now time.Time, reservation string) {
	g := s.dropHeld()
	shares := make([]share, len(g.members))
	for i, m := range g.members {
		shares[i] = share{m.slot, m.want}
	}
	s.give(g.ticket, shares, reservation, now)
}

// endGather abandons the gathering; a ticket that still waits returns to the
// queue and is not gathered for again during pause.
func (s *Scheduler) endGather(now time.Time, pause time.Duration) {
	g := s.dropHeld()
	if g.reserving {
		// The engines may hold the reservations until they confirm the release.
		for _, m := range g.members {
			m.slot.freeing += m.want
			s.index.update(m.slot)
		}
	}
	g.aborted = true
	if t := g.ticket; t.state == stateGathering {
		t.state = stateQueued
		t.notBefore = now.Add(pause)
		s.policy.order.push(t)
	}
}

// reserveJob asks all members for the reservation at once. When one refuses
// or the gathering was aborted meanwhile, all reservations are freed, also
// those whose answer was lost.
func reserveJob(g *gathering, ttl time.Duration) job {
	return func(ctx context.Context, s *Scheduler) {
		all := group.New(ctx)
		for _, m := range g.members {
			all.Go("reserve", func(ctx context.Context) error {
				return s.opts.Engines.Reserve(ctx, m.slot.address, g.id, m.want, ttl)
			})
		}
		err := all.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		if err == nil && !g.aborted {
			s.finishGather(now, g.id)
			s.pump(now)
			return
		}
		if !g.aborted {
			s.opts.Log.WithField("request", g.ticket.req.ID).WithError(err).Info("reservation_refused")
			s.endGather(now, reserveRetry)
		}
		for _, m := range g.members {
			m.slot.freeing -= m.want
			s.unreserve(m.slot, g.id, m.want)
		}
		s.pump(now)
		s.notify()
	}
}

// loseMember ends the gathering when it uses the engine.
func (s *Scheduler) loseMember(e *slot, now time.Time) {
	if s.gather == nil {
		return
	}
	if slices.ContainsFunc(s.gather.members, func(m gatherShare) bool { return m.slot == e }) {
		s.endGather(now, 0)
	}
}

// gatherBlocked starts a gathering on one engine for a request that has found
// no memory for some time.
func (s *Scheduler) gatherBlocked(t *ticket, now time.Time) verdict {
	if t.blocked.IsZero() {
		t.blocked = now
	}
	if t.pool == classShort {
		s.boostShare(now)
	}
	if t.class == classShort || now.Sub(t.blocked) < gatherAfter || s.gather != nil {
		return blocked
	}
	return s.startGather(t, now)
}

func (s *Scheduler) addPin(fingerprint string, e *slot) {
	if fingerprint == "" {
		return
	}
	p, ok := s.pins[fingerprint]
	s.assert(!ok || p.slot == e, "fingerprint_on_two_engines")
	s.pins[fingerprint] = pin{e, p.count + 1}
}

func (s *Scheduler) removePin(fingerprint string, e *slot) {
	p, ok := s.pins[fingerprint]
	if !ok || p.slot != e {
		return
	}
	if p.count--; p.count > 0 {
		s.pins[fingerprint] = p
		return
	}
	delete(s.pins, fingerprint)
}

// park sets a ticket aside until its pinned engine has room for it.
func (s *Scheduler) park(t *ticket, e *slot) {
	s.policy.order.remove(t)
	t.state, t.parked = stateParked, e
	s.parked = append(s.parked, t)
}

// retryParked grants parked tickets or returns them to the queue when their
// fingerprint is not pinned any more.
func (s *Scheduler) retryParked(now time.Time) {
	waiting := s.parked
	s.parked = nil
	for _, t := range waiting {
		if t.state != stateParked {
			continue
		}
		p, pinned := s.pins[t.req.Fingerprint]
		switch {
		case s.doomed(t, now):
			s.refuse(t, fault.New(fault.Unattainable, "the request cannot finish within its time limit any more"))
		case !pinned:
			t.state, t.parked = stateQueued, nil
			s.policy.order.push(t)
		case t.lane != laneGather && s.fits(p.slot, t, now) && p.slot.wait(t.class, s.since(now)) <= s.window(t.class):
			s.give(t, []share{{p.slot, t.need}}, "", now)
		default:
			t.parked = p.slot
			s.parked = append(s.parked, t)
		}
	}
}

// nextWake is when time alone may allow a grant.
func (s *Scheduler) nextWake(now time.Time) time.Duration {
	at, root, wait := s.since(now), s.index.root(), expiryInterval.Seconds()
	for c := range classCount {
		if s.lanes[c].count > 0 {
			if d := root.busy[c] - s.window(c) - at; d > 0 && !math.IsInf(d, 1) {
				wait = min(wait, d)
			}
		}
	}
	return max(toDuration(wait), time.Millisecond)
}
