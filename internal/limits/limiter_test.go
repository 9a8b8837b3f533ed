package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// admitter is what the runs need of a limiter, so that they can also run
// against naive ones.
type admitter interface {
	Admit(ctx context.Context, organisation string, limits Limits, tokens int) (func(), error)
	Run(ctx context.Context) error
}

// fleet models nodes that may be split into two sides, and counts what is
// admitted in each tenth of a second.
type fleet struct {
	nodes []admitter
	group *group.Group
	start time.Time

	mu     sync.Mutex
	rand   *rand.Rand
	muxes  map[string]*wire.Mux
	split  bool // the network is cut between the halves
	known  bool // the halves know it
	calls  int
	counts []Amount

	running, mostRunning int
	offered, admitted    int
}

func name(node int) string { return fmt.Sprintf("node-%03d", node) }

func newFleet(t testing.TB, seed uint64, size int, mk func(f *fleet, node int) admitter) *fleet {
	f := &fleet{
		group: group.New(context.WithoutCancel(t.Context())), start: time.Now(),
		rand: rand.New(rand.NewPCG(seed, seed)), muxes: map[string]*wire.Mux{}, counts: make([]Amount, 4000),
	}
	for i := range size {
		f.nodes = append(f.nodes, mk(f, i))
	}
	for _, n := range f.nodes {
		f.group.Go("limiter", n.Run)
	}
	return f
}

func (f *fleet) far(a, b int) bool { return (a < len(f.nodes)/2) != (b < len(f.nodes)/2) }

type port struct {
	f    *fleet
	node int
}

func (p port) Call(ctx context.Context, address, method string, params, result any) error {
	var peer int
	if _, err := fmt.Sscanf(address, "node-%d", &peer); err != nil {
		return err
	}
	p.f.mu.Lock()
	mux, cut := p.f.muxes[address], p.f.split && p.f.far(p.node, peer)
	p.f.calls++
	p.f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return fault.New(fault.ReplyLost, "no answer")
	}
	time.Sleep(time.Millisecond)
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := mux.Serve(ctx, name(p.node), method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func realLimiter(f *fleet, node int) admitter {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	l := New(Options{
		Caller: port{f, node}, Node: name(node), Logger: logger,
		Home: func(string) (member.Member, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			home := 0
			if f.known && f.far(node, home) {
				home = len(f.nodes) - 1
			}
			return member.Member{Name: name(home), PeerAddress: name(home)}, true
		},
		Live: func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.known {
				return len(f.nodes) / 2
			}
			return len(f.nodes)
		},
	})
	mux := wire.NewMux()
	l.Register(mux)
	f.mu.Lock()
	f.muxes[name(node)] = mux
	f.mu.Unlock()
	return l
}

// load offers requests per second, through nodes that pick chooses, for a time.
func (f *fleet) load(t testing.TB, limits Limits, perSecond float64, d, duration time.Duration, pick func(r *rand.Rand) int) {
	g := group.New(context.WithoutCancel(t.Context()))
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.mu.Lock()
		node, tokens := pick(f.rand), 1+f.rand.IntN(400)
		wait := time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second))
		f.offered++
		f.mu.Unlock()
		g.Go("request", func(context.Context) error {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), 5*time.Second)
			defer cancel()
			release, err := f.nodes[node].Admit(ctx, "shop", limits, tokens)
			if err != nil {
				return nil
			}
			f.mu.Lock()
			count := &f.counts[time.Since(f.start)/(100*time.Millisecond)]
			count.Requests++
			count.Tokens += float64(tokens)
			f.admitted++
			f.running++
			f.mostRunning = max(f.mostRunning, f.running)
			f.mu.Unlock()
			time.Sleep(duration)
			f.mu.Lock()
			f.running--
			f.mu.Unlock()
			release()
			return nil
		})
		time.Sleep(wait)
	}
	require.NoError(t, g.Wait())
}

func (f *fleet) stop(t testing.TB) {
	f.group.Stop()
	require.NoError(t, f.group.Wait())
}

// violations counts the windows of 1 s, 3 s and 10 s that hold more than sides
// times the limits of the window's length plus extra, and one prompt.
func (f *fleet) violations(limits Limits, sides, extra float64) int {
	n := 0
	for _, length := range []int{10, 30, 100} {
		seconds := float64(length)/10 + extra
		for from := 0; from+length <= len(f.counts); from++ {
			var sum Amount
			for _, c := range f.counts[from : from+length] {
				sum.Requests += c.Requests
				sum.Tokens += c.Tokens
			}
			if sum.Requests > sides*limits.RequestsPerSecond*seconds || sum.Tokens > sides*limits.TokensPerSecond*seconds+400 {
				n++
			}
		}
	}
	return n
}

// own is a limiter that knows only its own node and uses a part of the limits.
type own struct {
	*Limiter
	part float64
}

func (o own) Admit(ctx context.Context, organisation string, limits Limits, tokens int) (func(), error) {
	limits.RequestsPerSecond *= o.part
	limits.TokensPerSecond *= o.part
	limits.Concurrent = int(float64(limits.Concurrent) * o.part)
	return o.Limiter.Admit(ctx, organisation, limits, tokens)
}

func ownLimiter(part float64) func(f *fleet, node int) admitter {
	return func(_ *fleet, node int) admitter {
		self := member.Member{Name: name(node)}
		return own{New(Options{
			Node: self.Name, Home: func(string) (member.Member, bool) { return self, true }, Live: func() int { return 1 },
		}), part}
	}
}

var shop = Limits{RequestsPerSecond: 100, TokensPerSecond: 15000, Concurrent: 40}

func anyNode(size int) func(r *rand.Rand) int { return func(r *rand.Rand) int { return r.IntN(size) } }

func firstNode(*rand.Rand) int { return 0 }

// Guards against an organisation that gets more than its limits over all nodes,
// or much less while it asks for more. The naive limiters show that the run
// sees both faults.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		make       func(f *fleet, node int) admitter
		pick       func(r *rand.Rand) int
		over, less bool
	}{
		"leased, all nodes":      {realLimiter, anyNode(8), false, false},
		"leased, one node":       {realLimiter, firstNode, false, false},
		"naive, whole limits":    {ownLimiter(1), anyNode(8), true, false},
		"naive, limits by nodes": {ownLimiter(1.0 / 8), firstNode, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, 8, tc.make)
					f.load(t, shop, 300, time.Minute, 300*time.Millisecond, tc.pick)
					f.stop(t)
					violations := f.violations(shop, 1, 2)
					used := float64(f.admitted) / 60 / 75 // 15000 tokens at 200 each
					t.Logf("offered %d, admitted %d (%.2f of the limit), most running %d, windows over %d",
						f.offered, f.admitted, used, f.mostRunning, violations)
					require.Equal(t, tc.over, violations > 0)
					require.Equal(t, tc.over, f.mostRunning > shop.Concurrent)
					require.Equal(t, tc.less, used < 0.8)
				})
			}
		})
	}
}

// Guards against a partition in which the sides together get more than stated,
// or in which a side gets nothing.
func TestPartition(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 8, realLimiter)
			f.group.Go("partition", func(context.Context) error {
				for _, step := range []struct{ split, known bool }{{true, false}, {true, true}, {false, true}, {false, false}} {
					time.Sleep(10 * time.Second)
					f.mu.Lock()
					f.split, f.known = step.split, step.known
					f.mu.Unlock()
				}
				return nil
			})
			f.load(t, shop, 300, 70*time.Second, 300*time.Millisecond, anyNode(8))
			f.stop(t)
			at := func(from, to int) (n float64) {
				for _, c := range f.counts[from*10 : to*10] {
					n += c.Requests
				}
				return n / float64(to-from)
			}
			t.Logf("admitted/s: before %.0f, cut %.0f, both sides known %.0f, healed %.0f, after %.0f; most running %d",
				at(2, 10), at(12, 20), at(22, 30), at(32, 40), at(45, 68), f.mostRunning)
			require.Zero(t, f.violations(shop, 2, 3))
			require.LessOrEqual(t, f.mostRunning, 2*shop.Concurrent)
			require.Positive(t, f.violations(shop, 1, 2), "the partition changed nothing")
			copy(f.counts, make([]Amount, 450))
			require.Zero(t, f.violations(shop, 1, 2), "the limits do not hold after the partition")
			require.Greater(t, at(45, 68), 60.0)
		})
	}
}

// Guards against a prompt larger than a second of tokens that is never
// admitted, and against its tokens not being counted.
func TestLargePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, realLimiter)
		defer f.stop(t)
		limits := Limits{TokensPerSecond: 1000}
		_, err := f.nodes[1].Admit(t.Context(), "shop", limits, 10000)
		require.NoError(t, err)
		_, err = f.nodes[0].Admit(t.Context(), "shop", limits, 1)
		require.True(t, fault.Is(err, fault.RateLimited), err)
		after, ok := RetryAfter(err)
		require.True(t, ok)
		require.InDelta(t, 9, after.Seconds(), 0.1)
		time.Sleep(after)
		_, err = f.nodes[0].Admit(t.Context(), "shop", limits, 1)
		require.NoError(t, err)
	})
}

// Guards against retries that outgrow their budgets and against a pause that
// overflows.
func TestRetries(t *testing.T) {
	r := NewRetries()
	allowed := 0
	for range 1000 {
		r.Admitted("desk", "shop", 0.1)
		for range 3 {
			if r.Allow("desk", "shop") {
				allowed++
			}
		}
	}
	require.InDelta(t, 110, allowed, 1)
	require.False(t, r.Allow("desk", "other"), "the service's budget is used up")
	require.True(t, r.Allow("drafts", "other"))
	require.Equal(t, 50*time.Millisecond, Backoff(1, 100*time.Millisecond, time.Second, 0.5))
	require.Equal(t, 500*time.Millisecond, Backoff(1000, 100*time.Millisecond, time.Second, 0.5))
}
