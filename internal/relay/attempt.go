package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// attempt is one attempt to run a request on an engine. number is the number of
// earlier attempts, including those in which the request was not sent.
type attempt struct {
	number   int
	grant    place.Grant
	helpers  []place.Helper
	failover *failover
	ended    place.EndedRequest
	// resumed is set if the caller has the header of an earlier attempt's answer.
	resumed bool
	// begun is set once the engine has sent a numbered event, and upstreamEnded if it
	// ended while it ran the request.
	begun         bool
	upstreamEnded bool
}

// attemptEngine sends the request to an engine and forwards the events. If the
// attempt ended because the engine was silent and another engine was granted, it
// returns the grant for the next attempt.
func (c *call) attemptEngine(ctx context.Context, number int, g place.Grant, st *stream) (next *place.Grant, err error) {
	a := &attempt{number: number, grant: g, resumed: c.headerSent, ended: place.EndedRequest{Outcome: place.EngineFailed}}
	defer func() { c.server.options.Placer.ReportEnded(a.grant, a.ended, a.upstreamEnded) }()
	// The memory at helpers is reserved before exchange checks the grant again.
	if err := c.checkGrant(g); err != nil {
		a.ended.Outcome = place.Completed
		return nil, err
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	helpers, memory, err := c.reserve(ctx, number, g, func() { cancel(errUnresponsive) })
	if err != nil {
		a.ended.Outcome = place.Rejected
		if c.linksFailed(ctx, g.Upstream, g.Helpers...) {
			a.ended.Outcome = place.LinkFailed
		}
		return nil, err
	}
	defer memory.release()
	a.helpers, a.failover = helpers, c.newFailover(attemptCtx, cancel)
	err = c.exchange(attemptCtx, a, st)
	next = a.failover.stop()
	if fault.Is(err, fault.UpstreamLost) || fault.Is(err, fault.Canceled) {
		err = c.recordLoss(ctx, a, err)
	}
	a.ended.Outcome = c.attributeLoss(ctx, g.Upstream, a.ended.Outcome, err)
	if err == nil || fault.Is(err, fault.Canceled) {
		c.returnGrant(next)
		next = nil
	}
	return next, err
}

// exchange sends the request to the engine of the attempt and handles the
// response.
func (c *call) exchange(ctx context.Context, a *attempt, st *stream) error {
	u := a.grant.Upstream
	c.upstream = u.ID
	if err := c.checkGrant(a.grant); err != nil {
		a.ended.Outcome = place.Completed
		return err
	}
	c.enterIfNoAnswer(stageRunning)
	timeout := c.firstEventTimeout(a.grant)
	a.failover.arm(timeout, c.failoverRequest(st, timeout, a.grant))
	c.logDecision("sent", "a request was sent to an engine", logrus.Fields{
		"upstream": u.ID, "address": u.Address, "attempt": a.number + 1, "helpers": len(a.grant.Helpers),
		"expected_ms": a.grant.Expected.Milliseconds(), "alone": a.grant.WithoutOwner,
	})
	resp, err := c.send(ctx, u, ForwardOptions{Helpers: a.helpers, After: st.lastID, HasAfter: st.hasLastID && c.headerSent})
	if fault.Is(err, fault.Unreachable) {
		return err
	}
	c.attempts++
	if err != nil {
		c.dispatched = true
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	v := c.readVerdict(resp, a.grant)
	if c.refuses(resp, v) {
		return c.recordRejection(a, resp, v)
	}
	c.dispatched = true
	if err := c.verify(resp, v); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return c.forwardFailure(ctx, resp, a)
	}
	switch streams := isEventStream(resp); {
	case a.resumed && !streams:
		return fault.New(fault.UpstreamFailed, "the engine continued a stream with status %d and content of type %q", resp.StatusCode, resp.Header.Get("Content-Type"))
	case !streams && resp.Header.Get("Content-Type") != "":
		return c.forwardWhole(ctx, resp, a)
	}
	if err := c.forwardEvents(ctx, resp, a, st); err != nil {
		return err
	}
	a.ended.Outcome = place.Completed
	a.ended.Slowdown = c.slowdown(st)
	return nil
}

// recordRejection records that the engine rejected the request, which means that it
// did not run it. If the verdict names a failed upstream that kept the engine from
// running the request, the failure counts against that upstream.
func (c *call) recordRejection(a *attempt, resp *http.Response, v ResponseVerdict) error {
	a.ended.Outcome = place.Rejected
	if v.Notice.Pause > 0 {
		// The engine may take requests of other hosts.
		a.ended.Outcome = place.Completed
	}
	if v.FailedUpstream != "" {
		a.ended.Fault = c.server.options.UpstreamID(v.FailedUpstream)
		a.ended.Outcome = place.EngineFailed
	}
	c.logDecision("rejected", "an engine rejected a request", logrus.Fields{
		"upstream": a.grant.Upstream.ID, "status": resp.StatusCode, "fault": a.ended.Fault,
	})
	return fault.New(fault.UpstreamRefused, "engine %s refused the request with status %d", a.grant.Upstream.ID, resp.StatusCode)
}

// firstEventTimeout returns how long the engine may be silent before the first
// event.
func (c *call) firstEventTimeout(g place.Grant) time.Duration {
	expected := g.Expected
	if expected == 0 {
		if e := c.table.Services()[c.service].Engine; e != nil {
			expected = e.Prefill(c.meta.PromptTokens)
		}
	}
	return firstEventFactor*expected + firstEventMargin
}

// abandonTimeout returns how long the caller waits for the next event before it
// abandons the request.
func (c *call) abandonTimeout() time.Duration {
	return route.AbandonTimeout(c.route.Goal, c.route.GapGoal)
}

// stallTimeout returns how long an engine may be silent between two events.
func (c *call) stallTimeout() time.Duration {
	return min(stallMax, time.Duration(stallShare*float64(c.abandonTimeout())))
}

// recordLoss records an attempt that failed before the answer was complete, and
// returns its error. If the caller disconnected or the time limit passed, the
// outcome is Completed, so that nothing counts against the engine.
func (c *call) recordLoss(ctx context.Context, a *attempt, err error) error {
	if ctx.Err() != nil || fault.Is(err, fault.Canceled) {
		a.ended.Outcome = place.Completed
		if fault.Is(err, fault.Canceled) {
			return err
		}
		return c.contextError(ctx)
	}
	a.upstreamEnded = c.upstreamEnded(ctx, a.grant.Upstream, err)
	c.logDecision("broken", "an attempt on an engine failed before the answer was complete", logrus.Fields{
		"upstream": a.grant.Upstream.ID, "events": c.events, "error": err.Error(), "resumable": c.route.Resumable,
		"begun": a.begun, "upstream_ended": a.upstreamEnded, "parts": c.meta.SharedParts,
	})
	return err
}

// forwardFailure sends an error response of the engine to the caller. It returns
// an error instead if the request can be sent again or if the response cannot be
// forwarded.
func (c *call) forwardFailure(ctx context.Context, resp *http.Response, a *attempt) error {
	b, err := c.readResponse(ctx, resp, a.grant.Upstream)
	if err != nil {
		return err
	}
	defer b.close()
	// A rest is not read: the deferred close in exchange discards it.
	if c.headerSent || b.rest != nil || b.status >= http.StatusInternalServerError && c.route.Repeatable() && c.attempts < c.route.Attempts {
		return fault.New(fault.UpstreamFailed, "the engine answered with status %d", b.status)
	}
	a.ended.Outcome = place.Completed
	return c.writeResponse(b)
}

// slowdown returns the median time between the events of a stream, divided by the
// expected time between events on an engine that runs no other stream. It returns
// zero if there were too few events or if the stream was moved between engines. The
// median hardly depends on the few pauses in which the engine prefilled other
// prompts.
func (c *call) slowdown(st *stream) float64 {
	e := c.table.Services()[c.service].Engine
	const minPauses = 5
	if e == nil || len(st.pauses) < minPauses || c.resumptions > 0 {
		return 0
	}
	slices.Sort(st.pauses)
	return float64(st.pauses[len(st.pauses)/2]) / float64(e.EventTime(1, c.meta.PromptTokens))
}
