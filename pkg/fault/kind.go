package fault

// Kind classifies an error. The list is closed: every error that reaches a
// caller, an operator or a peer has exactly one of these kinds.
type Kind int

// The error kinds. The table answers holds what each means to a caller.
const (
	Internal Kind = iota
	Invalid
	TooLarge
	Unauthenticated
	Forbidden
	NotFound
	Conflict
	Stale
	RateLimited
	Overloaded
	DeadlineUnattainable
	PromptTooLong
	HostLeaving
	NoConfig
	PlatformDown
	Unreachable
	NoEngine
	NotOwner
	UpstreamRefused
	Quarantined
	AlreadyClaimed
	KeyExpired
	Timeout
	NotStarted
	Canceled
	UpstreamLost
	UpstreamFailed
	ReplyLost
	RequestTimeout
	HostStopped

	// kindCount is the number of kinds.
	kindCount
)

// Kinds returns every kind in ascending order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, int(kindCount))
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the code of the kind, as used in logs and error bodies.
func (k Kind) String() string {
	return k.Answer().Code
}

// ParseKind returns the kind with the given code. The second result is false
// when no kind has that code.
func ParseKind(code string) (Kind, bool) {
	for k, a := range answers {
		if a.Code == code {
			return Kind(k), true
		}
	}
	return Internal, false
}
