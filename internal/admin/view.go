// Package admin serves the operators' HTTP interface: the state of a daemon,
// the configuration, the quarantine and the drain of a host.
package admin

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/alarm"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

// State gives access to the state of the daemon. Its methods answer from memory
// and do not wait for other processes.
type State interface {
	Nodes() []Node
	Cells() []Cell
	Engines() []Engine
	Organisations() []Organisation
	Requests() []Request
	Metrics() []Metric
	Health() Health
	// Dump returns the whole state of the process, keyed by package, without
	// prompt text and keys.
	Dump() map[string]any
}

// Drainer starts the drain of the host.
type Drainer interface {
	// Drain announces that the host leaves. It returns when the announcement
	// has been sent, and does not wait for requests in flight.
	Drain(ctx context.Context) error
}

// Quarantine gives access to the quarantined prompts.
type Quarantine interface {
	// Quarantined returns the quarantined prompts that this node knows.
	Quarantined(ctx context.Context) ([]QuarantinedPrompt, error)
	// Lift ends a quarantine. If the fingerprint is unknown, the error is
	// NotFound.
	Lift(ctx context.Context, fingerprint string) error
}

// Config gives access to the configuration.
type Config interface {
	// Current returns the document in force on this node and its revision. If
	// no document is in force, the error is NoConfig.
	Current() (*confd.Document, uint64, error)
	// Apply replaces the document if the newest revision is base, where 0
	// stands for no document, and returns the new revision. With any other
	// base the error is Conflict. The operator, which is the common name of the
	// certificate, is recorded in the history.
	Apply(ctx context.Context, doc *confd.Document, base uint64, operator string) (uint64, error)
	// Newest reads the newest document and its revision from the platform.
	Newest(ctx context.Context) (*confd.Document, uint64, error)
	// History returns the revisions whose documents are kept, newest first.
	History(ctx context.Context) ([]Revision, error)
	// At returns the document of a revision. If the revision is no longer kept,
	// the error is NotFound.
	At(ctx context.Context, revision uint64) (*confd.Document, error)
}

// Alarms gives access to the active alarms.
type Alarms interface {
	Active() []alarm.Alarm
}

// Node is a daemon as this node sees it.
type Node struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	// Revision is the revision of the configuration in force on that node; 0
	// when not known.
	Revision uint64 `json:"revision,omitempty"`
}

// Cell is a group of engines with one scheduler.
type Cell struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Owner         string `json:"owner"`
	Engines       int    `json:"engines"`
	// Known says whether this node schedules the cell. Only then are the
	// following fields set.
	Known        bool `json:"known"`
	FreeTokens   int  `json:"free_tokens"`
	QueuedTokens int  `json:"queued_tokens"`
	Running      int  `json:"running"`
	Waiting      int  `json:"waiting"`
}

// Engine is an engine or another upstream.
type Engine struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Cell    string `json:"cell,omitempty"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Known says whether this node schedules the engine's cell. Only then are
	// the following fields set.
	Known          bool     `json:"known"`
	Models         []string `json:"models,omitempty"`
	CapacityTokens int      `json:"capacity_tokens"`
	UsedTokens     int      `json:"used_tokens"`
	GrantedTokens  int      `json:"granted_tokens"`
	Running        int      `json:"running"`
	ReportAge      Duration `json:"report_age"`
}

// Organisation is an organisation with its requests and tokens on this node.
type Organisation struct {
	Name     string  `json:"name"`
	Weight   float64 `json:"weight"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
	Tokens   uint64  `json:"tokens"`
}

// Request is a request in flight on this node.
type Request struct {
	ID           string   `json:"id"`
	Organisation string   `json:"organisation"`
	Service      string   `json:"service"`
	Model        string   `json:"model,omitempty"`
	State        string   `json:"state"`
	Engine       string   `json:"engine,omitempty"`
	Attempt      int      `json:"attempt"`
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	Age          Duration `json:"age"`
	Remaining    Duration `json:"remaining"`
}

// Duration is encoded as a string such as "1.5s".
type Duration = confd.Duration

// QuarantinedPrompt is a prompt that crashed engines.
type QuarantinedPrompt struct {
	Fingerprint  string    `json:"fingerprint"`
	Organisation string    `json:"organisation"`
	Model        string    `json:"model"`
	State        string    `json:"state"`
	Engines      []string  `json:"engines,omitempty"`
	Until        time.Time `json:"until,omitzero"`
}

// Metric is the current value of a counter, gauge or percentile.
type Metric struct {
	Name  string            `json:"name"`
	Tags  map[string]string `json:"tags,omitempty"`
	Value float64           `json:"value"`
}

// Health says whether the node accepts requests and, if not, for what reasons.
type Health struct {
	Ready    bool     `json:"ready"`
	Node     string   `json:"node"`
	Leaving  bool     `json:"leaving"`
	Revision uint64   `json:"revision"`
	Reasons  []string `json:"reasons,omitempty"`
}

// Revision is an entry of the history of configurations.
type Revision struct {
	Revision uint64    `json:"revision"`
	Time     time.Time `json:"time,omitzero"`
	// Operator is the common name of the certificate with which the revision
	// was applied.
	Operator string `json:"operator,omitempty"`
}

// ConfigAnswer is the answer to GET and PUT on the configuration. The answer to
// GET has a document, the answer to PUT has changes.
type ConfigAnswer struct {
	Revision uint64          `json:"revision"`
	Document *confd.Document `json:"document,omitempty"`
	Changes  []confd.Change  `json:"changes,omitempty"`
}

// ErrorAnswer is the body of every error.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error.
type ErrorBody struct {
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Problems strict.Problems `json:"problems,omitempty"`
	// Revision and Changes are set on a conflict. Revision is the newest one;
	// Changes are those between the base revision and the newest.
	Revision uint64         `json:"revision,omitempty"`
	Changes  []confd.Change `json:"changes,omitempty"`
}
