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

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// maxConnects is the maximum number of upstreams that are tried for one
	// request, including those that could not be reached.
	maxConnects = 4
	// attemptShare is the share of the remaining time that an attempt may use
	// if another attempt may follow.
	attemptShare = 0.55
)

// bufferedResponse is the response of an upstream, read into memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
	// rest is the unread remainder of a body that is larger than the buffer, otherwise
	// nil.
	rest io.Reader
	// verifyEnd returns an error if the body may be incomplete although rest has ended.
	verifyEnd func() error
	// release ends the attempt whose response has a rest.
	release func()
	// hold is the memory of the body.
	hold *quota.Hold
}

// close releases what the response holds. A nil response is allowed.
func (b *bufferedResponse) close() {
	if b == nil {
		return
	}
	b.hold.Release()
	if b.release != nil {
		b.release()
	}
}

// runPlain serves a request for a plain service.
func (c *call) runPlain(ctx context.Context) error {
	var lastErr error
	var failedResponse *bufferedResponse
	defer func() { failedResponse.close() }()
	for connects := 0; connects < maxConnects && ctx.Err() == nil; {
		v, err := c.acquirePlain(ctx)
		if err != nil {
			return err
		}
		if v.Refusal != nil {
			lastErr = refuse(fault.Unreachable, v.Refusal.RetryAfter, "%s", v.Refusal.Reason)
			break
		}
		b, err := c.attemptPlain(ctx, *v.Grant)
		c.avoid = append(c.avoid, v.Grant.Upstream.ID)
		if err == nil && (b.status < http.StatusInternalServerError || !c.route.Repeatable()) {
			defer b.close()
			return c.writeResponse(b)
		}
		if err == nil {
			failedResponse.close()
			failedResponse = b
		}
		lastErr = err
		connects++
		if err != nil && fault.Is(err, fault.Unreachable) {
			continue
		}
		if !c.mayResend(err) {
			break
		}
	}
	if failedResponse != nil && ctx.Err() == nil {
		return c.writeResponse(failedResponse)
	}
	return c.finalError(ctx, lastErr)
}

// mayResend reports whether the request may be sent to another upstream after an attempt
// that ended with an answer or an error. It takes a retry from the budget if one is needed.
func (c *call) mayResend(err error) bool {
	return (!c.dispatched || c.route.Repeatable()) && !fault.Is(err, fault.HostStopped) && c.nextAttempt()
}

// acquirePlain asks for an upstream of a plain service.
func (c *call) acquirePlain(ctx context.Context) (place.Verdict, error) {
	if err := c.refuseIfTooLong(c.runTime()); err != nil {
		return place.Verdict{}, err
	}
	ctx, cancel := c.waitContext(ctx)
	defer cancel()
	v, err := c.server.options.Placer.AcquirePlain(ctx, c.placementID(), c.service, c.content(), c.avoid, time.Until(c.deadline))
	if err != nil {
		return v, c.finalError(ctx, err)
	}
	return v, nil
}

// finalError returns the error for a request that is not sent again. Its kind
// tells the caller whether the request was run.
func (c *call) finalError(ctx context.Context, lastErr error) error {
	switch {
	case ctx.Err() != nil:
		return c.contextError(ctx)
	case fault.Is(lastErr, fault.HostStopped):
		return lastErr
	case c.dispatched:
		return fault.Wrap(fault.UpstreamLost, lastErr, "an upstream was lost and the request could not be run again")
	case lastErr == nil:
		return refuse(fault.Overloaded, busyRetryAfter, "no upstream took the request")
	}
	var r refusal
	if errors.As(lastErr, &r) {
		return lastErr
	}
	return refusal{lastErr, busyRetryAfter}
}

// attemptPlain sends the request to one upstream and reads the response. An
// error of kind UpstreamRefused or Unreachable means that this upstream did not
// run the request.
func (c *call) attemptPlain(ctx context.Context, g place.Grant) (b *bufferedResponse, err error) {
	u, outcome := g.Upstream, place.EngineFailed
	defer func(ctx context.Context) {
		ended := outcome == place.EngineFailed && ctx.Err() == nil && c.upstreamEnded(ctx, u, err)
		c.server.options.Placer.ReleasePlain(g, c.attributeLoss(ctx, u, outcome, err), ended)
	}(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	var options ForwardOptions
	if c.route.Idempotent && c.attempts+1 < c.route.Attempts {
		// The limit applies until the response is buffered. The rest of a large body
		// may take longer, as nothing can be sent again then.
		options.Remaining = time.Duration(attemptShare * float64(time.Until(c.deadline)))
		defer time.AfterFunc(options.Remaining, func() { cancel(errUnresponsive) }).Stop()
	}
	c.upstream = u.ID
	if err := c.checkGrant(g); err != nil {
		cancel(nil)
		outcome = place.Completed
		return nil, err
	}
	c.enter(stageRunning)
	c.logDecision("sent", "a request was sent to an upstream", logrus.Fields{"upstream": u.ID, "attempt": c.attempts + 1})
	resp, err := c.send(ctx, u, options)
	if fault.Is(err, fault.Unreachable) {
		c.enter(stageWaiting)
		cancel(nil)
		return nil, err
	}
	c.attempts++
	if err != nil {
		cancel(nil)
		c.dispatched = true
		if c.r.Context().Err() != nil {
			outcome = place.Completed
		}
		return nil, err
	}
	release := func() {
		_ = resp.Body.Close()
		cancel(nil)
	}
	defer func() {
		if b == nil || b.rest == nil {
			release()
		} else {
			b.release = release
		}
	}()
	v := c.readVerdict(resp, g)
	if c.refuses(resp, v) {
		outcome = place.Rejected
		return nil, fault.New(fault.UpstreamRefused, "upstream %s refused the request with status %d", u.ID, resp.StatusCode)
	}
	c.dispatched = true
	if err := c.verify(resp, v); err != nil {
		return nil, err
	}
	b, err = c.readResponse(ctx, resp, u)
	if err == nil && b.status < http.StatusInternalServerError || fault.Is(err, fault.HostStopped) {
		outcome = place.Completed
	}
	return b, err
}

// verify rejects a response that belongs to another request, has no signature,
// or has a status that callers would take as a promise that the request was not
// run.
func (c *call) verify(resp *http.Response, v ResponseVerdict) error {
	switch {
	case v.ID != "" && v.ID != c.meta.ID:
		return fault.New(fault.UpstreamLost, "the answer belongs to another request")
	case v.NotRun && resp.StatusCode < http.StatusBadRequest:
		return fault.New(fault.UpstreamLost, "the answer with status %d states that the request was not run", resp.StatusCode)
	case (v.NotRun || v.Misdirected) && c.meta.ID != "":
		return fault.New(fault.UpstreamLost, "the refusal with status %d does not say which request it answers", resp.StatusCode)
	case resp.StatusCode < http.StatusMultipleChoices && !v.Signed:
		return fault.New(fault.UpstreamLost, "the answer has no signature")
	case promisesNotRun(resp.StatusCode):
		return fault.New(fault.UpstreamLost, "the upstream answered %d without saying that the request was not run", resp.StatusCode)
	}
	return nil
}

// readResponse reads the response of an upstream into memory, see readAnswer. The caller
// closes it.
func (c *call) readResponse(ctx context.Context, resp *http.Response, u place.Upstream) (*bufferedResponse, error) {
	hold := c.server.options.Quota.Hold(c.r.Context())
	body, whole, err := c.readAnswer(resp.Body, hold)
	if err != nil {
		hold.Release()
		if fault.Is(err, fault.HostStopped) {
			return nil, err
		}
		return nil, fault.Wrap(fault.UpstreamLost, err, "the answer broke off")
	}
	b := &bufferedResponse{
		header: resp.Header, status: resp.StatusCode, body: body, hold: hold,
		verifyEnd: func() error { return answer.VerifyEnd(ctx, c.server.options.Dial, u.Address, resp, len(body) == 0) },
	}
	if !whole {
		b.rest = resp.Body
		return b, nil
	}
	if err := b.verifyEnd(); err != nil {
		hold.Release()
		return nil, err
	}
	return b, nil
}

// writeResponse sends a buffered response to the caller.
func (c *call) writeResponse(b *bufferedResponse) error {
	h := c.w.Header()
	header.Copy(h, b.header)
	c.setConnection(h)
	c.status = b.status
	if b.rest == nil && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	c.beginAnswer()
	c.w.WriteHeader(b.status)
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	body := io.Reader(bytes.NewReader(b.body))
	if b.rest != nil {
		body = io.MultiReader(body, b.rest)
	}
	buf := c.server.buffers.Get().(*[]byte)
	defer c.server.buffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.w.Write((*buf)[:n]); err != nil {
				return fault.Wrap(fault.Canceled, err, "the caller left before the answer was written")
			}
		}
		if errors.Is(err, io.EOF) {
			if b.rest == nil {
				return nil
			}
			return b.verifyEnd()
		}
		if err != nil {
			return fault.Wrap(fault.UpstreamLost, err, "the answer broke off")
		}
	}
}
