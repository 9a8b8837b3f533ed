// Package alarm tells operators which promise of the system is at risk, on
// what evidence, and what to do. An alarm is raised after its condition has
// held for a minimum time and is cleared when the condition no longer holds.
package alarm

import "time"

// Promise is one of the numbered guarantees that the system gives.
type Promise int

// The promises.
const (
	WithinTimeLimit Promise = iota + 1
	NoMemoryLoss
	CompleteAnswer
	AccurateNotRun
	AtMostOnce
	NoWorkOnLeavingHost
	CompleteDrain
	ConfigInForce
)

var promises = map[Promise]string{
	WithinTimeLimit:     "every admitted request finishes or fails within its time limit",
	NoMemoryLoss:        "no engine loses memory permanently",
	CompleteAnswer:      "each caller receives the whole answer to its own request",
	AccurateNotRun:      "when a caller is told that a request was not run, it was not run",
	AtMostOnce:          "a non-idempotent call runs at most once",
	NoWorkOnLeavingHost: "a host that is leaving receives no new work after a few seconds",
	CompleteDrain:       "a graceful shutdown cuts no request short",
	ConfigInForce:       "an accepted configuration is in force everywhere within seconds and never reverts",
}

// String returns the promise as a sentence.
func (p Promise) String() string { return promises[p] }

// Alarm is a promise at risk.
type Alarm struct {
	// Name is the name of the condition; empty for alarms made by Raise.
	Name        string  `json:"name,omitempty"`
	Promise     Promise `json:"promise"`
	PromiseText string  `json:"promise_text"`
	// Subject is the engine, host, organisation or node concerned.
	Subject  string `json:"subject"`
	Evidence string `json:"evidence"`
	Action   string `json:"action"`
	// Since is when the condition began, Raised when the alarm was raised.
	Since  time.Time `json:"since"`
	Raised time.Time `json:"raised"`
}
