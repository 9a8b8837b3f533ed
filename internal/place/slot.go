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
	// keptBacklog is what an engine whose long prompt has not begun has left to
	// read at least: more than a part of a long prompt may wait for.
	keptBacklog = 2 * readOverlap
	// overdueFactor times the expected time plus overdueBase is when a prompt
	// that has not begun counts as lost. Engines cut off work that hangs on a
	// dead one after 1.5 s.
	overdueFactor = 2.0
	overdueBase   = 1500 * time.Millisecond
	// paceWeight is the weight of a new observation of an engine's pace.
	paceWeight = 0.4
	// slowPace is the pace from which an engine counts as slow, and maxPace
	// the slowest pace that is believed. One below usualPace counts as normal:
	// the time between events varies that much with the other streams.
	slowPace  = 2.0
	maxPace   = 20.0
	usualPace = 1.4
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
	// unreported is the number of requests that the engine runs and no host
	// reports.
	unreported int
	pace       float64

	failures int
	barred   time.Time
}

// backlog returns the time until all granted prompts are read. A part of a long
// prompt keeps its engine until the prompt begins: newer parts would be read
// before it, so that an estimate that is a little short would cost it the whole
// time of the next one.
func (s *slot) backlog(now time.Time) time.Duration {
	left := max(0, s.reading.Sub(now))
	for _, j := range s.jobs {
		if j.keeps(now) {
			return max(left, keptBacklog)
		}
	}
	return left
}

// keeps reports whether a request keeps its engines: it has a long part to be
// read, and may still begin.
func (j *job) keeps(now time.Time) bool {
	return j.grant != nil && !j.begun && j.part > readOverlap &&
		now.Sub(j.granted) < scale(j.grant.Expected, overdueFactor)+overdueBase
}

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
	if pace < usualPace {
		pace = 1
	}
	s.pace += paceWeight * (min(pace, maxPace) - s.pace)
}

// usable reports whether the engine may take new requests.
func (s *slot) usable(now time.Time) bool { return !s.Leaving && !now.Before(s.barred) }
