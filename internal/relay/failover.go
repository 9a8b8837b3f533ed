package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/place"
)

// failover looks for another engine while the engine of an attempt is silent.
// The attempt is given up only after another engine was granted: a silent
// engine may continue, whereas a request that is cut off without another engine
// is lost.
type failover struct {
	call *call
	ctx  context.Context
	// cancelAttempt cancels the attempt.
	cancelAttempt context.CancelCauseFunc
	// allowed says whether the request may be sent to another engine.
	allowed bool
	// running counts armed timers and running searches.
	running sync.WaitGroup

	mu    sync.Mutex
	timer *time.Timer
	// cancel ends the running search.
	cancel context.CancelFunc
	// grant is the grant that a search obtained, or nil.
	grant *place.Grant
}

// newFailover returns the failover of the next attempt. The context is that of
// the attempt.
func (c *call) newFailover(ctx context.Context, cancelAttempt context.CancelCauseFunc) *failover {
	return &failover{
		call: c, ctx: ctx, cancelAttempt: cancelAttempt, cancel: func() {},
		allowed: c.route.Repeatable() && c.attempts+1 < c.route.Attempts,
	}
}

// arm starts a search for another engine after the given silence, in place of
// an earlier search. The request describes what will be left to generate by
// then.
func (s *failover) arm(silence time.Duration, req place.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	if !s.allowed || s.grant != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	s.running.Add(1)
	s.timer = time.AfterFunc(silence, func() {
		defer s.running.Done()
		s.search(ctx, req)
	})
}

// reset stops the timer and cancels a running search. The caller holds mu.
func (s *failover) reset() {
	s.cancel()
	if s.timer != nil && s.timer.Stop() {
		s.running.Done()
	}
	s.timer = nil
}

// stop ends the search and returns the grant that it obtained, or nil.
func (s *failover) stop() *place.Grant {
	s.mu.Lock()
	s.reset()
	s.mu.Unlock()
	s.running.Wait()
	return s.grant
}

// search asks the scheduler for another engine. If one is granted while the
// current engine is still silent, it ends the attempt; otherwise the attempt
// continues.
func (s *failover) search(ctx context.Context, req place.Request) {
	c, o := s.call, s.call.server.options
	v, err := o.Placer.Acquire(ctx, req)
	reason := ""
	switch {
	case err != nil:
		reason = err.Error()
	case v.Refusal != nil:
		reason = v.Refusal.Reason
	case slices.Contains(req.Avoid, v.Grant.Upstream.ID):
		reason = "no engine other than those to avoid has a free slot"
	case ctx.Err() != nil:
		reason = "the engine is no longer silent"
	case !o.Budget.Take(c.service):
		reason = "the budget of further attempts is used up"
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		if ctx.Err() == nil {
			s.grant = v.Grant
			s.cancelAttempt(errSilent)
			return
		}
		reason = "the engine is no longer silent"
	}
	c.returnGrant(v.Grant)
	c.logDecision("kept", "a request stays with a silent engine", logrus.Fields{"upstream": c.upstream, "reason": reason})
}
