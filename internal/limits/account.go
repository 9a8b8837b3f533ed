package limits

import (
	"sync"
	"time"
)

// account is what an entry node keeps of an organisation.
type account struct {
	organisation string

	mu     sync.Mutex
	limits Limits
	// left is the allowance, for use before until.
	left  Amount
	until time.Time
	// capacity is how many requests may be in flight before until.
	capacity int
	// running counts the requests in flight. reported is the number that the
	// home node knows, since reportedAt.
	running    int
	reported   int
	reportedAt time.Time
	// waiting is the demand of the requests that wait for a lease.
	waiting      Amount
	waitingCount int
	// demand is that of the present second, expected that of the one before.
	demand   Amount
	expected Amount
	second   int64
	// leasing is closed when the lease call in flight ends.
	leasing chan struct{}
	// refusedUntil spares calls while the home node would refuse.
	refusedUntil time.Time
	// aloneUntil spares calls while the home node cannot be reached; share
	// holds the buckets of the node's part of the limits.
	aloneUntil    time.Time
	shareRequests *bucket
	shareTokens   *bucket
	used          time.Time
}

// note counts demand by seconds.
func (a *account) note(amount Amount, now time.Time) {
	if second := now.Unix(); second != a.second {
		a.expected = Amount{}
		if second == a.second+1 {
			a.expected = a.demand
		}
		a.demand, a.second = Amount{}, second
	}
	a.demand.Requests += amount.Requests
	a.demand.Tokens += amount.Tokens
}

// take uses the allowance for one request if it covers it.
func (a *account) take(amount Amount, now time.Time) bool {
	if !now.Before(a.until) {
		return false
	}
	if a.limits.RequestsPerSecond > 0 && a.left.Requests < amount.Requests ||
		a.limits.TokensPerSecond > 0 && a.left.Tokens < amount.Tokens ||
		a.limits.Concurrent > 0 && a.running >= a.capacity {
		return false
	}
	a.left.Requests -= amount.Requests
	a.left.Tokens -= amount.Tokens
	a.running++
	return true
}

// takeShare uses this node's part of the limits, as one of a number of live
// nodes. It returns the time to wait when the part does not cover the request.
func (a *account) takeShare(amount Amount, live int, now time.Time) (time.Duration, bool) {
	part := 1 / float64(max(1, live))
	a.shareRequests = sharePart(a.shareRequests, a.limits.RequestsPerSecond*part, now)
	a.shareTokens = sharePart(a.shareTokens, a.limits.TokensPerSecond*part, now)
	var wait time.Duration
	if a.shareRequests != nil {
		wait = max(wait, a.shareRequests.wait(amount.Requests))
	}
	if a.shareTokens != nil && amount.Tokens > 0 {
		wait = max(wait, a.shareTokens.wait(min(1, a.shareTokens.rate)))
	}
	if a.limits.Concurrent > 0 && a.running >= int(float64(a.limits.Concurrent)*part) {
		wait = max(wait, leaseTime)
	}
	if wait > 0 {
		return wait, false
	}
	if a.shareRequests != nil {
		a.shareRequests.level -= amount.Requests
	}
	if a.shareTokens != nil {
		a.shareTokens.level -= amount.Tokens
	}
	a.running++
	return 0, true
}

// sharePart starts with one second of the part, which is less than one request
// when the limit is smaller than the number of nodes.
func sharePart(b *bucket, rate float64, now time.Time) *bucket {
	if rate <= 0 {
		return nil
	}
	if b == nil {
		return newBucket(rate, max(1, rate), rate, now)
	}
	b.refill(rate, max(1, rate), now)
	return b
}

// params returns a lease request for one request and for those that wait. It
// gives up the rest of the allowance. A renewal, without a need, keeps it.
func (a *account) params(need Amount, now time.Time) LeaseParams {
	p := LeaseParams{Organisation: a.organisation, Limits: a.limits, Need: need, Running: a.running}
	if need.Requests == 0 {
		if now.Before(a.until) {
			p.Slots = max(0, a.capacity-a.running)
		}
		return p
	}
	p.Want = Amount{
		Requests: a.waiting.Requests + a.expected.Requests,
		Tokens:   a.waiting.Tokens + a.expected.Tokens,
	}
	p.Unused = a.left
	p.Slots = a.waitingCount + a.running/slotSpare
	a.left, a.capacity, a.until = Amount{}, 0, time.Time{}
	return p
}

// granted takes over a lease.
func (a *account) granted(p LeaseParams, r LeaseResult, now time.Time) {
	a.reported, a.reportedAt = p.Running, now
	a.capacity = p.Running + r.Slots
	if p.Need.Requests == 0 {
		return
	}
	a.left, a.until = r.Allowance, now.Add(leaseTime)
	a.shareRequests, a.shareTokens = nil, nil
	if r.RetryAfterMS > 0 {
		a.refusedUntil = now.Add(time.Duration(r.RetryAfterMS) * time.Millisecond)
	}
}
