package answer

import (
	"bytes"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// headReader checks the heads of an answer as their bytes arrive: those of informational
// responses, and that of the final one. It is stricter than net/http, which takes a name
// with a blank for that of another field.
type headReader struct {
	// size is the number of bytes so far.
	size int64
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// inFields is set between the status line and the blank line.
	inFields bool
	// informational is set if the head is that of an informational response.
	informational bool
	// unchunked is set if the head is of a version of HTTP that has no chunks.
	unchunked bool
	// done is set after the final head.
	done bool
}

// read checks the next bytes of the answer. What follows the heads is not looked at. The
// error is UpstreamLost if the bytes are those of no answer.
func (h *headReader) read(p []byte) error {
	for !h.done {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		h.size += int64(len(p) - len(rest))
		if !ended {
			h.line = append(h.line, line...)
			return nil
		}
		if len(h.line) > 0 {
			line = append(h.line, line...)
		}
		if err := h.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	h.line = nil
	return nil
}

// readLine checks a line.
func (h *headReader) readLine(line []byte) error {
	switch {
	case !h.inFields:
		h.inFields = true
		status, err := parseStatus(line)
		h.informational = status < http.StatusOK
		h.unchunked = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return err
	case len(line) > 0:
		return h.checkField(line)
	}
	h.inFields, h.done = false, !h.informational
	return nil
}

// statusLine is a status line of the versions of HTTP that end a message in the same way.
// Its groups are the code and the reason.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9]{2})(?: (.*))?$`)

// parseStatus returns the code in a status line. Nobody asks an upstream to switch
// protocols, so a line that says it does is malformed, too.
func parseStatus(line []byte) (int, error) {
	parts := statusLine.FindSubmatch(line)
	if parts == nil || !httpguts.ValidHeaderFieldValue(string(parts[2])) {
		return 0, malformed("status line", line)
	}
	status, err := strconv.Atoi(string(parts[1]))
	if err != nil || status == http.StatusSwitchingProtocols {
		return 0, malformed("status line", line)
	}
	return status, nil
}

// checkField checks a line with a field. Lines that continue the one before are obsolete
// and may hide a field, so they are no part of an answer either.
//
// A head of HTTP/1.0 with an encoding of the transfer does not say where its body ends.
func (h *headReader) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("field", line)
	}
	if h.unchunked && strings.EqualFold(string(name), "Transfer-Encoding") {
		return malformed("framing", line)
	}
	return nil
}

// maxQuoted is how much of a malformed line is quoted in an error, in bytes.
const maxQuoted = 80

// ErrMalformed is wrapped in the error of a connection on which bytes came that are no
// answer. Their sender runs.
var ErrMalformed = errors.New("malformed head")

func malformed(what string, line []byte) error {
	return fault.Wrap(fault.UpstreamLost, ErrMalformed, "the head of the answer has a malformed %s: %q", what, line[:min(len(line), maxQuoted)])
}
