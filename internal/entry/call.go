package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// maxAttempts bounds the engines that one request may be dispatched to.
	maxAttempts = 4
	// retryPause is the mean pause before an attempt after the first.
	retryPause = 50 * time.Millisecond
	// cleanupTimeout bounds releases and cancels after a request has ended.
	cleanupTimeout = 2 * time.Second
	// blameTimeout bounds the recording of a suspect. It does not depend on
	// the caller, who may be gone.
	blameTimeout = 10 * time.Second
)

// errTimeLimit is the cancellation cause of a request whose time limit passed.
var errTimeLimit = fmt.Errorf("time limit of the request: %w", context.DeadlineExceeded)

// call is one request that generates tokens, from admission to its end.
type call struct {
	server       *Server
	id           string
	service      string
	rules        confd.Service
	organisation string
	share        confd.Organisation
	model        string
	prompt       string
	maxTokens    int
	promptTokens int
	scope        string
	fingerprint  string
	prefixes     []string
	arrived      time.Time
	deadline     time.Time

	// pieces are the parts of the answer passed to the caller so far, a token
	// each.
	pieces []string
	// dispatched says that an engine may have begun the request.
	dispatched bool
	avoid      []string
	attempts   int
	firstPiece time.Time
	used       usage

	phase  atomic.Value
	engine atomic.Value
}

func (s *Server) newCall(who caller, service string, rules confd.Service, model, prompt string, maxTokens int, arrived, deadline time.Time) *call {
	scope := cacheScope(who.organisation)
	c := &call{
		server:       s,
		id:           s.nextID(),
		service:      service,
		rules:        rules,
		organisation: who.organisation,
		share:        who.rules,
		model:        model,
		prompt:       prompt,
		maxTokens:    maxTokens,
		promptTokens: s.tokens.estimate(model, len(prompt)),
		scope:        scope,
		fingerprint:  fingerprintOf(who.organisation, model, prompt),
		prefixes:     prefixHashes(scope, prompt),
		arrived:      arrived,
		deadline:     deadline,
	}
	c.phase.Store("admission")
	c.engine.Store("")
	return c
}

// run carries the request to its end. The error says whether it was run.
func (c *call) run(ctx context.Context, out sink) error {
	s := c.server
	release, err := s.options.Admission.Admit(ctx, c.organisation, c.share, c.promptTokens+c.maxTokens)
	if err != nil {
		return c.final(ctx, err)
	}
	defer release()
	s.options.Admission.Admitted(c.service, c.organisation, c.rules.RetryRatio)
	for {
		c.attempts++
		err := c.attempt(ctx, out)
		if err == nil {
			return nil
		}
		if !c.mayRetry(ctx, err) {
			return c.final(ctx, err)
		}
		c.log("request_retried").WithError(err).Info("the request is tried on another engine")
		pause(ctx, jitter(retryPause))
	}
}

// attempt gets a grant and streams from the granted engine.
func (c *call) attempt(ctx context.Context, out sink) error {
	c.phase.Store("queued")
	dispatch := Dispatch{
		ID: fmt.Sprintf("%s/%d", c.id, c.attempts), Fingerprint: c.fingerprint,
		QuarantineTime: c.rules.QuarantineTime.Std(),
	}
	alone, err := c.server.options.Quarantine.Admit(ctx, dispatch)
	if err != nil {
		return err
	}
	grant, err := c.acquire(ctx, alone)
	if err != nil {
		c.giveUp(ctx, dispatch, alone)
		return err
	}
	c.engine.Store(grant.Engine)
	c.phase.Store("running")
	c.server.ledger.add(grant.Cell, sched.Held{
		ID: grant.ID, RequestID: c.id, Engine: grant.Engine, Organisation: c.organisation,
		Fingerprint: c.fingerprint, Tokens: c.promptTokens + c.maxTokens, Attempt: c.attempts, Alone: alone,
		Members: grant.Members, Reservation: grant.Reservation, Shares: grant.Shares,
	})
	t := &transfer{call: c, grant: grant, out: out}
	err = t.run(ctx)
	c.release(ctx, t, err)
	if err == nil {
		if alone {
			c.clear(ctx, dispatch)
		}
		return nil
	}
	c.avoid = append(c.avoid, grant.Engine)
	if !t.begun {
		c.giveUp(ctx, dispatch, alone)
	}
	if t.crashed {
		if blameErr := c.blame(ctx, grant, dispatch, alone); blameErr != nil {
			return fault.Wrap(fault.UpstreamLost, blameErr, "engine %s was lost and the prompt could not be recorded as a suspect", grant.Engine)
		}
	}
	return err
}

// blame records that the engine died while it ran this prompt. The prompt is
// not dispatched again before that.
func (c *call) blame(ctx context.Context, grant sched.Grant, d Dispatch, alone bool) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), blameTimeout)
	defer cancel()
	c.log("engine_died").WithField("engine", grant.Engine).Warn("an engine died while it ran this request")
	return c.server.options.Quarantine.Blame(ctx, grant.Engine, d, alone)
}

// giveUp releases a suspect's dispatch that no engine began.
func (c *call) giveUp(ctx context.Context, d Dispatch, alone bool) {
	if !alone {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	if err := c.server.options.Quarantine.Release(ctx, d); err != nil {
		c.log("suspect_not_released").WithError(err).Warn("a suspect stays reserved until the time limit of its dispatch")
	}
}

// clear records in the background that a suspect finished alone.
func (c *call) clear(ctx context.Context, d Dispatch) {
	c.background(ctx, "clear suspect", func(ctx context.Context) {
		if err := c.server.options.Quarantine.Cleared(ctx, d); err != nil {
			c.log("suspect_not_cleared").WithError(err).Warn("a prompt stays a suspect although it finished")
		}
	})
}

// release gives the grant back in the background.
func (c *call) release(ctx context.Context, t *transfer, err error) {
	c.server.ledger.remove(t.grant.Cell, t.grant.ID)
	r := sched.Release{
		Cell: t.grant.Cell, ID: t.grant.ID, PromptTokens: c.used.PromptTokens,
		CompletionTokens: c.used.CompletionTokens, FirstToken: t.firstToken(),
		Failed: err != nil && !fault.Is(err, fault.Canceled),
	}
	if c.used.Details != nil {
		r.CachedTokens = c.used.Details.CachedTokens
	}
	c.background(ctx, "release", func(ctx context.Context) {
		if err := c.server.options.Cells.Release(ctx, r); err != nil {
			c.log("release_failed").WithError(err).Debug("a grant was not released; it expires")
		}
	})
}

// background runs fn after the request, within cleanupTimeout.
func (c *call) background(ctx context.Context, name string, fn func(context.Context)) {
	ctx = context.WithoutCancel(ctx)
	c.server.options.Group.Go(name, func(context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		fn(ctx)
		return nil
	})
}

// mayRetry reports whether the request may be dispatched to another engine.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	switch fault.KindOf(err) {
	case fault.Refused, fault.Unreachable, fault.UpstreamLost:
	default:
		return false
	}
	return ctx.Err() == nil && c.attempts < maxAttempts &&
		c.server.options.Admission.Retry(c.service, c.organisation)
}

// final gives an error the kind that tells the caller the truth about whether
// the request was run.
func (c *call) final(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		switch {
		case !errors.Is(context.Cause(ctx), errTimeLimit):
			return fault.Wrap(fault.Canceled, err, "the caller closed the request")
		case c.dispatched:
			return fault.Wrap(fault.Timeout, err, "the time limit passed after the request was dispatched")
		default:
			return fault.Wrap(fault.NotStarted, err, "the time limit passed before the request was dispatched")
		}
	}
	if c.dispatched && fault.KindOf(err).Answer().Run == fault.RunNo {
		return fault.Wrap(fault.UpstreamLost, err, "an engine was lost and the request could not be run again")
	}
	return err
}

// observe records the end of the request in metrics and logs.
func (c *call) observe(err error) {
	c.server.uses.note(c.organisation, err, c.used.TotalTokens)
	scope := c.server.options.Metrics.Tagged(map[string]string{"service": c.service})
	scope.Counter("requests").Inc(1)
	fields := logrus.Fields{
		"attempts": c.attempts, "prompt_tokens": c.used.PromptTokens,
		"completion_tokens": c.used.CompletionTokens, "duration": time.Since(c.arrived).String(),
	}
	if !c.firstPiece.IsZero() {
		first := c.firstPiece.Sub(c.arrived)
		scope.Timer("first_token").Record(first)
		fields["first_token"] = first.String()
	}
	entry := c.log("request_ended").WithFields(fields)
	if late := time.Since(c.deadline); late > lateTolerance {
		scope.Counter("requests_late").Inc(1)
		c.server.late.Add(1)
		entry.WithField("late", late.String()).Error("the request ended after its time limit")
		return
	}
	if err != nil {
		entry.WithField("code", fault.KindOf(err).String()).Info("the request failed")
		return
	}
	entry.Info("the request succeeded")
}

// lateTolerance is how far past its time limit a request may end before it
// counts as late: the time to write the final error.
const lateTolerance = time.Second

func (c *call) log(event string) *logrus.Entry {
	return c.server.options.Log.WithFields(logrus.Fields{
		"event": event, "request": c.id, "service": c.service, "organisation": c.organisation,
	})
}

// jitter returns a duration between half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}
