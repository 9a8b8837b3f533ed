package order

import (
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// attempt is an order whose effect no report shows yet.
type attempt struct {
	order engine.Order
	// doneAt is when the answer arrived or was given up.
	doneAt   time.Time
	accepted bool
}

// flight is a load that may be in flight.
type flight struct {
	// since is the time of the last order, first the lowest number of an owner
	// that may have ordered it.
	since time.Time
	first uint64
}

// target is an engine of the cell as this node knows it.
type target struct {
	Engine
	report engine.LoadReport
	// sampled is the earliest time at which the report can have been made.
	sampled time.Time
	fresh   bool
	// fenced says that the engine reports the fencing numbers it accepts.
	fenced  bool
	pending *attempt
	// notBefore and pause delay the next order after a failed one.
	notBefore time.Time
	pause     time.Duration
	// died counts the loads that ended with the death of the engine.
	died map[load]int
	// flights are the loads that may be in flight.
	flights map[load]flight
}

// versions returns the loaded versions of a model.
func (t *target) versions(model string) []string {
	var out []string
	for _, m := range t.report.Models {
		if m.Name == model {
			out = append(out, m.Version)
		}
	}
	return out
}

func (t *target) find(model, version string) (engine.Model, bool) {
	i := slices.IndexFunc(t.report.Models, func(m engine.Model) bool {
		return m.Name == model && m.Version == version
	})
	if i < 0 {
		return engine.Model{}, false
	}
	return t.report.Models[i], true
}

// shows reports whether the load report shows the effect of an order.
func (t *target) shows(o engine.Order) bool {
	m, ok := t.find(o.Model, o.Version)
	switch o.Kind {
	case engine.OrderLoad:
		return ok
	case engine.OrderUnload:
		return !ok
	default:
		return ok && slices.Contains(m.Adapters, o.Adapter)
	}
}

// restarted reports whether the engine has lost the orders of a number.
func (t *target) restarted(number uint64) bool {
	return t.fenced && t.report.Fence < number
}

// depart notes that a load may be in flight from now on.
func (t *target) depart(l load, number uint64) {
	f, ok := t.flights[l]
	if !ok {
		f.first = number
	}
	f.first, f.since = min(f.first, number), time.Now()
	t.flights[l] = f
}

// flying reports whether a load may be in flight. It has ended when a report made
// after the last order shows the model, or that the engine has none of the orders.
func (t *target) flying(l load, longest time.Duration) bool {
	f, ok := t.flights[l]
	if !ok {
		return false
	}
	ended := time.Since(f.since) > longest
	if t.fresh && t.sampled.After(f.since.Add(transitTime)) {
		_, loaded := t.find(l.Model, l.Version)
		ended = ended || loaded || t.restarted(f.first)
	}
	if ended {
		delete(t.flights, l)
	}
	return !ended
}

// delay sets the time of the next order. The pause doubles with each failure
// and is never shorter than the lag of the reports.
func (t *target) delay(now time.Time, first, longest time.Duration, random float64) {
	t.pause = min(max(2*t.pause, first), longest)
	t.notBefore = now.Add(t.pause + time.Duration(random*float64(t.pause)/2))
}

// outcome is what the answer to an order says.
type outcome int

const (
	accepted outcome = iota
	notSent
	unknown
	staleOwner
	refused
)

func outcomeOf(err error) outcome {
	if err == nil {
		return accepted
	}
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.Overloaded, fault.RateLimited:
		return notSent
	case fault.Timeout, fault.Canceled, fault.ReplyLost, fault.UpstreamLost:
		return unknown
	case fault.Stale:
		return staleOwner
	default:
		return refused
	}
}
