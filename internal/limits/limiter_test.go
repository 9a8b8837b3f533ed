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

// admitter is the part of Limiter that the simulation uses. isolatedLimiter also
// implements it, for comparison.
type admitter interface {
	Admit(ctx context.Context, organisation string, limits Limits, tokens int) (func(), error)
	Run(ctx context.Context) error
}

// fleet simulates nodes whose network may be partitioned into two halves. It counts
// the requests and tokens admitted in each tenth of a second.
type fleet struct {
	nodes []admitter
	group *group.Group
	start time.Time

	mu                sync.Mutex
	rand              *rand.Rand
	muxes             map[string]*wire.Mux
	partitioned       bool // calls between the halves get no answer
	partitionDetected bool // the members know of the partition
	leaseCalls        int
	admittedPerTenth  []Amount

	running, maxRunning int
	offered, admitted   int
}

func nodeName(node int) string { return fmt.Sprintf("node-%03d", node) }

func newFleet(t testing.TB, seed uint64, size int, newNode func(f *fleet, node int) admitter) *fleet {
	f := &fleet{
		group: group.New(context.WithoutCancel(t.Context())), start: time.Now(),
		rand: rand.New(rand.NewPCG(seed, seed)), muxes: map[string]*wire.Mux{}, admittedPerTenth: make([]Amount, 4000),
	}
	for i := range size {
		f.nodes = append(f.nodes, newNode(f, i))
	}
	for _, n := range f.nodes {
		f.group.Go("limiter", n.Run)
	}
	return f
}

// onDifferentSides reports whether two nodes are in different halves.
func (f *fleet) onDifferentSides(a, b int) bool { return (a < len(f.nodes)/2) != (b < len(f.nodes)/2) }

type nodeCaller struct {
	fleet *fleet
	node  int
}

func (c nodeCaller) Call(ctx context.Context, address, method string, params, result any) error {
	var peer int
	if _, err := fmt.Sscanf(address, "node-%d", &peer); err != nil {
		return err
	}
	c.fleet.mu.Lock()
	mux, unreachable := c.fleet.muxes[address], c.fleet.partitioned && c.fleet.onDifferentSides(c.node, peer)
	c.fleet.leaseCalls++
	c.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return fault.New(fault.ReplyLost, "no answer")
	}
	time.Sleep(time.Millisecond)
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := mux.Serve(ctx, nodeName(c.node), method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func newLeasingLimiter(f *fleet, node int) admitter {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	l := New(Options{
		Caller: nodeCaller{f, node}, Node: nodeName(node), Logger: logger,
		Home: func(string) (member.Member, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			homeIndex := 0
			if f.partitionDetected && f.onDifferentSides(node, homeIndex) {
				homeIndex = len(f.nodes) - 1
			}
			return member.Member{Name: nodeName(homeIndex), PeerAddress: nodeName(homeIndex)}, true
		},
		Live: func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.partitionDetected {
				return len(f.nodes) / 2
			}
			return len(f.nodes)
		},
	})
	mux := wire.NewMux()
	l.Register(mux)
	f.mu.Lock()
	f.muxes[nodeName(node)] = mux
	f.mu.Unlock()
	return l
}

// generateLoad sends requests at random intervals for a period, perSecond on average,
// through the nodes that pickNode returns. Each admitted request runs for duration.
func (f *fleet) generateLoad(t testing.TB, limits Limits, perSecond float64, period, duration time.Duration, pickNode func(r *rand.Rand) int) {
	g := group.New(context.WithoutCancel(t.Context()))
	for end := time.Now().Add(period); time.Now().Before(end); {
		f.mu.Lock()
		node, tokens := pickNode(f.rand), 1+f.rand.IntN(400)
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
			count := &f.admittedPerTenth[time.Since(f.start)/(100*time.Millisecond)]
			count.Requests++
			count.Tokens += float64(tokens)
			f.admitted++
			f.running++
			f.maxRunning = max(f.maxRunning, f.running)
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

// violations counts the windows of 1 s, 3 s and 10 s in which more was admitted than
// allowed: the limits times the number of sides of a partition, for the window's
// length plus the extra seconds. For tokens, one prompt of 400 more is allowed.
func (f *fleet) violations(limits Limits, sides, extra float64) int {
	violations := 0
	for _, tenths := range []int{10, 30, 100} {
		seconds := float64(tenths)/10 + extra
		for start := 0; start+tenths <= len(f.admittedPerTenth); start++ {
			var sum Amount
			for _, c := range f.admittedPerTenth[start : start+tenths] {
				sum.Requests += c.Requests
				sum.Tokens += c.Tokens
			}
			if sum.Requests > sides*limits.RequestsPerSecond*seconds || sum.Tokens > sides*limits.TokensPerSecond*seconds+400 {
				violations++
			}
		}
	}
	return violations
}

// isolatedLimiter does not coordinate with other nodes and uses a fraction of the
// limits.
type isolatedLimiter struct {
	*Limiter
	fraction float64
}

func (l isolatedLimiter) Admit(ctx context.Context, organisation string, limits Limits, tokens int) (func(), error) {
	limits.RequestsPerSecond *= l.fraction
	limits.TokensPerSecond *= l.fraction
	limits.Concurrent = int(float64(limits.Concurrent) * l.fraction)
	return l.Limiter.Admit(ctx, organisation, limits, tokens)
}

func newIsolatedLimiter(fraction float64) func(f *fleet, node int) admitter {
	return func(_ *fleet, node int) admitter {
		self := member.Member{Name: nodeName(node)}
		return isolatedLimiter{New(Options{
			Node: self.Name, Home: func(string) (member.Member, bool) { return self, true }, Live: func() int { return 1 },
		}), fraction}
	}
}

var shopLimits = Limits{RequestsPerSecond: 100, TokensPerSecond: 15000, Concurrent: 40}

func randomNode(size int) func(r *rand.Rand) int {
	return func(r *rand.Rand) int { return r.IntN(size) }
}

func firstNode(*rand.Rand) int { return 0 }

// Guards against an organisation that is admitted more than its limits over all
// nodes, or much less than its limits although its demand is higher. The runs with
// isolated limiters show that the test detects both faults.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		make       func(f *fleet, node int) admitter
		pick       func(r *rand.Rand) int
		over, less bool
	}{
		"leased, all nodes":                 {newLeasingLimiter, randomNode(8), false, false},
		"leased, one node":                  {newLeasingLimiter, firstNode, false, false},
		"isolated, whole limits":            {newIsolatedLimiter(1), randomNode(8), true, false},
		"isolated, limits divided by nodes": {newIsolatedLimiter(1.0 / 8), firstNode, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, 8, tc.make)
					f.generateLoad(t, shopLimits, 300, time.Minute, 300*time.Millisecond, tc.pick)
					f.stop(t)
					violations := f.violations(shopLimits, 1, 2)
					used := float64(f.admitted) / 60 / 75 // 15000 tokens at 200 each
					t.Logf("offered %d, admitted %d (%.2f of the limit), most running %d, windows over %d",
						f.offered, f.admitted, used, f.maxRunning, violations)
					require.Equal(t, tc.over, violations > 0)
					require.Equal(t, tc.over, f.maxRunning > shopLimits.Concurrent)
					require.Equal(t, tc.less, used < 0.8)
				})
			}
		})
	}
}

// Guards against a network partition in which both sides together admit more than
// the doc comment of Limiter states, or in which a side admits nothing.
func TestPartition(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 8, newLeasingLimiter)
			f.group.Go("partition", func(context.Context) error {
				for _, phase := range []struct{ partitioned, detected bool }{{true, false}, {true, true}, {false, true}, {false, false}} {
					time.Sleep(10 * time.Second)
					f.mu.Lock()
					f.partitioned, f.partitionDetected = phase.partitioned, phase.detected
					f.mu.Unlock()
				}
				return nil
			})
			f.generateLoad(t, shopLimits, 300, 70*time.Second, 300*time.Millisecond, randomNode(8))
			f.stop(t)
			admittedPerSecond := func(from, to int) (n float64) {
				for _, c := range f.admittedPerTenth[from*10 : to*10] {
					n += c.Requests
				}
				return n / float64(to-from)
			}
			t.Logf("admitted/s: before %.0f, cut %.0f, both sides known %.0f, healed %.0f, after %.0f; most running %d",
				admittedPerSecond(2, 10), admittedPerSecond(12, 20), admittedPerSecond(22, 30), admittedPerSecond(32, 40), admittedPerSecond(45, 68), f.maxRunning)
			require.Zero(t, f.violations(shopLimits, 2, 3))
			require.LessOrEqual(t, f.maxRunning, 2*shopLimits.Concurrent)
			require.Positive(t, f.violations(shopLimits, 1, 2), "the partition changed nothing")
			copy(f.admittedPerTenth, make([]Amount, 450))
			require.Zero(t, f.violations(shopLimits, 1, 2), "the limits do not hold after the partition")
			require.Greater(t, admittedPerSecond(45, 68), 60.0)
		})
	}
}

// Guards against a prompt that is never admitted because it is larger than one second
// of tokens. Its tokens must be counted, so that later requests wait.
func TestLargePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, newLeasingLimiter)
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

// Guards against retries that exceed their budgets and against a backoff that
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
