package sched

import (
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/queue"
)

// verdict is the result of offering a ticket for placement.
type verdict = queue.Verdict

const (
	// taken says that the ticket left the queue.
	taken = queue.Taken
	// blocked says that this ticket cannot be placed now, but others may.
	blocked = queue.Skip
	// closed says that no ticket of the lane can be placed now.
	closed = queue.Stop
)

// order decides which waiting ticket is offered next.
type order interface {
	push(t *ticket)
	remove(t *ticket)
	// charge accounts work done for an organisation, negative for a refund.
	charge(org string, weight, work float64)
	// ahead is the work per weight that an organisation received beyond its
	// share while others wait.
	ahead(org string) float64
	// each offers tickets until no more can be placed.
	each(now time.Time, offer func(*ticket) verdict)
}

// placer chooses an engine for a ticket. It returns nil and the reason when
// there is none.
type placer interface {
	place(s *Scheduler, t *ticket, now time.Time) (*slot, verdict)
}

// policy joins an order with a placer. With admission, requests that cannot
// meet their deadline or exceed their organisation's share of a full queue
// are refused.
type policy struct {
	order     order
	placer    placer
	admission bool
}

func newPolicy(name PolicyName) policy {
	switch name {
	case PolicyBaseline:
		return policy{order: &fifo{}, placer: leastReported{}}
	case PolicyPartitioned:
		return policy{order: newFair(), placer: partitioned{}, admission: true}
	}
	return policy{order: newFair(), placer: earliest{}, admission: true}
}

// fifo offers tickets in order of arrival and stops at the first that does
// not fit.
type fifo struct{ tickets []*ticket }

func (q *fifo) push(t *ticket) { q.tickets = append(q.tickets, t) }

func (q *fifo) remove(t *ticket) {
	if i := slices.Index(q.tickets, t); i >= 0 {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
}

func (q *fifo) charge(string, float64, float64) {}

func (q *fifo) ahead(string) float64 { return 0 }

func (q *fifo) each(_ time.Time, offer func(*ticket) verdict) {
	for len(q.tickets) > 0 {
		if offer(q.tickets[0]) != taken {
			return
		}
	}
}

const (
	// returnCredit is the work per weight that an organisation may claim from
	// idle time: a few short requests.
	returnCredit = 16 << 10
	// laneLead bounds how far the work of an organisation in one lane counts
	// against it in the others: about one prompt of the greatest length.
	laneLead = 4_000_000
	// demoteLead is the lead from which an organisation's short requests lose
	// the memory kept for short requests, so that the others' longer ones
	// find room.
	demoteLead = laneLead / 2
	// laneLookahead bounds the organisations tried in one pass over a lane
	// when the first ones find no memory.
	laneLookahead = 4
)

// fair serves organisations by weighted fair queueing.
type fair struct{ q *queue.Fair[string, *ticket] }

func newFair() fair {
	return fair{queue.NewFair[string](queue.FairOptions[*ticket]{
		Lanes: laneCount, Credit: returnCredit, Lead: laneLead, Due: (*ticket).due,
		Before: func(a, b *ticket) bool {
			if a.rank != b.rank {
				return a.rank < b.rank
			}
			return a.req.ID < b.req.ID
		},
	})}
}

func (f fair) push(t *ticket) {
	t.item = f.q.Push(t.req.Organisation, t.req.Weight, t.lane, t)
}

func (f fair) remove(t *ticket) {
	if t.item != nil {
		f.q.Remove(t.item)
		t.item = nil
	}
}

func (f fair) charge(org string, weight, work float64) { f.q.Charge(org, weight, work) }

func (f fair) ahead(org string) float64 { return f.q.Ahead(org) }

func (f fair) each(now time.Time, offer func(*ticket) verdict) {
	for lane := range laneCount {
		f.q.Each(lane, laneLookahead, now, offer)
	}
}

// leastReported places on the engine whose last report shows the fewest
// streams, without correction for grants made since.
type leastReported struct{}

func (leastReported) place(s *Scheduler, t *ticket, now time.Time) (*slot, verdict) {
	var best *slot
	for _, e := range s.slots {
		if !s.fits(e, t, now) {
			continue
		}
		if best == nil || reportedLoad(e) < reportedLoad(best) {
			best = e
		}
	}
	return best, blocked
}

func reportedLoad(e *slot) int { return e.report.Running + e.report.Waiting }

// earliest places on the engine with the least predicted time to first token,
// where a cached prefix shortens the prefill. A request waits in the queue
// while every engine has more prefill ahead than the window of its class.
type earliest struct{}

func (earliest) place(s *Scheduler, t *ticket, now time.Time) (*slot, verdict) {
	return s.findEarliest(t, now, nil)
}

// partitioned is earliest with some engines kept for the short class and the
// others for the longer ones.
type partitioned struct{}

func (partitioned) place(s *Scheduler, t *ticket, now time.Time) (*slot, verdict) {
	shortEngines := (len(s.slots) + 1) / 2
	return s.findEarliest(t, now, func(e *slot) bool {
		return len(s.slots) == 1 || (t.class == classShort) == (e.position < shortEngines)
	})
}

func (s *Scheduler) findEarliest(t *ticket, now time.Time, allowed func(*slot) bool) (*slot, verdict) {
	at := s.since(now)
	window := s.window(t.class)
	root := s.index.root()
	score := func(e *slot) (float64, bool) {
		if allowed != nil && !allowed(e) || !s.fits(e, t, now) {
			return 0, false
		}
		return s.score(e, t, at, s.prefixes.cached(e, t.req.Prefixes, now)), true
	}
	q := &search{
		class: t.class, pool: t.pool, need: t.need, window: window, now: at, score: score,
		work: s.est.factor[t.class] * t.prefill, blocking: s.blockingDelay(),
		mirror: s.opts.Rand.Uint32()&1 == 1, bestTime: math.Inf(1),
	}
	s.tryCached(q, t, now)
	s.index.find(q)
	s.steps += q.steps
	switch {
	case q.best != nil:
		return q.best, taken
	case root.busy[t.class]-at > window && allowed == nil && len(s.slots) > 0 && !math.IsInf(root.busy[t.class], 1):
		return nil, closed
	}
	return nil, blocked
}

// tryCached tries the engines that cache a prefix of the prompt; the others
// have the whole prefill ahead. An engine may also be used when its wait
// exceeds the window by no more than the prefill it saves.
func (s *Scheduler) tryCached(q *search, t *ticket, now time.Time) {
	for _, hash := range t.req.Prefixes {
		for _, p := range s.prefixes.entries[hash] {
			q.steps++
			v, ok := q.score(p.slot)
			if !ok || v >= q.bestTime {
				continue
			}
			cached := s.prefixes.cached(p.slot, t.req.Prefixes, now)
			saved := s.est.seconds(t.class, t.prefill-prefillWork(cached, t.req.PromptTokens), p.slot.rate)
			if p.slot.wait(t.class, q.now) <= q.window+saved {
				q.best, q.bestTime = p.slot, v
			}
		}
	}
}

// prefillLeft is the least prefill work of the ticket on any engine.
func (s *Scheduler) prefillLeft(t *ticket, now time.Time) float64 {
	best := 0
	for _, p := range s.prefixes.candidates(t.req.Prefixes) {
		best = max(best, s.prefixes.cached(p.slot, t.req.Prefixes, now))
	}
	return prefillWork(best, t.req.PromptTokens)
}

// longPenalty in seconds is what a running long prefill costs a short
// request that shares the engine: about one prefill chunk.
const longPenalty = 0.03

// blockingDelay is longPenalty scaled by the weight of head-of-line blocking.
func (s *Scheduler) blockingDelay() float64 { return longPenalty * 2 * s.blockingWeight() }

// score is the predicted time to first token in seconds.
func (s *Scheduler) score(e *slot, t *ticket, at float64, cached int) float64 {
	v := e.wait(t.class, at) + e.penalty() + s.est.seconds(t.class, prefillWork(cached, t.req.PromptTokens), e.rate)
	if t.class == classShort && e.busy[classLong]-at > longPenalty {
		v += s.blockingDelay()
	}
	return v
}

// Windows in seconds: how much prefill of its class and above may be ahead of
// a request on its engine. A short window keeps the order in the scheduler's
// hands; one that is too short leaves engines idle between decisions.
var windows = [classCount]float64{0.15, 0.5, 1}

// window widens for long classes with the weight of the time to first token.
func (s *Scheduler) window(c class) float64 {
	if c == classShort {
		return windows[c]
	}
	return windows[c] * 2 * (1 - s.blockingWeight())
}

// blockingWeight is the weight of head-of-line blocking from 0 to 1.
func (s *Scheduler) blockingWeight() float64 {
	sum := s.weights.TimeToFirstToken + s.weights.HeadOfLineBlocking
	if sum <= 0 {
		return 0.5
	}
	return s.weights.HeadOfLineBlocking / sum
}
