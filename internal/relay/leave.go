package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// leavingAcceptTime is how long after Leave new streams are accepted. Answers to
	// later calls are sent only if they are whole, up to maxLateBody bytes: until an
	// answer has begun, a failure can be sent in its place when the host stops.
	leavingAcceptTime = 3 * time.Second
	maxLateBody       = 4 << 20
	// lateMemory is the memory of a late answer while its buffer grows, in bytes.
	lateMemory = maxLateBody * 3 / 2
	// plainTime is the longest time that a call of a plain service is expected to
	// take. On a host that stops, calls that take longer may end without the answer of
	// their upstream.
	plainTime = 3 * time.Second
)

// refuseStopping returns the refusal of a request that cannot end before this host
// stops.
func refuseStopping() error {
	return refuse(fault.HostLeaving, leavingRetryAfter, "this host stops before the request could end")
}

// refuseWhenLeaving refuses requests that arrive so late that they might not end before
// this host stops. A late call needs memory for its whole answer.
func (c *call) refuseWhenLeaving() error {
	since := c.server.leavingSince.Load()
	c.late = since != nil && time.Since(*since) > leavingAcceptTime
	if c.late && (c.route.Stream || !c.lateHold.TryGrow(lateMemory)) {
		return refuseStopping()
	}
	return c.refuseIfTooLong(c.runTime())
}

// readAnswer reads the body of an answer into memory: that of a late call as a whole, others
// up to maxBufferedBody bytes, or fewer if there is no memory.
func (c *call) readAnswer(body io.Reader, hold *quota.Hold) (data []byte, whole bool, err error) {
	if !c.late {
		return hold.ReadAll(body, maxBufferedBody, hold.TryGrow)
	}
	reserved := func(int64) bool { return true }
	data, whole, err = hold.ReadAll(body, maxLateBody, reserved)
	if err == nil && !whole {
		err = fault.New(fault.HostStopped, "this host stops, and the answer exceeds the %d bytes that it holds", maxLateBody)
	}
	return data, whole, err
}

// refuseIfTooLong refuses a request that takes longer than this host serves. A request
// that may have run cannot be refused.
func (c *call) refuseIfTooLong(need time.Duration) error {
	if c.dispatched || c.server.options.Drain.Fits(need) {
		return nil
	}
	return refuseStopping()
}

// waitContext returns the context in which the request waits for an upstream. It ends
// when the request can no longer end before this host stops; for a request that may
// have run, at the stop.
func (c *call) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	need := c.runTime()
	if c.dispatched {
		need = 0
	}
	return c.server.options.Drain.Context(ctx, need)
}

// runTime estimates how long an upstream takes for the request.
func (c *call) runTime() time.Duration {
	e := c.table.Services()[c.service].Engine
	if e == nil {
		return min(plainTime, time.Until(c.deadline))
	}
	return e.Prefill(c.meta.PromptTokens) + c.outputTime()
}

// expectedTime estimates how long the engine of a grant takes for the request.
func (c *call) expectedTime(g place.Grant) time.Duration {
	if g.Expected == 0 {
		return c.runTime()
	}
	return g.Expected + c.outputTime()
}

// outputTime estimates how long a full engine takes to generate the output.
func (c *call) outputTime() time.Duration {
	e := c.table.Services()[c.service].Engine
	return time.Duration(c.meta.OutputTokens) * e.Step(e.Slots, max(e.Memory, c.meta.PromptTokens))
}

// beginAnswer records that the header of the answer is sent. Nothing else can be answered
// from then on, so the rest is passed on for as long as the connection is open.
func (c *call) beginAnswer() {
	c.headerSent = true
	c.enter(stageAnswering)
	c.ignoreStop()
}

// setConnection asks the caller of a host that leaves to close the connection, so that
// it moves to another host.
func (c *call) setConnection(h http.Header) {
	if c.server.leavingSince.Load() != nil {
		h.Set("Connection", "close")
	}
}
