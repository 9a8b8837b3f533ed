package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	loadInterval  = 500 * time.Millisecond
	eventInterval = time.Second
	// lostReports is how many load reports in a row must fail before an engine
	// counts as lost to the scheduler.
	lostReports = 4
)

// poller feeds the scheduler of a cell with the reports of one engine.
type poller struct {
	engine    plat.Host
	scheduler *sched.Scheduler
	reports   *reports
	client    *engine.Client
	log       logrus.FieldLogger
	failures  int
	after     uint64
	polled    time.Time
}

// run polls until the context ends.
func (p *poller) run(ctx context.Context) error {
	for {
		p.load(ctx)
		if time.Since(p.polled) >= eventInterval {
			p.polled = time.Now()
			p.events(ctx)
		}
		if !sleep(ctx, jitter(loadInterval)) {
			return nil
		}
	}
}

func (p *poller) load(ctx context.Context) {
	asked := time.Now()
	report, err := p.client.Load(ctx, p.engine.Address)
	if err == nil {
		p.failures = 0
		p.reports.note(p.engine.Name, report, asked)
		p.scheduler.Report(p.engine.Name, p.engine.Address, report)
		return
	}
	if ctx.Err() != nil {
		return
	}
	p.failures++
	// A refused connection is a dead process. A silent engine may be slow, so
	// it gets more time.
	if p.failures == lostReports || (p.failures == 1 && fault.Is(err, fault.Unreachable)) {
		p.log.WithError(err).WithFields(logrus.Fields{"event": "engine_lost", "engine": p.engine.Name}).
			Warn("an engine does not report its load")
		p.scheduler.EngineLost(p.engine.Name)
	}
}

func (p *poller) events(ctx context.Context) {
	events, next, err := p.client.CacheEvents(ctx, p.engine.Address, p.after)
	if err != nil {
		return
	}
	if next < p.after {
		// The engine restarted and counts from the beginning.
		p.after = 0
		return
	}
	p.after = next
	p.scheduler.CacheEvents(p.engine.Name, events)
}
