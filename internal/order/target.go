package order

import (
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// pendingOrder is an order whose effect no report shows yet.
type pendingOrder struct {
	order engine.Order
	// answeredAt is when the answer arrived or the call was abandoned.
	answeredAt time.Time
	accepted   bool
}

// inFlightLoad is a load that may still be running on an engine.
type inFlightLoad struct {
	// lastOrderedAt is the time of the last order for the load. lowestFence is
	// the lowest fencing number under which the load may have been ordered.
	lastOrderedAt time.Time
	lowestFence   uint64
}

// target is an engine of the cell as this node knows it.
type target struct {
	Engine
	report engine.LoadReport
	// sampledAt is a lower bound on the time at which the report was made: the time
	// at which the report was requested minus the age that it states.
	sampledAt time.Time
	// fresh is set when the report is no older than ReportMaxAge.
	fresh bool
	// reportsFence is set when the engine reports the fencing numbers it accepts.
	reportsFence bool
	pending      *pendingOrder
	// notBefore is the earliest time for the next order after a failed one;
	// retryPause is the pause from which notBefore was computed.
	notBefore  time.Time
	retryPause time.Duration
	// restartsDuringLoad counts the restarts of the engine during each load.
	restartsDuringLoad map[modelLoad]int
	// inFlight holds the loads that may still be running.
	inFlight map[modelLoad]inFlightLoad
}

// versions returns the loaded versions of a model.
func (t *target) versions(model string) []string {
	var versions []string
	for _, m := range t.report.Models {
		if m.Name == model {
			versions = append(versions, m.Version)
		}
	}
	return versions
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

// showsEffect reports whether the load report shows the effect of an order.
func (t *target) showsEffect(o engine.Order) bool {
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

// lacksOrders reports whether the engine has none of the orders sent under a fencing
// number. This is so if the highest number in its report is lower. The engine has
// then lost these orders in a restart or never received them.
func (t *target) lacksOrders(fence uint64) bool {
	return t.reportsFence && t.report.Fence < fence
}

// markInFlight records that a load may be running from now on.
func (t *target) markInFlight(l modelLoad, fence uint64) {
	f, ok := t.inFlight[l]
	if !ok {
		f.lowestFence = fence
	}
	f.lowestFence, f.lastOrderedAt = min(f.lowestFence, fence), time.Now()
	t.inFlight[l] = f
}

// mayBeInFlight reports whether a load may still be running, and removes it from
// inFlight if it has ended. The load has ended after maxDuration. It has also ended
// when a fresh report shows the loaded version, or shows that the engine has none of
// the orders for the load. The report must have been made more than transitTime after
// the last order, so that this order had arrived by then.
func (t *target) mayBeInFlight(l modelLoad, maxDuration time.Duration) bool {
	f, ok := t.inFlight[l]
	if !ok {
		return false
	}
	ended := time.Since(f.lastOrderedAt) > maxDuration
	if t.fresh && t.sampledAt.After(f.lastOrderedAt.Add(transitTime)) {
		_, loaded := t.find(l.Model, l.Version)
		ended = ended || loaded || t.lacksOrders(f.lowestFence)
	}
	if ended {
		delete(t.inFlight, l)
	}
	return !ended
}

// scheduleRetry sets the earliest time of the next order. The pause doubles with
// each failure. It is never shorter than minPause, which covers the lag of the
// load reports.
func (t *target) scheduleRetry(now time.Time, minPause, maxPause time.Duration, random float64) {
	t.retryPause = min(max(2*t.retryPause, minPause), maxPause)
	t.notBefore = now.Add(t.retryPause + time.Duration(random*float64(t.retryPause)/2))
}

// answer classifies the answer to an order.
type answer int

const (
	answerAccepted answer = iota
	answerNoEffect
	answerUnknown
	answerStale
	answerRefused
)

func answerOf(err error) answer {
	if err == nil {
		return answerAccepted
	}
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.Overloaded, fault.RateLimited:
		return answerNoEffect
	case fault.Timeout, fault.Canceled, fault.ReplyLost, fault.UpstreamLost:
		return answerUnknown
	case fault.Stale:
		return answerStale
	default:
		return answerRefused
	}
}
