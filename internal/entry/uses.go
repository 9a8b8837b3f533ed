package entry

import (
	"sync"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Use is what an organisation has used of this node since its start.
type Use struct {
	// Admitted counts requests that an upstream may have run, Refused those
	// that were answered as not run.
	Admitted, Refused uint64
	// Tokens counts prompt and generated tokens.
	Tokens uint64
}

// uses counts by organisation.
type uses struct {
	mu   sync.Mutex
	byID map[string]Use
}

func (u *uses) note(organisation string, err error, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byID == nil {
		u.byID = map[string]Use{}
	}
	use := u.byID[organisation]
	if err != nil && fault.KindOf(err).Answer().Run == fault.RunNo {
		use.Refused++
	} else {
		use.Admitted++
	}
	use.Tokens += uint64(tokens)
	u.byID[organisation] = use
}

// Use returns what an organisation has used of this node.
func (s *Server) Use(organisation string) Use {
	s.uses.mu.Lock()
	defer s.uses.mu.Unlock()
	return s.uses.byID[organisation]
}
