package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Release ends a grant. An unknown id is ignored: the release may be repeated.
func (s *Scheduler) Release(r Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.grants[r.ID]
	if !ok {
		s.releaseUnknown(r.ID)
		return
	}
	now := time.Now()
	s.learn(g, r, now)
	s.unbook(g, now)
	s.pump(now)
	s.notify()
}

// releaseUnknown notes the end of a grant that an earlier owner made and this
// one did not adopt, and frees its reservations.
func (s *Scheduler) releaseUnknown(id string) {
	if _, ended := s.ended[id]; ended || s.stopped {
		return
	}
	s.noteEnded(id, time.Now())
	if !strings.HasPrefix(id, gatherPrefix) {
		return
	}
	for _, e := range s.slots {
		s.unreserve(e, id, 0)
	}
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
