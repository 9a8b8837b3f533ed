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
	Address       string `json:"address,omitempty"`
	PeerAddress   string `json:"peer_address,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Region        string `json:"region,omitempty"`
	// Capacity is the processor share of the host, in cores; zero when unknown.
	Capacity float64 `json:"capacity,omitempty"`
	State    State   `json:"state"`
	// Incarnation rises with every restart of the daemon and with every
	// refutation of a suspicion. The start value is the start time in Unix
	// microseconds, so a restarted daemon overrides its predecessor.
	Incarnation uint64 `json:"incarnation"`
}

// Usable reports whether the member may own state and receive new work.
func (m Member) Usable() bool {
	return m.State == Alive || m.State == Suspect
}

// overrides reports whether an update replaces what is known of a member.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return ranks[m.State] > ranks[known.State]
}

var ranks = map[State]int{Alive: 0, Suspect: 1, Leaving: 2, Dead: 3}

// maxField is the longest name, address, domain or region that is accepted
// from a peer, in bytes, so that the number of records bounds a message.
const maxField = 128

func (m Member) valid() bool {
	_, known := ranks[m.State]
	return known && m.Name != "" && len(m.Name) <= maxField && len(m.Address) <= maxField &&
		len(m.PeerAddress) <= maxField && len(m.FailureDomain) <= maxField && len(m.Region) <= maxField
}

// brief drops what a receiver that knows the member already has.
func (m Member) brief() Member {
	if m.State == Suspect || m.State == Dead {
		return Member{Name: m.Name, State: m.State, Incarnation: m.Incarnation}
	}
	return m
}
