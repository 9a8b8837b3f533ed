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

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/target"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// servicesPrefix begins the paths of calls to plain services. The name of the
	// service and the path at the upstream follow.
	servicesPrefix = "/services/"
	// idempotencyKeyHeader carries the idempotency key of a call that may run
	// at most once.
	idempotencyKeyHeader = "Idempotency-Key"
	// organisationHeader tells a plain upstream for which organisation it is
	// called.
	organisationHeader = "X-Verbenapier-Organisation"
	// replayedHeader marks a response that was recorded in an earlier run.
	replayedHeader = "X-Verbenapier-Replayed"
	// omittedHeader marks a recorded response whose body was too large to be kept.
	omittedHeader = "X-Verbenapier-Body"
	// maxOutcomeBody limits the response body of a call that is not
	// idempotent, in bytes. The response is read in full before it is passed
	// on, so that its outcome can be recorded.
	maxOutcomeBody = 8 << 20
)

// ownHeaders are the headers of answers that only this host may set.
var ownHeaders = []string{runHeader, replayedHeader, omittedHeader}

// plainCall is one call to a plain service: a service with configured routes
// whose upstreams are not engines.
type plainCall struct {
	server        *Server
	service       string
	serviceConfig confd.Service
	caller        caller
	request       *http.Request
	// path is the path at the upstream, and target that path with the query, both as
	// the caller sent them.
	path     string
	target   string
	body     []byte
	deadline time.Time
	// answerHold is the memory of an answer that is read in full.
	answerHold *quota.Hold
}

// service routes a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, caller caller, t target.Target) {
	arrived := time.Now()
	p := &plainCall{server: s, caller: caller, request: r, answerHold: s.options.Quota.Hold(r.Context())}
	defer p.answerHold.Release()
	route, err := p.resolve(t)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	if p.deadline, err = deadlineOf(r, arrived, p.serviceConfig.TimeLimit.Std(), p.serviceConfig.MaxTimeLimit.Std()); err != nil {
		s.writeError(w, r, err)
		return
	}
	body, hold, err := s.readBody(w, r, callFactor)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	defer hold.Release()
	p.body = body
	ctx, cancel := context.WithDeadlineCause(r.Context(), p.deadline, errTimeLimit)
	defer cancel()
	ctx, cancel = s.options.Drain.Context(ctx, 0)
	defer cancel()
	endAdmission, err := s.options.Admission.Admit(ctx, caller.organisation, caller.organisationConfig, 0)
	if err != nil {
		s.usage.record(caller.organisation, err, 0)
		s.writeError(w, r, err)
		return
	}
	defer endAdmission()
	s.options.Admission.Admitted(p.service, caller.organisation, p.serviceConfig.RetryRatio)
	switch {
	case !s.options.Drain.Fits(dispatchMargin):
		err = errHostStops
	case route.Idempotent:
		err = p.runIdempotent(ctx, w)
	default:
		err = p.runOnce(ctx, w)
	}
	s.usage.record(caller.organisation, err, 0)
	if err != nil {
		s.writeError(w, r, err)
	}
}

// resolve finds the service and the route of the call.
func (p *plainCall) resolve(t target.Target) (confd.Route, error) {
	name, path, ok := strings.Cut(strings.TrimPrefix(t.Path(), servicesPrefix), "/")
	if !ok {
		return confd.Route{}, fault.New(fault.NotFound, "there is no path behind the name of the service")
	}
	// A name that cannot be unescaped is that of no service.
	p.service, _ = url.PathUnescape(name)
	p.path = "/" + path
	p.target = p.path + t.Query()
	serviceConfig, ok := p.caller.document.Services[p.service]
	if !ok || serviceConfig.Kind != confd.KindPlain {
		return confd.Route{}, fault.New(fault.NotFound, "there is no plain service %q", p.service)
	}
	if !p.caller.mayUse(p.service) {
		return confd.Route{}, fault.New(fault.Forbidden, "the organisation may not use service %q", p.service)
	}
	p.serviceConfig = serviceConfig
	if _, err := target.URL(p.service, p.target); err != nil {
		return confd.Route{}, err
	}
	return p.server.routes.match(p.caller, p.service, p.request.Method, p.path)
}

// runIdempotent tries the upstreams one after another, within the retry
// budgets.
func (p *plainCall) runIdempotent(ctx context.Context, w http.ResponseWriter) error {
	var lastErr error
	dispatched := false
	for i, address := range p.server.options.Directory.Upstreams(p.service) {
		if i >= maxAttempts || ctx.Err() != nil {
			break
		}
		if i > 0 && !p.server.options.Admission.Retry(p.service, p.caller.organisation) {
			break
		}
		resp, err := p.send(ctx, p.server.plainClient, address)
		if err == nil {
			err = p.beginResponse(ctx, resp, address)
		}
		if err == nil {
			return p.streamResponse(ctx, w, resp, address)
		}
		dispatched = dispatched || !fault.Is(err, fault.Unreachable)
		lastErr = err
	}
	return p.finalError(ctx, lastErr, dispatched)
}

// runOnce claims the call, dispatches it at most once and records its outcome.
func (p *plainCall) runOnce(ctx context.Context, w http.ResponseWriter) error {
	claim := Claim{
		Service: p.service, Organisation: p.caller.organisation,
		Key: p.request.Header.Get(idempotencyKeyHeader), Digest: p.digest(), Window: p.serviceConfig.IdempotencyWindow.Std(),
	}
	if claim.Key == "" {
		return fault.New(fault.Invalid, "the header %s is needed: this call is not idempotent", idempotencyKeyHeader)
	}
	finish, recorded, err := p.server.options.Claims.Acquire(ctx, claim)
	if err != nil {
		return p.finalError(ctx, err, false)
	}
	if recorded != nil {
		return p.replay(w, *recorded)
	}
	// The call may run from here on, so it is completed even if the caller
	// disconnects: a resend needs its outcome.
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), p.deadline, errTimeLimit)
	defer cancel()
	ctx, cancel = p.server.options.Drain.Context(ctx, 0)
	defer cancel()
	outcome, received, err := p.dispatchOnce(ctx)
	if err != nil {
		if fault.KindOf(err).Answer().Run == fault.RunNo {
			recordCtx, cancel := p.server.options.Drain.Context(context.WithoutCancel(ctx), 0)
			defer cancel()
			p.recordOutcome(recordCtx, finish, Outcome{NotRun: true})
		}
		return err
	}
	header.Copy(w.Header(), received)
	p.writeOutcome(w, outcome)
	p.recordOutcome(context.WithoutCancel(ctx), finish, outcome)
	return nil
}

// replay responds to a resend with the recorded outcome.
func (p *plainCall) replay(w http.ResponseWriter, recorded Outcome) error {
	w.Header().Set(replayedHeader, "true")
	if recorded.NotRun {
		return fault.New(fault.Unreachable, "the call with this key was not run; send it with a new key")
	}
	p.writeOutcome(w, recorded)
	return nil
}

// recordOutcome stores the outcome of a call for its resends.
func (p *plainCall) recordOutcome(ctx context.Context, finish FinishFunc, outcome Outcome) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := finish(ctx, outcome); err != nil {
		p.server.options.Log.WithError(err).WithField("event", "outcome_not_recorded").WithField("service", p.service).
			Warn("outcome of a call not recorded; a resend gets an error that says the outcome is unknown")
	}
}

// dispatchOnce sends the call to one upstream. It tries the next upstream only
// if no connection to the previous one was made, since nothing was sent in that
// case.
func (p *plainCall) dispatchOnce(ctx context.Context) (Outcome, http.Header, error) {
	err := fault.New(fault.Unreachable, "service %s has no upstreams", p.service)
	for _, address := range p.server.options.Directory.Upstreams(p.service) {
		var resp *http.Response
		resp, err = p.send(ctx, p.server.plainClient, address)
		if err == nil {
			return p.readResponse(ctx, resp, address)
		}
		if !fault.Is(err, fault.Unreachable) {
			return Outcome{}, nil, p.finalError(ctx, err, true)
		}
	}
	return Outcome{}, nil, p.finalError(ctx, err, false)
}

// readResponse reads a response in full. The call has run, so it waits for the memory.
func (p *plainCall) readResponse(ctx context.Context, resp *http.Response, address string) (Outcome, http.Header, error) {
	defer func() { _ = resp.Body.Close() }()
	var memoryErr error
	body, whole, err := p.answerHold.ReadAll(resp.Body, maxOutcomeBody+1, func(n int64) bool {
		memoryErr = p.answerHold.Grow(ctx, n)
		return memoryErr == nil
	})
	switch {
	case err != nil:
		return Outcome{}, nil, fault.Wrap(fault.UpstreamLost, err, "the answer of service %s broke off", p.service)
	case memoryErr != nil:
		return Outcome{}, nil, fault.Wrap(fault.UpstreamFailed, memoryErr, "this host has no memory for the answer of service %s", p.service)
	case !whole:
		return Outcome{}, nil, fault.New(fault.UpstreamFailed, "the answer of service %s exceeds %d bytes", p.service, maxOutcomeBody)
	}
	if err := answer.VerifyEnd(ctx, p.server.options.Dial, address, resp, len(body) == 0); err != nil {
		return Outcome{}, nil, err
	}
	return Outcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, resp.Header, nil
}

// send sends the call to one upstream. An error of kind Unreachable says that
// nothing was sent.
func (p *plainCall) send(ctx context.Context, client *http.Client, address string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, p.request.Method, "http://"+address, bytes.NewReader(p.body))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the call cannot be passed on")
	}
	if req.URL, err = target.URL(address, p.target); err != nil {
		return nil, err
	}
	header.Copy(req.Header, p.request.Header)
	req.Header.Del("Authorization")
	req.Header.Set(organisationHeader, p.caller.organisation)
	resp, err := client.Do(req)
	if err != nil {
		return nil, engine.SendError(err, address)
	}
	for _, name := range ownHeaders {
		resp.Header.Del(name)
	}
	return resp, nil
}

// streamResponse copies a response to the caller as it arrives.
func (p *plainCall) streamResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, address string) error {
	defer func() { _ = resp.Body.Close() }()
	header.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(p.server.options.Limits.WriteTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			err = answer.VerifyEnd(ctx, p.server.options.Dial, address, resp, false)
			if err == nil {
				return nil
			}
		}
		if err != nil {
			p.server.options.Log.WithError(err).WithFields(logrus.Fields{"event": "answer_broken_off", "service": p.service, "upstream": address}).
				Info("an answer broke off after a part of it was passed on")
			// The status is already sent, so closing the connection is the only
			// way to tell the caller that the response is incomplete.
			panic(http.ErrAbortHandler)
		}
	}
}

// writeOutcome responds with an outcome that was just received or recorded
// earlier.
func (p *plainCall) writeOutcome(w http.ResponseWriter, outcome Outcome) {
	if outcome.BodyOmitted {
		w.Header().Set(omittedHeader, "not kept")
	}
	if outcome.ContentType != "" {
		w.Header().Set("Content-Type", outcome.ContentType)
	}
	w.WriteHeader(outcome.Status)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(p.server.options.Limits.WriteTimeout))
	// A failed write means that the caller has disconnected. It does not affect
	// the record of the outcome.
	_, _ = w.Write(outcome.Body)
}

// finalError returns err with a kind that tells whether the call was run.
func (p *plainCall) finalError(ctx context.Context, err error, dispatched bool) error {
	switch {
	case stopping(ctx):
		return stopError(dispatched)
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

// digest returns a hash of the call's method, path, query and body. The claims
// use it to detect an idempotency key that is reused for a different call.
func (p *plainCall) digest() [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{p.request.Method, p.path, p.request.URL.RawQuery} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(p.body)
	return [sha256.Size]byte(hash.Sum(nil))
}
