package detour

import (
	"sync"
	"time"
)

// absentTime is how long no peer is asked for an upstream that a peer did not reach either.
const absentTime = time.Second

// absences holds the upstreams that neither this host nor its peers reach.
type absences struct {
	mu sync.Mutex
	// since holds when the last dial of each address failed.
	since map[string]time.Time
}

func newAbsences() *absences { return &absences{since: map[string]time.Time{}} }

// add records that nobody reached an address.
func (a *absences) add(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for other, at := range a.since {
		if now.Sub(at) >= absentTime {
			delete(a.since, other)
		}
	}
	a.since[address] = now
}

// has reports whether nobody reached an address of late.
func (a *absences) has(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.since[address]
	return ok && time.Since(at) < absentTime
}
