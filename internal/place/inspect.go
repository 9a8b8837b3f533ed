package place

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// inspectInterval is how often engines are asked for their load while it is
	// not fully known. The load that they return is some hundred ms old.
	inspectInterval = 250 * time.Millisecond
	// inspectTimeout limits the call to one engine.
	inspectTimeout = 400 * time.Millisecond
	// inspectIdle is how long inspections go on after the last call of Acquire.
	inspectIdle = 500 * time.Millisecond
	// minUnreported is the smallest number of unreported requests of an engine that
	// is taken into account. The load of an engine is older than the reports of the
	// nodes, so the two differ by one or two requests.
	minUnreported = 3
)

// Load is the load that an engine reports.
type Load struct {
	// Active is the number of running requests, Queued that of waiting ones.
	Active, Queued int
}

// Inspector asks an engine for its load.
type Inspector func(ctx context.Context, u Upstream) (Load, error)

// Inspect asks the engines for their load while this node may not know all of it:
// when it has become the owner, and after an engine rejected a request. Engines
// keep running the requests of dead hosts for a time. Inspect returns when the
// context ends.
func (p *Pool) Inspect(ctx context.Context, query Inspector) error {
	ticker := time.NewTicker(inspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.inspectNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		if p.inspectionDue() {
			p.inspectAll(ctx, query)
		}
	}
}

// inspectionDue reports whether to ask the engines for their load. Without recent
// requests to place there is no need.
func (p *Pool) inspectionDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadUnknown && time.Since(p.lastAcquire) < inspectIdle
}

// inspectIfUnknown requests an inspection if this node may not know all running
// requests. The caller holds mu.
func (p *Pool) inspectIfUnknown(now time.Time) {
	if p.loadUnknown && now.Sub(p.lastAcquire) > inspectIdle {
		p.requestInspection()
	}
	p.lastAcquire = now
}

// requestInspection has the engines asked for their load. The caller holds mu.
func (p *Pool) requestInspection() {
	p.loadUnknown = true
	select {
	case p.inspectNow <- struct{}{}:
	default:
	}
}

func (p *Pool) inspectAll(ctx context.Context, query Inspector) {
	p.mu.Lock()
	var targets []Upstream
	for _, e := range p.engines {
		if !e.Leaving {
			targets = append(targets, e.Upstream)
		}
	}
	p.mu.Unlock()
	var mu sync.Mutex
	loads := map[string]Load{}
	g := group.New(ctx)
	for _, u := range targets {
		g.Go("inspect", guard.Task(p.log, "inspection", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			load, err := query(ctx, u)
			if err != nil {
				p.log.WithError(err).WithFields(logrus.Fields{"event": "inspection_failed", "upstream": u.ID}).
					Debug("an engine did not report its load")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			loads[u.ID] = load
			return nil
		}))
	}
	if err := g.Wait(); err != nil {
		p.log.WithError(err).WithField("event", "inspection_failed").Error("the inspection of engines failed")
		return
	}
	p.applyLoads(loads)
}

// applyLoads sets how many requests the engines run beyond the known ones.
func (p *Pool) applyLoads(loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unreported := 0
	for id, load := range loads {
		e := p.byID[id]
		if e == nil {
			continue
		}
		known := 0
		for _, j := range e.jobs {
			if j.main == e {
				known++
			}
		}
		e.unreported = load.Active + load.Queued - known
		if e.unreported < minUnreported {
			e.unreported = 0
		}
		unreported += e.unreported
	}
	p.loadUnknown = unreported > 0
	if unreported > 0 {
		p.log.WithFields(logrus.Fields{"event": "unreported_load", "cell": p.cell, "requests": unreported, "engines": len(loads)}).
			Info("engines run requests that no host reports")
	}
	p.wakeRun()
}
