package order

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// Snapshot is the state of a reconciler for the state dump.
type Snapshot struct {
	Cell string `json:"cell"`
	// Owner is set when this node holds the fencing number of the cell. Fence is the
	// number in the cell record as last read or written, Seen the highest one known.
	Owner bool   `json:"owner"`
	Fence uint64 `json:"fence"`
	Seen  uint64 `json:"seen"`
	// Revision is the highest configuration revision that orders were based on.
	Revision uint64 `json:"revision"`
	// Outdated is set when this node has a configuration older than Revision. It
	// then sends no orders.
	Outdated bool             `json:"outdated,omitempty"`
	Stopped  []StoppedRollout `json:"stopped,omitempty"`
	Pending  []PendingOrder   `json:"pending,omitempty"`
	// Permits is the number of load permits held.
	Permits int `json:"permits"`
	// Orders and PlatformCalls are counted since the start of the reconciler.
	Orders        uint64 `json:"orders"`
	PlatformCalls uint64 `json:"platform_calls"`
}

// StoppedRollout is a roll-out that was stopped after a failure.
type StoppedRollout struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Previous string `json:"previous,omitempty"`
	Engine   string `json:"engine"`
	Reason   string `json:"reason"`
}

// PendingOrder is an order whose effect no report shows yet.
type PendingOrder struct {
	Engine    string           `json:"engine"`
	Kind      engine.OrderKind `json:"kind"`
	Model     string           `json:"model"`
	Version   string           `json:"version"`
	Accepted  bool             `json:"accepted"`
	AgeMillis int64            `json:"age_ms"`
}

// Snapshot returns the state after the last round.
func (r *Reconciler) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

func (r *Reconciler) publish() {
	s := Snapshot{
		Cell: r.opts.Cell, Owner: r.ownership.held, Fence: r.ownership.record.Fence, Seen: r.ownership.highestSeen,
		Revision: r.ownership.record.Revision, Outdated: r.outdated, Permits: len(r.permits.held),
		Orders: r.ordersSent, PlatformCalls: r.store.calls,
	}
	stopped := maps.Clone(r.ownership.record.Stopped)
	if stopped == nil {
		stopped = map[string]rolloutStop{}
	}
	maps.Copy(stopped, r.unsavedStops)
	for _, model := range slices.Sorted(maps.Keys(stopped)) {
		stop := stopped[model]
		s.Stopped = append(s.Stopped, StoppedRollout{Model: model, Version: stop.Version, Previous: stop.Previous, Engine: stop.Engine, Reason: stop.Reason})
	}
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		if a := r.targets[name].pending; a != nil {
			s.Pending = append(s.Pending, PendingOrder{
				Engine: name, Kind: a.order.Kind, Model: a.order.Model, Version: a.order.Version,
				Accepted: a.accepted, AgeMillis: time.Since(a.answeredAt).Milliseconds(),
			})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = s
}
