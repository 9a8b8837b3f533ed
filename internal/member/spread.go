package member

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// pushLoop sends new updates and new configuration revisions at once to some
// members. Each receiver for which they are new does the same.
func (t *Table) pushLoop(ctx context.Context) error {
	g := group.New(ctx)
	for {
		select {
		case <-t.urgent:
		case <-ctx.Done():
			return g.Wait()
		}
		t.mu.Lock()
		updates := t.takePushes()
		peers := t.receivers()
		t.mu.Unlock()
		for _, peer := range peers {
			g.Go("push", func(ctx context.Context) error {
				// A lost push is made up for by pings and exchanges.
				_, _ = t.push(ctx, peer, Push{Updates: updates})
				return nil
			})
		}
		if !group.Sleep(ctx, pushDelay) {
			return g.Wait()
		}
	}
}

// receivers returns the members that a push goes to: the next one on the ring
// and others at random. Random members alone miss one member of twelve in about
// 7% of all spreads; with the next one on the ring, everyone is reached as long
// as messages arrive. The caller holds mu.
func (t *Table) receivers() []Member {
	ring := t.order()
	if len(ring) < 2 {
		return nil
	}
	next := ring[(slices.Index(ring, t.self.Name)+1)%len(ring)]
	return append([]Member{t.records[next].Member}, t.sample(pushFanout-1, next)...)
}

func (t *Table) takePushes() []Member {
	var updates []Member
	for name, m := range t.pushes {
		if len(updates) == maxPush {
			t.wake()
			break
		}
		updates = append(updates, m)
		delete(t.pushes, name)
	}
	return updates
}

// Announce pushes the revision of the configuration that is in force now.
func (t *Table) Announce() {
	if t.without&Forwarding != 0 {
		return
	}
	t.wake()
}

// Leave marks this node as leaving and tells some members. It returns
// when they know, or Unreachable when none of them answered.
func (t *Table) Leave(ctx context.Context) error {
	t.mu.Lock()
	if t.self.State != Leaving {
		t.self.State = Leaving
		t.self.Incarnation++
		t.spread(t.self)
		t.notify()
	}
	peers := t.receivers()
	update := t.self
	t.mu.Unlock()
	if len(peers) == 0 {
		return nil
	}
	results := make([]error, len(peers))
	g := group.New(ctx)
	for i, peer := range peers {
		g.Go("leave", func(ctx context.Context) error {
			_, results[i] = t.push(ctx, peer, Push{Updates: []Member{update}})
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if slices.Contains(results, nil) {
		return nil
	}
	return fault.Wrap(fault.Unreachable, results[0], "no member was told that this node is leaving")
}

// push sends one push message and takes over the answer.
func (t *Table) push(ctx context.Context, peer Member, p Push) (PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	t.mu.Lock()
	p.To, p.Self = peer.Name, t.self
	if r := t.records[peer.Name]; r != nil && (r.State == Suspect || r.State == Dead) {
		you := r.brief()
		p.You = &you
	}
	t.mu.Unlock()
	p.Config = t.revision()
	var reply PushReply
	if err := t.caller.Call(ctx, peer.PeerAddress, MethodPush, p, &reply); err != nil {
		return reply, err
	}
	updates := reply.Members
	if reply.You != nil {
		updates = append(updates, *reply.You)
	}
	t.hear(reply.Self, reply.Config, updates)
	return reply, nil
}

// doubt returns what is known of the sender of a message when that overrides
// what the sender says of itself. The caller holds mu.
func (t *Table) doubt(sender Member) *Member {
	r := t.records[sender.Name]
	if r == nil || !r.overrides(sender) {
		return nil
	}
	m := r.brief()
	return &m
}

// exchangeLoop compares the full state with one random member now and then,
// and once per period with a dead member or an unknown host of the platform's
// list, so that partitions heal and restarted nodes are found. After a start it
// compares once per period until settledExchanges in a row found no difference:
// one alone may have been with another newcomer that misses the same members.
// An exchange that broke off is repeated in the next period.
func (t *Table) exchangeLoop(ctx context.Context) error {
	next := time.Now()
	settled := 0
	for {
		t.mu.Lock()
		wait := period/2 + time.Duration(t.random.Int64N(int64(period)))
		t.mu.Unlock()
		if !group.Sleep(ctx, wait) {
			return ctx.Err()
		}
		if t.without&Exchange != 0 {
			continue
		}
		if peer := t.lost(); peer != nil {
			t.exchange(ctx, *peer)
		}
		if time.Now().Before(next) {
			continue
		}
		t.mu.Lock()
		peers := t.sample(1, "")
		pause := exchangeTime/2 + time.Duration(t.random.Int64N(int64(exchangeTime)))
		t.mu.Unlock()
		for _, peer := range peers {
			result := t.exchange(ctx, peer)
			switch {
			case result == exchangeBroken:
				pause = 0
			case settled >= settledExchanges:
			case result == exchangeEqual:
				settled++
			default:
				settled = 0
			}
		}
		if settled >= settledExchanges {
			next = time.Now().Add(pause)
		}
	}
}

// lost returns a random dead member or unknown host, or nil.
func (t *Table) lost() *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Member
	for _, r := range t.records {
		if r.State == Dead {
			all = append(all, r.Member)
		}
	}
	for name, address := range t.seeds {
		all = append(all, Member{Name: name, PeerAddress: address})
	}
	if len(all) == 0 {
		return nil
	}
	return &all[t.random.IntN(len(all))]
}

type exchangeResult int

const (
	// exchangeEqual found no difference.
	exchangeEqual exchangeResult = iota
	// exchangeMerged found a difference, and both sides now have the same.
	exchangeMerged
	// exchangeBroken was not answered to its end.
	exchangeBroken
)

// exchange brings this node and a peer to the same state, in messages of
// bounded size.
func (t *Table) exchange(ctx context.Context, peer Member) exchangeResult {
	t.mu.Lock()
	t.counts.Exchanges++
	t.mu.Unlock()
	result := exchangeEqual
	for range maxRounds {
		t.mu.Lock()
		digest, before := t.digest(), t.self.Incarnation
		t.mu.Unlock()
		reply, err := t.push(ctx, peer, Push{Digest: digest})
		if err != nil {
			return exchangeBroken
		}
		t.mu.Lock()
		after := t.digest()
		missing := t.missing(reply)
		bumped := t.self.Incarnation != before
		t.mu.Unlock()
		if len(missing) > 0 {
			if _, err := t.push(ctx, peer, Push{Updates: missing}); err != nil {
				return exchangeBroken
			}
		}
		if !bumped && len(missing) == 0 && slices.Equal(digest, after) {
			return result
		}
		result = exchangeMerged
	}
	return exchangeBroken
}

// digest returns a hash of the members that are not dead, per bucket. A
// suspicion does not change it. The caller holds mu.
func (t *Table) digest() []uint64 {
	sums := make([]uint64, buckets)
	add := func(m Member) {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(m.Name)
		inc := m.Incarnation << 1
		if m.State == Leaving {
			inc++
		}
		var tail [8]byte
		for i := range tail {
			tail[i] = byte(inc >> (8 * i))
		}
		_, _ = d.Write(tail[:])
		sums[bucket(m.Name)] ^= d.Sum64()
	}
	add(t.self)
	for _, r := range t.records {
		if r.State != Dead {
			add(r.Member)
		}
	}
	return sums
}

func bucket(name string) int {
	return int(xxhash.Sum64String(name) >> (64 - bits.Len(buckets-1)))
}

// differing returns buckets that differ from a peer's digest, beginning at a
// random one, and the members in them, as many as fit into one message.
func (t *Table) differing(theirs []uint64) ([]int, []Member) {
	mine := t.digest()
	if len(theirs) != len(mine) {
		return nil, nil
	}
	content := map[int][]Member{bucket(t.self.Name): {t.self}}
	for _, r := range t.records {
		if r.State != Dead {
			b := bucket(r.Name)
			content[b] = append(content[b], r.Member)
		}
	}
	var found []int
	var members []Member
	start := t.random.IntN(buckets)
	for i := range buckets {
		b := (start + i) % buckets
		if mine[b] == theirs[b] {
			continue
		}
		if len(found) > 0 && len(members)+len(content[b]) > maxExchange {
			break
		}
		found = append(found, b)
		members = append(members, content[b]...)
	}
	return found, members
}

// missing returns this node's members in the buckets of a reply that override
// what the reply says of them, at most maxExchange.
func (t *Table) missing(reply PushReply) []Member {
	theirs := make(map[string]Member, len(reply.Members))
	for _, m := range reply.Members {
		theirs[m.Name] = m
	}
	var missing []Member
	consider := func(m Member) {
		known, ok := theirs[m.Name]
		if len(missing) < maxExchange && slices.Contains(reply.Buckets, bucket(m.Name)) && m.Name != reply.Self.Name &&
			m.State != Dead && (!ok || m.overrides(known)) {
			missing = append(missing, m)
		}
	}
	consider(t.self)
	for _, r := range t.records {
		consider(r.Member)
	}
	return missing
}
