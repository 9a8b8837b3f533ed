package member

// The methods of the membership protocol.
const (
	MethodPing    = "member.ping"
	MethodPingReq = "member.pingreq"
	MethodPush    = "member.push"
)

// Ping probes a member and carries updates.
type Ping struct {
	// To is the name of the member that is probed. A node that took over its
	// address refuses the ping.
	To      string   `json:"to"`
	Self    Member   `json:"self"`
	Config  uint64   `json:"config,omitempty"`
	Updates []Member `json:"updates,omitempty"`
}

// Ack answers a ping. Self is the record of the member that was probed.
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
	// To is the name of the receiver. It is empty when the sender is joining and
	// knows only the receiver's address.
	To     string `json:"to"`
	Self   Member `json:"self"`
	Config uint64 `json:"config,omitempty"`
	// Receiver is the sender's record of the receiver when that is Suspect or
	// Dead, so that the receiver can refute it.
	Receiver *Member  `json:"you,omitempty"`
	Updates  []Member `json:"updates,omitempty"`
	// Digest holds one hash per bucket of member names.
	Digest []uint64 `json:"digest,omitempty"`
}

// PushReply answers a push. Buckets and Members are set when the push had a
// digest: the buckets that differ and the replying node's records in them.
type PushReply struct {
	Self     Member   `json:"self"`
	Config   uint64   `json:"config,omitempty"`
	Receiver *Member  `json:"you,omitempty"`
	Buckets  []int    `json:"buckets,omitempty"`
	Members  []Member `json:"members,omitempty"`
}
