package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// sink writes the response of a request that generates tokens.
type sink interface {
	// writeText adds the next piece of the generated text.
	writeText(piece string) error
	// finish ends the response.
	finish(reason string, tokenUsage usage) error
	// fail reports whether a part of the response was already written. If so,
	// it ends the response with the error.
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

// responseFields holds the fields that streamed and non-streamed responses
// share.
type responseFields struct {
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

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (f responseFields) response(streamed bool, choices []choice, tokenUsage *usage) completionResponse {
	object := "text_completion"
	if f.chat {
		object = "chat.completion"
		if streamed {
			object = "chat.completion.chunk"
		}
	}
	return completionResponse{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: choices, Usage: tokenUsage}
}

// eventSink writes a response as server-sent events.
type eventSink struct {
	responseFields
	w            http.ResponseWriter
	control      *http.ResponseController
	timeout      time.Duration
	includeUsage bool
	headerSent   bool
}

func (e *eventSink) writeText(piece string) error {
	c := choice{Text: &piece}
	if e.chat {
		c = choice{Delta: &chatText{Content: piece}}
		if !e.headerSent {
			c.Delta.Role = "assistant"
		}
	}
	return e.send(e.response(true, []choice{c}, nil))
}

func (e *eventSink) finish(reason string, tokenUsage usage) error {
	empty := ""
	c := choice{Text: &empty, FinishReason: &reason}
	if e.chat {
		c = choice{Delta: &chatText{}, FinishReason: &reason}
	}
	if err := e.send(e.response(true, []choice{c}, nil)); err != nil {
		return err
	}
	if e.includeUsage {
		if err := e.send(e.response(true, []choice{}, &tokenUsage)); err != nil {
			return err
		}
	}
	return e.write("data: [DONE]\n\n")
}

// fail sends the error as an event if the response has begun. The missing
// [DONE] event tells the caller that the response is incomplete.
func (e *eventSink) fail(err error) bool {
	if e.headerSent {
		_ = e.send(newErrorBody(err))
	}
	return e.headerSent
}

func (e *eventSink) send(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encoding an event")
	}
	return e.write("data: " + string(data) + "\n\n")
}

func (e *eventSink) write(event string) error {
	if !e.headerSent {
		e.headerSent = true
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

// bodySink collects the generated text and writes the response as one body.
type bodySink struct {
	responseFields
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	text    strings.Builder
}

func (b *bodySink) writeText(piece string) error {
	b.text.WriteString(piece)
	return nil
}

func (b *bodySink) finish(reason string, tokenUsage usage) error {
	text := b.text.String()
	c := choice{Text: &text, FinishReason: &reason}
	if b.chat {
		c = choice{Message: &chatText{Role: "assistant", Content: text}, FinishReason: &reason}
	}
	_ = b.control.SetWriteDeadline(time.Now().Add(b.timeout))
	b.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(b.w).Encode(b.response(false, []choice{c}, &tokenUsage)); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller does not read")
	}
	return nil
}

func (b *bodySink) fail(error) bool { return false }
