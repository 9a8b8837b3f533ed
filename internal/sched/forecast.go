package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// unserved returns the error for a request that the engines in use cannot
// serve, or nil. While a first report is awaited, requests wait for it.
func (s *Scheduler) unserved(t *ticket) error {
	if len(s.slots) == 0 {
		return fault.New(fault.Unreachable, "cell %s has no engine", s.opts.Cell)
	}
	if s.pending > 0 {
		return nil
	}
	r := s.room(t.req.Model, t.req.Avoid)
	switch {
	case s.usable == 0:
		return fault.New(fault.Unreachable, "every engine of cell %s is lost or leaving", s.opts.Cell)
	case r.total == 0:
		return fault.New(fault.Unreachable, "no usable engine of cell %s has model %s loaded", s.opts.Cell, t.req.Model)
	case t.need > r.known:
		return fault.New(fault.TooLong, "the request needs %d tokens of memory and the cell has %d", t.need, r.known)
	case t.need > r.total:
		return fault.New(fault.Unreachable, "the request needs %d tokens of memory and the usable engines of cell %s have %d",
			t.need, s.opts.Cell, r.total)
	}
	return nil
}

// refuseUnserved refuses the waiting requests that the engines in use cannot
// serve any more, so that entry nodes ask other cells.
func (s *Scheduler) refuseUnserved() {
	for _, t := range s.waiting() {
		if err := s.unserved(t); err != nil {
			s.refuse(t, err)
		}
	}
}

// waiting returns the undecided tickets in order of their latest start, which
// is the order most favourable to the deadlines.
func (s *Scheduler) waiting() []*ticket {
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
	// seconds of prefill, and tokens of memory times the seconds of their use.
	seconds, memory float64
}

// refuseLate refuses the waiting requests whose predicted start is past their
// latest one. The prediction is a lower bound: the lanes are served in order,
// within a lane the organisations by their shares, and all engines of the
// model work without gaps.
func (s *Scheduler) refuseLate(now time.Time) {
	if !s.policy.admission || s.usable == 0 {
		return
	}
	busy, at := s.index.root().busy, s.since(now)
	ahead := map[string]*backlog{}
	for _, t := range s.inTurn() {
		b := ahead[t.req.Model]
		if b == nil {
			b = &backlog{}
			ahead[t.req.Model] = b
		}
		r := s.room(t.req.Model, nil)
		// Engines that have not reported are counted like the others.
		engines := float64(max(1, r.engines+s.pending))
		memory := float64(max(1, r.total)) * engines / float64(max(1, r.engines))
		start := b.seconds / engines
		if wait := busy[t.class] - at; s.pending == 0 && wait > 0 && !math.IsInf(wait, 1) {
			start += wait
		}
		start = max(start, b.memory/memory)
		if now.Add(toDuration(start)).After(t.latestStart()) {
			s.refuse(t, fault.New(fault.Unattainable, "after the loss of an engine the request would start too late"))
			continue
		}
		b.seconds += t.seconds
		b.memory += float64(t.need) * t.service.Seconds()
	}
}

// inTurn returns the undecided tickets in the predicted order of service.
func (s *Scheduler) inTurn() []*ticket {
	type flow struct {
		lane int
		org  string
	}
	list, turn, next := s.waiting(), map[*ticket]float64{}, map[flow]float64{}
	for _, t := range list {
		f := flow{t.lane, t.req.Organisation}
		if _, ok := next[f]; !ok {
			next[f] = s.policy.order.ahead(t.req.Organisation)
		}
		turn[t] = next[f]
		next[f] += t.work / t.req.Weight
	}
	slices.SortStableFunc(list, func(a, b *ticket) int {
		return cmp.Or(cmp.Compare(a.lane, b.lane), cmp.Compare(turn[a], turn[b]))
	})
	return list
}
