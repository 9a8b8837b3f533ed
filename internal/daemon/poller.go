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
	// loadInterval is the mean time between two requests for a load report.
	loadInterval = 500 * time.Millisecond
	// eventInterval is the minimum time between two reads of cache events.
	eventInterval = time.Second
	// lostAfterFailures is how many load reports in a row must fail before the
	// poller reports the engine to the scheduler as lost. After a refused
	// connection, it does so at the first failure.
	lostAfterFailures = 4
)

// poller reads the load reports and the cache events of one engine and passes
// them to the scheduler of its cell. Cache events list the prompt prefixes that
// the engine has stored in its cache or evicted.
type poller struct {
	engine    plat.Host
	scheduler *sched.Scheduler
	reports   *reports
	client    *engine.Client
	log       logrus.FieldLogger
	// failures counts the failed load reports since the last successful one.
	failures int
	// eventCursor is the sequence number after which the next read of cache
	// events starts, eventsReadAt the time of the last read.
	eventCursor  uint64
	eventsReadAt time.Time
}

// run polls the engine until the context ends.
func (p *poller) run(ctx context.Context) error {
	for {
		p.pollLoad(ctx)
		if time.Since(p.eventsReadAt) >= eventInterval {
			p.eventsReadAt = time.Now()
			p.pollEvents(ctx)
		}
		if !sleep(ctx, jitter(loadInterval)) {
			return nil
		}
	}
}

func (p *poller) pollLoad(ctx context.Context) {
	requestedAt := time.Now()
	report, err := p.client.Load(ctx, p.engine.Address)
	if err == nil {
		p.failures = 0
		p.reports.set(p.engine.Name, report, requestedAt)
		p.scheduler.Report(p.engine.Name, p.engine.Address, report)
		return
	}
	if ctx.Err() != nil {
		return
	}
	p.failures++
	// A refused connection means that the engine process has ended. An engine
	// that does not answer may only be slow, so it is allowed more attempts.
	if p.failures == lostAfterFailures || (p.failures == 1 && fault.Is(err, fault.Unreachable)) {
		p.log.WithError(err).WithFields(logrus.Fields{"event": "engine_lost", "engine": p.engine.Name}).
			Warn("an engine does not report its load")
		p.scheduler.EngineLost(p.engine.Name)
	}
}

func (p *poller) pollEvents(ctx context.Context) {
	events, next, err := p.client.CacheEvents(ctx, p.engine.Address, p.eventCursor)
	if err != nil {
		return
	}
	if next < p.eventCursor {
		// The engine has restarted and numbers its events from the beginning.
		p.eventCursor = 0
		return
	}
	p.eventCursor = next
	p.scheduler.CacheEvents(p.engine.Name, events)
}
