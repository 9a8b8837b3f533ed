package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// maxConnects bounds the upstreams that are tried without having sent
	// anything to one.
	maxConnects = 4
	// attemptShare is the part of the remaining time that an attempt gets
	// while another may follow.
	attemptShare = 0.55
)

// answer is a whole answer of an upstream.
type answer struct {
	header http.Header
	status int
	body   []byte
	// rest is what follows the body when it is too long to be kept.
	rest io.Reader
}

// runPlain serves a request of a plain service.
func (c *call) runPlain(ctx context.Context) error {
	var last error
	var failed *answer
	for connects := 0; connects < maxConnects && ctx.Err() == nil; {
		u, ok := c.server.options.Placer.AcquirePlain(c.service, c.avoid)
		if !ok {
			last = refuse(fault.Unreachable, busyRetry, "the service has no upstream")
			break
		}
		a, err := c.attemptPlain(ctx, u)
		c.avoid = append(c.avoid, u.ID)
		if err == nil && (a.status < http.StatusInternalServerError || !c.route.Repeatable()) {
			return c.pass(a)
		}
		if err == nil {
			failed = a
		}
		last = err
		connects++
		if err != nil && fault.Is(err, fault.Unreachable) {
			continue
		}
		if c.dispatched && !c.route.Repeatable() || !c.nextAttempt() {
			break
		}
	}
	if failed != nil && ctx.Err() == nil {
		return c.pass(failed)
	}
	return c.conclude(ctx, last)
}

// conclude gives the last error of a request the kind that tells the caller
// whether it was run.
func (c *call) conclude(ctx context.Context, last error) error {
	switch {
	case ctx.Err() != nil:
		return c.ended(ctx)
	case c.dispatched:
		return fault.Wrap(fault.UpstreamLost, last, "an upstream was lost and the request could not be run again")
	case last == nil:
		return refuse(fault.Overloaded, busyRetry, "no upstream took the request")
	}
	var r refusal
	if errors.As(last, &r) {
		return last
	}
	return refusal{last, busyRetry}
}

// attemptPlain sends the request to one upstream and reads the whole answer.
// Refused and Unreachable say that it was not run there.
func (c *call) attemptPlain(ctx context.Context, u place.Upstream) (a *answer, err error) {
	outcome := place.Broken
	defer func() { c.server.options.Placer.EndPlain(u, outcome) }()
	if c.route.Idempotent && c.attempts+1 < c.route.Attempts {
		var cancel context.CancelFunc
		left := time.Duration(attemptShare * float64(time.Until(c.deadline)))
		ctx, cancel = context.WithTimeoutCause(ctx, left, errSilent)
		defer cancel()
	}
	c.upstream = u.ID
	c.decide("sent", "a request was sent to an upstream", logrus.Fields{"upstream": u.ID, "attempt": c.attempts + 1})
	resp, err := c.send(ctx, u, Passing{})
	if fault.Is(err, fault.Unreachable) {
		return nil, err
	}
	c.attempts++
	if err != nil {
		c.dispatched = true
		if c.r.Context().Err() != nil {
			outcome = place.Done
		}
		return nil, err
	}
	defer func() {
		if a == nil || a.rest == nil {
			_ = resp.Body.Close()
		}
	}()
	v := c.server.options.Codec.Judge(resp)
	if v.NotRun || v.Misdirected {
		outcome = place.Rejected
		return nil, fault.New(fault.Refused, "upstream %s refused the request with status %d", u.ID, resp.StatusCode)
	}
	c.dispatched = true
	if err := c.trust(resp, v); err != nil {
		return nil, err
	}
	a, err = c.collect(resp)
	if err == nil && a.status < http.StatusInternalServerError {
		outcome = place.Done
	}
	return a, err
}

// trust refuses answers that do not belong to the request, or that may not be
// passed on as they are.
func (c *call) trust(resp *http.Response, v Verdict) error {
	switch {
	case v.ID != "" && v.ID != c.meta.ID:
		return fault.New(fault.UpstreamLost, "the answer belongs to another request")
	case resp.StatusCode < http.StatusMultipleChoices && !v.Signed:
		return fault.New(fault.UpstreamLost, "the answer has no signature")
	case promises(resp.StatusCode):
		return fault.New(fault.UpstreamLost, "the upstream answered %d without saying that the request was not run", resp.StatusCode)
	}
	return nil
}

// collect reads an answer whole, up to maxAnswer.
func (c *call) collect(resp *http.Response) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, fault.Wrap(fault.UpstreamLost, err, "the answer broke off")
	}
	a := &answer{header: resp.Header, status: resp.StatusCode, body: body}
	if len(body) == maxAnswer {
		a.rest = resp.Body
	}
	return a, nil
}

// pass writes a collected answer to the caller.
func (c *call) pass(a *answer) error {
	h := c.w.Header()
	closing := h.Get("Connection")
	header.Copy(h, a.header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	c.status = a.status
	if a.rest == nil && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.started = true
	c.w.WriteHeader(a.status)
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	body := io.Reader(bytes.NewReader(a.body))
	if a.rest != nil {
		body = io.MultiReader(body, a.rest)
	}
	buf := c.server.bodies.Get().(*[]byte)
	defer c.server.bodies.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.w.Write((*buf)[:n]); err != nil {
				return fault.Wrap(fault.Canceled, err, "the caller left")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.Wrap(fault.UpstreamLost, err, "the answer broke off")
		}
	}
}
