package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	first   time.Time
	recent  time.Time
}

// runEngine serves a request of a model service.
func (c *call) runEngine(ctx context.Context) error {
	st := &stream{last: c.meta.After, hasLast: c.meta.HasAfter}
	var last error
	for connects := 0; connects < maxConnects && ctx.Err() == nil; connects++ {
		v, err := c.acquire(ctx, connects, st)
		if err != nil {
			return c.conclude(ctx, err)
		}
		if v.Refusal != nil {
			return c.refused(ctx, *v.Refusal)
		}
		err = c.attemptEngine(ctx, connects, *v.Grant, st)
		if err == nil {
			return nil
		}
		last = err
		c.avoid = append(c.avoid, v.Grant.Upstream.ID)
		if ctx.Err() != nil || fault.Is(err, fault.Canceled) {
			break
		}
		if fault.Is(err, fault.Unreachable) {
			continue
		}
		if c.dispatched && !c.route.Repeatable() || !c.nextAttempt() {
			break
		}
		if c.started {
			c.resumed++
		}
	}
	return c.concludeStream(ctx, last)
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

// placeID names an attempt at the scheduler.
func (c *call) placeID(attempt int) string { return c.meta.ID + "/" + strconv.Itoa(attempt) }

func (c *call) acquire(ctx context.Context, attempt int, st *stream) (place.Verdict, error) {
	goal, patience := c.route.Goal-time.Since(c.arrived), c.patience()-time.Since(c.arrived)
	if c.started {
		// A stream that goes on must not pause.
		goal, patience = max(0, c.route.GapGoal-time.Since(st.recent)), c.patience()-time.Since(st.recent)
	}
	return c.server.options.Placer.Acquire(ctx, place.Request{
		ID: c.placeID(attempt), Service: c.service, Organisation: c.organisation.Name,
		Prompt: c.meta.Prompt + c.produced(), Output: max(1, c.meta.Output-c.produced()), Goal: goal, Gap: c.route.GapGoal, Patience: patience,
		Remaining: time.Until(c.deadline), Priority: c.priority(), Avoid: c.avoid, Fingerprint: c.fingerprint(),
	})
}

// produced returns the number of tokens that the caller has received.
func (c *call) produced() int {
	if e := c.table.Services()[c.service].Engine; e != nil {
		return c.events * e.EventTokens
	}
	return 0
}

// attemptEngine sends the request to an engine and passes the events on.
func (c *call) attemptEngine(ctx context.Context, attempt int, g place.Grant, st *stream) (err error) {
	ending := place.Ending{ID: g.ID, Outcome: place.Broken, Fingerprint: c.fingerprint()}
	defer func() {
		c.server.options.Placer.Ended(c.service, ending)
	}()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	helpers, held, err := c.reserve(ctx, attempt, g, func() { cancel(errSilent) })
	if err != nil {
		ending.Outcome, ending.Fingerprint = place.Rejected, 0
		return err
	}
	defer held.release()
	silence := time.AfterFunc(c.silence(g), func() { cancel(errSilent) })
	defer silence.Stop()

	c.upstream = g.Upstream.ID
	c.decide("sent", "a request was sent to an engine", logrus.Fields{
		"upstream": g.Upstream.ID, "address": g.Upstream.Address, "attempt": attempt + 1, "helpers": len(g.Helpers),
		"expected_ms": g.Expected.Milliseconds(), "alone": g.Alone,
	})
	p := Passing{Helpers: helpers, After: st.last, HasAfter: st.hasLast && c.started}
	resp, err := c.send(attemptCtx, g.Upstream, p)
	if fault.Is(err, fault.Unreachable) {
		ending.Fingerprint = 0
		return err
	}
	c.attempts++
	if err != nil {
		c.dispatched = true
		return c.lost(ctx, &ending, err)
	}
	defer func() { _ = resp.Body.Close() }()
	v := c.server.options.Codec.Judge(resp)
	if v.NotRun || v.Misdirected {
		ending.Outcome = place.Rejected
		if v.Fault != "" {
			ending.Fault = c.server.options.Upstream(v.Fault)
			ending.Outcome = place.Broken
		}
		ending.Fingerprint = 0
		c.decide("rejected", "an engine did not take a request", logrus.Fields{
			"upstream": g.Upstream.ID, "status": resp.StatusCode, "fault": ending.Fault,
		})
		return fault.New(fault.Refused, "engine %s refused the request with status %d", g.Upstream.ID, resp.StatusCode)
	}
	c.dispatched = true
	if err := c.trust(resp, v); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return c.passFailure(resp, &ending)
	}
	err = c.passEvents(attemptCtx, resp, g.ID, silence, st)
	if err != nil {
		return c.lost(ctx, &ending, err)
	}
	ending.Outcome = place.Done
	ending.Pace = c.pace(st)
	return nil
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
func (c *call) lost(ctx context.Context, ending *place.Ending, err error) error {
	if ctx.Err() != nil || fault.Is(err, fault.Canceled) {
		ending.Outcome, ending.Fingerprint = place.Done, 0
		if fault.Is(err, fault.Canceled) {
			return err
		}
		return c.ended(ctx)
	}
	c.decide("broken", "an engine broke off a request", logrus.Fields{
		"upstream": c.upstream, "events": c.events, "error": err.Error(), "resumable": c.route.Resumable,
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

// pace returns the time between the events of a stream against the expected
// time, or zero when there were too few.
func (c *call) pace(st *stream) float64 {
	e := c.table.Services()[c.service].Engine
	const few = 5
	if e == nil || c.events < few || c.resumed > 0 {
		return 0
	}
	usual := e.EventTime(e.Slots, e.Slots*c.meta.Prompt)
	return float64(st.recent.Sub(st.first)) / float64(c.events-1) / float64(usual)
}

// passEvents copies whole events to the caller until the stream ends.
func (c *call) passEvents(ctx context.Context, resp *http.Response, id string, silence *time.Timer, st *stream) error {
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
				c.server.options.Placer.Begun(c.service, id)
			}
			if err := c.passEvent(resp, e, st); err != nil {
				return err
			}
			wrote = true
		}
		if wrote {
			silence.Reset(pause)
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
		st.first = now
		c.first = now.Sub(c.arrived)
		c.server.metrics.first(c.service, c.first)
	} else {
		c.pause = max(c.pause, now.Sub(st.recent))
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
