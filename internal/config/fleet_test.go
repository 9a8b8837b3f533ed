package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// fleet runs nodes with membership and configuration on an in-memory network.
type fleet struct {
	net    *netem.Network
	store  *netem.Store
	group  *group.Group
	nodes  []*node
	random *rand.Rand
	member member.Mechanism
	config Mechanism
	// panics is the number of calls of managers to the store that are still to panic.
	panics atomic.Int64

	mu       sync.Mutex
	problems []string
	// deathsAllowedUntil maps the name of a node to the time until which the node
	// may be declared dead or declare others dead.
	deathsAllowedUntil map[string]time.Time
	// falseDeaths are declarations of death that were not allowed.
	falseDeaths []string
	// label describes the current fault in messages.
	label string
}

type node struct {
	name     string
	table    *member.Table
	manager  *Manager
	endpoint *netem.Endpoint
	client   *netem.Client
	down     bool
	left     bool
	starts   int
}

func newFleet(seed uint64, n int, base netem.Link) *fleet {
	f := &fleet{
		net: netem.New(seed, base), store: netem.NewStore(seed), group: group.New(context.Background()),
		random: rand.New(rand.NewPCG(seed, 1)), deathsAllowedUntil: map[string]time.Time{},
	}
	hosts := make([]plat.Host, 0, n)
	for i := range n {
		name := fmt.Sprintf("node-%03d", i)
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleEntry, PeerAddress: name + ":1"})
		f.nodes = append(f.nodes, &node{name: name})
	}
	f.store.SetHosts(hosts)
	f.store.SetLatency(3 * time.Millisecond)
	return f
}

func (f *fleet) startAll() {
	for i := range f.nodes {
		f.start(i)
	}
}

func (f *fleet) start(i int) {
	n := f.nodes[i]
	mux := wire.NewMux()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.starts++
	n.down, n.left = false, false
	n.endpoint = f.net.Attach(n.name, n.name+":1", mux)
	n.client = f.store.Client(n.endpoint)
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), stream+uint64(n.starts)<<8)) }
	n.table = member.New(member.Options{
		Self: member.Member{
			Name: n.name, Address: n.name + ":80", PeerAddress: n.name + ":1",
			FailureDomain: fmt.Sprintf("domain-%d", i%9), Region: fmt.Sprintf("region-%d", i%3),
		},
		Caller: n.endpoint, Random: random(1), Log: log, Hosts: n.client, Disabled: f.member,
		OnChange: func(before, after member.Member) { f.checkMember(n.name, before, after) },
	})
	n.manager = New(Options{
		Store: panickyStore{n.client, &f.panics}, Caller: n.endpoint, Members: n.table, Random: random(2), Log: log, Join: join, Disabled: f.config,
		OnChange: func(before, after uint64) {
			if after <= before {
				f.reportProblem("%s: revision fell from %d to %d", n.name, before, after)
			}
		},
	})
	n.table.SetRevisions(n.manager)
	n.table.Register(mux)
	n.manager.Register(mux)
	endpoint, table, manager := n.endpoint, n.table, n.manager
	f.group.Go(n.name, func(context.Context) error { return ignoreCanceled(table.Run(endpoint.Context())) })
	f.group.Go(n.name, func(context.Context) error { return ignoreCanceled(manager.Run(endpoint.Context())) })
}

// ignoreCanceled returns nil for an error that a canceled context caused.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// join is a JoinFunc that refuses contents with the word "refuse".
func join(_ Manifest, contentsByName map[string][]byte) (*confd.Document, error) {
	for name, content := range contentsByName {
		if bytes.Contains(content, []byte("refuse")) {
			return nil, fmt.Errorf("part %s is refused", name)
		}
	}
	return &confd.Document{}, nil
}

func (f *fleet) stop() error {
	err := f.net.Close()
	return errors.Join(err, f.group.Wait())
}

func (f *fleet) reportProblem(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

// foundProblems returns the problems reported so far.
func (f *fleet) foundProblems() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.problems)
}

// allowDeaths allows nodes to be declared dead, and to declare others dead, for
// a time from now.
func (f *fleet) allowDeaths(d time.Duration, nodes ...*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		f.deathsAllowedUntil[n.name] = time.Now().Add(d)
	}
}

// checkMember records a death that the observer declares, unless deaths are
// allowed for the observer or the dead member.
func (f *fleet) checkMember(observer string, before, after member.Member) {
	if after.State != member.Dead || before.State == member.Dead {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.deathsAllowedUntil[observer]) || now.Before(f.deathsAllowedUntil[after.Name]) {
		return
	}
	f.falseDeaths = append(f.falseDeaths, fmt.Sprintf("%s: %s declares %s dead at incarnation %d", f.label, observer, after.Name, after.Incarnation))
}

// liveNodes returns the nodes that run and are not paused.
func (f *fleet) liveNodes() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return !f.net.Connected(n.name, n.name) })
}

// components returns the sets of live nodes that are connected in both
// directions, directly or through others.
func (f *fleet) components() [][]*node {
	remaining := f.liveNodes()
	var all [][]*node
	for len(remaining) > 0 {
		set := remaining[:1:1]
		remaining = remaining[1:]
		for i := 0; i < len(set); i++ {
			connected := func(n *node) bool { return f.net.Connected(set[i].name, n.name) }
			for _, n := range remaining {
				if connected(n) {
					set = append(set, n)
				}
			}
			remaining = slices.DeleteFunc(slices.Clone(remaining), connected)
		}
		all = append(all, set)
	}
	return all
}

// checkOwners checks that the nodes of each connected set agree on one owner per
// cell and that the owner is in the set. A set with a node that has left may have
// an owner outside it.
func (f *fleet) checkOwners(when string) {
	for _, set := range f.components() {
		for c := range 20 {
			cell := cells.Cell{Name: fmt.Sprintf("drafting/domain-%d/%d", c%9, c), Region: fmt.Sprintf("region-%d", c%3)}
			first, _ := cells.Owner(cell, set[0].table.Members())
			if !slices.ContainsFunc(set, func(n *node) bool { return n.name == first.Name || n.left }) {
				f.reportProblem("%s: %s takes %s for the owner of %s, outside its set of %d", when, set[0].name, first.Name, cell.Name, len(set))
			}
			for _, n := range set[1:] {
				if owner, _ := cells.Owner(cell, n.table.Members()); owner.Name != first.Name {
					f.reportProblem("%s: %s takes %s, %s takes %s for the owner of %s", when, set[0].name, first.Name, n.name, owner.Name, cell.Name)
				}
			}
		}
	}
}

// checkRevision checks that each node has at least the given revision if it can
// receive it: from the platform, or from a node of its connected set.
func (f *fleet) checkRevision(when string, revision uint64, platformUp bool) {
	for _, set := range f.components() {
		reachable := platformUp
		for _, n := range set {
			reachable = reachable || n.manager.Revision() >= revision
		}
		for _, n := range set {
			if reachable && n.manager.Revision() < revision {
				f.reportProblem("%s: %s has revision %d, not %d", when, n.name, n.manager.Revision(), revision)
			}
		}
	}
}

// checkParts checks that the platform holds every part of the current manifest
// and of the history.
func (f *fleet) checkParts(ctx context.Context, when string) {
	n := f.nodes[0]
	manifests, err := New(Options{Store: f.store.Client(nil), Members: n.table, Random: f.random}).History(ctx)
	if err != nil {
		f.reportProblem("%s: history not read: %v", when, err)
	}
	for _, m := range manifests {
		for name, part := range m.Parts {
			if len(f.store.Keys(PartPrefix+part.Hash)) != 1 {
				f.reportProblem("%s: part %s of revision %d is gone", when, name, m.Revision)
			}
		}
	}
}
