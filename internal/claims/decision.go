package claims

import "github.com/verbenapier/verbenapier/pkg/fault"

// Verdict tells a dispatcher what to do with a call.
type Verdict int

// The verdicts.
const (
	// Unknown means that the call was claimed before and has no recorded
	// outcome. The caller receives an error of the kind AlreadyClaimed.
	Unknown Verdict = iota
	// Run means that this dispatcher alone may run the call, once and before the
	// deadline of the context that was passed to Acquire.
	Run
	// Recorded means that the call has already ended. Its recorded outcome is
	// the answer.
	Recorded
)

// Decision is the result of Acquire.
type Decision struct {
	Verdict Verdict
	// Claim may be used only if Verdict is Run. The dispatcher passes it to Finish.
	Claim Claim
	// Outcome is set only if Verdict is Recorded.
	Outcome Outcome
}

// Claim is the right to run one call once. It belongs to a single invocation of
// Acquire by one dispatcher and is never transferred.
type Claim struct {
	service  string
	shard    int
	id       identity
	claimant Claimant
}

// Claimant identifies one invocation of Acquire by one incarnation of a node.
type Claimant struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence is the number of the invocation within the incarnation. It makes the
	// claimants differ when the same call is sent twice through the same node.
	Sequence uint64 `json:"sequence"`
}

// Outcome is how a call ended.
type Outcome struct {
	// Run says whether the upstream ran the call. Even with fault.RunNo the claim
	// stays, so the caller needs a new key to try again.
	Run fault.RunState `json:"run"`
	// Status is the HTTP status of the upstream's answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Body is the answer's body, unless BodyDropped says that it was too large
	// to be stored.
	Body        []byte `json:"body,omitempty"`
	BodyDropped bool   `json:"body_dropped,omitempty"`
}

// maxContentType is the maximum length of a stored content type, in bytes.
const maxContentType = 128

// trimmed returns the outcome without a body or content type that is too large
// to store.
func (o Outcome) trimmed(maxBody int) Outcome {
	if len(o.Body) > maxBody {
		o.Body, o.BodyDropped = nil, true
	}
	if len(o.ContentType) > maxContentType {
		o.ContentType = ""
	}
	return o
}
