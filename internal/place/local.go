package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// localPicker picks upstreams by what this node's own requests have shown. The
// client uses it when no owner is asked, for plain services, or when no owner
// answers (see placeWithoutOwner).
type localPicker struct {
	mu     sync.Mutex
	random *rand.Rand
	stats  map[string]*upstreamStats
}

// upstreamStats counts the requests of this node that run at an upstream, and those
// that failed there in a row.
type upstreamStats struct {
	running     int
	failures    int
	barredUntil time.Time
	lastUsed    time.Time
}

// statsRetention is how long the statistics of an unused upstream are kept.
const statsRetention = time.Minute

func newLocalPicker(random *rand.Rand) *localPicker {
	return &localPicker{random: random, stats: map[string]*upstreamStats{}}
}

// pick returns the upstream that runs the fewest requests of this node. Among
// upstreams with equally many, it prefers one of the given failure domain. A barred
// upstream is picked only if all others are barred, to be avoided or leaving, and
// one to avoid only if all others are to be avoided or leaving. Leaving upstreams
// are never picked.
func (l *localPicker) pick(upstreams []Upstream, avoid []string, domain string) (Upstream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var best Upstream
	bestCost, found := 0, false
	for _, i := range l.random.Perm(len(upstreams)) {
		u := upstreams[i]
		if u.Leaving {
			continue
		}
		// The cost ranks upstreams: avoided ones are the most expensive, then barred
		// ones; a running request costs more than another failure domain.
		cost := 0
		if s := l.stats[u.ID]; s != nil {
			cost = 2 * s.running
			if now.Before(s.barredUntil) {
				cost += 1000
			}
		}
		if u.Domain != domain {
			cost++
		}
		if slices.Contains(avoid, u.ID) {
			cost += 10_000
		}
		if !found || cost < bestCost {
			best, bestCost, found = u, cost, true
		}
	}
	return best, found
}

// addRequest counts a request at an upstream.
func (l *localPicker) addRequest(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats[id]
	if s == nil {
		s = &upstreamStats{}
		l.stats[id] = s
	}
	s.running++
	s.lastUsed = time.Now()
}

// endRequest removes a request from the count of its upstream, which is barred for
// a time if the request failed.
func (l *localPicker) endRequest(id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats[id]
	if s == nil {
		return
	}
	now := time.Now()
	s.running = max(0, s.running-1)
	switch o {
	case Completed:
		s.failures = 0
	case Rejected:
		s.barredUntil = now.Add(minBarTime / 2)
	case EngineFailed:
		s.failures++
		s.barredUntil = now.Add(min(maxBarTime, minBarTime<<min(s.failures-1, 4)))
	}
	for id, s := range l.stats {
		if s.running == 0 && now.Sub(s.lastUsed) > statsRetention {
			delete(l.stats, id)
		}
	}
}
