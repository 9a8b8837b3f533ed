// Package engine is the HTTP client of language model engines and plain
// services.
package engine

// LoadReport is the answer of GET /v1/load. Reports lag behind the engine.
type LoadReport struct {
	Engine string `json:"engine"`
	// CapacityTokens and UsedTokens measure KV memory in tokens. Cached prefixes
	// that can be evicted do not count as used.
	CapacityTokens int `json:"capacity_tokens"`
	UsedTokens     int `json:"used_tokens"`
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokensPerSecond and DecodeStepMillis are recent values of the prefill
	// rate and of the duration of a decode step.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeStepMillis       float64 `json:"decode_step_ms"`
	Models                 []Model `json:"models"`
	Role                   string  `json:"role"`
	// Fence is the highest fencing number the engine has accepted.
	Fence uint64 `json:"fence"`
	// AgeMillis is the age of the report when it was sent.
	AgeMillis int64 `json:"age_ms"`
}

const (
	// maxCount bounds the numbers of tokens and streams in a report.
	maxCount = 1 << 40
	// maxRate bounds the tokens per second and the milliseconds of a step.
	maxRate = 1e9
	// maxReportAge bounds the age of a report, in milliseconds.
	maxReportAge = 60 * 60 * 1000
)

// valid reports whether an engine can be in the state that the report gives.
func (r LoadReport) valid() bool {
	for _, n := range []int{r.CapacityTokens, r.UsedTokens, r.Running, r.Waiting} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return r.PrefillTokensPerSecond >= 0 && r.PrefillTokensPerSecond <= maxRate && r.DecodeStepMillis >= 0 &&
		r.DecodeStepMillis <= maxRate && r.AgeMillis >= 0 && r.AgeMillis <= maxReportAge
}

// Model is a loaded model.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Stream is an entry of GET /v1/streams.
type Stream struct {
	ID           string `json:"id"`
	Attempt      int    `json:"attempt"`
	Organisation string `json:"organisation"`
	PromptTokens int    `json:"prompt_tokens"`
	// TokensHeld is the KV memory that the stream uses, in tokens.
	TokensHeld int `json:"tokens_held"`
	// Generated is the number of tokens generated so far.
	Generated int `json:"generated"`
	// Attached reports whether a reader is connected. DetachedMillis is the time
	// since the last reader disconnected.
	Attached       bool   `json:"attached"`
	DetachedMillis int64  `json:"detached_ms"`
	Reservation    string `json:"reservation,omitempty"`
	// Done reports whether the stream has ended and is kept for a late reader.
	Done bool `json:"done,omitempty"`
}

// valid reports whether a stream can have these numbers.
func (s Stream) valid() bool {
	for _, n := range []int{s.PromptTokens, s.TokensHeld, s.Generated} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}

// StartRequest is the body of POST /v1/streams.
type StartRequest struct {
	ID string `json:"id"`
	// Attempt is the number of this attempt to run the request. The frames repeat
	// it.
	Attempt int `json:"attempt"`
	// Organisation is an opaque string. The engine shares cached prefixes only
	// between requests with the same Organisation.
	Organisation    string `json:"organisation"`
	Model           string `json:"model"`
	Prompt          string `json:"prompt"`
	MaxTokens       int    `json:"max_tokens"`
	Priority        int    `json:"priority"`
	TimeLimitMillis int64  `json:"time_limit_ms"`
	Reservation     string `json:"reservation,omitempty"`
	// Members are the addresses of the other engines that hold a part of the
	// stream's KV cache.
	Members []string `json:"members,omitempty"`
}

// Frame is one line of a stream.
type Frame struct {
	Attempt          int    `json:"attempt"`
	Seq              int    `json:"seq"`
	Text             string `json:"text,omitempty"`
	Done             bool   `json:"done,omitempty"`
	FinishReason     string `json:"finish_reason,omitempty"`
	PromptTokens     int    `json:"prompt_tokens,omitempty"`
	CompletionTokens int    `json:"completion_tokens,omitempty"`
	CachedTokens     int    `json:"cached_tokens,omitempty"`
	Error            string `json:"error,omitempty"`
	// Keepalive marks a line without content, which the engine sends while no
	// token is due.
	Keepalive bool `json:"keepalive,omitempty"`
}

// CacheEvent is an entry of GET /v1/cache/events.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind         string `json:"kind"`
	Organisation string `json:"organisation"`
	// Prefix is the hash of the cached prefix.
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}
