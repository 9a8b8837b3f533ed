package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// The outcomes of a request.
const (
	// outcomeOK is a complete and correct answer.
	outcomeOK = "ok"
	// outcomeRefused is an error status instead of an answer.
	outcomeRefused = "refused"
	// outcomeFailed is an error after a part of an answer that was correct so far.
	outcomeFailed = "failed"
	// outcomeWrong is an answer that differs from the expected one.
	outcomeWrong = "wrong"
	// outcomeTruncated is an answer that ends with [DONE] before it is complete.
	outcomeTruncated = "truncated"
	// outcomeUnanswered is a request whose last attempt ended without an
	// answer or error.
	outcomeUnanswered = "unanswered"
)

// hostLeaving is the error code of an entry host that takes no new requests.
const hostLeaving = "host_leaving"

// runHeader is the header of an error answer that says whether the request was run,
// that is, executed. Its value is called the run state.
const runHeader = "X-Verbenapier-Run"

// maxEvent is the maximum size of an event of a stream in bytes.
const maxEvent = 1 << 20

// apiError is the error in a body or a stream event of the interface for callers.
type apiError struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
}

// streamEvent is an event of a streamed completion.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

// result is the result of an attempt, or of a request after its last attempt. An
// empty outcome means that the connection ended before the answer was complete.
type result struct {
	outcome string
	code    string // of the error
	run     string // run state: value of runHeader
	tokens  int
	// maybeRan says that an earlier attempt of the request may have run, because
	// its connection failed before the answer was complete.
	maybeRan bool
	// unsent says that the connection could not be opened.
	unsent bool
}

// readError reads an answer with an error status.
func readError(resp *http.Response) result {
	var body struct {
		Error apiError `json:"error"`
	}
	r := result{outcome: outcomeRefused, run: resp.Header.Get(runHeader)}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil && r.run == "" {
		// Without the header, an error body that can't be read counts as a
		// broken connection, after which the request is sent again.
		return result{}
	}
	r.code = errorCode(body.Error, resp.Status)
	return r
}

// errorCode returns the code of an error, its type if it has no code, or fallback if
// it has neither.
func errorCode(e apiError, fallback string) string {
	switch {
	case e.Code != "":
		return e.Code
	case e.Type != "":
		return e.Type
	}
	return fallback
}

// checker compares the text of a stream with the answer expected for its prompt.
type checker struct {
	remaining  string // expected text that has not been received yet
	wrong      bool
	first      time.Time           // when the first event with text was received
	last       time.Time           // when the last event with text was received
	onInterval func(time.Duration) // called with the time between two events with text
}

func newChecker(prompt string, tokens int, onInterval func(time.Duration)) *checker {
	return &checker{remaining: reply.NewSource(prompt).Text(tokens), onInterval: onInterval}
}

// add checks the text of one event.
func (c *checker) add(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.onInterval(now.Sub(c.last))
	}
	c.last = now
	if !strings.HasPrefix(c.remaining, text) {
		c.wrong = true
		return
	}
	c.remaining = c.remaining[len(text):]
}

// outcome returns the outcome of a stream that ended with [DONE].
func (c *checker) outcome() string {
	switch {
	case c.wrong:
		return outcomeWrong
	case c.remaining != "":
		return outcomeTruncated
	}
	return outcomeOK
}

// readStream reads and checks a streamed completion. The error says why the stream
// ended without [DONE] or an error event.
func (c *checker) readStream(body io.Reader) (result, error) {
	events := bufio.NewScanner(body)
	events.Buffer(nil, maxEvent)
	for events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return result{outcome: c.outcome()}, nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return result{outcome: outcomeWrong}, err
		}
		if event.Error != nil {
			if c.wrong {
				return result{outcome: outcomeWrong}, nil
			}
			return result{outcome: outcomeFailed, code: errorCode(*event.Error, "unnamed"), run: "yes"}, nil
		}
		for _, choice := range event.Choices {
			c.add(choice.Text)
		}
	}
	if c.wrong {
		return result{outcome: outcomeWrong}, nil
	}
	if err := events.Err(); err != nil {
		return result{}, err
	}
	return result{}, errors.New("stream ended without [DONE]")
}
