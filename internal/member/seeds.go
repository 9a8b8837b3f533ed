package member

import (
	"context"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// seedsLoop joins the other nodes through the seeds: all of them at once while
// no other member is known, then one now and then, so that two sets of nodes
// that started apart find each other.
func (t *Table) seedsLoop(ctx context.Context) error {
	for {
		t.mu.Lock()
		alone := len(t.order()) < 2
		asked := t.addresses
		if !alone {
			asked = asked[t.random.IntN(len(asked)):][:1]
		}
		t.mu.Unlock()
		g := group.New(ctx)
		for _, address := range asked {
			g.Go("join", func(ctx context.Context) error {
				t.exchange(ctx, Member{PeerAddress: address})
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		pause := seedsTime
		if !alone {
			pause = exchangeTime
		}
		if !group.Sleep(ctx, t.jitter(pause)) {
			return ctx.Err()
		}
	}
}
