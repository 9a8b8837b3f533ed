package limits

import (
	"sync"
	"time"
)

// account is the state of an organisation on a node that admits its requests. The
// organisation's home node keeps the state over all nodes (type home).
type account struct {
	organisation string

	mu     sync.Mutex
	limits Limits
	// allowance is what remains of the last allowance leased from the home node. It
	// expires at allowanceUntil.
	allowance      Amount
	allowanceUntil time.Time
	// capacity is how many requests may be in flight until allowanceUntil.
	capacity int
	// running counts the requests in flight. reported is the count last sent to
	// the home node, at reportedAt.
	running    int
	reported   int
	reportedAt time.Time
	// waiting is the total demand of the waitingCount requests that wait for a
	// lease.
	waiting      Amount
	waitingCount int
	// currentDemand is the demand in demandSecond, previousDemand that in the
	// second before it.
	currentDemand  Amount
	previousDemand Amount
	demandSecond   int64
	// leaseDone is closed when the lease call in flight ends. It is nil without
	// one.
	leaseDone chan struct{}
	// refusedUntil is the end of the retry time that the home node sent with its last
	// refusal. Until then no lease call is sent for a request.
	refusedUntil time.Time
	// homeUnreachableUntil is set after a failed lease call. Until then no lease call
	// is sent, and requests are admitted from shareRequests and shareTokens, the
	// buckets of this node's share of the limits.
	homeUnreachableUntil time.Time
	shareRequests        *bucket
	shareTokens          *bucket
	lastUsed             time.Time
}

// recordDemand adds an amount to the demand of the current second.
func (a *account) recordDemand(amount Amount, now time.Time) {
	if second := now.Unix(); second != a.demandSecond {
		a.previousDemand = Amount{}
		if second == a.demandSecond+1 {
			a.previousDemand = a.currentDemand
		}
		a.currentDemand, a.demandSecond = Amount{}, second
	}
	a.currentDemand.Requests += amount.Requests
	a.currentDemand.Tokens += amount.Tokens
}

// takeAllowance admits one request if the allowance and capacity suffice.
func (a *account) takeAllowance(amount Amount, now time.Time) bool {
	if !now.Before(a.allowanceUntil) {
		return false
	}
	if a.limits.RequestsPerSecond > 0 && a.allowance.Requests < amount.Requests ||
		a.limits.TokensPerSecond > 0 && a.allowance.Tokens < amount.Tokens ||
		a.limits.Concurrent > 0 && a.running >= a.capacity {
		return false
	}
	a.allowance.Requests -= amount.Requests
	a.allowance.Tokens -= amount.Tokens
	a.running++
	return true
}

// takeShare admits one request from this node's share of the limits: each limit
// divided by the number of live nodes. If the share does not suffice, takeShare
// returns the time to wait.
func (a *account) takeShare(amount Amount, liveNodes int, now time.Time) (time.Duration, bool) {
	fraction := 1 / float64(max(1, liveNodes))
	a.shareRequests = refillShare(a.shareRequests, a.limits.RequestsPerSecond*fraction, now)
	a.shareTokens = refillShare(a.shareTokens, a.limits.TokensPerSecond*fraction, now)
	var wait time.Duration
	if a.shareRequests != nil {
		wait = max(wait, a.shareRequests.wait(amount.Requests))
	}
	if a.shareTokens != nil && amount.Tokens > 0 {
		// A prompt may be larger than the bucket. It is admitted as soon as the
		// level reaches one token, or one second of a rate below that, and leaves a
		// negative level.
		wait = max(wait, a.shareTokens.wait(min(1, a.shareTokens.rate)))
	}
	if a.limits.Concurrent > 0 && a.running >= int(float64(a.limits.Concurrent)*fraction) {
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

// refillShare refills the bucket of a share, or returns a new one if there was none.
// A new bucket starts with one second of the share. That is less than one request
// when the limit is smaller than the number of nodes. Without a limit (a rate of
// zero) it returns nil.
func refillShare(b *bucket, rate float64, now time.Time) *bucket {
	if rate <= 0 {
		return nil
	}
	if b == nil {
		return newBucket(rate, max(1, rate), rate, now)
	}
	b.refill(rate, max(1, rate), now)
	return b
}

// leaseParams returns the parameters of a lease call. With a need, the call asks for
// the waiting requests and for the expected demand, which is that of the previous
// second. It returns the rest of the current allowance to the home node. Without a
// need, the call is a renewal: it reports the running requests, and the node keeps
// its allowance.
func (a *account) leaseParams(need Amount, now time.Time) LeaseParams {
	params := LeaseParams{Organisation: a.organisation, Limits: a.limits, Need: need, Running: a.running}
	if need.Requests == 0 {
		if now.Before(a.allowanceUntil) {
			params.Slots = max(0, a.capacity-a.running)
		}
		return params
	}
	params.Want = Amount{
		Requests: a.waiting.Requests + a.previousDemand.Requests,
		Tokens:   a.waiting.Tokens + a.previousDemand.Tokens,
	}
	params.Unused = a.allowance
	params.Slots = a.waitingCount + a.running/runningPerSpareSlot
	a.allowance, a.capacity, a.allowanceUntil = Amount{}, 0, time.Time{}
	return params
}

// applyLease updates the account from the result of a lease call.
func (a *account) applyLease(params LeaseParams, result LeaseResult, now time.Time) {
	a.reported, a.reportedAt = params.Running, now
	a.capacity = params.Running + result.Slots
	if params.Need.Requests == 0 {
		return
	}
	a.allowance, a.allowanceUntil = result.Allowance, now.Add(leaseTime)
	a.shareRequests, a.shareTokens = nil, nil
	if result.RetryAfterMS > 0 {
		a.refusedUntil = now.Add(time.Duration(result.RetryAfterMS) * time.Millisecond)
	}
}
