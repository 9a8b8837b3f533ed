package member

import (
	"cmp"
	"context"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Register adds the handlers of the membership protocol to a mux.
func (t *Table) Register(m *wire.Mux) {
	m.Handle(MethodPing, wire.Typed(t.servePing))
	m.Handle(MethodPingReq, wire.Typed(t.servePingReq))
	m.Handle(MethodPush, wire.Typed(t.servePush))
}

// Run runs the membership protocol until the context ends.
func (t *Table) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("member probe", guard.Loop(t.log, "member probe", t.probeLoop))
	g.Go("member push", guard.Loop(t.log, "member push", t.pushLoop))
	g.Go("member exchange", guard.Loop(t.log, "member exchange", t.exchangeLoop))
	if len(t.seedAddresses) > 0 {
		g.Go("member seeds", guard.Loop(t.log, "member seeds", t.seedsLoop))
	}
	if t.lister != nil {
		g.Go("member hosts", guard.Loop(t.log, "member hosts", t.hostsLoop))
	}
	return g.Wait()
}

// checkParties returns an error when a message is meant for another node, or when
// the sender's record is malformed or not that of the calling node.
func (t *Table) checkParties(to, from string, sender Member) error {
	if to != t.Self().Name {
		return fault.New(fault.NotFound, "this is not node %q", to)
	}
	if sender.Name != from || !sender.valid() {
		return fault.New(fault.Invalid, "node %q speaks for %q", from, sender.Name)
	}
	return nil
}

// servePing answers a ping. The error is Stale if this node has a record of the
// sender with a later incarnation, or with the same incarnation and the state Dead.
func (t *Table) servePing(_ context.Context, from string, p Ping) (Ack, error) {
	if err := t.checkParties(p.To, from, p.Self); err != nil {
		return Ack{}, err
	}
	t.mu.Lock()
	r := t.records[from]
	stale := r != nil && (r.Incarnation > p.Self.Incarnation || r.Incarnation == p.Self.Incarnation && r.State == Dead)
	if stale {
		t.counts.Stale++
		known := r.Member
		t.mu.Unlock()
		return Ack{}, fault.New(fault.Stale, "node %q is %s at incarnation %d", from, known.State, known.Incarnation)
	}
	t.mu.Unlock()
	if len(p.Updates) > maxExchange {
		return Ack{}, fault.New(fault.TooLarge, "ping with %d updates", len(p.Updates))
	}
	t.mergeMessage(p.Self, p.Config, p.Updates)
	var ack Ack
	guard.Locked(&t.mu, func() {
		ack = Ack{Self: t.self, Updates: t.queue.take(len(t.records) + 1)}
		if m := t.overridingRecord(p.Self); m != nil {
			ack.Updates = append(ack.Updates, *m)
		}
	})
	ack.Config = t.revision()
	return ack, nil
}

// servePingReq pings a target as a relay for the sender. A target that answers
// with Stale is reported as answering, with an empty record.
func (t *Table) servePingReq(ctx context.Context, from string, p PingReq) (PingReqReply, error) {
	if err := t.checkParties(t.Self().Name, from, p.Self); err != nil {
		return PingReqReply{}, err
	}
	if !p.Target.valid() || p.Target.PeerAddress == "" {
		return PingReqReply{}, fault.New(fault.Invalid, "no address to ping")
	}
	ack, err := t.ping(ctx, p.Target)
	if err != nil && !fault.Is(err, fault.Stale) {
		// An empty reply reports that the target did not answer.
		return PingReqReply{}, nil //nolint:nilerr // see above
	}
	return PingReqReply{Target: &ack.Self}, nil
}

// servePush merges the updates of a push. Unlike servePing it also accepts a
// sender that this node knows as dead. The reply contains this node's record of
// the sender, so that the sender can refute it.
func (t *Table) servePush(_ context.Context, from string, p Push) (PushReply, error) {
	// A node that joins knows only the address of the receiver.
	to := cmp.Or(p.To, t.Self().Name)
	if err := t.checkParties(to, from, p.Self); err != nil {
		return PushReply{}, err
	}
	if len(p.Updates) > maxExchange {
		return PushReply{}, fault.New(fault.TooLarge, "push of %d updates", len(p.Updates))
	}
	updates := p.Updates
	if p.Receiver != nil {
		updates = append(updates, *p.Receiver)
	}
	t.mergeMessage(p.Self, p.Config, updates)
	var reply PushReply
	guard.Locked(&t.mu, func() {
		reply = PushReply{Self: t.self, Pusher: t.overridingRecord(p.Self)}
		if p.Digest != nil {
			reply.Buckets, reply.Members = t.differingBuckets(p.Digest)
		}
	})
	reply.Config = t.revision()
	return reply, nil
}
