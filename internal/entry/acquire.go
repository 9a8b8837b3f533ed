package entry

import (
	"context"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// ownerPause is the mean pause before the cells are asked again when some of
// them had no reachable scheduler.
const ownerPause = 250 * time.Millisecond

// digestLifetime is how long the load digest of a cell counts. An older one
// says nothing about a cell that this node has not used since.
const digestLifetime = 5 * time.Second

// digests keeps the last load digest of each cell.
type digests struct {
	mu   sync.Mutex
	last map[string]datedDigest
}

type datedDigest struct {
	digest sched.Digest
	at     time.Time
}

func (d *digests) note(cell string, digest sched.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil {
		d.last = map[string]datedDigest{}
	}
	d.last[cell] = datedDigest{digest, time.Now()}
}

// wait returns the predicted wait in a cell; unknown cells count as idle.
func (d *digests) wait(cell string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.last[cell]
	if !ok || time.Since(last.at) > digestLifetime {
		return 0
	}
	return last.digest.Wait
}

// order moves the less loaded of the first two cells to the front.
func (d *digests) order(cells []string) []string {
	if len(cells) > 1 && d.wait(cells[1]) < d.wait(cells[0]) {
		cells[0], cells[1] = cells[1], cells[0]
	}
	return cells
}

// acquire asks the cells in order until one grants. It asks all of them again
// while some had no reachable scheduler and time is left.
func (c *call) acquire(ctx context.Context, alone bool) (sched.Grant, error) {
	for {
		grant, err := c.acquireOnce(ctx, alone)
		if err == nil {
			return grant, nil
		}
		if ctx.Err() != nil || !ownerProblem(err) {
			return sched.Grant{}, err
		}
		pause(ctx, jitter(ownerPause))
	}
}

// acquireOnce asks each cell once. Its error is an owner problem if any cell
// had one, since that cell may still grant; otherwise the first refusal.
func (c *call) acquireOnce(ctx context.Context, alone bool) (sched.Grant, error) {
	s := c.server
	cells := s.digests.order(s.options.Cells.Rank(c.service, rankKey(c.scope, c.prompt)))
	if len(cells) == 0 {
		return sched.Grant{}, fault.New(fault.Unreachable, "service %s has no engines", c.service)
	}
	var refusal, problem error
	for i, cell := range cells {
		grant, err := c.acquireWithin(ctx, cell, alone, i == len(cells)-1)
		switch {
		case err == nil:
			s.digests.note(cell, grant.Digest)
			return grant, nil
		case ctx.Err() != nil:
			return sched.Grant{}, err
		case ownerProblem(err):
			problem = err
		case refusal == nil || fault.Is(refusal, fault.TooLong):
			refusal = err
		}
	}
	if problem != nil {
		return sched.Grant{}, problem
	}
	return sched.Grant{}, refusal
}

// acquireWithin asks one cell. All but the last may use up half of the time
// left, so that a cell that stopped granting does not cost the request its
// chance in the others.
func (c *call) acquireWithin(ctx context.Context, cell string, alone, last bool) (sched.Grant, error) {
	if last {
		return c.acquireFrom(ctx, cell, alone)
	}
	limited, cancel := context.WithTimeout(ctx, time.Until(c.deadline)/2)
	defer cancel()
	grant, err := c.acquireFrom(limited, cell, alone)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		return sched.Grant{}, fault.Wrap(fault.Unreachable, err, "cell %s did not grant in half of the time left", cell)
	}
	return grant, err
}

// acquireFrom asks one cell. A lost reply is asked for once more: the
// scheduler answers the same grant to the same request.
func (c *call) acquireFrom(ctx context.Context, cell string, alone bool) (sched.Grant, error) {
	req := sched.Request{
		ID: c.id, Attempt: c.attempts, Cell: cell,
		Entry: c.server.options.Name, EntryIncarnation: c.server.options.Incarnation,
		Organisation: c.organisation, Weight: c.share.Weight, Model: c.model,
		PromptTokens: c.promptTokens, MaxTokens: c.maxTokens, Prefixes: c.prefixes,
		Fingerprint: c.fingerprint, Alone: alone,
		Remaining: time.Until(c.deadline), Avoid: c.avoid,
	}
	grant, err := c.server.options.Cells.Acquire(ctx, req)
	if fault.Is(err, fault.ReplyLost) && ctx.Err() == nil {
		req.Remaining = time.Until(c.deadline)
		grant, err = c.server.options.Cells.Acquire(ctx, req)
	}
	return grant, err
}

// ownerProblem reports whether an error says that the scheduler could not be
// reached, as opposed to a refusal by it.
func ownerProblem(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.ReplyLost, fault.NotOwner:
		return true
	}
	return false
}
