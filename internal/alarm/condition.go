package alarm

import (
	"fmt"
	"time"
)

// Finding says that a condition holds for a subject.
type Finding struct {
	Subject  string
	Evidence string
	// Since is when the condition began. If it is zero, the monitor uses the time
	// of the evaluation that first found the condition.
	Since time.Time
}

// Condition puts a promise at risk while it holds.
type Condition struct {
	Name    string
	Promise Promise
	// Hold is how long the condition must hold before the alarm is raised.
	Hold   time.Duration
	Action string
	// find returns the subjects for which the condition holds.
	find func(now time.Time) []Finding
}

// NewCondition returns a condition that holds for the subjects that find
// returns.
func NewCondition(name string, promise Promise, hold time.Duration, action string, find func(now time.Time) []Finding) Condition {
	return Condition{Name: name, Promise: promise, Hold: hold, Action: action, find: find}
}

const (
	// eventWindow is how long an alarm lasts after the latest event that broke
	// its promise.
	eventWindow = time.Minute
	// outageWindow is the maximum time between two refused claims of the same
	// outage.
	outageWindow = 5 * time.Second
	// outageHold is longer than a restart of the platform's key-value service
	// takes, so that a restart raises no alarm.
	outageHold = 10 * time.Second
	// memoryHold is how long memory can belong to no grant without a fault. It
	// is the sum of the lifetime of a grant (15 s), the lifetime of a stream
	// whose reader has disconnected (15 s) and an allowance for the delay of
	// load reports.
	memoryHold = 45 * time.Second
	// memoryTolerance is the share of an engine's memory that rounding of
	// token estimates can leave unexplained.
	memoryTolerance = 0.01
	// configBound is the time within which a new configuration is in force on
	// every node.
	configBound = 13 * time.Second
	// leavingGrace is the time within which every node learns that a host is
	// leaving.
	leavingGrace = 5 * time.Second
	// leavingWindow is how long an alarm lasts after a leaving host last
	// received new work.
	leavingWindow = 15 * time.Second
	// An organisation may get less than shareTolerance of its due share for
	// shareHold without an alarm. Engines process requests in batches, so that
	// the actual share deviates from the due share for a while.
	shareHold      = 30 * time.Second
	shareTolerance = 0.8
	drainHold      = 5 * time.Second
)

// Sources are the values that the daemon supplies. All functions are called
// once per Period, from one goroutine, and must not block. The conditions of a
// nil function are not evaluated.
type Sources struct {
	// Node is the name of this node. It is the subject of alarms about the
	// node itself.
	Node string
	// LateRequests counts requests that ended after their time limit.
	LateRequests func() uint64
	// BrokenAnswers counts answers that were delivered with a gap or to the
	// wrong request.
	BrokenAnswers func() uint64
	// FalseNotRun counts requests that were reported as not run although an
	// upstream ran them.
	FalseNotRun func() uint64
	// RepeatedCalls counts non-idempotent calls found to have run twice.
	RepeatedCalls func() uint64
	// ClaimsRefused counts claims refused because the platform is unavailable.
	// A non-idempotent call is sent only after its claim is committed.
	ClaimsRefused func() uint64
	// Memory lists the engines that this node schedules.
	Memory func() []Memory
	// Config returns the configuration revision in force on this node and the
	// newest revision that the node knows.
	Config func() (inForce, newest uint64)
	// Leaving lists the leaving hosts that this node knows.
	Leaving func() []LeavingHost
	// Shares lists the organisations in the cells that this node schedules.
	Shares func() []Share
	// Drain returns the time left to drain, the longest remaining time limit
	// of a request in flight, and whether the node is draining.
	Drain func() (left, longest time.Duration, draining bool)
}

// Memory is the memory use of an engine.
type Memory struct {
	Engine string
	// CapacityTokens is the engine's KV memory; UnexplainedTokens is the part
	// in use that belongs to no grant.
	CapacityTokens    int
	UnexplainedTokens int
}

// LeavingHost is a host that announced that it leaves.
type LeavingHost struct {
	Host string
	// Since is the time of the announcement. LastWork is when the host last
	// received new work; zero if it never received any.
	Since    time.Time
	LastWork time.Time
}

// Share is the part of a cell's work that an organisation gets.
type Share struct {
	Organisation string
	Cell         string
	// Due is the share that the organisation is entitled to, Actual the share
	// that it receives: fractions of the cell's work, from 0 to 1.
	Due, Actual float64
	// Waiting is the number of the organisation's requests in the queue.
	Waiting int
}

// Conditions returns the conditions whose source function is supplied.
func Conditions(s Sources) []Condition {
	table := []struct {
		Condition
		supplied bool
	}{
		{Condition{"late_request", WithinTimeLimit, 0, "compare the load of the cells with the time limits; see the page on alarms", s.events(s.LateRequests, eventWindow, "%d requests ended after their time limit")}, s.LateRequests != nil},
		{Condition{"share_below_due", WithinTimeLimit, shareHold, "look for an organisation with unusual load in the list of organisations, and check weights", s.shares}, s.Shares != nil},
		{Condition{"unexplained_memory", NoMemoryLoss, memoryHold, "list the streams of the engine; restart the engine if the memory does not return", s.memory}, s.Memory != nil},
		{Condition{"broken_answer", CompleteAnswer, 0, "keep a dump of the node and report a defect", s.events(s.BrokenAnswers, eventWindow, "%d answers had a gap or reached the wrong request")}, s.BrokenAnswers != nil},
		{Condition{"false_not_run", AccurateNotRun, 0, "keep a dump of the node and report a defect; check the upstream's log for the request", s.events(s.FalseNotRun, eventWindow, "%d requests reported as not run were run")}, s.FalseNotRun != nil},
		{Condition{"repeated_call", AtMostOnce, 0, "find the calls in the log by idempotency key and correct their effect; report a defect", s.events(s.RepeatedCalls, eventWindow, "%d non-idempotent calls ran twice")}, s.RepeatedCalls != nil},
		{Condition{"claims_refused", AtMostOnce, outageHold, "restore the platform's key-value service; until then non-idempotent calls are refused as not run", s.events(s.ClaimsRefused, outageWindow, "%d claims were refused because the platform is unavailable")}, s.ClaimsRefused != nil},
		{Condition{"work_on_leaving_host", NoWorkOnLeavingHost, 0, "look for callers that keep addresses beyond their lifetime, and for nodes that are cut off", s.leaving}, s.Leaving != nil},
		{Condition{"drain_too_short", CompleteDrain, drainHold, "raise drain_timeout above the longest time limit, or postpone the stop of the host", s.drain}, s.Drain != nil},
		{Condition{"config_behind", ConfigInForce, configBound, "check that the node reaches a peer or the platform", (&configProbe{s: s}).find}, s.Config != nil},
	}
	var out []Condition
	for _, row := range table {
		if row.supplied {
			out = append(out, row.Condition)
		}
	}
	return out
}

// events returns a find function that reports this node while the counter has
// risen within the window. The first value that is read does not count as a rise.
// The evidence is a format for the number of events since the condition began.
func (s Sources) events(counter func() uint64, window time.Duration, evidence string) func(time.Time) []Finding {
	var (
		started           bool
		last, valueBefore uint64
		firstAt, latestAt time.Time
	)
	return func(now time.Time) []Finding {
		value := counter()
		if !started {
			started, last = true, value
		}
		if value != last {
			if latestAt.IsZero() {
				firstAt, valueBefore = now, last
			}
			latestAt, last = now, value
		}
		if latestAt.IsZero() {
			return nil
		}
		if now.Sub(latestAt) >= window {
			latestAt = time.Time{}
			return nil
		}
		return []Finding{{Subject: s.Node, Evidence: fmt.Sprintf(evidence, value-valueBefore), Since: firstAt}}
	}
}

func (s Sources) memory(time.Time) []Finding {
	var out []Finding
	for _, m := range s.Memory() {
		if float64(m.UnexplainedTokens) > memoryTolerance*float64(m.CapacityTokens) {
			out = append(out, Finding{
				Subject:  m.Engine,
				Evidence: fmt.Sprintf("%d of %d tokens belong to no grant", m.UnexplainedTokens, m.CapacityTokens),
			})
		}
	}
	return out
}

func (s Sources) shares(time.Time) []Finding {
	var out []Finding
	for _, share := range s.Shares() {
		if share.Waiting > 0 && share.Actual < shareTolerance*share.Due {
			out = append(out, Finding{
				Subject:  share.Organisation + " in " + share.Cell,
				Evidence: fmt.Sprintf("gets %.0f%% of the work, %.0f%% are due, %d requests wait", 100*share.Actual, 100*share.Due, share.Waiting),
			})
		}
	}
	return out
}

func (s Sources) leaving(now time.Time) []Finding {
	var out []Finding
	for _, h := range s.Leaving() {
		if h.LastWork.Sub(h.Since) > leavingGrace && now.Sub(h.LastWork) < leavingWindow {
			out = append(out, Finding{
				Subject:  h.Host,
				Evidence: fmt.Sprintf("new work %s after it announced that it leaves", h.LastWork.Sub(h.Since).Round(time.Second)),
			})
		}
	}
	return out
}

func (s Sources) drain(time.Time) []Finding {
	left, longest, draining := s.Drain()
	if !draining || longest <= left {
		return nil
	}
	return []Finding{{Subject: s.Node, Evidence: fmt.Sprintf("a request may run for %s more, but the host stops in %s", longest.Round(time.Second), left.Round(time.Second))}}
}

// configProbe records when this node first knew each revision that is not yet in
// force. The condition begins when the oldest of these revisions became known. A
// steady stream of changes therefore raises no alarm as long as each revision
// comes into force in time.
type configProbe struct {
	s       Sources
	pending []pendingRevision
}

type pendingRevision struct {
	revision   uint64
	firstKnown time.Time
}

func (p *configProbe) find(now time.Time) []Finding {
	inForce, newest := p.s.Config()
	for len(p.pending) > 0 && p.pending[0].revision <= inForce {
		p.pending = p.pending[1:]
	}
	recorded := inForce
	if n := len(p.pending); n > 0 {
		recorded = p.pending[n-1].revision
	}
	if newest > recorded {
		p.pending = append(p.pending, pendingRevision{newest, now})
	}
	if len(p.pending) == 0 {
		return nil
	}
	return []Finding{{
		Subject:  p.s.Node,
		Evidence: fmt.Sprintf("revision %d is in force, revision %d is known", inForce, newest),
		Since:    p.pending[0].firstKnown,
	}}
}
