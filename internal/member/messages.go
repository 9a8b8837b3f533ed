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
	To string `json:"to"`
	// Self is the sender's own record.
	Self Member `json:"self"`
	// Config is the revision of the configuration in force on the sender.
	Config uint64 `json:"config,omitempty"`
	// Updates are records of members that the receiver may not have yet.
	Updates []Member `json:"updates,omitempty"`
}

// Ack answers a ping. Self, Config and Updates mean the same as in Ping, with the
// member that was probed as the sender.
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

// Push carries updates that must not wait for a ping. With a digest it also asks
// for the receiver's records in the buckets whose hashes differ. Self, Config and
// Updates mean the same as in Ping.
type Push struct {
	// To is the name of the receiver. It is empty when the sender is joining and
	// knows only the receiver's address.
	To     string `json:"to"`
	Self   Member `json:"self"`
	Config uint64 `json:"config,omitempty"`
	// Receiver is the sender's record of the node to which the push goes. It is
	// set when the record's state is Suspect or Dead, so that the node can
	// refute it.
	Receiver *Member  `json:"you,omitempty"`
	Updates  []Member `json:"updates,omitempty"`
	// Digest holds one hash per bucket. The hash of a member's name determines
	// its bucket.
	Digest []uint64 `json:"digest,omitempty"`
}

// PushReply answers a push. Self and Config mean the same as in Ping, with the
// replying node as the sender.
type PushReply struct {
	Self   Member `json:"self"`
	Config uint64 `json:"config,omitempty"`
	// Pusher is the replying node's record of the node that sent the push. It is
	// set when it overrides Push.Self, so that the node can refute it.
	Pusher *Member `json:"you,omitempty"`
	// Buckets are the buckets that differ from Push.Digest, and Members are the
	// replying node's records in them. Both are limited to what fits into one
	// message, and empty when the push had no digest.
	Buckets []int    `json:"buckets,omitempty"`
	Members []Member `json:"members,omitempty"`
}
