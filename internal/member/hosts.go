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
	// The random delay spreads the reads of nodes that start together.
	if !group.Sleep(ctx, t.jitter(hostsRetryMin)) {
		return ctx.Err()
	}
	for {
		if first || t.readsHosts() {
			hosts, err := t.readHosts(ctx)
			if err == nil {
				t.setUnknownHosts(hosts)
				first, backoff = false, hostsRetryMin
			}
			if isolated := t.isolated(); err != nil || isolated {
				if isolated {
					// Leave exchangeLoop time to contact the hosts just read.
					backoff = max(backoff, hostsIsolatedBackoff)
				}
				wait := t.jitter(backoff)
				backoff = min(2*backoff, hostsRetryMax)
				if !group.Sleep(ctx, wait) {
					return ctx.Err()
				}
				continue
			}
		}
		if !group.Sleep(ctx, t.jitter(hostsInterval)) {
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

// setUnknownHosts replaces the unknown hosts by the entry hosts of a host list
// that are not members yet.
func (t *Table) setUnknownHosts(hosts []plat.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.unknownHosts)
	for _, h := range hosts {
		if h.Role == plat.RoleEntry && h.Name != t.self.Name && h.PeerAddress != "" && t.records[h.Name] == nil {
			t.unknownHosts[h.Name] = h.PeerAddress
		}
	}
}

// isolated reports whether the host list names other entry hosts but this node
// knows no other member.
func (t *Table) isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ringNames()) < 2 && len(t.unknownHosts) > 0
}

// readsHosts reports whether this node is one of the hostsReaders members of its
// failure domain that read the host list. These are the members whose names have
// the highest hashes. More members read it while the nodes' views differ.
func (t *Table) readsHosts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	score := func(name string) uint64 { return xxhash.Sum64String("hosts\x00" + name) }
	higher := 0
	for _, r := range t.records {
		if r.Usable() && r.FailureDomain == t.self.FailureDomain &&
			score(r.Name) > score(t.self.Name) {
			higher++
		}
	}
	return higher < hostsReaders
}

// jitter returns a random duration between half of d and one and a half times d.
func (t *Table) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.random.Int64N(int64(d)))
}
