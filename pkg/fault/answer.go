package fault

import "net/http"

// RunState says whether an upstream ran the request that was answered with an error.
type RunState string

// The run states, as sent in the header X-Verbenapier-Run.
const (
	RunNo      RunState = "no"
	RunYes     RunState = "yes"
	RunUnknown RunState = "unknown"
)

// Answer is what a caller receives for an error kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Code is the machine-readable error code of the body.
	Code string
	// Run says whether an upstream ran the request.
	Run RunState
	// Resend says whether the caller may send the same request again and
	// expect a different result.
	Resend bool
	// Meaning is one sentence for the documentation and the error body.
	Meaning string
}

// statusClientClosedRequest is the customary, non-standard status of a request
// whose caller disconnected. It appears in logs and metrics; no caller reads
// it.
const statusClientClosedRequest = 499

// answers is the table of answers by kind.
var answers = [kindCount]Answer{
	Internal:             {http.StatusInternalServerError, "internal_error", RunUnknown, false, "an internal error occurred"},
	Invalid:              {http.StatusBadRequest, "invalid_request", RunNo, false, "the request is malformed or a value is out of range"},
	TooLarge:             {http.StatusRequestEntityTooLarge, "request_too_large", RunNo, false, "the request body or header exceeds the limit"},
	Unauthenticated:      {http.StatusUnauthorized, "invalid_api_key", RunNo, false, "the API key is missing or belongs to no organisation"},
	Forbidden:            {http.StatusForbidden, "forbidden", RunNo, false, "the organisation may not use this service"},
	NotFound:             {http.StatusNotFound, "not_found", RunNo, false, "the model, service or path does not exist"},
	Conflict:             {http.StatusConflict, "conflict", RunNo, false, "the value was changed by somebody else"},
	Stale:                {http.StatusConflict, "stale", RunNo, false, "the fencing number or incarnation is out of date"},
	RateLimited:          {http.StatusTooManyRequests, "rate_limit_exceeded", RunNo, true, "the organisation is over its limit"},
	Overloaded:           {http.StatusServiceUnavailable, "overloaded", RunNo, true, "the fleet has no room for this request now"},
	DeadlineUnattainable: {http.StatusServiceUnavailable, "deadline_unattainable", RunNo, true, "the request cannot finish within its time limit"},
	PromptTooLong:        {http.StatusBadRequest, "context_length_exceeded", RunNo, false, "no group of engines can hold the prompt"},
	HostLeaving:          {http.StatusServiceUnavailable, "host_leaving", RunNo, true, "this host is leaving; use another address"},
	NoConfig:             {http.StatusServiceUnavailable, "no_configuration", RunNo, true, "this host has no configuration yet"},
	PlatformDown:         {http.StatusServiceUnavailable, "platform_unavailable", RunNo, true, "the platform's key-value service is unavailable"},
	Unreachable:          {http.StatusServiceUnavailable, "upstream_unreachable", RunNo, true, "no upstream could be reached"},
	NoEngine:             {http.StatusServiceUnavailable, "no_engine", RunNo, true, "no engine can run the request now"},
	NotOwner:             {http.StatusMisdirectedRequest, "not_owner", RunNo, true, "this node does not own the requested state"},
	UpstreamRefused:      {http.StatusServiceUnavailable, "upstream_refused", RunNo, true, "the upstream refused the request before starting it"},
	Quarantined:          {http.StatusUnprocessableEntity, "quarantined", RunNo, false, "this prompt crashed engines and is quarantined"},
	AlreadyClaimed:       {http.StatusConflict, "already_claimed", RunUnknown, false, "a call with this idempotency key was claimed before and its outcome is not known"},
	KeyExpired:           {http.StatusConflict, "idempotency_key_expired", RunUnknown, false, "the idempotency key is older than the window"},
	Timeout:              {http.StatusGatewayTimeout, "time_limit_exceeded", RunUnknown, true, "the time limit passed"},
	NotStarted:           {http.StatusGatewayTimeout, "not_started_in_time", RunNo, true, "the time limit passed before the request was dispatched"},
	Canceled:             {statusClientClosedRequest, "canceled", RunUnknown, true, "the caller closed the request"},
	UpstreamLost:         {http.StatusBadGateway, "upstream_lost", RunUnknown, true, "the upstream was lost after the request was dispatched"},
	UpstreamFailed:       {http.StatusBadGateway, "upstream_failed", RunYes, false, "the upstream reported an error"},
	ReplyLost:            {http.StatusBadGateway, "reply_lost", RunUnknown, false, "the reply was lost and the effect is not known"},
	RequestTimeout:       {http.StatusRequestTimeout, "request_timeout", RunNo, true, "the request did not arrive in time"},
	HostStopped:          {http.StatusGatewayTimeout, "host_stopped", RunUnknown, true, "this host stopped before the answer was complete"},
}

// Answer returns the answer of the kind; for a value out of range, that of
// Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}
