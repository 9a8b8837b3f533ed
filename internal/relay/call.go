package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

type conn = net.Conn

// call is one request of a caller.
type call struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	meta         Meta
	table        *route.Table
	route        *route.Route
	service      string
	organisation route.Organisation
	body         []byte
	hash         uint64
	deadline     time.Time

	attempts int
	// placements counts the places asked for.
	placements int
	avoid      []string
	// dispatched says that an upstream may have run the request.
	dispatched bool
	upstream   string
	// started says that the answer's header was sent.
	started bool
	status  int
	events  int
	resumed int
	// first is the time to the first event, and pause the longest time between
	// two events.
	first time.Duration
	pause time.Duration
}

// errDeadline is the cause of the end of a request whose time has passed.
var errDeadline = fmt.Errorf("time limit of the request: %w", context.DeadlineExceeded)

// run serves the request. A nil error means that an upstream's answer was
// passed on whole.
func (c *call) run() error {
	s := c.server
	c.meta = s.options.Codec.Decode(c.r.Header)
	if err := c.resolve(); err != nil {
		return err
	}
	if err := s.refuseLate(c.route.Stream); err != nil {
		return err
	}
	body, err := s.readBody(c.w, c.r, c.table.MaxBodyBytes())
	if err != nil {
		return err
	}
	c.body = body
	limit := c.route.Timeout
	if c.meta.Remaining > 0 && (limit <= 0 || c.meta.Remaining < limit) {
		limit = c.meta.Remaining
	}
	c.deadline = c.arrived.Add(limit)
	ctx, cancel := context.WithDeadlineCause(c.r.Context(), c.deadline, errDeadline)
	defer cancel()
	s.options.Budget.Request(c.service)
	if c.table.Services()[c.service].Engine != nil {
		return c.runEngine(ctx)
	}
	return c.runPlain(ctx)
}

// resolve finds the route, the organisation and the service.
func (c *call) resolve() error {
	o := c.server.options
	if c.table = o.Table(); c.table == nil {
		return refuse(fault.NoConfig, outageRetry(time.Since(c.server.started)), "this host has no configuration yet")
	}
	var ok bool
	if c.route, ok = c.table.Match(c.r.Host, c.r.URL.Path); !ok {
		return c.unknown(fault.NotFound, "no route for this host and path")
	}
	if c.table.NeedsKey(c.route) {
		if c.organisation, ok = c.table.Organisation(c.meta.Key); !ok {
			return c.unknown(fault.Unauthenticated, "the key belongs to no organisation")
		}
	}
	if c.service = c.server.pick(c.route); c.service == "" {
		return refuse(fault.Overloaded, busyRetry, "the route has no service")
	}
	return nil
}

// unknown refuses what the configuration does not hold. With an old copy a
// newer version may hold it, so the caller is asked to come back instead.
func (c *call) unknown(kind fault.Kind, text string) error {
	if age := c.server.options.Age(); age > freshAge {
		return refuse(fault.NoConfig, outageRetry(age), "%s, but the configuration may be out of date", text)
	}
	return fault.New(kind, "%s", text)
}

// outageRetry returns when to come back after an outage of the platform that has
// lasted a time so far. Such an outage is likely to last about as long again; a
// caller that comes back within it has used up its attempt.
func outageRetry(lasted time.Duration) time.Duration {
	return min(max(lasted, outageMin), outageMax)
}

// nextAttempt reports whether the request may be sent to another upstream.
func (c *call) nextAttempt() bool {
	if c.attempts == 0 {
		return true
	}
	return c.attempts < c.route.Attempts && c.server.options.Budget.Take(c.service)
}

func (c *call) priority() int {
	if c.organisation.Priority != nil {
		return *c.organisation.Priority
	}
	return c.route.Priority
}

// fingerprint identifies a request that comes again.
func (c *call) fingerprint() uint64 {
	if c.hash != 0 {
		return c.hash
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.organisation.Name + "\x00" + c.r.Host + "\x00" + c.r.RequestURI + "\x00")
	_, _ = d.Write(c.body)
	c.hash = max(1, d.Sum64())
	return c.hash
}

// ended turns the end of a context into an error: the caller left, or the time
// has passed.
func (c *call) ended(ctx context.Context) error {
	switch {
	case !errors.Is(context.Cause(ctx), errDeadline):
		return fault.New(fault.Canceled, "the caller left")
	case c.dispatched:
		return fault.New(fault.Timeout, "the time limit passed")
	}
	return refuse(fault.Overloaded, busyRetry, "the time limit passed before an upstream was free")
}

// finish answers a failed request and writes the access line.
func (c *call) finish(err error) {
	defer c.report(err)
	if err == nil {
		return
	}
	if c.started {
		// The header is sent; a broken connection is the only way left to say
		// that the answer is not whole.
		c.report(err)
		panic(http.ErrAbortHandler)
	}
	kind := fault.KindOf(err)
	if kind == fault.Canceled {
		c.status = kind.Answer().Status
		c.report(err)
		panic(http.ErrAbortHandler)
	}
	c.answer(kind, err)
}

// answer writes an error of the gateway's own.
func (c *call) answer(kind fault.Kind, err error) {
	a := kind.Answer()
	c.status = a.Status
	h := c.w.Header()
	var r refusal
	if errors.As(err, &r) {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.after.Seconds()*1000)/1000, 'f', -1, 64))
	}
	h.Set("Content-Type", "application/json")
	h.Set("X-Verbenapier-Run", string(a.Run))
	message := a.Meaning
	var e *fault.Error
	if errors.As(err, &e) {
		message = e.Message()
	}
	body, _ := json.Marshal(map[string]any{"error": map[string]string{"code": a.Code, "message": message}})
	c.w.WriteHeader(a.Status)
	// A failed write means that the caller is gone.
	_, _ = c.w.Write(body)
}

// report writes the line and the metrics of a finished request, once.
func (c *call) report(err error) {
	if c.server == nil {
		return
	}
	s := c.server
	c.server = nil
	fields := logrus.Fields{
		"event": "request", "request": c.meta.ID, "status": c.status, "service": c.service,
		"organisation": c.organisation.Name, "upstream": c.upstream, "attempts": c.attempts,
		"ms": time.Since(c.arrived).Milliseconds(), "prompt": c.meta.Prompt, "events": c.events,
	}
	if c.table != nil {
		fields["config"] = c.table.Version()
		fields["config_age_ms"] = s.options.Age().Milliseconds()
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.events > 0 {
		fields["first_ms"], fields["pause_ms"] = c.first.Milliseconds(), c.pause.Milliseconds()
	}
	if c.resumed > 0 {
		fields["resumed"] = c.resumed
	}
	outcome := "served"
	if err != nil {
		outcome = fault.KindOf(err).String()
		fields["outcome"] = outcome
		s.options.Log.WithFields(fields).WithError(err).Warn("a request failed")
	} else {
		s.options.Log.WithFields(fields).Info("a request was served")
	}
	s.metrics.request(c.service, outcome, time.Since(c.arrived))
}

// decide logs a decision on the request.
func (c *call) decide(event, text string, fields logrus.Fields) {
	fields["event"], fields["request"], fields["service"] = event, c.meta.ID, c.service
	c.server.options.Log.WithFields(fields).Info(text)
}
