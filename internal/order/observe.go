package order

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// observe takes over the reports of the engines and ends the attempts that they
// show to be over.
func (r *Reconciler) observe(d Desired) {
	now := time.Now()
	present := map[string]bool{}
	for _, e := range r.opts.Engines() {
		present[e.Name] = true
		t := r.targets[e.Name]
		if t == nil {
			t = &target{died: map[load]int{}, flights: map[load]flight{}}
			r.targets[e.Name] = t
		}
		t.Engine = e
		report, asked, ok := r.opts.Report(e.Name)
		if ok {
			sampled := asked.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
			if sampled.After(t.sampled) {
				t.report, t.sampled = report, sampled
				t.fenced = t.fenced || report.Fence > 0 || d.Fencing == confd.FencingChecked
			}
		}
		t.fresh = ok && now.Sub(t.sampled) <= r.opts.FreshAge
		if t.fresh && !r.opts.without.fence && r.fence.observe(t.report.Fence) {
			r.lost("an engine reports a higher number")
		}
		r.settle(t, d)
	}
	for name := range r.targets {
		if !present[name] {
			delete(r.targets, name)
		}
	}
}

// settle ends the pending attempt of an engine when a report made after it shows
// the effect or the loss of the order, or when the time for the effect is over.
func (r *Reconciler) settle(t *target, d Desired) {
	a := t.pending
	if a == nil {
		return
	}
	l := load{Cell: r.opts.Cell, Engine: t.Name, Model: a.order.Model, Version: a.order.Version}
	switch r.verdict(t, a) {
	case effective:
		t.pending, t.pause = nil, 0
		delete(t.died, l)
		r.retakeFactor = 1
	case forgotten:
		t.pending = nil
		r.forgot(t, a, l, d)
	case repeatable:
		t.pending = nil
		r.delay(t)
	case overdue:
		t.pending = nil
		if t.fresh && a.accepted && a.order.Kind == engine.OrderLoad {
			r.failed(t, a.order, d, "the load had no effect in time")
		}
		r.delay(t)
	}
	if r.opts.without.pause {
		t.pending, t.notBefore = nil, time.Time{}
	}
}

// verdict is what is known of an attempt.
type verdict int

const (
	open verdict = iota
	// effective says that a report shows the effect.
	effective
	// forgotten says that the engine restarted after the attempt or never
	// received the order.
	forgotten
	// repeatable says that an order without an answer may be sent again.
	repeatable
	// overdue says that the time for the effect is over.
	overdue
)

func (r *Reconciler) verdict(t *target, a *attempt) verdict {
	age := time.Since(a.doneAt)
	limit := r.opts.EffectTimeout
	if a.order.Kind == engine.OrderLoad {
		limit = r.opts.LoadTimeout
	}
	if t.fresh && t.sampled.After(a.doneAt) {
		switch {
		case t.shows(a.order):
			return effective
		case t.restarted(a.order.Fence):
			return forgotten
		case !a.accepted && age > r.opts.RetryPause:
			return repeatable
		}
	}
	if age > limit {
		return overdue
	}
	return open
}

// forgot counts the deaths of an engine during a load.
func (r *Reconciler) forgot(t *target, a *attempt, l load, d Desired) {
	if !a.accepted {
		r.delay(t)
		return
	}
	if a.order.Kind != engine.OrderLoad {
		return
	}
	t.died[l]++
	if t.died[l] > 1 {
		r.delay(t)
	}
	if t.died[l] >= r.opts.MaxAttempts {
		delete(t.died, l)
		r.failed(t, a.order, d, "the engine died in each attempt")
	}
}

func (r *Reconciler) delay(t *target) {
	t.delay(time.Now(), r.opts.RetryPause, r.opts.MaxPause, r.opts.Rand())
}

// answered takes over the answer to an order.
func (r *Reconciler) answered(p *plan, s step, err error) {
	t, l, result := s.target, p.loadOf(s), outcomeOf(err)
	r.sent++
	r.opts.Scope.Tagged(map[string]string{"kind": string(s.order.Kind), "result": resultName(err)}).Counter("order_sent").Inc(1)
	r.opts.Logger.WithFields(logrus.Fields{
		"cell": r.opts.Cell, "engine": t.Name, "kind": s.order.Kind, "model": s.order.Model,
		"version": s.order.Version, "fence": s.order.Fence, "result": resultName(err),
	}).Info("order_sent")
	switch result {
	case accepted:
		t.pending = &attempt{order: s.order, doneAt: time.Now(), accepted: true}
	case unknown:
		t.pending = &attempt{order: s.order, doneAt: time.Now()}
	case staleOwner:
		if r.fence.held && !r.opts.without.fence {
			r.fence.refused()
			r.lost("an engine refused the number")
		}
	case refused:
		if s.order.Kind == engine.OrderLoad || s.order.Kind == engine.OrderAdapter && !fault.Is(err, fault.NotFound) {
			r.failed(t, s.order, Desired{Models: p.models}, "the engine refused the order: "+resultName(err))
		}
		r.delay(t)
	default:
		r.delay(t)
	}
	if s.order.Kind == engine.OrderLoad && (result == accepted || result == unknown) {
		t.depart(l, s.order.Fence)
	}
}

func resultName(err error) string {
	if err == nil {
		return "accepted"
	}
	return fault.KindOf(err).String()
}

// failed stops the roll-out of a model when engines of the cell still have
// another version. Without one there is nothing to protect, and the order is
// repeated with pauses.
func (r *Reconciler) failed(t *target, o engine.Order, d Desired, reason string) {
	log := r.opts.Logger.WithFields(logrus.Fields{
		"cell": r.opts.Cell, "engine": t.Name, "model": o.Model, "version": o.Version, "reason": reason,
	})
	p := r.newPlan(d)
	others := p.census(o.Model, o.Version)
	if d.Models[o.Model].Version != o.Version || len(others.others) == 0 {
		log.Warn("order_failed")
		return
	}
	r.failures[o.Model] = stop{Version: o.Version, Previous: others.previous(), Engine: t.Name, Reason: reason}
	r.opts.Scope.Counter("order_rollout_stopped").Inc(1)
	log.Error("order_rollout_stopped")
}
