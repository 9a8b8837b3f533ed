package limits

import "time"

// home is the state that an organisation's home node keeps. The home node is the one
// node that leases parts of the organisation's limits to all nodes. Limiter.homesMu
// guards the state.
type home struct {
	requests          *bucket
	tokens            *bucket
	concurrencyByNode map[string]nodeConcurrency
	// refusedNodes holds the nodes refused within the last two lease times, with
	// the time of the last refusal.
	refusedNodes map[string]time.Time
}

// nodeConcurrency is the part of an organisation's concurrency that a node occupies:
// its running requests, and the slots for requests that it may still start. Both
// expire at their own times unless the node reports again.
type nodeConcurrency struct {
	running      int
	runningUntil time.Time
	slots        int
	slotsUntil   time.Time
}

// count returns the occupied concurrency, without expired parts.
func (c nodeConcurrency) count(now time.Time) int {
	n := 0
	if now.Before(c.runningUntil) {
		n += c.running
	}
	if now.Before(c.slotsUntil) {
		n += c.slots
	}
	return n
}

// lease grants an allowance and slots to a node that asks for them, or refuses them
// with the time after which the node may ask again. It also records the node's
// running requests, which expire after runningTTL.
func (h *home) lease(node string, params LeaseParams, now time.Time, runningTTL time.Duration) LeaseResult {
	h.requests = updateBucket(h.requests, params.Limits.RequestsPerSecond, now)
	h.tokens = updateBucket(h.tokens, params.Limits.TokensPerSecond, now)
	returnUnused(h.requests, params.Unused.Requests)
	returnUnused(h.tokens, params.Unused.Tokens)

	var wait time.Duration
	if h.requests != nil && params.Need.Requests > 0 {
		wait = max(wait, h.requests.wait(params.Need.Requests))
	}
	if h.tokens != nil && params.Need.Tokens > 0 {
		// A prompt may be larger than the bucket. It is admitted as soon as the
		// level reaches one token, which the burst always allows. The prompt leaves
		// a negative level, so that later requests wait.
		wait = max(wait, h.tokens.wait(min(1, h.tokens.burst)))
	}
	result := LeaseResult{Slots: h.allocateSlots(node, params, now, runningTTL)}
	noFreeSlot := params.Limits.Concurrent > 0 && params.Slots > 0 && result.Slots == 0
	if wait > 0 || noFreeSlot {
		result.RetryAfterMS = max(wait, h.recordRefusal(node, now)).Milliseconds()
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

// recordRefusal records that a node is refused now. It returns the minimum time after
// which the node may ask again. This time grows with the number of refused nodes, so
// that together they send at most maxRefusedRate calls per second.
func (h *home) recordRefusal(node string, now time.Time) time.Duration {
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

// allocateSlots updates the concurrency that a node occupies and returns how many
// further requests the node may start.
func (h *home) allocateSlots(node string, params LeaseParams, now time.Time, runningTTL time.Duration) int {
	if params.Limits.Concurrent <= 0 {
		return 0
	}
	usedByOthers := 0
	for other, occupied := range h.concurrencyByNode {
		if other != node {
			usedByOthers += occupied.count(now)
		}
	}
	free := max(0, params.Limits.Concurrent-usedByOthers-params.Running)
	granted := min(params.Slots, free)
	if params.Running == 0 && granted == 0 {
		delete(h.concurrencyByNode, node)
		return 0
	}
	h.concurrencyByNode[node] = nodeConcurrency{
		running: params.Running, runningUntil: now.Add(runningTTL),
		// A request may start just before the allowance expires, one leaseTime from
		// now. Only the next renewal, up to a second leaseTime later, reports it as
		// running. That call may take up to CallTimeout.
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
	for _, occupied := range h.concurrencyByNode {
		if occupied.count(now) > 0 {
			return false
		}
	}
	return true
}

// updateBucket refills the bucket of a limit, creates a full one if the limit is new,
// and returns nil if there is no limit (rate zero). The capacity of a bucket is one
// second of the limit, but not less than one request or token.
func updateBucket(b *bucket, rate float64, now time.Time) *bucket {
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

// returnUnused puts the unused part of an allowance back into its bucket.
func returnUnused(b *bucket, unused float64) {
	if b != nil && unused > 0 {
		b.level = min(b.burst, b.level+unused)
	}
}

// grant takes the wanted amount from the bucket, or what is left of it if that is
// less. It takes at least need, even if the level then becomes negative. Without a
// bucket or a need it grants nothing.
func grant(b *bucket, need, wanted float64) float64 {
	if b == nil || need <= 0 {
		return 0
	}
	granted := max(need, min(wanted, b.level))
	b.level -= granted
	return granted
}
