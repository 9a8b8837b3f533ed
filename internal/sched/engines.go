package sched

import (
	"slices"
	"time"
)

// EngineLost stops the use of an engine until its next report. It ends the grants
// that have the engine as their leader, which runs the stream. Grants that have the
// engine as another member keep only the booking on their leader (see
// releaseMembers). In both cases the entry nodes learn of the loss at their next
// renewal. Waiting requests that the remaining engines cannot serve are refused.
func (s *Scheduler) EngineLost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byName[name]
	if !ok || e.lost {
		return
	}
	now := time.Now()
	s.removeEngine(e, e.afterLoss(), now)
	s.refuseUnservable()
	s.refuseLate(now)
	s.dispatch(now)
	s.notify()
}

// removeEngine ends the use of an engine. It ends the grants that have the engine as
// their leader, and releases all but the leader's memory of the grants that have the
// engine as another member. A replacement, unless nil, takes the engine's place in
// the list.
func (s *Scheduler) removeEngine(e, replacement *engineState, now time.Time) {
	delete(s.byName, e.name)
	i := slices.Index(s.engines, e)
	if replacement != nil {
		s.engines[i], s.byName[e.name] = replacement, replacement
	} else {
		s.engines = slices.Delete(s.engines, i, i+1)
	}
	s.reindex()
	s.prefixes.removeEngine(e)
	s.abortGatherOn(e, now)
	for _, g := range sortedGrants(e.grants) {
		if g.leader() == e {
			s.endGrant(g, now)
		} else {
			s.releaseMembers(g, now)
		}
	}
	s.opts.Log.WithField("engine", e.name).Info("engine_lost")
}

// SetEngines replaces the list of engines. Engines that are no longer listed are
// lost; an engine with a new address is a new engine. An engine for which
// EngineLost was called is not used until it reports.
func (s *Scheduler) SetEngines(infos []EngineInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	listed := map[string]EngineInfo{}
	for _, i := range infos {
		listed[i.Name] = i
	}
	capacityLost := false
	for _, e := range slices.Clone(s.engines) {
		i, ok := listed[e.name]
		if !ok || i.Address != e.address {
			s.removeEngine(e, nil, now)
		}
		capacityLost = capacityLost || !ok || i.Address != e.address || i.Leaving && !e.leaving
	}
	for _, i := range infos {
		e, ok := s.byName[i.Name]
		if !ok {
			e = newEngineState(i)
			s.byName[i.Name] = e
			s.engines = append(s.engines, e)
		}
		e.leaving = i.Leaving
	}
	s.reindex()
	s.refuseUnservable()
	if capacityLost {
		s.refuseLate(now)
	}
	s.dispatch(now)
	s.notify()
}
