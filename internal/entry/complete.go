package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// completions handles POST /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request, caller caller) {
	s.generate(w, r, caller, false)
}

// chat handles POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, caller caller) {
	s.generate(w, r, caller, true)
}

// generate runs a request that generates tokens and writes its response.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, caller caller, chat bool) {
	arrived := time.Now()
	body, hold, err := s.readBody(w, r, promptFactor)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	defer hold.Release()
	c, out, err := s.prepare(w, r, caller, body, chat, arrived)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	c.hold = hold
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errTimeLimit)
	defer cancel()
	ctx, cancel = s.options.Drain.Context(ctx, 0)
	defer cancel()
	w.Header().Set("X-Request-Id", c.id)
	s.track(c)
	defer s.untrack(c)

	err = c.run(ctx, out)
	c.observe(err)
	if err != nil && !out.fail(err) {
		s.writeError(w, r, err)
	}
}

// prepare decodes and validates a request, and returns its call and the sink
// for its response.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, caller caller, body []byte, chat bool, arrived time.Time) (*call, sink, error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, nil, decodeError(err)
	}
	if err := req.validate(); err != nil {
		return nil, nil, err
	}
	decodePrompt := req.textPrompt
	if chat {
		decodePrompt = req.chatPrompt
	}
	prompt, err := decodePrompt()
	if err != nil {
		return nil, nil, err
	}
	maxTokens, err := req.outputTokenLimit()
	if err != nil {
		return nil, nil, err
	}
	name, service, err := caller.serviceOf(req.Model)
	if err != nil {
		return nil, nil, err
	}
	deadline, err := deadlineOf(r, arrived, service.TimeLimit.Std(), service.MaxTimeLimit.Std())
	if err != nil {
		return nil, nil, err
	}
	c := s.newCall(caller, name, service, req.Model, prompt, maxTokens, arrived, deadline)
	return c, s.newSink(w, c, req, chat), nil
}

func (s *Server) newSink(w http.ResponseWriter, c *call, req completionRequest, chat bool) sink {
	fields := responseFields{id: c.id, model: req.Model, created: c.arrived.Unix(), chat: chat}
	control := http.NewResponseController(w)
	timeout := s.options.Limits.WriteTimeout
	if !req.Stream {
		return &bodySink{responseFields: fields, w: w, control: control, timeout: timeout}
	}
	return &eventSink{
		responseFields: fields, w: w, control: control, timeout: timeout,
		includeUsage: req.StreamOptions.IncludeUsage,
	}
}

// nextID returns a request id that no other node and no earlier incarnation of
// this node uses.
func (s *Server) nextID() string {
	return fmt.Sprintf("%s-%x-%x", s.options.Name, s.options.Incarnation, s.sequence.Add(1))
}
