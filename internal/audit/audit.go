// Package audit sums up the logs of gateways: where callers lost, at which times and
// for what reason.
package audit

import (
	"io"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/story"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// lateRefusal is the time from which a refusal counts as late: the caller could have
// tried elsewhere meanwhile.
const lateRefusal = 100 * time.Millisecond

// Audit collects the lines of logs.
type Audit struct {
	linesRead, linesUnreadable int
	grants                     map[string]grant
	// sent holds, by request, the host that sent it to an upstream and when.
	sent     map[string]sending
	requests []request
}

// grant is what the scheduler logged about the first placement of a request.
type grant struct {
	waited, expected time.Duration
	grantedAt        time.Time
}

type sending struct {
	route string
	at    time.Time
}

// request is the final line of a request.
type request struct {
	id, route, outcome   string
	arrived              time.Time
	took                 time.Duration
	goal, gap            time.Duration
	firstEvent, longest  time.Duration
	hasFirstEvent        bool
	prompt, status       int
	attempts, resumption int
}

// New returns an audit without lines.
func New() *Audit {
	return &Audit{grants: map[string]grant{}, sent: map[string]sending{}}
}

// Add reads a log. Lines that cannot be parsed are counted.
func (a *Audit) Add(r io.Reader) error {
	read, unreadable, err := story.Scan(r, a.addLine)
	a.linesRead += read
	a.linesUnreadable += unreadable
	return err
}

func (a *Audit) addLine(l story.Line) {
	id := l.RequestID()
	switch l.Event {
	case "granted":
		if _, ok := a.grants[id]; !ok {
			g := grant{grantedAt: l.Time}
			g.waited, _ = l.Millis("waited_ms")
			g.expected, _ = l.Millis("expected_ms")
			a.grants[id] = g
		}
	case "sent":
		// The line names no route.
		a.sent[id] = sending{route: "service " + l.Text("service"), at: l.Time}
	case "request":
		a.requests = append(a.requests, newRequest(l))
	}
}

func newRequest(l story.Line) request {
	r := request{
		id: l.RequestID(), route: l.Text("route"), outcome: l.Text("outcome"),
		prompt: l.Int("prompt"), status: l.Int("status"), attempts: l.Int("attempts"), resumption: l.Int("resumed"),
	}
	r.took, _ = l.Millis("ms")
	r.arrived = l.Time.Add(-r.took)
	r.goal, _ = l.Millis("goal_ms")
	r.gap, _ = l.Millis("gap_goal_ms")
	r.firstEvent, r.hasFirstEvent = l.Millis("first_ms")
	r.longest, _ = l.Millis("pause_ms")
	return r
}

// Report sums up all lines in windows of the given length. The error is NotFound if
// no line is the final line of a request.
func (a *Audit) Report(window time.Duration) (*Report, error) {
	if len(a.requests) == 0 {
		return nil, fault.New(fault.NotFound, "none of %d lines is the final line of a request", a.linesRead)
	}
	if window <= 0 {
		return nil, fault.New(fault.Invalid, "the window must be positive")
	}
	slices.SortFunc(a.requests, func(x, y request) int { return x.arrived.Compare(y.arrived) })
	r := newReport(a.requests[0].arrived.Truncate(window), window, a.linesRead, a.linesUnreadable)
	final := map[string]bool{}
	for _, req := range a.requests {
		final[req.id] = true
		g, granted := a.grants[req.id]
		r.add(req.route, req.arrived, causeOf(req, g))
		if granted {
			r.addGrant(req, g)
		}
	}
	for id, s := range a.sent {
		if !final[id] {
			r.add(s.route, s.at, LostWithHost)
		}
	}
	r.finish()
	return r, nil
}
