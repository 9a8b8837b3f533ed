package order

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// permitKey holds the loads in flight of the whole deployment.
const permitKey = "orders/loads"

// load identifies a load in flight.
type load struct {
	Cell    string `json:"cell"`
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// holder is a permit for one load.
type holder struct {
	load
	// Fence is the number of the owner that holds the permit. A later owner of
	// the cell adopts the permit under its own number.
	Fence uint64 `json:"fence"`
	// First is the number under which the load was first permitted. An engine
	// that has seen a lower number only has not received the order from anyone.
	First uint64 `json:"first"`
	// Nonce differs for every write of the permit.
	Nonce uint64 `json:"nonce"`
}

// permits shares the rate of the weight store between the cells: a load is
// ordered only under a permit, and one value holds all permits.
type permits struct {
	store *meteredStore
	cell  string
	limit int
	ttl   time.Duration
	nonce func() uint64

	// held are this node's permits; release are those it no longer needs.
	held    map[load]holder
	release map[load]bool
	// since is when this node first saw a permit. Clocks of nodes differ, so a
	// permit carries no time.
	since map[holder]time.Time
	next  time.Time
	// full counts the attempts that found no free permit.
	full int
}

func (p *permits) holds(l load) bool {
	_, ok := p.held[l]
	return ok
}

// done marks a permit as no longer needed.
func (p *permits) done(l load) {
	if p.holds(l) {
		p.release[l] = true
	}
}

// acquire obtains permits for as many wanted loads as it can and gives back
// those that are done. Permits of this cell under lower numbers are adopted when
// wanted, and dropped when gone says that their load has ended.
func (p *permits) acquire(ctx context.Context, fence uint64, want []load, gone func(holder) bool) error {
	entry, err := p.store.get(ctx, permitKey)
	if err != nil {
		return err
	}
	var all []holder
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &all); err != nil {
			return fault.Wrap(fault.Internal, err, "permits for loads")
		}
	}
	next, changed := p.prune(all, fence, gone)
	next, granted := p.grant(next, fence, want)
	if len(granted) < len(want) {
		p.full++
	} else {
		p.full = 0
	}
	if !changed && len(granted) == 0 {
		p.apply(next, fence)
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "permits for loads")
	}
	// Whatever the answer, the released permits no longer allow a load.
	for l := range p.release {
		delete(p.held, l)
	}
	if _, err := p.store.put(ctx, permitKey, value, entry.Revision); err != nil {
		// After a lost reply the next reading shows which permits are held.
		return err
	}
	p.apply(next, fence)
	return nil
}

// prune drops permits that are done, void or gone.
func (p *permits) prune(all []holder, fence uint64, gone func(holder) bool) ([]holder, bool) {
	now := time.Now()
	since := make(map[holder]time.Time, len(all))
	next := slices.DeleteFunc(slices.Clone(all), func(h holder) bool {
		first, ok := p.since[h]
		if !ok {
			first = now
		}
		since[h] = first
		if h.Cell != p.cell {
			return now.Sub(first) > p.ttl
		}
		if h.Fence == fence {
			return p.release[h.load] || now.Sub(first) > p.ttl
		}
		return h.Fence < fence && (now.Sub(first) > p.ttl || gone(h))
	})
	p.since = since
	return next, len(next) != len(all)
}

// grant adds permits for wanted loads. One write takes at most half of the free
// permits, so that the first cell leaves some to the others.
func (p *permits) grant(all []holder, fence uint64, want []load) ([]holder, []load) {
	var granted []load
	free := max(0, p.limit-len(all))
	take := (free + 1) / 2
	for _, l := range want {
		i := slices.IndexFunc(all, func(h holder) bool { return h.load == l })
		switch {
		case i >= 0 && all[i].Fence < fence:
			all[i].Fence, all[i].Nonce = fence, p.nonce()
			granted = append(granted, l)
		case i < 0 && take > 0:
			take--
			all = append(all, holder{load: l, Fence: fence, First: fence, Nonce: p.nonce()})
			granted = append(granted, l)
		}
	}
	return all, granted
}

// reset forgets the permits of a number that this node no longer has.
func (p *permits) reset() {
	clear(p.held)
	clear(p.release)
	p.next = time.Time{}
}

// apply takes over the permits that the platform holds for this node.
func (p *permits) apply(all []holder, fence uint64) {
	clear(p.held)
	clear(p.release)
	for _, h := range all {
		if h.Cell == p.cell && h.Fence == fence {
			p.held[h.load] = h
		}
	}
}
