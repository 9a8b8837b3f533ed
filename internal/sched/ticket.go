package sched

import "time"

// class groups requests by prompt length. Lower classes have a higher
// priority on the engine.
type class int

const (
	classShort class = iota
	classMedium
	classLong
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

type ticketState int

const (
	stateQueued ticketState = iota
	stateDecided
)

// ticket is a request that waits for a grant. Its outcome is set once, before
// done is closed.
type ticket struct {
	req      Request
	class    class
	arrived  time.Time
	deadline time.Time
	// need is the KV memory of prompt and answer in tokens, work its cost for
	// fairness in tokens.
	need int
	work float64

	state   ticketState
	waiters int
	done    chan struct{}
	grant   Grant
	err     error
}

func (t *ticket) key() requestKey { return requestKey{t.req.ID, t.req.Attempt} }

type requestKey struct {
	id      string
	attempt int
}
