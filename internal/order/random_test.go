package order

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	variantSeeds = 8
	cellSize     = 8
	randomLimit  = 3
	settleWithin = 15 * time.Minute
)

var (
	firstSeed = flag.Uint64("first-seed", 0, "first seed of TestRandom")
	seeds     = flag.Uint64("seeds", 40, "number of seeds of TestRandom")
)

// chaos is one randomised run.
type chaos struct {
	*world
	random *rand.Rand
	store  *netem.Store
	nodes  []*node
	seed   uint64
	// starts numbers the starts of reconcilers.
	starts uint64
}

func newChaos(seed uint64, off without) *chaos {
	w := newWorld(randomLimit, worldLoadTime)
	c := &chaos{world: w, random: rand.New(rand.NewPCG(seed, 1)), store: netem.NewStore(seed), seed: seed}
	c.store.SetLatency(5 * time.Millisecond)
	fencing := confd.FencingChecked
	if seed%4 != 0 {
		fencing = confd.FencingIgnored
	}
	for _, cell := range []string{"x", "y"} {
		for i := range cellSize {
			checks := fencing == confd.FencingChecked || c.random.IntN(4) == 0
			w.add(fmt.Sprintf("%s%02d", cell, i), checks, seed, engine.Model{Name: "m", Version: "v1"}, engine.Model{Name: "n", Version: "v1"})
		}
	}
	w.set(Desired{Fencing: fencing, Models: map[string]confd.Model{
		"m": {Version: "v1", MinEngines: 5}, "n": {Version: "v1", MinEngines: 7, Adapters: []string{"a"}},
	}})
	for i := range 3 {
		n := newNode(string(rune('p'+i)), w, c.store, func(o *Options) {
			o.LoadTimeout, o.without = time.Minute, off
		})
		n.delay = time.Duration(c.random.IntN(10)) * time.Second
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (c *chaos) own(cell string, owners ...int) {
	for i, n := range c.nodes {
		c.starts++
		n.own(cell, slices.Contains(owners, i), c.seed+c.starts)
	}
}

func (c *chaos) change() {
	c.mu.Lock()
	last := c.docs[len(c.docs)-1]
	c.mu.Unlock()
	next := Desired{Fencing: last.Fencing, Models: maps.Clone(last.Models)}
	name := []string{"m", "n", "o"}[c.random.IntN(3)]
	m, ok := next.Models[name]
	if name == "o" && ok {
		delete(next.Models, name)
	} else {
		m.Version = fmt.Sprintf("v%d", 1+c.random.IntN(3))
		m.MinEngines = 5 + c.random.IntN(3)
		next.Models[name] = m
	}
	c.set(next)
}

func (c *chaos) event() {
	pick := c.random.IntN(100)
	cell := []string{"x", "y"}[c.random.IntN(2)]
	name := fmt.Sprintf("%s%02d", cell, c.random.IntN(cellSize))
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch {
	case pick < 10:
		c.change()
	case pick < 20:
		c.own(cell, c.random.IntN(3))
	case pick < 30:
		c.own(cell, c.random.IntN(3), c.random.IntN(3))
	case pick < 50:
		n.pause(true)
	case pick < 75:
		n.pause(false)
	case pick < 80:
		c.store.SetMode([]netem.Mode{netem.Down, netem.Silent}[c.random.IntN(2)])
	case pick < 90:
		c.store.SetMode(netem.Up)
		c.store.SetReplyLoss(0.3 * float64(c.random.IntN(2)))
	case pick < 93:
		c.mu.Lock()
		c.kill(name)
		c.mu.Unlock()
	case pick < 94:
		c.mu.Lock()
		for _, e := range slices.Sorted(maps.Keys(c.engines)) {
			if e[:1] == cell {
				c.kill(e)
			}
		}
		c.mu.Unlock()
	default:
		c.revive()
	}
}

func (c *chaos) revive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.engines {
		u.alive = true
	}
}

// lose sets the probability that the answer to an order is lost.
func (c *chaos) lose(p float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostReply = p
}

// run returns the violated invariants.
func (c *chaos) run() []string {
	c.lose(0.05)
	c.own("x", 0)
	c.own("y", 1)
	for range 250 {
		time.Sleep(time.Duration(200+c.random.IntN(5000)) * time.Millisecond)
		c.event()
	}
	c.lose(0)
	c.store.SetMode(netem.Up)
	c.store.SetReplyLoss(0)
	c.revive()
	for _, n := range c.nodes {
		n.pause(false)
	}
	c.own("x", 2)
	c.own("y", 0)
	if took, ok := c.until(settleWithin); !ok {
		c.fail("state: not the desired one %s after the faults ended: %s", took, c.state())
	}
	c.mu.Lock()
	redundant, bound := c.redundant, c.lost+len(c.taken)
	c.mu.Unlock()
	if redundant > bound {
		c.fail("orders: %d redundant, bound %d", redundant, bound)
	}
	c.quiet()
	for _, n := range c.nodes {
		n.close()
	}
	return c.violations
}

// state describes the owners and the engines for the message of a failure.
func (c *chaos) state() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := fmt.Sprintf("want %+v", c.docs[len(c.docs)-1])
	for _, n := range c.nodes {
		for _, r := range n.runs {
			out += fmt.Sprintf("; %s %+v", n.name, r.Snapshot())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		out += fmt.Sprintf("; %s %v", name, c.engines[name].models)
	}
	return out
}

// quiet changes a version without faults and counts the orders.
func (c *chaos) quiet() {
	time.Sleep(time.Minute)
	c.mu.Lock()
	orders, last := c.orders, c.docs[len(c.docs)-1]
	c.mu.Unlock()
	next := Desired{Fencing: last.Fencing, Models: maps.Clone(last.Models)}
	m := next.Models["m"]
	m.Version = "v9"
	next.Models["m"] = m
	c.set(next)
	if took, ok := c.until(settleWithin); !ok {
		c.fail("state: quiet change not complete after %s", took)
		return
	}
	time.Sleep(time.Minute)
	if got, want := c.sentOrders()-orders, 2*len(c.engines); got != want {
		c.fail("orders: %d for a change without faults, want %d", got, want)
	}
}

func violations(t *testing.T, seed uint64, off without) (out []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newChaos(seed, off)
		g := group.New(t.Context())
		g.Go("samples", c.sampleLoop)
		out = c.run()
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return out
}

// Guards against orders that undercut the capacity, exceed the limit of loads,
// are doubled needlessly, or never reach the desired state.
func TestRandom(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		require.Empty(t, violations(t, seed, without{}), "seed %d", seed)
	}
}

// Guards against a randomised run that would not notice the loss of a mechanism.
func TestRandomWithout(t *testing.T) {
	for name, off := range map[string]without{
		"fence": {fence: true}, "permits": {permits: true},
		"load first": {loadFirst: true}, "pause": {pause: true},
	} {
		t.Run(name, func(t *testing.T) {
			failed, kinds := 0, map[string]int{}
			for seed := range uint64(variantSeeds) {
				v := violations(t, seed, off)
				failed += min(1, len(v))
				for _, line := range v {
					kinds[strings.SplitN(line, ":", 2)[0]]++
				}
			}
			t.Logf("%d of %d seeds fail: %v", failed, variantSeeds, kinds)
			require.Positive(t, failed)
		})
	}
}
