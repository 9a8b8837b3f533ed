package config

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// A longer run: go test ./internal/config -run TestProof -seeds 200 -episodes 30
var (
	flagSeeds    = flag.Int("seeds", 4, "number of randomised runs")
	flagFirst    = flag.Uint64("first", 1, "seed of the first run")
	flagEpisodes = flag.Int("episodes", 8, "number of faults in each run")
)

const (
	// ownerTime is the guaranteed time limit for the nodes to agree on one owner
	// per cell.
	ownerTime = 10 * time.Second
	// acceptTime is the guaranteed time limit for a configuration to be in force
	// on all nodes.
	acceptTime = 13 * time.Second
	// leaveTime is the guaranteed time limit for all nodes to know that a node
	// leaves.
	leaveTime = 5 * time.Second
	// settleTime is how long after the end of a fault a death may still be
	// caused by it.
	settleTime = 15 * time.Second
)

// proofRun is one randomised run.
type proofRun struct {
	*fleet
	t testing.TB
	// contents and revision are those of the last successful Apply.
	contents map[string][]byte
	// writes counts the calls of Apply.
	writes   int
	revision uint64
	// applied holds the Attempt of each successful Apply, by revision.
	applied  map[uint64]string
	duration time.Duration
}

// episodes are the faults by name. Each function starts its fault. The run then
// checks the guarantees during the fault, ends it and checks them again.
var episodes = map[string]func(p *proofRun){
	"none":  func(*proofRun) {},
	"kill":  func(p *proofRun) { p.killNodes(1 + p.random.IntN(max(1, len(p.nodes)/2))) },
	"pause": func(p *proofRun) { p.forRandomNodes(1+p.random.IntN(max(1, len(p.nodes)/3)), p.net.Pause) },
	"partition": func(p *proofRun) {
		p.allowDeaths(time.Hour, p.nodes...)
		names := p.shuffledNames()
		size := 1 + p.random.IntN(len(names)-1)
		p.net.Partition(names[:size], names[size:])
	},
	"cut between pairs": func(p *proofRun) {
		names := p.shuffledNames()
		for i := 0; i+1 < len(names)/2; i += 2 {
			p.net.CutBoth(names[i], names[i+1])
		}
	},
	"one-way cut between pairs": func(p *proofRun) {
		names := p.shuffledNames()
		for i := 0; i+1 < len(names)/2; i += 2 {
			p.net.Cut(names[i], names[i+1])
		}
	},
	"one-way cut towards one": func(p *proofRun) {
		names := p.shuffledNames()
		p.forRandomNodes(0, nil)
		for _, name := range names[1:] {
			p.net.Cut(name, names[0])
		}
		p.allowDeaths(time.Hour, p.nodeNamed(names[0]))
	},
	"platform down":          func(p *proofRun) { p.store.SetMode(netem.Down) },
	"platform silent":        func(p *proofRun) { p.store.SetMode(netem.Silent) },
	"platform slow":          func(p *proofRun) { p.store.SetLatency(2 * time.Second) },
	"platform loses replies": func(p *proofRun) { p.store.SetReplyLoss(0.4) },
	"restart while the platform is down": func(p *proofRun) {
		p.store.SetMode(netem.Down)
		p.killNodes(1 + p.random.IntN(max(1, len(p.nodes)/2)))
		time.Sleep(time.Duration(p.random.Int64N(int64(20 * time.Second))))
		p.restartNodes()
	},
	"leave": func(p *proofRun) { p.leaveNode() },
	"partition and platform down": func(p *proofRun) {
		p.allowDeaths(time.Hour, p.nodes...)
		p.store.SetMode(netem.Down)
		names := p.shuffledNames()
		p.net.Partition(names[:len(names)/2], names[len(names)/2:])
	},
}

// shuffledNames returns the names of all nodes in random order.
func (p *proofRun) shuffledNames() []string {
	names := make([]string, len(p.nodes))
	for i, j := range p.random.Perm(len(p.nodes)) {
		names[i] = p.nodes[j].name
	}
	return names
}

func (p *proofRun) nodeNamed(name string) *node {
	return p.nodes[slices.IndexFunc(p.nodes, func(n *node) bool { return n.name == name })]
}

// forRandomNodes calls do with the names of randomly chosen nodes, for which it
// allows deaths.
func (p *proofRun) forRandomNodes(count int, do func(name string)) {
	for _, name := range p.shuffledNames()[:count] {
		p.allowDeaths(time.Hour, p.nodeNamed(name))
		do(name)
	}
}

func (p *proofRun) killNodes(count int) {
	p.forRandomNodes(count, func(name string) {
		p.nodeNamed(name).down = true
		p.net.Kill(name)
	})
}

func (p *proofRun) restartNodes() {
	for i, n := range p.nodes {
		if n.down {
			p.allowDeaths(settleTime, n)
			p.start(i)
		}
	}
}

// leaveNode makes one node leave and checks that all others know of it within
// leaveTime. The node then stops, and restarts after the episode, like a host
// that is replaced.
func (p *proofRun) leaveNode() {
	n := p.nodeNamed(p.shuffledNames()[0])
	p.allowDeaths(time.Hour, n)
	ctx, cancel := context.WithTimeout(p.t.Context(), leaveTime)
	defer cancel()
	if err := n.table.Leave(ctx); err != nil {
		p.reportProblem("%s: leave: %v", n.name, err)
	}
	n.left = true
	time.Sleep(leaveTime)
	for _, other := range p.liveNodes() {
		for _, m := range other.table.Members() {
			if m.Name == n.name && m.State != member.Leaving {
				p.reportProblem("%s sees %s as %s after it left", other.name, n.name, m.State)
			}
		}
	}
	n.down = true
	p.net.Kill(n.name)
}

// endFaults ends all faults and restarts the nodes that are down.
func (p *proofRun) endFaults() {
	p.net.RemoveCuts()
	p.store.SetMode(netem.Up)
	p.store.SetLatency(3 * time.Millisecond)
	p.store.SetReplyLoss(0)
	for _, n := range p.nodes {
		p.net.Resume(n.name)
	}
	p.mu.Lock()
	for name, until := range p.deathsAllowedUntil {
		if time.Now().Before(until) {
			p.deathsAllowedUntil[name] = time.Now().Add(settleTime)
		}
	}
	p.mu.Unlock()
	p.restartNodes()
}

// applyConcurrently makes one to three operators apply different contents on the
// same base at once.
func (p *proofRun) applyConcurrently(label string, platformUp bool) {
	live := p.liveNodes()
	count := 1 + p.random.IntN(3)
	base := p.revision
	results := make([]error, count)
	manifests := make([]Manifest, count)
	g := group.New(p.t.Context())
	var mu sync.Mutex
	for i := range count {
		p.writes++
		contents := map[string][]byte{}
		for name, content := range p.contents {
			contents[name] = content
		}
		contents[fmt.Sprintf("organisations-%02d", p.random.IntN(8))] = fmt.Appendf(nil, "write %d", p.writes)
		manager := live[p.random.IntN(len(live))].manager
		g.Go("operator", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			m, err := manager.Apply(ctx, base, contents, fmt.Sprintf("operator-%d", i))
			results[i], manifests[i] = err, m
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				p.contents = contents
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		p.reportProblem("%s: operator: %v", label, err)
	}
	p.checkResults(label, platformUp, results, manifests)
}

// checkResults checks that exactly one of the concurrent operators succeeded, or
// at most one while the platform is not fully up.
func (p *proofRun) checkResults(label string, platformUp bool, results []error, manifests []Manifest) {
	succeeded := 0
	for i, err := range results {
		switch {
		case err == nil:
			succeeded++
			if other, ok := p.applied[manifests[i].Revision]; ok {
				p.reportProblem("%s: revision %d applied by %s and %s", label, manifests[i].Revision, other, manifests[i].Attempt)
			}
			p.applied[manifests[i].Revision] = manifests[i].Attempt
			p.revision = manifests[i].Revision
		case fault.Is(err, fault.Conflict):
			if manifests[i].Revision != p.revision && manifests[i].Revision != p.revision+1 {
				p.reportProblem("%s: conflict names revision %d", label, manifests[i].Revision)
			}
		case platformUp || !fault.Is(err, fault.PlatformDown):
			p.reportProblem("%s: apply: %v", label, err)
		}
	}
	if succeeded > 1 || platformUp && succeeded != 1 {
		p.reportProblem("%s: %d operators of %d succeeded: %v", label, succeeded, len(results), results)
	}
}

// runProof runs count episodes in a fleet. It chooses them at random from those
// named in only. Without names it chooses from all episodes and adds a second
// fault to some.
func runProof(t *testing.T, seed uint64, nodes, count int, link netem.Link, m member.Mechanism, c Mechanism, only ...string) *proofRun {
	p := &proofRun{contents: map[string][]byte{"services": []byte("services"), "models": []byte("models")}, applied: map[uint64]string{}}
	synctest.Test(t, func(t *testing.T) {
		p.t = t
		began := time.Now()
		p.fleet = newFleet(seed, nodes, link)
		p.member, p.config = m, c
		p.allowDeaths(30*time.Second, p.nodes...)
		p.startAll()
		time.Sleep(20 * time.Second)
		p.applyConcurrently("start", true)
		time.Sleep(acceptTime)
		p.checkRevision("start", p.revision, true)
		names := only
		if len(names) == 0 {
			for name := range episodes {
				names = append(names, name)
			}
			slices.Sort(names)
		}
		for range count {
			p.runEpisode(names[p.random.IntN(len(names))], len(only) == 0)
		}
		p.checkParts(t.Context(), "end")
		p.duration = time.Since(began)
		if err := p.stop(); err != nil {
			p.reportProblem("stop: %v", err)
		}
	})
	return p
}

func (p *proofRun) runEpisode(firstFault string, addFault bool) {
	name, repliesLost := firstFault, firstFault == "platform loses replies"
	p.mu.Lock()
	p.label = fmt.Sprintf("%s at %s", name, time.Now().Format(time.TimeOnly))
	p.mu.Unlock()
	platformUp := name != "platform down" && name != "platform silent" && name != "restart while the platform is down" &&
		name != "partition and platform down"
	if addFault && p.random.IntN(3) == 0 {
		// A second fault at the same time affects the platform.
		secondFault := []string{"platform down", "platform silent", "platform slow", "platform loses replies"}[p.random.IntN(4)]
		episodes[secondFault](p)
		platformUp = platformUp && secondFault != "platform down" && secondFault != "platform silent"
		repliesLost = repliesLost || secondFault == "platform loses replies"
		name += " with " + secondFault
		time.Sleep(time.Duration(p.random.Int64N(int64(5 * time.Second))))
	}
	episodes[firstFault](p)
	time.Sleep(ownerTime)
	p.checkOwners(name)
	if len(p.liveNodes()) > 0 {
		p.applyConcurrently(name, platformUp)
	}
	if p.random.IntN(2) == 0 && len(p.liveNodes()) > 0 {
		if _, err := p.liveNodes()[0].manager.Collect(p.t.Context()); err != nil && platformUp && !repliesLost {
			p.reportProblem("%s: collect: %v", name, err)
		}
	}
	time.Sleep(acceptTime)
	p.checkRevision(name, p.revision, platformUp)
	p.endFaults()
	time.Sleep(acceptTime)
	p.checkOwners("after " + name)
	p.checkRevision("after "+name, p.revision, true)
	time.Sleep(settleTime)
}

// Guards against a sequence of faults that violates a guarantee: a revision that
// falls, a connected node without the newest configuration after 13 s,
// concurrent operators of whom not exactly one succeeds, a healthy node declared
// dead, a leaving node that others use after 5 s, or two owners of a cell after
// 10 s.
func TestProof(t *testing.T) {
	for i := range *flagSeeds {
		seed := *flagFirst + uint64(i)
		nodes := 3 + int(rand.New(rand.NewPCG(seed, 9)).Uint64N(38))
		t.Run(fmt.Sprintf("seed=%d,nodes=%d", seed, nodes), func(t *testing.T) {
			link := netem.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.005}
			p := runProof(t, seed, nodes, *flagEpisodes, link, 0, 0)
			t.Logf("seed %d: %d nodes, %d faults, %d configurations in %s of virtual time",
				seed, nodes, *flagEpisodes, len(p.applied), p.duration)
			require.Empty(t, p.problems)
			require.Empty(t, p.falseDeaths, "healthy members declared dead")
		})
	}
}
