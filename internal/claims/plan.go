package claims

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// plan is the plan of one step of shard.flush. A step refreshes the ledger if needed
// and makes at most one write. The plan answers some operations from the ledger,
// collects those that the write commits, and leaves the rest to a later step.
type plan struct {
	shard *shard
	// confirmed reports whether the ledger has matched the platform's state at some
	// time since the operations were queued. It may be out of date again.
	confirmed bool
	now       time.Time
	// size is the size of the segment after the write, in bytes.
	size    int
	records []record
	// planned are the operations that records belong to.
	planned   []*operation
	remaining []*operation
	// plannedClaims holds the identities that records will claim.
	plannedClaims map[identity]bool
	// closing reports whether the write closes the segment.
	closing bool
}

func newPlan(s *shard, confirmed bool) *plan {
	p := &plan{shard: s, confirmed: confirmed, now: time.Now(), plannedClaims: map[identity]bool{}, size: len(s.ledger.content)}
	if s.ledger.closed {
		// The write starts the next segment with its header.
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
	// The garbage collection needs the window to find expired segments.
	p.shard.window = time.Duration(a.WindowMS) * time.Millisecond
	if c, ok := p.shard.ledger.claims[id]; ok {
		p.answerClaimed(op, a, c)
		return
	}
	// Claims of keys up to the horizon may have been deleted, so these keys must not
	// be claimed again. The horizon is stored in the open segment: if another node
	// raises it before it deletes claims, the write of this claim conflicts and the
	// key is checked against the new horizon. The age is checked again because the
	// operation may have waited in the queue.
	if a.Time <= p.shard.ledger.horizon || p.now.Sub(time.UnixMilli(a.Time)) > p.shard.window {
		op.reply(answer{err: errExpired()})
		return
	}
	if p.plannedClaims[id] {
		p.remaining = append(p.remaining, op)
		return
	}
	p.plannedClaims[id] = p.addRecord(op, record{
		ClaimedID: a.ID, Time: a.Time, Digest: a.Digest, Attempt: a.Attempt,
		Node: a.Claimant.Node, Incarnation: a.Claimant.Incarnation, Sequence: a.Claimant.Sequence,
	})
}

// answerClaimed answers an operation whose identity is already claimed in the ledger.
// The verdict Unknown needs a confirmed ledger: in an older one, an outcome may be
// missing that was recorded before the operation was queued.
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
	case p.confirmed:
		op.reply(answer{AcquireResult: AcquireResult{Verdict: Unknown}})
	default:
		p.remaining = append(p.remaining, op)
	}
}

func (p *plan) addOutcome(op *operation, f *FinishParams) {
	c, ok := p.shard.ledger.claims[identity(f.ID)]
	switch {
	case !ok && !p.confirmed:
		p.remaining = append(p.remaining, op)
	case !ok:
		op.reply(answer{err: fault.New(fault.NotFound, "the claim is not in the log")})
	case !c.heldBy(f.Claimant):
		op.reply(answer{err: fault.New(fault.Stale, "the claim belongs to another dispatcher")})
	case c.outcome != nil:
		op.reply(answer{})
	default:
		p.addRecord(op, record{FinishedID: f.ID, Outcome: &f.Outcome})
	}
}

// addRecord adds a record to the next write and reports whether it did. If the record
// does not fit into the open segment, its operation remains for the next segment. If
// the record does not even fit into an empty segment, its operation is refused.
func (p *plan) addRecord(op *operation, r record) bool {
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
