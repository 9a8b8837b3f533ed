package member

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// probeLoop probes one member per period and ends suspicions. Both run in one
// goroutine, so that a pause of the process shows as a gap between ticks.
func (t *Table) probeLoop(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	next := last.Add(t.jitter(period))
	failures := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		t.stalled(last)
		if now := time.Now(); !now.Before(next) {
			next = next.Add(period)
			if next.Before(now) {
				next = now.Add(period)
			}
			failures = failures<<1&historyMask | t.round(ctx)
			if t.without&Survey == 0 && bits.OnesCount(uint(failures)) >= surveyFailures {
				failures = 0
				t.survey(ctx)
			}
		}
		t.verify(ctx)
		last = time.Now()
		t.mu.Lock()
		t.expire(last)
		t.mu.Unlock()
	}
}

// verify probes the members that peers reported dead. A member that is silent
// to this node and to others as well is taken for dead at once: its peers have
// suspected it for suspicionTime, and doing so again would leave the views of
// nodes apart for more than ten seconds. Reports beyond maxVerified wait for the
// end of the suspicion, so that the loop does not stall.
func (t *Table) verify(ctx context.Context) {
	t.mu.Lock()
	reported := t.reported[:min(len(t.reported), maxVerified)]
	t.reported = nil
	t.mu.Unlock()
	if len(reported) == 0 {
		return
	}
	begin := time.Now()
	verdicts := make([]verdict, len(reported))
	g := group.New(ctx)
	for i, m := range reported {
		g.Go("verify", func(ctx context.Context) error {
			verdicts[i] = t.probe(ctx, m)
			return nil
		})
	}
	if err := g.Wait(); err != nil || ctx.Err() != nil || t.stalled(begin) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, m := range reported {
		r := t.records[m.Name]
		if verdicts[i] != verdictSilent || r == nil || r.State != Suspect || r.Incarnation != m.Incarnation {
			continue
		}
		u := r.Member
		u.State = Dead
		t.set(r, u)
	}
}

// round probes one member and returns 1 when it was silent, otherwise 0.
func (t *Table) round(ctx context.Context) int {
	begin := time.Now()
	target := t.target()
	if target == nil {
		return 0
	}
	v := t.probe(ctx, *target)
	if t.stalled(begin) {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(*target, v)
	if v == verdictAlive {
		return 0
	}
	return 1
}

// stalled restarts all suspicions when this node was paused since begin.
func (t *Table) stalled(begin time.Time) bool {
	if t.without&StallCheck != 0 || time.Since(begin) <= stallTime {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgive(time.Now())
	return true
}

type verdict int

const (
	verdictAlive verdict = iota
	// verdictSilent is a failure that other members confirm.
	verdictSilent
	// verdictAlone is a failure while no other member answered either.
	verdictAlone
)

// target returns the member to probe in this period. The ring is rotated by
// the clock: nodes whose views and clocks agree probe each member exactly
// once per period. Without that agreement the choice is arbitrary but fair.
func (t *Table) target() *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.order()
	if len(ring) < 2 {
		return nil
	}
	at := 0
	for ring[at] != t.self.Name {
		at++
	}
	round := int(time.Now().Unix() % int64(len(ring)-1))
	m := t.records[ring[(at+1+round)%len(ring)]].Member
	return &m
}

// probe pings a member, directly and then through others.
func (t *Table) probe(ctx context.Context, target Member) verdict {
	t.mu.Lock()
	t.counts.Probes++
	t.mu.Unlock()
	_, err := t.ping(ctx, target)
	if err == nil {
		return verdictAlive
	}
	if fault.Is(err, fault.Stale) {
		// The member lives but holds this node for dead.
		t.exchange(ctx, target)
		return verdictAlive
	}
	if t.without&IndirectProbes != 0 {
		return verdictSilent
	}
	t.mu.Lock()
	relays := t.sample(indirectProbes, target.Name)
	t.counts.IndirectProbes += len(relays)
	t.mu.Unlock()
	if len(relays) == 0 {
		return verdictSilent
	}
	return t.indirect(ctx, target, relays)
}

func (t *Table) indirect(ctx context.Context, target Member, relays []Member) verdict {
	ctx, cancel := context.WithTimeout(ctx, pingReqTimeout)
	defer cancel()
	replies := make(chan *PingReqReply, len(relays))
	g := group.New(ctx)
	for _, relay := range relays {
		g.Go("indirect probe", func(ctx context.Context) error {
			reply := &PingReqReply{}
			if t.caller.Call(ctx, relay.PeerAddress, MethodPingReq, PingReq{t.Self(), target}, reply) != nil {
				reply = nil
			}
			replies <- reply
			return nil
		})
	}
	result := verdictAlone
	for range relays {
		reply := <-replies
		if reply == nil {
			continue
		}
		if reply.Target != nil {
			// The record is empty when the target refused the relay as Stale.
			t.hear(*reply.Target, 0, nil)
			result = verdictAlive
			break
		}
		result = verdictSilent
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.log.WithField("event", "member_probe_failed").WithError(err).Error("indirect probe failed")
	}
	return result
}

// ping sends one ping and takes over the answer.
func (t *Table) ping(ctx context.Context, target Member) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	t.mu.Lock()
	p := Ping{To: target.Name, Self: t.self, Updates: t.queue.take(len(t.records) + 1)}
	if r := t.records[target.Name]; r != nil && r.State == Suspect {
		// The suspected member must hear of it even when the update has
		// been sent often enough.
		p.Updates = append(p.Updates, r.brief())
	}
	t.mu.Unlock()
	p.Config = t.revision()
	var ack Ack
	if err := t.caller.Call(ctx, target.PeerAddress, MethodPing, p, &ack); err != nil {
		return ack, err
	}
	t.hear(ack.Self, ack.Config, ack.Updates)
	return ack, nil
}

// judge turns the result of a probe into a state. The caller holds mu.
func (t *Table) judge(target Member, v verdict) {
	r := t.records[target.Name]
	if r == nil || r.Incarnation != target.Incarnation || r.State == Dead {
		return
	}
	switch {
	case v == verdictAlive && r.State != Suspect:
		r.suspected = time.Time{}
	case v == verdictAlive || !r.suspected.IsZero():
	case v == verdictSilent && r.State == Alive:
		u := r.Member
		u.State = Suspect
		t.set(r, u)
	default:
		// A node that reaches nobody keeps its suspicion to itself.
		r.suspected = time.Now()
	}
}

// survey pings every member that is not under suspicion. It runs when most of
// the last probes failed, which means that many members are gone at once or
// that this node is cut off: one probe per period would find them too late.
func (t *Table) survey(ctx context.Context) {
	begin := time.Now()
	t.mu.Lock()
	t.counts.Surveys++
	var asked []Member
	for _, r := range t.records {
		if r.State != Dead && r.suspected.IsZero() {
			asked = append(asked, r.Member)
		}
	}
	t.mu.Unlock()
	silent := make([]bool, len(asked))
	work := make(chan int, len(asked))
	for i := range asked {
		work <- i
	}
	close(work)
	g := group.New(ctx)
	for range min(surveyWorkers, len(asked)) {
		g.Go("survey", func(ctx context.Context) error {
			for i := range work {
				_, err := t.ping(ctx, asked[i])
				silent[i] = err != nil && !fault.Is(err, fault.Stale)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil || ctx.Err() != nil || t.stalled(begin) {
		return
	}
	v := verdictAlone
	if slices.Contains(silent, false) {
		v = verdictSilent
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, m := range asked {
		if silent[i] {
			t.judge(m, v)
		}
	}
}

// expire declares members dead whose suspicion has lasted long enough, and
// forgets old dead members. The caller holds mu.
func (t *Table) expire(now time.Time) {
	for name, r := range t.records {
		switch {
		case r.State == Dead && now.Sub(r.since) >= deadTime:
			delete(t.records, name)
		case r.State != Dead && !r.suspected.IsZero() && now.Sub(r.suspected) >= suspicionTime:
			u := r.Member
			u.State = Dead
			t.set(r, u)
		}
	}
}

// forgive restarts all suspicions after a stall of this node.
func (t *Table) forgive(now time.Time) {
	t.counts.Stalls++
	t.log.WithField("event", "member_stalled").Warn("this node was paused; suspicions start anew")
	for _, r := range t.records {
		if !r.suspected.IsZero() {
			r.suspected = now
		}
	}
}
