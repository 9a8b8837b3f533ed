package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// local picks upstreams from this node's own experience.
type local struct {
	mu     sync.Mutex
	random *rand.Rand
	known  map[string]*experience
}

type experience struct {
	running  int
	failures int
	barred   time.Time
	used     time.Time
}

// forgetTime is how long an upstream without requests is remembered.
const forgetTime = time.Minute

func newLocal(random *rand.Rand) *local {
	return &local{random: random, known: map[string]*experience{}}
}

// pick returns an upstream that takes new requests, the one with the fewest
// requests of this node among those that did not fail lately; at equal numbers
// one of the given failure domain.
func (l *local) pick(upstreams []Upstream, avoid []string, domain string) (Upstream, bool) {
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
		cost := 0
		if e := l.known[u.ID]; e != nil {
			cost = 2 * e.running
			if now.Before(e.barred) {
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

// use books a request.
func (l *local) use(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.known[id]
	if e == nil {
		e = &experience{}
		l.known[id] = e
	}
	e.running++
	e.used = time.Now()
}

// done ends a request and judges its upstream.
func (l *local) done(id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.known[id]
	if e == nil {
		return
	}
	now := time.Now()
	e.running = max(0, e.running-1)
	switch o {
	case Done:
		e.failures = 0
	case Rejected:
		e.barred = now.Add(penaltyBase / 2)
	case Broken:
		e.failures++
		e.barred = now.Add(min(penaltyMax, penaltyBase<<min(e.failures-1, 4)))
	}
	for id, e := range l.known {
		if e.running == 0 && now.Sub(e.used) > forgetTime {
			delete(l.known, id)
		}
	}
}
