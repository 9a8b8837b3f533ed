package crash

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// publishInterval is how often the quarantines of this host are compared with
	// those on the platform, and publishTimeout bounds the calls for one of them.
	publishInterval = 500 * time.Millisecond
	publishTimeout  = time.Second
	// takeoverDelay is how long the host that decided a quarantine has to publish it
	// before the others do.
	takeoverDelay = 2 * time.Second
	// republishDelay is how long a quarantine that was removed from the platform before its
	// end stays away. By then each host has verified the end on which it was decided.
	republishDelay = lapseTime + takeoverDelay
	// republishSpread is the time over which the hosts publish it again, each at random:
	// after a return of the platform from a copy it is missing for all of them at once.
	republishSpread = 4 * time.Second
	// exchangeInterval is how often a host without a store asks a peer for its
	// quarantines.
	exchangeInterval = 2 * time.Second
)

// Sync adopts the quarantines on the platform.
func (r *Registry) Sync(quarantines []Quarantine) {
	published := map[string]bool{}
	r.mu.Lock()
	known := r.published
	r.mu.Unlock()
	for _, q := range quarantines {
		key := q.Key()
		published[key] = true
		if !known[key] {
			r.Adopt(q)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range known {
		// A host that knows it to be wrong may have removed it.
		if !published[key] {
			r.dueAt[key] = time.Now().Add(republishDelay + rand.N(republishSpread))
		}
	}
	r.published = published
}

// Run publishes and withdraws quarantines until the context ends, or exchanges them with
// peers if there is no store.
func (r *Registry) Run(ctx context.Context) error {
	interval := publishInterval
	if r.options.Store == nil {
		interval = exchangeInterval
	}
	learning := group.New(ctx)
	learning.Go("learning", guard.Loop(r.options.Log, "learning", r.learnAll))
	learning.Go("verification", guard.Loop(r.options.Log, "verification", r.verifyAll))
	defer func() {
		learning.Stop()
		// Neither returns an error, and a loop that ends with a panic has logged it.
		_ = learning.Wait()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if r.options.Store == nil {
			r.exchange(ctx, round)
		} else {
			r.publish(ctx)
		}
	}
}

// exchange adopts the quarantines of one of the peers, which take turns.
func (r *Registry) exchange(ctx context.Context, round int) {
	self := r.options.Members.Self().Name
	peers := slices.DeleteFunc(r.options.Members.Members(), func(m member.Member) bool {
		return m.Name == self || m.State != member.Alive
	})
	if len(peers) == 0 {
		return
	}
	peer := peers[round%len(peers)]
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var list []Quarantine
	if err := r.options.Caller.Call(ctx, peer.PeerAddress, MethodList, struct{}{}, &list); err != nil {
		r.options.Log.WithError(err).WithFields(logrus.Fields{"event": "quarantines_not_read", "member": peer.Name}).
			Debug("a host did not answer with its quarantines; the next one is asked")
		return
	}
	for _, q := range list {
		r.Adopt(q)
	}
}

// publish makes the quarantines on the platform those of this host.
func (r *Registry) publish(ctx context.Context) {
	active, refuted := r.Quarantines()
	r.forgetDue(active)
	for _, q := range active {
		if key := q.Key(); r.due(key) {
			r.change(ctx, key, "publish", func(ctx context.Context) error { return r.options.Store.Publish(ctx, q) })
		}
	}
	for _, key := range refuted {
		r.mu.Lock()
		published := r.published[key]
		r.mu.Unlock()
		if published {
			r.change(ctx, key, "withdraw", func(ctx context.Context) error { return r.options.Store.Withdraw(ctx, key) })
		}
	}
}

// forgetDue forgets when quarantines that have ended were due.
func (r *Registry) forgetDue(active []Quarantine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := map[string]bool{}
	for _, q := range active {
		keys[q.Key()] = true
	}
	maps.DeleteFunc(r.dueAt, func(key string, _ time.Time) bool { return !keys[key] })
}

// due reports whether this host should publish a quarantine now. It then waits for
// takeoverDelay before it tries again.
func (r *Registry) due(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	at, ok := r.dueAt[key]
	if !ok {
		at = now.Add(takeoverDelay)
		r.dueAt[key] = at
	}
	if r.published[key] || now.Before(at) {
		return false
	}
	r.dueAt[key] = now.Add(takeoverDelay)
	return true
}

// change makes one change of the quarantines on the platform.
func (r *Registry) change(ctx context.Context, key, operation string, fn func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	log := r.options.Log.WithFields(logrus.Fields{"event": "quarantine_" + operation, "quarantine_key": key})
	if err := fn(ctx); err != nil {
		log.WithError(err).Warn("the platform did not accept a change of the quarantines; it is tried again")
		return
	}
	log.Info("the platform accepted a change of the quarantines")
}
