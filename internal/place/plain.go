package place

import (
	"context"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// permitWaitShare is the share of its remaining time that a request waits for a limited
// server before it is refused.
const permitWaitShare = 0.2

// usableCheckInterval is how often a request that waits for a limited server checks
// that the service still has one.
const usableCheckInterval = 50 * time.Millisecond

// AcquirePlain grants a server of a plain service to a request with the given ID and
// content, which waits no longer than the limit. It asks no owner, since such calls
// are short and servers refuse requests for which they have no room.
func (c *Client) AcquirePlain(ctx context.Context, id, service string, content crash.Content, avoid []string, limit time.Duration) (Verdict, error) {
	if !c.hasUsable(service) {
		return Verdict{Refusal: &Refusal{Reason: "the service has no upstream", RetryAfter: minBarTime / 2}}, nil
	}
	suspects, refusal, err := c.awaitTrial(ctx, content, limit)
	if err != nil || refusal != nil {
		return Verdict{Refusal: refusal}, err
	}
	u, refusal, err := c.pickPlain(ctx, service, avoid, limit)
	if err != nil || refusal != nil {
		return Verdict{Refusal: refusal}, err
	}
	g := Grant{ID: id, Upstream: u, Suspects: c.trialAt(u, suspects)}
	c.local.addRequest(u.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants[id] = &heldGrant{Grant: g, content: content, obtainedAt: time.Now()}
	return Verdict{Grant: &g}, nil
}

// ReleasePlain records how a call of a plain service ended. UpstreamEnded says that
// the server ended while it ran the call.
func (c *Client) ReleasePlain(g Grant, o Outcome, upstreamEnded bool) {
	c.local.endRequest(g.Upstream.ID, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.grants[g.ID]
	if h == nil {
		return
	}
	delete(c.grants, g.ID)
	if o == Completed && !upstreamEnded {
		c.recordBegin(h)
	}
	c.recordEnd(h, o, upstreamEnded)
}

// sleepWhileUsable waits for d, or less if the service loses its last usable upstream.
// It returns false when the context ends first.
func (c *Client) sleepWhileUsable(ctx context.Context, service string, d time.Duration) bool {
	for end := time.Now().Add(d); c.hasUsable(service); {
		left := time.Until(end)
		if left <= 0 {
			return true
		}
		if !group.Sleep(ctx, min(left, usableCheckInterval)) {
			return false
		}
	}
	return ctx.Err() == nil
}

// pickPlain picks a server of a plain service that takes a request. It waits for one
// for permitWaitShare of the limit.
func (c *Client) pickPlain(ctx context.Context, service string, avoid []string, limit time.Duration) (Upstream, *Refusal, error) {
	domain := c.options.Members.Self().FailureDomain
	for started := time.Now(); ; {
		upstreams := c.options.Upstreams(service)
		if r := c.options.Notices.pausedRefusal(upstreams); r != nil {
			return Upstream{}, r, nil
		}
		candidates := c.options.Notices.takers(upstreams)
		wait := time.Duration(-1)
		for {
			u, ok := c.local.pick(candidates, avoid, domain)
			if !ok {
				break
			}
			left := c.awaitPermit(ctx, service, u)
			if left <= 0 {
				return u, nil, nil
			}
			if wait < 0 || left < wait {
				wait = left
			}
			candidates = slices.DeleteFunc(slices.Clone(candidates), func(other Upstream) bool { return other.ID == u.ID })
		}
		if wait < 0 {
			return Upstream{}, &Refusal{Reason: "the service has no upstream", RetryAfter: minBarTime / 2}, nil
		}
		if time.Since(started)+wait > scale(limit, permitWaitShare) {
			return Upstream{}, &Refusal{Reason: "the limits of the upstreams leave no room", RetryAfter: max(wait, minBarTime/2)}, nil
		}
		if !c.sleepWhileUsable(ctx, service, wait) {
			return Upstream{}, nil, fault.Wrap(fault.KindOf(ctx.Err()), ctx.Err(), "waiting for an upstream within its limit")
		}
	}
}
