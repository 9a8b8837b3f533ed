package confd

import (
	"encoding/json"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Document is the configuration document that the operators' form-based
// console emits and verbenapierctl applies.
type Document struct {
	Services      map[string]Service      `json:"services"`
	Models        map[string]Model        `json:"models,omitempty"`
	Organisations map[string]Organisation `json:"organisations"`
}

// Service is a named group of upstreams that callers use.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Models lists the models of an engine service.
	Models []string `json:"models,omitempty"`
	// TimeLimit is the time limit of a request that does not set one.
	TimeLimit Duration `json:"time_limit"`
	// MaxTimeLimit is the maximum time limit that a request may set.
	MaxTimeLimit Duration `json:"max_time_limit"`
	// ShortPromptTokens is the largest prompt, in tokens, that counts as short.
	ShortPromptTokens int `json:"short_prompt_tokens,omitempty"`
	// Weights sets what the scheduler of an engine service optimises for.
	Weights Weights `json:"weights,omitzero"`
	// Fencing says whether the engines check the fencing numbers of orders.
	Fencing Fencing `json:"fencing,omitempty"`
	// Routes of a plain service say which calls are idempotent. A call that
	// matches no route is refused.
	Routes []Route `json:"routes,omitempty"`
	// IdempotencyWindow is how long a resend with the same idempotency key is
	// valid.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// RetryRatio is the number of retries allowed for each admitted request,
	// averaged over the service.
	RetryRatio float64 `json:"retry_ratio"`
	// QuarantineTime is how long a prompt that crashed engines is refused.
	QuarantineTime Duration `json:"quarantine_time,omitempty"`
}

// ServiceKind says what the upstreams of a service are.
type ServiceKind string

// The kinds of services.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Weights are the relative weights of the scheduler's goals. They need not add
// up to one.
type Weights struct {
	TimeToFirstToken   float64 `json:"time_to_first_token"`
	HeadOfLineBlocking float64 `json:"head_of_line_blocking"`
}

// Fencing says what the engines of a service do with fencing numbers. Each new owner
// of a cell, which is a group of engines, acquires a higher number and sends it with
// its orders to load and unload models. An engine that checks the numbers refuses an
// order with a lower number than it has accepted before.
type Fencing string

// The fencing behaviours.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Route is a method and path pattern of a plain service. The path follows the
// pattern syntax of net/http.ServeMux.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Model is a model with the version that engines must serve.
type Model struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// MinEngines is how many engines of each cell keep the model loaded.
	MinEngines int `json:"min_engines,omitempty"`
}

// Organisation is a group of callers that share API keys and limits.
type Organisation struct {
	// Keys holds hashes of API keys, each "sha256:" and 64 hexadecimal digits.
	Keys []string `json:"keys"`
	// Weight is the organisation's share relative to that of others.
	Weight float64 `json:"weight"`
	// Services lists the services that the organisation may use; empty means all.
	Services []string `json:"services,omitempty"`
	// RequestsPerSecond, TokensPerSecond and Concurrent limit the
	// organisation over all nodes; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
}

// Duration is a time.Duration written as a string such as "30s" in JSON.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string. Anything else is an Invalid error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fault.New(fault.Invalid, "a duration is a string such as \"30s\", not %s", data)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return fault.New(fault.Invalid, "%q is not a duration such as \"30s\"", s)
	}
	*d = Duration(parsed)
	return nil
}
