package claims

import (
	"context"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// operation is a claim or an outcome that is queued to be committed. Either
// acquire or finish is set.
type operation struct {
	ctx     context.Context
	acquire *AcquireParams
	finish  *FinishParams
	result  chan answer
}

type answer struct {
	AcquireResult
	err error
}

// reply answers the operation. The channel is buffered for this single answer,
// so that the shard does not block when nobody waits for it any more.
func (op *operation) reply(a answer) { op.result <- a }

// shard commits the operations of one shard of a service, several with each write
// (group commit). Only the goroutine of run uses the ledger.
type shard struct {
	log     *Log
	service string
	number  int
	ledger  *ledger
	// stale reports whether the ledger must be refreshed before it is used.
	stale bool
	// lastFlush limits the rate of group commits. lastUse tells when an idle
	// shard may discard its ledger.
	lastFlush time.Time
	lastUse   time.Time
	// window is the idempotency window of the latest claim. It determines which
	// segments have expired.
	window time.Duration

	wake chan struct{}

	mu      sync.Mutex
	pending []*operation
}

func newShard(log *Log, service string, number int) *shard {
	return &shard{
		log: log, service: service, number: number, stale: true,
		ledger: newLedger(timeoutStore{log.options.Store, log.options.CallTimeout}, service, number),
		wake:   make(chan struct{}, 1),
	}
}

// submit queues an operation and waits for its answer.
func (s *shard) submit(ctx context.Context, op *operation) (AcquireResult, error) {
	op.ctx, op.result = ctx, make(chan answer, 1)
	s.mu.Lock()
	s.pending = append(s.pending, op)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case a := <-op.result:
		return a.AcquireResult, a.err
	case <-ctx.Done():
		return AcquireResult{}, ctx.Err()
	}
}

// takePending empties the queue and returns its operations.
func (s *shard) takePending() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops := s.pending
	s.pending = nil
	return ops
}

func (s *shard) run(ctx context.Context) error {
	ticker := time.NewTicker(s.log.options.CollectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.collect(ctx)
		case <-s.wake:
			if wait := time.Until(s.lastFlush.Add(s.log.options.FlushInterval)); wait > 0 {
				pause(ctx, wait)
			}
			s.safeFlush(ctx, s.takePending())
			s.lastFlush = time.Now()
			s.lastUse = s.lastFlush
		}
	}
}

// safeFlush is flush, but answers the operations with an error if it fails
// unexpectedly.
func (s *shard) safeFlush(ctx context.Context, ops []*operation) {
	err := guard.Do(ctx, s.log.options.Logger, "claims", func(ctx context.Context) error {
		s.flush(ctx, ops)
		return nil
	})
	if err != nil {
		s.stale = true
		s.fail(active(ops), fault.New(fault.PlatformDown, "the claim could not be committed"))
	}
}

// flush runs steps until every operation has an answer or an ended context.
func (s *shard) flush(ctx context.Context, ops []*operation) {
	// confirmed reports whether the ledger has matched the platform's state at some
	// time since the operations were queued.
	confirmed := false
	for {
		if ops = active(ops); len(ops) == 0 {
			return
		}
		stepCtx, cancel := context.WithDeadline(ctx, lastDeadline(ops))
		remaining, err := s.step(stepCtx, ops, &confirmed)
		cancel()
		switch {
		case err == nil:
		case fault.Is(err, fault.Conflict), fault.Is(err, fault.ReplyLost):
			s.stale = true
			s.log.count("claims_retries", 1)
			pause(ctx, time.Duration(s.log.options.Rand()*float64(conflictBackoff)))
		default:
			s.stale = true
			s.fail(remaining, err)
			return
		}
		ops = remaining
	}
}

// step refreshes the ledger if needed, answers the operations that need no
// write, and commits as many others as fit into one write. It returns the
// operations that have no answer yet.
func (s *shard) step(ctx context.Context, ops []*operation, confirmed *bool) ([]*operation, error) {
	if s.stale || !s.ledger.loaded {
		if err := s.ledger.refresh(ctx); err != nil {
			return ops, err
		}
		s.stale, *confirmed = false, true
	}
	p := newPlan(s, *confirmed)
	for _, op := range ops {
		p.add(op)
	}
	if len(p.records) == 0 && !p.closing {
		// The remaining operations can only be answered after a refresh.
		s.stale = len(p.remaining) > 0
		return p.remaining, nil
	}
	if err := s.write(ctx, p.records, p.closing); err != nil {
		return append(p.remaining, p.planned...), err
	}
	*confirmed = true
	for _, op := range p.planned {
		op.reply(answer{AcquireResult: AcquireResult{Verdict: Run}})
	}
	return p.remaining, nil
}

func (s *shard) write(ctx context.Context, records []record, closing bool) error {
	if err := s.log.writes.Wait(ctx); err != nil {
		return fault.Wrap(fault.PlatformDown, err, "the budget of platform writes has no room before the deadline")
	}
	if err := s.ledger.append(ctx, records, closing); err != nil {
		return err
	}
	s.log.count("claims_writes", 1)
	s.log.count("claims_records", int64(len(records)))
	s.log.count("claims_bytes", int64(len(s.ledger.content)))
	return nil
}

// fail answers with an error the operations that are not known to be committed.
// The calls of their claims are never dispatched, so the error may state that
// they were not run, even if a write takes effect later.
func (s *shard) fail(ops []*operation, err error) {
	if fault.KindOf(err) != fault.Internal {
		err = fault.Wrap(fault.PlatformDown, err, "the claim could not be committed; the request was not run")
	}
	for _, op := range ops {
		op.reply(answer{err: err})
	}
}

// collect deletes the segments that no valid resend can refer to any more, if this
// node owns the shard. On another node, it discards the ledger once the shard has been
// unused for longer than the CollectInterval.
func (s *shard) collect(ctx context.Context) {
	owner, ok := s.log.options.Owner(s.service, s.number)
	if !ok || owner.Name != s.log.options.Node {
		if time.Since(s.lastUse) > s.log.options.CollectInterval {
			s.ledger.reset()
		}
		return
	}
	if !s.ledger.loaded || s.window <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.log.options.CollectInterval)
	defer cancel()
	if err := s.deleteExpired(ctx); err != nil {
		s.stale = true
		s.log.options.Logger.WithError(err).WithFields(s.logFields()).Info("garbage collection of claims failed")
	}
}

// deleteExpired commits a horizon that covers the expired segments before it
// deletes them, so that no node accepts a key whose claim was deleted, however
// wrong its clock is.
func (s *shard) deleteExpired(ctx context.Context) error {
	if s.stale {
		if err := s.ledger.refresh(ctx); err != nil {
			return err
		}
		s.stale = false
	}
	before := time.Now().Add(-s.window - s.log.options.ClockSkew).UnixMilli()
	if horizon := s.ledger.expiredUpTo(before); horizon > s.ledger.horizon {
		if err := s.write(ctx, []record{{Horizon: horizon}}, false); err != nil {
			return err
		}
	}
	s.ledger.prune()
	count := len(s.ledger.obsolete)
	err := s.ledger.deleteObsolete(ctx)
	s.log.count("claims_segments_deleted", int64(count-len(s.ledger.obsolete)))
	return err
}

func (s *shard) logFields() map[string]any {
	return map[string]any{"service": s.service, "shard": s.number}
}

// active returns the operations whose contexts have not ended.
func active(ops []*operation) []*operation {
	kept := ops[:0]
	for _, op := range ops {
		if op.ctx.Err() == nil {
			kept = append(kept, op)
		}
	}
	return kept
}

// lastDeadline returns the latest deadline of the operations.
func lastDeadline(ops []*operation) time.Time {
	var last time.Time
	for _, op := range ops {
		if deadline, ok := op.ctx.Deadline(); ok && deadline.After(last) {
			last = deadline
		}
	}
	return last
}

// timeoutStore gives each call a timeout, so that one call without a reply does
// not use up the deadline of a whole group of operations.
type timeoutStore struct {
	plat.Store
	timeout time.Duration
}

// Get implements plat.Store.
func (t timeoutStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Get(ctx, key)
}

// Put implements plat.Store.
func (t timeoutStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Put(ctx, key, value, base)
}

// pause sleeps until the duration has passed or the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
