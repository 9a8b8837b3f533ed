package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Release ends a grant. The id may be unknown, because a release may be repeated
// or the grant may have been issued by an earlier owner.
func (s *Scheduler) Release(r Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.grants[r.ID]
	if !ok {
		s.releaseUnknown(r.ID)
		return
	}
	now := time.Now()
	s.learnFromRelease(g, r, now)
	s.endGrant(g, now)
	s.dispatch(now)
	s.notify()
}

// releaseUnknown records the end of a grant that an earlier owner issued and this
// one has not adopted, and frees its reservations.
func (s *Scheduler) releaseUnknown(id string) {
	if _, ended := s.ended[id]; ended || s.stopped {
		return
	}
	s.recordEnded(id, time.Now())
	if !strings.HasPrefix(id, gatherPrefix) {
		return
	}
	for _, e := range s.engines {
		s.unreserve(e, id, 0)
	}
}

// learnFromRelease corrects the predictions and the work charged to the
// organisation by the tokens and times that the release reports.
func (s *Scheduler) learnFromRelease(g *grant, r Release, now time.Time) {
	if r.Failed || r.PromptTokens <= 0 {
		return
	}
	s.est.observeOutput(r.CompletionTokens, g.maxTokens)
	used := prefillWork(r.CachedTokens, r.PromptTokens) + decodeTokenWork*float64(r.CompletionTokens)
	s.policy.order.charge(g.org, g.weight, used-g.chargedWork)
	switch {
	case r.FirstToken > 0:
		s.est.observeFirstToken(g.class, g.predictedFirstToken, r.FirstToken.Seconds())
	case g.class == classLong && g.predictedFirstToken > 0:
		decode := float64(r.CompletionTokens) * g.leader().decodeStep
		s.est.observeFirstToken(g.class, g.predictedFirstToken+decode, now.Sub(g.grantedAt).Seconds())
	}
	if r.CachedTokens < g.cachedTokens/2 {
		for _, hash := range g.prefixes {
			s.prefixes.remove(g.leader(), hash)
		}
	}
}

// Renew extends the grants that an entry node holds. It returns the ids of the
// grants that are unknown or have lost a member, and an error of the kind NotOwner
// for another cell.
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
		if !ok || g.memberLost {
			unknown = append(unknown, h.ID)
			continue
		}
		g.expiresAt, g.lapsed = now.Add(s.opts.Lifetime), false
		s.expiry.Fix(g.expiryNode)
	}
	return unknown, nil
}

// Report processes a load report of an engine of the cell.
func (s *Scheduler) Report(engineName, address string, r engine.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byName[engineName]
	if !ok || e.address != address {
		return
	}
	now := time.Now()
	models, capacity, reported := e.report.Models, e.capacity, e.reported
	e.applyReport(r, now)
	if !reported || capacity != e.capacity || !sameModels(models, e.report.Models) {
		s.reindex()
		s.refuseUnservable()
	}
	s.index.update(e)
	s.dispatch(now)
}

func sameModels(a, b []engine.Model) bool {
	return slices.EqualFunc(a, b, func(x, y engine.Model) bool { return x.Name == y.Name })
}

// CacheEvents processes cache events of an engine. They may be late, repeated or
// incomplete.
func (s *Scheduler) CacheEvents(engineName string, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.byName[engineName]; ok {
		s.prefixes.apply(e, events, time.Now())
	}
}
