package place

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// track records a granted request for the reports to the owner. The next report
// includes a request that was placed without an owner, as no owner knows it.
func (c *Client) track(req Request, g Grant) {
	r := &RunningRequest{
		ID: req.ID, Organisation: req.Organisation, Upstream: g.Upstream.ID,
		PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, MaxGap: req.MaxGap,
	}
	for _, h := range g.Helpers {
		r.Helpers = append(r.Helpers, h.ID)
	}
	c.local.addRequest(g.Upstream.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[req.Cell] == nil {
		c.running[req.Cell] = map[string]*RunningRequest{}
	}
	c.running[req.Cell][req.ID] = r
	c.grants[req.ID] = &heldGrant{Grant: g, content: req.Content, obtainedAt: time.Now()}
	if g.WithoutOwner {
		c.markChanged(req.Cell, req.ID)
	}
}

// markChanged adds a request to the next report. The caller holds mu.
func (c *Client) markChanged(cell, id string) {
	if c.changed[cell] == nil {
		c.changed[cell] = map[string]bool{}
	}
	c.changed[cell][id] = true
	c.wakeRun()
}

// ReportFirstEvent records the first event of a request for the next report.
func (c *Client) ReportFirstEvent(g Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.running[g.Cell][g.ID]; r != nil {
		r.HasFirstEvent = true
		c.markChanged(g.Cell, g.ID)
		c.recordBegin(c.grants[g.ID])
	}
}

// ReportLimit records what an answer to a granted request states of the limit of its
// upstream, for the next report.
func (c *Client) ReportLimit(g Grant, perSecond float64, named bool) {
	o := LimitObservation{Process: g.Upstream.Process(), Request: g.ID, PerSecond: perSecond, Named: named}
	_, known := c.limits.limit(o.Process)
	if !named && !known && !g.Limited {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.grants[g.ID]; held != nil {
		c.limits.observe(o, held.obtainedAt)
	}
	if g.Cell != "" {
		c.observed[g.Cell] = append(c.observed[g.Cell], o)
		c.wakeRun()
	}
}

// ReportEnded records how a granted request ended for the next report.
// UpstreamEnded says that the engine ended while it ran the request.
func (c *Client) ReportEnded(g Grant, e EndedRequest, upstreamEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.ID = g.ID
	r := c.running[g.Cell][e.ID]
	if r == nil {
		return
	}
	e.Crash = c.recordEnd(c.grants[g.ID], e.Outcome, upstreamEnded)
	c.local.endRequest(r.Upstream, e.Outcome)
	delete(c.running[g.Cell], e.ID)
	delete(c.grants, e.ID)
	delete(c.changed[g.Cell], e.ID)
	c.ended[g.Cell] = append(c.ended[g.Cell], e)
	c.wakeRun()
}

func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends reports to owners until the context ends.
func (c *Client) Run(ctx context.Context) error {
	g := group.New(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		full := false
		select {
		case <-c.wake:
			group.Sleep(ctx, reportBatchDelay)
		case <-ticker.C:
			full = true
		case <-ctx.Done():
			return g.Wait()
		}
		for _, r := range c.reports(full) {
			g.Go("report", guard.Task(c.options.Log.WithField("cell", r.Cell), "report", func(ctx context.Context) error {
				c.send(ctx, r)
				return nil
			}))
		}
	}
}

// reports returns the next reports, one per cell. After a cell's last request a
// full report without requests follows, so that the owner removes requests whose
// EndedRequest entries were lost.
func (c *Client) reports(full bool) []Report {
	node, leaving := c.options.Members.Self().Name, c.options.Notices.shared(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	cellNames := map[string]bool{}
	for cell := range c.running {
		cellNames[cell] = true
	}
	for cell := range c.ended {
		cellNames[cell] = true
	}
	for cell := range c.observed {
		cellNames[cell] = true
	}
	var reports []Report
	for cell := range cellNames {
		r := Report{Cell: cell, Node: node, Ended: c.ended[cell], Limits: c.observed[cell], Leaving: leaving, Full: full}
		for id, run := range c.running[cell] {
			if full || c.changed[cell][id] {
				r.Running = append(r.Running, *run)
			}
		}
		noneListed := len(r.Running) == 0
		if !noneListed || len(r.Ended)+len(r.Limits)+len(r.Leaving) > 0 || full && c.listedRunning[cell] {
			reports = append(reports, r)
		}
		if full {
			c.listedRunning[cell] = !noneListed
		}
		delete(c.ended, cell)
		delete(c.observed, cell)
		delete(c.changed, cell)
	}
	return reports
}

func (c *Client) send(ctx context.Context, r Report) {
	owner, ok := c.owner(r.Cell)
	if !ok {
		return
	}
	if c.isSelf(owner) {
		c.options.Pool(r.Cell).Report(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	if err := c.options.Caller.Call(ctx, owner.PeerAddress, MethodReport, r, &struct{}{}); err != nil {
		// The next full report replaces it. Only the outcomes in Ended stay unknown to
		// the owner.
		c.options.Log.WithError(err).WithFields(logrus.Fields{
			"event": "report_lost", "cell": r.Cell, "owner": owner.Name, "endings": len(r.Ended),
		}).Debug("could not deliver a report to the owner of a cell")
	}
}
