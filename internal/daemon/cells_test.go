package daemon

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/confd"
)

// fakeLister returns the list of hosts that the test has set.
type fakeLister struct{ list []plat.Host }

func (l *fakeLister) Hosts(context.Context) ([]plat.Host, error) {
	return append([]plat.Host{}, l.list...), nil
}

// Guards against cells that keep the engines of an outdated host list, and
// against cells that lose their engines when an unchanged list is read again.
func TestCellsFollowHostList(t *testing.T) {
	engine := func(name string) plat.Host {
		return plat.Host{Name: name, Role: plat.RoleEngine, Service: "drafting", FailureDomain: "d", Region: "r", State: plat.HostLive}
	}
	lister := &fakeLister{}
	members := fixedMembers{list: []member.Member{{Name: "node", FailureDomain: "d", Region: "r", State: member.Alive}}}
	h := newHosts(lister, nil, quietLog())
	// This node is not a member, so it owns no cell and runs no scheduler.
	c := &cellSet{
		name: "another", maxEngines: 64, hosts: h, log: quietLog(), owned: map[string]*ownedCell{},
		members:  members,
		document: func() (*confd.Document, uint64, error) { return &confd.Document{}, 1, nil },
	}
	leaving := engine("a")
	leaving.State = plat.HostLeaving
	for _, step := range [][]plat.Host{
		{engine("a")},
		{engine("a")},
		{engine("a"), engine("b"), engine("c")},
		{leaving, engine("b"), engine("c")},
		{},
		{engine("b")},
	} {
		lister.list = step
		require.NoError(t, h.refresh(t.Context()))
		c.refresh(t.Context())
		expected := 0
		for _, host := range step {
			if host.State == plat.HostLive {
				expected++
			}
		}
		actual := 0
		for _, cell := range c.all() {
			actual += len(cell.Engines)
		}
		require.Equal(t, expected, actual)
		require.Equal(t, expected > 0, len(c.Rank("drafting", "key")) > 0)
	}
}
