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

	mu       sync.Mutex
	problems []string
	// disturbed is until when a node may be declared dead, by name.
	disturbed map[string]time.Time
	deaths    []string
	label     string
}

type node struct {
	name   string
	table  *member.Table
	keeper *Keeper
	end    *netem.Endpoint
	client *netem.Client
	down   bool
	left   bool
	starts int
}

func newFleet(seed uint64, n int, base netem.Link) *fleet {
	f := &fleet{
		net: netem.New(seed, base), store: netem.NewStore(seed), group: group.New(context.Background()),
		random: rand.New(rand.NewPCG(seed, 1)), disturbed: map[string]time.Time{},
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
	n.end = f.net.Attach(n.name, n.name+":1", mux)
	n.client = f.store.Client(n.end)
	random := func(use uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), use+uint64(n.starts)<<8)) }
	n.table = member.New(member.Options{
		Self: member.Member{
			Name: n.name, Address: n.name + ":80", PeerAddress: n.name + ":1",
			FailureDomain: fmt.Sprintf("domain-%d", i%9), Region: fmt.Sprintf("region-%d", i%3),
		},
		Caller: n.end, Random: random(1), Log: log, Hosts: n.client, Without: f.member,
		Check: func(before, after member.Member) { f.checkMember(n.name, before, after) },
	})
	n.keeper = New(Options{
		Store: n.client, Caller: n.end, Members: n.table, Random: random(2), Log: log, Join: join, Without: f.config,
		Check: func(before, after uint64) {
			if after <= before {
				f.problem("%s: revision fell from %d to %d", n.name, before, after)
			}
		},
	})
	n.table.Carry(n.keeper)
	n.table.Register(mux)
	n.keeper.Register(mux)
	end, table, keeper := n.end, n.table, n.keeper
	f.group.Go(n.name, func(context.Context) error { return ended(table.Run(end.Context())) })
	f.group.Go(n.name, func(context.Context) error { return ended(keeper.Run(end.Context())) })
}

func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func join(_ Manifest, parts map[string][]byte) (*confd.Document, error) {
	for name, content := range parts {
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

func (f *fleet) problem(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

// found returns the problems so far.
func (f *fleet) found() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.problems)
}

// disturb allows nodes to be declared dead, and to declare others dead, from
// now until a while after the disturbance.
func (f *fleet) disturb(d time.Duration, nodes ...*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		f.disturbed[n.name] = time.Now().Add(d)
	}
}

// checkMember counts healthy members that a healthy node declares dead.
func (f *fleet) checkMember(observer string, before, after member.Member) {
	if after.State != member.Dead || before.State == member.Dead {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.disturbed[observer]) || now.Before(f.disturbed[after.Name]) {
		return
	}
	f.deaths = append(f.deaths, fmt.Sprintf("%s: %s declares %s dead at incarnation %d", f.label, observer, after.Name, after.Incarnation))
}

// live returns the nodes that run and are not paused.
func (f *fleet) live() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return !f.net.Connected(n.name, n.name) })
}

// components returns the sets of live nodes that are connected in both
// directions, directly or through others.
func (f *fleet) components() [][]*node {
	rest := f.live()
	var all [][]*node
	for len(rest) > 0 {
		set := rest[:1:1]
		rest = rest[1:]
		for i := 0; i < len(set); i++ {
			near := func(n *node) bool { return f.net.Connected(set[i].name, n.name) }
			for _, n := range rest {
				if near(n) {
					set = append(set, n)
				}
			}
			rest = slices.DeleteFunc(slices.Clone(rest), near)
		}
		all = append(all, set)
	}
	return all
}

// checkOwners checks that each connected set agrees on one owner per cell and
// that the owner is in the set.
func (f *fleet) checkOwners(when string) {
	for _, set := range f.components() {
		for c := range 20 {
			cell := cells.Cell{Name: fmt.Sprintf("drafting/domain-%d/%d", c%9, c), Region: fmt.Sprintf("region-%d", c%3)}
			first, _ := cells.Owner(cell, set[0].table.Members())
			if !slices.ContainsFunc(set, func(n *node) bool { return n.name == first.Name || n.left }) {
				f.problem("%s: %s takes %s for the owner of %s, outside its set of %d", when, set[0].name, first.Name, cell.Name, len(set))
			}
			for _, n := range set[1:] {
				if o, _ := cells.Owner(cell, n.table.Members()); o.Name != first.Name {
					f.problem("%s: %s takes %s, %s takes %s for the owner of %s", when, set[0].name, first.Name, n.name, o.Name, cell.Name)
				}
			}
		}
	}
}

// checkRevision checks that each node of every connected set that has a node
// with at least the given revision, or with access to the platform, has it.
func (f *fleet) checkRevision(when string, revision uint64, platform bool) {
	for _, set := range f.components() {
		knows := platform
		for _, n := range set {
			knows = knows || n.keeper.Revision() >= revision
		}
		for _, n := range set {
			if knows && n.keeper.Revision() < revision {
				f.problem("%s: %s has revision %d, not %d", when, n.name, n.keeper.Revision(), revision)
			}
		}
	}
}

// checkParts checks that the platform holds every part of the manifests.
func (f *fleet) checkParts(ctx context.Context, when string) {
	n := f.nodes[0]
	manifests, err := New(Options{Store: f.store.Client(nil), Members: n.table, Random: f.random}).History(ctx)
	if err != nil {
		f.problem("%s: history not read: %v", when, err)
	}
	for _, m := range manifests {
		for name, part := range m.Parts {
			if len(f.store.Keys(PartPrefix+part.Hash)) != 1 {
				f.problem("%s: part %s of revision %d is gone", when, name, m.Revision)
			}
		}
	}
}
