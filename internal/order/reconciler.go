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
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// transitTime is the longest time for which an order that was sent within
	// its deadline is on its way.
	transitTime = time.Second

	firstPlatformPause   = time.Second
	longestPlatformPause = 30 * time.Second
	// longestRetakeFactor bounds the doubling of the pause between takings.
	longestRetakeFactor = 8
	callBurst           = 8
	longestPermitFactor = 4
)

// Reconciler brings the engines of one cell to the desired state. New makes it,
// Run runs it.
type Reconciler struct {
	opts    Options
	store   *meteredStore
	fence   *fence
	permits *permits
	targets map[string]*target
	// failures are stops that the platform does not hold yet.
	failures map[string]stop

	platformNext  time.Time
	platformPause time.Duration
	retakeAt      time.Time
	retakeFactor  int
	outdated      bool
	sent          uint64

	mu       sync.Mutex
	resumed  map[string]bool
	snapshot Snapshot
}

// New returns a reconciler that sends nothing before Run.
func New(options Options) *Reconciler {
	o := options.withDefaults()
	store := &meteredStore{store: o.Store, scope: o.Scope, limit: rate.NewLimiter(rate.Limit(o.CallsPerSecond), callBurst)}
	r := &Reconciler{
		opts: o, store: store, retakeFactor: 1,
		fence:    &fence{store: store, key: cellKey(o.Cell), node: o.Node},
		targets:  map[string]*target{},
		failures: map[string]stop{},
		resumed:  map[string]bool{},
		snapshot: Snapshot{Cell: o.Cell},
	}
	r.permits = &permits{
		store: store, cell: o.Cell, limit: o.LoadLimit, ttl: o.LoadTimeout + o.FreshAge, nonce: r.nonce,
		held: map[load]holder{}, release: map[load]bool{}, since: map[holder]time.Time{},
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

// Resume lets the stopped roll-out of a model go on with the next round of the
// owner of the cell.
func (r *Reconciler) Resume(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed[model] = true
}

// round does one pass: observe the reports, keep the fencing number, plan, obtain
// permits, send.
func (r *Reconciler) round(ctx context.Context) {
	desired, ok := r.opts.Desired()
	if !ok {
		return
	}
	r.observe(desired)
	if !r.fence.held && !r.take(ctx) {
		return
	}
	if r.old(desired) {
		return
	}
	p := r.newPlan(desired)
	steps := p.build()
	r.releaseUnused(p, steps)
	resumed := r.takeResumed()
	if !r.due(p, steps) && len(r.failures)+len(resumed) == 0 || time.Now().Before(r.platformNext) {
		r.keepResumed(resumed)
		return
	}
	if !r.confirm(ctx, desired, resumed) || r.old(desired) {
		return
	}
	if !r.permit(ctx, p, steps) {
		return
	}
	r.send(ctx, p, r.permitted(p, steps))
}

// old reports whether orders of this cell were based on a later configuration.
func (r *Reconciler) old(d Desired) bool {
	was := r.outdated
	r.outdated = d.Revision < r.fence.record.Revision
	if r.outdated && !was {
		r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "revision": d.Revision, "ordered": r.fence.record.Revision}).Warn("order_configuration_old")
	}
	return r.outdated && !r.opts.without.fence
}

func (r *Reconciler) takeResumed() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for model := range r.resumed {
		if _, ok := r.fence.record.Stopped[model]; ok {
			out[model] = true
		}
		delete(r.resumed, model)
	}
	return out
}

func (r *Reconciler) keepResumed(models map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.resumed, models)
}

// barrier is the time from which reports show all that earlier owners did.
func (r *Reconciler) barrier() time.Time {
	return r.fence.takenAt.Add(r.opts.ReadingAge + transitTime)
}

func (r *Reconciler) newPlan(d Desired) *plan {
	now := time.Now()
	barrier := r.barrier()
	stopped := map[string]stop{}
	for _, source := range []map[string]stop{r.fence.record.Stopped, r.failures} {
		for model, s := range source {
			if d.Models[model].Version == s.Version && !r.opts.without.stop {
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
		share: r.opts.Share, off: r.opts.without,
		usable: func(t *target) bool {
			// Orders of an earlier owner end by the barrier, so a later report
			// shows what they did.
			settled := !t.sampled.Before(barrier) || r.opts.without.barrier
			return t.pending == nil && !now.Before(t.notBefore) && settled
		},
	}
}

// take takes a fencing number when the pause after the last loss is over.
func (r *Reconciler) take(ctx context.Context) bool {
	now := time.Now()
	if now.Before(r.retakeAt) || now.Before(r.platformNext) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.fence.take(ctx, r.nonce()); err != nil {
		r.platformFailed(err)
		return false
	}
	r.platformPause = 0
	if !r.fence.held {
		r.lost("taken by another node")
		return false
	}
	r.permits.reset()
	for _, t := range r.targets {
		t.pending = nil
	}
	r.opts.Scope.Counter("order_fence_taken").Inc(1)
	r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "fence": r.fence.record.Fence}).Info("order_fence_taken")
	return true
}

// lost ends the ownership. The pause until the next taking doubles, so that two
// nodes that both believe to own the cell take it from each other ever more rarely.
func (r *Reconciler) lost(reason string) {
	if r.opts.without.fence {
		return
	}
	r.fence.held = false
	pause := time.Duration(r.retakeFactor) * r.opts.RetakePause
	r.retakeAt = time.Now().Add(pause + time.Duration(r.opts.Rand()*float64(pause)))
	r.retakeFactor = min(2*r.retakeFactor, longestRetakeFactor)
	r.opts.Scope.Counter("order_fence_lost").Inc(1)
	r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "seen": r.fence.seen, "reason": reason}).Warn("order_fence_lost")
}

func (r *Reconciler) platformFailed(err error) {
	if r.platformPause == 0 {
		r.opts.Logger.WithFields(logrus.Fields{"cell": r.opts.Cell, "kind": fault.KindOf(err)}).Warn("order_platform_failed")
	}
	r.platformPause = min(max(2*r.platformPause, firstPlatformPause), longestPlatformPause)
	r.platformNext = time.Now().Add(time.Duration((0.5 + r.opts.Rand()) * float64(r.platformPause)))
}

// confirm makes sure that a recent reading shows this node's number, and records
// the configuration and the stops before any order is based on them.
func (r *Reconciler) confirm(ctx context.Context, d Desired, resumed map[string]bool) bool {
	if r.opts.without.fence {
		clear(r.failures)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if time.Since(r.fence.readAt) > r.opts.ReadingAge/2 {
		if err := r.fence.read(ctx); err != nil {
			r.platformFailed(err)
			return false
		}
	}
	if !r.fence.held {
		r.lost("the record shows another taking")
		return false
	}
	if d.Revision < r.fence.record.Revision {
		return false
	}
	next, changed := r.fence.update(d, r.failures)
	for model := range resumed {
		delete(next.Stopped, model)
		changed = true
	}
	if changed {
		if err := r.fence.write(ctx, next); err != nil {
			r.platformFailed(err)
			return false
		}
	}
	r.platformPause = 0
	if !r.fence.held {
		r.lost("the record shows another taking")
		return false
	}
	clear(r.failures)
	return true
}

// releaseUnused marks the permits whose loads are neither planned nor possibly in
// flight.
func (r *Reconciler) releaseUnused(p *plan, steps []step) {
	planned := map[load]bool{}
	for _, s := range steps {
		planned[p.loadOf(s)] = s.order.Kind == engine.OrderLoad
	}
	for l := range r.permits.held {
		t := r.targets[l.Engine]
		if t == nil || planned[l] || t.flying(l, r.opts.LoadTimeout) {
			delete(r.permits.release, l)
			continue
		}
		r.permits.done(l)
	}
}

// missing returns the planned loads without a permit.
func (r *Reconciler) missing(p *plan, steps []step) []load {
	var out []load
	for _, s := range steps {
		if s.order.Kind == engine.OrderLoad && !r.permits.holds(p.loadOf(s)) {
			out = append(out, p.loadOf(s))
		}
	}
	return out
}

// due reports whether this round sends orders or asks for permits. Otherwise it
// needs no call to the platform.
func (r *Reconciler) due(p *plan, steps []step) bool {
	missing := len(r.missing(p, steps))
	if len(steps) > missing || r.opts.without.permits && missing > 0 {
		return true
	}
	return missing+len(r.permits.release) > 0 && !time.Now().Before(r.permits.next)
}

// permit obtains the missing permits for the planned loads.
func (r *Reconciler) permit(ctx context.Context, p *plan, steps []step) bool {
	if r.opts.without.permits {
		return true
	}
	want := r.missing(p, steps)
	if len(want)+len(r.permits.release) == 0 || time.Now().Before(r.permits.next) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	had := maps.Clone(r.permits.held)
	err := r.permits.acquire(ctx, r.fence.record.Fence, want, r.gone)
	factor := min(math.Pow(2, float64(r.permits.full)), longestPermitFactor)
	r.permits.next = time.Now().Add(time.Duration((0.5 + r.opts.Rand()) * factor * float64(r.opts.PermitPause)))
	for l, h := range r.permits.held {
		_, known := had[l]
		if t := r.targets[l.Engine]; t != nil && h.First < h.Fence && !known {
			// An earlier owner may have ordered the load of an adopted permit.
			t.depart(l, h.First)
		}
	}
	if err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.ReplyLost) {
		r.platformFailed(err)
		return false
	}
	return true
}

// gone reports whether the load of an earlier owner's permit has ended.
func (r *Reconciler) gone(h holder) bool {
	t := r.targets[h.Engine]
	if t == nil || !t.fresh || t.sampled.Before(r.barrier()) {
		return false
	}
	_, loaded := t.find(h.Model, h.Version)
	return loaded || t.restarted(h.First)
}

// permitted returns the steps that may be sent now, at most a batch.
func (r *Reconciler) permitted(p *plan, steps []step) []step {
	out := make([]step, 0, r.opts.BatchSize)
	for _, s := range steps {
		if s.order.Kind == engine.OrderLoad && !r.opts.without.permits && !r.permits.holds(p.loadOf(s)) {
			continue
		}
		if len(out) < r.opts.BatchSize {
			out = append(out, s)
		}
	}
	return out
}

// send sends the steps at once. No order is sent after the reading of the number
// has reached ReadingAge, even if the node was paused in between.
func (r *Reconciler) send(ctx context.Context, p *plan, steps []step) {
	deadline := r.fence.readAt.Add(r.opts.ReadingAge)
	if r.opts.without.fence {
		deadline = time.Now().Add(r.opts.ReadingAge)
	}
	if len(steps) == 0 || time.Until(deadline) < r.opts.ReadingAge/4 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	results := make([]error, len(steps))
	g := group.New(ctx)
	for i, s := range steps {
		order := s.order
		order.Fence = r.fence.record.Fence
		steps[i].order = order
		g.Go("order", func(ctx context.Context) error {
			if err := ctx.Err(); err != nil {
				results[i] = fault.Wrap(fault.Unreachable, err, "order not sent in time")
				return nil
			}
			results[i] = r.opts.Sender.Order(ctx, s.target.Address, order)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		r.opts.Logger.WithError(err).Error("order_send_failed")
	}
	for i, s := range steps {
		r.answered(p, s, results[i])
	}
}
