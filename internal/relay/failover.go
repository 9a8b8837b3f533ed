package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/place"
)

// failover looks for another engine while the engine of an attempt is silent,
// that is, sends no events. The attempt is ended only after another engine was
// granted: a silent engine may continue, whereas a request whose attempt ends
// without another engine is lost.
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

// arm starts a search for another engine after the given silence. It cancels an
// earlier search. The request describes what will be left to generate after the
// silence.
func (f *failover) arm(silence time.Duration, req place.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reset()
	if !f.allowed || f.grant != nil {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancel = cancel
	f.running.Add(1)
	f.timer = time.AfterFunc(silence, func() {
		defer f.running.Done()
		// A timer runs outside the goroutine that serves the request.
		if err := guard.Do(ctx, f.call.server.options.Log, "failover", func(ctx context.Context) error { f.search(ctx, req); return nil }); err != nil {
			f.call.server.metrics.recordPanic()
			f.call.logDecision("search_failed", "the search for another engine failed unexpectedly; the request stays with its engine", logrus.Fields{
				"upstream": f.call.upstream, "error": err.Error(),
			})
		}
	})
}

// reset stops the timer and cancels a running search. The caller holds mu.
func (f *failover) reset() {
	f.cancel()
	if f.timer != nil && f.timer.Stop() {
		f.running.Done()
	}
	f.timer = nil
}

// forbid keeps the request with its engine.
func (f *failover) forbid() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowed = false
	f.reset()
}

// stop ends the search and returns the grant that it obtained, or nil.
func (f *failover) stop() *place.Grant {
	guard.Locked(&f.mu, f.reset)
	f.running.Wait()
	return f.grant
}

// search asks the scheduler for another engine. If one is granted while the
// current engine is still silent, it ends the attempt; otherwise the attempt
// continues.
func (f *failover) search(ctx context.Context, req place.Request) {
	c, o := f.call, f.call.server.options
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
		f.mu.Lock()
		defer f.mu.Unlock()
		if ctx.Err() == nil {
			f.grant = v.Grant
			f.cancelAttempt(errUnresponsive)
			return
		}
		reason = "the engine is no longer silent"
	}
	c.returnGrant(v.Grant)
	c.logDecision("kept", "a request stays with a silent engine", logrus.Fields{"upstream": c.upstream, "reason": reason})
}
