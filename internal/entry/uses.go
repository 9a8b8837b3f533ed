package entry

import (
	"sync"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Use is what an organisation has used of this node since the start of the
// process.
type Use struct {
	// Admitted counts the requests that an upstream may have run, Refused
	// those that were answered as not run.
	Admitted, Refused uint64
	// Tokens counts prompt tokens and generated tokens.
	Tokens uint64
}

// usageCounters counts the usage of this node by organisation.
type usageCounters struct {
	mu             sync.Mutex
	byOrganisation map[string]Use
}

func (u *usageCounters) record(organisation string, err error, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byOrganisation == nil {
		u.byOrganisation = map[string]Use{}
	}
	use := u.byOrganisation[organisation]
	if err != nil && fault.KindOf(err).Answer().Run == fault.RunNo {
		use.Refused++
	} else {
		use.Admitted++
	}
	use.Tokens += uint64(tokens)
	u.byOrganisation[organisation] = use
}

// Use returns what an organisation has used of this node.
func (s *Server) Use(organisation string) Use {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return s.usage.byOrganisation[organisation]
}
