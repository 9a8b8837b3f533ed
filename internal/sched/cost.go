package sched

import "time"

const (
	// quadraticTokens is the prompt length at which attention doubles the mean
	// prefill work per token. For engines that differ, the learned factor of
	// each class corrects the prediction.
	quadraticTokens = 400_000
	// decodeTokenWork is the work to decode one answer token, in prompt tokens.
	decodeTokenWork = 4
	// defaultPrefillRate in tokens/s and defaultDecodeStep in seconds are
	// assumed until an engine has reported its speeds.
	defaultPrefillRate = 20_000
	defaultDecodeStep  = 0.03
)

// prefillWork is the work to prefill the tokens of a prompt between the positions
// from and to, measured in tokens of a short prompt.
func prefillWork(from, to int) float64 {
	a, b := float64(min(from, to)), float64(to)
	return b - a + (b*b-a*a)/quadraticTokens
}

// estimator predicts the cost of requests and corrects its predictions by what
// released requests used.
type estimator struct {
	// prefillFactor is the learned ratio of the observed to the predicted time
	// to first token.
	prefillFactor [classCount]float64
	// outputFraction is the learned fraction of MaxTokens that answers use.
	outputFraction float64
}

func newEstimator() estimator {
	e := estimator{outputFraction: 0.5}
	for c := range e.prefillFactor {
		e.prefillFactor[c] = 1
	}
	return e
}

// learningRate is the weight of one observation. With higher rates, single slow
// requests change the predictions.
const learningRate = 0.05

func (m *estimator) observeFirstToken(c class, predicted, observed float64) {
	if predicted <= 0 || observed <= 0 {
		return
	}
	ratio := min(max(observed/predicted, 0.5), 2)
	m.prefillFactor[c] = min(max(m.prefillFactor[c]*(1+learningRate*(ratio-1)), 0.5), 4)
}

func (m *estimator) observeOutput(used, limit int) {
	if limit > 0 {
		m.outputFraction += learningRate * (min(1, float64(used)/float64(limit)) - m.outputFraction)
	}
}

// decayTime is the time constant with which learned values return to their
// initial values. Without decay, a wrong value that makes the scheduler refuse
// every request of a class would never be corrected.
const decayTime = 2 * time.Minute

func (m *estimator) decay(elapsed time.Duration) {
	gain := min(1, elapsed.Seconds()/decayTime.Seconds())
	initial := newEstimator()
	for c := range m.prefillFactor {
		m.prefillFactor[c] += gain * (initial.prefillFactor[c] - m.prefillFactor[c])
	}
	m.outputFraction += gain * (initial.outputFraction - m.outputFraction)
}

// prefillSeconds converts prefill work to seconds on an engine with the given
// rate.
func (m *estimator) prefillSeconds(c class, work, rate float64) float64 {
	return m.prefillFactor[c] * work / rate
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
