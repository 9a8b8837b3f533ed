package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// checkServable returns an error if the cell's engines cannot serve the request.
// While the first report of an engine is awaited, requests are not refused.
func (s *Scheduler) checkServable(t *ticket) error {
	if len(s.engines) == 0 {
		return fault.New(fault.NoEngine, "cell %s has no engine", s.opts.Cell)
	}
	if s.pending > 0 {
		return nil
	}
	m := s.memoryFor(t.req.Model, t.req.Avoid)
	switch {
	case s.usable == 0:
		return fault.New(fault.NoEngine, "every engine of cell %s is lost or leaving", s.opts.Cell)
	case m.total == 0:
		return fault.New(fault.NoEngine, "no usable engine of cell %s has model %s loaded", s.opts.Cell, t.req.Model)
	case t.memory > m.totalKnown:
		return fault.New(fault.PromptTooLong, "the request needs %d tokens of memory and the cell has %d", t.memory, m.totalKnown)
	case t.memory > m.total:
		return fault.New(fault.NoEngine, "the request needs %d tokens of memory and the usable engines of cell %s have %d",
			t.memory, s.opts.Cell, m.total)
	}
	return nil
}

// refuseUnservable refuses the waiting requests that the cell's engines can no
// longer serve, so that entry nodes ask other cells.
func (s *Scheduler) refuseUnservable() {
	for _, t := range s.waitingTickets() {
		if err := s.checkServable(t); err != nil {
			s.refuse(t, err)
		}
	}
}

// waitingTickets returns the undecided tickets in order of their latest start, the
// order most favourable to meeting their deadlines.
func (s *Scheduler) waitingTickets() []*ticket {
	list := make([]*ticket, 0, len(s.tickets))
	for _, t := range s.tickets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *ticket) int {
		return cmp.Or(a.latestStart().Compare(b.latestStart()), cmp.Compare(a.req.ID, b.req.ID), a.req.Attempt-b.req.Attempt)
	})
	return list
}

// backlog is the work ahead of a request on the engines of its model.
type backlog struct {
	// prefillSeconds is the prefill time, memorySeconds the memory in tokens
	// times the seconds for which it is used.
	prefillSeconds, memorySeconds float64
}

// refuseLate refuses the waiting requests whose predicted start is after their
// latest start. The prediction is a lower bound: it assumes that the lanes are
// served in order, that the organisations of a lane are served by their shares,
// and that no engine of the model is idle in between.
func (s *Scheduler) refuseLate(now time.Time) {
	if !s.policy.admission || s.usable == 0 {
		return
	}
	busy, at := s.index.root().busyUntil, s.sinceEpoch(now)
	ahead := map[string]*backlog{}
	for _, t := range s.serviceOrder() {
		b := ahead[t.req.Model]
		if b == nil {
			b = &backlog{}
			ahead[t.req.Model] = b
		}
		m := s.memoryFor(t.req.Model, nil)
		// Engines that have not reported yet are taken to serve the model with
		// the average memory of the others.
		engines := float64(max(1, m.engines+s.pending))
		memory := float64(max(1, m.total)) * engines / float64(max(1, m.engines))
		start := b.prefillSeconds / engines
		if wait := busy[t.class] - at; s.pending == 0 && wait > 0 && !math.IsInf(wait, 1) {
			start += wait
		}
		start = max(start, b.memorySeconds/memory)
		if now.Add(toDuration(start)).After(t.latestStart()) {
			s.refuse(t, fault.New(fault.DeadlineUnattainable, "after the loss of an engine the request would start too late"))
			continue
		}
		b.prefillSeconds += t.prefillSeconds
		b.memorySeconds += float64(t.memory) * t.serviceTime.Seconds()
	}
}

// serviceOrder returns the undecided tickets in the order in which they are
// predicted to be served: by lane, then by the virtual start time of fair
// queueing.
func (s *Scheduler) serviceOrder() []*ticket {
	type flow struct {
		lane int
		org  string
	}
	list, start, nextStart := s.waitingTickets(), map[*ticket]float64{}, map[flow]float64{}
	for _, t := range list {
		f := flow{t.lane, t.req.Organisation}
		if _, ok := nextStart[f]; !ok {
			nextStart[f] = s.policy.order.lead(t.req.Organisation)
		}
		start[t] = nextStart[f]
		nextStart[f] += t.totalWork / t.req.Weight
	}
	slices.SortStableFunc(list, func(a, b *ticket) int {
		return cmp.Or(cmp.Compare(a.lane, b.lane), cmp.Compare(start[a], start[b]))
	})
	return list
}
