package sched

import (
	"math"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/queue"
)

// offerResult is the result of offering a ticket for placement.
type offerResult = queue.OfferResult

const (
	// removed means that the ticket has left the queue.
	removed = queue.Removed
	// skipTicket means that this ticket cannot be placed now, but those of other
	// organisations in the lane may be.
	skipTicket = queue.Skip
	// stopLane means that no ticket of the lane can be placed now.
	stopLane = queue.Stop
)

// order decides which waiting ticket is offered next.
type order interface {
	push(t *ticket)
	remove(t *ticket)
	// charge adds work to the account of an organisation. Negative work is a
	// refund.
	charge(org string, weight, work float64)
	// lead is the work per weight that an organisation received beyond its
	// share while others wait.
	lead(org string) float64
	// each offers tickets until no more can be placed.
	each(now time.Time, offer func(*ticket) offerResult)
}

// placer chooses an engine for a ticket. When there is none it returns nil and
// either skipTicket or stopLane.
type placer interface {
	place(s *Scheduler, t *ticket, now time.Time) (*engineState, offerResult)
}

// policy combines an order with a placer. With admission, requests are refused
// that cannot meet their deadline or that exceed their organisation's share of a
// full queue.
type policy struct {
	order     order
	placer    placer
	admission bool
}

func newPolicy(name PolicyName) policy {
	switch name {
	case PolicyBaseline:
		return policy{order: &fifo{}, placer: leastLoaded{}}
	case PolicyPartitioned:
		return policy{order: newFair(), placer: partitioned{}, admission: true}
	}
	return policy{order: newFair(), placer: earliestFirstToken{}, admission: true}
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

func (q *fifo) lead(string) float64 { return 0 }

func (q *fifo) each(_ time.Time, offer func(*ticket) offerResult) {
	for len(q.tickets) > 0 {
		if offer(q.tickets[0]) != removed {
			return
		}
	}
}

const (
	// idleCredit is the work per weight that an organisation may make up for
	// after an idle time: that of a few short requests.
	idleCredit = 16 << 10
	// maxLead bounds how much of the work that an organisation received in one
	// lane counts against it in the other lanes, in work per weight: about one
	// prompt of the greatest length.
	maxLead = 4_000_000
	// demoteLead is the lead above which an organisation's short requests may
	// no longer use the memory kept for short requests. They then leave memory
	// for the longer requests of other organisations.
	demoteLead = maxLead / 2
	// laneLookahead bounds how many organisations are tried in one pass over a
	// lane when the requests of the first ones cannot be placed.
	laneLookahead = 4
)

// fair serves organisations by weighted fair queueing.
type fair struct{ q *queue.Fair[string, *ticket] }

func newFair() fair {
	return fair{queue.NewFair[string](queue.FairOptions[*ticket]{
		Lanes: laneCount, MaxCredit: idleCredit, MaxLead: maxLead, Due: (*ticket).due,
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

func (f fair) lead(org string) float64 { return f.q.Lead(org) }

func (f fair) each(now time.Time, offer func(*ticket) offerResult) {
	for lane := range laneCount {
		f.q.Each(lane, laneLookahead, now, offer)
	}
}

// leastLoaded places on the engine whose last report shows the fewest streams.
// Grants issued since that report are not counted.
type leastLoaded struct{}

func (leastLoaded) place(s *Scheduler, t *ticket, now time.Time) (*engineState, offerResult) {
	var best *engineState
	for _, e := range s.engines {
		if !s.fits(e, t, now) {
			continue
		}
		if best == nil || reportedLoad(e) < reportedLoad(best) {
			best = e
		}
	}
	return best, skipTicket
}

func reportedLoad(e *engineState) int { return e.report.Running + e.report.Waiting }

// earliestFirstToken places on the engine with the least predicted time to first
// token; a cached prefix shortens the prefill. A request waits in the queue while
// the prefill already assigned to every engine exceeds the window of its class.
type earliestFirstToken struct{}

func (earliestFirstToken) place(s *Scheduler, t *ticket, now time.Time) (*engineState, offerResult) {
	return s.findEarliest(t, now, nil)
}

// partitioned places like earliestFirstToken, but half of the engines serve only
// the short class and the others only the longer classes.
type partitioned struct{}

func (partitioned) place(s *Scheduler, t *ticket, now time.Time) (*engineState, offerResult) {
	shortEngines := (len(s.engines) + 1) / 2
	return s.findEarliest(t, now, func(e *engineState) bool {
		return len(s.engines) == 1 || (t.class == classShort) == (e.position < shortEngines)
	})
}

// findEarliest searches the allowed engines, or all of them if allowed is nil,
// for the one with the least predicted time to first token.
func (s *Scheduler) findEarliest(t *ticket, now time.Time, allowed func(*engineState) bool) (*engineState, offerResult) {
	at := s.sinceEpoch(now)
	window := s.window(t.class)
	root := s.index.root()
	score := func(e *engineState) (float64, bool) {
		if allowed != nil && !allowed(e) || !s.fits(e, t, now) {
			return 0, false
		}
		return s.score(e, t, at, s.prefixes.cachedTokens(e, t.req.Prefixes, now)), true
	}
	q := &search{
		class: t.class, memoryClass: t.memoryClass, memory: t.memory, window: window, now: at, score: score,
		prefillWork: s.est.prefillFactor[t.class] * t.prefillWork, blockingDelay: s.blockingDelay(),
		mirror: s.opts.Rand.Uint32()&1 == 1, bestTime: math.Inf(1),
	}
	s.tryCached(q, t, now)
	s.index.find(q)
	s.searchSteps += q.steps
	switch {
	case q.best != nil:
		return q.best, removed
	case root.busyUntil[t.class]-at > window && allowed == nil && len(s.engines) > 0 && !math.IsInf(root.busyUntil[t.class], 1):
		return nil, stopLane
	}
	return nil, skipTicket
}

// tryCached scores the engines that cache a prefix of the prompt, before the
// index is searched: its bounds assume that the whole prompt has to be
// prefilled. The wait of such an engine may exceed the window by the prefill
// time that the cached prefix saves.
func (s *Scheduler) tryCached(q *search, t *ticket, now time.Time) {
	for _, hash := range t.req.Prefixes {
		for _, p := range s.prefixes.entries[hash] {
			q.steps++
			firstToken, ok := q.score(p.engine)
			if !ok || firstToken >= q.bestTime {
				continue
			}
			cached := s.prefixes.cachedTokens(p.engine, t.req.Prefixes, now)
			saved := s.est.prefillSeconds(t.class, t.prefillWork-prefillWork(cached, t.req.PromptTokens), p.engine.prefillRate)
			if p.engine.wait(t.class, q.now) <= q.window+saved {
				q.best, q.bestTime = p.engine, firstToken
			}
		}
	}
}

// minPrefillWork is the prefill work of the ticket on the engine that caches
// most of its prompt.
func (s *Scheduler) minPrefillWork(t *ticket, now time.Time) float64 {
	cached := 0
	for _, p := range s.prefixes.longestMatch(t.req.Prefixes) {
		cached = max(cached, s.prefixes.cachedTokens(p.engine, t.req.Prefixes, now))
	}
	return prefillWork(cached, t.req.PromptTokens)
}

// longPrefillPenalty is the delay, in seconds, that a long prefill in progress
// causes a short request on the same engine: about one prefill chunk.
const longPrefillPenalty = 0.03

// blockingDelay is longPrefillPenalty scaled by the weight of head-of-line
// blocking.
func (s *Scheduler) blockingDelay() float64 { return longPrefillPenalty * 2 * s.blockingWeight() }

// score returns the predicted time to first token in seconds when cached tokens
// of the prompt need no prefill.
func (s *Scheduler) score(e *engineState, t *ticket, at float64, cached int) float64 {
	firstToken := e.wait(t.class, at) + e.penalty() + s.est.prefillSeconds(t.class, prefillWork(cached, t.req.PromptTokens), e.prefillRate)
	if t.class == classShort && e.busyUntil[classLong]-at > longPrefillPenalty {
		firstToken += s.blockingDelay()
	}
	return firstToken
}

// windows bound, for each class, the seconds of prefill of the same and shorter
// classes that may be ahead of a request on its engine. With a short window most
// requests wait in the scheduler's queue, which orders them; a window that is
// too short leaves engines idle between decisions.
var windows = [classCount]float64{0.15, 0.5, 1}

// window returns the window of a class. Those of the medium and long classes
// grow with the weight of the time to first token.
func (s *Scheduler) window(c class) float64 {
	if c == classShort {
		return windows[c]
	}
	return windows[c] * 2 * (1 - s.blockingWeight())
}

// blockingWeight is the weight of head-of-line blocking relative to the sum of
// both weights, from 0 to 1.
func (s *Scheduler) blockingWeight() float64 {
	sum := s.weights.TimeToFirstToken + s.weights.HeadOfLineBlocking
	if sum <= 0 {
		return 0.5
	}
	return s.weights.HeadOfLineBlocking / sum
}
