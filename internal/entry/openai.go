package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"reflect"
	"sort"
	"strings"

	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// defaultMaxTokens is the output token limit of a request that states none.
const defaultMaxTokens = 256

// maxOutputTokens is the maximum output token limit that a request may state.
const maxOutputTokens = 65_536

// completionRequest holds the fields of the OpenAI request bodies that are
// used here. Unknown fields are ignored, as clients of that API send many.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            chatMessages    `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int `json:"n"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// decodeError describes why a body could not be decoded.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return fault.New(fault.Invalid, "%s is a JSON %s; it must be a JSON %s", typeErr.Field, typeErr.Value, jsonType(typeErr.Type.Kind()))
	}
	return fault.Wrap(fault.Invalid, err, "the body is not a valid JSON object")
}

// jsonType returns the JSON type that decodes into a Go kind.
func jsonType(k reflect.Kind) string {
	switch k {
	case reflect.Slice:
		return "array"
	case reflect.Struct:
		return "object"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	default:
		return "number"
	}
}

// outputTokenLimit returns the maximum number of tokens to generate.
func (r *completionRequest) outputTokenLimit() (int, error) {
	limit := defaultMaxTokens
	if r.MaxTokens != nil {
		limit = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		limit = *r.MaxCompletionTokens
	}
	if limit < 1 || limit > maxOutputTokens {
		return 0, fault.New(fault.Invalid, "max_tokens is %d; allowed is 1 to %d", limit, maxOutputTokens)
	}
	return limit, nil
}

// validate checks the fields that both endpoints share.
func (r *completionRequest) validate() error {
	if r.Model == "" {
		return fault.New(fault.Invalid, "model is missing")
	}
	if r.N != nil && *r.N != 1 {
		return fault.New(fault.Invalid, "n is %d; only 1 is supported", *r.N)
	}
	return nil
}

// textPrompt returns the prompt of a completion, which is a string or a list
// of one string.
func (r *completionRequest) textPrompt() (string, error) {
	var text string
	if json.Unmarshal(r.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	count := 0
	err := eachElement(r.Prompt, func(s string) error {
		text = s
		if count++; count > 1 {
			return errManyPrompts
		}
		return nil
	})
	if err == nil && count == 1 && text != "" {
		return text, nil
	}
	return "", fault.New(fault.Invalid, "prompt must be a non-empty string or a list of one such string")
}

// errManyPrompts ends the decoding of a list of prompts.
var errManyPrompts = errors.New("more than one prompt")

// chatPrompt returns the messages of a chat as one prompt.
func (r *completionRequest) chatPrompt() (string, error) {
	if r.Messages.count == 0 {
		return "", fault.New(fault.Invalid, "messages is empty")
	}
	return r.Messages.prompt.String(), r.Messages.err
}

// chatMessages are the messages of a chat, as one prompt with a line per message. They
// are decoded one at a time: a list of many short ones takes many times its JSON.
type chatMessages struct {
	prompt strings.Builder
	count  int
	// err is the first fault of a message that is valid JSON.
	err error
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = chatMessages{}
	err := eachElement(data, func(message chatMessage) error {
		m.err = m.add(message)
		m.count++
		return m.err
	})
	if m.err == nil {
		return err
	}
	// A fault of a message counts only for requests that need the messages.
	return nil
}

func (m *chatMessages) add(message chatMessage) error {
	text, err := message.text()
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "messages[%d]", m.count)
	}
	if message.Role == "" {
		return fault.New(fault.Invalid, "messages[%d].role is missing", m.count)
	}
	for _, part := range []string{message.Role, ": ", text, "\n"} {
		m.prompt.WriteString(part)
	}
	return nil
}

// text returns the text of a message, which is a string or a list of parts.
func (m chatMessage) text() (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	type contentPart struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	var joined strings.Builder
	err := eachElement(m.Content, func(p contentPart) error {
		if p.Type != "text" {
			return fault.New(fault.Invalid, "content of type %q is not supported", p.Type)
		}
		joined.WriteString(p.Text)
		return nil
	})
	var known *fault.Error
	if err != nil && !errors.As(err, &known) {
		err = fault.New(fault.Invalid, "content must be a string or a list of text parts")
	}
	return joined.String(), err
}

// eachElement decodes the elements of a JSON array one after another and calls fn with
// each, until fn returns an error. Null is an empty array.
func eachElement[T any](data []byte, fn func(T) error) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	begin, err := decoder.Token()
	if err != nil || begin == nil {
		return err
	}
	if begin != json.Delim('[') {
		return &json.UnmarshalTypeError{Value: tokenType(begin), Type: reflect.TypeFor[[]T]()}
	}
	for decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		if err := fn(element); err != nil {
			return err
		}
	}
	return nil
}

// tokenType returns the JSON type of a value that begins with a token.
func tokenType(t json.Token) string {
	switch t.(type) {
	case string:
		return "string"
	case bool:
		return "bool"
	case float64:
		return "number"
	}
	return "object"
}

// serviceOf returns the first engine service, by name, that serves a model and
// that the caller may use.
func (c caller) serviceOf(model string) (string, confd.Service, error) {
	names := make([]string, 0, len(c.document.Services))
	for name := range c.document.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		service := c.document.Services[name]
		if service.Kind != confd.KindEngine || !c.mayUse(name) {
			continue
		}
		for _, m := range service.Models {
			if m == model {
				return name, service, nil
			}
		}
	}
	return "", confd.Service{}, fault.New(fault.NotFound, "model %q is not configured for this organisation", model)
}

// modelEntry is a model in the response of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller's organisation may use.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, caller caller) {
	seen := map[string]bool{}
	list := []modelEntry{}
	for name, service := range caller.document.Services {
		if service.Kind != confd.KindEngine || !caller.mayUse(name) {
			continue
		}
		for _, m := range service.Models {
			if !seen[m] {
				seen[m] = true
				list = append(list, modelEntry{ID: m, Object: "model", OwnedBy: "verbenapier"})
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{"list", list})
}
