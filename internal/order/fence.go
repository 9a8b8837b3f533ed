package order

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const callTimeout = 2 * time.Second

// record is the value of the platform key of a cell.
type record struct {
	// Fence is the fencing number, Owner the node that took it, Nonce a random
	// number of the taking, by which a lost reply is resolved.
	Fence uint64 `json:"fence"`
	Owner string `json:"owner"`
	Nonce uint64 `json:"nonce"`
	// Revision is the highest configuration that orders were based on.
	Revision uint64 `json:"revision"`
	// Stopped holds the roll-outs that failed, by model.
	Stopped map[string]stop `json:"stopped,omitempty"`
}

// stop is a roll-out that stopped.
type stop struct {
	Version string `json:"version"`
	// Previous is the version that engines return to when they are empty.
	Previous string `json:"previous,omitempty"`
	Engine   string `json:"engine"`
	Reason   string `json:"reason"`
}

// fence is this node's hold on the fencing number of a cell.
type fence struct {
	store *meteredStore
	key   string
	node  string

	held   bool
	nonce  uint64
	record record
	base   plat.Revision
	// seen is the highest fencing number known from any source.
	seen uint64
	// takenAt is when the taking was confirmed; readAt is when the last reading
	// that confirmed it was requested.
	takenAt, readAt time.Time
}

func cellKey(cell string) string { return "orders/cell/" + cell }

// read gets the record and reports whether it is still this node's. A record of
// another taking ends the hold.
func (f *fence) read(ctx context.Context) error {
	asked := time.Now()
	entry, err := f.store.get(ctx, f.key)
	if err != nil {
		return err
	}
	var rec record
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &rec); err != nil {
			return fault.Wrap(fault.Internal, err, "record of the cell")
		}
	}
	f.record, f.base = rec, entry.Revision
	f.seen = max(f.seen, rec.Fence)
	mine := f.nonce != 0 && rec.Owner == f.node && rec.Nonce == f.nonce && rec.Fence >= f.seen
	if mine && !f.held {
		f.takenAt = time.Now()
	}
	f.held = mine
	if mine {
		f.readAt = asked
	}
	return nil
}

// take takes a number above all that are known. A lost reply is resolved by
// reading back, at once or at the start of the next attempt.
func (f *fence) take(ctx context.Context, nonce uint64) error {
	if err := f.read(ctx); err != nil || f.held {
		return err
	}
	next := f.record
	next.Fence, next.Owner, next.Nonce = f.seen+1, f.node, nonce
	f.nonce = nonce
	return f.write(ctx, next)
}

// write replaces the record by compare-and-swap and takes over the outcome.
func (f *fence) write(ctx context.Context, next record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "record of the cell")
	}
	asked := time.Now()
	base, err := f.store.put(ctx, f.key, value, f.base)
	if err != nil {
		switch fault.KindOf(err) {
		case fault.ReplyLost, fault.Conflict, fault.Timeout:
			return f.read(ctx)
		default:
			return err
		}
	}
	if !f.held {
		f.takenAt = time.Now()
	}
	f.held, f.record, f.base, f.readAt = true, next, base, asked
	f.seen = max(f.seen, next.Fence)
	return nil
}

// observe notes a fencing number seen in a report and reports whether it ends
// this node's hold.
func (f *fence) observe(number uint64) bool {
	f.seen = max(f.seen, number)
	if f.held && number > f.record.Fence {
		f.held = false
		return true
	}
	return false
}

// refused ends the hold after an engine answered Stale. The answer carries no
// number, so the next one skips a number.
func (f *fence) refused() {
	f.seen = max(f.seen, f.record.Fence+1)
	f.held = false
}

// update returns a copy of the record with changes for a configuration.
func (f *fence) update(d Desired, stopped map[string]stop) (record, bool) {
	next := f.record
	next.Stopped = maps.Clone(f.record.Stopped)
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
			next.Stopped = map[string]stop{}
		}
		next.Stopped[model] = s
		changed = true
	}
	if d.Revision > next.Revision {
		next.Revision, changed = d.Revision, true
	}
	return next, changed
}
