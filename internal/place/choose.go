package place

import (
	"math"
	"time"
)

const (
	// maxHelpers is how many engines may read parts of a prompt for another.
	maxHelpers = 16
	// gapSafety is the part of an allowed pause that is left unused, since
	// events are delayed on their way and engines differ.
	gapSafety = 0.2
	// firstSafety is the time kept between the expected first event and the
	// goal, for the way to the caller.
	firstSafety = 15 * time.Millisecond
	// lateLoss is the part of a request's value that is lost when it is late.
	lateLoss = 0.75
	// sizeExponent relates the value of a request to the size of its prompt:
	// ten times the tokens count 4.5 times as much.
	sizeExponent = 0.65
	// unitTokens is the prompt whose value is one.
	unitTokens = 5000
	// patience is the slack to the goal above which a request waits for engines
	// on which it disturbs nobody.
	patience = 150 * time.Millisecond
	// spareSlots is how many places of an engine short prompts leave free at
	// first, so that the last ones go to engines that work less.
	spareSlots = 1
	// urgency is the multiple of its reading time that a late request may have
	// left, beside the time to write, before it is placed wherever that costs
	// others less than it is worth.
	urgency = 2.5
	// wideReading is the reading time from which a prompt takes most engines.
	wideReading = time.Second
	// spareEngines is the part of the engines that may be busy before the time
	// of the others is worth something.
	spareEngines = 0.6
	// priceOfReading is the value of a second of reading while all engines are
	// busy: what a prompt of 250,000 tokens yields, so that longer ones, which
	// yield less, wait for a quieter time or until they are urgent.
	priceOfReading = 1.6
	// likelyOutput is the part of the largest output that a request is taken to
	// write when it is weighed whether it can end in time.
	likelyOutput = 0.3
	// abandonLoss times its value is lost with a stream that its caller gives up,
	// since its work is done again.
	abandonLoss = 3.0
	// abandonShare of the callers' patience counts as all of it: engines read slower than
	// planned, and gateways leave an engine that is silent for 0.8 of it.
	abandonShare = 0.6
	// readOverlap is the reading that an engine may have left when it gets a
	// part of a long prompt. Engines read the newest part first, so that one
	// which waits behind others on the engine may starve; it waits here instead.
	readOverlap = 40 * time.Millisecond
	// mixingLoss is the cost of each running stream on an engine that reads a
	// long prompt beside it without delaying it: new short prompts have to go
	// to other engines meanwhile.
	mixingLoss = 0.02
	// firstEvents is the time from the end of reading to the first event, and
	// passWait the usual wait for the end of the pass that an engine is in when
	// a request arrives, both in times between events.
	firstEvents = 1.0
	passWait    = 0.5
	// queueShare is the part of the time to the goal that may go into reading,
	// the prompt itself included, before a short prompt takes an engine that is
	// kept for long ones.
	queueShare = 0.4
	// freeLoss is the loss up to which a plan counts as disturbing nobody.
	freeLoss = 0.5
	// maxBarred is the part of the engines that may be passed over for failures.
	maxBarred = 0.4
	// memorySafety is the part of an engine's memory that is planned with.
	memorySafety = 0.97
)

// valueOf returns the value of a prompt relative to one of unitTokens.
func valueOf(prompt int) float64 {
	return math.Pow(max(1, float64(prompt))/unitTokens, sizeExponent)
}

// long reports whether a prompt takes so long to read that a stream with the
// tightest gap beside it would be late.
func (p *Pool) long(j *job) bool { return j.prefill > p.slack(p.gap) }

// slack returns how much reading an engine may do at once without delaying an
// event of a stream beyond an allowed pause.
func (p *Pool) slack(gap time.Duration) time.Duration {
	return time.Duration(float64(gap)*(1-gapSafety)) - p.eventTime()
}

// output returns the time to write the answer of a request.
func (p *Pool) output(j *job) time.Duration {
	return time.Duration(j.Output) * p.model.Step(p.model.Slots, p.model.Slots*unitTokens)
}

// choose returns the engines for a request, or false when it should wait. The
// caller holds mu.
func (p *Pool) choose(j *job, now time.Time) (plan, bool) {
	engines := p.candidates(j, now)
	if len(engines) == 0 {
		return plan{}, false
	}
	best, ok := p.bestPlan(j, engines, now)
	if !ok {
		return plan{}, false
	}
	left := j.goalLeft(now) - firstSafety
	onTime := best.finish <= left
	free := best.loss < freeLoss
	costly := p.price(engines)*j.prefill.Seconds() > lateLoss*j.value
	missed := j.prefill/time.Duration(min(len(engines), 1+maxHelpers)) > left
	switch {
	case costly && !p.urgent(j, len(engines), now):
		return plan{}, false
	case free && (onTime || missed):
		return best, true
	case onTime && left-best.finish > patience:
		return plan{}, false
	case onTime && best.loss < lateLoss*j.value:
		return best, true
	case p.urgent(j, len(engines), now) && best.loss < j.value:
		return best, true
	}
	return plan{}, false
}

// price returns what a second of an engine's reading is worth to others now,
// from the part of the engines that are busy.
func (p *Pool) price(engines []candidate) float64 {
	busy := 0
	for _, c := range engines {
		if c.backlog > 0 || 2*c.places >= c.Slots {
			busy++
		}
	}
	used := float64(busy) / float64(len(engines))
	return priceOfReading * max(0, used-spareEngines) / (1 - spareEngines)
}

// eventTime is the usual time between events on a full engine.
func (p *Pool) eventTime() time.Duration {
	return p.model.EventTime(p.model.Slots, p.model.Slots*unitTokens)
}
