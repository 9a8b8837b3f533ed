package place

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Report takes over what a node says of its requests.
func (p *Pool) Report(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.heard = now
	for _, e := range r.Ended {
		p.end(e, now)
	}
	listed := map[string]bool{}
	for _, run := range r.Running {
		listed[run.ID] = true
		p.hear(r.Node, run, now)
	}
	if r.Full {
		for id, j := range p.jobs {
			if j.Node == r.Node && j.grant != nil && !listed[id] && now.Sub(j.granted) > grantGrace {
				p.remove(j)
			}
		}
	}
	p.poke()
}

// hear takes over one running request. The caller holds mu.
func (p *Pool) hear(node string, run Running, now time.Time) {
	j := p.jobs[run.ID]
	if j != nil && j.grant == nil {
		p.remove(j)
		j = nil
	}
	if j == nil {
		j = p.adopt(node, run, now)
		if j == nil {
			return
		}
	}
	j.reported = now
	if run.Begun && !j.begun {
		p.begin(j, now)
	}
}

// adopt takes over a request that an earlier owner, or its node alone, placed.
// The caller holds mu.
func (p *Pool) adopt(node string, run Running, now time.Time) *job {
	s := p.byID[run.Upstream]
	if s == nil {
		return nil
	}
	j := &job{
		Request: Request{
			ID: run.ID, Cell: p.cell, Node: node, Organisation: run.Organisation,
			Prompt: run.Prompt, Output: run.Output, Gap: run.Gap,
		},
		arrived: now, granted: now, polled: now, settled: make(chan struct{}),
		prefill: p.model.Prefill(run.Prompt), value: valueOf(run.Prompt), grant: &Grant{ID: run.ID, Upstream: s.Upstream},
	}
	close(j.settled)
	var helpers []*slot
	for _, id := range run.Helpers {
		if h := p.byID[id]; h != nil {
			helpers = append(helpers, h)
		}
	}
	p.occupy(j, s, helpers, now)
	if run.Begun {
		p.begin(j, now)
	}
	return j
}

// occupy books the engines of a request. The caller holds mu.
func (p *Pool) occupy(j *job, s *slot, helpers []*slot, now time.Time) {
	j.slot, j.helpers = s, helpers
	j.part = j.prefill / time.Duration(1+len(helpers))
	p.jobs[j.ID] = j
	j.first, j.helper = p.share(j.Prompt, j.Output, 1+len(helpers))
	s.memory += j.first
	for _, h := range helpers {
		h.memory += j.helper
	}
	for _, e := range j.engines() {
		e.jobs[j.ID] = j
		e.reading = later(e.reading, now).Add(scale(j.part, e.pace))
	}
}

func (j *job) engines() []*slot { return append([]*slot{j.slot}, j.helpers...) }

// begin records the first event of a request: its prompt has been read.
func (p *Pool) begin(j *job, now time.Time) {
	j.begun = true
	j.slot.succeed()
	for _, e := range j.engines() {
		e.reading = p.readingUntil(e, now)
	}
	for _, h := range j.helpers {
		delete(h.jobs, j.ID)
	}
}

// readingUntil estimates when an engine has read the prompts that have not
// begun. The caller holds mu.
func (p *Pool) readingUntil(e *slot, now time.Time) time.Time {
	var left, oldest time.Duration
	for _, j := range e.jobs {
		if j.grant != nil && !j.begun {
			left += scale(j.part, e.pace)
			oldest = max(oldest, min(now.Sub(j.granted), scale(j.part, e.pace)))
		}
	}
	return now.Add(min(left-min(left, oldest), max(0, e.reading.Sub(now))))
}

// end removes a request and judges its engine. The caller holds mu.
func (p *Pool) end(e Ending, now time.Time) {
	j := p.jobs[e.ID]
	if j != nil && j.slot != nil {
		p.judge(j, e, now)
	}
	if j != nil {
		p.remove(j)
	}
	if e.Outcome == Done {
		delete(p.crashes, e.Fingerprint)
	}
	if e.Outcome == Broken && e.Fingerprint != 0 {
		c := p.crashes[e.Fingerprint]
		p.crashes[e.Fingerprint] = crash{c.count + 1, now}
		for f, c := range p.crashes {
			if now.Sub(c.at) > crashMemory {
				delete(p.crashes, f)
			}
		}
	}
}

func (p *Pool) judge(j *job, e Ending, now time.Time) {
	at := j.slot
	if s := p.byID[e.Fault]; s != nil {
		at = s
	}
	switch e.Outcome {
	case Done:
		j.slot.observe(e.Pace)
		if e.Pace > 0 {
			j.slot.succeed()
		}
	case Broken:
		at.fail(now)
		p.log.WithFields(logrus.Fields{
			"event": "engine_failed", "cell": p.cell, "request": j.ID, "upstream": at.ID,
			"failures": at.failures, "barred_ms": at.barred.Sub(now).Milliseconds(),
		}).Warn("an engine failed a request and gets no new ones for a time")
	case Rejected:
		// The engine holds more than this node knows of, or is another one.
		at.fail(now)
		p.suspect()
	}
}

// remove forgets a request. The caller holds mu.
func (p *Pool) remove(j *job) {
	delete(p.jobs, j.ID)
	if j.grant == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *job) bool { return w == j })
		return
	}
	if j.slot == nil {
		return
	}
	now := time.Now()
	j.slot.memory -= j.first
	for _, h := range j.helpers {
		h.memory -= j.helper
	}
	for _, e := range j.engines() {
		delete(e.jobs, j.ID)
		if !j.begun {
			e.reading = p.readingUntil(e, now)
		}
	}
}

// expire removes requests whose node is gone. The caller holds mu.
func (p *Pool) expire(now time.Time) {
	for _, j := range p.jobs {
		switch {
		case j.grant == nil && now.Sub(j.polled) > pollTimeout:
			p.remove(j)
		case j.grant != nil && now.Sub(later(j.granted, j.reported)) > reportTimeout:
			p.remove(j)
		}
	}
}
