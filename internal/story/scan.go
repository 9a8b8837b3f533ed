package story

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxLine is the longest line of a log that can be read, in bytes.
const maxLine = 1 << 20

// Scan reads a log and calls fn with each line. It returns how many lines it read,
// and how many of them could not be parsed.
func Scan(r io.Reader, fn func(Line)) (read, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		read++
		// Log collectors may prefix the line with a time or a host.
		if at := strings.IndexByte(text, '{'); at >= 0 {
			text = text[at:]
		}
		if line, ok := parse(text); ok {
			fn(line)
		} else {
			unreadable++
		}
	}
	return read, unreadable, fault.Wrap(fault.Invalid, scanner.Err(), "the log cannot be read")
}

// parse parses a line of a log. It returns false if the line is not a JSON
// object with an event and a time.
func parse(text string) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Event, l.Node = l.Text("event"), l.Text("node")
	at, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	l.Time = at
	return l, l.Event != "" && err == nil
}

// RequestID returns the id of the request that a line is about, or an empty string.
// In lines of the scheduler the id is followed by a slash and the number of the
// attempt.
func (l Line) RequestID() string {
	id, _, _ := strings.Cut(l.Text("request"), "/")
	return id
}

// Millis returns a field that holds milliseconds, or false if the line has none.
func (l Line) Millis(field string) (time.Duration, bool) {
	ms, ok := l.Fields[field].(float64)
	return time.Duration(ms * float64(time.Millisecond)), ok
}

// Int returns a field that holds a whole number, or zero.
func (l Line) Int(field string) int {
	n, _ := l.Fields[field].(float64)
	return int(n)
}
