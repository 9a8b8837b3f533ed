package member

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// probeLoop probes one member per protocolPeriod and declares members dead whose
// suspicion has expired. Both run in one goroutine, so that a pause of the process
// shows as a gap between ticks before any suspicion expires.
func (t *Table) probeLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	next := last.Add(t.jitter(protocolPeriod))
	failureHistory := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		t.checkStall(last)
		if now := time.Now(); !now.Before(next) {
			next = next.Add(protocolPeriod)
			if next.Before(now) {
				next = now.Add(protocolPeriod)
			}
			failureHistory = failureHistory<<1&failureHistoryMask | t.probeNext(ctx)
			if t.disabled&Survey == 0 && bits.OnesCount(uint(failureHistory)) >= surveyFailures {
				failureHistory = 0
				t.survey(ctx)
			}
		}
		t.verify(ctx)
		last = time.Now()
		guard.Locked(&t.mu, func() { t.expire(last) })
	}
}

// verify probes the members that peers reported dead. A member that answers
// neither this node nor a relay is declared dead at once: the peers have already
// suspected it for suspicionTime, and if this node also waited for that time, the
// views of the nodes would differ for more than ten seconds. Members beyond
// maxVerifiedPerTick are not probed, so that the loop does not stall; they are
// declared dead when their suspicion expires.
func (t *Table) verify(ctx context.Context) {
	t.mu.Lock()
	reported := t.unverifiedDeaths[:min(len(t.unverifiedDeaths), maxVerifiedPerTick)]
	t.unverifiedDeaths = nil
	t.mu.Unlock()
	if len(reported) == 0 {
		return
	}
	begin := time.Now()
	results := make([]probeResult, len(reported))
	g := group.New(ctx)
	for i, m := range reported {
		g.Go("verify", guard.Task(t.log, "member verification", func(ctx context.Context) error {
			results[i] = t.probe(ctx, m)
			return nil
		}))
	}
	if err := g.Wait(); err != nil || ctx.Err() != nil || t.checkStall(begin) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, m := range reported {
		r := t.records[m.Name]
		if results[i] != probeSilent || r == nil || r.State != Suspect || r.Incarnation != m.Incarnation {
			continue
		}
		u := r.Member
		u.State = Dead
		t.set(r, u)
	}
}

// probeNext probes one member and returns 1 when it did not answer, otherwise 0.
func (t *Table) probeNext(ctx context.Context) int {
	begin := time.Now()
	target := t.probeTarget()
	if target == nil {
		return 0
	}
	result := t.probe(ctx, *target)
	if t.checkStall(begin) {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyProbeResult(*target, result)
	if result == probeAnswered {
		return 0
	}
	return 1
}

// checkStall reports whether this node was paused since begin, and restarts the
// time of all suspicions if so.
func (t *Table) checkStall(begin time.Time) bool {
	if t.disabled&StallCheck != 0 || time.Since(begin) <= stallThreshold {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restartSuspicions(time.Now())
	return true
}

type probeResult int

const (
	probeAnswered probeResult = iota
	// probeSilent means that the member answered neither this node nor a relay
	// that this node reached, or that there was no relay to ask.
	probeSilent
	// probeUnconfirmed means that neither the member nor any relay answered, so
	// that this node may be cut off itself.
	probeUnconfirmed
)

// probeTarget returns the member to probe in this period. The member's distance
// from this node on the ring (see ringNames) follows from the clock, so nodes whose
// views and clocks agree probe each member exactly once per period. If they differ,
// some members may be probed several times or not at all in a period, but all
// members equally often in the long run.
func (t *Table) probeTarget() *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.ringNames()
	if len(ring) < 2 {
		return nil
	}
	self := 0
	for ring[self] != t.self.Name {
		self++
	}
	offset := int(time.Now().Unix() % int64(len(ring)-1))
	m := t.records[ring[(self+1+offset)%len(ring)]].Member
	return &m
}

// probe pings a member directly and, if the ping fails, through relays: other
// members that ping it for this node.
func (t *Table) probe(ctx context.Context, target Member) probeResult {
	t.mu.Lock()
	t.counts.Probes++
	t.mu.Unlock()
	_, err := t.ping(ctx, target)
	if err == nil {
		return probeAnswered
	}
	if fault.Is(err, fault.Stale) {
		// The member is alive but knows this node as dead or at a later
		// incarnation.
		t.exchange(ctx, target)
		return probeAnswered
	}
	if t.disabled&IndirectProbes != 0 {
		return probeSilent
	}
	var relays []Member
	guard.Locked(&t.mu, func() {
		relays = t.sample(indirectProbeFanout, target.Name)
		t.counts.IndirectProbes += len(relays)
	})
	if len(relays) == 0 {
		return probeSilent
	}
	return t.probeIndirectly(ctx, target, relays)
}

func (t *Table) probeIndirectly(ctx context.Context, target Member, relays []Member) probeResult {
	ctx, cancel := context.WithTimeout(ctx, pingReqTimeout)
	defer cancel()
	replies := make(chan *PingReqReply, len(relays))
	g := group.New(ctx)
	for _, relay := range relays {
		g.Go("indirect probe", func(ctx context.Context) error {
			reply := &PingReqReply{}
			err := guard.Do(ctx, t.log, "indirect probe", func(ctx context.Context) error {
				return t.caller.Call(ctx, relay.PeerAddress, MethodPingReq, PingReq{t.Self(), target}, reply)
			})
			if err != nil {
				reply = nil
			}
			replies <- reply
			return nil
		})
	}
	result := probeUnconfirmed
	for range relays {
		reply := <-replies
		if reply == nil {
			continue
		}
		if reply.Target != nil {
			// When the target answered the relay with Stale, the record is empty
			// and mergeMessage ignores it.
			t.mergeMessage(*reply.Target, 0, nil)
			result = probeAnswered
			break
		}
		result = probeSilent
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.log.WithField("event", "member_probe_failed").WithError(err).Error("indirect probe failed")
	}
	return result
}

// ping sends one ping and merges the answer.
func (t *Table) ping(ctx context.Context, target Member) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var p Ping
	guard.Locked(&t.mu, func() {
		p = Ping{To: target.Name, Self: t.self, Updates: t.queue.take(len(t.records) + 1)}
		if r := t.records[target.Name]; r != nil && r.State == Suspect {
			// A suspected member must always receive the suspicion, so that it can
			// refute it, even when the queue no longer holds that update.
			p.Updates = append(p.Updates, r.compact())
		}
	})
	p.Config = t.revision()
	var ack Ack
	if err := t.caller.Call(ctx, target.PeerAddress, MethodPing, p, &ack); err != nil {
		return ack, err
	}
	t.mergeMessage(ack.Self, ack.Config, ack.Updates)
	return ack, nil
}

// applyProbeResult updates the record of a member that was probed. The caller
// holds mu.
func (t *Table) applyProbeResult(target Member, result probeResult) {
	r := t.records[target.Name]
	if r == nil || r.Incarnation != target.Incarnation || r.State == Dead {
		return
	}
	switch {
	case result == probeAnswered && r.State != Suspect:
		r.suspectedAt = time.Time{}
	case result == probeAnswered || !r.suspectedAt.IsZero():
	case result == probeSilent && r.State == Alive:
		u := r.Member
		u.State = Suspect
		t.set(r, u)
	default:
		// The suspicion is not spread when this node reached no other member, or
		// when the member is leaving.
		r.suspectedAt = time.Now()
	}
}

// survey pings every member that is not under suspicion. It runs when most of
// the last probes failed, which means that many members have failed at once or
// that this node is cut off: one probe per period would find that too late.
func (t *Table) survey(ctx context.Context) {
	begin := time.Now()
	t.mu.Lock()
	t.counts.Surveys++
	var members []Member
	for _, r := range t.records {
		if r.State != Dead && r.suspectedAt.IsZero() {
			members = append(members, r.Member)
		}
	}
	t.mu.Unlock()
	silent := make([]bool, len(members))
	work := make(chan int, len(members))
	for i := range members {
		work <- i
	}
	close(work)
	g := group.New(ctx)
	for range min(surveyWorkers, len(members)) {
		g.Go("survey", func(ctx context.Context) error {
			for i := range work {
				guard.Run(t.log, "survey", func() {
					_, err := t.ping(ctx, members[i])
					silent[i] = err != nil && !fault.Is(err, fault.Stale)
				})
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil || ctx.Err() != nil || t.checkStall(begin) {
		return
	}
	result := probeUnconfirmed
	if slices.Contains(silent, false) {
		result = probeSilent
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, m := range members {
		if silent[i] {
			t.applyProbeResult(m, result)
		}
	}
}

// expire declares members dead that have been suspected for suspicionTime, and
// removes members that have been dead for deadRetention. The caller holds mu.
func (t *Table) expire(now time.Time) {
	for name, r := range t.records {
		switch {
		case r.State == Dead && now.Sub(r.since) >= deadRetention:
			delete(t.records, name)
		case r.State != Dead && !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) >= suspicionTime:
			u := r.Member
			u.State = Dead
			t.set(r, u)
		}
	}
}

// restartSuspicions restarts the time of all suspicions after a stall of this
// node. The caller holds mu.
func (t *Table) restartSuspicions(now time.Time) {
	t.counts.Stalls++
	t.log.WithField("event", "member_stalled").Warn("this node was paused; restarting the time of all suspicions")
	for _, r := range t.records {
		if !r.suspectedAt.IsZero() {
			r.suspectedAt = now
		}
	}
}
