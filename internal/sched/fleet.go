package sched

import (
	"slices"
	"time"
)

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
