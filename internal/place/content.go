package place

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// trialPollInterval is how often a request that waits for the outcome of a trial
// checks for it.
const trialPollInterval = 20 * time.Millisecond

// awaitTrial waits while another request of this node with the same suspected parts
// has not begun to be answered, but no longer than the limit. It returns the suspected
// parts of the request, or a refusal.
func (c *Client) awaitTrial(ctx context.Context, content crash.Content, limit time.Duration) ([]crash.Part, *Refusal, error) {
	for started := time.Now(); ; {
		v := c.options.Crashes.Check(content)
		if r := quarantineRefusal(v); r != nil {
			return nil, r, nil
		}
		if len(v.Suspects) == 0 || !c.runsUnanswered(func(h *heldGrant) bool { return h.content.Intersects(v.Suspects) }) {
			return v.Suspects, nil, nil
		}
		if time.Since(started) >= limit {
			return nil, &Refusal{Reason: "a request with the same suspected content was not answered in time", RetryAfter: minBarTime}, nil
		}
		if !group.Sleep(ctx, trialPollInterval) {
			return nil, nil, fault.Wrap(fault.KindOf(ctx.Err()), ctx.Err(), "waiting for the outcome of a trial")
		}
	}
}

// trialAt returns the suspects that are on trial at an upstream chosen by this node:
// none if another of its requests at the upstream has not begun to be answered, since
// either may then be the reason why the upstream ends.
func (c *Client) trialAt(u Upstream, suspects []crash.Part) []crash.Part {
	if c.runsUnanswered(func(h *heldGrant) bool { return h.Upstream.ID == u.ID }) {
		return nil
	}
	return suspects
}

// runsUnanswered reports whether a request of this node whose grant matches has not
// begun to be answered.
func (c *Client) runsUnanswered(matches func(h *heldGrant) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.grants {
		if !h.begun && matches(h) {
			return true
		}
	}
	return false
}

// recordBegin records that a request began to be answered. The caller holds mu.
func (c *Client) recordBegin(h *heldGrant) {
	if !h.begun {
		h.begun = true
		c.options.Crashes.Began(h.content)
	}
}

// recordEnd records what the end of a request shows of its content. It returns a
// report if the upstream ended while it ran the request. The caller holds mu.
func (c *Client) recordEnd(h *heldGrant, o Outcome, upstreamEnded bool) *crash.Report {
	if upstreamEnded {
		r := crash.Report{Engine: h.Upstream.Process(), Content: h.content, Begun: h.begun, Suspects: h.Suspects}
		c.options.Crashes.Report(r)
		return &r
	}
	if o == Completed && h.begun {
		c.options.Crashes.Completed(h.content)
	}
	return nil
}
