package sched

import (
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// laneQueue sums up the tickets that wait in one lane. Tickets that are parked
// or gathered for are included.
type laneQueue struct {
	count int
	// prefillSeconds is the predicted prefill time of the tickets, weight the sum
	// of the weights of their organisations.
	prefillSeconds float64
	weight         float64
	orgs           map[string]*laneOrg
}

// laneOrg sums up the waiting tickets of one organisation in a lane.
type laneOrg struct {
	count          int
	prefillSeconds float64
	weight         float64
}

// laneQueueFactor scales MaxQueueWait for each lane, because longer requests
// have longer time limits.
var laneQueueFactor = [laneCount]float64{1, 1.5, 3, 6}

// hardLimitFactor is the multiple of the queue's bounds at which requests are
// refused even if their organisation is within its share.
const hardLimitFactor = 2

// enqueue adds a ticket to the sums of its lane and organisation.
func (s *Scheduler) enqueue(t *ticket) {
	l := &s.lanes[t.lane]
	if l.orgs == nil {
		l.orgs = map[string]*laneOrg{}
	}
	o := l.orgs[t.req.Organisation]
	if o == nil {
		o = &laneOrg{weight: t.req.Weight}
		l.orgs[t.req.Organisation] = o
		l.weight += o.weight
	}
	o.count++
	o.prefillSeconds += t.prefillSeconds
	l.count++
	l.prefillSeconds += t.prefillSeconds
	s.queuedTokens += t.memory
}

// dequeue subtracts a ticket from the sums of its lane and organisation.
func (s *Scheduler) dequeue(t *ticket) {
	l := &s.lanes[t.lane]
	o := l.orgs[t.req.Organisation]
	o.count--
	o.prefillSeconds -= t.prefillSeconds
	if o.count == 0 {
		delete(l.orgs, t.req.Organisation)
		l.weight -= o.weight
	}
	l.count--
	l.prefillSeconds -= t.prefillSeconds
	if l.count == 0 {
		l.prefillSeconds, l.weight = 0, 0
	}
	s.queuedTokens -= t.memory
	s.assert(l.count >= 0 && s.queuedTokens >= 0, "negative_queue")
}

// admit returns an error for a request that the cell cannot serve, that is
// predicted to miss its deadline, or that exceeds its organisation's share of a
// full queue.
func (s *Scheduler) admit(t *ticket, now time.Time) error {
	if err := s.checkServable(t); err != nil {
		return err
	}
	if !s.policy.admission {
		if s.lanes[t.lane].count >= hardLimitFactor*s.rules.MaxQueued*s.engineCount() {
			return fault.New(fault.Overloaded, "the queue of cell %s is full", s.opts.Cell)
		}
		return nil
	}
	if busy := s.index.root().busyUntil[t.class]; s.usable > 0 && s.pending == 0 && !math.IsInf(busy, 1) && !now.Before(s.rebuildUntil) {
		start := now.Add(toDuration(max(0, busy-s.sinceEpoch(now))))
		if start.After(t.latestStart()) {
			return fault.New(fault.DeadlineUnattainable, "the request needs about %s and has %s",
				(start.Sub(now) + t.serviceTime).Round(time.Millisecond), t.req.Remaining.Round(time.Millisecond))
		}
	}
	if s.overShare(t) {
		return fault.New(fault.Overloaded, "the queue of cell %s is full", s.opts.Cell)
	}
	return nil
}

// overShare reports whether the queue is full and the organisation would exceed
// its share of it, or whether the queue has reached the hard limit. An
// organisation without a waiting request is within its share.
func (s *Scheduler) overShare(t *ticket) bool {
	l := &s.lanes[t.lane]
	maxCount := float64(s.rules.MaxQueued * s.engineCount())
	maxSeconds := laneQueueFactor[t.lane] * s.rules.MaxQueueWait.Seconds() * float64(s.engineCount())
	fullness := max(float64(l.count+1)/maxCount, (l.prefillSeconds+t.prefillSeconds)/maxSeconds)
	o := l.orgs[t.req.Organisation]
	if fullness <= 1 || o == nil {
		return float64(l.count) >= hardLimitFactor*maxCount
	}
	share := o.weight / l.weight
	used := max(float64(o.count+1)/maxCount, (o.prefillSeconds+t.prefillSeconds)/maxSeconds)
	return fullness > hardLimitFactor || used > share
}

// engineCount is the number of engines that serve the queue or are expected to
// serve it after their first report. It is at least 1.
func (s *Scheduler) engineCount() int { return max(1, s.usable+s.pending) }

// modelMemory is the memory, in tokens, of the engines that serve a model.
type modelMemory struct {
	// engines is the number of usable engines, total their memory and largest
	// the memory of the largest one.
	engines, total, largest int
	// totalKnown also includes the memory of engines that are lost or leaving.
	totalKnown int
}

// resetModelMemory clears the cache of memoryFor.
func (s *Scheduler) resetModelMemory() { s.memoryByModel = map[string]modelMemory{} }

// memoryFor returns the memory of the engines that serve a model. Engines in
// avoid are included only in totalKnown.
func (s *Scheduler) memoryFor(model string, avoid []string) modelMemory {
	if m, ok := s.memoryByModel[model]; ok && len(avoid) == 0 {
		return m
	}
	var m modelMemory
	for _, e := range s.engines {
		if !e.serves(model) {
			continue
		}
		m.totalKnown += e.capacity
		if e.usable() && !slices.Contains(avoid, e.name) {
			m.engines++
			m.total += e.capacity
			m.largest = max(m.largest, e.capacity)
		}
	}
	if len(avoid) == 0 {
		s.memoryByModel[model] = m
	}
	return m
}

// maxOnOneEngine is the maximum memory that a request of the class may use on one
// engine.
func (s *Scheduler) maxOnOneEngine(model string, c class) int {
	return int((1 - excludedShortShare[c]*s.shortShare) * float64(s.memoryFor(model, nil).largest))
}

const (
	// mixGain is the weight of one request in the moving averages of the mix of
	// short and other requests.
	mixGain = 0.01
	// minShareChange is how much a new short share, the fraction of memory kept
	// for short requests, must differ from the current one to replace it.
	minShareChange = 0.01
)

const (
	// shareBoost is added to the short share when a short request finds no
	// memory, at most once per boostInterval.
	shareBoost    = 0.04
	boostInterval = 500 * time.Millisecond
	// boostDecay is the time constant with which the sum of the additions decays.
	boostDecay = 3 * time.Minute
)

// boostShare raises the short share temporarily. The observed mix of requests
// alone underestimates the memory that bursts of short requests need. At equal
// weights of the two latency objectives (see Weights), blockingWeight is 0.5 and
// shareBoost is added as it is.
func (s *Scheduler) boostShare(now time.Time) {
	if now.Sub(s.boostedAt) < boostInterval {
		return
	}
	s.boostedAt = now
	s.boost = min(s.boost+shareBoost*2*s.blockingWeight(), s.rules.MaxShortShare)
	s.applyShare()
}

// observeMix updates the moving averages of the memory that short requests and
// all requests ask for, from which the short share is derived.
func (s *Scheduler) observeMix(t *ticket) {
	short := 0.0
	if t.class == classShort {
		short = float64(t.memory)
	}
	s.mixShort += mixGain * (short - s.mixShort)
	s.mixAll += mixGain * (float64(t.memory) - s.mixAll)
	s.applyShare()
}

// applyShare derives the short share from the observed fraction of memory that
// short requests ask for, plus the boost. At equal weights of the two latency
// objectives (see Weights), blockingWeight is 0.5 and the fraction is used as it is.
// A higher weight of head-of-line blocking enlarges the share.
func (s *Scheduler) applyShare() {
	share := s.boost
	if s.mixAll > 0 {
		share += s.mixShort / s.mixAll * (0.5 + s.blockingWeight())
	}
	share = min(max(share, s.rules.MinShortShare), s.rules.MaxShortShare)
	if share-s.shortShare > minShareChange || s.shortShare-share > minShareChange {
		s.shortShare = share
		s.index.rebuild(s.engines, share)
	}
}
