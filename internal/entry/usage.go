package entry

import (
	"sync"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// OrganisationUsage is what an organisation has used of this node since the
// start of the process.
type OrganisationUsage struct {
	// Refused counts the requests that failed with an error whose answer states
	// fault.RunNo, that is, that the request was not run. Admitted counts all other
	// requests, including those that failed but may have been run.
	Admitted, Refused uint64
	// Tokens counts prompt tokens and generated tokens.
	Tokens uint64
}

// usageCounters counts the usage of this node by organisation.
type usageCounters struct {
	mu             sync.Mutex
	byOrganisation map[string]OrganisationUsage
}

func (u *usageCounters) record(organisation string, err error, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byOrganisation == nil {
		u.byOrganisation = map[string]OrganisationUsage{}
	}
	used := u.byOrganisation[organisation]
	if err != nil && fault.KindOf(err).Answer().Run == fault.RunNo {
		used.Refused++
	} else {
		used.Admitted++
	}
	used.Tokens += uint64(tokens)
	u.byOrganisation[organisation] = used
}

// Usage returns what an organisation has used of this node.
func (s *Server) Usage(organisation string) OrganisationUsage {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return s.usage.byOrganisation[organisation]
}
