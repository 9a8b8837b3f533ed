package detour

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/member"
)

// peers chooses the peers through which this host connects.
type peers struct {
	members Members

	mu     sync.Mutex
	random *rand.Rand
	// last is the peer that opened the last tunnel.
	last string
	// passedOver holds, by name, when peers failed.
	passedOver map[string]time.Time
}

func newPeers(members Members, random *rand.Rand) *peers {
	return &peers{members: members, random: random, passedOver: map[string]time.Time{}}
}

// choose returns the peers to try, in order: the one that opened the last tunnel, one of
// the own failure domain, those of other domains. Most of the own domain may be cut, too.
// If all have failed of late, it returns the one that failed first.
func (p *peers) choose() []member.Member {
	self, now := p.members.Self(), time.Now()
	alive := slices.DeleteFunc(p.members.Members(), func(m member.Member) bool {
		return m.State != member.Alive || m.Name == self.Name || m.PeerAddress == ""
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(alive), func(m member.Member) bool { return now.Sub(p.passedOver[m.Name]) < peerPause })
	if len(usable) == 0 && len(alive) > 0 {
		return []member.Member{slices.MinFunc(alive, func(a, b member.Member) int { return p.passedOver[a.Name].Compare(p.passedOver[b.Name]) })}
	}
	p.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	near := ""
	rank := func(m member.Member) int {
		switch {
		case m.Name == p.last:
			return 0
		case m.Name == near:
			return 1
		case m.FailureDomain != self.FailureDomain:
			return 2
		}
		return 3
	}
	if i := slices.IndexFunc(usable, func(m member.Member) bool { return m.FailureDomain == self.FailureDomain && m.Name != p.last }); i >= 0 {
		near = usable[i].Name
	}
	slices.SortStableFunc(usable, func(a, b member.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return usable[:min(maxChosen, len(usable))]
}

// succeeded records that a peer opened a tunnel.
func (p *peers) succeeded(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = name
	delete(p.passedOver, name)
}

// lost records that a tunnel broke before its upstream sent a byte. The upstream may be at
// fault; a peer that is itself finds out, and refuses the next tunnel.
func (p *peers) lost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == name {
		p.last = ""
	}
}

// failed has a peer passed over for a time.
func (p *peers) failed(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for other, at := range p.passedOver {
		if now.Sub(at) >= peerPause {
			delete(p.passedOver, other)
		}
	}
	p.passedOver[name] = now
	if p.last == name {
		p.last = ""
	}
}

// pick returns a random number below n.
func (p *peers) pick(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}
