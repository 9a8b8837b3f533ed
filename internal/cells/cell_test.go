package cells

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
)

func engine(i int) plat.Host {
	return plat.Host{
		Name: fmt.Sprintf("engine-%05d", i), Role: plat.RoleEngine, Service: "drafting",
		FailureDomain: "sofia-a", Region: "sofia", State: plat.HostLive,
	}
}

// cellByEngine maps the name of each engine to the name of its cell.
func cellByEngine(cells []Cell) map[string]string {
	cellOf := map[string]string{}
	for _, c := range cells {
		for _, e := range c.Engines {
			cellOf[e.Name] = c.Name
		}
	}
	return cellOf
}

// Guards against engines that are missing from the cells, and against cells that
// exceed the limit or have very unequal sizes. Also guards against a replacement of
// one engine that moves many other engines to another cell.
func TestGroupStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 700).Draw(t, "engines")
		limit := rapid.SampledFrom([]int{8, 16, 64}).Draw(t, "limit")
		replaced := rapid.IntRange(0, n-1).Draw(t, "replaced")
		hosts := make([]plat.Host, 0, n)
		for i := range n {
			hosts = append(hosts, engine(i))
		}
		before := Group(hosts, limit)
		for _, c := range before {
			require.LessOrEqual(t, len(c.Engines), limit)
			// Each other cell may have one engine more than n/len(before), so a cell
			// may have fewer by up to the number of cells.
			require.GreaterOrEqual(t, len(c.Engines), n/len(before)-len(before))
		}
		hosts[replaced] = engine(100000 + replaced)
		oldCells, newCells := cellByEngine(before), cellByEngine(Group(hosts, limit))
		require.Len(t, newCells, n)
		moved := 0
		for name, cell := range newCells {
			if old, ok := oldCells[name]; ok && old != cell {
				moved++
			}
		}
		require.LessOrEqual(t, moved, 2*len(before))
	})
}

// Guards against an owner in another region while the cell's region has a
// usable member, and against an owner that is leaving or dead.
func TestOwner(t *testing.T) {
	cell := Cell{Name: "drafting/sofia-a/0", Region: "sofia"}
	local := member.Member{Name: "a", Region: "sofia", State: member.Alive}
	leaving := member.Member{Name: "b", Region: "sofia", State: member.Leaving}
	remote := member.Member{Name: "c", Region: "tana", State: member.Alive}
	dead := member.Member{Name: "d", Region: "tana", State: member.Dead}
	cases := map[string]struct {
		members []member.Member
		owner   string
	}{
		"same region":      {[]member.Member{remote, leaving, local}, "a"},
		"region has none":  {[]member.Member{remote, leaving, dead}, "c"},
		"no usable member": {[]member.Member{leaving, dead}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := Owner(cell, tc.members)
			require.Equal(t, tc.owner != "", ok)
			require.Equal(t, tc.owner, got.Name)
		})
	}
}

// Guards against Rank and Highest that choose different first candidates, and
// against a ranking that changes when its first candidate is removed.
func TestRank(t *testing.T) {
	identity := func(s string) string { return s }
	names := []string{"a", "b", "c", "d", "e"}
	for i := range 1000 {
		key := fmt.Sprint(i)
		ranked := Rank(key, names, identity)
		best, ok := Highest(key, names, identity)
		require.True(t, ok)
		require.Equal(t, ranked[0], best)
		require.Equal(t, ranked[1:], Rank(key, ranked[1:], identity))
	}
}

// BenchmarkGroup, BenchmarkOwner and BenchmarkRankCells produce the figures of
// docs/CAPACITY.md.
func BenchmarkGroup(b *testing.B) {
	for _, n := range []int{262, 525, 1050, 2100} {
		hosts := make([]plat.Host, 0, n)
		for i := range n {
			e := engine(i)
			e.FailureDomain, e.Region = fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)
			hosts = append(hosts, e)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Group(hosts, MaxEngines)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{20, 40, 80, 160, 380} {
		members := make([]member.Member, 0, n)
		for i := range n {
			members = append(members, member.Member{
				Name: fmt.Sprintf("node-%03d", i), Region: fmt.Sprintf("region-%d", i%3), State: member.Alive,
			})
		}
		cell := Cell{Name: "drafting/sofia-a/0", Region: "region-1"}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Owner(cell, members)
			}
		})
	}
}

func BenchmarkRankCells(b *testing.B) {
	for _, n := range []int{5, 9, 18, 36, 72} {
		cells := make([]Cell, 0, n)
		for i := range n {
			cells = append(cells, Cell{Name: fmt.Sprintf("drafting/domain-%d/%d", i%9, i/9)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				RankCells("organisation/0123456789abcdef", cells)
			}
		})
	}
}
