package limits

// MethodLease asks an organisation's home node for an allowance.
const MethodLease = "limits.lease"

// Limits of an organisation over all nodes. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
}

func (l Limits) none() bool {
	return l.RequestsPerSecond <= 0 && l.TokensPerSecond <= 0 && l.Concurrent <= 0
}

// Amount is a number of requests and of tokens.
type Amount struct {
	Requests float64 `json:"requests,omitempty"`
	Tokens   float64 `json:"tokens,omitempty"`
}

// LeaseParams are the parameters of limits.lease.
type LeaseParams struct {
	Organisation string `json:"organisation"`
	Limits       Limits `json:"limits"`
	// Need is what the next request takes. Want, at least Need, is what the
	// node expects to use in the next second. Both are zero in a renewal.
	Need Amount `json:"need"`
	Want Amount `json:"want"`
	// Unused is what remains of the node's last allowance.
	Unused Amount `json:"unused"`
	// Running counts the requests in flight, Slots how many more the node
	// wants to start.
	Running int `json:"running,omitempty"`
	Slots   int `json:"slots,omitempty"`
}

// LeaseResult is the result of limits.lease.
type LeaseResult struct {
	// Allowance may be used for one second.
	Allowance Amount `json:"allowance"`
	// Slots is how many more requests than Running may be in flight within one
	// second.
	Slots int `json:"slots,omitempty"`
	// RetryAfterMS is set when Need or Slots is not covered.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
