package place

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// nodes are clients with pools of their own that call each other directly.
type nodes struct {
	muxes   map[string]*wire.Mux
	members []member.Member
	// silent nodes do not answer, and gone upstreams are known to have left.
	silent, gone map[string]bool
	// lost are the requests whose next question gets no answer.
	lost sync.Map
}

// Call implements wire.Caller.
func (n *nodes) Call(ctx context.Context, address, method string, params, result any) error {
	lost := false
	if call, ok := params.(acquireCall); ok {
		_, lost = n.lost.LoadAndDelete(call.Request.ID)
	}
	if lost || n.silent[address] {
		<-ctx.Done()
		return fault.Wrap(fault.Timeout, ctx.Err(), "no answer")
	}
	reply, err := n.muxes[address].Serve(ctx, "caller", method, mustJSON(params))
	if err != nil {
		return err
	}
	return unmarshalInto(reply, result)
}

type view struct {
	nodes *nodes
	self  member.Member
}

func (v view) Self() member.Member      { return v.self }
func (v view) Members() []member.Member { return v.nodes.members }

// newNodes starts nodes; those with engines know the list of them.
func newNodes(t *testing.T, g *group.Group, count int, capacity func(i int) float64, ready func(name string) bool) (*nodes, map[string]*Client) {
	n := &nodes{muxes: map[string]*wire.Mux{}, silent: map[string]bool{}, gone: map[string]bool{}}
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		n.members = append(n.members, member.Member{Name: name, PeerAddress: name, State: member.Alive, Capacity: capacity(i)})
	}
	clients := map[string]*Client{}
	for _, m := range n.members {
		pool := NewPool(m.Name, "s", quiet())
		if ready(m.Name) {
			pool.Set(model, tightest, engines(4))
		}
		g.Go("pool", pool.Run)
		c := NewClient(ClientOptions{
			Members: view{n, m}, Caller: n, Pool: func(string) *Pool { return pool }, Cells: func(string) []string { return []string{"s"} },
			Upstreams: func(string) []Upstream { return engines(4) },
			Gone:      func(id string) bool { return n.gone[id] },
			Random:    rand.New(rand.NewPCG(1, 1)), Log: quiet(),
		})
		mux := wire.NewMux()
		c.Register(mux)
		n.muxes[m.Name] = mux
		clients[m.Name] = c
		g.Go("client", c.Run)
	}
	return n, clients
}

// Guards against a request that is refused, or waits, because the owner is
// silent, knows no engine, is a small host, or names an engine that has left.
func TestOwners(t *testing.T) {
	same := func(int) float64 { return 1 }
	all := func(string) bool { return true }
	cases := map[string]struct {
		capacity func(i int) float64
		ready    func(name string) bool
		disturb  func(n *nodes, owner string)
		within   time.Duration
		alone    bool
	}{
		"answers":         {same, all, func(*nodes, string) {}, 0, false},
		"silent":          {same, all, func(n *nodes, owner string) { n.silent[owner] = true }, 500 * time.Millisecond, false},
		"all silent":      {same, all, func(n *nodes, _ string) { n.silent["n1"], n.silent["n2"], n.silent["n3"] = true, true, true }, time.Second, true},
		"knows no engine": {same, func(name string) bool { return name == "n0" }, func(*nodes, string) {}, time.Second, true},
		"engine has left": {same, all, func(n *nodes, _ string) { n.gone["e00"], n.gone["e01"] = true, true }, time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := group.New(t.Context())
				n, clients := newNodes(t, g, 4, tc.capacity, tc.ready)
				owner, ok := clients["n0"].owner("s")
				require.True(t, ok)
				tc.disturb(n, owner.Name)
				begun := time.Now()
				req := short(2000)
				req.ID, req.Service = "r", "s"
				v, err := clients["n0"].Acquire(t.Context(), req)
				require.NoError(t, err)
				require.NotNil(t, v.Grant)
				require.LessOrEqual(t, time.Since(begun), tc.within+10*time.Millisecond)
				if owner.Name != "n0" {
					require.Equal(t, tc.alone, v.Grant.Alone)
				}
				require.False(t, n.gone[v.Grant.Upstream.ID])
				g.Stop()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against a lost answer that makes a node take the owner for gone while
// others are answered: two owners place requests on the same engines then.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		n, clients := newNodes(t, g, 4, func(int) float64 { return 1 }, func(string) bool { return true })
		asker := "n0"
		owner, ok := clients[asker].owner("s")
		require.True(t, ok)
		if owner.Name == asker {
			asker = "n1"
		}
		n.lost.Store("lost", true)
		ask := func(id string) {
			req := short(2000)
			req.ID, req.Service = id, "s"
			v, err := clients[asker].Acquire(t.Context(), req)
			require.NoError(t, err)
			require.NotNil(t, v.Grant)
			require.False(t, v.Grant.Alone)
		}
		g.Go("first", func(context.Context) error { ask("lost"); return nil })
		time.Sleep(holdTime / 2)
		ask("answered")
		time.Sleep(holdTime + ownerTimeout)
		synctest.Wait()
		after, ok := clients[asker].owner("s")
		require.True(t, ok)
		require.Equal(t, owner.Name, after.Name, "the owner answers others")
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// Guards against a request that is refused because its cell has no room while
// another cell has, and against one that crashes engines and is tried elsewhere.
func TestCells(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second int
		quarantined   bool
		granted       bool
	}{
		"both have room":   {17, 17, false, true},
		"the first is out": {1, 17, false, true},
		"both are out":     {1, 1, false, false},
		"quarantined":      {17, 17, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := group.New(t.Context())
				req := long(700_000)
				req.ID, req.Service, req.Fingerprint = "r", "s", 7
				order := cells.Ranked("7", []string{"s/0", "s/1"}, func(name string) string { return name })
				pools := map[string]*Pool{}
				for i, count := range []int{tc.first, tc.second} {
					pool := NewPool("n", order[i], quiet())
					pool.Set(model, tightest, engines(count))
					g.Go("pool", pool.Run)
					pools[order[i]] = pool
				}
				if tc.quarantined {
					pools[order[0]].crashes[7] = crash{crashLimit, time.Now()}
				}
				self := member.Member{Name: "n", PeerAddress: "n", State: member.Alive, Capacity: 1}
				n := &nodes{members: []member.Member{self}}
				c := NewClient(ClientOptions{
					Members: view{n, self}, Caller: n, Pool: func(cell string) *Pool { return pools[cell] },
					Cells:     func(string) []string { return []string{"s/0", "s/1"} },
					Upstreams: func(string) []Upstream { return engines(17) },
					Gone:      func(string) bool { return false }, Random: rand.New(rand.NewPCG(1, 1)), Log: quiet(),
				})
				v, err := c.Acquire(t.Context(), req)
				require.NoError(t, err)
				require.Equal(t, tc.granted, v.Grant != nil)
				require.Equal(t, tc.quarantined, v.Refusal != nil && v.Refusal.Quarantined)
				g.Stop()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against a small host that owns a service while there are large ones.
func TestOwnerIsLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		_, clients := newNodes(t, g, 20, func(i int) float64 {
			if i == 7 || i == 13 {
				return 0.8
			}
			return 0.192
		}, func(string) bool { return true })
		for _, service := range []string{"s", "t", "u", "v"} {
			for _, c := range clients {
				owner, ok := c.owner(service)
				require.True(t, ok)
				require.Contains(t, []string{"n7", "n13"}, owner.Name)
			}
		}
		g.Stop()
		require.NoError(t, g.Wait())
	})
}
