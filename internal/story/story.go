// Package story finds what happened to one request in the logs of gateways.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is a line of a log.
type Line struct {
	Time   time.Time
	Event  string
	Node   string
	Fields map[string]any
}

// text returns a field as text, or an empty one.
func (l Line) text(field string) string {
	if v, ok := l.Fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Story is what the logs say of a request.
type Story struct {
	ID    string
	Lines []Line
	// Around are lines of the hosts and engines that took part which are not
	// about the request: dependencies lost, engines failed, owners silent.
	Around []Line
	// Read and Bad count the lines that were read and that are no log lines.
	Read, Bad int

	others []Line
}

// New returns an empty story of a request.
func New(id string) *Story { return &Story{ID: id} }

// surroundings are the events that may explain a failure elsewhere.
var surroundings = map[string]bool{
	"platform_lost": true, "platform_regained": true, "owner_silent": true, "engine_failed": true, "upstream_gone": true,
	"upstream_lapsed": true, "member_state": true, "leaving": true, "left": true, "started": true, "stopped": true,
	"config_in_force": true, "log_lines_dropped": true,
}

// Add reads a log. Lines that cannot be read are counted.
func (s *Story) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		s.Read++
		// Collectors put a time or a host before the line.
		if at := strings.IndexByte(text, '{'); at >= 0 {
			text = text[at:]
		}
		line, ok := parse(text)
		switch {
		case !ok:
			s.Bad++
		case s.about(line):
			s.Lines = append(s.Lines, line)
		case surroundings[line.Event]:
			s.others = append(s.others, line)
		}
	}
	return fault.Wrap(fault.Invalid, scanner.Err(), "the log cannot be read")
}

func parse(text string) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Event, l.Node = l.text("event"), l.text("node")
	at, err := time.Parse(time.RFC3339Nano, l.text("time"))
	l.Time = at
	return l, l.Event != "" && err == nil
}

// about reports whether a line is about the request. An attempt at the
// scheduler is named by the request's id, a slash and a number.
func (s *Story) about(l Line) bool {
	id, _, _ := strings.Cut(l.text("request"), "/")
	return id == s.ID
}

// Tell puts the lines in order and finds those around them. NotFound says that
// the logs do not mention the request.
func (s *Story) Tell() error {
	if len(s.Lines) == 0 {
		return fault.New(fault.NotFound, "no line of %d is about request %s", s.Read, s.ID)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	// A cause shows up to two seconds before the request: lists of engines and
	// failures are that old at most.
	const margin = 2 * time.Second
	begin, end := s.Lines[0].Time.Add(-margin), s.Lines[len(s.Lines)-1].Time
	if took, ok := s.Lines[len(s.Lines)-1].Fields["ms"].(float64); ok {
		begin = begin.Add(-time.Duration(took) * time.Millisecond)
	}
	for _, l := range s.others {
		if !l.Time.Before(begin) && !l.Time.After(end) && s.related(l) {
			s.Around = append(s.Around, l)
		}
	}
	slices.SortStableFunc(s.Around, byTime)
	return nil
}

// related reports whether a line concerns a host or an engine of the request.
func (s *Story) related(l Line) bool {
	for _, own := range s.Lines {
		if l.Node != "" && l.Node == own.Node && l.Event != "member_state" {
			return true
		}
		if up := own.text("upstream"); up != "" && up == l.text("upstream") {
			return true
		}
	}
	return false
}

// Cause returns one sentence on how the request ended and why, as far as the
// lines say.
func (s *Story) Cause() string {
	final := s.last("request")
	if final == nil {
		return "The host that took the request wrote no final line: it may have ended, or the line was dropped."
	}
	status, why := final.text("status"), final.text("error")
	switch final.text("outcome") {
	case "":
		if n := len(s.all("broken")); n > 0 {
			return fmt.Sprintf("Served with status %s after %d broken attempts; the stream went on elsewhere.", status, n)
		}
		return fmt.Sprintf("Served with status %s.", status)
	case "overloaded":
		if r := s.last("refused"); r != nil {
			return fmt.Sprintf("Refused by the scheduler, not run: %s; the caller was told to come back after %s ms.", r.text("reason"), r.text("retry_after_ms"))
		}
		return "Refused, not run: " + why + "."
	case "upstream_lost":
		if b := s.last("broken"); b != nil {
			return fmt.Sprintf("Upstream %s broke off after %s events (%s), and the request could not go on elsewhere.", b.text("upstream"), b.text("events"), b.text("error"))
		}
		return fmt.Sprintf("Sent to upstream %s, which did not answer as it should; whether it ran is unknown: %s.", final.text("upstream"), why)
	case "time_limit_exceeded":
		return fmt.Sprintf("Upstream %s had not answered when the time limit passed after %s ms.", final.text("upstream"), final.text("ms"))
	case "canceled":
		return fmt.Sprintf("The caller left after %s ms.", final.text("ms"))
	}
	return fmt.Sprintf("Answered %s: %s.", status, why)
}

func (s *Story) all(event string) []Line {
	return slices.DeleteFunc(slices.Clone(s.Lines), func(l Line) bool { return l.Event != event })
}

func (s *Story) last(event string) *Line {
	lines := s.all(event)
	if len(lines) == 0 {
		return nil
	}
	return &lines[len(lines)-1]
}

// Details returns the fields of a line but its time, host, level and text.
func (l Line) Details() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		switch name {
		case "time", "event", "node", "level", "msg", "request":
			continue
		}
		if v := l.text(name); v != "" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, " ")
}
