package sched

import (
	"fmt"
	"time"
)

// give books a grant and decides the ticket. A grant with reservations has
// their id, so that an owner that does not know the grant can free them.
func (s *Scheduler) give(t *ticket, shares []share, reservation string, now time.Time) {
	id := reservation
	if id == "" {
		id = fmt.Sprintf("%s-%d-%08x", t.req.ID, t.req.Attempt, s.opts.Rand.Uint32())
	}
	g := &grant{
		id:      id,
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
		// Engines that confirmed a reservation count it as used before the
		// grant is booked, so only the bookings are compared there.
		left := e.free()
		if g.reservation != "" {
			left += e.foreign
		}
		s.assert(!e.reported || left >= 0, "engine_overcommitted")
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
	s.noteEnded(g.id, now)
	s.removePin(g.fingerprint, g.leader())
}

// noteEnded keeps a late renewal from booking the grant again.
func (s *Scheduler) noteEnded(id string, now time.Time) {
	s.ended[id] = struct{}{}
	s.endedList = append(s.endedList, endedGrant{id, now})
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
