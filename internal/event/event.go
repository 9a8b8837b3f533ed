// Package event splits a stream of server-sent events into complete events.
package event

import (
	"bytes"
	"strconv"
)

// Splitter buffers the bytes of a stream and returns complete events. Its zero
// value is ready for use.
type Splitter struct {
	pending []byte
	// scanned is the number of bytes at the start of pending that are known to
	// contain no end of an event.
	scanned int
}

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event, including the blank line that ends it.
	Raw []byte
	// ID is the number in the event's id field. HasID is false if the event has no
	// such field or its value is not a number.
	ID    int64
	HasID bool
	// HasData is false for comments and blank lines, which carry nothing for the
	// reader of the stream.
	HasData bool
	// Comment is true if all lines are blank or comments, which readers skip.
	Comment bool
}

// Add appends bytes of the stream to the buffer.
func (s *Splitter) Add(p []byte) { s.pending = append(s.pending, p...) }

// Next returns the next complete event, or false if there is none yet. The event's
// bytes are valid until the next call of Add.
func (s *Splitter) Next() (Event, bool) {
	for {
		i := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if i < 0 {
			return Event{}, false
		}
		end := s.scanned + i + 1
		s.scanned = end
		if !endsWithBlankLine(s.pending[:end]) {
			continue
		}
		raw := s.pending[:end:end]
		s.pending, s.scanned = s.pending[end:], 0
		id, ok := parseID(raw)
		return Event{Raw: raw, ID: id, HasID: ok, HasData: hasData(raw), Comment: isComment(raw)}, true
	}
}

// Partial returns the number of buffered bytes that Next has not returned. Once Next
// returns false, these are the bytes of an incomplete event.
func (s *Splitter) Partial() int { return len(s.pending) }

// endsWithBlankLine reports whether the last line of text is blank. Text must end
// with a line feed.
func endsWithBlankLine(text []byte) bool {
	line := bytes.TrimSuffix(text[:len(text)-1], []byte("\r"))
	return len(line) == 0 || line[len(line)-1] == '\n'
}

// hasData reports whether an event has a data field.
func hasData(raw []byte) bool {
	return bytes.HasPrefix(raw, []byte("data")) || bytes.Contains(raw, []byte("\ndata"))
}

// isComment reports whether all lines of an event are blank or comments.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// parseID returns the number in the first id field of an event.
func parseID(raw []byte) (int64, bool) {
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
