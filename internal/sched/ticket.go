package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/queue"
)

// class groups requests by prompt length. Lower classes have a higher
// priority on the engine.
type class int

const (
	classShort class = iota
	classMedium
	classLong
	classCount
)

// Lanes of the queue: one for each class, and one for requests that need
// several engines or a whole one.
const (
	laneGather = int(classCount)
	laneCount  = int(classCount) + 1
)

// mediumPromptTokens is the longest prompt of classMedium.
const mediumPromptTokens = 64 << 10

// classOf returns the class of a prompt.
func classOf(prompt, short int) class {
	switch {
	case prompt <= short:
		return classShort
	case prompt <= mediumPromptTokens:
		return classMedium
	}
	return classLong
}

// keepsOut is the part of the short share of memory that a class may not use.
var keepsOut = [classCount]float64{0, 0.5, 1}

type ticketState int

const (
	stateQueued ticketState = iota
	stateParked
	stateGathering
	stateDecided
)

// ticket is a request that waits for a grant. Its outcome is set once, before
// done is closed.
type ticket struct {
	req   Request
	class class
	// pool is the class whose memory the request may use.
	pool     class
	lane     int
	arrived  time.Time
	deadline time.Time
	// need is the KV memory of prompt and answer in tokens, work the prefill
	// and decoding in tokens of work.
	need          int
	prefill, work float64
	// seconds is the predicted prefill time on an idle engine, service the
	// predicted time from the start to the last token.
	seconds float64
	service time.Duration
	// rank orders the tickets of one organisation; lower goes first.
	rank float64
	// blocked is when the request first found no memory, notBefore the time
	// before which no gathering is started for it.
	blocked   time.Time
	notBefore time.Time

	state   ticketState
	waiters int
	item    *queue.Item[string, *ticket]
	parked  *slot
	done    chan struct{}
	grant   Grant
	err     error
}

func (t *ticket) key() requestKey { return requestKey{t.req.ID, t.req.Attempt} }

// latestStart is the last time at which a start is predicted to meet the
// deadline.
func (t *ticket) latestStart() time.Time { return t.deadline.Add(-t.service) }

// rescueMargin is how long before its latest start a request goes ahead of
// the others of its organisation.
const rescueMargin = 2 * time.Second

func (t *ticket) due() time.Time { return t.latestStart().Add(-rescueMargin) }

type requestKey struct {
	id      string
	attempt int
}
