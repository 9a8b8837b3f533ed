// Package member maintains the list of daemons and whether each is alive,
// suspect, leaving or dead. Nodes detect failures by probing each other and
// exchange updates directly, without the platform.
package member

// State is the state of a member.
type State string

// The states of members. At the same incarnation, each state overrides those
// before it.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is the record that a node has of a daemon.
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

// overrides reports whether the record m replaces the known record of the same
// member.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return statePrecedence[m.State] > statePrecedence[known.State]
}

var statePrecedence = map[State]int{Alive: 0, Suspect: 1, Leaving: 2, Dead: 3}

// maxFieldLength is the maximum length of a name, address, failure domain or
// region that is accepted from a peer, in bytes. It makes the limits on the number
// of records in a message also limit the size of the message.
const maxFieldLength = 128

func (m Member) valid() bool {
	_, known := statePrecedence[m.State]
	return known && m.Name != "" && len(m.Name) <= maxFieldLength && len(m.Address) <= maxFieldLength &&
		len(m.PeerAddress) <= maxFieldLength && len(m.FailureDomain) <= maxFieldLength && len(m.Region) <= maxFieldLength
}

// compact returns a shorter record of a suspect or dead member, without the
// fields that a receiver that knows the member already has.
func (m Member) compact() Member {
	if m.State == Suspect || m.State == Dead {
		return Member{Name: m.Name, State: m.State, Incarnation: m.Incarnation}
	}
	return m
}
