package place

import (
	"math"
	"time"
)

const (
	// penaltyBase is the time without new requests after the first failure of
	// an engine. It doubles with each further one up to penaltyMax: an engine
	// that restarts is back after some seconds.
	penaltyBase = 500 * time.Millisecond
	penaltyMax  = 8 * time.Second
	// paceWeight is the weight of a new observation of an engine's pace.
	paceWeight = 0.4
	// slowPace is the pace from which an engine counts as slow, and maxPace
	// the slowest pace that is believed.
	slowPace = 2.0
	maxPace  = 20.0
)

// slot is an engine of the pool.
type slot struct {
	Upstream
	// order is the position in which short prompts fill the engines.
	order int
	jobs  map[string]*job
	// reading is when the engine is expected to have read all prompts granted
	// to it.
	reading time.Time
	memory  int
	pace    float64

	failures int
	barred   time.Time
}

// backlog returns the time until all granted prompts are read.
func (s *slot) backlog(now time.Time) time.Duration { return max(0, s.reading.Sub(now)) }

// fail records a failure at the engine.
func (s *slot) fail(now time.Time) {
	s.failures++
	s.barred = now.Add(min(penaltyMax, time.Duration(float64(penaltyBase)*math.Pow(2, float64(s.failures-1)))))
}

// succeed records that the engine served a request.
func (s *slot) succeed() { s.failures = 0 }

func (s *slot) observe(pace float64) {
	if pace <= 0 {
		return
	}
	s.pace += paceWeight * (min(pace, maxPace) - s.pace)
}

// usable reports whether the engine may take new requests.
func (s *slot) usable(now time.Time) bool { return !s.Leaving && !now.Before(s.barred) }
