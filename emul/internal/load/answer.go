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
	// outcomeOK is a whole answer.
	outcomeOK = "ok"
	// outcomeRefused is an error in place of an answer.
	outcomeRefused = "refused"
	// outcomeFailed is an error after a correct part of the answer.
	outcomeFailed = "failed"
	// outcomeWrong is a text that differs from the prompt's own answer.
	outcomeWrong = "wrong"
	// outcomeTruncated is an answer that claims to be whole and is not.
	outcomeTruncated = "truncated"
	// outcomeUnanswered is a request whose last attempt ended without an
	// answer or error.
	outcomeUnanswered = "unanswered"
)

// hostLeaving is the error code of an entry host that takes no new requests.
const hostLeaving = "host_leaving"

// runHeader says on an error whether the request was run.
const runHeader = "X-Verbenapier-Run"

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// apiError is the error body of the callers' interface.
type apiError struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
}

// chunk is an event of a streamed completion.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

// result is what an attempt led to. An empty outcome means that the connection
// ended before the answer did.
type result struct {
	outcome string
	code    string
	run     string
	tokens  int
	// unsure says that an earlier attempt may have run.
	unsure bool
	// unsent says that there was no connection to send the request on.
	unsent bool
}

// readError reads an answer with an error status.
func readError(resp *http.Response) result {
	var body struct {
		Error apiError `json:"error"`
	}
	r := result{outcome: outcomeRefused, run: resp.Header.Get(runHeader)}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil && r.run == "" {
		// An error body that is cut short is no answer.
		return result{}
	}
	r.code = errorCode(body.Error, resp.Status)
	return r
}

func errorCode(e apiError, otherwise string) string {
	switch {
	case e.Code != "":
		return e.Code
	case e.Type != "":
		return e.Type
	}
	return otherwise
}

// checker compares the text of a stream with the prompt's own answer.
type checker struct {
	rest     string // of the expected text
	wrong    bool
	first    time.Time
	last     time.Time
	interval func(time.Duration)
}

func newChecker(prompt string, tokens int, interval func(time.Duration)) *checker {
	return &checker{rest: reply.NewSource(prompt).Text(tokens), interval: interval}
}

func (c *checker) add(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.interval(now.Sub(c.last))
	}
	c.last = now
	if !strings.HasPrefix(c.rest, text) {
		c.wrong = true
		return
	}
	c.rest = c.rest[len(text):]
}

// end returns the outcome of a stream that ended regularly.
func (c *checker) end() string {
	switch {
	case c.wrong:
		return outcomeWrong
	case c.rest != "":
		return outcomeTruncated
	}
	return outcomeOK
}

// readStream reads the events of a streamed completion.
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
			return result{outcome: c.end()}, nil
		}
		var part chunk
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return result{outcome: outcomeWrong}, err
		}
		if part.Error != nil {
			if c.wrong {
				return result{outcome: outcomeWrong}, nil
			}
			return result{outcome: outcomeFailed, code: errorCode(*part.Error, "unnamed"), run: "yes"}, nil
		}
		for _, choice := range part.Choices {
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
