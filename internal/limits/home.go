package limits

import "time"

// home is what the home node of an organisation keeps. The Limiter's lock
// guards it.
type home struct {
	requests *bucket
	tokens   *bucket
	holds    map[string]hold
	// askers are the nodes that asked within the last two leases.
	askers map[string]time.Time
}

// hold is what a node has of an organisation's concurrency.
type hold struct {
	running      int
	runningUntil time.Time
	slots        int
	slotsUntil   time.Time
}

func (h hold) count(now time.Time) int {
	n := 0
	if now.Before(h.runningUntil) {
		n += h.running
	}
	if now.Before(h.slotsUntil) {
		n += h.slots
	}
	return n
}

// lease answers a node's request for an allowance.
func (h *home) lease(from string, p LeaseParams, now time.Time, slotTime time.Duration) LeaseResult {
	h.requests = refilled(h.requests, p.Limits.RequestsPerSecond, now)
	h.tokens = refilled(h.tokens, p.Limits.TokensPerSecond, now)
	giveBack(h.requests, p.Unused.Requests)
	giveBack(h.tokens, p.Unused.Tokens)

	var wait time.Duration
	if h.requests != nil && p.Need.Requests > 0 {
		wait = max(wait, h.requests.wait(p.Need.Requests))
	}
	if h.tokens != nil && p.Need.Tokens > 0 {
		// A prompt may be larger than the bucket: it passes when no debt is
		// left, and those after it wait.
		wait = max(wait, h.tokens.wait(min(1, h.tokens.burst)))
	}
	result := LeaseResult{Slots: h.slots(from, p, now, slotTime)}
	full := p.Limits.Concurrent > 0 && p.Slots > 0 && result.Slots == 0
	if wait > 0 || full {
		result.RetryAfterMS = max(wait, h.leastRetry(from, now)).Milliseconds()
	}
	// A node without a free slot can still use an allowance when one of its
	// own requests ends.
	if wait == 0 && (!full || p.Running > 0) {
		result.Allowance = Amount{
			Requests: take(h.requests, p.Need.Requests, p.Want.Requests),
			Tokens:   take(h.tokens, p.Need.Tokens, p.Want.Tokens),
		}
	}
	return result
}

// leastRetry returns the shortest time after which a refused node may ask
// again. It grows with the nodes that ask, so that they do not send more than
// askRate messages per second together.
func (h *home) leastRetry(from string, now time.Time) time.Duration {
	h.askers[from] = now
	for node, at := range h.askers {
		if now.Sub(at) > 2*leaseTime {
			delete(h.askers, node)
		}
	}
	return max(minRetry, time.Duration(len(h.askers))*time.Second/askRate)
}

const (
	minRetry = 100 * time.Millisecond
	// askRate bounds the refused lease calls of an organisation per second.
	askRate = 200
)

// slots updates the node's hold and returns how many requests it may start.
func (h *home) slots(from string, p LeaseParams, now time.Time, slotTime time.Duration) int {
	if p.Limits.Concurrent <= 0 {
		return 0
	}
	others := 0
	for node, held := range h.holds {
		if node != from {
			others += held.count(now)
		}
	}
	free := max(0, p.Limits.Concurrent-others-p.Running)
	granted := min(p.Slots, free)
	if p.Running == 0 && granted == 0 {
		delete(h.holds, from)
		return 0
	}
	h.holds[from] = hold{
		running: p.Running, runningUntil: now.Add(slotTime),
		// A request that starts at the end of the second is reported as running
		// by the next renewal, which may take the call timeout.
		slots: granted, slotsUntil: now.Add(3 * leaseTime),
	}
	return granted
}

// idle reports whether a new home would be in the same state.
func (h *home) idle(now time.Time) bool {
	for _, b := range []*bucket{h.requests, h.tokens} {
		if b == nil {
			continue
		}
		if b.refill(b.rate, b.burst, now); b.level < b.burst {
			return false
		}
	}
	for _, held := range h.holds {
		if held.count(now) > 0 {
			return false
		}
	}
	return true
}

// refilled returns the bucket of a limit, a new one if there was none, or nil
// without a limit. It holds one second of the limit, and at least one request
// or token.
func refilled(b *bucket, rate float64, now time.Time) *bucket {
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

func giveBack(b *bucket, unused float64) {
	if b != nil && unused > 0 {
		b.level = min(b.burst, b.level+unused)
	}
}

// take grants what is wanted as far as it is there, but at least the need.
func take(b *bucket, need, want float64) float64 {
	if b == nil || need <= 0 {
		return 0
	}
	granted := max(need, min(want, b.level))
	b.level -= granted
	return granted
}
