package member

import (
	"context"
	"slices"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// SetSeeds replaces the addresses of nodes to join.
func (t *Table) SetSeeds(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seedAddresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == t.self.PeerAddress })
}

// Meet joins the nodes at addresses of which no member is known.
func (t *Table) Meet(ctx context.Context, addresses []string) error {
	known := map[string]bool{}
	for _, m := range t.Members() {
		known[m.PeerAddress] = true
	}
	return t.join(ctx, slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return known[a] }))
}

// join exchanges members with the nodes at addresses.
func (t *Table) join(ctx context.Context, addresses []string) error {
	g := group.New(ctx)
	for _, address := range addresses {
		g.Go("join", guard.Task(t.log, "join", func(ctx context.Context) error {
			t.exchange(ctx, Member{PeerAddress: address})
			return nil
		}))
	}
	return g.Wait()
}

// seedsLoop joins the other nodes through the seeds. While no other member is
// known, it contacts all seeds at once. After that it contacts one random seed
// about every exchangeInterval, so that two groups of nodes that started
// separately find each other.
func (t *Table) seedsLoop(ctx context.Context) error {
	for {
		isolated, addresses := false, []string(nil)
		guard.Locked(&t.mu, func() {
			isolated, addresses = len(t.ringNames()) < 2, t.seedAddresses
			if n := len(addresses); !isolated && n > 0 {
				addresses = addresses[t.random.IntN(n):][:1]
			}
		})
		if err := t.join(ctx, addresses); err != nil {
			return err
		}
		pause := seedsInterval
		if !isolated {
			pause = exchangeInterval
		}
		if !group.Sleep(ctx, t.jitter(pause)) {
			return ctx.Err()
		}
	}
}
