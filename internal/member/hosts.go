package member

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// hostsLoop reads the platform's host list until other members are known.
// After that only some members per failure domain go on reading it, so that
// the number of calls does not grow with the number of nodes.
func (t *Table) hostsLoop(ctx context.Context) error {
	backoff := hostsRetryMin
	first := true
	// Nodes that start together must not read together.
	if !group.Sleep(ctx, t.jitter(hostsRetryMin)) {
		return ctx.Err()
	}
	for {
		if first || t.readsHosts() {
			hosts, err := t.readHosts(ctx)
			if err == nil {
				t.seed(hosts)
				first, backoff = false, hostsRetryMin
			}
			if lonely := t.lonely(); err != nil || lonely {
				if lonely {
					// The hosts just read are still to be contacted.
					backoff = max(backoff, hostsLonely)
				}
				wait := t.jitter(backoff)
				backoff = min(2*backoff, hostsRetryMax)
				if !group.Sleep(ctx, wait) {
					return ctx.Err()
				}
				continue
			}
		}
		if !group.Sleep(ctx, t.jitter(hostsTime)) {
			return ctx.Err()
		}
	}
}

func (t *Table) readHosts(ctx context.Context) ([]plat.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, hostsRetryMax)
	defer cancel()
	hosts, err := t.lister.Hosts(ctx)
	if err != nil {
		t.log.WithField("event", "member_hosts_failed").WithError(err).Warn("host list not read")
	}
	return hosts, err
}

// seed remembers entry hosts that are not members yet.
func (t *Table) seed(hosts []plat.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.seeds)
	for _, h := range hosts {
		if h.Role == plat.RoleEntry && h.Name != t.self.Name && h.PeerAddress != "" && t.records[h.Name] == nil {
			t.seeds[h.Name] = h.PeerAddress
		}
	}
}

// lonely reports whether the host list names others but none is known.
func (t *Table) lonely() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.order()) < 2 && len(t.seeds) > 0
}

// readsHosts reports whether this node is among the readers of its failure
// domain. The choice is by hash; two nodes with different views may both read.
func (t *Table) readsHosts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := func(name string) uint64 { return xxhash.Sum64String("hosts\x00" + name) }
	above := 0
	for _, r := range t.records {
		if r.Usable() && r.FailureDomain == t.self.FailureDomain &&
			rank(r.Name) > rank(t.self.Name) {
			above++
		}
	}
	return above < hostsReaders
}

// jitter returns a random duration around d, between half and three halves.
func (t *Table) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.random.Int64N(int64(d)))
}
