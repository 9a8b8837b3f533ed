package place

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// witnessFleet is a fleet of nodes and engines, of which e0 is lost by n0.
type witnessFleet struct {
	nodes, engines int
	// cut are the nodes that reach no engine, and ended the engines that answer nobody.
	cut, ended []int
	// replaced is set if another process answers at the address of e0.
	replaced bool
	// silent are the nodes that answer no calls, and strangers those that do not know e0.
	silent, strangers []int
	// hang is set if nothing answers what cannot be reached. Otherwise it is refused.
	hang bool

	mu sync.Mutex
	// checks counts the checks, by node and engine.
	checks map[[2]int]int
}

func (f *witnessFleet) upstreams() []Upstream {
	var list []Upstream
	for i := range f.engines {
		list = append(list, Upstream{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("a%d", i), Started: time.UnixMilli(1)})
	}
	return list
}

func (f *witnessFleet) check(ctx context.Context, node int, u Upstream) error {
	engine := slices.IndexFunc(f.upstreams(), func(other Upstream) bool { return other == u })
	f.mu.Lock()
	f.checks[[2]int{node, engine}]++
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case slices.Contains(f.cut, node) || slices.Contains(f.ended, engine):
		if f.hang {
			<-ctx.Done()
		}
		return errors.New("connection refused")
	case f.replaced && engine == 0:
		return fault.New(fault.Stale, "another process")
	}
	return nil
}

// countChecks returns the number of checks of e0 by each node, and that of all checks.
func (f *witnessFleet) countChecks() (ofLost map[int]int, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ofLost = map[int]int{}
	for key, count := range f.checks {
		total += count
		if key[1] == 0 {
			ofLost[key[0]] = count
		}
	}
	return ofLost, total
}

// start starts all nodes and returns the witnesses of n0.
func (f *witnessFleet) start(g *group.Group) *Witnesses {
	f.checks = map[[2]int]int{}
	n := &fakeNodes{muxes: map[string]*wire.Mux{}, unresponsive: map[string]bool{}}
	for i := range f.nodes {
		name := fmt.Sprintf("n%d", i)
		n.members = append(n.members, member.Member{Name: name, PeerAddress: name, State: member.Alive})
		n.unresponsive[name] = slices.Contains(f.silent, i)
	}
	var first *Witnesses
	for i := range f.nodes {
		upstreams := f.upstreams()
		if slices.Contains(f.strangers, i) {
			upstreams[0].Started = time.UnixMilli(2)
		}
		w := NewWitnesses(WitnessesOptions{
			Members: memberView{n, n.members[i]}, Caller: n, Upstreams: func() []Upstream { return upstreams },
			Check:   func(ctx context.Context, u Upstream) error { return f.check(ctx, i, u) },
			Notices: newTestNotices(), Group: g, Random: rand.New(rand.NewPCG(1, uint64(i))), Log: discardLogger(),
		})
		mux := wire.NewMux()
		w.Register(mux)
		n.muxes[n.members[i].Name] = mux
		if i == 0 {
			first = w
		}
	}
	return first
}

// Guards against an engine that counts as ended because a node that is cut from all engines
// does not reach it, against one that ended and counts as running, and against a burst of
// losses that multiplies the checks.
func TestEndsHaveWitnesses(t *testing.T) {
	cases := map[string]struct {
		fleet  *witnessFleet
		ended  bool
		within time.Duration
	}{
		"ended":                                {&witnessFleet{nodes: 4, engines: 4, ended: []int{0}}, true, 10 * time.Millisecond},
		"ended, and does not refuse":           {&witnessFleet{nodes: 4, engines: 4, ended: []int{0}, hang: true}, true, 800 * time.Millisecond},
		"running":                              {&witnessFleet{nodes: 4, engines: 4}, false, 10 * time.Millisecond},
		"another process answers":              {&witnessFleet{nodes: 4, engines: 4, replaced: true}, true, 10 * time.Millisecond},
		"node is cut":                          {&witnessFleet{nodes: 4, engines: 4, cut: []int{0}}, false, 10 * time.Millisecond},
		"node is cut without resets":           {&witnessFleet{nodes: 4, engines: 4, cut: []int{0}, hang: true}, false, 400 * time.Millisecond},
		"node is cut, its engine ended":        {&witnessFleet{nodes: 4, engines: 4, cut: []int{0}, ended: []int{0}}, true, 20 * time.Millisecond},
		"most nodes are cut":                   {&witnessFleet{nodes: 4, engines: 4, cut: []int{0, 1, 2}}, false, 20 * time.Millisecond},
		"all nodes are cut":                    {&witnessFleet{nodes: 4, engines: 4, cut: []int{0, 1, 2, 3}}, false, 20 * time.Millisecond},
		"node knows the successor":             {&witnessFleet{nodes: 4, engines: 4, strangers: []int{0}}, true, 0},
		"only node":                            {&witnessFleet{nodes: 1, engines: 4, ended: []int{0}}, true, 10 * time.Millisecond},
		"only node is cut":                     {&witnessFleet{nodes: 1, engines: 4, cut: []int{0}}, false, 10 * time.Millisecond},
		"only engine":                          {&witnessFleet{nodes: 1, engines: 1, ended: []int{0}}, true, 10 * time.Millisecond},
		"only engine, reached by another":      {&witnessFleet{nodes: 2, engines: 1, cut: []int{0}}, false, 10 * time.Millisecond},
		"other nodes are silent":               {&witnessFleet{nodes: 4, engines: 4, ended: []int{0}, silent: []int{1, 2, 3}}, true, time.Second},
		"others are silent and node is cut":    {&witnessFleet{nodes: 4, engines: 4, cut: []int{0}, silent: []int{1, 2, 3}}, false, time.Second},
		"others know another process":          {&witnessFleet{nodes: 4, engines: 4, ended: []int{0}, strangers: []int{1, 2, 3}}, true, 10 * time.Millisecond},
		"cut, and others know another process": {&witnessFleet{nodes: 4, engines: 4, cut: []int{0}, strangers: []int{1, 2, 3}}, false, 10 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := group.New(t.Context()), tc.fleet
				w := f.start(g)
				lost := f.upstreams()[0]
				started := time.Now()
				callers := group.New(t.Context())
				for range 20 {
					callers.Go("caller", func(ctx context.Context) error {
						assert.Equal(t, tc.ended, w.Ended(ctx, lost))
						return nil
					})
				}
				require.NoError(t, callers.Wait())
				require.LessOrEqual(t, time.Since(started), tc.within)
				require.Equal(t, tc.ended, w.Ended(t.Context(), lost), "once more")
				perNode, total := f.countChecks()
				for node, count := range perNode {
					require.LessOrEqual(t, count, 1, "checks of the lost engine by n%d", node)
				}
				require.LessOrEqual(t, total, (1+maxWitnesses)*(1+maxControls))
				g.Stop()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// Guards against a caller that waits for an inquiry after its time has passed, and against
// an inquiry that ends with its first caller.
func TestInquiryOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := group.New(t.Context()), &witnessFleet{nodes: 2, engines: 2, ended: []int{0}, hang: true}
		w := f.start(g)
		lost := f.upstreams()[0]
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		started := time.Now()
		require.False(t, w.Ended(ctx, lost))
		require.LessOrEqual(t, time.Since(started), 20*time.Millisecond)
		require.True(t, w.Ended(t.Context(), lost))
		g.Stop()
		require.NoError(t, g.Wait())
	})
}
