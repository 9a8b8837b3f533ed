package entry

import "time"

// RequestView is what operators see of a request in flight. It holds no prompt
// text.
type RequestView struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Organisation string        `json:"organisation"`
	Model        string        `json:"model"`
	Phase        string        `json:"phase"`
	Engine       string        `json:"engine,omitempty"`
	PromptTokens int           `json:"prompt_tokens"`
	Fingerprint  string        `json:"fingerprint"`
	Age          time.Duration `json:"age_ns"`
	Remaining    time.Duration `json:"remaining_ns"`
}

// Requests returns the requests in flight that generate tokens.
func (s *Server) Requests() []RequestView {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RequestView, 0, len(s.calls))
	for _, c := range s.calls {
		phase, _ := c.phase.Load().(string)
		engine, _ := c.engine.Load().(string)
		list = append(list, RequestView{
			ID: c.id, Service: c.service, Organisation: c.organisation, Model: c.model,
			Phase: phase, Engine: engine, PromptTokens: c.promptTokens, Fingerprint: c.fingerprint,
			Age: time.Since(c.arrived), Remaining: time.Until(c.deadline),
		})
	}
	return list
}

func (s *Server) track(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c.id] = c
}

func (s *Server) untrack(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c.id)
}
