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
	// taken means that the ticket has left the queue, or, as the result of
	// findEarliest, that an engine was found for it.
	taken = queue.Removed
	// skipTicket means that this ticket cannot be placed now. Tickets of other
	// organisations in the lane may still be offered.
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
	// lead is the work per weight that an organisation received beyond its fair
	// share while others waited. It is negative if it received less.
	lead(org string) float64
	// each offers tickets until no more can be placed.
	each(now time.Time, offer func(*ticket) offerResult)
}

// placer chooses an engine for a ticket. If there is none, it returns nil and
// either skipTicket or stopLane. With an engine, the second result has no meaning.
type placer interface {
	place(s *Scheduler, t *ticket, now time.Time) (*engineState, offerResult)
}

// policy combines an order with a placer. With admission, a request is refused if
// it cannot meet its deadline or exceeds its organisation's share of a full queue.
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
		if offer(q.tickets[0]) != taken {
			return
		}
	}
}

const (
	// idleCredit is the maximum work per weight that an organisation may receive
	// beyond its share after an idle time: about a few short requests.
	idleCredit = 16 << 10
	// maxLead bounds the lead that an organisation carries from one lane to the
	// others, in work per weight: about one prompt of the maximum length.
	maxLead = 4_000_000
	// demoteLead is the lead above which an organisation's short requests book
	// memory like long ones. They can then neither use the memory kept for short
	// requests nor raise the short share by finding no memory. This leaves memory
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
// no engine's predicted wait is within the window of the request's class, which
// the variable windows defines.
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
		return q.best, taken
	case root.busyUntil[t.class]-at > window && allowed == nil && len(s.engines) > 0 && !math.IsInf(root.busyUntil[t.class], 1):
		return nil, stopLane
	}
	return nil, skipTicket
}

// tryCached scores the engines that cache a prefix of the prompt. It must run
// before the search of the index, whose bounds assume that the whole prompt has
// to be prefilled. The wait of an engine with a cached prefix may exceed the
// window by the prefill time that the prefix saves.
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

// longPrefillDelay is the delay, in seconds, that a long prefill in progress
// causes to a short request on the same engine: about one prefill chunk.
const longPrefillDelay = 0.03

// blockingDelay is longPrefillDelay scaled by the weight of head-of-line
// blocking. At equal weights, blockingWeight is 0.5 and the delay is unchanged.
func (s *Scheduler) blockingDelay() float64 { return longPrefillDelay * 2 * s.blockingWeight() }

// score returns the predicted time to first token in seconds when cached tokens
// of the prompt need no prefill.
func (s *Scheduler) score(e *engineState, t *ticket, at float64, cached int) float64 {
	firstToken := e.wait(t.class, at) + e.penalty() + s.est.prefillSeconds(t.class, prefillWork(cached, t.req.PromptTokens), e.prefillRate)
	if t.class == classShort && e.busyUntil[classLong]-at > longPrefillDelay {
		firstToken += s.blockingDelay()
	}
	return firstToken
}

// windows holds the maximum wait, in seconds, at which a request of each class is
// placed on an engine. The wait is the time that the engine needs for the prefills
// of the same and shorter classes assigned to it. With a short window, most
// requests wait in the scheduler's queue, which orders them. A window that is too
// short leaves engines idle between decisions.
var windows = [classCount]float64{0.15, 0.5, 1}

// window returns the window of a class. The windows of the medium and long
// classes grow with the weight of the time to first token. At equal weights,
// blockingWeight is 0.5 and the windows are unchanged.
func (s *Scheduler) window(c class) float64 {
	if c == classShort {
		return windows[c]
	}
	return windows[c] * 2 * (1 - s.blockingWeight())
}

// blockingWeight is the weight of head-of-line blocking divided by the sum of the
// weights of time to first token and head-of-line blocking. It is from 0 to 1.
func (s *Scheduler) blockingWeight() float64 {
	sum := s.weights.TimeToFirstToken + s.weights.HeadOfLineBlocking
	if sum <= 0 {
		return 0.5
	}
	return s.weights.HeadOfLineBlocking / sum
}
