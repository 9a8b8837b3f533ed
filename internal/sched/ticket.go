package sched

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/queue"
)

// class groups requests by prompt length. Classes of shorter prompts have lower
// numbers and a higher priority on the engine.
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

// mediumPromptTokens is the maximum length of a prompt of classMedium.
const mediumPromptTokens = 64 << 10

// classOf returns the class of a prompt, where maxShort is the maximum length of a
// short prompt.
func classOf(prompt, maxShort int) class {
	switch {
	case prompt <= maxShort:
		return classShort
	case prompt <= mediumPromptTokens:
		return classMedium
	}
	return classLong
}

// excludedShortShare is the part of the short share that each class may not use.
var excludedShortShare = [classCount]float64{0, 0.5, 1}

type ticketState int

const (
	// stateQueued tickets are in the queue.
	stateQueued ticketState = iota
	// stateParked tickets wait for the engine that their fingerprint is pinned to.
	stateParked
	// stateGathering tickets have a gathering that collects memory for them.
	stateGathering
	// stateDecided tickets are granted or refused.
	stateDecided
)

// ticket is a request that waits for a grant. Its grant or err is set once, before
// done is closed.
type ticket struct {
	req   Request
	class class
	// memoryClass is the class whose part of the memory the request may use. It
	// differs from class for the short requests of an organisation whose lead
	// exceeds demoteLead.
	memoryClass class
	lane        int
	arrived     time.Time
	deadline    time.Time
	// memory is the KV memory of prompt and answer in tokens. prefillWork is the
	// work of the prefill and totalWork that of prefill and decoding, measured
	// in tokens of a short prompt.
	memory                 int
	prefillWork, totalWork float64
	// prefillSeconds is the predicted prefill time on an idle engine,
	// serviceTime the predicted time from the start to the last token.
	prefillSeconds float64
	serviceTime    time.Duration
	// rank orders the tickets of one organisation in a lane; the lowest is served
	// first.
	rank float64
	// blockedSince is when the request first found no memory. No gathering is
	// started for it before gatherNotBefore.
	blockedSince    time.Time
	gatherNotBefore time.Time

	state ticketState
	// waiters counts the calls of Acquire that wait for the ticket.
	waiters   int
	item      *queue.Item[string, *ticket]
	parkedFor *engineState
	done      chan struct{}
	grant     Grant
	err       error
}

func (t *ticket) key() requestKey { return requestKey{t.req.ID, t.req.Attempt} }

// latestStart is the last time at which a start is predicted to meet the
// deadline.
func (t *ticket) latestStart() time.Time { return t.deadline.Add(-t.serviceTime) }

// dueMargin is how long before its latest start a request becomes due and goes
// before the others of its organisation.
const dueMargin = 2 * time.Second

// due is the time from which the ticket goes before the others of its
// organisation.
func (t *ticket) due() time.Time { return t.latestStart().Add(-dueMargin) }

// requestKey identifies an attempt of a request.
type requestKey struct {
	id      string
	attempt int
}
