package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// keyHeader carries the idempotency key of a call that may run once only.
	keyHeader = "Idempotency-Key"
	// organisationHeader tells a plain upstream on whose behalf it is called.
	organisationHeader = "X-Verbenapier-Organisation"
	// replayedHeader marks an answer recorded from an earlier run.
	replayedHeader = "X-Verbenapier-Replayed"
	// maxPlainAnswer bounds the answer of a call that is not idempotent, in
	// bytes. It is read whole before it is passed on, so that its outcome can
	// be recorded.
	maxPlainAnswer = 8 << 20
)

// newOnceTransport returns a transport that opens a connection for each
// request. On a connection that was used before, net/http repeats a request
// that carries Idempotency-Key when the connection breaks, which would run the
// call twice.
func newOnceTransport(dial dialer.Func) http.RoundTripper {
	t := dialer.Transport(dial)
	t.DisableKeepAlives = true
	return t
}

// keepRedirect returns redirects to the caller instead of following them.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// plainCall is one call of a plain service.
type plainCall struct {
	server   *Server
	service  string
	rules    confd.Service
	who      caller
	request  *http.Request
	path     string
	body     []byte
	deadline time.Time
}

// service routes a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, who caller) {
	arrived := time.Now()
	p := &plainCall{server: s, service: r.PathValue("service"), who: who, request: r}
	route, err := p.resolve()
	if err != nil {
		s.fail(w, r, err)
		return
	}
	if p.deadline, err = deadlineOf(r, arrived, p.rules.TimeLimit.Std(), p.rules.MaxTimeLimit.Std()); err != nil {
		s.fail(w, r, err)
		return
	}
	body, release, err := s.readBody(w, r)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	defer release()
	p.body = body
	ctx, cancel := context.WithDeadlineCause(r.Context(), p.deadline, errTimeLimit)
	defer cancel()
	done, err := s.options.Admission.Admit(ctx, who.organisation, who.rules, 0)
	if err != nil {
		s.uses.note(who.organisation, err, 0)
		s.fail(w, r, err)
		return
	}
	defer done()
	s.options.Admission.Admitted(p.service, who.organisation, p.rules.RetryRatio)
	if route.Idempotent {
		err = p.runIdempotent(ctx, w)
	} else {
		err = p.runOnce(ctx, w)
	}
	s.uses.note(who.organisation, err, 0)
	if err != nil {
		s.fail(w, r, err)
	}
}

// resolve finds the service and the route of the call.
func (p *plainCall) resolve() (confd.Route, error) {
	rules, ok := p.who.document.Services[p.service]
	if !ok || rules.Kind != confd.KindPlain {
		return confd.Route{}, fault.New(fault.NotFound, "there is no plain service %q", p.service)
	}
	if !p.who.mayUse(p.service) {
		return confd.Route{}, fault.New(fault.Forbidden, "the organisation may not use service %q", p.service)
	}
	p.rules = rules
	p.path = strings.TrimPrefix(p.request.URL.EscapedPath(), "/services/"+url.PathEscape(p.service))
	route, ok := p.server.routes.match(p.who, p.service, p.request.Method, p.path)
	if !ok {
		return confd.Route{}, fault.New(fault.NotFound, "service %q has no route for %s %s", p.service, p.request.Method, p.path)
	}
	return route, nil
}

// runIdempotent tries the upstreams in turn, within the retry budgets.
func (p *plainCall) runIdempotent(ctx context.Context, w http.ResponseWriter) error {
	var last error
	dispatched := false
	for i, address := range p.server.options.Directory.Upstreams(p.service) {
		if i >= maxAttempts || ctx.Err() != nil {
			break
		}
		if i > 0 && !p.server.options.Admission.Retry(p.service, p.who.organisation) {
			break
		}
		resp, err := p.send(ctx, p.server.plain, address)
		if err == nil {
			return p.pass(w, resp)
		}
		dispatched = dispatched || !fault.Is(err, fault.Unreachable)
		last = err
	}
	return p.final(ctx, last, dispatched)
}

// runOnce claims the call, dispatches it at most once and records its outcome.
func (p *plainCall) runOnce(ctx context.Context, w http.ResponseWriter) error {
	claim := Claim{
		Service: p.service, Organisation: p.who.organisation,
		Key: p.request.Header.Get(keyHeader), Digest: p.digest(), Window: p.rules.IdempotencyWindow.Std(),
	}
	if claim.Key == "" {
		return fault.New(fault.Invalid, "the header %s is needed: this call is not idempotent", keyHeader)
	}
	finish, recorded, err := p.server.options.Claims.Acquire(ctx, claim)
	if err != nil {
		return err
	}
	if recorded != nil {
		return p.replay(w, *recorded)
	}
	// The call may run from here on, so it is carried to its end even if the
	// caller leaves: a resend needs its outcome.
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), p.deadline, errTimeLimit)
	defer cancel()
	outcome, received, err := p.dispatchOnce(ctx)
	if err != nil {
		if fault.KindOf(err).Answer().Run == fault.RunNo {
			p.record(ctx, finish, Recorded{NotRun: true})
		}
		return err
	}
	header.Copy(w.Header(), received)
	p.answer(w, outcome)
	p.record(ctx, finish, outcome)
	return nil
}

// replay answers a resend with the recorded outcome.
func (p *plainCall) replay(w http.ResponseWriter, recorded Recorded) error {
	w.Header().Set(replayedHeader, "true")
	if recorded.NotRun {
		return fault.New(fault.Unreachable, "the call with this key was not run; send it with a new key")
	}
	p.answer(w, recorded)
	return nil
}

// record stores the outcome of a call for its resends.
func (p *plainCall) record(ctx context.Context, finish FinishFunc, outcome Recorded) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), blameTimeout)
	defer cancel()
	if err := finish(ctx, outcome); err != nil {
		p.server.options.Log.WithError(err).WithField("event", "outcome_not_recorded").WithField("service", p.service).
			Warn("the outcome of a call was not recorded; its resends are answered as unknown")
	}
}

// dispatchOnce sends the call to one upstream. It goes on to another only when
// no connection was made, so that nothing was sent.
func (p *plainCall) dispatchOnce(ctx context.Context) (Recorded, http.Header, error) {
	err := fault.New(fault.Unreachable, "service %s has no upstreams", p.service)
	for _, address := range p.server.options.Directory.Upstreams(p.service) {
		var resp *http.Response
		resp, err = p.send(ctx, p.server.once, address)
		if err == nil {
			return p.collect(resp)
		}
		if !fault.Is(err, fault.Unreachable) {
			return Recorded{}, nil, p.final(ctx, err, true)
		}
	}
	return Recorded{}, nil, p.final(ctx, err, false)
}

// collect reads a whole answer.
func (p *plainCall) collect(resp *http.Response) (Recorded, http.Header, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer+1))
	if err != nil {
		return Recorded{}, nil, fault.Wrap(fault.UpstreamLost, err, "the answer of service %s broke off", p.service)
	}
	if len(body) > maxPlainAnswer {
		return Recorded{}, nil, fault.New(fault.UpstreamFailed, "the answer of service %s exceeds %d bytes", p.service, maxPlainAnswer)
	}
	return Recorded{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, resp.Header, nil
}

// send sends the call to one upstream. Unreachable says that nothing was sent.
func (p *plainCall) send(ctx context.Context, client *http.Client, address string) (*http.Response, error) {
	target := "http://" + address + p.path
	if p.request.URL.RawQuery != "" {
		target += "?" + p.request.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, p.request.Method, target, bytes.NewReader(p.body))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the call cannot be passed on")
	}
	header.Copy(req.Header, p.request.Header)
	req.Header.Del("Authorization")
	req.Header.Set(organisationHeader, p.who.organisation)
	resp, err := client.Do(req)
	if err != nil {
		return nil, engine.SendError(err, address)
	}
	return resp, nil
}

// pass copies an answer to the caller as it arrives.
func (p *plainCall) pass(w http.ResponseWriter, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	header.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(p.server.options.Limits.WriteTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			// The status is sent; closing the connection is the only way to
			// tell the caller that the answer is not whole.
			panic(http.ErrAbortHandler)
		}
	}
}

// answer writes a collected or recorded answer.
func (p *plainCall) answer(w http.ResponseWriter, recorded Recorded) {
	if recorded.BodyOmitted {
		w.Header().Set("X-Verbenapier-Body", "not kept")
	}
	if recorded.ContentType != "" {
		w.Header().Set("Content-Type", recorded.ContentType)
	}
	w.WriteHeader(recorded.Status)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(p.server.options.Limits.WriteTimeout))
	// A failed write means that the caller is gone; the outcome is recorded.
	_, _ = w.Write(recorded.Body)
}

// final gives an error the kind that tells whether the call was run.
func (p *plainCall) final(ctx context.Context, err error, dispatched bool) error {
	switch {
	case ctx.Err() != nil && dispatched:
		return fault.Wrap(fault.Timeout, ctx.Err(), "the time limit passed after the call was dispatched")
	case ctx.Err() != nil:
		return fault.Wrap(fault.NotStarted, ctx.Err(), "the time limit passed before the call was dispatched")
	case err == nil:
		return fault.New(fault.Unreachable, "service %s has no upstreams", p.service)
	case dispatched && fault.KindOf(err).Answer().Run == fault.RunNo:
		return fault.Wrap(fault.UpstreamLost, err, "an upstream was lost and the call could not be run again")
	}
	return err
}

// digest identifies what the call does, so that a key is not reused for a
// different call.
func (p *plainCall) digest() [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{p.request.Method, p.path, p.request.URL.RawQuery} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(p.body)
	return [sha256.Size]byte(hash.Sum(nil))
}
