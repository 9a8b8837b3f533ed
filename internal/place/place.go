// Package place decides which engines run a request. One node at a time, the
// owner, schedules a cell, which is a group of engines of one service. The owner
// keeps the load of its engines in memory and grants engines to the nodes that
// callers are connected to. After a change of owner, the new owner rebuilds this
// state from the reports of these nodes. Two owners at once make requests slower,
// never wrong, as engines reject requests for which they have no room.
package place

import (
	"strconv"
	"time"

	"github.com/verbenapier/verbenapier/internal/crash"
)

// Upstream is an engine or a server of a plain service.
type Upstream struct {
	// ID identifies one registration. An upstream may keep it when it restarts.
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Slots is the number of requests that the upstream can run at once.
	Slots int `json:"slots"`
	// Started is the start time that the upstream states. After a restart under
	// the same ID it knows nothing of earlier requests.
	Started time.Time `json:"started,omitzero"`
	// Leaving upstreams take no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Process identifies the process behind a registration. A new process may keep the ID
// of the registration, but not its start time.
func (u Upstream) Process() string {
	if u.Started.IsZero() {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// Request asks the owner of a cell for engines that run a request.
type Request struct {
	// ID identifies one attempt by a node to have a request placed.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Cell names the group of engines that is to run the request. It is set by
	// the Client.
	Cell         string `json:"cell"`
	Node         string `json:"node"`
	Organisation string `json:"organisation,omitempty"`
	PromptTokens int    `json:"prompt"`
	// OutputTokens is an estimate.
	OutputTokens int `json:"output"`
	// Goal is the time left until the first event counts as late; it is negative
	// once that time has passed. MaxGap is the longest pause between events that
	// does not count as late, and Remaining the time left until the request is
	// cut off.
	Goal      time.Duration `json:"goal_ns"`
	MaxGap    time.Duration `json:"gap_ns"`
	Remaining time.Duration `json:"remaining_ns"`
	// AbandonTimeout is the time left until a caller that has received no event
	// abandons the request.
	AbandonTimeout time.Duration `json:"patience_ns"`
	// Priority ranks requests; 0 is the highest.
	Priority int `json:"priority"`
	// Avoid lists the IDs of upstreams that failed this request.
	Avoid []string `json:"avoid,omitempty"`
	// Paused lists the engines that want nothing from the node for a time.
	Paused []Pause `json:"paused,omitempty"`
	// Content identifies what the request asks an engine to run.
	Content crash.Content `json:"content,omitzero"`
}

// Grant names the engines that run a request.
type Grant struct {
	// ID identifies the request in reports to the owner of the cell.
	ID       string   `json:"id"`
	Cell     string   `json:"cell"`
	Upstream Upstream `json:"upstream"`
	// Helpers prefill parts of the prompt for the upstream.
	Helpers []Helper `json:"helpers,omitempty"`
	// Expected is the estimated time to the first event.
	Expected time.Duration `json:"expected_ns"`
	// Suspects are the parts of the request's content that are on trial, if any. The
	// end of the engine then counts against them.
	Suspects []crash.Part `json:"suspects,omitempty"`
	// Limited is set if the owner knows of a limit of the upstream.
	Limited bool `json:"limited,omitempty"`
	// WithoutOwner is set when the node chose the upstream itself, without an owner.
	WithoutOwner bool `json:"alone,omitempty"`
}

// Helper is an engine that prefills a part of a prompt for another one.
type Helper struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Process is the result of Upstream.Process.
	Process string `json:"process,omitempty"`
	// Reserve is the memory, in tokens, to reserve at the helper before the
	// request is sent; Ticket identifies the reservation.
	Reserve int    `json:"reserve,omitempty"`
	Ticket  string `json:"ticket,omitempty"`
}

// Verdict is the answer to a Request: a grant, a refusal, or neither while the
// request waits.
type Verdict struct {
	Grant   *Grant   `json:"grant,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// NoEngineKnown is set when the node knows no usable engine of the cell. With a
	// refusal, the cell has none as far as the node knows. Without one, the node does
	// not know the engines, for example when it started while the platform was down.
	// Another node may know some.
	NoEngineKnown bool `json:"unready,omitempty"`
}

// Refusal states why a request cannot be served, and when to retry.
type Refusal struct {
	Reason     string        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Quarantined is set when the request is refused because its content ends engines.
	Quarantined bool `json:"quarantined,omitempty"`
	// noEngine is set when the cell has no usable engine (see Verdict.NoEngineKnown).
	noEngine bool
}

// Outcome is how a granted request ended.
type Outcome string

// The outcomes.
const (
	// Completed requests succeeded or were cancelled by their caller.
	Completed Outcome = "done"
	// Rejected requests were not run, as the engine was full or a different
	// instance answered at its address.
	Rejected Outcome = "rejected"
	// EngineFailed requests failed because their engine did.
	EngineFailed Outcome = "broken"
	// LinkFailed requests failed because their host did not reach the engine. That says
	// nothing about the engine.
	LinkFailed Outcome = "link_failed"
)

// RunningRequest is the entry of a granted request in a node's report.
type RunningRequest struct {
	ID           string        `json:"id"`
	Organisation string        `json:"organisation,omitempty"`
	Upstream     string        `json:"upstream"`
	Helpers      []string      `json:"helpers,omitempty"`
	PromptTokens int           `json:"prompt"`
	OutputTokens int           `json:"output"`
	MaxGap       time.Duration `json:"gap_ns"`
	// HasFirstEvent is set once the first event has arrived.
	HasFirstEvent bool `json:"begun,omitempty"`
}

// EndedRequest is the entry of a request that ended since the previous report.
type EndedRequest struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Fault is the ID of the upstream at fault, if known.
	Fault string `json:"fault,omitempty"`
	// Crash is set if the engine ended while it ran the request.
	Crash *crash.Report `json:"crash,omitempty"`
	// Slowdown is the ratio of the time between events to the expected time; zero if
	// unknown.
	Slowdown float64 `json:"pace,omitempty"`
}

// Report is a node's message to the owner of a cell about the node's requests in
// that cell.
type Report struct {
	Cell    string           `json:"cell"`
	Node    string           `json:"node"`
	Running []RunningRequest `json:"running,omitempty"`
	// Full reports list all running requests of the node; other reports list
	// only those that changed.
	Full  bool           `json:"full,omitempty"`
	Ended []EndedRequest `json:"ended,omitempty"`
	// Limits are the observations of limits since the previous report.
	Limits []LimitObservation `json:"limits,omitempty"`
	// Leaving lists processes of upstreams, also of other cells, that announced that
	// they leave.
	Leaving []string `json:"leaving,omitempty"`
}
