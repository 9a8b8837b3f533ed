package order

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// transitTime is the assumed maximum time that an order sent within its
	// deadline takes to reach the engine.
	transitTime = time.Second

	minPlatformPause = time.Second
	maxPlatformPause = 30 * time.Second
	// maxReacquireFactor limits the growth of the pause between acquisitions.
	maxReacquireFactor = 8
	platformCallBurst  = 8
	// maxPermitFactor limits the growth of the pause between permit requests.
	maxPermitFactor = 4
)

// Reconciler brings the engines of one cell to the desired state.
type Reconciler struct {
	opts      Options
	store     *meteredStore
	ownership *ownership
	permits   *permitSet
	targets   map[string]*target
	// unsavedStops are roll-out stops that are not in the cell record yet.
	unsavedStops map[string]rolloutStop

	platformRetryAt time.Time
	platformPause   time.Duration
	reacquireAt     time.Time
	reacquireFactor int
	outdated        bool
	ordersSent      uint64

	mu sync.Mutex
	// resumed holds the models for which Resume was called and whose requests no
	// round has processed yet.
	resumed  map[string]bool
	snapshot Snapshot
}

// New returns a reconciler that sends nothing before Run.
func New(options Options) *Reconciler {
	o := options.withDefaults()
	store := &meteredStore{store: o.Store, scope: o.Scope, limiter: rate.NewLimiter(rate.Limit(o.CallsPerSecond), platformCallBurst)}
	r := &Reconciler{
		opts: o, store: store, reacquireFactor: 1,
		ownership:    &ownership{store: store, key: cellKey(o.Cell), node: o.Node},
		targets:      map[string]*target{},
		unsavedStops: map[string]rolloutStop{},
		resumed:      map[string]bool{},
		snapshot:     Snapshot{Cell: o.Cell},
	}
	r.permits = &permitSet{
		store: store, cell: o.Cell, limit: o.LoadLimit, ttl: o.LoadTimeout + o.ReportMaxAge, nonce: r.nonce,
		held: map[modelLoad]permit{}, unneeded: map[modelLoad]bool{}, firstSeen: map[permit]time.Time{},
	}
	return r
}

func (r *Reconciler) nonce() uint64 { return 1 + uint64(r.opts.Rand()*(1<<53)) }

// Run reconciles until the context ends. It returns the context's error.
func (r *Reconciler) Run(ctx context.Context) error {
	for {
		r.round(ctx)
		r.publish()
		pause := time.Duration((0.75 + r.opts.Rand()/2) * float64(r.opts.Interval))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// Resume continues the stopped roll-out of a model. It takes effect in the next
// round in which this node owns the cell.
func (r *Reconciler) Resume(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed[model] = true
}

// round does one pass: it observes the reports, acquires or confirms the
// ownership, plans, obtains permits and sends orders.
func (r *Reconciler) round(ctx context.Context) {
	desired, ok := r.opts.Desired()
	if !ok {
		return
	}
	r.observeReports(desired)
	if !r.ownership.held && !r.acquireOwnership(ctx) {
		return
	}
	if r.checkOutdated(desired) {
		return
	}
	p := r.newPlan(desired)
	steps := p.build()
	r.markUnneededPermits(p, steps)
	resumed := r.takeResumed()
	if !r.hasWork(p, steps) && len(r.unsavedStops)+len(resumed) == 0 || time.Now().Before(r.platformRetryAt) {
		r.restoreResumed(resumed)
		return
	}
	if !r.confirmOwnership(ctx, desired, resumed) || r.checkOutdated(desired) {
		return
	}
	if !r.obtainPermits(ctx, p, steps) {
		return
	}
	r.sendOrders(ctx, p, r.permittedSteps(p, steps))
}

// checkOutdated reports whether orders of this cell were based on a configuration
// later than d. This node then sends nothing.
func (r *Reconciler) checkOutdated(d Desired) bool {
	wasOutdated := r.outdated
	r.outdated = d.Revision < r.ownership.record.Revision
	if r.outdated && !wasOutdated {
		r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "revision": d.Revision, "ordered": r.ownership.record.Revision}).Warn("order_configuration_old")
	}
	return r.outdated && !r.opts.disabled.fencing
}

// takeResumed removes the requests to resume roll-outs and returns the models whose
// roll-out is stopped in the cell record.
func (r *Reconciler) takeResumed() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := map[string]bool{}
	for model := range r.resumed {
		if _, ok := r.ownership.record.Stopped[model]; ok {
			models[model] = true
		}
		delete(r.resumed, model)
	}
	return models
}

// restoreResumed puts back the requests to resume that this round did not process.
func (r *Reconciler) restoreResumed(models map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.resumed, models)
}

// barrier returns the time from which reports show the effects of all orders of
// earlier owners. An earlier owner sends orders for at most OwnershipTTL after this
// node's acquisition, and an order takes at most transitTime to arrive.
func (r *Reconciler) barrier() time.Time {
	return r.ownership.acquiredAt.Add(r.opts.OwnershipTTL + transitTime)
}

func (r *Reconciler) newPlan(d Desired) *plan {
	now := time.Now()
	barrier := r.barrier()
	stopped := map[string]rolloutStop{}
	for _, source := range []map[string]rolloutStop{r.ownership.record.Stopped, r.unsavedStops} {
		for model, s := range source {
			if d.Models[model].Version == s.Version && !r.opts.disabled.stopOnFailure {
				stopped[model] = s
			}
		}
	}
	targets := make([]*target, 0, len(r.targets))
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		targets = append(targets, r.targets[name])
	}
	return &plan{
		cell: r.opts.Cell, models: d.Models, stopped: stopped, targets: targets,
		rolloutShare: r.opts.RolloutShare, disabled: r.opts.disabled,
		canReceive: func(t *target) bool {
			// The orders of earlier owners have reached the engine by the
			// barrier, so a report made after it shows their effects.
			reportCurrent := !t.sampledAt.Before(barrier) || r.opts.disabled.barrier
			return t.pending == nil && !now.Before(t.notBefore) && reportCurrent
		},
	}
}

// acquireOwnership acquires a fencing number once the pause after the last loss is
// over.
func (r *Reconciler) acquireOwnership(ctx context.Context) bool {
	now := time.Now()
	if now.Before(r.reacquireAt) || now.Before(r.platformRetryAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := r.ownership.acquire(ctx, r.nonce()); err != nil {
		r.handlePlatformError(err)
		return false
	}
	r.platformPause = 0
	if !r.ownership.held {
		r.loseOwnership("another node acquired the cell")
		return false
	}
	r.permits.reset()
	for _, t := range r.targets {
		t.pending = nil
	}
	r.opts.Scope.Counter("order_fence_taken").Inc(1)
	r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "fence": r.ownership.record.Fence}).Info("order_fence_taken")
	return true
}

// loseOwnership ends the ownership. The pause before the next acquisition doubles
// up to maxReacquireFactor, so that two nodes that both believe they own the cell
// take it from each other less and less often.
func (r *Reconciler) loseOwnership(reason string) {
	if r.opts.disabled.fencing {
		return
	}
	r.ownership.held = false
	pause := time.Duration(r.reacquireFactor) * r.opts.ReacquirePause
	r.reacquireAt = time.Now().Add(pause + time.Duration(r.opts.Rand()*float64(pause)))
	r.reacquireFactor = min(2*r.reacquireFactor, maxReacquireFactor)
	r.opts.Scope.Counter("order_fence_lost").Inc(1)
	r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "seen": r.ownership.highestSeen, "reason": reason}).Warn("order_fence_lost")
}

// handlePlatformError sets the pause before the next call to the platform, which
// doubles with each consecutive error, and logs the first of these errors.
func (r *Reconciler) handlePlatformError(err error) {
	if r.platformPause == 0 {
		r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "kind": fault.KindOf(err)}).Warn("order_platform_failed")
	}
	r.platformPause = min(max(2*r.platformPause, minPlatformPause), maxPlatformPause)
	r.platformRetryAt = time.Now().Add(time.Duration((0.5 + r.opts.Rand()) * float64(r.platformPause)))
}

// confirmOwnership checks that a recent read or write of the cell record shows this
// node's fencing number. It stores the configuration revision and the roll-out stops
// before any order is based on them.
func (r *Reconciler) confirmOwnership(ctx context.Context, d Desired, resumed map[string]bool) bool {
	if r.opts.disabled.fencing {
		clear(r.unsavedStops)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if time.Since(r.ownership.confirmedAt) > r.opts.OwnershipTTL/2 {
		if err := r.ownership.read(ctx); err != nil {
			r.handlePlatformError(err)
			return false
		}
	}
	if !r.ownership.held {
		r.loseOwnership("the cell record shows another acquisition")
		return false
	}
	if d.Revision < r.ownership.record.Revision {
		return false
	}
	next, changed := r.ownership.updatedRecord(d, r.unsavedStops)
	for model := range resumed {
		delete(next.Stopped, model)
		changed = true
	}
	if changed {
		if err := r.ownership.write(ctx, next); err != nil {
			r.handlePlatformError(err)
			return false
		}
	}
	r.platformPause = 0
	if !r.ownership.held {
		r.loseOwnership("the cell record shows another acquisition")
		return false
	}
	clear(r.unsavedStops)
	return true
}

// markUnneededPermits marks as unneeded the permits whose loads are neither planned
// nor possibly in flight. Permits of engines that are no longer in the cell are kept
// until they expire.
func (r *Reconciler) markUnneededPermits(p *plan, steps []step) {
	planned := map[modelLoad]bool{}
	for _, s := range steps {
		planned[p.loadOf(s)] = s.order.Kind == engine.OrderLoad
	}
	for l := range r.permits.held {
		t := r.targets[l.Engine]
		if t == nil || planned[l] || t.mayBeInFlight(l, r.opts.LoadTimeout) {
			delete(r.permits.unneeded, l)
			continue
		}
		r.permits.markUnneeded(l)
	}
}

// loadsWithoutPermit returns the planned loads without a permit.
func (r *Reconciler) loadsWithoutPermit(p *plan, steps []step) []modelLoad {
	var loads []modelLoad
	for _, s := range steps {
		if s.order.Kind == engine.OrderLoad && !r.permits.holds(p.loadOf(s)) {
			loads = append(loads, p.loadOf(s))
		}
	}
	return loads
}

// hasWork reports whether this round has orders to send or permits to request or
// give back. Otherwise it needs no call to the platform.
func (r *Reconciler) hasWork(p *plan, steps []step) bool {
	missing := len(r.loadsWithoutPermit(p, steps))
	if len(steps) > missing || r.opts.disabled.permits && missing > 0 {
		return true
	}
	return missing+len(r.permits.unneeded) > 0 && !time.Now().Before(r.permits.nextAttempt)
}

// obtainPermits requests the missing permits for the planned loads and gives back
// unneeded ones. It returns false after a platform error.
func (r *Reconciler) obtainPermits(ctx context.Context, p *plan, steps []step) bool {
	if r.opts.disabled.permits {
		return true
	}
	wanted := r.loadsWithoutPermit(p, steps)
	if len(wanted)+len(r.permits.unneeded) == 0 || time.Now().Before(r.permits.nextAttempt) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	before := maps.Clone(r.permits.held)
	err := r.permits.acquire(ctx, r.ownership.record.Fence, wanted, r.loadEnded)
	factor := min(math.Pow(2, float64(r.permits.shortfalls)), maxPermitFactor)
	r.permits.nextAttempt = time.Now().Add(time.Duration((0.5 + r.opts.Rand()) * factor * float64(r.opts.PermitPause)))
	for l, held := range r.permits.held {
		_, known := before[l]
		if t := r.targets[l.Engine]; t != nil && held.FirstFence < held.Fence && !known {
			// An earlier owner may have ordered the load of an adopted permit.
			t.markInFlight(l, held.FirstFence)
		}
	}
	if err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.ReplyLost) {
		r.handlePlatformError(err)
		return false
	}
	return true
}

// loadEnded reports whether the load of an earlier owner's permit has ended. This is
// so when a fresh report made after the barrier shows the loaded version, or shows that
// the engine has none of the orders for the load.
func (r *Reconciler) loadEnded(p permit) bool {
	t := r.targets[p.Engine]
	if t == nil || !t.fresh || t.sampledAt.Before(r.barrier()) {
		return false
	}
	_, loaded := t.find(p.Model, p.Version)
	return loaded || t.lacksOrders(p.FirstFence)
}

// permittedSteps returns the steps that may be sent now, at most BatchSize.
func (r *Reconciler) permittedSteps(p *plan, steps []step) []step {
	permitted := make([]step, 0, r.opts.BatchSize)
	for _, s := range steps {
		if s.order.Kind == engine.OrderLoad && !r.opts.disabled.permits && !r.permits.holds(p.loadOf(s)) {
			continue
		}
		if len(permitted) < r.opts.BatchSize {
			permitted = append(permitted, s)
		}
	}
	return permitted
}

// sendOrders sends the orders concurrently. No order is sent later than
// OwnershipTTL after the ownership was last confirmed, even if this node was paused
// in between.
func (r *Reconciler) sendOrders(ctx context.Context, p *plan, steps []step) {
	deadline := r.ownership.confirmedAt.Add(r.opts.OwnershipTTL)
	if r.opts.disabled.fencing {
		deadline = time.Now().Add(r.opts.OwnershipTTL)
	}
	if len(steps) == 0 || time.Until(deadline) < r.opts.OwnershipTTL/4 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	results := make([]error, len(steps))
	calls := group.New(ctx)
	for i, s := range steps {
		order := s.order
		order.Fence = r.ownership.record.Fence
		steps[i].order = order
		calls.Go("order", func(ctx context.Context) error {
			if err := ctx.Err(); err != nil {
				results[i] = fault.Wrap(fault.Unreachable, err, "order not sent in time")
				return nil
			}
			results[i] = guard.Do(ctx, r.opts.Logger, "order", func(ctx context.Context) error {
				return r.opts.Sender.Order(ctx, s.target.Address, order)
			})
			return nil
		})
	}
	if err := calls.Wait(); err != nil {
		r.opts.Logger.WithError(err).Error("order_send_failed")
	}
	for i, s := range steps {
		r.handleAnswer(p, s, results[i])
	}
}
