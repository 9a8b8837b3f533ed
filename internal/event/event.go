// Package event splits a server-sent event stream into whole events.
package event

import (
	"bytes"
	"strconv"
)

// Splitter collects the bytes of a stream and gives back whole events. Its
// zero value is ready for use.
type Splitter struct {
	pending []byte
	// scanned is how much of pending holds no end of an event.
	scanned int
}

// Event is one whole event.
type Event struct {
	// Raw are the bytes of the event with the blank line that ends it.
	Raw []byte
	// ID is the event's number; HasID is false when it has none.
	ID    int64
	HasID bool
}

// Add appends bytes of the stream.
func (s *Splitter) Add(p []byte) { s.pending = append(s.pending, p...) }

// Next returns the next whole event. Its bytes are valid until the next Add.
func (s *Splitter) Next() (Event, bool) {
	for {
		i := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if i < 0 {
			return Event{}, false
		}
		end := s.scanned + i + 1
		s.scanned = end
		if !endsBlank(s.pending[:end]) {
			continue
		}
		raw := s.pending[:end:end]
		s.pending, s.scanned = s.pending[end:], 0
		id, ok := idOf(raw)
		return Event{Raw: raw, ID: id, HasID: ok}, true
	}
}

// Partial returns how many bytes belong to an event that has not ended.
func (s *Splitter) Partial() int { return len(s.pending) }

// endsBlank reports whether text that ends with a line feed ends with a blank
// line.
func endsBlank(text []byte) bool {
	line := bytes.TrimSuffix(text[:len(text)-1], []byte("\r"))
	return len(line) == 0 || line[len(line)-1] == '\n'
}

func idOf(raw []byte) (int64, bool) {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
