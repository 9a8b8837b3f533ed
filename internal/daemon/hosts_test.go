package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// slowLister counts its readings, which take a while, and may be down.
type slowLister struct {
	reads atomic.Int64
	down  atomic.Bool
}

func (l *slowLister) Hosts(ctx context.Context) ([]plat.Host, error) {
	l.reads.Add(1)
	sleep(ctx, 100*time.Millisecond)
	if l.down.Load() {
		return nil, fault.New(fault.PlatformDown, "the platform is down")
	}
	return []plat.Host{{Name: "node", Role: plat.RoleEntry}}, nil
}

// Guards against a second reading of the host list for the membership, and
// against an old list that the membership takes for a new one in an outage.
func TestMembershipSharesHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &slowLister{}
		h := newHosts(lister, quietLog())
		ask := func() error {
			list, err := h.Hosts(t.Context())
			if err == nil {
				require.Len(t, list, 1)
			}
			return err
		}
		g := group.New(t.Context())
		for range 2 {
			g.Go("ask", func(context.Context) error { return ask() })
		}
		require.NoError(t, g.Wait())
		require.EqualValues(t, 1, lister.reads.Load(), "readings at the same time")
		time.Sleep(hostsInterval / 2)
		require.NoError(t, ask())
		require.EqualValues(t, 1, lister.reads.Load(), "a fresh list was read again")
		time.Sleep(hostsInterval)
		require.NoError(t, ask())
		require.EqualValues(t, 2, lister.reads.Load(), "an old list was not read again")
		lister.down.Store(true)
		time.Sleep(2 * hostsInterval)
		require.True(t, fault.Is(ask(), fault.PlatformDown))
		require.Len(t, h.All(), 1)
	})
}
