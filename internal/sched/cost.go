package sched

import "time"

const (
	// quadraticTokens is the prompt length at which attention doubles the
	// prefill work per token. The learned factors of each class correct it for
	// engines that differ.
	quadraticTokens = 400_000
	// decodeTokenWork is the work of one answer token in prompt tokens.
	decodeTokenWork = 4
	// defaultPrefillRate in tokens/s and defaultDecodeStep in seconds hold
	// until an engine has reported its speeds.
	defaultPrefillRate = 20_000
	defaultDecodeStep  = 0.03
)

// prefillWork is the work, in tokens of a short prompt, to process tokens
// from to to of a prompt.
func prefillWork(from, to int) float64 {
	a, b := float64(min(from, to)), float64(to)
	return b - a + (b*b-a*a)/quadraticTokens
}

// estimator predicts costs and learns from releases.
type estimator struct {
	// factor is the observed over the predicted time to first token.
	factor [classCount]float64
	// output is the fraction of MaxTokens that answers use.
	output float64
}

func newEstimator() estimator {
	e := estimator{output: 0.5}
	for c := range e.factor {
		e.factor[c] = 1
	}
	return e
}

// learningRate is the weight of one observation. Higher rates follow single
// slow requests.
const learningRate = 0.05

func (m *estimator) observe(c class, predicted, observed float64) {
	if predicted <= 0 || observed <= 0 {
		return
	}
	ratio := min(max(observed/predicted, 0.5), 2)
	m.factor[c] = min(max(m.factor[c]*(1+learningRate*(ratio-1)), 0.5), 4)
}

func (m *estimator) observeOutput(used, limit int) {
	if limit > 0 {
		m.output += learningRate * (min(1, float64(used)/float64(limit)) - m.output)
	}
}

// relaxTime is the time constant with which learned values return to their
// initial ones. Without it a wrong value that refuses every request of a class
// could never be corrected.
const relaxTime = 2 * time.Minute

func (m *estimator) relax(elapsed time.Duration) {
	gain := min(1, elapsed.Seconds()/relaxTime.Seconds())
	fresh := newEstimator()
	for c := range m.factor {
		m.factor[c] += gain * (fresh.factor[c] - m.factor[c])
	}
	m.output += gain * (fresh.output - m.output)
}

// seconds converts prefill work to time on an engine.
func (m *estimator) seconds(c class, work, rate float64) float64 {
	return m.factor[c] * work / rate
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
