// Package sched schedules the requests of one cell: admission, queueing,
// fairness between organisations, memory and placement on engines.
package sched

import "time"

// Request asks the scheduler of a cell for a grant.
type Request struct {
	// ID identifies the request. Acquiring again with the same ID and attempt
	// returns the same grant.
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Cell    string `json:"cell"`
	// Entry and EntryIncarnation identify the entry node that serves the caller.
	Entry            string  `json:"entry"`
	EntryIncarnation uint64  `json:"entry_incarnation"`
	Organisation     string  `json:"organisation"`
	Weight           float64 `json:"weight"`
	Model            string  `json:"model"`
	// PromptTokens is the estimated length of the prompt, MaxTokens the maximum
	// length of the answer.
	PromptTokens int `json:"prompt_tokens"`
	MaxTokens    int `json:"max_tokens"`
	// Prefixes are the hashes of the prompt's prefixes of 4 KiB, 8 KiB and so
	// on, each twice as long as the one before.
	Prefixes []string `json:"prefixes,omitempty"`
	// Fingerprint identifies the prompt. Requests in flight with the same
	// fingerprint run on the same engine.
	Fingerprint string `json:"fingerprint"`
	// Alone asks for an engine that runs no other request at the same time.
	Alone bool `json:"alone,omitempty"`
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration `json:"remaining_ns"`
	// Avoid lists engines on which this request failed before.
	Avoid []string `json:"avoid,omitempty"`
}

// Grant permits a request to run on an engine.
type Grant struct {
	ID    string `json:"id"`
	Cell  string `json:"cell"`
	Owner string `json:"owner"`
	// Engine and Address identify the engine that runs the request. Members are
	// the addresses of further engines that hold part of its KV cache. For a
	// grant with members, Reservation is the id of its memory reservation on all
	// of these engines.
	Engine      string   `json:"engine"`
	Address     string   `json:"address"`
	Members     []string `json:"members,omitempty"`
	Reservation string   `json:"reservation,omitempty"`
	// Shares are the tokens booked on Engine and then on each of Members.
	Shares []int `json:"shares,omitempty"`
	// Priority on the engine; 0 is the highest.
	Priority int `json:"priority"`
	// Lifetime is how long the grant lasts without renewal.
	Lifetime time.Duration `json:"lifetime_ns"`
	Digest   LoadDigest    `json:"digest"`
}

// LoadDigest summarises the load of a cell for the choice between cells.
type LoadDigest struct {
	// FreeTokens is the free KV memory, QueuedTokens the memory that the waiting
	// requests need.
	FreeTokens   int `json:"free_tokens"`
	QueuedTokens int `json:"queued_tokens"`
	// Wait is the predicted time that a short request would wait.
	Wait time.Duration `json:"wait_ns"`
}

// HeldGrant describes a grant that an entry node holds, for renewal and for
// rebuilding a scheduler after a takeover.
type HeldGrant struct {
	ID           string `json:"id"`
	RequestID    string `json:"request_id"`
	Engine       string `json:"engine"`
	Organisation string `json:"organisation"`
	Fingerprint  string `json:"fingerprint"`
	Tokens       int    `json:"tokens"`
	Attempt      int    `json:"attempt,omitempty"`
	Alone        bool   `json:"alone,omitempty"`
	// Members, Reservation and Shares repeat the fields of the grant.
	Members     []string `json:"members,omitempty"`
	Reservation string   `json:"reservation,omitempty"`
	Shares      []int    `json:"shares,omitempty"`
}

// Renewal extends all grants of one entry node in one cell.
type Renewal struct {
	Cell             string      `json:"cell"`
	Entry            string      `json:"entry"`
	EntryIncarnation uint64      `json:"entry_incarnation"`
	Held             []HeldGrant `json:"held"`
}

// Release ends a grant and reports what it used.
type Release struct {
	Cell             string `json:"cell"`
	ID               string `json:"id"`
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	// FirstToken is the time from the start of the stream to its first token,
	// 0 when unknown.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	// Failed means that the engine was lost or refused the request.
	Failed bool `json:"failed,omitempty"`
}
