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
	// maybe holds the loads that may be in flight, with the time of the answer.
	maybe map[load]time.Time
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
