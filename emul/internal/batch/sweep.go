package batch

import (
	"context"
	"time"
)

// runSweep frees what has expired and refreshes the load report.
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
		case s.readers == 0 && now.Sub(s.detached) >= DetachedTTL:
			e.remove(s, "no reader")
		case !s.done && !s.deadline.IsZero() && now.After(s.deadline):
			e.end(s, "time limit exceeded")
		}
	}
	for key, h := range e.holds {
		if !h.expires.IsZero() && !now.Before(h.expires) {
			e.release(key)
		}
	}
	if now.Sub(e.reported) >= e.cfg.LoadLag {
		e.snapshot(now)
	}
}
