package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// sink writes an answer to a caller.
type sink interface {
	// text passes on the next piece of the answer.
	text(piece string) error
	// finish ends the answer.
	finish(reason string, use usage) error
	// fail ends the answer with an error; begun says whether anything was
	// written before.
	fail(err error) (begun bool)
}

// usage is the usage object of the OpenAI API.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *usageDetails `json:"prompt_tokens_details,omitempty"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// answerShape holds what both kinds of answer repeat.
type answerShape struct {
	id      string
	model   string
	created int64
	chat    bool
}

type choice struct {
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *struct{} `json:"logprobs"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a answerShape) body(streamed bool, choices []choice, use *usage) answerBody {
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		if streamed {
			object = "chat.completion.chunk"
		}
	}
	return answerBody{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: choices, Usage: use}
}

// eventSink writes an answer as server-sent events.
type eventSink struct {
	answerShape
	w            http.ResponseWriter
	control      *http.ResponseController
	timeout      time.Duration
	includeUsage bool
	begun        bool
}

func (e *eventSink) text(piece string) error {
	c := choice{Text: &piece}
	if e.chat {
		c = choice{Delta: &chatText{Content: piece}}
		if !e.begun {
			c.Delta.Role = "assistant"
		}
	}
	return e.send(e.body(true, []choice{c}, nil))
}

func (e *eventSink) finish(reason string, use usage) error {
	empty := ""
	c := choice{Text: &empty, FinishReason: &reason}
	if e.chat {
		c = choice{Delta: &chatText{}, FinishReason: &reason}
	}
	if err := e.send(e.body(true, []choice{c}, nil)); err != nil {
		return err
	}
	if e.includeUsage {
		if err := e.send(e.body(true, []choice{}, &use)); err != nil {
			return err
		}
	}
	return e.write("data: [DONE]\n\n")
}

// fail sends the error as an event when the answer has begun; the missing
// [DONE] tells the caller that the answer is not whole.
func (e *eventSink) fail(err error) bool {
	if e.begun {
		_ = e.send(newErrorBody(err))
	}
	return e.begun
}

func (e *eventSink) send(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encoding an event")
	}
	return e.write("data: " + string(data) + "\n\n")
}

func (e *eventSink) write(event string) error {
	if !e.begun {
		e.begun = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(e.timeout))
	if _, err := e.w.Write([]byte(event)); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller does not read")
	}
	if err := e.control.Flush(); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller does not read")
	}
	return nil
}

// bodySink collects an answer and writes it as one body.
type bodySink struct {
	answerShape
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	all     strings.Builder
}

func (b *bodySink) text(piece string) error {
	b.all.WriteString(piece)
	return nil
}

func (b *bodySink) finish(reason string, use usage) error {
	all := b.all.String()
	c := choice{Text: &all, FinishReason: &reason}
	if b.chat {
		c = choice{Message: &chatText{Role: "assistant", Content: all}, FinishReason: &reason}
	}
	_ = b.control.SetWriteDeadline(time.Now().Add(b.timeout))
	b.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(b.w).Encode(b.body(false, []choice{c}, &use)); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller does not read")
	}
	return nil
}

func (b *bodySink) fail(error) bool { return false }
