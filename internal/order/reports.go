package order

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// observeReports updates the targets from the latest load reports and ends the
// pending orders whose outcome the reports show.
func (r *Reconciler) observeReports(d Desired) {
	now := time.Now()
	present := map[string]bool{}
	for _, e := range r.opts.Engines() {
		present[e.Name] = true
		t := r.targets[e.Name]
		if t == nil {
			t = &target{restartsDuringLoad: map[modelLoad]int{}, inFlight: map[modelLoad]inFlightLoad{}}
			r.targets[e.Name] = t
		}
		t.Engine = e
		report, requestedAt, ok := r.opts.Report(e.Name)
		if ok {
			sampledAt := requestedAt.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
			if sampledAt.After(t.sampledAt) {
				t.report, t.sampledAt = report, sampledAt
				t.reportsFence = t.reportsFence || report.Fence > 0 || d.Fencing == confd.FencingChecked
			}
		}
		t.fresh = ok && now.Sub(t.sampledAt) <= r.opts.ReportMaxAge
		if t.fresh && !r.opts.disabled.fencing && r.ownership.observeFence(t.report.Fence) {
			r.loseOwnership("an engine reports a higher fencing number")
		}
		r.updatePending(t, d)
	}
	for name := range r.targets {
		if !present[name] {
			delete(r.targets, name)
		}
	}
}

// updatePending ends the pending order of an engine when a report made after
// the answer shows that the order took effect or was lost, or when the order had
// no effect within its timeout.
func (r *Reconciler) updatePending(t *target, d Desired) {
	pending := t.pending
	if pending == nil {
		return
	}
	l := modelLoad{Cell: r.opts.Cell, Engine: t.Name, Model: pending.order.Model, Version: pending.order.Version}
	switch r.pendingStatus(t, pending) {
	case statusEffective:
		t.pending, t.retryPause = nil, 0
		delete(t.restartsDuringLoad, l)
		r.reacquireFactor = 1
	case statusLost:
		t.pending = nil
		r.handleLostOrder(t, pending, l, d)
	case statusRetryable:
		t.pending = nil
		r.scheduleRetry(t)
	case statusTimedOut:
		t.pending = nil
		if t.fresh && pending.accepted && pending.order.Kind == engine.OrderLoad {
			r.recordFailure(t, pending.order, d, "the load had no effect in time")
		}
		r.scheduleRetry(t)
	}
	if r.opts.disabled.retryPause {
		t.pending, t.notBefore = nil, time.Time{}
	}
}

// pendingStatus is the state of a pending order as far as the reports show it.
type pendingStatus int

const (
	statusOpen pendingStatus = iota
	// statusEffective: a report shows the effect.
	statusEffective
	// statusLost: the engine restarted after the order or never received it.
	statusLost
	// statusRetryable: the outcome is unknown and the order may be sent again.
	statusRetryable
	// statusTimedOut: the order had no effect within its timeout.
	statusTimedOut
)

func (r *Reconciler) pendingStatus(t *target, pending *pendingOrder) pendingStatus {
	age := time.Since(pending.answeredAt)
	limit := r.opts.EffectTimeout
	if pending.order.Kind == engine.OrderLoad {
		limit = r.opts.LoadTimeout
	}
	if t.fresh && t.sampledAt.After(pending.answeredAt) {
		switch {
		case t.showsEffect(pending.order):
			return statusEffective
		case t.lacksOrders(pending.order.Fence):
			return statusLost
		case !pending.accepted && age > r.opts.RetryPause:
			return statusRetryable
		}
	}
	if age > limit {
		return statusTimedOut
	}
	return statusOpen
}

// handleLostOrder handles an order that the engine has lost. A later plan repeats the
// order if it is still needed. Engine restarts during a load are counted: the second
// and later ones delay the next attempt, and after MaxAttempts the load counts as
// failed.
func (r *Reconciler) handleLostOrder(t *target, pending *pendingOrder, l modelLoad, d Desired) {
	if !pending.accepted {
		r.scheduleRetry(t)
		return
	}
	if pending.order.Kind != engine.OrderLoad {
		return
	}
	t.restartsDuringLoad[l]++
	if t.restartsDuringLoad[l] > 1 {
		r.scheduleRetry(t)
	}
	if t.restartsDuringLoad[l] >= r.opts.MaxAttempts {
		delete(t.restartsDuringLoad, l)
		r.recordFailure(t, pending.order, d, "the engine died in each attempt")
	}
}

func (r *Reconciler) scheduleRetry(t *target) {
	t.scheduleRetry(time.Now(), r.opts.RetryPause, r.opts.MaxRetryPause, r.opts.Rand())
}

// handleAnswer records the answer to an order.
func (r *Reconciler) handleAnswer(p *plan, s step, err error) {
	t, l, result := s.target, p.loadOf(s), answerOf(err)
	r.ordersSent++
	r.opts.Scope.Tagged(map[string]string{"kind": string(s.order.Kind), "result": resultName(err)}).Counter("order_sent").Inc(1)
	r.opts.Logger.WithFields(logrus.Fields{
		"cell": r.opts.Cell, "engine": t.Name, "kind": s.order.Kind, "model": s.order.Model,
		"version": s.order.Version, "fence": s.order.Fence, "result": resultName(err),
	}).Info("order_sent")
	switch result {
	case answerAccepted:
		t.pending = &pendingOrder{order: s.order, answeredAt: time.Now(), accepted: true}
	case answerUnknown:
		t.pending = &pendingOrder{order: s.order, answeredAt: time.Now()}
	case answerStale:
		if r.ownership.held && !r.opts.disabled.fencing {
			r.ownership.markRefused()
			r.loseOwnership("an engine refused the fencing number as stale")
		}
	case answerRefused:
		if s.order.Kind == engine.OrderLoad || s.order.Kind == engine.OrderAdapter && !fault.Is(err, fault.NotFound) {
			r.recordFailure(t, s.order, Desired{Models: p.models}, "the engine refused the order: "+resultName(err))
		}
		r.scheduleRetry(t)
	default:
		r.scheduleRetry(t)
	}
	if s.order.Kind == engine.OrderLoad && (result == answerAccepted || result == answerUnknown) {
		t.markInFlight(l, s.order.Fence)
	}
}

func resultName(err error) string {
	if err == nil {
		return "accepted"
	}
	return fault.KindOf(err).String()
}

// recordFailure stops the roll-out of a model if engines of the cell still have
// another version. If no engine has one, a stop would protect nothing, and the order
// is repeated with increasing pauses.
func (r *Reconciler) recordFailure(t *target, o engine.Order, d Desired, reason string) {
	log := r.opts.Logger.WithFields(logrus.Fields{
		"cell": r.opts.Cell, "engine": t.Name, "model": o.Model, "version": o.Version, "reason": reason,
	})
	p := r.newPlan(d)
	counts := p.countVersions(o.Model, o.Version)
	if d.Models[o.Model].Version != o.Version || len(counts.others) == 0 {
		log.Warn("order_failed")
		return
	}
	r.unsavedStops[o.Model] = rolloutStop{Version: o.Version, Previous: counts.previous(), Engine: t.Name, Reason: reason}
	r.opts.Scope.Counter("order_rollout_stopped").Inc(1)
	log.Error("order_rollout_stopped")
}
