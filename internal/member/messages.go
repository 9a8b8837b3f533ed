package member

// The methods of the membership.
const (
	MethodPing    = "member.ping"
	MethodPingReq = "member.pingreq"
	MethodPush    = "member.push"
)

// Ping asks a member for a sign of life and carries updates.
type Ping struct {
	// To is the name of the member meant. A node that took over the address
	// refuses a ping for another name.
	To      string   `json:"to"`
	Self    Member   `json:"self"`
	Config  uint64   `json:"config,omitempty"`
	Updates []Member `json:"updates,omitempty"`
}

// Ack answers a ping with the sender's own record and updates.
type Ack struct {
	Self    Member   `json:"self"`
	Config  uint64   `json:"config,omitempty"`
	Updates []Member `json:"updates,omitempty"`
}

// PingReq asks a member to ping another one.
type PingReq struct {
	Self   Member `json:"self"`
	Target Member `json:"target"`
}

// PingReqReply holds the target's record when it answered, and nil otherwise.
type PingReqReply struct {
	Target *Member `json:"target,omitempty"`
}

// Push carries updates that must not wait for a ping. With a digest it asks
// for an exchange of the full state.
type Push struct {
	// To is the name of the member meant, or empty from a node that joins.
	To     string `json:"to"`
	Self   Member `json:"self"`
	Config uint64 `json:"config,omitempty"`
	// You is what the sender knows of the receiver, unless that is Alive.
	You     *Member  `json:"you,omitempty"`
	Updates []Member `json:"updates,omitempty"`
	// Digest holds one hash per bucket of member names.
	Digest []uint64 `json:"digest,omitempty"`
}

// PushReply answers a push. Buckets and Members are set when a digest was
// sent: the buckets that differ and what the receiver knows of them.
type PushReply struct {
	Self    Member   `json:"self"`
	Config  uint64   `json:"config,omitempty"`
	You     *Member  `json:"you,omitempty"`
	Buckets []int    `json:"buckets,omitempty"`
	Members []Member `json:"members,omitempty"`
}
