package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// platform simulates a platform that answers some nodes and leaves calls of the
// others, listed in silent, without a reply.
type platform struct {
	mu       sync.Mutex
	revision uint64
	silent   map[string]bool
	// calls holds the times of all calls.
	calls []time.Time
}

// change writes a key and returns its revision.
func (p *platform) change() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	return p.revision
}

func (p *platform) setSilent(silent bool, nodes ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range nodes {
		p.silent[n] = silent
	}
}

func (p *platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, time.Now())
}

// most returns the most calls in a second among the calls from one moment to another.
func (p *platform) most(from, to time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, first := 0, 0
	for i, at := range p.calls {
		if at.Before(from) || at.After(to) {
			first = i + 1
			continue
		}
		for at.Sub(p.calls[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// platformClient is the Source of one node.
type platformClient struct {
	*platform
	node string
}

// batch returns the current keys and whether the platform is silent to the node.
func (c platformClient) batch() (Batch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Batch{Version: Version{Revision: c.revision}, Complete: true, Items: []Item{{Key: "k", Revision: c.revision}}}, c.silent[c.node]
}

// List implements Source.
func (c platformClient) List(ctx context.Context) (Batch, error) {
	c.count()
	b, silent := c.batch()
	if silent {
		<-ctx.Done()
		return Batch{}, fault.Wrap(fault.PlatformDown, ctx.Err(), "silent")
	}
	return b, nil
}

// Watch implements Source.
func (c platformClient) Watch(ctx context.Context, after Version, wait time.Duration) (Batch, error) {
	c.count()
	end := time.Now().Add(wait)
	for {
		b, silent := c.batch()
		if !silent && (b.Revision > after.Revision || !time.Now().Before(end)) {
			b.Complete = false
			return b, nil
		}
		if !group.Sleep(ctx, 10*time.Millisecond) {
			return Batch{}, fault.Wrap(fault.PlatformDown, ctx.Err(), "silent")
		}
	}
}

// cluster passes calls between nodes. Calls from and to nodes without power are left
// without a reply.
type cluster struct {
	muxes   map[string]*wire.Mux
	members []member.Member

	mu   sync.Mutex
	dark map[string]bool
}

func (c *cluster) setDark(nodes ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nodes {
		c.dark[n] = true
	}
}

// awaitPower returns an error when the context ends if one of the nodes has no power.
func (c *cluster) awaitPower(ctx context.Context, nodes ...string) error {
	c.mu.Lock()
	dark := slices.ContainsFunc(nodes, func(n string) bool { return c.dark[n] })
	c.mu.Unlock()
	if !dark {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// call makes a call from one node to another.
func (c *cluster) call(ctx context.Context, from, to, method string, params, result any) error {
	if err := c.awaitPower(ctx, from, to); err != nil {
		return err
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := c.muxes[to].Serve(ctx, from, method, data)
	if err != nil {
		return err
	}
	if err := c.awaitPower(ctx, from, to); err != nil {
		return err
	}
	if data, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// memberView is the membership as one node sees it.
type memberView struct {
	*cluster
	self member.Member
}

func (v memberView) Self() member.Member      { return v.self }
func (v memberView) Members() []member.Member { return v.members }

// Call implements wire.Caller.
func (v memberView) Call(ctx context.Context, address, method string, params, result any) error {
	return v.call(ctx, v.self.Name, address, method, params, result)
}

// nodes is a set of followers of one platform.
type nodes struct {
	*cluster
	platform *platform
	feeds    map[string]*Feed
	group    *group.Group
}

// startNodes starts nodes that are spread over failure domains in turn.
func startNodes(t *testing.T, seed uint64, count, domains int) *nodes {
	n := &nodes{
		cluster:  &cluster{muxes: map[string]*wire.Mux{}, dark: map[string]bool{}},
		platform: &platform{revision: 1, silent: map[string]bool{}},
		feeds:    map[string]*Feed{}, group: group.New(t.Context()),
	}
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		n.members = append(n.members, member.Member{
			Name: name, PeerAddress: name, State: member.Alive, FailureDomain: fmt.Sprintf("d%d", i%domains),
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var followers []*Follower
	for i, m := range n.members {
		view := memberView{n.cluster, m}
		n.feeds[m.Name] = newFeed()
		f := NewFollower(Options{
			Feed: n.feeds[m.Name], Platform: platformClient{n.platform, m.Name}, Caller: view, Members: view,
			Random: rand.New(rand.NewPCG(seed, uint64(i))), Log: log,
		})
		n.muxes[m.Name] = wire.NewMux()
		f.Register(n.muxes[m.Name])
		followers = append(followers, f)
	}
	// All handlers must be registered before the first call.
	for _, f := range followers {
		n.group.Go("follower", f.Run)
	}
	return n
}

func (n *nodes) stop(t *testing.T) {
	n.group.Stop()
	require.NoError(t, n.group.Wait())
}

// ranked returns the names of the nodes of a failure domain, readers first.
func (n *nodes) ranked(domain string) []string {
	var list []member.Member
	for _, m := range n.members {
		if m.FailureDomain == domain {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareRank)
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	return names
}

// losePower takes the power of nodes.
func (n *nodes) losePower(names ...string) {
	n.setDark(names...)
	n.platform.setSilent(true, names...)
}

// awaitNews returns the time until all nodes with power have a revision, or the limit.
func (n *nodes) awaitNews(revision uint64, limit time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		late := false
		for name, f := range n.feeds {
			late = late || !n.dark[name] && f.Version().Revision < revision
		}
		if !late {
			return waited
		}
		time.Sleep(step)
	}
	return limit
}

// Guards against two nodes that follow each other while the platform answers
// neither. Each of them regards the other's copy as fresh, so a change reaches
// neither within the two seconds in which it must be in force.
func TestTurnedAwayTogether(t *testing.T) {
	const nodeCount, unanswered, bound = 8, 3, 2 * time.Second
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startNodes(t, seed, nodeCount, 3)
				defer n.stop(t)
				time.Sleep(5*time.Second + time.Duration(seed)*37*time.Millisecond)
				for _, i := range rand.New(rand.NewPCG(seed, 99)).Perm(nodeCount)[:unanswered] {
					n.platform.setSilent(true, fmt.Sprintf("n%d", i))
				}
				time.Sleep(time.Duration(seed%7) * 200 * time.Millisecond)
				revision := n.platform.change()
				time.Sleep(bound)
				for name, f := range n.feeds {
					require.Equal(t, revision, f.Version().Revision, name)
				}
			})
		})
	}
}

// unreadableWatches is a platform whose answers to watches cannot be read.
type unreadableWatches struct {
	platformClient
	lists *atomic.Int64
}

// List implements Source.
func (c unreadableWatches) List(ctx context.Context) (Batch, error) {
	c.lists.Add(1)
	return c.platformClient.List(ctx)
}

// Watch implements Source.
func (unreadableWatches) Watch(context.Context, Version, time.Duration) (Batch, error) {
	return Batch{}, fault.New(fault.Invalid, "the answer cannot be decoded")
}

// Guards against a node that no longer follows the platform because an answer to a
// watch cannot be read, and against one that lists all keys again without a pause.
func TestUnreadableWatch(t *testing.T) {
	const bound, runTime = 2 * time.Second, time.Minute
	synctest.Test(t, func(t *testing.T) {
		p := &platform{revision: 1, silent: map[string]bool{}}
		var lists atomic.Int64
		c := &cluster{members: []member.Member{{Name: "n", PeerAddress: "n", State: member.Alive}}}
		view := memberView{c, c.members[0]}
		log := logrus.New()
		log.SetOutput(io.Discard)
		f := newFeed()
		follower := NewFollower(Options{
			Feed: f, Platform: unreadableWatches{platformClient{p, "n"}, &lists}, Caller: view, Members: view,
			Random: rand.New(rand.NewPCG(1, 1)), Log: log,
		})
		g := group.New(t.Context())
		g.Go("follower", follower.Run)
		time.Sleep(runTime)
		p.mu.Lock()
		p.revision++
		p.mu.Unlock()
		time.Sleep(bound)
		require.Equal(t, uint64(2), f.Version().Revision)
		require.LessOrEqual(t, lists.Load(), int64(2*(runTime+bound)/unreadablePause))
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// newsTime is half of the time within which a change must be in force.
const newsTime = time.Second

// Guards against a node that waits for silent peers while the platform would answer
// it: a change then reaches it late, and the gap counts as an outage of the platform.
func TestLostReaders(t *testing.T) {
	const trials, period = 40, platformWait
	zone := func(n *nodes) []string { return n.ranked("d0")[:readersPerDomain] }
	cases := map[string]struct {
		nodes, domains int
		lost           func(n *nodes) []string
		// news is the time from the loss to the change.
		news time.Duration
	}{
		"readers of the only domain":             {6, 1, zone, 0},
		"readers of the only domain, news later": {6, 1, zone, 400 * time.Millisecond},
		"readers of the only domain, after 1 s":  {6, 1, zone, 1200 * time.Millisecond},
		"readers of the only domain, after 2 s":  {6, 1, zone, 2500 * time.Millisecond},
		"readers of the only domain, after 6 s":  {6, 1, zone, 6 * time.Second},
		"readers of one domain of three":         {12, 3, zone, 0},
		"readers of all domains": {12, 3, func(n *nodes) []string {
			return slices.Concat(n.ranked("d0")[:readersPerDomain], n.ranked("d1")[:readersPerDomain], n.ranked("d2")[:readersPerDomain])
		}, 0},
		"all but two": {8, 3, func(n *nodes) []string {
			return slices.Concat(n.ranked("d0")[:2], n.ranked("d1")[:2], n.ranked("d2"))
		}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			worst, outages := time.Duration(0), 0
			for trial := range trials {
				synctest.Test(t, func(t *testing.T) {
					n := startNodes(t, uint64(trial), tc.nodes, tc.domains)
					defer n.stop(t)
					time.Sleep(5*time.Second + time.Duration(trial)*period/trials)
					n.losePower(tc.lost(n)...)
					time.Sleep(tc.news)
					worst = max(worst, n.awaitNews(n.platform.change(), 10*time.Second))
					for name, f := range n.feeds {
						if !n.dark[name] && f.SinceOutage() < math.MaxInt64 {
							outages++
						}
					}
				})
			}
			t.Logf("worst of %d trials: %s", trials, worst)
			assert.LessOrEqual(t, worst, newsTime)
			assert.Zero(t, outages, "nodes that took the loss for an outage of the platform")
		})
	}
}

// Guards against an outage of the platform that some nodes do not take for one, so
// that they drop registrations that lapsed in it.
func TestOutage(t *testing.T) {
	for name, length := range map[string]time.Duration{"1.8 s": 1800 * time.Millisecond, "2 s": 2 * time.Second, "2.4 s": 2400 * time.Millisecond, "5 s": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for trial := range 20 {
				synctest.Test(t, func(t *testing.T) {
					n := startNodes(t, uint64(trial), 9, 2)
					defer n.stop(t)
					time.Sleep(5*time.Second + time.Duration(trial)*50*time.Millisecond)
					for _, m := range n.members {
						n.platform.setSilent(true, m.Name)
					}
					time.Sleep(length)
					for _, m := range n.members {
						n.platform.setSilent(false, m.Name)
					}
					n.awaitNews(n.platform.change(), 5*time.Second)
					for name, f := range n.feeds {
						require.Less(t, f.SinceOutage(), 5*time.Second, name)
					}
				})
			}
		})
	}
}

// Guards against a load on the platform that grows with the number of nodes, both in
// undisturbed operation and when the readers of a failure domain lose power.
func TestLoad(t *testing.T) {
	cases := map[string]struct{ nodes, domains, calm, loss int }{
		"6 nodes, 1 domain":    {6, 1, 4, 12},
		"380 nodes, 6 domains": {380, 6, 24, 200},
		"380 nodes, 1 domain":  {380, 1, 4, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startNodes(t, 1, tc.nodes, tc.domains)
				defer n.stop(t)
				time.Sleep(10 * time.Second)
				calm := n.platform.most(time.Now().Add(-5*time.Second), time.Now())
				n.losePower(n.ranked("d0")[:readersPerDomain]...)
				lost := time.Now()
				news := n.awaitNews(n.platform.change(), 10*time.Second)
				time.Sleep(5*time.Second - news)
				loss := n.platform.most(lost, time.Now())
				after := n.platform.most(time.Now().Add(-2*time.Second), time.Now())
				t.Logf("most calls in a second: %d before the loss, %d within 5 s, %d in the last 2 of them; the change arrived after %s", calm, loss, after, news)
				require.LessOrEqual(t, calm, tc.calm)
				require.LessOrEqual(t, loss, tc.loss)
			})
		})
	}
}
