package limits

// MethodLease asks an organisation's home node for a lease. A lease consists of an
// allowance, the requests and tokens that the caller may admit within one second, and
// of slots for further concurrent requests.
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

// LeaseParams are the parameters of limits.lease. A call without a Need is a renewal:
// it reports the running requests and leaves the node's allowance as it is.
type LeaseParams struct {
	Organisation string `json:"organisation"`
	Limits       Limits `json:"limits"`
	// Need is the demand of one waiting request. Want, at least Need, is the demand
	// that the node expects in the next second. Both are zero in a renewal.
	Need Amount `json:"need"`
	Want Amount `json:"want"`
	// Unused is the unused rest of the node's last allowance. The node returns it
	// to the home node with this call. It is zero in a renewal.
	Unused Amount `json:"unused"`
	// Running is the number of requests in flight. Slots is how many requests the
	// node wants to be able to start in addition to these.
	Running int `json:"running,omitempty"`
	Slots   int `json:"slots,omitempty"`
}

// LeaseResult is the result of limits.lease.
type LeaseResult struct {
	// Allowance may be used for one second after the reply.
	Allowance Amount `json:"allowance"`
	// Slots is how many requests the node may have in flight in addition to Running
	// until its allowance expires.
	Slots int `json:"slots,omitempty"`
	// RetryAfterMS is set when Need is not covered or no slot is free. It is the
	// minimum time until the node's next call that is not a renewal.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
