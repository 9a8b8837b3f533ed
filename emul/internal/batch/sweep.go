package batch

import (
	"context"
	"time"
)

// runSweep ends streams past their deadline, removes streams without a reader and
// expired allocations, and updates the load report, until ctx ends.
func (e *Engine) runSweep(ctx context.Context) {
	for sleep(ctx, sweepInterval) && e.cfg.Control.Wait(ctx) == nil {
		e.sweep(time.Now())
	}
}

func (e *Engine) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		switch {
		case s.readers == 0 && now.Sub(s.detachedAt) >= DetachedTTL:
			e.remove(s, "no reader")
		case !s.done && !s.deadline.IsZero() && now.After(s.deadline):
			e.end(s, "time limit exceeded")
		}
	}
	for key, a := range e.allocations {
		if !a.expires.IsZero() && !now.Before(a.expires) {
			e.release(key)
		}
	}
	if now.Sub(e.reportedAt) >= e.cfg.LoadInterval {
		e.updateReport(now)
	}
}
