package claims

import "github.com/verbenapier/verbenapier/pkg/fault"

// Verdict says what a dispatcher does with a call.
type Verdict int

// The verdicts.
const (
	// Unknown means that the call was claimed before and has no recorded
	// outcome. The caller is answered with the kind InProgress.
	Unknown Verdict = iota
	// Run means that this dispatcher, and no other, runs the call once, before
	// the deadline of the context it acquired the claim with.
	Run
	// Recorded means that the call ended before. The outcome is its answer.
	Recorded
)

// Decision is the result of Acquire.
type Decision struct {
	Verdict Verdict
	// Claim is passed to Finish after Run.
	Claim Claim
	// Outcome is set with Recorded.
	Outcome Outcome
}

// Claim is the right to run one call once. It belongs to the dispatcher that
// acquired it and to that one Acquire; it never moves.
type Claim struct {
	service  string
	shard    int
	id       identity
	claimant Claimant
}

// Claimant names one Acquire of one incarnation of one node.
type Claimant struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence counts the calls of Acquire of this incarnation, so that two
	// resends through one node are two claimants.
	Sequence uint64 `json:"sequence"`
}

// Outcome is how a call ended.
type Outcome struct {
	// Run says whether the upstream ran the call. A claim with the outcome
	// RunNo stays taken: its caller needs a new key to try again.
	Run fault.RunState `json:"run"`
	// Status is the HTTP status of the upstream's answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Body is the answer's body, unless BodyDropped says that it was too large
	// to be kept.
	Body        []byte `json:"body,omitempty"`
	BodyDropped bool   `json:"body_dropped,omitempty"`
}

// maxContentType is the longest content type that is kept, in bytes.
const maxContentType = 128

// trimmed returns the outcome without what is too large to keep.
func (o Outcome) trimmed(maxBody int) Outcome {
	if len(o.Body) > maxBody {
		o.Body, o.BodyDropped = nil, true
	}
	if len(o.ContentType) > maxContentType {
		o.ContentType = ""
	}
	return o
}
