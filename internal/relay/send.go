package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// send sends the request to an upstream and returns the response. An error of
// kind Unreachable means that nothing was sent; after any other error the
// upstream may have run the request.
func (c *call) send(ctx context.Context, u place.Upstream, o ForwardOptions) (*http.Response, error) {
	url, err := c.target.URL(u.Address)
	if err != nil {
		return nil, err
	}
	req := (&http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           url,
		ContentLength: int64(len(c.body)),
	}).WithContext(ctx)
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	header.Copy(req.Header, c.r.Header)
	if _, ok := req.Header["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		req.Header.Set("User-Agent", "")
	}
	o.Upstream, o.Organisation = u.ID, c.organisation.Name
	remaining := time.Until(c.deadline)
	if o.Remaining <= 0 || o.Remaining > remaining {
		o.Remaining = remaining
	}
	c.server.options.Codec.SetHeaders(req.Header, o)
	resp, err := c.server.client.Do(req)
	if err == nil {
		return resp, nil
	}
	var failure *fault.Error
	if errors.As(err, &failure) && failure.Kind() == fault.Unreachable {
		return nil, fault.Wrap(fault.Unreachable, err, "upstream %s was not reached", u.ID)
	}
	return nil, fault.Wrap(fault.UpstreamLost, err, "upstream %s did not answer", u.ID)
}

// attributeLoss returns the outcome of an attempt. It is LinkFailed instead of EngineFailed
// if the upstream was not reached, was lost or kept silent, and this host's links failed.
func (c *call) attributeLoss(ctx context.Context, u place.Upstream, o place.Outcome, err error) place.Outcome {
	isLoss := fault.Is(err, fault.Unreachable) || fault.Is(err, fault.UpstreamLost)
	if o == place.EngineFailed && isLoss && c.linksFailed(ctx, u) {
		return place.LinkFailed
	}
	return o
}

// linksFailed reports whether the failure of an attempt counts against the links of this
// host, because it does not reach the upstream or one of the helpers.
func (c *call) linksFailed(ctx context.Context, u place.Upstream, helpers ...place.Helper) bool {
	linked := c.server.options.Linked
	return linked != nil && (!linked(ctx, u.Address) || slices.ContainsFunc(helpers, func(h place.Helper) bool { return !linked(ctx, h.Address) }))
}

// checkGrant returns an error of kind Unreachable if a grant may no longer be used: this
// process was paused since, or an upstream left.
func (c *call) checkGrant(g place.Grant) error {
	if c.server.options.Placer.Current(g) {
		return nil
	}
	c.logDecision("grant_expired", "a grant expired before the request was sent", logrus.Fields{"upstream": g.Upstream.ID})
	return fault.New(fault.Unreachable, "the grant of upstream %s expired", g.Upstream.ID)
}

// upstreamEnded reports whether an attempt failed because the process of the upstream
// ended: the connection ended, not by a time limit or the caller, and the upstream
// answers neither this host nor others. An upstream that lost only this connection does.
func (c *call) upstreamEnded(ctx context.Context, u place.Upstream, err error) bool {
	if !slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(end error) bool { return errors.Is(err, end) }) {
		return false
	}
	return c.server.options.Witnesses.Ended(ctx, u) && context.Cause(c.r.Context()) == nil
}

// readVerdict reads the verdict from the response of the upstream of a grant.
func (c *call) readVerdict(resp *http.Response, g place.Grant) ResponseVerdict {
	v := c.server.options.Codec.ReadVerdict(resp)
	// The address of a misdirected request belongs to another upstream.
	if !v.Misdirected {
		c.server.options.Placer.ReportLimit(g, v.RateLimit, v.HasRateLimit)
		c.server.options.Placer.ReportNotice(g, v.Notice)
	}
	if v.HasRateLimit {
		c.logDecision("limit_named", "an upstream limits the requests per second that it takes", logrus.Fields{
			"upstream": g.Upstream.ID, "per_second": v.RateLimit,
		})
	}
	return v
}

// refuses reports whether a response certainly states that the upstream did not run
// this attempt. A faulty upstream may send a refusal of an earlier request.
func (c *call) refuses(resp *http.Response, v ResponseVerdict) bool {
	return (v.NotRun || v.Misdirected) && resp.StatusCode >= http.StatusBadRequest && v.ID != "" && v.ID == c.meta.ID
}

// promisesNotRun reports whether callers take a status as a promise that the
// request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
