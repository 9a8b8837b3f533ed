package place

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Report updates the state of the cell from a node's report.
func (p *Pool) Report(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.notices.learn(r.Leaving, r.Node)
	for _, o := range r.Limits {
		p.applyLimit(o)
	}
	for _, ended := range r.Ended {
		p.applyEnded(ended, now)
	}
	listed := map[string]bool{}
	for _, run := range r.Running {
		listed[run.ID] = true
		p.applyRunning(r.Node, run, now)
	}
	if r.Full {
		for id, j := range p.jobs {
			if j.Node == r.Node && j.grant != nil && !listed[id] && now.Sub(j.grantedAt) > grantGrace {
				p.remove(j)
			}
		}
	}
	p.wakeRun()
}

// applyNotices marks the engines that announced that they leave. The caller holds mu.
func (p *Pool) applyNotices() {
	version := p.notices.version.Load()
	if version == p.noticesSeen {
		return
	}
	p.noticesSeen = version
	for _, e := range p.engines {
		e.Leaving = e.Leaving || p.notices.Leaving(e.process)
	}
	p.recordEmpty()
}

// applyLimit applies what an answer to a granted request states of the limit of its
// engine. The caller holds mu.
func (p *Pool) applyLimit(o LimitObservation) {
	var sentAt time.Time
	if j := p.jobs[o.Request]; j != nil {
		sentAt = j.grantedAt
	}
	before, limited := p.limits.limit(o.Process)
	p.limits.observe(o, sentAt)
	after, stillLimited := p.limits.limit(o.Process)
	if before != after || limited != stillLimited {
		p.log.WithFields(logrus.Fields{
			"event": "limit_changed", "cell": p.cell, "engine": o.Process, "request": o.Request,
			"per_second": after, "limited": stillLimited,
		}).Info("an engine changed the limit on the requests that it takes")
	}
}

// applyRunning updates or adds one running request. The caller holds mu.
func (p *Pool) applyRunning(node string, run RunningRequest, now time.Time) {
	j := p.jobs[run.ID]
	if j != nil && j.grant == nil {
		// The request waits here but was placed elsewhere, see adopt.
		p.remove(j)
		j = nil
	}
	if j == nil {
		j = p.adopt(node, run, now)
		if j == nil {
			return
		}
	}
	j.lastReported = now
	if run.HasFirstEvent && !j.hasFirstEvent {
		p.recordFirstEvent(j, now)
	}
}

// adopt adds a running request that was placed by another owner or by its node
// alone. It returns nil if the engine is unknown. The caller holds mu.
func (p *Pool) adopt(node string, run RunningRequest, now time.Time) *job {
	main := p.byID[run.Upstream]
	if main == nil {
		return nil
	}
	j := &job{
		Request: Request{
			ID: run.ID, Cell: p.cell, Node: node, Organisation: run.Organisation,
			PromptTokens: run.PromptTokens, OutputTokens: run.OutputTokens, MaxGap: run.MaxGap,
		},
		arrivedAt: now, grantedAt: now, lastPolled: now, decided: make(chan struct{}),
		prefill: p.model.Prefill(run.PromptTokens), value: promptValue(run.PromptTokens), grant: &Grant{ID: run.ID, Upstream: main.Upstream},
	}
	close(j.decided)
	var helpers []*engine
	for _, id := range run.Helpers {
		if h := p.byID[id]; h != nil {
			helpers = append(helpers, h)
		}
	}
	p.occupy(j, main, helpers, now)
	if run.HasFirstEvent {
		p.recordFirstEvent(j, now)
	}
	return j
}

// occupy assigns a request to its engines and books the memory and the prefill
// time there. The caller holds mu.
func (p *Pool) occupy(j *job, main *engine, helpers []*engine, now time.Time) {
	j.main, j.helpers = main, helpers
	j.partPrefill = j.prefill / time.Duration(1+len(helpers))
	p.jobs[j.ID] = j
	j.mainMemory, j.helperMemory = p.memoryNeed(j.PromptTokens, j.OutputTokens, 1+len(helpers))
	main.memoryUsed += j.mainMemory
	for _, h := range helpers {
		h.memoryUsed += j.helperMemory
	}
	for _, e := range j.engines() {
		e.jobs[j.ID] = j
		e.prefillEnd = later(e.prefillEnd, now).Add(scale(j.partPrefill, e.slowdown))
	}
}

func (j *job) engines() []*engine { return append([]*engine{j.main}, j.helpers...) }

// recordFirstEvent marks the prefill of a request as complete. The caller holds mu.
func (p *Pool) recordFirstEvent(j *job, now time.Time) {
	j.hasFirstEvent = true
	j.main.recordSuccess()
	p.crashes.Began(j.Content)
	for _, e := range j.engines() {
		e.prefillEnd = p.estimatePrefillEnd(e, now)
	}
	for _, h := range j.helpers {
		delete(h.jobs, j.ID)
	}
}

// estimatePrefillEnd estimates when an engine completes the prefill of the requests
// without a first event. The estimate is never later than the previous one. The
// caller holds mu.
func (p *Pool) estimatePrefillEnd(e *engine, now time.Time) time.Time {
	// left is the prefill time of these requests. elapsed is the part of it that is
	// assumed to have passed: the longest time since a grant, but not longer than the
	// prefill of that request.
	var left, elapsed time.Duration
	for _, j := range e.jobs {
		if j.grant != nil && !j.hasFirstEvent {
			left += scale(j.partPrefill, e.slowdown)
			elapsed = max(elapsed, min(now.Sub(j.grantedAt), scale(j.partPrefill, e.slowdown)))
		}
	}
	return now.Add(min(left-min(left, elapsed), max(0, e.prefillEnd.Sub(now))))
}

// applyEnded removes a request that ended and records its outcome for its engine and
// for its content. The content comes first, as the removal lets other requests with
// the same suspected parts run. The caller holds mu.
func (p *Pool) applyEnded(ended EndedRequest, now time.Time) {
	if ended.Crash != nil {
		p.crashes.Ended(*ended.Crash)
	}
	j := p.jobs[ended.ID]
	if j == nil {
		return
	}
	if j.main != nil {
		p.recordOutcome(j, ended, now)
		if ended.Outcome == Completed && j.hasFirstEvent {
			p.crashes.Completed(j.Content)
		}
	}
	p.remove(j)
}

// recordOutcome updates the failures and the slowdown of the engine that ran a
// request. A failure counts against the upstream at fault if it is known. The
// caller holds mu.
func (p *Pool) recordOutcome(j *job, ended EndedRequest, now time.Time) {
	faulty := j.main
	if e := p.byID[ended.Fault]; e != nil {
		faulty = e
	}
	switch ended.Outcome {
	case Completed:
		j.main.observeSlowdown(ended.Slowdown)
		if ended.Slowdown > 0 {
			j.main.recordSuccess()
		}
	case EngineFailed:
		faulty.recordFailure(now)
		p.log.WithFields(logrus.Fields{
			"event": "engine_failed", "cell": p.cell, "request": j.ID, "upstream": faulty.ID, "reporter": j.Node,
			"failures": faulty.failures, "barred_ms": faulty.barredUntil.Sub(now).Milliseconds(),
		}).Warn("an engine failed a request and gets no new ones for a time")
	case Rejected:
		// The engine runs requests that this node does not know, or a different
		// instance answered.
		faulty.recordFailure(now)
		p.requestInspection()
	}
}

// remove deletes a request and frees the memory and the prefill time booked for it.
// The caller holds mu.
func (p *Pool) remove(j *job) {
	delete(p.jobs, j.ID)
	if j.grant == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *job) bool { return w == j })
		return
	}
	if j.main == nil {
		return
	}
	now := time.Now()
	j.main.memoryUsed -= j.mainMemory
	for _, h := range j.helpers {
		h.memoryUsed -= j.helperMemory
	}
	for _, e := range j.engines() {
		delete(e.jobs, j.ID)
		if !j.hasFirstEvent {
			e.prefillEnd = p.estimatePrefillEnd(e, now)
		}
	}
}

// removeAbandoned removes waiting requests for which their node no longer calls
// Acquire, and granted requests that their node no longer reports. The caller holds
// mu.
func (p *Pool) removeAbandoned(now time.Time) {
	for _, j := range p.jobs {
		switch {
		case j.grant == nil && now.Sub(j.lastPolled) > pollTimeout:
			p.remove(j)
		case j.grant != nil && now.Sub(later(j.grantedAt, j.lastReported)) > reportTimeout:
			p.remove(j)
		}
	}
}
