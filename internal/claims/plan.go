package claims

import (
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// plan sorts the items of a step: answered from the ledger, planned for the
// next write, or left for a later step.
type plan struct {
	shard *shard
	fresh bool
	now   time.Time
	// size is that of the segment after the write, in bytes.
	size    int
	records []record
	planned []*item
	rest    []*item
	// claimed holds the identities planned so far.
	claimed map[identity]bool
	// closing says that the write closes the segment.
	closing bool
}

func newPlan(s *shard, fresh bool) *plan {
	p := &plan{shard: s, fresh: fresh, now: time.Now(), claimed: map[identity]bool{}, size: len(s.ledger.content)}
	if s.ledger.full {
		p.size = len(mustEncode(record{Segment: s.ledger.number + 1, Horizon: s.ledger.horizon}))
	}
	return p
}

func (p *plan) add(i *item) {
	if i.acquire != nil {
		p.addClaim(i, i.acquire)
		return
	}
	p.addOutcome(i, i.finish)
}

func (p *plan) addClaim(i *item, a *AcquireParams) {
	id := identity(a.ID)
	p.shard.window = time.Duration(a.WindowMS) * time.Millisecond
	if c, ok := p.shard.ledger.claims[id]; ok {
		p.answerClaimed(i, a, c)
		return
	}
	// The horizon is part of the state that the next compare-and-swap depends
	// on, so a key whose claim was deleted cannot pass. The clock is checked
	// again because the item may have waited.
	if a.Time <= p.shard.ledger.horizon || p.now.Sub(time.UnixMilli(a.Time)) > p.shard.window {
		i.reply(answer{err: errExpired()})
		return
	}
	if p.claimed[id] {
		p.rest = append(p.rest, i)
		return
	}
	p.claimed[id] = p.record(i, record{
		Claim: a.ID, Time: a.Time, Digest: a.Digest, Attempt: a.Attempt,
		Node: a.Claimant.Node, Incarnation: a.Claimant.Incarnation, Sequence: a.Claimant.Sequence,
	})
}

func (p *plan) answerClaimed(i *item, a *AcquireParams, c *claim) {
	switch {
	case c.heldBy(a.Claimant):
		// An earlier write of this claim took effect although its reply was
		// lost.
		i.reply(answer{AcquireResult: AcquireResult{Verdict: Run}})
	case c.digest != identity(a.Digest):
		i.reply(answer{err: fault.New(fault.Conflict,
			"the idempotency key was used before with another request; this request was not run")})
	case c.outcome != nil:
		i.reply(answer{AcquireResult: AcquireResult{Verdict: Recorded, Outcome: *c.outcome}})
	case p.fresh:
		i.reply(answer{AcquireResult: AcquireResult{Verdict: Unknown}})
	default:
		p.rest = append(p.rest, i)
	}
}

func (p *plan) addOutcome(i *item, f *FinishParams) {
	c, ok := p.shard.ledger.claims[identity(f.ID)]
	switch {
	case !ok && !p.fresh:
		p.rest = append(p.rest, i)
	case !ok:
		i.reply(answer{err: fault.New(fault.NotFound, "the claim is not in the log")})
	case !c.heldBy(f.Claimant):
		i.reply(answer{err: fault.New(fault.Stale, "the claim belongs to another dispatcher")})
	case c.outcome != nil:
		i.reply(answer{})
	default:
		p.record(i, record{Finish: f.ID, Outcome: &f.Outcome})
	}
}

// record plans a record, or leaves its item for the next segment when it does
// not fit. It reports whether the record is planned.
func (p *plan) record(i *item, r record) bool {
	size := len(mustEncode(r))
	limit := p.shard.log.options.SegmentSize - len(fullLine)
	if size > limit-maxHeaderSize {
		i.reply(answer{err: fault.New(fault.Invalid, "a record of %d bytes does not fit into a segment of claims", size)})
		return false
	}
	if p.closing || p.size+size > limit {
		p.closing = true
		p.rest = append(p.rest, i)
		return false
	}
	p.size += size
	p.records = append(p.records, r)
	p.planned = append(p.planned, i)
	// A segment without room for another claim is closed by the write that
	// fills it, which saves a write that only closes.
	p.closing = p.size+maxClaimSize > limit
	return true
}
