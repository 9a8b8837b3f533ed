package member

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// pushLoop sends new updates and a new configuration revision to some members
// without waiting for the next ping. Each receiver to which they are new forwards
// them in the same way.
func (t *Table) pushLoop(ctx context.Context) error {
	g := group.New(ctx)
	for {
		select {
		case <-t.pushSignal:
		case <-ctx.Done():
			return g.Wait()
		}
		var updates, peers []Member
		guard.Locked(&t.mu, func() { updates, peers = t.takePushes(), t.pushTargets() })
		for _, peer := range peers {
			g.Go("push", guard.Task(t.log, "member push", func(ctx context.Context) error {
				// After a lost push, pings and exchanges bring the updates.
				_, _ = t.push(ctx, peer, Push{Updates: updates})
				return nil
			}))
		}
		if !group.Sleep(ctx, pushDelay) {
			return g.Wait()
		}
	}
}

// pushTargets returns the members that a push goes to: the next one on the ring
// and others at random. If all were random, an update would miss one of twelve
// members in about 7% of cases; with the next one on the ring, it reaches all
// members as long as no message is lost. The caller holds mu.
func (t *Table) pushTargets() []Member {
	ring := t.ringNames()
	if len(ring) < 2 {
		return nil
	}
	next := ring[(slices.Index(ring, t.self.Name)+1)%len(ring)]
	return append([]Member{t.records[next].Member}, t.sample(pushFanout-1, next)...)
}

// takePushes removes and returns pending updates, at most maxPush. If some remain,
// it signals another push. The caller holds mu.
func (t *Table) takePushes() []Member {
	var updates []Member
	for name, m := range t.pendingPushes {
		if len(updates) == maxPush {
			t.signalPush()
			break
		}
		updates = append(updates, m)
		delete(t.pendingPushes, name)
	}
	return updates
}

// Announce pushes the revision of the configuration that is in force now.
func (t *Table) Announce() {
	if t.disabled&Forwarding != 0 {
		return
	}
	t.signalPush()
}

// Leave marks this node as leaving and pushes its new record to some members. It
// returns when each of them has answered or failed. The error is Unreachable when
// none has answered.
func (t *Table) Leave(ctx context.Context) error {
	var peers []Member
	var update Member
	guard.Locked(&t.mu, func() {
		if t.self.State != Leaving {
			t.self.State = Leaving
			t.self.Incarnation++
			t.queueUpdate(t.self)
			t.notifyChanged()
		}
		peers, update = t.pushTargets(), t.self
	})
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
	return fault.Wrap(fault.Unreachable, results[0], "no member acknowledged that this node is leaving")
}

// push sends one push message and merges the answer.
func (t *Table) push(ctx context.Context, peer Member, p Push) (PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	guard.Locked(&t.mu, func() {
		p.To, p.Self = peer.Name, t.self
		if r := t.records[peer.Name]; r != nil && (r.State == Suspect || r.State == Dead) {
			known := r.compact()
			p.Receiver = &known
		}
	})
	p.Config = t.revision()
	var reply PushReply
	if err := t.caller.Call(ctx, peer.PeerAddress, MethodPush, p, &reply); err != nil {
		return reply, err
	}
	updates := reply.Members
	if reply.Pusher != nil {
		updates = append(updates, *reply.Pusher)
	}
	t.mergeMessage(reply.Self, reply.Config, updates)
	return reply, nil
}

// overridingRecord returns this node's record of the sender of a message if it
// overrides the record that the sender gives of itself, otherwise nil. The caller
// holds mu.
func (t *Table) overridingRecord(sender Member) *Member {
	r := t.records[sender.Name]
	if r == nil || !r.overrides(sender) {
		return nil
	}
	m := r.compact()
	return &m
}

// exchangeLoop exchanges the full state with random peers.
//
// About once per protocolPeriod the peer is a dead member or an unknown host of
// the platform's list, so that partitions heal and restarted nodes are found.
// About once per exchangeInterval it is a member that is not dead. After a start,
// such an exchange is made once per protocolPeriod until minEqualExchanges of them
// in succession have found no difference: a single one may have been with another
// new node that misses the same members. An incomplete exchange is followed by
// another one in the next period.
func (t *Table) exchangeLoop(ctx context.Context) error {
	next := time.Now()
	equalExchanges := 0
	for {
		t.mu.Lock()
		wait := protocolPeriod/2 + time.Duration(t.random.Int64N(int64(protocolPeriod)))
		t.mu.Unlock()
		if !group.Sleep(ctx, wait) {
			return ctx.Err()
		}
		if t.disabled&Exchange != 0 {
			continue
		}
		if peer := t.reconnectTarget(); peer != nil {
			t.exchange(ctx, *peer)
		}
		if time.Now().Before(next) {
			continue
		}
		var peers []Member
		var pause time.Duration
		guard.Locked(&t.mu, func() {
			peers = t.sample(1, "")
			pause = exchangeInterval/2 + time.Duration(t.random.Int64N(int64(exchangeInterval)))
		})
		for _, peer := range peers {
			result := t.exchange(ctx, peer)
			switch {
			case result == exchangeIncomplete:
				pause = 0
			case equalExchanges >= minEqualExchanges:
			case result == exchangeEqual:
				equalExchanges++
			default:
				equalExchanges = 0
			}
		}
		if equalExchanges >= minEqualExchanges {
			next = time.Now().Add(pause)
		}
	}
}

// reconnectTarget returns a random dead member or unknown host, or nil.
func (t *Table) reconnectTarget() *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Member
	for _, r := range t.records {
		if r.State == Dead {
			all = append(all, r.Member)
		}
	}
	for name, address := range t.unknownHosts {
		all = append(all, Member{Name: name, PeerAddress: address})
	}
	if len(all) == 0 {
		return nil
	}
	return &all[t.random.IntN(len(all))]
}

type exchangeResult int

const (
	// exchangeEqual means that the states did not differ.
	exchangeEqual exchangeResult = iota
	// exchangeMerged means that the states differed and are now the same.
	exchangeMerged
	// exchangeIncomplete means that a message was not answered, or that the
	// states still differed after maxExchangeRounds.
	exchangeIncomplete
)

// exchange brings this node and a peer to the same state, in messages of
// bounded size.
func (t *Table) exchange(ctx context.Context, peer Member) exchangeResult {
	t.mu.Lock()
	t.counts.Exchanges++
	t.mu.Unlock()
	result := exchangeEqual
	for range maxExchangeRounds {
		var digest, digestAfter []uint64
		var incarnation uint64
		guard.Locked(&t.mu, func() { digest, incarnation = t.digest(), t.self.Incarnation })
		reply, err := t.push(ctx, peer, Push{Digest: digest})
		if err != nil {
			return exchangeIncomplete
		}
		var missing []Member
		selfChanged := false
		guard.Locked(&t.mu, func() {
			digestAfter, missing = t.digest(), t.missingFrom(reply)
			selfChanged = t.self.Incarnation != incarnation
		})
		if len(missing) > 0 {
			if _, err := t.push(ctx, peer, Push{Updates: missing}); err != nil {
				return exchangeIncomplete
			}
		}
		if !selfChanged && len(missing) == 0 && slices.Equal(digest, digestAfter) {
			return result
		}
		result = exchangeMerged
	}
	return exchangeIncomplete
}

// digest returns a hash of the members that are not dead, per bucket. A
// suspicion does not change it. The caller holds mu.
func (t *Table) digest() []uint64 {
	sums := make([]uint64, digestBuckets)
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
	return int(xxhash.Sum64String(name) >> (64 - bits.Len(digestBuckets-1)))
}

// differingBuckets returns the buckets that differ from a peer's digest and the
// members in them, as many as fit into one message. It begins at a random bucket.
// The caller holds mu.
func (t *Table) differingBuckets(peerDigest []uint64) ([]int, []Member) {
	digest := t.digest()
	if len(peerDigest) != len(digest) {
		return nil, nil
	}
	membersByBucket := map[int][]Member{bucket(t.self.Name): {t.self}}
	for _, r := range t.records {
		if r.State != Dead {
			b := bucket(r.Name)
			membersByBucket[b] = append(membersByBucket[b], r.Member)
		}
	}
	var differing []int
	var members []Member
	start := t.random.IntN(digestBuckets)
	for i := range digestBuckets {
		b := (start + i) % digestBuckets
		if digest[b] == peerDigest[b] {
			continue
		}
		if len(differing) > 0 && len(members)+len(membersByBucket[b]) > maxExchange {
			break
		}
		differing = append(differing, b)
		members = append(members, membersByBucket[b]...)
	}
	return differing, members
}

// missingFrom returns this node's records that the peer of an exchange needs: those
// in reply.Buckets that reply.Members lacks or that override the records there. It
// returns at most maxExchange. The caller holds mu.
func (t *Table) missingFrom(reply PushReply) []Member {
	peerRecords := make(map[string]Member, len(reply.Members))
	for _, m := range reply.Members {
		peerRecords[m.Name] = m
	}
	var missing []Member
	addIfOverriding := func(m Member) {
		known, ok := peerRecords[m.Name]
		if len(missing) < maxExchange && slices.Contains(reply.Buckets, bucket(m.Name)) && m.Name != reply.Self.Name &&
			m.State != Dead && (!ok || m.overrides(known)) {
			missing = append(missing, m)
		}
	}
	addIfOverriding(t.self)
	for _, r := range t.records {
		addIfOverriding(r.Member)
	}
	return missing
}
