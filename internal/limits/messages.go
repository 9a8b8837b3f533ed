package limits

// MethodLease asks an organisation's home node for an allowance: the requests and
// tokens that the caller may admit within one second.
const MethodLease = "limits.lease"

// Limits are the limits of an organisation over all nodes. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
}

func (l Limits) unlimited() bool {
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
	// Need is the demand of one request. Want, at least Need, is the demand that
	// the node expects in the next second. Both are zero in a renewal.
	Need Amount `json:"need"`
	Want Amount `json:"want"`
	// Unused is the rest of the node's last allowance, which it returns.
	Unused Amount `json:"unused"`
	// Running is the number of requests in flight. Slots is how many more requests
	// the node wants to start.
	Running int `json:"running,omitempty"`
	Slots   int `json:"slots,omitempty"`
}

// LeaseResult is the result of limits.lease.
type LeaseResult struct {
	// Allowance may be used for one second after the reply.
	Allowance Amount `json:"allowance"`
	// Slots is how many more requests than Running may be in flight within one
	// second.
	Slots int `json:"slots,omitempty"`
	// RetryAfterMS is set when Need is not covered or no slot is free. It is the
	// minimum time until the node's next call with a need.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
