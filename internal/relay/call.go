package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/internal/target"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// call is the state of one request of a caller.
type call struct {
	// server is nil once report was called.
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	stage   stage
	// late is set if the request arrived more than leavingAcceptTime after Leave, and
	// lateHold is then the memory of its answer.
	late     bool
	lateHold *quota.Hold

	meta         RequestMeta
	target       target.Target
	table        *route.Table
	route        *route.Route
	service      string
	organisation route.Organisation
	body         []byte
	bodyHold     *quota.Hold
	// contentKey is the result of content, or zero before its first call.
	contentKey crash.Content
	deadline   time.Time

	// attempts is how often the request was sent to an upstream. Upstreams that could
	// not be reached are not counted.
	attempts int
	// avoid lists the upstreams to which the request was already assigned.
	avoid []string
	// dispatched is set once an upstream may have run the request.
	dispatched bool
	upstream   string
	// headerSent is set once the header of the answer was sent to the caller.
	headerSent bool
	// ignoreStop lets the request run until its connection is closed.
	ignoreStop func()
	status     int
	// events is the number of events sent to the caller, and resumptions how often
	// the stream was moved to another engine.
	events      int
	resumptions int
	// firstEvent is the time from arrival to the first event, and longestPause
	// the longest time between two events.
	firstEvent   time.Duration
	longestPause time.Duration
}

// errDeadline is the cancellation cause of a request whose time limit passed.
var errDeadline = fmt.Errorf("time limit of the request: %w", context.DeadlineExceeded)

// run serves the request. A nil error means that the answer of an upstream was
// passed on completely.
func (c *call) run() error {
	s := c.server
	c.meta = s.options.Codec.Decode(c.r.Header)
	if err := c.resolve(); err != nil {
		return err
	}
	limit := c.route.Timeout
	if c.meta.Remaining > 0 && (limit <= 0 || c.meta.Remaining < limit) {
		limit = c.meta.Remaining
	}
	c.deadline = c.arrived.Add(limit)
	if err := c.refuseWhenLeaving(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(c.r.Context(), c.deadline, errDeadline)
	defer cancel()
	ctx, cancelStop := context.WithCancelCause(ctx)
	defer cancelStop(nil)
	c.ignoreStop = s.options.Drain.Before(0, func() { cancelStop(drain.ErrStopping) })
	defer c.ignoreStop()
	s.options.Budget.Request(c.service)
	c.enter(stageWaiting)
	if c.table.Services()[c.service].Engine != nil {
		return c.runEngine(ctx)
	}
	return c.runPlain(ctx)
}

// resolve sets the route, the organisation and the service of the request.
func (c *call) resolve() error {
	o := c.server.options
	if c.table = o.Table(); c.table == nil {
		return refuse(fault.NoConfig, outageRetryAfter(time.Since(c.server.started)), "this host has no configuration yet")
	}
	var err error
	if c.target, err = target.Parse(c.r); err != nil {
		return err
	}
	var ok bool
	if c.route, ok = c.table.Match(c.r.Host, c.target.Path()); !ok {
		return c.refuseUnknown(fault.NotFound, "no route for this host and path")
	}
	if c.table.NeedsKey(c.route) {
		if c.organisation, ok = c.table.Organisation(c.meta.Credential); !ok {
			return c.refuseUnknown(fault.Unauthenticated, "the key belongs to no organisation")
		}
	}
	if c.service = c.server.pickService(c.route); c.service == "" {
		return refuse(fault.Overloaded, busyRetryAfter, "the route has no service")
	}
	return nil
}

// refuseUnknown refuses a request whose route or key is not in the
// configuration. If the local copy is older than freshAge, a newer version may
// have the route or key, so the refusal asks the caller to try again.
func (c *call) refuseUnknown(kind fault.Kind, text string) error {
	if age := c.server.options.ConfigAge(); age > freshAge {
		return refuse(fault.NoConfig, outageRetryAfter(age), "%s, but the configuration may be out of date", text)
	}
	return fault.New(kind, "%s", text)
}

// outageRetryAfter returns the Retry-After time in an outage of the platform
// that has lasted for elapsed. An outage is likely to last about as long again,
// and a caller that retries before its end wastes an attempt.
func outageRetryAfter(elapsed time.Duration) time.Duration {
	return min(max(elapsed, outageRetryMin), outageRetryMax)
}

// nextAttempt reports whether the request may be sent to another upstream, and
// takes a retry from the budget if one is needed.
func (c *call) nextAttempt() bool {
	if c.attempts == 0 {
		return true
	}
	return c.attempts < c.route.Attempts && c.server.options.Budget.Take(c.service)
}

// priority returns the priority of the organisation, or that of the route if
// the organisation has none.
func (c *call) priority() int {
	if c.organisation.Priority != nil {
		return *c.organisation.Priority
	}
	return c.route.Priority
}

// content identifies what the request asks an upstream to run: the organisation, host,
// request URI and body together, and each part of the prompt that other requests may
// share. Parts are not told apart by organisation, as content that ends an engine
// ends it for all.
func (c *call) content() crash.Content {
	if c.contentKey.Whole == 0 {
		c.contentKey.Whole = crash.NewPart(c.body, c.organisation.Name, c.r.Host, c.r.RequestURI)
		for _, id := range c.meta.SharedParts {
			c.contentKey.Shared = append(c.contentKey.Shared, crash.NewPart(nil, c.service, id))
		}
	}
	return c.contentKey
}

// contextError returns the error for a request whose context ended: the caller
// disconnected, the time limit passed, or this host stops.
func (c *call) contextError(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, drain.ErrStopping) && c.dispatched:
		return fault.New(fault.HostStopped, "this host stops before the answer is complete")
	case errors.Is(cause, drain.ErrStopping):
		return refuseStopping()
	case !errors.Is(cause, errDeadline):
		return fault.New(fault.Canceled, "the caller left")
	case c.dispatched:
		return fault.New(fault.Timeout, "the time limit passed")
	}
	return refuse(fault.Overloaded, busyRetryAfter, "the time limit passed before an upstream was free")
}

// finish answers a failed request, and writes the log line and metrics of every
// request.
func (c *call) finish(err error) {
	if fault.Is(err, fault.Canceled) && c.server.cut.Load() {
		err = fault.Wrap(fault.HostStopped, err, "the connection was closed before the answer was complete")
	}
	defer c.report(err)
	if err == nil {
		return
	}
	if c.headerSent {
		// The header has been sent, so aborting the connection is the only way
		// to show the caller that the answer is incomplete.
		c.report(err)
		panic(http.ErrAbortHandler)
	}
	kind := fault.KindOf(err)
	if kind == fault.Canceled || kind == fault.HostStopped && c.server.cut.Load() {
		c.status = kind.Answer().Status
		c.report(err)
		panic(http.ErrAbortHandler)
	}
	c.writeError(kind, err)
}

// writeError sends an error response of the gateway itself.
func (c *call) writeError(kind fault.Kind, err error) {
	a := kind.Answer()
	c.status = a.Status
	h := c.w.Header()
	var r refusal
	if errors.As(err, &r) {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.retryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	}
	c.setConnection(h)
	h.Set("Content-Type", "application/json")
	h.Set("X-Verbenapier-Run", string(a.Run))
	message := a.Meaning
	var e *fault.Error
	if errors.As(err, &e) {
		message = e.Message()
	}
	body, _ := json.Marshal(map[string]any{"error": map[string]string{"code": a.Code, "message": message}})
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	c.w.WriteHeader(a.Status)
	// A failed write means that the caller has disconnected.
	_, _ = c.w.Write(body)
}

// report writes the log line and the metrics of a finished request. Only the
// first call has an effect.
func (c *call) report(err error) {
	if c.server == nil {
		return
	}
	s := c.server
	c.server = nil
	fields := logrus.Fields{
		"event": "request", "request": c.meta.ID, "status": c.status, "service": c.service,
		"organisation": c.organisation.Name, "upstream": c.upstream, "attempts": c.attempts,
		"ms": time.Since(c.arrived).Milliseconds(), "prompt": c.meta.PromptTokens, "events": c.events,
	}
	if c.table != nil {
		fields["config"] = c.table.Version()
		fields["config_age_ms"] = s.options.ConfigAge().Milliseconds()
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["goal_ms"], fields["gap_goal_ms"] = c.route.Goal.Milliseconds(), c.route.GapGoal.Milliseconds()
	}
	if c.events > 0 {
		fields["first_ms"], fields["pause_ms"] = c.firstEvent.Milliseconds(), c.longestPause.Milliseconds()
	}
	if len(c.meta.SharedParts) > 0 {
		fields["parts"] = c.meta.SharedParts
	}
	if since := s.leavingSince.Load(); since != nil {
		fields["leaving_ms"] = time.Since(*since).Milliseconds()
	}
	if c.resumptions > 0 {
		fields["resumed"] = c.resumptions
	}
	outcome := "served"
	if err != nil {
		outcome = fault.KindOf(err).String()
		fields["outcome"], fields["stage"] = outcome, c.stage.String()
		fields["era"], fields["revision"] = s.options.CopyVersion()
		s.options.Log.WithFields(fields).WithError(err).Warn("a request failed")
	} else {
		s.options.Log.WithFields(fields).Info("a request was served")
	}
	s.metrics.recordRequest(c.service, outcome, time.Since(c.arrived))
	if fault.Is(err, fault.HostStopped) {
		s.metrics.recordCut(c.stage)
	}
}

// logDecision logs a decision about the request.
func (c *call) logDecision(event, text string, fields logrus.Fields) {
	fields["event"], fields["request"], fields["service"] = event, c.meta.ID, c.service
	c.server.options.Log.WithFields(fields).Info(text)
}
