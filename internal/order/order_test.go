package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const seed = 7

// runSimulation runs fn in virtual time while the engines produce load reports.
func runSimulation(t *testing.T, sim *simulation, fn func(store *netem.Store)) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		g.Go("samples", sim.sampleLoop)
		store := netem.NewStore(seed)
		store.SetLatency(5 * time.Millisecond)
		fn(store)
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

func addEngines(sim *simulation, cell string, size int, versions ...string) {
	for i := range size {
		loaded := make([]engine.Model, 0, len(versions))
		for _, v := range versions {
			loaded = append(loaded, engine.Model{Name: "m", Version: v})
		}
		sim.addEngine(fmt.Sprintf("%s%03d", cell, i), false, seed, loaded...)
	}
}

func desired(version string, minEngines int) Desired {
	return Desired{Fencing: confd.FencingIgnored, Models: modelConfig(version, minEngines)}
}

// handover starts an owner whose configuration requires version v1 of a model and,
// one offset later, a second owner whose configuration requires v2. The engines have
// both versions. Each order of the first owner arrives after the additional delay.
func handover(t *testing.T, offset time.Duration, disabled disabledMechanisms, delay time.Duration) *simulation {
	sim := newSimulation(8, simLoadTime)
	addEngines(sim, "x", 8, "v1", "v2")
	runSimulation(t, sim, func(store *netem.Store) {
		sim.setConfig(desired("v1", 8))
		time.Sleep(maxConfigDelay + time.Second)
		sim.extraDelay = func(o engine.Order) time.Duration {
			if o.Fence == 1 {
				return delay
			}
			return 0
		}
		configure := func(o *Options) { o.disabled = disabled }
		first, second := newNode("p", sim, store, configure), newNode("q", sim, store, configure)
		first.configDelay = time.Hour
		first.setOwner("x", true, seed)
		time.Sleep(offset)
		sim.setConfig(desired("v2", 8))
		second.setOwner("x", true, seed)
		time.Sleep(8 * time.Second)
		first.setOwner("x", false, seed)
		if _, ok := sim.waitConverged(5 * time.Minute); !ok {
			sim.addViolation("state: not the desired one")
		}
		first.close()
		second.close()
	})
	return sim
}

// Guards against a new owner that acts on reports made before the last orders of
// the earlier owner took effect. The earlier owner then unloads one version of a
// model and the new owner the other.
func TestHandover(t *testing.T) {
	for name, tt := range map[string]struct {
		disabled disabledMechanisms
		fails    bool
	}{"with all mechanisms": {}, "without barrier": {disabledMechanisms{barrier: true}, true}, "without fencing": {disabledMechanisms{fencing: true}, true}} {
		t.Run(name, func(t *testing.T) {
			failed, violations, runs := 0, 0, 0
			for offset := time.Duration(0); offset < 12*time.Second; offset += 250 * time.Millisecond {
				sim := handover(t, offset, tt.disabled, 0)
				runs++
				failed += min(1, len(sim.violations))
				violations += len(sim.violations)
			}
			t.Logf("%d of %d offsets fail, %d violations", failed, runs, violations)
			require.Equal(t, tt.fails, failed > 0)
		})
	}
}

// Guards against a wrong state that persists after an order has arrived long after
// its deadline at an engine that ignores fencing numbers. The reconciler cannot
// prevent the engine from executing such an order. Engines may lack a model for a
// time, but the desired state is restored.
func TestLateOrder(t *testing.T) {
	affected := 0
	for offset := 4 * time.Second; offset < 12*time.Second; offset += 250 * time.Millisecond {
		sim := handover(t, offset, disabledMechanisms{}, 9*time.Second)
		for _, violation := range sim.violations {
			require.NotContains(t, violation, "state:")
		}
		require.LessOrEqual(t, len(sim.violations), 2*8)
		affected += min(1, len(sim.violations))
	}
	t.Logf("violations for a time at %d of 32 offsets", affected)
	require.Positive(t, affected)
}

// rollout changes the version of a cell's model. It returns the simulation, the
// duration of the roll-out, the calls to the platform (Get and Put count from the
// change on), and the reconciler's state after the roll-out. If rejected is set, the
// engines refuse the new version and the configuration returns to the old one.
func rollout(t *testing.T, size int, rejected bool, disabled disabledMechanisms) (sim *simulation, duration time.Duration, calls netem.Calls, state Snapshot) {
	sim = newSimulation(defaultLoadLimit, 30*time.Second)
	addEngines(sim, "x", size, "v1")
	if rejected {
		sim.rejectedVersion = "v2"
	}
	runSimulation(t, sim, func(store *netem.Store) {
		sim.setConfig(desired("v1", size))
		n := newNode("p", sim, store, func(o *Options) { o.disabled = disabled })
		n.setOwner("x", true, seed)
		time.Sleep(maxConfigDelay + time.Second)
		callsBefore := store.Calls()
		sim.setConfig(desired("v2", size))
		limit := time.Hour
		if rejected {
			limit = 10 * time.Minute
		}
		duration, _ = sim.waitConverged(limit)
		time.Sleep(10 * time.Second)
		calls = store.Calls()
		calls.Get, calls.Put = calls.Get-callsBefore.Get, calls.Put-callsBefore.Put
		state = n.reconcilers["x"].Snapshot()
		if rejected {
			sim.setConfig(desired("v1", size))
			if _, ok := sim.waitConverged(time.Minute); !ok {
				sim.addViolation("state: not rolled back")
			}
		}
		n.close()
	})
	return sim, duration, calls, state
}

// Guards against a roll-out that reduces capacity, changes more engines at a time
// than RolloutShare, or repeats orders. The test log reports durations and counts.
func TestRollout(t *testing.T) {
	for _, size := range []int{16, 32, 64} {
		sim, duration, calls, _ := rollout(t, size, false, disabledMechanisms{})
		t.Logf("%d engines: %s, %d platform calls (%d get, %d put), %d orders, %d changing at most", size, duration, calls.Total(), calls.Get, calls.Put, sim.orders, sim.maxChanging)
		require.Empty(t, sim.violations)
		require.True(t, sim.converged())
		require.Equal(t, 2*size, sim.orders)
		require.LessOrEqual(t, sim.maxChanging, int(defaultRolloutShare*float64(size)))
		unbounded, duration, calls, _ := rollout(t, size, false, disabledMechanisms{rolloutShare: true})
		t.Logf("without share: %s, %d platform calls, %d changing at most", duration, calls.Total(), unbounded.maxChanging)
		require.Greater(t, unbounded.maxChanging, sim.maxChanging)
	}
}

// Guards against a roll-out that continues after an engine refused the new version.
func TestRolloutStops(t *testing.T) {
	countTried := func(sim *simulation) (n int) {
		for _, e := range sim.engines {
			n += min(1, e.orders)
		}
		return n
	}
	sim, _, _, state := rollout(t, 16, true, disabledMechanisms{})
	require.Empty(t, sim.violations)
	require.Len(t, state.Stopped, 1)
	require.Equal(t, "v1", state.Stopped[0].Previous)
	require.Equal(t, 1, countTried(sim))
	sim, _, _, _ = rollout(t, 16, true, disabledMechanisms{stopOnFailure: true})
	t.Logf("without stop: %d of 16 engines tried", countTried(sim))
	require.Greater(t, countTried(sim), 1)
}

// domainReturn starts 233 engines without any model at the same time, in four cells
// of at most 59 engines, as after the return of a failure domain.
func domainReturn(t *testing.T, disabled disabledMechanisms) (sim *simulation, duration time.Duration, calls netem.Calls, maxCallsPerSecond int) {
	sim = newSimulation(defaultLoadLimit, 30*time.Second)
	sizes := map[string]int{"w": 59, "x": 58, "y": 58, "z": 58}
	for _, cell := range []string{"w", "x", "y", "z"} {
		addEngines(sim, cell, sizes[cell])
	}
	runSimulation(t, sim, func(store *netem.Store) {
		sim.setConfig(desired("v1", 40))
		nodes := make([]*node, 0, len(sizes))
		for i, cell := range []string{"w", "x", "y", "z"} {
			n := newNode(string(rune('a'+i)), sim, store, func(o *Options) { o.disabled = disabled })
			n.setOwner(cell, true, seed)
			nodes = append(nodes, n)
		}
		g := group.New(context.Background())
		g.Go("rate", func(ctx context.Context) error {
			for previous := 0; ctx.Err() == nil; {
				time.Sleep(time.Second)
				now := store.Calls().Total()
				maxCallsPerSecond, previous = max(maxCallsPerSecond, now-previous), now
			}
			return nil
		})
		duration, _ = sim.waitConverged(2 * time.Hour)
		time.Sleep(10 * time.Second)
		g.Stop()
		require.NoError(t, g.Wait())
		calls = store.Calls()
		for _, n := range nodes {
			n.close()
		}
	})
	return sim, duration, calls, maxCallsPerSecond
}

// Guards against more than LoadLimit concurrent loads from the weight store when
// all engines of a failure domain return without models. The test log reports
// durations and counts.
func TestDomainReturn(t *testing.T) {
	sim, duration, calls, maxCallsPerSecond := domainReturn(t, disabledMechanisms{})
	t.Logf("233 engines: %s, %d platform calls (%d get, %d put), at most %d in a second, %d orders, %d loads in flight at most", duration, calls.Total(), calls.Get, calls.Put, maxCallsPerSecond, sim.orders, sim.maxInFlight)
	require.Empty(t, sim.violations)
	require.True(t, sim.converged())
	require.Equal(t, 233, sim.orders)
	sim, duration, calls, _ = domainReturn(t, disabledMechanisms{permits: true})
	t.Logf("without permits: %s, %d platform calls, %d loads in flight at most", duration, calls.Total(), sim.maxInFlight)
	require.Greater(t, sim.maxInFlight, defaultLoadLimit)
}

// Guards against a roll-out stop that the next owner of the cell does not know, or
// that Resume does not lift.
func TestStopOutlivesOwner(t *testing.T) {
	sim := newSimulation(defaultLoadLimit, 30*time.Second)
	addEngines(sim, "x", 8, "v1")
	sim.rejectedVersion = "v2"
	runSimulation(t, sim, func(store *netem.Store) {
		sim.setConfig(desired("v2", 8))
		first, second := newNode("p", sim, store, nil), newNode("q", sim, store, nil)
		first.setOwner("x", true, seed)
		time.Sleep(time.Minute)
		first.close()
		require.Equal(t, 1, sim.deliveredOrders())
		second.setOwner("x", true, seed)
		time.Sleep(5 * time.Minute)
		require.Equal(t, 1, sim.deliveredOrders())
		second.reconcilers["x"].Resume("m")
		time.Sleep(5 * time.Minute)
		require.Equal(t, 2, sim.deliveredOrders())
		require.Len(t, second.reconcilers["x"].Snapshot().Stopped, 1)
		second.close()
	})
}
