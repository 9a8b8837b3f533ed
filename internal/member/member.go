// Package member keeps the membership of the daemons: who is alive, leaving
// or dead, spread by probes between nodes without the platform.
package member

// State is the state of a member.
type State string

// The states of members, in the order in which they override each other at
// the same incarnation.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is a daemon as this node knows it.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
	// Incarnation rises with every restart of the daemon and with every
	// refutation of a suspicion. The start value is the start time in Unix
	// microseconds, so a restarted daemon overrides its predecessor.
	Incarnation uint64 `json:"incarnation"`
}

// Usable reports whether the member may own state and receive new work.
func (m Member) Usable() bool {
	return m.State == Alive || m.State == Suspect
}
