package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/place"
)

// seeker looks for another engine while the one of an attempt is silent. The
// attempt is left only for a place that was found: an engine that pauses may go
// on, and a request that is cut without a place elsewhere is lost.
type seeker struct {
	call *call
	ctx  context.Context
	// leave ends the attempt.
	leave context.CancelCauseFunc
	// allowed says that the request may be sent to another engine.
	allowed bool
	running sync.WaitGroup

	mu     sync.Mutex
	timer  *time.Timer
	cancel context.CancelFunc
	grant  *place.Grant
}

// newSeeker returns a seeker for the next attempt. The context is the attempt's.
func (c *call) newSeeker(ctx context.Context, leave context.CancelCauseFunc) *seeker {
	return &seeker{
		call: c, ctx: ctx, leave: leave, cancel: func() {},
		allowed: c.route.Repeatable() && c.attempts+1 < c.route.Attempts,
	}
}

// watch looks for a place when the engine stays silent for a time. It ends an
// earlier search. The request describes what is left at that time.
func (s *seeker) watch(silence time.Duration, req place.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halt()
	if !s.allowed || s.grant != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	s.running.Add(1)
	s.timer = time.AfterFunc(silence, func() {
		defer s.running.Done()
		s.seek(ctx, req)
	})
}

// halt ends the search. The caller holds mu.
func (s *seeker) halt() {
	s.cancel()
	if s.timer != nil && s.timer.Stop() {
		s.running.Done()
	}
	s.timer = nil
}

// stop ends the search and returns the place that was found, or nil.
func (s *seeker) stop() *place.Grant {
	s.mu.Lock()
	s.halt()
	s.mu.Unlock()
	s.running.Wait()
	return s.grant
}

func (s *seeker) seek(ctx context.Context, req place.Request) {
	c, o := s.call, s.call.server.options
	v, err := o.Placer.Acquire(ctx, req)
	reason := ""
	switch {
	case err != nil:
		reason = err.Error()
	case v.Refusal != nil:
		reason = v.Refusal.Reason
	case slices.Contains(req.Avoid, v.Grant.Upstream.ID):
		reason = "only the silent engine has room"
	case ctx.Err() != nil:
		reason = "the engine went on"
	case !o.Budget.Take(c.service):
		reason = "the budget of further attempts is used up"
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		if ctx.Err() == nil {
			s.grant = v.Grant
			s.leave(errSilent)
			return
		}
		reason = "the engine went on"
	}
	c.giveBack(v.Grant)
	c.decide("kept", "a request stays with a silent engine", logrus.Fields{"upstream": c.upstream, "reason": reason})
}
