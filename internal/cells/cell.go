package cells

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
)

// MaxEngines is the maximum number of engines in a cell.
const MaxEngines = 64

// Cell is a set of engines of one service in one failure domain that one node
// schedules.
type Cell struct {
	// Name is the service, the failure domain and a number, separated by
	// slashes.
	Name          string      `json:"name"`
	Service       string      `json:"service"`
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region"`
	Engines       []plat.Host `json:"engines"`
}

// Group assigns the live engines among the hosts to cells of at most maxEngines
// engines each. Cells and the engines in them are sorted by name. A maxEngines
// below one means MaxEngines.
//
// Engines are assigned by rendezvous hashing with bounded load. The number of
// cells is a power of two, or one and a half times a power of two, so that small
// changes in the number of engines rarely change the number of cells.
func Group(hosts []plat.Host, maxEngines int) []Cell {
	if maxEngines < 1 {
		maxEngines = MaxEngines
	}
	type location struct{ service, domain string }
	groups := map[location][]plat.Host{}
	for _, h := range hosts {
		if h.Role == plat.RoleEngine && h.State == plat.HostLive {
			at := location{h.Service, h.FailureDomain}
			groups[at] = append(groups[at], h)
		}
	}
	cells := make([]Cell, 0, len(groups))
	for at, engines := range groups {
		cells = append(cells, split(at.service+"/"+at.domain, engines, maxEngines)...)
	}
	slices.SortFunc(cells, func(a, b Cell) int { return cmp.Compare(a.Name, b.Name) })
	return cells
}

// split divides the engines of one service and failure domain into cells.
func split(prefix string, engines []plat.Host, maxEngines int) []Cell {
	parts := Partition(prefix, engines, maxEngines, engineName)
	cells := make([]Cell, 0, len(parts))
	for _, p := range parts {
		cells = append(cells, Cell{
			Name: p.Name, Service: engines[0].Service, FailureDomain: engines[0].FailureDomain,
			Region: engines[0].Region, Engines: p.Items,
		})
	}
	return cells
}

// Part is a named part of a set.
type Part[T any] struct {
	// Name is the prefix and a number, separated by a slash.
	Name  string
	Items []T
}

// Partition divides items into parts with at most maxItems each; the items of a
// part are sorted by name. Adding, removing or replacing one item moves few
// others.
func Partition[T any](prefix string, items []T, maxItems int, name func(T) string) []Part[T] {
	parts := make([]Part[T], cellCount(len(items), maxItems))
	indexes := make([]int, len(parts))
	for i := range parts {
		indexes[i], parts[i].Name = i, partName(prefix, i)
	}
	// The parts have nearly equal sizes, because a small cell could not serve
	// prompts that need several engines.
	limit := (len(items) + len(parts) - 1) / len(parts)
	// Items are assigned in the order of their hash, so that a new item displaces
	// few others and names that come first in the alphabet have no advantage.
	for _, item := range Rank(prefix, items, name) {
		for _, i := range Rank(name(item), indexes, func(i int) string { return parts[i].Name }) {
			if len(parts[i].Items) < limit {
				parts[i].Items = append(parts[i].Items, item)
				break
			}
		}
	}
	parts = slices.DeleteFunc(parts, func(p Part[T]) bool { return len(p.Items) == 0 })
	for i := range parts {
		slices.SortFunc(parts[i].Items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	}
	return parts
}

// FirstName returns the name of the only part of a small set.
func FirstName(prefix string) string { return partName(prefix, 0) }

func partName(prefix string, i int) string { return fmt.Sprintf("%s/%d", prefix, i) }

// cellCount returns the number of cells for a number of engines: the smallest
// of 1, 2, 3, 4, 6, 8, 12 and so on at which the engines use at most seven
// eighths of the total capacity. A single cell may be filled completely.
func cellCount(engines, maxEngines int) int {
	if engines <= maxEngines {
		return 1
	}
	for n := 2; ; n *= 2 {
		for _, count := range []int{n, n + n/2} {
			if engines*8 <= count*maxEngines*7 {
				return count
			}
		}
	}
}

func engineName(h plat.Host) string { return h.Name }

// Owner returns the member that schedules a cell: the usable member with the
// highest rendezvous hash in the cell's region or, when that region has no usable
// member, in any region. The second result is false when no member is usable.
func Owner(cell Cell, members []member.Member) (member.Member, bool) {
	return KeyOwner("cell/"+cell.Name, cell.Region, members)
}

// KeyOwner returns the owner of a key: the usable member with the highest
// rendezvous hash in the region or, when the region has no usable member, in any
// region. An empty region means any region, as for the shards of claims and the
// home nodes of organisations.
func KeyOwner(key, region string, members []member.Member) (member.Member, bool) {
	usable := make([]member.Member, 0, len(members))
	for _, m := range members {
		if m.Usable() && (region == "" || m.Region == region) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 && region != "" {
		return KeyOwner(key, "", members)
	}
	return Highest(key, usable, func(m member.Member) string { return m.Name })
}

// RankCells returns the cells in descending order of the rendezvous hash of their names
// for a key, such as an organisation together with the hash of the first prompt
// block.
func RankCells(key string, cells []Cell) []Cell {
	return Rank(key, cells, func(c Cell) string { return c.Name })
}
