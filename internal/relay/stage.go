package relay

import (
	"sync/atomic"
)

// stage is how far a request has come.
type stage int

const (
	// stageReading: the request is being read.
	stageReading stage = iota
	// stageWaiting: no upstream has the request.
	stageWaiting
	// stageRunning: the request was sent to an upstream, and none of its answer to the
	// caller.
	stageRunning
	// stageAnswering: a part of the answer was sent to the caller.
	stageAnswering

	stageCount
)

var stageNames = [stageCount]string{"reading", "waiting", "running", "answering"}

func (s stage) String() string { return stageNames[s] }

// stageCounts counts the requests in each stage.
type stageCounts [stageCount]atomic.Int64

// byName returns the counts by the name of the stage, without those that are zero.
func (s *stageCounts) byName() map[string]int64 {
	counts := map[string]int64{}
	for i := range s {
		if n := s[i].Load(); n > 0 {
			counts[stage(i).String()] = n
		}
	}
	return counts
}

// enter records that the request has reached a stage.
func (c *call) enter(s stage) {
	c.server.stages[c.stage].Add(-1)
	c.server.stages[s].Add(1)
	c.stage = s
}

// enterIfNoAnswer is enter, unless a part of the answer was sent to the caller.
func (c *call) enterIfNoAnswer(s stage) {
	if !c.headerSent {
		c.enter(s)
	}
}
