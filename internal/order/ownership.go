package order

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// platformTimeout bounds the platform calls of one acquisition, one confirmation or
// one request for permits.
const platformTimeout = 2 * time.Second

// cellRecord is the value stored under a cell's platform key.
type cellRecord struct {
	// Fence is the fencing number, Owner the node that acquired it. Nonce is a
	// random number drawn for each acquisition: after a lost reply, the node
	// reads it back to learn whether its write took effect.
	Fence uint64 `json:"fence"`
	Owner string `json:"owner"`
	Nonce uint64 `json:"nonce"`
	// Revision is the highest configuration revision that orders were based on.
	Revision uint64 `json:"revision"`
	// Stopped maps each model with a failed roll-out to its stop.
	Stopped map[string]rolloutStop `json:"stopped,omitempty"`
}

// rolloutStop describes a roll-out that was stopped after a failure.
type rolloutStop struct {
	Version string `json:"version"`
	// Previous is the version that engines without the model load instead.
	Previous string `json:"previous,omitempty"`
	Engine   string `json:"engine"`
	Reason   string `json:"reason"`
}

// ownership tracks whether this node holds the fencing number of a cell.
type ownership struct {
	store *meteredStore
	key   string
	node  string

	held bool
	// nonce is that of this node's last attempt to acquire the cell.
	nonce  uint64
	record cellRecord
	// baseRevision is the platform's revision of record, the base of the next
	// compare-and-swap. It is unrelated to record.Revision.
	baseRevision plat.Revision
	// highestSeen is the highest fencing number known from any source.
	highestSeen uint64
	// acquiredAt is when the acquisition was confirmed. confirmedAt is the start of
	// the last read or write that confirmed the ownership.
	acquiredAt, confirmedAt time.Time
}

func cellKey(cell string) string { return "orders/cell/" + cell }

// read fetches the cell record and updates the ownership: it is held if the
// record shows this node's last acquisition, and not held otherwise.
func (o *ownership) read(ctx context.Context) error {
	requestedAt := time.Now()
	entry, err := o.store.get(ctx, o.key)
	if err != nil {
		return err
	}
	var stored cellRecord
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			return fault.Wrap(fault.Internal, err, "decode the record of the cell")
		}
	}
	o.record, o.baseRevision = stored, entry.Revision
	o.highestSeen = max(o.highestSeen, stored.Fence)
	owned := o.nonce != 0 && stored.Owner == o.node && stored.Nonce == o.nonce && stored.Fence >= o.highestSeen
	if owned && !o.held {
		o.acquiredAt = time.Now()
	}
	o.held = owned
	if owned {
		o.confirmedAt = requestedAt
	}
	return nil
}

// acquire stores a fencing number above all known ones. After a lost reply the
// record is read back, at once or at the start of the next attempt.
func (o *ownership) acquire(ctx context.Context, nonce uint64) error {
	if err := o.read(ctx); err != nil || o.held {
		return err
	}
	next := o.record
	next.Fence, next.Owner, next.Nonce = o.highestSeen+1, o.node, nonce
	o.nonce = nonce
	return o.write(ctx, next)
}

// write replaces the cell record by compare-and-swap and updates the ownership
// from the result.
func (o *ownership) write(ctx context.Context, next cellRecord) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the record of the cell")
	}
	requestedAt := time.Now()
	revision, err := o.store.put(ctx, o.key, value, o.baseRevision)
	if err != nil {
		switch fault.KindOf(err) {
		case fault.ReplyLost, fault.Conflict, fault.Timeout:
			return o.read(ctx)
		default:
			return err
		}
	}
	if !o.held {
		o.acquiredAt = time.Now()
	}
	o.held, o.record, o.baseRevision, o.confirmedAt = true, next, revision, requestedAt
	o.highestSeen = max(o.highestSeen, next.Fence)
	return nil
}

// observeFence records a fencing number from a load report. It reports whether
// the number ends this node's ownership.
func (o *ownership) observeFence(fence uint64) bool {
	o.highestSeen = max(o.highestSeen, fence)
	if o.held && fence > o.record.Fence {
		o.held = false
		return true
	}
	return false
}

// markRefused ends the ownership after an engine answered Stale: the engine has seen
// a higher number, at least the next one, but the answer does not say which. The next
// acquisition therefore skips one number.
func (o *ownership) markRefused() {
	o.highestSeen = max(o.highestSeen, o.record.Fence+1)
	o.held = false
}

// updatedRecord returns a copy of the record with the revision of d, without the
// stops of versions that d no longer names, and with new stops added. It also
// reports whether the copy differs.
func (o *ownership) updatedRecord(d Desired, stopped map[string]rolloutStop) (cellRecord, bool) {
	next := o.record
	next.Stopped = maps.Clone(o.record.Stopped)
	changed := false
	for model, s := range next.Stopped {
		if d.Models[model].Version != s.Version {
			delete(next.Stopped, model)
			changed = true
		}
	}
	for model, s := range stopped {
		if _, ok := next.Stopped[model]; ok {
			continue
		}
		if next.Stopped == nil {
			next.Stopped = map[string]rolloutStop{}
		}
		next.Stopped[model] = s
		changed = true
	}
	if d.Revision > next.Revision {
		next.Revision, changed = d.Revision, true
	}
	return next, changed
}
