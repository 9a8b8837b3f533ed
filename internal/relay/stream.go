package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/event"
	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// silenceFactor times the expected time to the first event, plus
	// silenceBase, is how long an engine may be silent before its first event.
	// The base covers the wait for a stalled helper.
	silenceFactor = 3
	silenceBase   = 1500 * time.Millisecond
	// An engine that is silent for silenceShare of the callers' patience is
	// left, at most silenceMax: work that hangs on a dead engine is cut off
	// before that.
	silenceShare = 0.8
	silenceMax   = 3 * time.Second
)

// errSilent is the cause of the end of an attempt whose upstream is silent.
var errSilent = fmt.Errorf("the upstream is silent: %w", context.DeadlineExceeded)

// stream is the progress of an answer that is a stream.
type stream struct {
	last    int64
	hasLast bool
	recent  time.Time
	// pauses are the times between events.
	pauses []time.Duration
}

// runEngine serves a request of a model service.
func (c *call) runEngine(ctx context.Context) error {
	st := &stream{last: c.meta.After, hasLast: c.meta.HasAfter}
	var last error
	var next *place.Grant
	for connects := 0; connects < maxConnects && ctx.Err() == nil; connects++ {
		grant := next
		if grant == nil {
			v, err := c.server.options.Placer.Acquire(ctx, c.placement(st, 0))
			if err != nil {
				return c.conclude(ctx, err)
			}
			if v.Refusal != nil {
				return c.refused(ctx, *v.Refusal)
			}
			grant = v.Grant
		}
		next, last = c.attemptEngine(ctx, connects, *grant, st)
		if last == nil {
			return nil
		}
		c.avoid = append(c.avoid, grant.Upstream.ID)
		if next == nil && c.final(ctx, last) {
			break
		}
		if c.started && !fault.Is(last, fault.Unreachable) {
			c.resumed++
		}
	}
	c.giveBack(next)
	return c.concludeStream(ctx, last)
}

// final reports whether a request that failed is not sent to another engine.
func (c *call) final(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil || fault.Is(err, fault.Canceled):
		return true
	case fault.Is(err, fault.Unreachable):
		return false
	}
	return c.dispatched && !c.route.Repeatable() || !c.nextAttempt()
}

// concludeStream gives the last error of a stream its kind.
func (c *call) concludeStream(ctx context.Context, last error) error {
	switch {
	case fault.Is(last, fault.Canceled):
		return last
	case c.started && ctx.Err() == nil:
		return fault.Wrap(fault.UpstreamLost, last, "the stream broke off and could not go on")
	}
	return c.conclude(ctx, last)
}

// refused turns a refusal of the scheduler into an error.
func (c *call) refused(ctx context.Context, r place.Refusal) error {
	c.decide("refused", "a request got no place", logrus.Fields{
		"reason": r.Reason, "retry_after_ms": r.RetryAfter.Milliseconds(), "dispatched": c.dispatched,
	})
	if c.dispatched {
		return c.conclude(ctx, fault.New(fault.Overloaded, "%s", r.Reason))
	}
	return refuse(fault.Overloaded, r.RetryAfter, "%s", r.Reason)
}

// placement describes the request to the scheduler, as of a time from now.
func (c *call) placement(st *stream, in time.Duration) place.Request {
	now := time.Now().Add(in)
	goal, patience := c.route.Goal-now.Sub(c.arrived), c.patience()-now.Sub(c.arrived)
	if c.started {
		// A stream that goes on must not pause.
		goal, patience = max(0, c.route.GapGoal-now.Sub(st.recent)), c.patience()-now.Sub(st.recent)
	}
	c.placements++
	return place.Request{
		ID:      c.meta.ID + "/" + strconv.Itoa(c.placements),
		Service: c.service, Organisation: c.organisation.Name,
		Prompt: c.meta.Prompt + c.produced(), Output: max(1, c.meta.Output-c.produced()),
		Goal: goal, Gap: c.route.GapGoal, Patience: patience, Remaining: c.deadline.Sub(now),
		Priority: c.priority(), Avoid: c.avoid, Fingerprint: c.fingerprint(),
	}
}

// seekPlacement describes the request when its engine has been silent for a
// time.
func (c *call) seekPlacement(st *stream, silence time.Duration, g place.Grant) place.Request {
	req := c.placement(st, silence)
	req.Avoid = append(slices.Clone(c.avoid), g.Upstream.ID)
	return req
}

// giveBack returns a place that is not used.
func (c *call) giveBack(g *place.Grant) {
	if g != nil {
		c.server.options.Placer.Ended(*g, place.Ending{Outcome: place.Done})
	}
}

// produced returns the number of tokens that the caller has received.
func (c *call) produced() int {
	if e := c.table.Services()[c.service].Engine; e != nil {
		return c.events * e.EventTokens
	}
	return 0
}

// attempt is one sending of a request to an engine.
type attempt struct {
	number  int
	grant   place.Grant
	helpers []place.Helper
	seek    *seeker
	ending  place.Ending
}

// attemptEngine sends the request to an engine and passes the events on. It
// returns the place for the next attempt when it left a silent engine.
func (c *call) attemptEngine(ctx context.Context, number int, g place.Grant, st *stream) (next *place.Grant, err error) {
	a := &attempt{number: number, grant: g, ending: place.Ending{Outcome: place.Broken, Fingerprint: c.fingerprint()}}
	defer func() { c.server.options.Placer.Ended(a.grant, a.ending) }()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	helpers, held, err := c.reserve(ctx, number, g, func() { cancel(errSilent) })
	if err != nil {
		a.ending.Outcome, a.ending.Fingerprint = place.Rejected, 0
		return nil, err
	}
	defer held.release()
	a.helpers, a.seek = helpers, c.newSeeker(attemptCtx, cancel)
	err = c.exchange(attemptCtx, a, st)
	next = a.seek.stop()
	if fault.Is(err, fault.UpstreamLost) || fault.Is(err, fault.Canceled) {
		err = c.lost(ctx, a, err)
	}
	if err == nil || fault.Is(err, fault.Canceled) {
		c.giveBack(next)
		next = nil
	}
	return next, err
}

// exchange sends the request to the engine of an attempt and judges the answer.
func (c *call) exchange(ctx context.Context, a *attempt, st *stream) error {
	u := a.grant.Upstream
	c.upstream = u.ID
	wait := c.silence(a.grant)
	a.seek.watch(wait, c.seekPlacement(st, wait, a.grant))
	c.decide("sent", "a request was sent to an engine", logrus.Fields{
		"upstream": u.ID, "address": u.Address, "attempt": a.number + 1, "helpers": len(a.grant.Helpers),
		"expected_ms": a.grant.Expected.Milliseconds(), "alone": a.grant.Alone,
	})
	resp, err := c.send(ctx, u, Passing{Helpers: a.helpers, After: st.last, HasAfter: st.hasLast && c.started})
	if fault.Is(err, fault.Unreachable) {
		a.ending.Fingerprint = 0
		return err
	}
	c.attempts++
	if err != nil {
		c.dispatched = true
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	v := c.server.options.Codec.Judge(resp)
	if v.NotRun || v.Misdirected {
		return c.rejected(a, resp, v)
	}
	c.dispatched = true
	if err := c.trust(resp, v); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return c.passFailure(resp, &a.ending)
	}
	if err := c.passEvents(ctx, resp, a, st); err != nil {
		return err
	}
	a.ending.Outcome = place.Done
	a.ending.Pace = c.pace(st)
	return nil
}

// rejected judges an engine that did not run the request, or names another one
// that kept it from that.
func (c *call) rejected(a *attempt, resp *http.Response, v Verdict) error {
	a.ending.Outcome, a.ending.Fingerprint = place.Rejected, 0
	if v.Fault != "" {
		a.ending.Fault = c.server.options.Upstream(v.Fault)
		a.ending.Outcome = place.Broken
	}
	c.decide("rejected", "an engine did not take a request", logrus.Fields{
		"upstream": a.grant.Upstream.ID, "status": resp.StatusCode, "fault": a.ending.Fault,
	})
	return fault.New(fault.Refused, "engine %s refused the request with status %d", a.grant.Upstream.ID, resp.StatusCode)
}

// silence returns how long the engine may be silent before the first event.
func (c *call) silence(g place.Grant) time.Duration {
	expected := g.Expected
	if expected == 0 {
		if e := c.table.Services()[c.service].Engine; e != nil {
			expected = e.Prefill(c.meta.Prompt)
		}
	}
	return silenceFactor*expected + silenceBase
}

// patience returns how long the caller waits for the next event.
func (c *call) patience() time.Duration {
	return route.Patience(c.route.Goal, c.route.GapGoal)
}

// maxPause returns how long an engine may be silent between events.
func (c *call) maxPause() time.Duration {
	return min(silenceMax, time.Duration(silenceShare*float64(c.patience())))
}

// lost judges an attempt that broke off: the caller's leaving and the time
// limit are no fault of the engine.
func (c *call) lost(ctx context.Context, a *attempt, err error) error {
	if ctx.Err() != nil || fault.Is(err, fault.Canceled) {
		a.ending.Outcome, a.ending.Fingerprint = place.Done, 0
		if fault.Is(err, fault.Canceled) {
			return err
		}
		return c.ended(ctx)
	}
	c.decide("broken", "an engine broke off a request", logrus.Fields{
		"upstream": a.grant.Upstream.ID, "events": c.events, "error": err.Error(), "resumable": c.route.Resumable,
	})
	return err
}

// passFailure passes on an answer with a failure of the engine.
func (c *call) passFailure(resp *http.Response, ending *place.Ending) error {
	a, err := c.collect(resp)
	if err != nil {
		return err
	}
	if c.started || a.rest != nil || a.status >= http.StatusInternalServerError && c.route.Repeatable() && c.attempts < c.route.Attempts {
		return fault.New(fault.UpstreamFailed, "the engine answered with status %d", a.status)
	}
	ending.Outcome = place.Done
	return c.pass(a)
}

// pace returns the usual time between the events of a stream against the time
// that an engine without other streams needs, or zero when there were too few.
// The median leaves out the pauses in which the engine read other prompts.
func (c *call) pace(st *stream) float64 {
	e := c.table.Services()[c.service].Engine
	const few = 5
	if e == nil || len(st.pauses) < few || c.resumed > 0 {
		return 0
	}
	slices.Sort(st.pauses)
	return float64(st.pauses[len(st.pauses)/2]) / float64(e.EventTime(1, c.meta.Prompt))
}

// passEvents copies whole events to the caller until the stream ends.
func (c *call) passEvents(ctx context.Context, resp *http.Response, a *attempt, st *stream) error {
	var split event.Splitter
	buf := c.server.bodies.Get().(*[]byte)
	defer c.server.bodies.Put(buf)
	pause := c.maxPause()
	fresh := true
	for {
		n, err := resp.Body.Read(*buf)
		split.Add((*buf)[:n])
		wrote := false
		for {
			e, ok := split.Next()
			if !ok {
				break
			}
			if fresh && e.HasID {
				if c.started && st.hasLast && e.ID != st.last+1 {
					return fault.New(fault.UpstreamLost, "the stream goes on at event %d instead of %d", e.ID, st.last+1)
				}
				fresh = false
				c.server.options.Placer.Begun(a.grant)
			}
			if err := c.passEvent(resp, e, st); err != nil {
				return err
			}
			wrote = true
		}
		if wrote {
			a.seek.watch(pause, c.seekPlacement(st, pause, a.grant))
			if err := http.NewResponseController(c.w).Flush(); err != nil {
				return fault.Wrap(fault.Canceled, err, "the caller left")
			}
		}
		if errors.Is(err, io.EOF) {
			return c.streamEnd(resp, &split)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fault.Wrap(fault.UpstreamLost, err, "the stream broke off")
		}
	}
}

// passEvent writes one event, and the header before the first one.
func (c *call) passEvent(resp *http.Response, e event.Event, st *stream) error {
	c.begin(resp)
	now := time.Now()
	if c.events == 0 {
		c.first = now.Sub(c.arrived)
		c.server.metrics.first(c.service, c.first)
	} else {
		pause := now.Sub(st.recent)
		st.pauses = append(st.pauses, pause)
		c.pause = max(c.pause, pause)
	}
	st.recent = now
	c.events++
	if e.HasID {
		st.last, st.hasLast = e.ID, true
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(now.Add(writeTimeout))
	if _, err := c.w.Write(e.Raw); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller left")
	}
	return nil
}

// begin sends the header of the first engine's answer.
func (c *call) begin(resp *http.Response) {
	if c.started {
		return
	}
	closing := c.w.Header().Get("Connection")
	header.Copy(c.w.Header(), resp.Header)
	if closing != "" {
		c.w.Header().Set("Connection", closing)
	}
	c.started = true
	c.status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
}

// streamEnd accepts the end of a stream, unless it came in the middle of an
// event.
func (c *call) streamEnd(resp *http.Response, split *event.Splitter) error {
	if split.Partial() > 0 {
		return fault.New(fault.UpstreamLost, "the stream ended in the middle of an event")
	}
	c.begin(resp)
	return nil
}
