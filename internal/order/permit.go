package order

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// permitKey is the platform key that holds the load permits of the whole deployment.
const permitKey = "orders/loads"

// modelLoad identifies the loading of a model version on an engine.
type modelLoad struct {
	Cell    string `json:"cell"`
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// permit allows one load to be ordered and counts against LoadLimit until it is given
// back or expires.
type permit struct {
	modelLoad
	// Fence is the fencing number of the owner that holds the permit. A later
	// owner of the cell adopts the permit under its own number.
	Fence uint64 `json:"fence"`
	// FirstFence is the fencing number under which the load was first permitted.
	// An engine that has only seen lower numbers has not received the order from
	// any owner.
	FirstFence uint64 `json:"first"`
	// Nonce is drawn anew whenever the permit is granted or adopted. It distinguishes
	// the permit from earlier ones for the same load, as in firstSeen.
	Nonce uint64 `json:"nonce"`
}

// permitSet limits the concurrent loads from the weight store over all cells. A load
// is ordered only with a permit, and the platform holds the permits of all cells in
// one value.
type permitSet struct {
	store *meteredStore
	cell  string
	limit int
	ttl   time.Duration
	nonce func() uint64

	// held are this node's permits; unneeded marks those to be given back.
	held     map[modelLoad]permit
	unneeded map[modelLoad]bool
	// firstSeen is when this node first saw each permit. The clocks of nodes
	// differ, so a permit carries no time.
	firstSeen   map[permit]time.Time
	nextAttempt time.Time
	// shortfalls counts the consecutive attempts that did not obtain all wanted
	// permits.
	shortfalls int
}

func (p *permitSet) holds(l modelLoad) bool {
	_, ok := p.held[l]
	return ok
}

// markUnneeded marks a permit to be given back by the next acquire.
func (p *permitSet) markUnneeded(l modelLoad) {
	if p.holds(l) {
		p.unneeded[l] = true
	}
}

// acquire obtains permits for as many wanted loads as it can and gives back
// the unneeded ones. Permits of this cell with lower fencing numbers are adopted
// if wanted, and dropped if loadEnded reports that their load has ended.
func (p *permitSet) acquire(ctx context.Context, fence uint64, wanted []modelLoad, loadEnded func(permit) bool) error {
	entry, err := p.store.get(ctx, permitKey)
	if err != nil {
		return err
	}
	var all []permit
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &all); err != nil {
			return fault.Wrap(fault.Internal, err, "decode load permits")
		}
	}
	next, changed := p.prune(all, fence, loadEnded)
	next, granted := p.grant(next, fence, wanted)
	if len(granted) < len(wanted) {
		p.shortfalls++
	} else {
		p.shortfalls = 0
	}
	if !changed && len(granted) == 0 {
		p.apply(next, fence)
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode load permits")
	}
	// The write may take effect even if its reply is lost, so the permits that it
	// gives back must not allow a load any more.
	for l := range p.unneeded {
		delete(p.held, l)
	}
	if _, err := p.store.put(ctx, permitKey, value, entry.Revision); err != nil {
		// After a lost reply the next read shows which permits are held.
		return err
	}
	p.apply(next, fence)
	return nil
}

// prune drops the permits that are unneeded or have expired, and those of earlier
// owners whose load has ended. It reports whether it dropped any.
func (p *permitSet) prune(all []permit, fence uint64, loadEnded func(permit) bool) ([]permit, bool) {
	now := time.Now()
	firstSeen := make(map[permit]time.Time, len(all))
	next := slices.DeleteFunc(slices.Clone(all), func(existing permit) bool {
		seenAt, ok := p.firstSeen[existing]
		if !ok {
			seenAt = now
		}
		firstSeen[existing] = seenAt
		if existing.Cell != p.cell {
			return now.Sub(seenAt) > p.ttl
		}
		if existing.Fence == fence {
			return p.unneeded[existing.modelLoad] || now.Sub(seenAt) > p.ttl
		}
		return existing.Fence < fence && (now.Sub(seenAt) > p.ttl || loadEnded(existing))
	})
	p.firstSeen = firstSeen
	return next, len(next) != len(all)
}

// grant adds permits for wanted loads. One write takes at most half of the free
// permits, rounded up, so that the first cell leaves some to the others.
func (p *permitSet) grant(all []permit, fence uint64, wanted []modelLoad) ([]permit, []modelLoad) {
	var granted []modelLoad
	free := max(0, p.limit-len(all))
	quota := (free + 1) / 2
	for _, l := range wanted {
		i := slices.IndexFunc(all, func(existing permit) bool { return existing.modelLoad == l })
		switch {
		case i >= 0 && all[i].Fence < fence:
			all[i].Fence, all[i].Nonce = fence, p.nonce()
			granted = append(granted, l)
		case i < 0 && quota > 0:
			quota--
			all = append(all, permit{modelLoad: l, Fence: fence, FirstFence: fence, Nonce: p.nonce()})
			granted = append(granted, l)
		}
	}
	return all, granted
}

// reset forgets the permits held under an earlier fencing number of this node.
func (p *permitSet) reset() {
	clear(p.held)
	clear(p.unneeded)
	p.nextAttempt = time.Time{}
}

// apply sets held to the permits stored for this node's cell and fencing number.
func (p *permitSet) apply(all []permit, fence uint64) {
	clear(p.held)
	clear(p.unneeded)
	for _, existing := range all {
		if existing.Cell == p.cell && existing.Fence == fence {
			p.held[existing.modelLoad] = existing
		}
	}
}
