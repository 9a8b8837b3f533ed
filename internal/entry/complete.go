package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// completions answers POST /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request, who caller) {
	s.generate(w, r, who, false)
}

// chat answers POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, who caller) {
	s.generate(w, r, who, true)
}

// generate runs a request that generates tokens, and answers it.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, who caller, chat bool) {
	arrived := time.Now()
	body, release, err := s.readBody(w, r)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	defer release()
	c, out, err := s.prepare(w, r, who, body, chat, arrived)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errTimeLimit)
	defer cancel()
	w.Header().Set("X-Request-Id", c.id)
	s.track(c)
	defer s.untrack(c)

	err = c.run(ctx, out)
	c.observe(err)
	if err != nil && !out.fail(err) {
		s.fail(w, r, err)
	}
}

// prepare decodes and checks a request.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, who caller, body []byte, chat bool, arrived time.Time) (*call, sink, error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, nil, malformed(err)
	}
	if err := req.validate(); err != nil {
		return nil, nil, err
	}
	read := req.textPrompt
	if chat {
		read = req.chatPrompt
	}
	prompt, err := read()
	if err != nil {
		return nil, nil, err
	}
	maxTokens, err := req.answerLength()
	if err != nil {
		return nil, nil, err
	}
	name, service, err := who.serviceOf(req.Model)
	if err != nil {
		return nil, nil, err
	}
	deadline, err := deadlineOf(r, arrived, service.TimeLimit.Std(), service.MaxTimeLimit.Std())
	if err != nil {
		return nil, nil, err
	}
	c := s.newCall(who, name, service, req.Model, prompt, maxTokens, arrived, deadline)
	return c, s.newSink(w, c, req, chat), nil
}

func (s *Server) newSink(w http.ResponseWriter, c *call, req completionRequest, chat bool) sink {
	shape := answerShape{id: c.id, model: req.Model, created: c.arrived.Unix(), chat: chat}
	control := http.NewResponseController(w)
	timeout := s.options.Limits.WriteTimeout
	if !req.Stream {
		return &bodySink{answerShape: shape, w: w, control: control, timeout: timeout}
	}
	return &eventSink{
		answerShape: shape, w: w, control: control, timeout: timeout,
		includeUsage: req.StreamOptions.IncludeUsage,
	}
}

// nextID returns a request id that no other node and no earlier incarnation of
// this node uses.
func (s *Server) nextID() string {
	return fmt.Sprintf("%s-%x-%x", s.options.Name, s.options.Incarnation, s.sequence.Add(1))
}
