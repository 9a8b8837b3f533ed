package place

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// inspectInterval is how often engines are asked for their load while some
	// of it is unknown; their answers are some hundred ms old.
	inspectInterval = 250 * time.Millisecond
	// inspectTimeout bounds one question.
	inspectTimeout = 400 * time.Millisecond
	// inspectIdle is how long after a request for a place inspections go on.
	inspectIdle = 500 * time.Millisecond
	// pictureAge without a question or a report is when a node no longer knows
	// what runs: nodes report every reportInterval.
	pictureAge = 2 * reportInterval
	// blindTime is how long requests wait for the first answers of the engines on
	// a node without a picture. Engines answer within some ms; one that is dead
	// must not keep requests from the others.
	blindTime = 200 * time.Millisecond
	// unreportedMin is the number of unknown requests of an engine that counts:
	// answers are older than the reports of hosts, so that one or two differ.
	unreportedMin = 3
)

// Load is what an engine says of itself.
type Load struct {
	// Active requests run, Queued ones wait for a place.
	Active, Queued int
}

// Inspector asks an engine for its load.
type Inspector func(ctx context.Context, u Upstream) (Load, error)

// Inspect asks the engines for their load while this node does not know all of
// it: as a new owner, and after an engine had no room. Requests of hosts that
// died keep their places at engines for a time.
func (p *Pool) Inspect(ctx context.Context, ask Inspector) error {
	p.mu.Lock()
	p.inspected = true
	p.mu.Unlock()
	ticker := time.NewTicker(inspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.inspect:
		case <-ctx.Done():
			return ctx.Err()
		}
		if p.inspecting() {
			p.inspectAll(ctx, ask)
		}
	}
}

// inspecting reports whether the load of engines is to be asked for. A pool that
// nobody asks for places is left alone.
func (p *Pool) inspecting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unsure && time.Since(p.asked) < inspectIdle
}

// look makes the load of the engines be asked for when this node does not know
// all of it. Without any picture it places nothing before they answered. The
// caller holds mu.
func (p *Pool) look(now time.Time) {
	if p.inspected && now.Sub(later(p.asked, p.heard)) > pictureAge {
		p.blind = now
		p.suspect()
	} else if p.unsure && now.Sub(p.asked) > inspectIdle {
		p.suspect()
	}
	p.asked = now
}

// isBlind reports whether the first answers of the engines are awaited. The
// caller holds mu.
func (p *Pool) isBlind(now time.Time) bool {
	return !p.blind.IsZero() && now.Sub(p.blind) < blindTime
}

// suspect makes the load of the engines be asked for. The caller holds mu.
func (p *Pool) suspect() {
	p.unsure = true
	select {
	case p.inspect <- struct{}{}:
	default:
	}
}

func (p *Pool) inspectAll(ctx context.Context, ask Inspector) {
	p.mu.Lock()
	var asked []Upstream
	for _, s := range p.slots {
		if !s.Leaving {
			asked = append(asked, s.Upstream)
		}
	}
	p.mu.Unlock()
	var mu sync.Mutex
	loads := map[string]Load{}
	g := group.New(ctx)
	for _, u := range asked {
		g.Go("inspect", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			load, err := ask(ctx, u)
			if err != nil {
				p.log.WithError(err).WithFields(logrus.Fields{"event": "inspection_failed", "upstream": u.ID}).
					Debug("an engine did not tell its load")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			loads[u.ID] = load
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		p.log.WithError(err).WithField("event", "inspection_failed").Error("the inspection of engines failed")
		return
	}
	p.takeLoads(loads)
}

// takeLoads takes over what engines run beside the requests that are known.
func (p *Pool) takeLoads(loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unreported := 0
	for id, load := range loads {
		s := p.byID[id]
		if s == nil {
			continue
		}
		known := 0
		for _, j := range s.jobs {
			if j.slot == s {
				known++
			}
		}
		s.unreported = load.Active + load.Queued - known
		if s.unreported < unreportedMin {
			s.unreported = 0
		}
		unreported += s.unreported
	}
	p.unsure = unreported > 0
	p.blind = time.Time{}
	if unreported > 0 {
		p.log.WithFields(logrus.Fields{"event": "unreported_load", "cell": p.cell, "requests": unreported, "engines": len(loads)}).
			Info("engines run requests that no host reports")
	}
	p.poke()
}
