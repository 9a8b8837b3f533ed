package sched

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// expiryInterval is the maximum time between two checks for expired grants. It is
// also the time between two predictions for a gathering and, during the rebuild
// window, between two checks of the engines' streams.
const expiryInterval = 250 * time.Millisecond

// job makes calls to engines; Run executes it without the scheduler's lock.
type job func(ctx context.Context, s *Scheduler)

// unreserve asks an engine to free a reservation. Its memory may be granted again
// when the call has ended. If the call failed, the engine's load reports still
// count the memory as used until the reservation's time to live has passed.
func (s *Scheduler) unreserve(e *engineState, id string, tokens int) {
	e.freeing += tokens
	s.index.update(e)
	s.jobs = append(s.jobs, func(ctx context.Context, s *Scheduler) {
		if err := s.opts.Engines.Unreserve(ctx, e.address, id); err != nil {
			s.opts.Log.WithField("engine", e.name).WithError(err).Warn("could not free the reservation")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		e.freeing -= tokens
		s.index.update(e)
		s.dispatch(time.Now())
	})
	s.notify()
}

// Run expires grants, makes the calls to engines and cancels orphaned streams
// until ctx ends. It then refuses the waiting requests with NotOwner.
func (s *Scheduler) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("streams", s.watchStreams)
	g.Go("tick", func(ctx context.Context) error {
		for {
			jobs, wait := s.safeTick()
			for _, j := range jobs {
				g.Go("job", guard.Task(s.opts.Log, "engine call", func(ctx context.Context) error {
					s.runJob(ctx, j)
					return nil
				}))
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-s.wake:
			case <-time.After(wait):
			}
		}
	})
	err := g.Wait()
	s.stop()
	// A job may add another job, which frees its reservations.
	for {
		s.mu.Lock()
		jobs := s.takeJobs()
		s.mu.Unlock()
		if len(jobs) == 0 {
			return err
		}
		for _, j := range jobs {
			guard.Run(s.opts.Log, "engine call", func() { s.runJob(ctx, j) })
		}
	}
}

// safeTick calls tick and returns the jobs to run and the time to the next call. An
// unexpected error in tick delays what is left of it to the next call.
func (s *Scheduler) safeTick() (jobs []job, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = expiryInterval
	guard.Run(s.opts.Log, "scheduler tick", func() {
		s.tick(time.Now())
		wait = s.nextWake(time.Now())
	})
	return s.takeJobs(), wait
}

// runJob executes a job even when ctx has ended, because a reservation that is not
// freed would stay for the time limit of its request.
func (s *Scheduler) runJob(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opts.CallTimeout)
	defer cancel()
	j(ctx, s)
}

// takeJobs returns and removes the pending jobs.
func (s *Scheduler) takeJobs() []job {
	jobs := s.jobs
	s.jobs = nil
	return jobs
}

// stop refuses all waiting requests.
func (s *Scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, t := range s.tickets {
		s.refuse(t, fault.New(fault.NotOwner, "this node no longer schedules cell %s", s.opts.Cell))
	}
}

// tick expires grants, lets the learned values decay and grants the requests that
// have become grantable.
func (s *Scheduler) tick(now time.Time) {
	for {
		g, ok := s.expiry.Peek()
		if !ok || now.Before(g.expiresAt) {
			break
		}
		err := guard.Do(context.Background(), s.opts.Log.WithField("grant", g.id), "expiry", func(context.Context) error {
			s.expire(g, now)
			return nil
		})
		if err != nil {
			s.expiry.Remove(g.expiryNode)
		}
	}
	for len(s.endedList) > 0 && now.Sub(s.endedList[0].at) > s.opts.Lifetime {
		delete(s.ended, s.endedList[0].id)
		s.endedList = s.endedList[1:]
	}
	s.est.decay(now.Sub(s.decayedAt))
	s.boost *= max(0, 1-now.Sub(s.decayedAt).Seconds()/boostDecay.Seconds())
	s.applyShare()
	s.decayedAt = now
	s.dispatch(now)
}

// expire lets a grant lapse that was not renewed, or ends it if it has lapsed before.
func (s *Scheduler) expire(g *grant, now time.Time) {
	if g.ending() {
		s.endGrant(g, now)
		return
	}
	// The stream may outlive its entry node, so the memory stays booked for
	// another lifetime unless the engine no longer lists the stream.
	g.lapsed = true
	g.endingSince = now
	g.expiresAt = now.Add(s.opts.Lifetime)
	s.expiry.Fix(g.expiryNode)
	s.opts.Log.WithField("grant", g.id).Info("grant was not renewed in time")
}

// watchStreams regularly checks the streams of all engines, more often during the
// rebuild window.
func (s *Scheduler) watchStreams(ctx context.Context) error {
	for {
		s.mu.Lock()
		engines := slices.Clone(s.engines)
		s.mu.Unlock()
		g := group.New(ctx)
		for _, e := range engines {
			g.Go("streams", guard.Task(s.opts.Log, "stream check", func(ctx context.Context) error {
				s.checkStreams(ctx, e)
				return nil
			}))
		}
		if err := g.Wait(); err != nil {
			return err
		}
		pause := s.opts.OrphanInterval
		if time.Now().Before(s.rebuildUntil) {
			pause = expiryInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// checkStreams compares an engine's streams with the grants. It ends lapsed grants
// without a stream and cancels orphaned streams. A stream is orphaned when it has
// had no reader for OrphanAge and has no grant, or one that is ending.
func (s *Scheduler) checkStreams(ctx context.Context, e *engineState) {
	listedAt := time.Now()
	streams, err := s.listStreams(ctx, e)
	if err != nil {
		return
	}
	var orphans, confirmed []string
	guard.Locked(&s.mu, func() { orphans = s.reconcile(e, streams, listedAt) })
	if len(orphans) == 0 {
		return
	}
	// A reader may have attached since the first list, so only streams that are
	// orphaned in both lists are cancelled.
	if streams, err = s.listStreams(ctx, e); err != nil {
		return
	}
	guard.Locked(&s.mu, func() { confirmed = s.reconcile(e, streams, listedAt) })
	for _, id := range confirmed {
		if !slices.Contains(orphans, id) {
			continue
		}
		s.opts.Log.WithField("engine", e.name).WithField("stream", id).Info("cancelling an orphaned stream")
		cancelCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
		if err := s.opts.Engines.Cancel(cancelCtx, e.address, id); err != nil {
			s.opts.Log.WithField("engine", e.name).WithError(err).Warn("cancel_failed")
		}
		cancel()
	}
}

func (s *Scheduler) listStreams(ctx context.Context, e *engineState) ([]engine.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	streams, err := s.opts.Engines.Streams(ctx, e.address)
	if err != nil {
		s.opts.Log.WithField("engine", e.name).WithError(err).Debug("could not list the streams")
	}
	return streams, err
}

// reconcile ends the grants that are lapsed or have lost a member and whose stream
// is no longer listed. It counts the memory of streams without a grant as
// unexplained and returns the ids of orphaned streams; before the end of the
// rebuild window it returns none.
func (s *Scheduler) reconcile(e *engineState, streams []engine.Stream, listedAt time.Time) []string {
	now := time.Now()
	var orphans []string
	unexplained := 0
	listed, grants := map[*grant]bool{}, grantsByStreamID(e)
	for _, st := range streams {
		g := grants[st.ID]
		if g == nil && st.Reservation != "" {
			g = grants[st.Reservation]
		}
		if g == nil {
			unexplained += st.TokensHeld
		} else if listed[g] = true; !g.ending() {
			continue
		}
		detached := time.Duration(st.DetachedMillis) * time.Millisecond
		if !st.Attached && detached >= s.opts.OrphanAge && now.After(s.rebuildUntil) {
			orphans = append(orphans, st.ID)
		}
	}
	for _, g := range sortedGrants(e.grants) {
		if g.ending() && !listed[g] && g.leader() == e && g.endingSince.Before(listedAt) {
			s.endGrant(g, now)
		}
	}
	e.unexplainedListed = unexplained
	e.unexplained = max(e.unexplainedListed, e.unexplainedReported)
	s.index.update(e)
	s.dispatch(now)
	return orphans
}

// grantsByStreamID maps every id that the stream of a grant may have to the grant:
// the ids of the grant, of its request and of its reservation.
func grantsByStreamID(e *engineState) map[string]*grant {
	grants := make(map[string]*grant, 2*len(e.grants))
	for _, g := range e.grants {
		grants[g.id], grants[g.request.id] = g, g
		if g.reservation != "" {
			grants[g.reservation] = g
		}
	}
	return grants
}

// adopt books a grant that an earlier owner of the cell issued. It returns false
// if the grant has ended, its engine is unknown or cannot hold it, or its
// fingerprint is pinned to another engine.
func (s *Scheduler) adopt(entry string, h HeldGrant, now time.Time) (*grant, bool) {
	e, ok := s.byName[h.Engine]
	if _, ended := s.ended[h.ID]; ended || !ok || h.ID == "" {
		return nil, false
	}
	if p, ok := s.pins[h.Fingerprint]; ok && h.Fingerprint != "" && p.engine != e {
		return nil, false
	}
	// The stream was running before, so load reports measured before now include it.
	// With the epoch as grantedAt, applyReport counts the grant in them.
	g := &grant{
		id: h.ID, request: requestKey{h.RequestID, h.Attempt}, entry: entry, org: h.Organisation,
		fingerprint: h.Fingerprint, alone: h.Alone, reservation: h.Reservation,
		weight: 1, chargedWork: float64(h.Tokens), promptTokens: h.Tokens, grantedAt: s.epoch, expiresAt: now.Add(s.opts.Lifetime),
	}
	g.shares = s.heldShares(e, h)
	for _, sh := range g.shares {
		if !sh.engine.adoptable(sh.tokens, h.Alone) {
			return nil, false
		}
	}
	for _, sh := range g.shares {
		// The stream was counted as unexplained memory until now.
		e := sh.engine
		e.unexplainedListed, e.unexplainedReported = max(0, e.unexplainedListed-sh.tokens), max(0, e.unexplainedReported-sh.tokens)
		e.unexplained = max(e.unexplainedListed, e.unexplainedReported)
	}
	s.bookGrant(g)
	g.response = Grant{
		ID: g.id, Cell: s.opts.Cell, Owner: s.opts.Owner, Engine: e.name, Address: e.address,
		Members: h.Members, Reservation: h.Reservation, Shares: h.Shares, Lifetime: s.opts.Lifetime,
	}
	s.opts.Log.WithField("grant", h.ID).Info("adopted a grant of an earlier owner")
	return g, true
}

// heldShares returns the shares of a grant that an entry node holds. Without one
// share for each engine, the leader gets all tokens. Unknown members are left out.
func (s *Scheduler) heldShares(e *engineState, h HeldGrant) []engineShare {
	if len(h.Shares) != len(h.Members)+1 {
		return []engineShare{{e, h.Tokens}}
	}
	shares := []engineShare{{e, h.Shares[0]}}
	for i, address := range h.Members {
		for _, m := range s.engines {
			if m.address == address {
				shares = append(shares, engineShare{m, h.Shares[i+1]})
			}
		}
	}
	return shares
}

// sortedGrants returns the grants in order of their ids, so that runs with the
// same seed are reproducible.
func sortedGrants(m map[string]*grant) []*grant {
	out := make([]*grant, 0, len(m))
	for _, g := range m {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *grant) int { return cmp.Compare(a.id, b.id) })
	return out
}
