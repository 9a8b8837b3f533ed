package limits

import "time"

// home is the state that the home node keeps for an organisation. Limiter.homesMu
// guards it.
type home struct {
	requests    *bucket
	tokens      *bucket
	slotsByNode map[string]nodeSlots
	// refusedNodes holds the nodes refused within the last two lease times, with
	// the time of the last refusal.
	refusedNodes map[string]time.Time
}

// nodeSlots is the part of an organisation's concurrency that a node occupies: its
// running requests, and the slots for requests that it may still start.
type nodeSlots struct {
	running      int
	runningUntil time.Time
	slots        int
	slotsUntil   time.Time
}

// count returns the occupied concurrency, without expired parts.
func (s nodeSlots) count(now time.Time) int {
	n := 0
	if now.Before(s.runningUntil) {
		n += s.running
	}
	if now.Before(s.slotsUntil) {
		n += s.slots
	}
	return n
}

// lease answers a lease call of a node.
func (h *home) lease(node string, params LeaseParams, now time.Time, slotTTL time.Duration) LeaseResult {
	h.requests = refillLimit(h.requests, params.Limits.RequestsPerSecond, now)
	h.tokens = refillLimit(h.tokens, params.Limits.TokensPerSecond, now)
	returnUnused(h.requests, params.Unused.Requests)
	returnUnused(h.tokens, params.Unused.Tokens)

	var wait time.Duration
	if h.requests != nil && params.Need.Requests > 0 {
		wait = max(wait, h.requests.wait(params.Need.Requests))
	}
	if h.tokens != nil && params.Need.Tokens > 0 {
		// A prompt may be larger than the bucket. It is admitted as soon as the
		// level reaches one token. It leaves a negative level, so that later
		// requests wait.
		wait = max(wait, h.tokens.wait(min(1, h.tokens.burst)))
	}
	result := LeaseResult{Slots: h.allocateSlots(node, params, now, slotTTL)}
	noFreeSlot := params.Limits.Concurrent > 0 && params.Slots > 0 && result.Slots == 0
	if wait > 0 || noFreeSlot {
		result.RetryAfterMS = max(wait, h.minRetryAfter(node, now)).Milliseconds()
	}
	// A node without a free slot can still use an allowance once one of its own
	// requests ends.
	if wait == 0 && (!noFreeSlot || params.Running > 0) {
		result.Allowance = Amount{
			Requests: grant(h.requests, params.Need.Requests, params.Want.Requests),
			Tokens:   grant(h.tokens, params.Need.Tokens, params.Want.Tokens),
		}
	}
	return result
}

// minRetryAfter returns the minimum time after which a refused node may ask again.
// It grows with the number of refused nodes, so that together they send at most
// maxRefusedRate calls per second.
func (h *home) minRetryAfter(node string, now time.Time) time.Duration {
	h.refusedNodes[node] = now
	for refused, at := range h.refusedNodes {
		if now.Sub(at) > 2*leaseTime {
			delete(h.refusedNodes, refused)
		}
	}
	return max(minRetryPause, time.Duration(len(h.refusedNodes))*time.Second/maxRefusedRate)
}

const (
	minRetryPause = 100 * time.Millisecond
	// maxRefusedRate limits the refused lease calls per second of an organisation.
	maxRefusedRate = 200
)

// allocateSlots updates the slots of a node and returns how many further requests
// it may start.
func (h *home) allocateSlots(node string, params LeaseParams, now time.Time, slotTTL time.Duration) int {
	if params.Limits.Concurrent <= 0 {
		return 0
	}
	usedByOthers := 0
	for other, occupied := range h.slotsByNode {
		if other != node {
			usedByOthers += occupied.count(now)
		}
	}
	free := max(0, params.Limits.Concurrent-usedByOthers-params.Running)
	granted := min(params.Slots, free)
	if params.Running == 0 && granted == 0 {
		delete(h.slotsByNode, node)
		return 0
	}
	h.slotsByNode[node] = nodeSlots{
		running: params.Running, runningUntil: now.Add(slotTTL),
		// A request may start at the end of the allowance's second. Only the next
		// renewal reports it as running, and that call may take up to CallTimeout.
		slots: granted, slotsUntil: now.Add(3 * leaseTime),
	}
	return granted
}

// idle reports whether the state is equivalent to that of a new home.
func (h *home) idle(now time.Time) bool {
	for _, b := range []*bucket{h.requests, h.tokens} {
		if b == nil {
			continue
		}
		if b.refill(b.rate, b.burst, now); b.level < b.burst {
			return false
		}
	}
	for _, occupied := range h.slotsByNode {
		if occupied.count(now) > 0 {
			return false
		}
	}
	return true
}

// refillLimit refills the bucket of a limit. It returns a new, full bucket if there
// was none, and nil without a limit. A bucket holds at most one second of the
// limit, but always at least one request or token.
func refillLimit(b *bucket, rate float64, now time.Time) *bucket {
	if rate <= 0 {
		return nil
	}
	burst := max(1, rate*leaseTime.Seconds())
	if b == nil {
		return newBucket(rate, burst, burst, now)
	}
	b.refill(rate, burst, now)
	return b
}

// returnUnused puts the unused part of an allowance back.
func returnUnused(b *bucket, unused float64) {
	if b != nil && unused > 0 {
		b.level = min(b.burst, b.level+unused)
	}
}

// grant takes what is wanted from the bucket as far as available, but at least the
// need, which may leave a negative level.
func grant(b *bucket, need, wanted float64) float64 {
	if b == nil || need <= 0 {
		return 0
	}
	granted := max(need, min(wanted, b.level))
	b.level -= granted
	return granted
}
