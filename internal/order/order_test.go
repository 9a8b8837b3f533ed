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

// within runs fn in virtual time while the engines report.
func within(t *testing.T, w *world, fn func(store *netem.Store)) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		g.Go("samples", w.sampleLoop)
		store := netem.NewStore(seed)
		store.SetLatency(5 * time.Millisecond)
		fn(store)
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

func fill(w *world, cell string, size int, versions ...string) {
	for i := range size {
		loaded := make([]engine.Model, 0, len(versions))
		for _, v := range versions {
			loaded = append(loaded, engine.Model{Name: "m", Version: v})
		}
		w.add(fmt.Sprintf("%s%03d", cell, i), false, seed, loaded...)
	}
}

func desired(version string, least int) Desired {
	return Desired{Fencing: confd.FencingIgnored, Models: models(version, least)}
}

// handover runs an owner that wants v1 and, after an offset, one that wants v2,
// on engines that have both.
func handover(t *testing.T, offset time.Duration, off without, late time.Duration) *world {
	w := newWorld(8, worldLoadTime)
	fill(w, "x", 8, "v1", "v2")
	within(t, w, func(store *netem.Store) {
		w.set(desired("v1", 8))
		time.Sleep(worldSpread + time.Second)
		w.late = func(o engine.Order) time.Duration {
			if o.Fence == 1 {
				return late
			}
			return 0
		}
		tune := func(o *Options) { o.without = off }
		first, second := newNode("p", w, store, tune), newNode("q", w, store, tune)
		first.delay = time.Hour
		first.own("x", true, seed)
		time.Sleep(offset)
		w.set(desired("v2", 8))
		second.own("x", true, seed)
		time.Sleep(8 * time.Second)
		first.own("x", false, seed)
		if _, ok := w.until(5 * time.Minute); !ok {
			w.fail("state: not the desired one")
		}
		first.close()
		second.close()
	})
	return w
}

// Guards against a new owner that acts on reports from before the last orders of
// the earlier owner: the two unload both versions of a model.
func TestHandover(t *testing.T) {
	for name, tt := range map[string]struct {
		off   without
		fails bool
	}{"complete": {}, "without barrier": {without{barrier: true}, true}, "without fence": {without{fence: true}, true}} {
		t.Run(name, func(t *testing.T) {
			failed, lost, runs := 0, 0, 0
			for offset := time.Duration(0); offset < 12*time.Second; offset += 250 * time.Millisecond {
				w := handover(t, offset, tt.off, 0)
				runs++
				failed += min(1, len(w.violations))
				lost += len(w.violations)
			}
			t.Logf("%d of %d offsets fail, %d violations", failed, runs, lost)
			require.Equal(t, tt.fails, failed > 0)
		})
	}
}

// Guards against lasting harm of what no rule on this side prevents: an order
// that arrives long after its deadline at an engine that ignores the number.
func TestLateOrder(t *testing.T) {
	hit := 0
	for offset := 4 * time.Second; offset < 12*time.Second; offset += 250 * time.Millisecond {
		w := handover(t, offset, without{}, 9*time.Second)
		for _, v := range w.violations {
			require.NotContains(t, v, "state:")
		}
		require.LessOrEqual(t, len(w.violations), 2*8)
		hit += min(1, len(w.violations))
	}
	t.Logf("%d of 32 offsets lose engines for a time", hit)
	require.Positive(t, hit)
}

// rollout changes the version of a cell and returns the time it takes.
func rollout(t *testing.T, size int, bad bool, off without) (w *world, took time.Duration, calls netem.Calls, state Snapshot) {
	w = newWorld(defaultLoadLimit, 30*time.Second)
	fill(w, "x", size, "v1")
	if bad {
		w.bad = "v2"
	}
	within(t, w, func(store *netem.Store) {
		w.set(desired("v1", size))
		n := newNode("p", w, store, func(o *Options) { o.without = off })
		n.own("x", true, seed)
		time.Sleep(worldSpread + time.Second)
		before := store.Calls()
		w.set(desired("v2", size))
		limit := time.Hour
		if bad {
			limit = 10 * time.Minute
		}
		took, _ = w.until(limit)
		time.Sleep(10 * time.Second)
		calls = store.Calls()
		calls.Get, calls.Put = calls.Get-before.Get, calls.Put-before.Put
		state = n.runs["x"].Snapshot()
		if bad {
			w.set(desired("v1", size))
			if _, ok := w.until(time.Minute); !ok {
				w.fail("state: not rolled back")
			}
		}
		n.close()
	})
	return w, took, calls, state
}

// Guards against a roll-out that costs capacity, changes more engines at a time
// than its share, or repeats orders. The log gives the measures.
func TestRollout(t *testing.T) {
	for _, size := range []int{16, 32, 64} {
		w, took, calls, _ := rollout(t, size, false, without{})
		t.Logf("%d engines: %s, %d platform calls (%d get, %d put), %d orders, %d changing at most", size, took, calls.Total(), calls.Get, calls.Put, w.orders, w.changing)
		require.Empty(t, w.violations)
		require.True(t, w.converged())
		require.Equal(t, 2*size, w.orders)
		require.LessOrEqual(t, w.changing, int(defaultShare*float64(size)))
		all, took, calls, _ := rollout(t, size, false, without{share: true})
		t.Logf("without share: %s, %d platform calls, %d changing at most", took, calls.Total(), all.changing)
		require.Greater(t, all.changing, w.changing)
	}
}

// Guards against a roll-out that goes on after an engine failed.
func TestRolloutStops(t *testing.T) {
	tried := func(w *world) (n int) {
		for _, u := range w.engines {
			n += min(1, u.orders)
		}
		return n
	}
	w, _, _, state := rollout(t, 16, true, without{})
	require.Empty(t, w.violations)
	require.Len(t, state.Stopped, 1)
	require.Equal(t, "v1", state.Stopped[0].Previous)
	require.Equal(t, 1, tried(w))
	w, _, _, _ = rollout(t, 16, true, without{stop: true})
	t.Logf("without stop: %d of 16 engines tried", tried(w))
	require.Greater(t, tried(w), 1)
}

// domainReturn has engines in cells of at most 59 return empty at once.
func domainReturn(t *testing.T, off without) (w *world, took time.Duration, calls netem.Calls, busiest int) {
	w = newWorld(defaultLoadLimit, 30*time.Second)
	sizes := map[string]int{"w": 59, "x": 58, "y": 58, "z": 58}
	for _, cell := range []string{"w", "x", "y", "z"} {
		fill(w, cell, sizes[cell])
	}
	within(t, w, func(store *netem.Store) {
		w.set(desired("v1", 40))
		nodes := make([]*node, 0, len(sizes))
		for i, cell := range []string{"w", "x", "y", "z"} {
			n := newNode(string(rune('a'+i)), w, store, func(o *Options) { o.without = off })
			n.own(cell, true, seed)
			nodes = append(nodes, n)
		}
		g := group.New(context.Background())
		g.Go("rate", func(ctx context.Context) error {
			for last := 0; ctx.Err() == nil; {
				time.Sleep(time.Second)
				now := store.Calls().Total()
				busiest, last = max(busiest, now-last), now
			}
			return nil
		})
		took, _ = w.until(2 * time.Hour)
		time.Sleep(10 * time.Second)
		g.Stop()
		require.NoError(t, g.Wait())
		calls = store.Calls()
		for _, n := range nodes {
			n.close()
		}
	})
	return w, took, calls, busiest
}

// Guards against a stampede on the weight store when a failure domain returns.
// The log gives the measures.
func TestDomainReturn(t *testing.T) {
	w, took, calls, busiest := domainReturn(t, without{})
	t.Logf("233 engines: %s, %d platform calls (%d get, %d put), at most %d in a second, %d orders, %d loads in flight at most", took, calls.Total(), calls.Get, calls.Put, busiest, w.orders, w.most)
	require.Empty(t, w.violations)
	require.True(t, w.converged())
	require.Equal(t, 233, w.orders)
	w, took, calls, _ = domainReturn(t, without{permits: true})
	t.Logf("without permits: %s, %d platform calls, %d loads in flight at most", took, calls.Total(), w.most)
	require.Greater(t, w.most, defaultLoadLimit)
}

// Guards against a stop that the next owner of the cell does not know, and one
// that an operator cannot lift.
func TestStopOutlivesOwner(t *testing.T) {
	w := newWorld(defaultLoadLimit, 30*time.Second)
	fill(w, "x", 8, "v1")
	w.bad = "v2"
	within(t, w, func(store *netem.Store) {
		w.set(desired("v2", 8))
		first, second := newNode("p", w, store, nil), newNode("q", w, store, nil)
		first.own("x", true, seed)
		time.Sleep(time.Minute)
		first.close()
		require.Equal(t, 1, w.sentOrders())
		second.own("x", true, seed)
		time.Sleep(5 * time.Minute)
		require.Equal(t, 1, w.sentOrders())
		second.runs["x"].Resume("m")
		time.Sleep(5 * time.Minute)
		require.Equal(t, 2, w.sentOrders())
		require.Len(t, second.runs["x"].Snapshot().Stopped, 1)
		second.close()
	})
}
