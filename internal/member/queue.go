package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// queue holds the updates to be sent on pings, by member name. A newer update of
// a member replaces the older one.
type queue map[string]*queued

type queued struct {
	update Member
	sent   int
}

func (q queue) add(m Member) {
	q[m.Name] = &queued{update: m.compact()}
}

// take returns the updates that were sent least often, at most maxPiggyback. It
// removes those that have then been sent as often as the number of members
// requires.
func (q queue) take(members int) []Member {
	if len(q) == 0 {
		return nil
	}
	items := make([]*queued, 0, len(q))
	for _, item := range q {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.Name, b.update.Name))
	})
	items = items[:min(len(items), maxPiggyback)]
	limit := transmissionFactor * bits.Len(uint(members))
	updates := make([]Member, 0, len(items))
	for _, item := range items {
		updates = append(updates, item.update)
		item.sent++
		if item.sent >= limit {
			delete(q, item.update.Name)
		}
	}
	return updates
}
