package entry

import (
	"context"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// cellRetryDelay is the mean delay before all cells are asked again when the
// scheduler of at least one of them was not available.
const cellRetryDelay = 250 * time.Millisecond

// digestMaxAge is the maximum age of a load digest that is used. A digest
// arrives only with a grant. If this node has received no grant from a cell for
// longer, the last digest says nothing about the present load of the cell.
const digestMaxAge = 5 * time.Second

// loadDigests keeps the last load digest of each cell. A load digest is the
// summary of the cell's load that its scheduler sends with a grant.
type loadDigests struct {
	mu   sync.Mutex
	last map[string]datedDigest
}

type datedDigest struct {
	digest     sched.LoadDigest
	receivedAt time.Time
}

func (d *loadDigests) record(cell string, digest sched.LoadDigest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil {
		d.last = map[string]datedDigest{}
	}
	d.last[cell] = datedDigest{digest, time.Now()}
}

// predictedWait returns the queueing time that the last digest of a cell
// predicts, or 0 without a recent digest, so that an unknown cell counts as
// idle.
func (d *loadDigests) predictedWait(cell string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.last[cell]
	if !ok || time.Since(last.receivedAt) > digestMaxAge {
		return 0
	}
	return last.digest.Wait
}

// order swaps the first two cells if the second has the shorter predicted
// wait.
func (d *loadDigests) order(cells []string) []string {
	if len(cells) > 1 && d.predictedWait(cells[1]) < d.predictedWait(cells[0]) {
		cells[0], cells[1] = cells[1], cells[0]
	}
	return cells
}

// acquire asks the cells in order until one of them grants the request. While
// the scheduler of at least one cell is not available, it asks all of them
// again until the context ends. If no cell has an engine for the request, it is
// refused at once, unless an engine may have run it: it then waits for one, since it
// can't be refused as not run. If alone is set, the engine must run nothing
// else.
func (c *call) acquire(ctx context.Context, alone bool) (sched.Grant, error) {
	for {
		grant, err := c.acquireOnce(ctx, alone)
		if err == nil {
			c.server.empty.end(c.service)
			return grant, nil
		}
		empty := fault.Is(err, fault.NoEngine)
		if empty && !c.dispatched {
			return sched.Grant{}, c.server.empty.begin(c.service, err)
		}
		if ctx.Err() != nil || !empty && !schedulerUnavailable(err) {
			return sched.Grant{}, err
		}
		sleep(ctx, jitter(cellRetryDelay))
	}
}

// acquireOnce asks each cell once. If the scheduler of any cell was not
// available, the returned error says so, since that cell may still grant the
// request. If all cells refused the request, the error is the first refusal of
// a kind other than PromptTooLong and NoEngine, then NoEngine, then PromptTooLong.
func (c *call) acquireOnce(ctx context.Context, alone bool) (sched.Grant, error) {
	s := c.server
	cells := s.digests.order(s.options.Cells.Rank(c.service, rankKey(c.cacheScope, c.prompt)))
	if len(cells) == 0 && s.options.Cells.Known() {
		return sched.Grant{}, fault.New(fault.NoEngine, "service %s has no engine", c.service)
	}
	if len(cells) == 0 {
		return sched.Grant{}, fault.New(fault.Unreachable, "the engines of service %s are not known yet", c.service)
	}
	var refusal, unavailable error
	for i, cell := range cells {
		grant, err := c.acquireWithin(ctx, cell, alone, i == len(cells)-1)
		switch {
		case err == nil:
			s.digests.record(cell, grant.Digest)
			return grant, nil
		case ctx.Err() != nil:
			return sched.Grant{}, err
		case schedulerUnavailable(err):
			unavailable = err
		case refusal == nil || fault.Is(refusal, fault.PromptTooLong) ||
			fault.Is(refusal, fault.NoEngine) && !fault.Is(err, fault.PromptTooLong):
			refusal = err
		}
	}
	if unavailable != nil {
		return sched.Grant{}, unavailable
	}
	return sched.Grant{}, refusal
}

// acquireWithin asks one cell. Each cell but the last may use at most half of
// the time left, so that a cell that does not grant leaves time to ask the
// others.
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

// acquireFrom asks one cell. If the reply is lost it repeats the request once:
// the scheduler answers a repeated request with the same grant.
func (c *call) acquireFrom(ctx context.Context, cell string, alone bool) (sched.Grant, error) {
	req := sched.Request{
		ID: c.id, Attempt: c.attempts, Cell: cell,
		Entry: c.server.options.Name, EntryIncarnation: c.server.options.Incarnation,
		Organisation: c.organisation, Weight: c.organisationConfig.Weight, Model: c.model,
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

// schedulerUnavailable reports whether an error means that no decision of a
// cell's scheduler was received, as opposed to a refusal by the scheduler.
func schedulerUnavailable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.ReplyLost, fault.NotOwner:
		return true
	}
	return false
}
