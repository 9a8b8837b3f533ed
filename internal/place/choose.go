package place

import (
	"math"
	"time"
)

const (
	// maxHelpers is the maximum number of engines that prefill parts of a prompt for
	// another one.
	maxHelpers = 16
	// gapMargin is the fraction of the allowed pause between events that is kept
	// unused, since events are delayed in transit and engines differ in speed.
	gapMargin = 0.2
	// firstEventMargin is the time kept between the expected first event and the
	// goal, for the transit to the caller.
	firstEventMargin = 15 * time.Millisecond
	// lateLoss is the fraction of a request's value that is lost when it is late.
	lateLoss = 0.75
	// valueExponent relates the value of a request to the length of its prompt:
	// a prompt with ten times the tokens has 4.5 times the value.
	valueExponent = 0.65
	// referenceTokens is the length of a prompt whose value is one. It is also the
	// context assumed for each stream of a full engine.
	referenceTokens = 5000
	// A request whose first event is expected more than deferSlack before the goal
	// keeps waiting for engines on which it delays no stream.
	deferSlack = 150 * time.Millisecond
	// spareSlots is the number of slots that short prompts leave free on an engine
	// as long as another engine has more free slots. The last slots are then taken
	// on the engines with less work.
	spareSlots = 1
	// A request is urgent if the time left for its first event (see firstEventLeft)
	// is less than urgencyFactor times the shortest possible time to that event. An
	// urgent request is placed wherever it costs other requests less than it is
	// worth.
	urgencyFactor = 2.5
	// widePrefill is the prefill time above which a prompt is assumed to take most
	// engines.
	widePrefill = time.Second
	// likelyOutputShare is the fraction of OutputTokens that a request is assumed to
	// generate when deciding whether it can end in time.
	likelyOutputShare = 0.3
	// abandonLoss is the loss for a stream that its caller abandons, as a multiple
	// of the stream's value. It is larger than lateLoss, as the work is done again.
	abandonLoss = 3.0
	// A stream that pauses for longer than abandonShare of route.AbandonTimeout is
	// planned as abandoned. The share is less than 1 because engines prefill slower
	// than planned, and because gateways move a stream to another engine once its
	// engine has been silent for 0.8 of that time.
	abandonShare = 0.6
	// maxPrefillOverlap is the maximum backlog with which an engine may be given a
	// part of a long prompt. Engines prefill the newest part first, so an older
	// part on the same engine may starve. The prompt therefore waits in the queue of
	// the scheduler instead.
	maxPrefillOverlap = 40 * time.Millisecond
	// firstEventIntervals is the time from the end of prefill to the first event.
	// joinIntervals is the usual wait until a new request joins the batch, as the
	// engine first completes its current pass. Both are multiples of the usual
	// time between events.
	firstEventIntervals = 1.0
	joinIntervals       = 0.5
	// queueShare is the fraction of the time to the goal that an engine's backlog
	// and the prompt's own prefill may take before a short prompt goes to an
	// engine that is kept free for long ones.
	queueShare = 0.4
	// negligibleLoss is the loss below which a plan counts as delaying no stream.
	negligibleLoss = 0.5
	// maxBarredShare is the largest fraction of the engines that may be excluded
	// because they failed lately.
	maxBarredShare = 0.4
	// usableMemoryShare is the fraction of an engine's memory that may be planned for.
	usableMemoryShare = 0.97
)

// promptValue returns the value of a prompt relative to one of referenceTokens.
func promptValue(prompt int) float64 {
	return math.Pow(max(1, float64(prompt))/referenceTokens, valueExponent)
}

// isLong reports whether the prefill of a prompt takes so long that a stream with
// the tightest gap on the same engine would be late.
func (p *Pool) isLong(j *job) bool { return j.prefill > p.prefillSlack(p.tightestGap) }

// prefillSlack returns how long an engine may prefill between two events of a
// stream without exceeding the stream's allowed gap.
func (p *Pool) prefillSlack(gap time.Duration) time.Duration {
	return time.Duration(float64(gap)*(1-gapMargin)) - p.eventTime()
}

// outputTime returns the time to generate the output of a request on a full engine.
func (p *Pool) outputTime(j *job) time.Duration {
	return time.Duration(j.OutputTokens) * p.model.Step(p.model.Slots, p.model.Slots*referenceTokens)
}

// choose returns the engines for a request, or false if the request should wait.
// The caller holds mu.
func (p *Pool) choose(j *job, now time.Time) (plan, bool) {
	engines, isolated := p.isolate(j, p.candidates(j, now), now)
	if len(engines) == 0 {
		return plan{}, false
	}
	best, ok := p.bestPlan(j, engines, now)
	if !ok {
		return plan{}, false
	}
	best.isolated = isolated
	goalLeft := j.goalLeft(now) - firstEventMargin
	onTime := best.expected <= goalLeft
	harmless := best.loss < negligibleLoss
	unattainable := j.prefill/time.Duration(min(len(engines), 1+maxHelpers)) > goalLeft
	switch {
	case harmless && (onTime || unattainable):
		return best, true
	case onTime && goalLeft-best.expected > deferSlack:
		return plan{}, false
	case onTime && best.loss < lateLoss*j.value:
		return best, true
	case p.urgent(j, len(engines), now) && best.loss < j.value:
		return best, true
	}
	return plan{}, false
}

// eventTime returns the usual time between events of a stream on a full engine.
func (p *Pool) eventTime() time.Duration {
	return p.model.EventTime(p.model.Slots, p.model.Slots*referenceTokens)
}
