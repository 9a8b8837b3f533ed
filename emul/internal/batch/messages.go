package batch

// StartRequest asks an engine for a new stream. The engine is then the leader of the
// stream. Members are the addresses of other engines, which hold the part of the
// stream's KV cache that does not fit on the leader. Reservation is the id of the
// reservations on the leader and on the members; the stream consumes them. Streams with
// a lower Priority number go first.
type StartRequest struct {
	ID              string   `json:"id"`
	Attempt         int      `json:"attempt"`
	Organisation    string   `json:"organisation"`
	Model           string   `json:"model"`
	Prompt          string   `json:"prompt"`
	MaxTokens       int      `json:"max_tokens"`
	Priority        int      `json:"priority"`
	TimeLimitMillis int64    `json:"time_limit_ms"`
	Reservation     string   `json:"reservation"`
	Members         []string `json:"members"`
}

// Frame is one line of a stream. The frame of the last token has Done set. A
// failed stream ends with a frame that has Done and Error set and no text.
// Keepalive marks a frame that carries no token.
type Frame struct {
	Attempt          int    `json:"attempt"`
	Seq              int    `json:"seq"`
	Text             string `json:"text"`
	Done             bool   `json:"done"`
	FinishReason     string `json:"finish_reason,omitempty"`
	PromptTokens     int    `json:"prompt_tokens,omitempty"`
	CompletionTokens int    `json:"completion_tokens,omitempty"`
	CachedTokens     int    `json:"cached_tokens,omitempty"`
	Error            string `json:"error,omitempty"`
	Keepalive        bool   `json:"-"`
}

// StreamInfo is an entry of the list of streams. Done marks a finished stream. A
// finished stream holds no memory and is kept so that a reader can resume it.
type StreamInfo struct {
	ID             string `json:"id"`
	Attempt        int    `json:"attempt"`
	Organisation   string `json:"organisation"`
	PromptTokens   int    `json:"prompt_tokens"`
	TokensHeld     int    `json:"tokens_held"`
	Generated      int    `json:"generated"`
	Attached       bool   `json:"attached"`
	DetachedMillis int64  `json:"detached_ms"`
	Reservation    string `json:"reservation"`
	Done           bool   `json:"done"`
}

// Model is a loaded model.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Load is a load report. Speeds are moving averages over the last steps.
type Load struct {
	Engine                 string  `json:"engine"`
	CapacityTokens         int     `json:"capacity_tokens"`
	UsedTokens             int     `json:"used_tokens"`
	Running                int     `json:"running"`
	Waiting                int     `json:"waiting"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeStepMillis       float64 `json:"decode_step_ms"`
	Models                 []Model `json:"models"`
	Role                   string  `json:"role"`
	Fence                  uint64  `json:"fence"`
	AgeMillis              int64   `json:"age_ms"`
}

// Order changes what the engine serves. Kind is load, unload, adapter or role.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// Event is a change of the prefix cache. Tokens is the length of the prefix.
type Event struct {
	Seq          uint64 `json:"seq"`
	Kind         string `json:"kind"`
	Organisation string `json:"organisation"`
	Prefix       string `json:"prefix"`
	Tokens       int    `json:"tokens"`
}

// Reservation asks for memory. A reservation with a TTLMillis of 0 is kept until it is
// deleted, or consumed by a stream or an import.
type Reservation struct {
	ID        string `json:"id"`
	Tokens    int    `json:"tokens"`
	TTLMillis int64  `json:"ttl_ms"`
}

// ImportRequest asks an engine to hold KV cache for another engine. An import with a
// reservation takes at most the reserved tokens and consumes the reservation. Renew
// extends an existing import and never creates one. Organisation and Prefixes are set
// for an exported prefix. The engine adds that prefix to its prefix cache when the
// import is freed or expires.
type ImportRequest struct {
	ID           string   `json:"id"`
	Reservation  string   `json:"reservation"`
	Tokens       int      `json:"tokens"`
	TTLMillis    int64    `json:"ttl_ms,omitempty"`
	Renew        bool     `json:"renew,omitempty"`
	Organisation string   `json:"organisation,omitempty"`
	Prefixes     []string `json:"prefixes,omitempty"`
}

// ExportRequest pins a cached prefix so that it is not evicted while another
// engine copies it. With a TTLMillis of 0 the export is kept until deleted.
type ExportRequest struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Prefix       string `json:"prefix"`
	TTLMillis    int64  `json:"ttl_ms"`
}

// ExportResponse is the answer to an ExportRequest. Prefixes are the hashes of the
// exported prefix and of the shorter cached prefixes that it starts with, shortest
// first.
type ExportResponse struct {
	ID       string   `json:"id"`
	Tokens   int      `json:"tokens"`
	Prefixes []string `json:"prefixes"`
}

// Allocation is an import, export or reservation. ExpiresMillis is the time left
// until it expires, or 0 if it has no time to live.
type Allocation struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Tokens        int    `json:"tokens"`
	ExpiresMillis int64  `json:"expires_ms"`
}
