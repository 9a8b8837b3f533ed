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
	// ownerTime, acceptTime and leaveTime are the limits promised for one
	// owner per cell, for a configuration in force and for leaving.
	ownerTime  = 10 * time.Second
	acceptTime = 13 * time.Second
	leaveTime  = 5 * time.Second
	// settleTime is how long after a fault a death may still follow from it.
	settleTime = 15 * time.Second
)

// proof is one randomised run.
type proof struct {
	*fleet
	t        testing.TB
	contents map[string][]byte
	writes   int
	revision uint64
	applied  map[uint64]string
	took     time.Duration
}

// episodes are the faults. Each sets its fault; the run then checks the
// promises under the fault, heals it and checks them again.
var episodes = map[string]func(p *proof){
	"none":  func(*proof) {},
	"kill":  func(p *proof) { p.kill(1 + p.random.IntN(max(1, len(p.nodes)/2))) },
	"pause": func(p *proof) { p.each(1+p.random.IntN(max(1, len(p.nodes)/3)), p.net.Pause) },
	"partition": func(p *proof) {
		p.disturb(time.Hour, p.nodes...)
		names := p.names()
		at := 1 + p.random.IntN(len(names)-1)
		p.net.Partition(names[:at], names[at:])
	},
	"cut between pairs": func(p *proof) {
		names := p.names()
		for i := 0; i+1 < len(names)/2; i += 2 {
			p.net.CutBoth(names[i], names[i+1])
		}
	},
	"one-way cut between pairs": func(p *proof) {
		names := p.names()
		for i := 0; i+1 < len(names)/2; i += 2 {
			p.net.Cut(names[i], names[i+1])
		}
	},
	"one-way cut towards one": func(p *proof) {
		names := p.names()
		p.each(0, nil)
		for _, name := range names[1:] {
			p.net.Cut(name, names[0])
		}
		p.disturb(time.Hour, p.byName(names[0]))
	},
	"platform down":          func(p *proof) { p.store.SetMode(netem.Down) },
	"platform silent":        func(p *proof) { p.store.SetMode(netem.Silent) },
	"platform slow":          func(p *proof) { p.store.SetLatency(2 * time.Second) },
	"platform loses replies": func(p *proof) { p.store.SetReplyLoss(0.4) },
	"restart while the platform is down": func(p *proof) {
		p.store.SetMode(netem.Down)
		p.kill(1 + p.random.IntN(max(1, len(p.nodes)/2)))
		time.Sleep(time.Duration(p.random.Int64N(int64(20 * time.Second))))
		p.restart()
	},
	"leave": func(p *proof) { p.leave() },
	"partition and platform down": func(p *proof) {
		p.disturb(time.Hour, p.nodes...)
		p.store.SetMode(netem.Down)
		names := p.names()
		p.net.Partition(names[:len(names)/2], names[len(names)/2:])
	},
}

func (p *proof) names() []string {
	names := make([]string, len(p.nodes))
	for i, j := range p.random.Perm(len(p.nodes)) {
		names[i] = p.nodes[j].name
	}
	return names
}

func (p *proof) byName(name string) *node {
	return p.nodes[slices.IndexFunc(p.nodes, func(n *node) bool { return n.name == name })]
}

func (p *proof) each(count int, do func(name string)) {
	for _, name := range p.names()[:count] {
		p.disturb(time.Hour, p.byName(name))
		do(name)
	}
}

func (p *proof) kill(count int) {
	p.each(count, func(name string) {
		p.byName(name).down = true
		p.net.Kill(name)
	})
}

func (p *proof) restart() {
	for i, n := range p.nodes {
		if n.down {
			p.disturb(settleTime, n)
			p.start(i)
		}
	}
}

// leave lets one node leave and checks that all others know in time. It ends
// and restarts, as a replaced host does.
func (p *proof) leave() {
	n := p.byName(p.names()[0])
	p.disturb(time.Hour, n)
	ctx, cancel := context.WithTimeout(p.t.Context(), leaveTime)
	defer cancel()
	if err := n.table.Leave(ctx); err != nil {
		p.problem("%s: leave: %v", n.name, err)
	}
	n.left = true
	time.Sleep(leaveTime)
	for _, other := range p.live() {
		for _, m := range other.table.Members() {
			if m.Name == n.name && m.State != member.Leaving {
				p.problem("%s sees %s as %s after it left", other.name, n.name, m.State)
			}
		}
	}
	n.down = true
	p.net.Kill(n.name)
}

// heal ends all faults.
func (p *proof) heal() {
	p.net.Heal()
	p.store.SetMode(netem.Up)
	p.store.SetLatency(3 * time.Millisecond)
	p.store.SetReplyLoss(0)
	for _, n := range p.nodes {
		p.net.Resume(n.name)
	}
	p.mu.Lock()
	for name, until := range p.disturbed {
		if time.Now().Before(until) {
			p.disturbed[name] = time.Now().Add(settleTime)
		}
	}
	p.mu.Unlock()
	p.restart()
}

// race lets some operators apply different contents on one base at once.
func (p *proof) race(label string, up bool) {
	live := p.live()
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
		keeper := live[p.random.IntN(len(live))].keeper
		g.Go("operator", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			m, err := keeper.Apply(ctx, base, contents, fmt.Sprintf("operator-%d", i))
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
		p.problem("%s: operator: %v", label, err)
	}
	p.judge(label, up, results, manifests)
}

// judge checks that exactly one of racing operators won, or at most one while
// the platform is not fully up.
func (p *proof) judge(label string, up bool, results []error, manifests []Manifest) {
	won := 0
	for i, err := range results {
		switch {
		case err == nil:
			won++
			if other, ok := p.applied[manifests[i].Revision]; ok {
				p.problem("%s: revision %d applied by %s and %s", label, manifests[i].Revision, other, manifests[i].Attempt)
			}
			p.applied[manifests[i].Revision] = manifests[i].Attempt
			p.revision = manifests[i].Revision
		case fault.Is(err, fault.Conflict):
			if manifests[i].Revision != p.revision && manifests[i].Revision != p.revision+1 {
				p.problem("%s: conflict names revision %d", label, manifests[i].Revision)
			}
		case up || !fault.Is(err, fault.PlatformDown):
			p.problem("%s: apply: %v", label, err)
		}
	}
	if won > 1 || up && won != 1 {
		p.problem("%s: %d operators of %d won: %v", label, won, len(results), results)
	}
}

func runProof(t *testing.T, seed uint64, nodes, count int, link netem.Link, m member.Mechanism, c Mechanism, only ...string) *proof {
	p := &proof{contents: map[string][]byte{"services": []byte("services"), "models": []byte("models")}, applied: map[uint64]string{}}
	synctest.Test(t, func(t *testing.T) {
		p.t = t
		began := time.Now()
		p.fleet = newFleet(seed, nodes, link)
		p.member, p.config = m, c
		p.disturb(30*time.Second, p.nodes...)
		p.startAll()
		time.Sleep(20 * time.Second)
		p.race("start", true)
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
			p.episode(names[p.random.IntN(len(names))], len(only) == 0)
		}
		p.checkParts(t.Context(), "end")
		p.took = time.Since(began)
		if err := p.stop(); err != nil {
			p.problem("stop: %v", err)
		}
	})
	return p
}

func (p *proof) episode(first string, second bool) {
	name, lossy := first, first == "platform loses replies"
	p.mu.Lock()
	p.label = fmt.Sprintf("%s at %s", name, time.Now().Format(time.TimeOnly))
	p.mu.Unlock()
	up := name != "platform down" && name != "platform silent" && name != "restart while the platform is down" &&
		name != "partition and platform down"
	if second && p.random.IntN(3) == 0 {
		// Two faults at once: the platform fails as well.
		other := []string{"platform down", "platform silent", "platform slow", "platform loses replies"}[p.random.IntN(4)]
		episodes[other](p)
		up = up && other != "platform down" && other != "platform silent"
		lossy = lossy || other == "platform loses replies"
		name += " with " + other
		time.Sleep(time.Duration(p.random.Int64N(int64(5 * time.Second))))
	}
	episodes[first](p)
	time.Sleep(ownerTime)
	p.checkOwners(name)
	if len(p.live()) > 0 {
		p.race(name, up)
	}
	if p.random.IntN(2) == 0 && len(p.live()) > 0 {
		if _, err := p.live()[0].keeper.Collect(p.t.Context()); err != nil && up && !lossy {
			p.problem("%s: collect: %v", name, err)
		}
	}
	time.Sleep(acceptTime)
	p.checkRevision(name, p.revision, up)
	p.heal()
	time.Sleep(acceptTime)
	p.checkOwners("after " + name)
	p.checkRevision("after "+name, p.revision, true)
	time.Sleep(settleTime)
}

// Guards against a run of faults that breaks a promise: a revision that falls,
// a connected node without the newest configuration after 13 s, racing
// operators of whom not exactly one wins, a healthy node declared dead, a
// leaving node that others use after 5 s, or two owners of a cell after 10 s.
func TestProof(t *testing.T) {
	for i := range *flagSeeds {
		seed := *flagFirst + uint64(i)
		nodes := 3 + int(rand.New(rand.NewPCG(seed, 9)).Uint64N(38))
		t.Run(fmt.Sprintf("seed=%d,nodes=%d", seed, nodes), func(t *testing.T) {
			link := netem.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.005}
			p := runProof(t, seed, nodes, *flagEpisodes, link, 0, 0)
			t.Logf("seed %d: %d nodes, %d faults, %d configurations in %s of virtual time",
				seed, nodes, *flagEpisodes, len(p.applied), p.took)
			require.Empty(t, p.problems)
			require.Empty(t, p.deaths, "healthy members declared dead")
		})
	}
}
