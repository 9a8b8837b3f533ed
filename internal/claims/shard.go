package claims

import (
	"context"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// item is a claim or an outcome that waits for a commit.
type item struct {
	ctx     context.Context
	acquire *AcquireParams
	finish  *FinishParams
	result  chan answer
}

type answer struct {
	AcquireResult
	err error
}

// reply answers the item. The channel holds the one answer, so that an item
// whose waiter has left does not block the shard.
func (i *item) reply(a answer) { i.result <- a }

// shard commits the claims of one shard of a service in groups. Its ledger
// belongs to the goroutine that runs it.
type shard struct {
	log     *Log
	service string
	number  int
	ledger  *ledger
	// dirty says that the ledger must be refreshed before it is used.
	dirty bool
	// lastFlush and lastUse time the group commit and the idle limit.
	lastFlush time.Time
	lastUse   time.Time
	// window is the idempotency window of the latest claim.
	window time.Duration

	wake chan struct{}

	mu      sync.Mutex
	pending []*item
}

func newShard(log *Log, service string, number int) *shard {
	return &shard{
		log: log, service: service, number: number, dirty: true,
		ledger: newLedger(timedStore{log.options.Store, log.options.CallTimeout}, service, number),
		wake:   make(chan struct{}, 1),
	}
}

// submit queues an item and waits for its answer.
func (s *shard) submit(ctx context.Context, i *item) (AcquireResult, error) {
	i.ctx, i.result = ctx, make(chan answer, 1)
	s.mu.Lock()
	s.pending = append(s.pending, i)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case a := <-i.result:
		return a.AcquireResult, a.err
	case <-ctx.Done():
		return AcquireResult{}, ctx.Err()
	}
}

func (s *shard) take() []*item {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.pending
	s.pending = nil
	return items
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
			s.flush(ctx, s.take())
			s.lastFlush = time.Now()
			s.lastUse = s.lastFlush
		}
	}
}

// flush commits items until all of them have an answer or none of them is
// waited for any more.
func (s *shard) flush(ctx context.Context, items []*item) {
	// fresh says that the ledger held the platform's state at some time after
	// the items were queued.
	fresh := false
	for {
		if items = waiting(items); len(items) == 0 {
			return
		}
		step, cancel := context.WithDeadline(ctx, lastDeadline(items))
		rest, err := s.step(step, items, &fresh)
		cancel()
		switch {
		case err == nil:
		case fault.Is(err, fault.Conflict), fault.Is(err, fault.ReplyLost):
			s.dirty = true
			s.log.count("claims_retries", 1)
			pause(ctx, time.Duration(s.log.options.Rand()*float64(conflictPause)))
		default:
			s.dirty = true
			s.fail(rest, err)
			return
		}
		items = rest
	}
}

// step refreshes the ledger if needed, answers what it can and commits one
// write for the others. It returns the items without an answer.
func (s *shard) step(ctx context.Context, items []*item, fresh *bool) ([]*item, error) {
	if s.dirty || !s.ledger.loaded {
		if err := s.ledger.refresh(ctx); err != nil {
			return items, err
		}
		s.dirty, *fresh = false, true
	}
	p := newPlan(s, *fresh)
	for _, i := range items {
		p.add(i)
	}
	if len(p.records) == 0 && !p.closing {
		// What remains could not be answered from an old copy.
		s.dirty = len(p.rest) > 0
		return p.rest, nil
	}
	if err := s.write(ctx, p.records, p.closing); err != nil {
		return append(p.rest, p.planned...), err
	}
	*fresh = true
	for _, i := range p.planned {
		i.reply(answer{AcquireResult: AcquireResult{Verdict: Run}})
	}
	return p.rest, nil
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

// fail answers items whose claims are not known to be committed. None of them
// is dispatched, so they were not run, even if a write still takes effect.
func (s *shard) fail(items []*item, err error) {
	if fault.KindOf(err) != fault.Internal {
		err = fault.Wrap(fault.PlatformDown, err, "the claim could not be committed; the request was not run")
	}
	for _, i := range items {
		i.reply(answer{err: err})
	}
}

// collect deletes the segments that no valid resend can need, and forgets the
// ledger of a shard that this node has not used for a while and does not own.
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
	if err := s.drop(ctx); err != nil {
		s.dirty = true
		s.log.options.Logger.WithError(err).WithFields(s.fields()).Info("claims_collect_failed")
	}
}

// drop commits the horizon above the expired segments before it deletes them,
// so that no node accepts a key whose claim is gone, whatever its clock says.
func (s *shard) drop(ctx context.Context) error {
	if s.dirty {
		if err := s.ledger.refresh(ctx); err != nil {
			return err
		}
		s.dirty = false
	}
	before := time.Now().Add(-s.window - s.log.options.ClockSkew).UnixMilli()
	if horizon := s.ledger.expired(before); horizon > s.ledger.horizon {
		if err := s.write(ctx, []record{{Horizon: horizon}}, false); err != nil {
			return err
		}
	}
	s.ledger.prune()
	count := len(s.ledger.doomed)
	err := s.ledger.remove(ctx)
	s.log.count("claims_segments_deleted", int64(count-len(s.ledger.doomed)))
	return err
}

func (s *shard) fields() map[string]any {
	return map[string]any{"service": s.service, "shard": s.number}
}

// waiting returns the items whose waiters have not left.
func waiting(items []*item) []*item {
	kept := items[:0]
	for _, i := range items {
		if i.ctx.Err() == nil {
			kept = append(kept, i)
		}
	}
	return kept
}

func lastDeadline(items []*item) time.Time {
	var last time.Time
	for _, i := range items {
		if deadline, ok := i.ctx.Deadline(); ok && deadline.After(last) {
			last = deadline
		}
	}
	return last
}

// timedStore bounds each call, so that one silent call does not use up the
// deadline of a whole group of claims.
type timedStore struct {
	plat.Store
	timeout time.Duration
}

// Get implements plat.Store.
func (t timedStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Get(ctx, key)
}

// Put implements plat.Store.
func (t timedStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Store.Put(ctx, key, value, base)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
