package sched

import (
	"math"
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
	room, loaded := s.modelRoom(t.req.Model)
	switch {
	case len(s.slots) == 0:
		return fault.New(fault.Unreachable, "cell %s has no engine", s.opts.Cell)
	case s.reports > 0 && !loaded:
		return fault.New(fault.Unreachable, "no engine of cell %s has model %s loaded", s.opts.Cell, t.req.Model)
	case s.reports > 0 && t.need > room:
		return fault.New(fault.TooLong, "the request needs %d tokens of memory and the cell has %d", t.need, room)
	}
	if !s.policy.admission {
		if s.lanes[t.lane].count >= hardLimit*s.rules.MaxQueued*len(s.slots) {
			return fault.New(fault.Overloaded, "the queue of cell %s is full", s.opts.Cell)
		}
		return nil
	}
	if busy := s.index.root().busy[t.class]; s.reports == len(s.slots) && !math.IsInf(busy, 1) && !now.Before(s.rebuilt) {
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
	maxCount := float64(s.rules.MaxQueued * len(s.slots))
	maxSeconds := laneQueueFactor[t.lane] * s.rules.MaxQueueWait.Seconds() * float64(len(s.slots))
	fullness := max(float64(l.count+1)/maxCount, (l.seconds+t.seconds)/maxSeconds)
	o := l.orgs[t.req.Organisation]
	if fullness <= 1 || o == nil {
		return float64(l.count) >= hardLimit*maxCount
	}
	share := o.weight / l.weight
	used := max(float64(o.count+1)/maxCount, (o.seconds+t.seconds)/maxSeconds)
	return fullness > hardLimit || used > share
}

// capacities caches the memory of the engines by model.
type capacities struct {
	total map[string]int
	top   map[string]int
}

func (s *Scheduler) forgetCapacities() { s.capacity = capacities{map[string]int{}, map[string]int{}} }

// modelRoom is the memory of all engines that have the model loaded.
func (s *Scheduler) modelRoom(model string) (tokens int, loaded bool) {
	if n, ok := s.capacity.total[model]; ok {
		return n, n > 0
	}
	total, top := 0, 0
	for _, e := range s.slots {
		if e.reported && e.serves(model) {
			total += e.capacity
			top = max(top, e.capacity)
		}
	}
	s.capacity.total[model], s.capacity.top[model] = total, top
	return total, total > 0
}

// singleRoom is the most memory that one engine may give to the class.
func (s *Scheduler) singleRoom(model string, c class) int {
	s.modelRoom(model)
	top := s.capacity.top[model]
	return int((1 - keepsOut[c]*s.shortShare) * float64(top))
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
