package poison

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

var capacity = flag.Bool("capacity", false, "measure fleets of up to 380 nodes")

// counter counts the platform calls and the peer messages of a fleet.
type counter struct {
	mu       sync.Mutex
	start    time.Time
	calls    map[string]int // by kind
	seconds  map[int]int    // calls in each second since start
	messages int
	bytes    int
}

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start, c.calls, c.seconds, c.messages, c.bytes = time.Now(), map[string]int{}, map[int]int{}, 0, 0
}

func (c *counter) call(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[kind]++
	second := int(time.Since(c.start) / time.Second)
	c.seconds[second]++
}

// maxPerSecond returns the highest number of platform calls in one second.
func (c *counter) maxPerSecond() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := 0
	for _, n := range c.seconds {
		highest = max(highest, n)
	}
	return highest
}

type countedStore struct {
	*fakeStore
	counter *counter
}

func (s countedStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	s.counter.call("get")
	return s.fakeStore.Get(ctx, key)
}

func (s countedStore) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	s.counter.call("list")
	return s.fakeStore.List(ctx, prefix)
}

func (s countedStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	s.counter.call("put")
	return s.fakeStore.Put(ctx, key, value, base)
}

func (s countedStore) Watch(ctx context.Context, prefix string, after plat.Revision) (plat.Revision, error) {
	s.counter.call("watch")
	return s.fakeStore.Watch(ctx, prefix, after)
}

type countedCaller struct {
	wire.Caller
	counter *counter
}

func (c countedCaller) Call(ctx context.Context, address, method string, params, result any) error {
	err := c.Caller.Call(ctx, address, method, params, result)
	data, marshalErr := json.Marshal(params)
	c.counter.mu.Lock()
	defer c.counter.mu.Unlock()
	c.counter.messages++
	c.counter.bytes += len(data)
	if marshalErr != nil {
		return marshalErr
	}
	return err
}

// TestCapacity measures the platform calls and the peer messages as a function of
// the number of nodes. In a large fleet, it guards against a node whose copy of the
// records misses a suspect or is not brought up to date after an outage. The figures
// are in docs/CAPACITY.md.
func TestCapacity(t *testing.T) {
	sizes := []int{10, 20}
	if *capacity {
		sizes = []int{20, 40, 80, 160, 380}
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) { measureFleet(t, size) })
	}
}

func measureFleet(t *testing.T, size int) {
	random := netem.NewRandom(1)
	store, network, count := newFakeStore(random), &fakeNet{random: random, muxes: map[string]*wire.Mux{}}, &counter{}
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	members := make([]member.Member, size)
	for i := range members {
		name := fmt.Sprint("node-", i)
		members[i] = member.Member{Name: name, PeerAddress: name}
	}
	nodes := make([]*Registry, size)
	for i := range nodes {
		name := members[i].Name
		nodes[i] = New(Options{
			Store: countedStore{store, count}, Caller: countedCaller{fakeCaller{network, name}, count}, Node: name,
			Rand: random.Float64, Logger: logger, Peers: func() []member.Member { return members },
		})
		network.muxes[name] = wire.NewMux()
		nodes[i].Register(network.muxes[name])
	}
	count.reset()
	g := group.New(context.WithoutCancel(t.Context()))
	for _, n := range nodes {
		g.Go("registry", n.Run)
	}
	report := func(name string) {
		t.Logf("%d nodes, %s: calls %v, most in a second %d, messages %d, bytes %d", size, name, count.calls, count.maxPerSecond(), count.messages, count.bytes)
	}
	time.Sleep(5 * time.Second)
	report("start of all")
	count.reset()
	time.Sleep(time.Minute)
	report("a steady minute")

	reportCrashes := func(n int) {
		count.reset()
		callers := group.New(t.Context())
		for i := range n {
			callers.Go("record crash", func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
				defer cancel()
				f := NewFingerprint("organisation", "model", fmt.Sprint(n, "/", i))
				return nodes[i].RecordCrash(ctx, "engine", []CrashReport{{Fingerprint: f, Dispatch: fmt.Sprint(n, "/", i)}})
			})
		}
		require.NoError(t, callers.Wait())
		time.Sleep(4 * time.Second)
		report(fmt.Sprint(n, " suspects"))
		for _, node := range nodes {
			v, err := node.Check(t.Context(), NewFingerprint("organisation", "model", fmt.Sprint(n, "/", n-1)))
			require.NoError(t, err)
			require.Equal(t, Suspected, v.State)
		}
	}
	reportCrashes(1)
	time.Sleep(20 * time.Second)
	reportCrashes(10)

	store.set(true, 0)
	time.Sleep(3 * time.Minute)
	count.reset()
	store.set(false, 0)
	time.Sleep(15 * time.Second)
	report("return from an outage")
	for _, node := range nodes {
		require.Len(t, node.List(), 11)
	}
	g.Stop()
	require.NoError(t, g.Wait())
}
