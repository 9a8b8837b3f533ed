package claims

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Methods of the peer messages.
const (
	MethodAcquire = "claims.acquire"
	MethodFinish  = "claims.finish"
)

// AcquireParams are the parameters of claims.acquire.
type AcquireParams struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	// ID is the identity of the call.
	ID []byte `json:"id"`
	// Time is the time in the idempotency key.
	Time int64 `json:"time_unix_ms"`
	// Digest is Call.Digest, truncated to the length of an identity.
	Digest   []byte   `json:"digest"`
	Claimant Claimant `json:"claimant"`
	Attempt  int      `json:"attempt,omitempty"`
	// WindowMS is the service's idempotency window.
	WindowMS int64 `json:"window_ms"`
	// TimeoutMS is the time that remains until the dispatcher's deadline.
	TimeoutMS int64 `json:"timeout_ms"`
}

// AcquireResult is the result of claims.acquire. Outcome is set only if the verdict
// is Recorded.
type AcquireResult struct {
	Verdict Verdict `json:"verdict"`
	Outcome Outcome `json:"outcome"`
}

// FinishParams are the parameters of claims.finish.
type FinishParams struct {
	Service   string   `json:"service"`
	Shard     int      `json:"shard"`
	ID        []byte   `json:"id"`
	Claimant  Claimant `json:"claimant"`
	Outcome   Outcome  `json:"outcome"`
	TimeoutMS int64    `json:"timeout_ms"`
}

// FinishResult is the result of claims.finish.
type FinishResult struct{}

// check validates the parameters of a message from a node.
func (p AcquireParams) check(from string) error {
	if len(p.ID) != len(identity{}) || len(p.Digest) != len(identity{}) || p.Service == "" || p.Shard < 0 {
		return fault.New(fault.Invalid, "malformed claim")
	}
	return checkClaimant(from, p.Claimant)
}

// check validates the parameters of a message from a node.
func (p FinishParams) check(from string) error {
	if len(p.ID) != len(identity{}) || p.Service == "" || p.Shard < 0 {
		return fault.New(fault.Invalid, "malformed outcome")
	}
	return checkClaimant(from, p.Claimant)
}

// checkClaimant rejects a message whose claimant is another node than its sender.
func checkClaimant(from string, c Claimant) error {
	if from != c.Node {
		return fault.New(fault.Forbidden, "node %q sent the claim of node %q", from, c.Node)
	}
	return nil
}

// millis returns a duration in milliseconds, at least 1.
func millis(d time.Duration) int64 { return max(1, d.Milliseconds()) }
