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
	// detectionSeeds is the number of seeds with which each mechanism is disabled.
	detectionSeeds  = 8
	enginesPerCell  = 8
	chaosLoadLimit  = 3
	convergeTimeout = 15 * time.Minute
)

var (
	firstSeed = flag.Uint64("first-seed", 0, "first seed of TestRandom")
	seeds     = flag.Uint64("seeds", 40, "number of seeds of TestRandom")
)

// chaosRun is one run with randomised faults and configuration changes.
type chaosRun struct {
	*simulation
	random *rand.Rand
	store  *netem.Store
	nodes  []*node
	seed   uint64
	// ownerChanges counts the calls of node.setOwner, so that each reconciler gets
	// another seed.
	ownerChanges uint64
}

func newChaosRun(seed uint64, disabled disabledMechanisms) *chaosRun {
	sim := newSimulation(chaosLoadLimit, simLoadTime)
	c := &chaosRun{simulation: sim, random: rand.New(rand.NewPCG(seed, 1)), store: netem.NewStore(seed), seed: seed}
	c.store.SetLatency(5 * time.Millisecond)
	fencing := confd.FencingChecked
	if seed%4 != 0 {
		fencing = confd.FencingIgnored
	}
	for _, cell := range []string{"x", "y"} {
		for i := range enginesPerCell {
			checksFence := fencing == confd.FencingChecked || c.random.IntN(4) == 0
			sim.addEngine(fmt.Sprintf("%s%02d", cell, i), checksFence, seed, engine.Model{Name: "m", Version: "v1"}, engine.Model{Name: "n", Version: "v1"})
		}
	}
	sim.setConfig(Desired{Fencing: fencing, Models: map[string]confd.Model{
		"m": {Version: "v1", MinEngines: 5}, "n": {Version: "v1", MinEngines: 7, Adapters: []string{"a"}},
	}})
	for i := range 3 {
		n := newNode(string(rune('p'+i)), sim, c.store, func(o *Options) {
			o.LoadTimeout, o.disabled = time.Minute, disabled
		})
		n.configDelay = time.Duration(c.random.IntN(10)) * time.Second
		c.nodes = append(c.nodes, n)
	}
	return c
}

// setOwners runs the reconciler of a cell on the given nodes and on no others.
func (c *chaosRun) setOwners(cell string, owners ...int) {
	for i, n := range c.nodes {
		c.ownerChanges++
		n.setOwner(cell, slices.Contains(owners, i), c.seed+c.ownerChanges)
	}
}

func (c *chaosRun) changeConfig() {
	c.mu.Lock()
	last := c.configs[len(c.configs)-1]
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
	c.setConfig(next)
}

func (c *chaosRun) injectEvent() {
	percent := c.random.IntN(100)
	cell := []string{"x", "y"}[c.random.IntN(2)]
	name := fmt.Sprintf("%s%02d", cell, c.random.IntN(enginesPerCell))
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch {
	case percent < 10:
		c.changeConfig()
	case percent < 20:
		c.setOwners(cell, c.random.IntN(3))
	case percent < 30:
		c.setOwners(cell, c.random.IntN(3), c.random.IntN(3))
	case percent < 50:
		n.setPaused(true)
	case percent < 75:
		n.setPaused(false)
	case percent < 80:
		c.store.SetMode([]netem.Mode{netem.Down, netem.Silent}[c.random.IntN(2)])
	case percent < 90:
		c.store.SetMode(netem.Up)
		c.store.SetReplyLoss(0.3 * float64(c.random.IntN(2)))
	case percent < 93:
		c.mu.Lock()
		c.crash(name)
		c.mu.Unlock()
	case percent < 94:
		c.mu.Lock()
		for _, e := range slices.Sorted(maps.Keys(c.engines)) {
			if e[:1] == cell {
				c.crash(e)
			}
		}
		c.mu.Unlock()
	default:
		c.restartEngines()
	}
}

func (c *chaosRun) restartEngines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		e.running = true
	}
}

// setReplyLoss sets the probability that the answer to an order is lost.
func (c *chaosRun) setReplyLoss(p float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replyLoss = p
}

// run injects random events, ends all faults and returns the violations of the
// invariants.
func (c *chaosRun) run() []string {
	c.setReplyLoss(0.05)
	c.setOwners("x", 0)
	c.setOwners("y", 1)
	for range 250 {
		time.Sleep(time.Duration(200+c.random.IntN(5000)) * time.Millisecond)
		c.injectEvent()
	}
	c.setReplyLoss(0)
	c.store.SetMode(netem.Up)
	c.store.SetReplyLoss(0)
	c.restartEngines()
	for _, n := range c.nodes {
		n.setPaused(false)
	}
	c.setOwners("x", 2)
	c.setOwners("y", 0)
	if duration, ok := c.waitConverged(convergeTimeout); !ok {
		c.addViolation("state: not the desired one %s after the faults ended: %s", duration, c.describeState())
	}
	c.mu.Lock()
	// One redundant order is allowed for each lost reply and each fencing number.
	redundant, maxRedundant := c.redundant, c.lostReplies+len(c.acquiredAt)
	c.mu.Unlock()
	if redundant > maxRedundant {
		c.addViolation("orders: %d redundant, bound %d", redundant, maxRedundant)
	}
	c.changeWithoutFaults()
	for _, n := range c.nodes {
		n.close()
	}
	return c.violations
}

// describeState describes the owners and engines for failure messages.
func (c *chaosRun) describeState() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	description := fmt.Sprintf("want %+v", c.configs[len(c.configs)-1])
	for _, n := range c.nodes {
		for _, r := range n.reconcilers {
			description += fmt.Sprintf("; %s %+v", n.name, r.Snapshot())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		description += fmt.Sprintf("; %s %v", name, c.engines[name].models)
	}
	return description
}

// changeWithoutFaults changes a version without faults and checks that each engine
// receives two orders, one load and one unload.
func (c *chaosRun) changeWithoutFaults() {
	time.Sleep(time.Minute)
	c.mu.Lock()
	orders, last := c.orders, c.configs[len(c.configs)-1]
	c.mu.Unlock()
	next := Desired{Fencing: last.Fencing, Models: maps.Clone(last.Models)}
	m := next.Models["m"]
	m.Version = "v9"
	next.Models["m"] = m
	c.setConfig(next)
	if duration, ok := c.waitConverged(convergeTimeout); !ok {
		c.addViolation("state: change without faults not complete after %s", duration)
		return
	}
	time.Sleep(time.Minute)
	if got, want := c.deliveredOrders()-orders, 2*len(c.engines); got != want {
		c.addViolation("orders: %d for a change without faults, want %d", got, want)
	}
}

// runChaos returns the violations of one run in virtual time.
func runChaos(t *testing.T, seed uint64, disabled disabledMechanisms) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newChaosRun(seed, disabled)
		g := group.New(t.Context())
		g.Go("samples", c.sampleLoop)
		violations = c.run()
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return violations
}

// Guards against orders that reduce a model below its minimum number of engines,
// exceed the limit on concurrent loads, are repeated needlessly, or never lead to
// the desired state.
func TestRandom(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		require.Empty(t, runChaos(t, seed, disabledMechanisms{}), "seed %d", seed)
	}
}

// Guards against randomised runs in which a disabled safety mechanism goes undetected.
func TestRandomDetectsDisabledMechanism(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"fencing": {fencing: true}, "permits": {permits: true},
		"load before unload": {loadBeforeUnload: true}, "retry pause": {retryPause: true},
	} {
		t.Run(name, func(t *testing.T) {
			failed, kinds := 0, map[string]int{}
			for seed := range uint64(detectionSeeds) {
				violations := runChaos(t, seed, disabled)
				failed += min(1, len(violations))
				for _, violation := range violations {
					kinds[strings.SplitN(violation, ":", 2)[0]]++
				}
			}
			t.Logf("%d of %d seeds fail: %v", failed, detectionSeeds, kinds)
			require.Positive(t, failed)
		})
	}
}
