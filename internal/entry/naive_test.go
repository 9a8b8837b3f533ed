package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// naiveHandler passes frames on as they arrive, retries after any failure
// before the first frame, and returns the last error unchanged.
type naiveHandler struct{ server *Server }

func (n naiveHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := n.server
	caller, err := s.authenticate(r)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	body, _ := io.ReadAll(r.Body)
	c, out, err := s.prepare(w, r, caller, body, false, time.Now())
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	for range maxAttempts {
		var begun bool
		if begun, err = n.attempt(ctx, c, out); begun || err == nil {
			break
		}
	}
	if err != nil && !out.fail(err) {
		s.writeError(w, r, err)
	}
}

func (n naiveHandler) attempt(ctx context.Context, c *call, out sink) (begun bool, err error) {
	options := n.server.options
	grant, err := options.Cells.Acquire(ctx, sched.Request{ID: c.id, Cell: "cell-a"})
	if err != nil {
		return false, err
	}
	frames, err := options.Engines.Start(ctx, grant.Address, engine.StartRequest{ID: grant.ID, Prompt: c.prompt, MaxTokens: c.maxTokens})
	if err != nil {
		return false, err
	}
	defer frames.Close()
	for {
		f, err := frames.Next()
		if err != nil {
			return begun, fault.Wrap(fault.UpstreamLost, err, "lost")
		}
		begun = true
		if err := out.writeText(f.Text); err != nil {
			return begun, err
		}
		if f.Done {
			return begun, out.finish(f.FinishReason, usage{})
		}
	}
}
