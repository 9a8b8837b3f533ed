package relay

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// An engine may be silent before its first event for firstEventFactor times
	// the expected time to that event plus firstEventMargin. The margin covers
	// the wait for a stalled helper, an engine that prefills a part of the prompt.
	firstEventFactor = 3
	firstEventMargin = 1500 * time.Millisecond
	// A stream may pause for stallShare of the time after which callers abandon
	// it, but at most for stallMax, before another engine is looked for. If memory
	// is reserved on helpers, liveness checks find a dead engine and end its attempt
	// before stallMax has passed; see maxFailedChecks.
	stallShare = 0.8
	stallMax   = 3 * time.Second
	// eventStream is the media type of a stream.
	eventStream = "text/event-stream"
)

// errUnresponsive is the cancellation cause of an attempt whose upstream is silent
// for too long, fails the liveness checks, or does not answer a plain request within
// the time of the attempt.
var errUnresponsive = fmt.Errorf("the upstream is silent: %w", context.DeadlineExceeded)

// stream is the progress of a streamed answer over all attempts.
type stream struct {
	// lastID is the number of the last numbered event that the caller has, if
	// hasLastID is set. lastEventAt is when the last event, numbered or not, was
	// forwarded.
	lastID      int64
	hasLastID   bool
	lastEventAt time.Time
	// unnumbered is set once an event without a number, other than a comment, was forwarded.
	// The stream then cannot go on at another engine, as no number says where.
	unnumbered bool
	// pauses are the times between successive events.
	pauses []time.Duration
}

// runEngine serves a request for a model service.
func (c *call) runEngine(ctx context.Context) error {
	st := &stream{lastID: c.meta.After, hasLastID: c.meta.HasAfter}
	var lastErr error
	var next *place.Grant
	// connects counts all attempts, c.attempts only those in which the request was
	// sent to an engine.
	for connects := 0; connects < maxConnects && ctx.Err() == nil; connects++ {
		grant := next
		if grant == nil {
			v, err := c.acquire(ctx, st)
			if err != nil {
				return err
			}
			if v.Refusal != nil {
				return c.refusalError(ctx, *v.Refusal)
			}
			grant = v.Grant
		}
		next, lastErr = c.attemptEngine(ctx, connects, *grant, st)
		if lastErr == nil {
			return nil
		}
		c.avoid = append(c.avoid, grant.Upstream.ID)
		if st.unnumbered || next == nil && c.denyRetry(ctx, lastErr) {
			break
		}
		if c.headerSent && !fault.Is(lastErr, fault.Unreachable) {
			c.resumptions++
		}
	}
	c.returnGrant(next)
	return c.finalStreamError(ctx, lastErr)
}

// acquire asks the scheduler for an engine.
func (c *call) acquire(ctx context.Context, st *stream) (place.Verdict, error) {
	if err := c.refuseIfTooLong(c.runTime()); err != nil {
		return place.Verdict{}, err
	}
	c.enterIfNoAnswer(stageWaiting)
	ctx, cancel := c.waitContext(ctx)
	defer cancel()
	v, err := c.server.options.Placer.Acquire(ctx, c.placementRequest(st, 0))
	if err != nil {
		return v, c.finalError(ctx, err)
	}
	if v.Grant == nil {
		return v, nil
	}
	if err := c.refuseIfTooLong(c.expectedTime(*v.Grant)); err != nil {
		c.returnGrant(v.Grant)
		return v, err
	}
	return v, nil
}

// denyRetry reports whether a request that failed with err must not be sent to
// another engine. If it may be sent, denyRetry takes a retry from the budget if one
// is needed.
func (c *call) denyRetry(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil || fault.Is(err, fault.Canceled):
		return true
	case fault.Is(err, fault.Unreachable):
		return false
	}
	return c.dispatched && !c.route.Repeatable() || !c.nextAttempt()
}

// finalStreamError returns the error for a request for a stream that is not sent to
// another engine.
func (c *call) finalStreamError(ctx context.Context, lastErr error) error {
	switch {
	case fault.Is(lastErr, fault.Canceled):
		return lastErr
	case c.headerSent && ctx.Err() == nil:
		return fault.Wrap(fault.UpstreamLost, lastErr, "the stream broke off and could not go on at another engine")
	}
	return c.finalError(ctx, lastErr)
}

// refusalError logs a refusal of the scheduler and returns it as an error.
func (c *call) refusalError(ctx context.Context, r place.Refusal) error {
	c.logDecision("refused", "the scheduler refused a request", logrus.Fields{
		"reason": r.Reason, "retry_after_ms": r.RetryAfter.Milliseconds(), "dispatched": c.dispatched,
	})
	if c.dispatched {
		return c.finalError(ctx, fault.New(fault.Overloaded, "%s", r.Reason))
	}
	return refuse(fault.Overloaded, r.RetryAfter, "%s", r.Reason)
}

// placementRequest builds a request to the scheduler, with the time limits as
// they will be after delay.
func (c *call) placementRequest(st *stream, delay time.Duration) place.Request {
	now := time.Now().Add(delay)
	goal, abandon := c.route.Goal-now.Sub(c.arrived), c.abandonTimeout()-now.Sub(c.arrived)
	if c.headerSent {
		// The caller has part of the stream, so the limits on the pause between two
		// events apply, counted from the last event.
		goal, abandon = max(0, c.route.GapGoal-now.Sub(st.lastEventAt)), c.abandonTimeout()-now.Sub(st.lastEventAt)
	}
	return place.Request{
		ID: c.placementID(), Service: c.service, Organisation: c.organisation.Name,
		PromptTokens: c.meta.PromptTokens + c.deliveredTokens(), OutputTokens: max(1, c.meta.OutputTokens-c.deliveredTokens()),
		Goal: goal, MaxGap: c.route.GapGoal, AbandonTimeout: abandon, Remaining: c.deadline.Sub(now),
		Priority: c.priority(), Avoid: c.avoid, Content: c.content(),
	}
}

// placementID returns a new ID under which the request is placed. Callers choose the IDs of
// requests, so they may repeat one or leave it out.
func (c *call) placementID() string {
	return c.meta.ID + "/" + strconv.FormatUint(c.server.placements.Add(1), 10)
}

// failoverRequest builds the request that asks the scheduler for another engine. The
// request is sent to the scheduler once the engine of the grant has been silent for
// the given time.
func (c *call) failoverRequest(st *stream, silence time.Duration, g place.Grant) place.Request {
	req := c.placementRequest(st, silence)
	req.Avoid = append(slices.Clone(c.avoid), g.Upstream.ID)
	return req
}

// returnGrant returns an unused grant to the scheduler; g may be nil. The outcome is
// Completed, so that nothing counts against the engine.
func (c *call) returnGrant(g *place.Grant) {
	if g != nil {
		c.server.options.Placer.ReportEnded(*g, place.EndedRequest{Outcome: place.Completed}, false)
	}
}

// deliveredTokens estimates, from the number of events, how many tokens the caller
// has received.
func (c *call) deliveredTokens() int {
	if e := c.table.Services()[c.service].Engine; e != nil {
		return c.events * e.EventTokens
	}
	return 0
}
