package sched

import (
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// lane accounts for the tickets that wait in one lane.
type lane struct {
	count   int
	seconds float64
	weight  float64
	orgs    map[string]*laneOrg
}

type laneOrg struct {
	count   int
	seconds float64
	weight  float64
}

// laneQueueFactor scales MaxQueueWait for each lane: longer requests have
// longer time limits.
var laneQueueFactor = [laneCount]float64{1, 1.5, 3, 6}

// hardLimit is the multiple of the queue's bounds at which requests are
// refused even to organisations within their share.
const hardLimit = 2

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
	o.seconds += t.seconds
	l.count++
	l.seconds += t.seconds
	s.queuedTokens += t.need
}

func (s *Scheduler) dequeue(t *ticket) {
	l := &s.lanes[t.lane]
	o := l.orgs[t.req.Organisation]
	o.count--
	o.seconds -= t.seconds
	if o.count == 0 {
		delete(l.orgs, t.req.Organisation)
		l.weight -= o.weight
	}
	l.count--
	l.seconds -= t.seconds
	if l.count == 0 {
		l.seconds, l.weight = 0, 0
	}
	s.queuedTokens -= t.need
	s.assert(l.count >= 0 && s.queuedTokens >= 0, "negative_queue")
}

// admit refuses at once what the cell cannot hold or finish in time, and what
// exceeds the organisation's share of a full queue.
func (s *Scheduler) admit(t *ticket, now time.Time) error {
	if err := s.unserved(t); err != nil {
		return err
	}
	if !s.policy.admission {
		if s.lanes[t.lane].count >= hardLimit*s.rules.MaxQueued*s.engines() {
			return fault.New(fault.Overloaded, "the queue of cell %s is full", s.opts.Cell)
		}
		return nil
	}
	if busy := s.index.root().busy[t.class]; s.usable > 0 && s.pending == 0 && !math.IsInf(busy, 1) && !now.Before(s.rebuilt) {
		start := now.Add(toDuration(max(0, busy-s.since(now))))
		if start.After(t.latestStart()) {
			return fault.New(fault.Unattainable, "the request needs about %s and has %s",
				(start.Sub(now) + t.service).Round(time.Millisecond), t.req.Remaining.Round(time.Millisecond))
		}
	}
	if s.overShare(t) {
		return fault.New(fault.Overloaded, "the queue of cell %s is full", s.opts.Cell)
	}
	return nil
}

// overShare reports whether the queue is full and the organisation has its
// share of it. An organisation without a waiting request is within its share.
func (s *Scheduler) overShare(t *ticket) bool {
	l := &s.lanes[t.lane]
	maxCount := float64(s.rules.MaxQueued * s.engines())
	maxSeconds := laneQueueFactor[t.lane] * s.rules.MaxQueueWait.Seconds() * float64(s.engines())
	fullness := max(float64(l.count+1)/maxCount, (l.seconds+t.seconds)/maxSeconds)
	o := l.orgs[t.req.Organisation]
	if fullness <= 1 || o == nil {
		return float64(l.count) >= hardLimit*maxCount
	}
	share := o.weight / l.weight
	used := max(float64(o.count+1)/maxCount, (o.seconds+t.seconds)/maxSeconds)
	return fullness > hardLimit || used > share
}

// engines is the number of engines that serve the queue or soon will.
func (s *Scheduler) engines() int { return max(1, s.usable+s.pending) }

// modelRoom is the memory, in tokens, of the engines that serve a model.
type modelRoom struct {
	// engines counts the usable ones, total is their memory and top the
	// greatest of them.
	engines, total, top int
	// known also counts engines that are lost or leaving.
	known int
}

func (s *Scheduler) forgetCapacities() { s.capacity = map[string]modelRoom{} }

// room returns the memory for a model. Engines to avoid count only as known.
func (s *Scheduler) room(model string, avoid []string) modelRoom {
	if r, ok := s.capacity[model]; ok && len(avoid) == 0 {
		return r
	}
	var r modelRoom
	for _, e := range s.slots {
		if !e.serves(model) {
			continue
		}
		r.known += e.capacity
		if e.usable() && !slices.Contains(avoid, e.name) {
			r.engines++
			r.total += e.capacity
			r.top = max(r.top, e.capacity)
		}
	}
	if len(avoid) == 0 {
		s.capacity[model] = r
	}
	return r
}

// singleRoom is the most memory that one engine may give to the class.
func (s *Scheduler) singleRoom(model string, c class) int {
	return int((1 - keepsOut[c]*s.shortShare) * float64(s.room(model, nil).top))
}

const (
	// mixGain is the weight of one request in the observed mix.
	mixGain = 0.01
	// shareStep is the least change of the short share that is applied.
	shareStep = 0.01
)

const (
	// shareBoost is added to the short share when a short request finds no
	// memory, at most once in boostInterval.
	shareBoost    = 0.04
	boostInterval = 500 * time.Millisecond
	// boostDecay is the time constant with which the addition ends.
	boostDecay = 3 * time.Minute
)

// boostShare enlarges the short share for a time. The mix of requests alone
// underestimates what short requests need in bursts.
func (s *Scheduler) boostShare(now time.Time) {
	if now.Sub(s.boosted) < boostInterval {
		return
	}
	s.boosted = now
	s.boost = min(s.boost+shareBoost*2*s.blockingWeight(), s.rules.MaxShortShare)
	s.applyShare()
}

// observeMix follows the fraction of memory that short requests ask for and
// derives the share kept for them. A higher weight of head-of-line blocking
// keeps more.
func (s *Scheduler) observeMix(t *ticket) {
	short := 0.0
	if t.class == classShort {
		short = float64(t.need)
	}
	s.mixShort += mixGain * (short - s.mixShort)
	s.mixAll += mixGain * (float64(t.need) - s.mixAll)
	s.applyShare()
}

func (s *Scheduler) applyShare() {
	share := s.boost
	if s.mixAll > 0 {
		share += s.mixShort / s.mixAll * (0.5 + s.blockingWeight())
	}
	share = min(max(share, s.rules.MinShortShare), s.rules.MaxShortShare)
	if share-s.shortShare > shareStep || s.shortShare-share > shareStep {
		s.shortShare = share
		s.index.rebuild(s.slots, share)
	}
}
