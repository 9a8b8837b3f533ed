package sched

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// expiryInterval is the longest time between two checks for expired grants.
const expiryInterval = 250 * time.Millisecond

// job is a call to an engine that Run makes outside the scheduler's lock.
type job func(ctx context.Context, s *Scheduler)

// unreserve asks an engine to free a reservation. The memory is granted again
// when the call has ended; should it have failed, the load reports show what
// is still used, and the reservation's time to live ends it.
func (s *Scheduler) unreserve(e *slot, id string, tokens int) {
	e.freeing += tokens
	s.index.update(e)
	s.jobs = append(s.jobs, func(ctx context.Context, s *Scheduler) {
		if err := s.opts.Engines.Unreserve(ctx, e.address, id); err != nil {
			s.opts.Log.WithField("engine", e.name).WithError(err).Warn("unreserve_failed")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		e.freeing -= tokens
		s.index.update(e)
		s.pump(time.Now())
	})
	s.notify()
}

// Run expires grants, makes the calls to engines and cancels orphaned streams
// until ctx ends. Waiting requests are then refused as NotOwner.
func (s *Scheduler) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("streams", s.watchStreams)
	g.Go("tick", func(ctx context.Context) error {
		for {
			s.mu.Lock()
			s.tick(time.Now())
			jobs, wait := s.takeJobs(), s.nextWake(time.Now())
			s.mu.Unlock()
			for _, j := range jobs {
				g.Go("job", func(ctx context.Context) error {
					ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
					defer cancel()
					j(ctx, s)
					return nil
				})
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
	// Reservations of an unfinished gathering are freed even though ctx ended.
	s.mu.Lock()
	jobs := s.takeJobs()
	s.mu.Unlock()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opts.CallTimeout)
	defer cancel()
	for _, j := range jobs {
		j(last, s)
	}
	return err
}

func (s *Scheduler) takeJobs() []job {
	jobs := s.jobs
	s.jobs = nil
	return jobs
}

// stop refuses everything that waits.
func (s *Scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, t := range s.tickets {
		s.refuse(t, fault.New(fault.NotOwner, "this node no longer schedules cell %s", s.opts.Cell))
	}
}

// tick expires grants and grants what time made possible.
func (s *Scheduler) tick(now time.Time) {
	for {
		g, ok := s.expiry.Peek()
		if !ok || now.Before(g.expires) {
			break
		}
		if g.ending() {
			s.unbook(g, now)
			continue
		}
		// The stream may outlive its entry node: the memory stays booked for
		// another lifetime unless the engine no longer lists the stream.
		g.lapsed = true
		g.lapse = now
		g.expires = now.Add(s.opts.Lifetime)
		s.expiry.Fix(g.node)
		s.opts.Log.WithField("grant", g.id).Info("grant_lapsed")
	}
	for len(s.endedList) > 0 && now.Sub(s.endedList[0].at) > s.opts.Lifetime {
		delete(s.ended, s.endedList[0].id)
		s.endedList = s.endedList[1:]
	}
	s.est.relax(now.Sub(s.relaxed))
	s.boost *= max(0, 1-now.Sub(s.relaxed).Seconds()/boostDecay.Seconds())
	s.applyShare()
	s.relaxed = now
	s.pump(now)
}

func (s *Scheduler) watchStreams(ctx context.Context) error {
	for {
		s.mu.Lock()
		slots := slices.Clone(s.slots)
		s.mu.Unlock()
		g := group.New(ctx)
		for _, e := range slots {
			g.Go("streams", func(ctx context.Context) error {
				s.checkStreams(ctx, e)
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		pause := s.opts.OrphanInterval
		if time.Now().Before(s.rebuilt) {
			pause = expiryInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// checkStreams compares an engine's streams with the books: lapsed grants
// without a stream are freed and orphaned streams cancelled.
func (s *Scheduler) checkStreams(ctx context.Context, e *slot) {
	listed := time.Now()
	streams, err := s.listStreams(ctx, e)
	if err != nil {
		return
	}
	s.mu.Lock()
	orphans := s.compare(e, streams, listed)
	s.mu.Unlock()
	if len(orphans) == 0 {
		return
	}
	// A reader may have come back since the first list.
	if streams, err = s.listStreams(ctx, e); err != nil {
		return
	}
	s.mu.Lock()
	still := s.compare(e, streams, listed)
	s.mu.Unlock()
	for _, id := range still {
		if !slices.Contains(orphans, id) {
			continue
		}
		s.opts.Log.WithField("engine", e.name).WithField("stream", id).Info("orphan_cancelled")
		cancelCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
		if err := s.opts.Engines.Cancel(cancelCtx, e.address, id); err != nil {
			s.opts.Log.WithField("engine", e.name).WithError(err).Warn("cancel_failed")
		}
		cancel()
	}
}

func (s *Scheduler) listStreams(ctx context.Context, e *slot) ([]engine.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	streams, err := s.opts.Engines.Streams(ctx, e.address)
	if err != nil {
		s.opts.Log.WithField("engine", e.name).WithError(err).Debug("streams_failed")
	}
	return streams, err
}

// compare frees lapsed and broken grants whose stream is gone, accounts for
// streams without a grant and returns the ids of orphaned streams. None are
// named before the rebuild window has passed.
func (s *Scheduler) compare(e *slot, streams []engine.Stream, listed time.Time) []string {
	now := time.Now()
	var orphans []string
	unknown := 0
	alive, owners := map[*grant]bool{}, streamOwners(e)
	for _, st := range streams {
		g := owners[st.ID]
		if g == nil && st.Reservation != "" {
			g = owners[st.Reservation]
		}
		if g == nil {
			unknown += st.TokensHeld
		} else if alive[g] = true; !g.ending() {
			continue
		}
		detached := time.Duration(st.DetachedMillis) * time.Millisecond
		if !st.Attached && detached >= s.opts.OrphanAge && now.After(s.rebuilt) {
			orphans = append(orphans, st.ID)
		}
	}
	for _, g := range sortedGrants(e.grants) {
		if g.ending() && !alive[g] && g.leader() == e && g.lapse.Before(listed) {
			s.unbook(g, now)
		}
	}
	e.listed = unknown
	e.foreign = max(e.listed, e.unbooked)
	s.index.update(e)
	s.pump(now)
	return orphans
}

// streamOwners maps the ids a stream may have to its grant: that of the
// grant, the request or the reservation.
func streamOwners(e *slot) map[string]*grant {
	owners := make(map[string]*grant, 2*len(e.grants))
	for _, g := range e.grants {
		owners[g.id], owners[g.request.id] = g, g
		if g.reservation != "" {
			owners[g.reservation] = g
		}
	}
	return owners
}

// adopt books a grant that an earlier owner of the cell made.
func (s *Scheduler) adopt(entry string, h Held, now time.Time) (*grant, bool) {
	e, ok := s.byName[h.Engine]
	if _, ended := s.ended[h.ID]; ended || !ok || h.ID == "" {
		return nil, false
	}
	if p, ok := s.pins[h.Fingerprint]; ok && h.Fingerprint != "" && p.slot != e {
		return nil, false
	}
	g := &grant{
		id: h.ID, request: requestKey{h.RequestID, h.Attempt}, entry: entry, org: h.Organisation,
		fingerprint: h.Fingerprint, alone: h.Alone, reservation: h.Reservation,
		weight: 1, work: float64(h.Tokens), prompt: h.Tokens, granted: s.epoch, expires: now.Add(s.opts.Lifetime),
	}
	g.shares = s.heldShares(e, h)
	for _, sh := range g.shares {
		if !sh.slot.adoptable(sh.tokens, h.Alone) {
			return nil, false
		}
	}
	for _, sh := range g.shares {
		// The stream is in the reported use already.
		e := sh.slot
		e.listed, e.unbooked = max(0, e.listed-sh.tokens), max(0, e.unbooked-sh.tokens)
		e.foreign = max(e.listed, e.unbooked)
	}
	s.book(g)
	g.wire = Grant{
		ID: g.id, Cell: s.opts.Cell, Owner: s.opts.Owner, Engine: e.name, Address: e.address,
		Members: h.Members, Reservation: h.Reservation, Shares: h.Shares, Lifetime: s.opts.Lifetime,
	}
	s.opts.Log.WithField("grant", h.ID).Info("grant_adopted")
	return g, true
}

func (s *Scheduler) heldShares(e *slot, h Held) []share {
	if len(h.Shares) != len(h.Members)+1 {
		return []share{{e, h.Tokens}}
	}
	shares := []share{{e, h.Shares[0]}}
	for i, address := range h.Members {
		for _, m := range s.slots {
			if m.address == address {
				shares = append(shares, share{m, h.Shares[i+1]})
			}
		}
	}
	return shares
}

// sortedGrants returns the grants in order of id, so that runs with the same
// seed are equal.
func sortedGrants(m map[string]*grant) []*grant {
	out := make([]*grant, 0, len(m))
	for _, g := range m {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *grant) int { return cmp.Compare(a.id, b.id) })
	return out
}
