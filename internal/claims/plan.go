package claims

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// plan sorts the operations of a step into those that it answers from the
// ledger, those that the next write commits, and those that remain for a later
// step.
type plan struct {
	shard *shard
	// current reports whether the ledger has matched the platform's state at some time
	// since the operations were queued.
	current bool
	now     time.Time
	// size is the size of the segment after the write, in bytes.
	size    int
	records []record
	// planned are the operations that records belong to.
	planned   []*operation
	remaining []*operation
	// claimed holds the identities that records will claim.
	claimed map[identity]bool
	// closing reports whether the write closes the segment.
	closing bool
}

func newPlan(s *shard, current bool) *plan {
	p := &plan{shard: s, current: current, now: time.Now(), claimed: map[identity]bool{}, size: len(s.ledger.content)}
	if s.ledger.closed {
		p.size = len(mustEncode(record{Segment: s.ledger.number + 1, Horizon: s.ledger.horizon}))
	}
	return p
}

func (p *plan) add(op *operation) {
	if op.acquire != nil {
		p.addClaim(op, op.acquire)
		return
	}
	p.addOutcome(op, op.finish)
}

func (p *plan) addClaim(op *operation, a *AcquireParams) {
	id := identity(a.ID)
	p.shard.window = time.Duration(a.WindowMS) * time.Millisecond
	if c, ok := p.shard.ledger.claims[id]; ok {
		p.answerClaimed(op, a, c)
		return
	}
	// The horizon is part of the state that the next compare-and-swap depends
	// on, so a key whose claim was deleted cannot be claimed again. The age is
	// checked again because the operation may have waited in the queue.
	if a.Time <= p.shard.ledger.horizon || p.now.Sub(time.UnixMilli(a.Time)) > p.shard.window {
		op.reply(answer{err: errExpired()})
		return
	}
	if p.claimed[id] {
		p.remaining = append(p.remaining, op)
		return
	}
	p.claimed[id] = p.record(op, record{
		Claim: a.ID, Time: a.Time, Digest: a.Digest, Attempt: a.Attempt,
		Node: a.Claimant.Node, Incarnation: a.Claimant.Incarnation, Sequence: a.Claimant.Sequence,
	})
}

// answerClaimed answers an operation whose identity is already claimed. A
// claim without an outcome is answered only from a current ledger, because the
// outcome may have been recorded since.
func (p *plan) answerClaimed(op *operation, a *AcquireParams, c *claim) {
	switch {
	case c.heldBy(a.Claimant):
		// An earlier write of this claim took effect although its reply was
		// lost.
		op.reply(answer{AcquireResult: AcquireResult{Verdict: Run}})
	case c.digest != identity(a.Digest):
		op.reply(answer{err: fault.New(fault.Conflict,
			"the idempotency key was used before with another request; this request was not run")})
	case c.outcome != nil:
		op.reply(answer{AcquireResult: AcquireResult{Verdict: Recorded, Outcome: *c.outcome}})
	case p.current:
		op.reply(answer{AcquireResult: AcquireResult{Verdict: Unknown}})
	default:
		p.remaining = append(p.remaining, op)
	}
}

func (p *plan) addOutcome(op *operation, f *FinishParams) {
	c, ok := p.shard.ledger.claims[identity(f.ID)]
	switch {
	case !ok && !p.current:
		p.remaining = append(p.remaining, op)
	case !ok:
		op.reply(answer{err: fault.New(fault.NotFound, "the claim is not in the log")})
	case !c.heldBy(f.Claimant):
		op.reply(answer{err: fault.New(fault.Stale, "the claim belongs to another dispatcher")})
	case c.outcome != nil:
		op.reply(answer{})
	default:
		p.record(op, record{Finish: f.ID, Outcome: &f.Outcome})
	}
}

// record adds a record to the next write. If it does not fit into the segment,
// its operation remains for the next segment. It reports whether the record was
// added.
func (p *plan) record(op *operation, r record) bool {
	size := len(mustEncode(r))
	limit := p.shard.log.options.SegmentSize - len(closeLine)
	if size > limit-maxHeaderSize {
		op.reply(answer{err: fault.New(fault.Invalid, "a record of %d bytes does not fit into a segment of claims", size)})
		return false
	}
	if p.closing || p.size+size > limit {
		p.closing = true
		p.remaining = append(p.remaining, op)
		return false
	}
	p.size += size
	p.records = append(p.records, r)
	p.planned = append(p.planned, op)
	// The write that leaves no room for another claim also closes the segment,
	// which saves a separate write.
	p.closing = p.size+maxClaimSize > limit
	return true
}
