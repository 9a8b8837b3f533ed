package sched

import (
	"fmt"
	"time"
)

// issueGrant books a grant for a ticket and completes the ticket. A grant with
// reservations has the same id as the reservations, so that an owner of the cell
// that does not know the grant can free them.
func (s *Scheduler) issueGrant(t *ticket, shares []engineShare, reservation string, now time.Time) {
	id := reservation
	if id == "" {
		id = fmt.Sprintf("%s-%d-%08x", t.req.ID, t.req.Attempt, s.opts.Rand.Uint32())
	}
	g := &grant{
		id:      id,
		request: t.key(), entry: t.req.Entry, org: t.req.Organisation, fingerprint: t.req.Fingerprint,
		class: t.class, memoryClass: t.memoryClass, alone: t.req.Alone, reservation: reservation, shares: shares,
		weight: t.req.Weight, promptTokens: t.req.PromptTokens, maxTokens: t.req.MaxTokens, grantedAt: now, expiresAt: now.Add(s.opts.Lifetime),
	}
	s.predictPrefill(g, t, now)
	s.policy.order.charge(g.org, g.weight, g.chargedWork)
	s.bookGrant(g)
	g.response = Grant{
		ID: g.id, Cell: s.opts.Cell, Owner: s.opts.Owner,
		Engine: shares[0].engine.name, Address: shares[0].engine.address,
		Reservation: reservation, Priority: int(t.class), Lifetime: s.opts.Lifetime,
	}
	for i, sh := range shares {
		g.response.Shares = append(g.response.Shares, sh.tokens)
		if i > 0 {
			g.response.Members = append(g.response.Members, sh.engine.address)
		}
	}
	t.grant = g.response
	t.grant.Digest = s.digest(now)
	s.opts.Log.WithField("request", t.req.ID).WithField("engine", g.response.Engine).Debug("grant issued")
	s.opts.Metrics.Counter("granted").Inc(1)
	s.decide(t)
}

// predictPrefill predicts when the prefill of a grant starts and ends and adds the
// prefill to the busy time of the leader, the engine that runs the stream.
func (s *Scheduler) predictPrefill(g *grant, t *ticket, now time.Time) {
	e, at := g.leader(), s.sinceEpoch(now)
	g.cachedTokens = s.prefixes.cachedTokens(e, t.req.Prefixes, now)
	g.prefixes = t.req.Prefixes
	work := prefillWork(g.cachedTokens, g.promptTokens)
	g.chargedWork = work + decodeTokenWork*s.est.outputFraction*float64(g.maxTokens)
	g.predictedFirstToken = e.wait(g.class, at) + s.est.prefillSeconds(g.class, work, e.prefillRate)
	g.prefillEnd = e.addPrefill(g.class, s.est.prefillSeconds(g.class, work, e.prefillRate), at)
	e.lastGrantAt = now
	s.prefixes.recordExpected(e, t, now)
}

// bookGrant books the memory of a grant on its engines and records the grant.
func (s *Scheduler) bookGrant(g *grant) {
	for _, sh := range g.shares {
		e := sh.engine
		s.assert(e.exclusive == nil, "exclusive_engine_shared")
		s.assert(!g.alone || len(e.grants) == 0, "alone_grant_shares_engine")
		e.booked += sh.tokens
		e.bookedByClass[g.memoryClass] += sh.tokens
		e.grants[g.id] = g
		if g.alone {
			e.exclusive = g
		}
		// An engine that confirmed a reservation may have reported it as used
		// before the grant is booked. It is then part of the unexplained memory,
		// which is therefore left out of the check.
		free := e.free()
		if g.reservation != "" {
			free += e.unexplained
		}
		s.assert(!e.reported || free >= 0, "engine_overcommitted")
		s.index.update(e)
	}
	s.grants[g.id] = g
	s.grantsByRequest[g.request] = g
	g.expiryNode = s.expiry.Push(g)
	s.addPin(g.fingerprint, g.leader())
}

// endGrant removes a grant, gives back its memory and frees its reservations.
func (s *Scheduler) endGrant(g *grant, now time.Time) {
	for _, sh := range g.shares {
		e := sh.engine
		e.booked -= sh.tokens
		e.bookedByClass[g.memoryClass] -= sh.tokens
		s.assert(e.booked >= 0 && e.bookedByClass[g.memoryClass] >= 0, "negative_booking")
		delete(e.grants, g.id)
		e.freed = append(e.freed, freedTokens{now, sh.tokens})
		if e.exclusive == g {
			e.exclusive = nil
		}
		if g.reservation != "" && s.byName[e.name] == e {
			s.unreserve(e, g.reservation, sh.tokens)
		}
		if sh.engine == g.leader() {
			e.removePrefill(g.class, g.prefillEnd, s.sinceEpoch(now))
		}
		s.index.update(e)
	}
	s.expiry.Remove(g.expiryNode)
	delete(s.grants, g.id)
	if s.grantsByRequest[g.request] == g {
		delete(s.grantsByRequest, g.request)
	}
	s.recordEnded(g.id, now)
	s.removePin(g.fingerprint, g.leader())
}

// recordEnded remembers the id of an ended grant, so that a late renewal does not
// book the grant again.
func (s *Scheduler) recordEnded(id string, now time.Time) {
	s.ended[id] = struct{}{}
	s.endedList = append(s.endedList, endedGrant{id, now})
}

// releaseMembers gives back the memory of a grant on all engines but the leader,
// after one of these engines was lost. The leader's memory stays booked until the
// stream has ended there.
func (s *Scheduler) releaseMembers(g *grant, now time.Time) {
	for _, sh := range g.shares[1:] {
		e := sh.engine
		e.booked -= sh.tokens
		e.bookedByClass[g.memoryClass] -= sh.tokens
		delete(e.grants, g.id)
		e.freed = append(e.freed, freedTokens{now, sh.tokens})
		if s.byName[e.name] == e {
			s.unreserve(e, g.reservation, sh.tokens)
		}
	}
	g.shares = g.shares[:1]
	g.memberLost, g.endingSince = true, now
}
