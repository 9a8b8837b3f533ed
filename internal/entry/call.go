package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// maxAttempts limits the number of engines or plain upstreams to which one
	// request may be dispatched.
	maxAttempts = 4
	// retryDelay is the mean delay before a retry.
	retryDelay = 50 * time.Millisecond
	// cleanupTimeout limits each step of the cleanup after an attempt: the
	// release of a grant, the release or clearing of a suspect prompt, and the
	// cancellation of a stream.
	cleanupTimeout = 2 * time.Second
	// recordTimeout limits the recording of an engine crash or of the outcome
	// of a call. Recording does not use the context of the request, since the
	// caller may have disconnected.
	recordTimeout = 10 * time.Second
)

// errTimeLimit is the cancellation cause of a request whose time limit passed.
var errTimeLimit = fmt.Errorf("time limit of the request: %w", context.DeadlineExceeded)

// call is one request that generates tokens, from admission to its end.
type call struct {
	server             *Server
	id                 string
	service            string
	serviceConfig      confd.Service
	organisation       string
	organisationConfig confd.Organisation
	model              string
	prompt             string
	maxTokens          int
	promptTokens       int
	// cacheScope names the organisation to engines, fingerprint identifies the
	// prompt in the quarantine, and prefixes holds the hashes of the prompt's
	// prefixes.
	cacheScope  string
	fingerprint string
	prefixes    []string
	arrived     time.Time
	deadline    time.Time

	// pieces are the parts of the generated text that were sent to the caller
	// so far, one token each.
	pieces []string
	// hold is the memory of the prompt and of the pieces.
	hold *quota.Hold
	// dispatched is true once an engine may have started the request.
	dispatched bool
	// avoid lists the engines on which earlier attempts failed.
	avoid        []string
	attempts     int
	firstPieceAt time.Time
	usage        usage

	// phase and engine hold strings that Server.Requests reads while run changes them.
	phase  atomic.Value
	engine atomic.Value
}

func (s *Server) newCall(caller caller, service string, serviceConfig confd.Service, model, prompt string, maxTokens int, arrived, deadline time.Time) *call {
	scope := cacheScope(caller.organisation)
	c := &call{
		server:             s,
		id:                 s.nextID(),
		service:            service,
		serviceConfig:      serviceConfig,
		organisation:       caller.organisation,
		organisationConfig: caller.organisationConfig,
		model:              model,
		prompt:             prompt,
		maxTokens:          maxTokens,
		promptTokens:       s.tokens.estimate(model, len(prompt)),
		cacheScope:         scope,
		fingerprint:        fingerprintOf(caller.organisation, model, prompt),
		prefixes:           prefixHashes(scope, prompt),
		arrived:            arrived,
		deadline:           deadline,
	}
	c.phase.Store("admission")
	c.engine.Store("")
	return c
}

// run admits the request and attempts it until an attempt succeeds or no retry
// is allowed. The kind of the error tells whether an engine may have run the
// request.
func (c *call) run(ctx context.Context, out sink) error {
	s := c.server
	release, err := s.options.Admission.Admit(ctx, c.organisation, c.organisationConfig, c.promptTokens+c.maxTokens)
	if err != nil {
		return c.finalError(ctx, err)
	}
	defer release()
	s.options.Admission.Admitted(c.service, c.organisation, c.serviceConfig.RetryRatio)
	for {
		c.attempts++
		err := c.attempt(ctx, out)
		if err == nil {
			return nil
		}
		if !c.mayRetry(ctx, err) {
			return c.finalError(ctx, err)
		}
		c.log("request_retried").WithError(err).Info("retrying the request on another engine")
		sleep(ctx, jitter(retryDelay))
	}
}

// attempt acquires a grant and streams the output of the granted engine to the
// caller.
func (c *call) attempt(ctx context.Context, out sink) error {
	c.phase.Store("queued")
	dispatch := Dispatch{
		ID: fmt.Sprintf("%s/%d", c.id, c.attempts), Fingerprint: c.fingerprint,
		QuarantineTime: c.serviceConfig.QuarantineTime.Std(),
	}
	t := &transfer{call: c, out: out}
	suspects, err := c.server.content.admit(ctx, t, prefixContent(c.prefixes))
	if err != nil {
		return err
	}
	defer func() { c.server.content.end(t, suspects) }()
	// A prompt suspected of crashing engines must run alone on its engine.
	alone, err := c.server.options.Quarantine.Admit(ctx, dispatch)
	if err != nil {
		return err
	}
	grant, err := c.acquire(ctx, alone || len(suspects) > 0)
	if err != nil {
		c.releaseSuspect(ctx, dispatch, alone)
		return err
	}
	t.grant = grant
	if !c.dispatched && !c.server.options.Drain.Fits(dispatchMargin) {
		c.releaseSuspect(ctx, dispatch, alone)
		c.releaseGrant(ctx, t, errHostStops)
		return errHostStops
	}
	c.engine.Store(grant.Engine)
	c.phase.Store("running")
	c.server.grants.add(grant.Cell, sched.HeldGrant{
		ID: grant.ID, RequestID: c.id, Engine: grant.Engine, Organisation: c.organisation,
		Fingerprint: c.fingerprint, Tokens: c.promptTokens + c.maxTokens, Attempt: c.attempts, Alone: alone,
		Members: grant.Members, Reservation: grant.Reservation, Shares: grant.Shares,
	})
	err = t.run(ctx)
	c.releaseGrant(ctx, t, err)
	if err == nil {
		if alone {
			c.clearSuspect(ctx, dispatch)
		}
		return nil
	}
	c.avoid = append(c.avoid, grant.Engine)
	if !t.dispatched {
		c.releaseSuspect(ctx, dispatch, alone)
	}
	if t.crashed {
		if recordErr := c.recordCrash(ctx, grant, dispatch, alone); recordErr != nil {
			return fault.Wrap(fault.UpstreamLost, recordErr, "engine %s was lost and the prompt could not be recorded as a suspect", grant.Engine)
		}
	}
	return err
}

// recordCrash records that the engine died while it ran this prompt. It
// returns only after the record is committed, because the prompt must not be
// dispatched again until then.
func (c *call) recordCrash(ctx context.Context, grant sched.Grant, d Dispatch, alone bool) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	c.log("engine_died").WithField("engine", grant.Engine).Warn("engine died while running the request")
	return c.server.options.Quarantine.RecordCrash(ctx, grant.Engine, d, alone)
}

// releaseSuspect ends the reservation of a suspect prompt for a dispatch that
// no engine started. It does nothing if the prompt is not a suspect.
func (c *call) releaseSuspect(ctx context.Context, d Dispatch, alone bool) {
	if !alone {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	if err := c.server.options.Quarantine.Release(ctx, d); err != nil {
		c.log("suspect_not_released").WithError(err).Warn("suspect not released; it stays reserved until the time limit of its dispatch")
	}
}

// clearSuspect records in the background that a suspect prompt finished while
// it ran alone.
func (c *call) clearSuspect(ctx context.Context, d Dispatch) {
	c.background(ctx, "clear suspect", func(ctx context.Context) {
		if err := c.server.options.Quarantine.Clear(ctx, d); err != nil {
			c.log("suspect_not_cleared").WithError(err).Warn("suspect not cleared although its prompt finished")
		}
	})
}

// releaseGrant releases the grant in the background.
func (c *call) releaseGrant(ctx context.Context, t *transfer, err error) {
	c.server.grants.remove(t.grant.Cell, t.grant.ID)
	r := sched.Release{
		Cell: t.grant.Cell, ID: t.grant.ID, PromptTokens: c.usage.PromptTokens,
		CompletionTokens: c.usage.CompletionTokens, FirstToken: t.timeToFirstToken(),
		Failed: err != nil && !fault.Is(err, fault.Canceled),
	}
	if c.usage.Details != nil {
		r.CachedTokens = c.usage.Details.CachedTokens
	}
	c.background(ctx, "release", func(ctx context.Context) {
		if err := c.server.options.Cells.Release(ctx, r); err != nil {
			c.log("release_failed").WithError(err).Debug("grant not released; it ends with its lifetime")
		}
	})
}

// background runs fn independently of the request's context, for at most
// cleanupTimeout.
func (c *call) background(ctx context.Context, name string, fn func(context.Context)) {
	ctx = context.WithoutCancel(ctx)
	c.server.options.Group.Go(name, guard.Task(c.server.options.Log, name, func(context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		fn(ctx)
		return nil
	}))
}

// mayRetry reports whether the request may be dispatched to another engine. If
// so, it takes a retry from the retry budgets.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	switch fault.KindOf(err) {
	case fault.UpstreamRefused, fault.Unreachable, fault.UpstreamLost:
	default:
		return false
	}
	return ctx.Err() == nil && c.attempts < maxAttempts &&
		c.server.options.Admission.Retry(c.service, c.organisation)
}

// finalError returns err with a kind that tells the caller correctly whether
// the request was run.
func (c *call) finalError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		switch {
		case stopping(ctx):
			return stopError(c.dispatched)
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

// observe records the end of the request in metrics and in the log.
func (c *call) observe(err error) {
	c.server.usage.record(c.organisation, err, c.usage.TotalTokens)
	scope := c.server.options.Metrics.Tagged(map[string]string{"service": c.service})
	scope.Counter("requests").Inc(1)
	fields := logrus.Fields{
		"attempts": c.attempts, "prompt_tokens": c.usage.PromptTokens,
		"completion_tokens": c.usage.CompletionTokens, "duration": time.Since(c.arrived).String(),
	}
	if !c.firstPieceAt.IsZero() {
		first := c.firstPieceAt.Sub(c.arrived)
		scope.Timer("first_token").Record(first)
		fields["first_token"] = first.String()
	}
	entry := c.log("request_ended").WithFields(fields)
	if late := time.Since(c.deadline); late > lateTolerance {
		scope.Counter("requests_late").Inc(1)
		c.server.lateRequests.Add(1)
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

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}
