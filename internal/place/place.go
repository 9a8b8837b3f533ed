// Package place decides which engines a prompt is sent to. One node at a time
// schedules a cell, the engines of a service or a part of them: it has a picture
// of its engines, grants places to the nodes that callers are connected to, and
// rebuilds the picture from them after a change of owner. Two owners at once cost speed, never correctness:
// engines refuse what they have no room for.
package place

import (
	"time"
)

// Upstream is an engine or a server of a plain service.
type Upstream struct {
	// ID names one registration. An upstream that starts again may keep it.
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Started is when the upstream started, as it says itself. One that starts
	// again under its id knows nothing of earlier requests.
	Started time.Time `json:"started,omitzero"`
	// Leaving upstreams take no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Request asks for a place.
type Request struct {
	// ID names the attempt of one node.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Cell is the group of the service's engines that is asked for a place. The
	// client chooses it.
	Cell         string `json:"cell"`
	Node         string `json:"node"`
	Organisation string `json:"organisation,omitempty"`
	// Prompt and Output are numbers of tokens; Output is an estimate.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Goal is the time left until the first event is late; it is negative
	// once that has passed. Gap is the longest pause between events that is on
	// time, and Remaining the time left until the request ends.
	Goal      time.Duration `json:"goal_ns"`
	Gap       time.Duration `json:"gap_ns"`
	Remaining time.Duration `json:"remaining_ns"`
	// Patience is the time left until the caller gives up without an event.
	Patience time.Duration `json:"patience_ns"`
	// Priority ranks requests; 0 is the highest.
	Priority int `json:"priority"`
	// Avoid holds the ids of upstreams that failed this request.
	Avoid []string `json:"avoid,omitempty"`
	// Fingerprint identifies a request that comes again, by organisation and
	// content.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// Grant is a place for a request.
type Grant struct {
	// ID names the request in reports, to the owner of the cell.
	ID       string   `json:"id"`
	Cell     string   `json:"cell"`
	Upstream Upstream `json:"upstream"`
	// Helpers read parts of the prompt for the upstream.
	Helpers []Helper `json:"helpers,omitempty"`
	// Expected is the estimated time to the first event.
	Expected time.Duration `json:"expected_ns"`
	// Alone says that the node decided without the owner's picture.
	Alone bool `json:"alone,omitempty"`
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Reserve is how much memory to reserve there before the request is sent,
	// in tokens; Ticket names the reservation.
	Reserve int    `json:"reserve,omitempty"`
	Ticket  string `json:"ticket,omitempty"`
}

// Verdict is the answer to a request for a place: a grant, a refusal, or
// neither while the request waits.
type Verdict struct {
	Grant   *Grant   `json:"grant,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Unready says that the node knows no engine of the service, as after its
	// start while the platform is down. Another one may.
	Unready bool `json:"unready,omitempty"`
}

// Refusal says why a request cannot be served, and when to try again.
type Refusal struct {
	Reason     string        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Quarantined requests crashed several engines.
	Quarantined bool `json:"quarantined,omitempty"`
}

// Outcome is how a granted request ended.
type Outcome string

// The outcomes.
const (
	// Done requests ended well, or were given up by their caller.
	Done Outcome = "done"
	// Rejected requests were not run: the engine was full or another one.
	Rejected Outcome = "rejected"
	// Broken requests lost their engine.
	Broken Outcome = "broken"
)

// Running is a granted request as its node reports it.
type Running struct {
	ID           string        `json:"id"`
	Organisation string        `json:"organisation,omitempty"`
	Upstream     string        `json:"upstream"`
	Helpers      []string      `json:"helpers,omitempty"`
	Prompt       int           `json:"prompt"`
	Output       int           `json:"output"`
	Gap          time.Duration `json:"gap_ns"`
	// Begun says that the first event has arrived.
	Begun bool `json:"begun,omitempty"`
}

// Ending is a request that ended since the last report.
type Ending struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Fault is the id of the upstream at fault, when that is known.
	Fault       string `json:"fault,omitempty"`
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// Pace is the time between events against the expected time; zero when
	// unknown.
	Pace float64 `json:"pace,omitempty"`
}

// Report is what a node tells the owner of a cell.
type Report struct {
	Cell    string    `json:"cell"`
	Node    string    `json:"node"`
	Running []Running `json:"running,omitempty"`
	// Full reports list all running requests of the node; others only those
	// that changed.
	Full  bool     `json:"full,omitempty"`
	Ended []Ending `json:"ended,omitempty"`
}
