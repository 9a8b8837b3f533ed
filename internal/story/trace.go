// Package story reconstructs from the logs of gateways what happened to one
// request.
package story

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Line is a parsed line of a log.
type Line struct {
	Time   time.Time
	Event  string
	Node   string
	Fields map[string]any
}

// Text returns the value of a field as text, or an empty string if the line has
// no such field.
func (l Line) Text(field string) string {
	if v, ok := l.Fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Trace holds the log lines about one request.
type Trace struct {
	ID    string
	Lines []Line
	// Related holds other events on the hosts and engines that handled the
	// request. Examples are an outage of the platform, a failure of the engine,
	// and an owner (the node that schedules a group of engines) that did not
	// answer.
	Related []Line
	// LinesRead counts the lines that were read, and LinesUnreadable those of
	// them that could not be parsed.
	LinesRead, LinesUnreadable int

	// contextLines holds all lines whose event is in contextEvents. Assemble
	// copies those that are related to the request into Related.
	contextLines []Line
}

// New returns a trace without lines for the request with the given id.
func New(id string) *Trace { return &Trace{ID: id} }

// contextEvents are the events that may explain the failure of a request
// although they do not name it.
var contextEvents = map[string]bool{
	"platform_lost": true, "platform_regained": true, "owner_silent": true, "engine_failed": true, "upstream_gone": true,
	"upstream_lapsed": true, "member_state": true, "leaving": true, "left": true, "started": true, "stopped": true,
	"config_in_force": true, "log_lines_dropped": true,
}

// Add reads a log. Lines that cannot be parsed are counted in LinesUnreadable.
func (t *Trace) Add(r io.Reader) error {
	read, unreadable, err := Scan(r, func(line Line) {
		switch {
		case t.isAboutRequest(line):
			t.Lines = append(t.Lines, line)
		case contextEvents[line.Event]:
			t.contextLines = append(t.contextLines, line)
		}
	})
	t.LinesRead += read
	t.LinesUnreadable += unreadable
	return err
}

// isAboutRequest reports whether a line is about the request.
func (t *Trace) isAboutRequest(l Line) bool { return l.RequestID() == t.ID }

// Assemble sorts the lines by time and fills Related. It returns an error of kind
// NotFound if no line is about the request.
func (t *Trace) Assemble() error {
	if len(t.Lines) == 0 {
		return fault.New(fault.NotFound, "no line of %d is about request %s", t.LinesRead, t.ID)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	// An event up to two seconds before the request may be a cause, because a
	// host's lists of engines and of failures may be out of date for that long.
	const margin = 2 * time.Second
	begin, end := t.Lines[0].Time.Add(-margin), t.Lines[len(t.Lines)-1].Time
	// The request arrived before its first line was written. The time between
	// them is at most the duration of the request, which the last line holds.
	if took, ok := t.Lines[len(t.Lines)-1].Fields["ms"].(float64); ok {
		begin = begin.Add(-time.Duration(took) * time.Millisecond)
	}
	for _, l := range t.contextLines {
		if !l.Time.Before(begin) && !l.Time.After(end) && t.related(l) {
			t.Related = append(t.Related, l)
		}
	}
	slices.SortStableFunc(t.Related, byTime)
	return nil
}

// related reports whether a line concerns a host or an engine that handled the
// request.
func (t *Trace) related(l Line) bool {
	for _, own := range t.Lines {
		if l.Node != "" && l.Node == own.Node && l.Event != "member_state" {
			return true
		}
		if up := own.Text("upstream"); up != "" && up == l.Text("upstream") {
			return true
		}
	}
	return false
}

// Cause returns one sentence on how the request ended and why, as far as the
// log lines show it.
func (t *Trace) Cause() string {
	final := t.lastLineOf("request")
	if final == nil {
		return "The host that took the request wrote no final line: the host may have ended, or the line was dropped."
	}
	status, errorText := final.Text("status"), final.Text("error")
	switch final.Text("outcome") {
	case "":
		if n := len(t.linesOf("broken")); n > 0 {
			return fmt.Sprintf("Served with status %s after %d broken attempts; the stream went on at another engine.", status, n)
		}
		return fmt.Sprintf("Served with status %s.", status)
	case "overloaded":
		if r := t.lastLineOf("refused"); r != nil {
			return fmt.Sprintf("Refused by the scheduler, not run: %s; the caller was told to come back after %s ms.", r.Text("reason"), r.Text("retry_after_ms"))
		}
		return "Refused, not run: " + errorText + "."
	case "upstream_lost":
		if b := t.lastLineOf("broken"); b != nil {
			return fmt.Sprintf("Upstream %s broke off after %s events (%s), and the request could not go on at another engine.", b.Text("upstream"), b.Text("events"), b.Text("error"))
		}
		return fmt.Sprintf("Sent to upstream %s, which did not answer as it should; whether it ran is unknown: %s.", final.Text("upstream"), errorText)
	case "time_limit_exceeded":
		return fmt.Sprintf("Upstream %s had not answered when the time limit passed after %s ms.", final.Text("upstream"), final.Text("ms"))
	case "host_stopped":
		return fmt.Sprintf("The host stopped %s ms after its signal while the request was %s, before the answer was complete.", final.Text("leaving_ms"), final.Text("stage"))
	case "canceled":
		return fmt.Sprintf("The caller left after %s ms.", final.Text("ms"))
	}
	return fmt.Sprintf("Answered %s: %s.", status, errorText)
}

// linesOf returns the lines of the request that have the given event.
func (t *Trace) linesOf(event string) []Line {
	return slices.DeleteFunc(slices.Clone(t.Lines), func(l Line) bool { return l.Event != event })
}

// lastLineOf returns the last line of the request that has the given event, or
// nil.
func (t *Trace) lastLineOf(event string) *Line {
	lines := t.linesOf(event)
	if len(lines) == 0 {
		return nil
	}
	return &lines[len(lines)-1]
}

// Details returns the fields of a line, except those that are printed in
// columns (time, event, node), the level, the message and the request id.
func (l Line) Details() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		switch name {
		case "time", "event", "node", "level", "msg", "request":
			continue
		}
		if v := l.Text(name); v != "" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, " ")
}
