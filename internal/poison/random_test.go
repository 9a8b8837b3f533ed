package poison

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// suspectRegistry is the part of Registry that the random runs use, so that they
// can also run against naive registries.
type suspectRegistry interface {
	Check(ctx context.Context, f Fingerprint) (Verdict, error)
	Reserve(ctx context.Context, f Fingerprint, dispatch string) (Verdict, error)
	Release(ctx context.Context, f Fingerprint, dispatch string) error
	RecordCrash(ctx context.Context, engine string, reports []CrashReport) error
	Clear(ctx context.Context, f Fingerprint) error
	Run(ctx context.Context) error
}

// stream is a dispatch of a prompt that runs on an engine. Its CrashReport is sent
// if the engine crashes.
type stream struct {
	CrashReport
	node  int
	ended chan bool // receives true when the engine crashes
}

type engine struct {
	name      string
	streams   map[string]*stream
	exclusive bool
	crashed   bool
}

// fleet models nodes, engines and callers. Like the scheduler of a cell, it pins
// identical prompts in flight to one engine until their streams have ended and
// any crash has been recorded. Suspects are not pinned, because they may reach
// the schedulers of several cells.
type fleet struct {
	t       *testing.T
	random  *netem.Random
	store   *fakeStore
	net     *fakeNet
	nodes   []suspectRegistry
	group   *group.Group
	engines []*engine

	mu            sync.Mutex
	dispatches    int
	pinCounts     map[Fingerprint]int
	pinnedEngines map[Fingerprint]*engine
	crashing      map[Fingerprint]bool // whether a prompt crashes engines
	crashes       map[Fingerprint]int  // engines that a prompt has crashed
	finished      int
	refused       int
	violations    []string
}

const quarantineTime = time.Hour

func newFleet(t *testing.T, seed uint64, size, engines int, newRegistry func(f *fleet, node int) suspectRegistry) *fleet {
	random := netem.NewRandom(seed)
	f := &fleet{
		t: t, random: random, store: newFakeStore(random), net: &fakeNet{random: random, muxes: map[string]*wire.Mux{}},
		group: group.New(context.WithoutCancel(t.Context())), pinCounts: map[Fingerprint]int{},
		pinnedEngines: map[Fingerprint]*engine{}, crashing: map[Fingerprint]bool{}, crashes: map[Fingerprint]int{},
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{name: fmt.Sprint("engine-", i), streams: map[string]*stream{}})
	}
	for i := range size {
		f.nodes = append(f.nodes, newRegistry(f, i))
		f.group.Go("registry", f.nodes[i].Run)
	}
	time.Sleep(time.Second)
	return f
}

func realRegistry(f *fleet, node int) suspectRegistry {
	name := fmt.Sprint("node-", node)
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	r := New(Options{
		Store: f.store, Caller: fakeCaller{f.net, name}, Node: name, Rand: f.random.Float64, Logger: logger,
		ClockSkew: time.Second, Peers: func() []member.Member {
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			members := make([]member.Member, 0, len(f.net.muxes))
			for peer := range f.net.muxes {
				members = append(members, member.Member{Name: peer, PeerAddress: peer})
			}
			return members
		},
	})
	mux := wire.NewMux()
	r.Register(mux)
	f.net.mu.Lock()
	f.net.muxes[name] = mux
	f.net.mu.Unlock()
	return r
}

// startStream starts a prompt on its pinned engine or on a random one. It returns
// nil if that engine cannot take the prompt.
func (f *fleet) startStream(node int, report CrashReport) (*engine, *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.pinnedEngines[report.Fingerprint]
	if e == nil || report.Alone {
		e = f.engines[f.random.IntN(len(f.engines))]
	}
	if e.crashed || e.exclusive || (report.Alone && len(e.streams) > 0) {
		return nil, nil
	}
	s := &stream{CrashReport: report, node: node, ended: make(chan bool, 1)}
	e.streams[report.Dispatch], e.exclusive = s, report.Alone
	f.pinCounts[report.Fingerprint]++
	f.pinnedEngines[report.Fingerprint] = e
	return e, s
}

// unpin removes one stream from the pin count of its prompt.
func (f *fleet) unpin(p Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pinCounts[p]--; f.pinCounts[p] == 0 {
		delete(f.pinnedEngines, p)
	}
}

// runStream runs a stream to its end and reports whether its engine crashed. A
// crashing prompt crashes the engine, which restarts three seconds later.
func (f *fleet) runStream(e *engine, s *stream) (crashed bool) {
	select {
	case <-s.ended:
		return true
	case <-time.After(50*time.Millisecond + f.random.Duration(500*time.Millisecond)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(s.ended) > 0 {
		return true
	}
	if !f.crashing[s.Fingerprint] {
		delete(e.streams, s.Dispatch)
		e.exclusive = false
		return false
	}
	f.crashes[s.Fingerprint]++
	if f.crashes[s.Fingerprint] > 2 {
		f.violations = append(f.violations, fmt.Sprintf("%s crashed %d engines", s.Fingerprint, f.crashes[s.Fingerprint]))
	}
	e.crashed, e.exclusive = true, false
	for _, other := range e.streams {
		other.ended <- true
	}
	e.streams = map[string]*stream{}
	f.group.Go("restart", func(ctx context.Context) error {
		pause(ctx, 3*time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		e.crashed = false
		return nil
	})
	return true
}

// request sends a prompt through a node. It reports whether the prompt finished or
// was refused, so that the caller does not send it again.
func (f *fleet) request(node int, p Fingerprint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), 20*time.Second)
	defer cancel()
	registry := f.nodes[node]
	f.mu.Lock()
	f.dispatches++
	dispatch := fmt.Sprint("dispatch-", f.dispatches)
	f.mu.Unlock()
	for ; ctx.Err() == nil; pause(ctx, f.random.Duration(200*time.Millisecond)) {
		v, err := registry.Check(ctx, p)
		if err == nil && v.State == Suspected && !v.Wait {
			v, err = registry.Reserve(ctx, p, dispatch)
		}
		if err != nil || v.Wait {
			continue
		}
		if v.State == Quarantined {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.refused++
			if !f.crashing[p] {
				f.violations = append(f.violations, "a harmless prompt was quarantined")
			}
			return true
		}
		report := CrashReport{Fingerprint: p, Dispatch: dispatch, Alone: v.State == Suspected, Quarantine: quarantineTime}
		e, s := f.startStream(node, report)
		if s == nil {
			if report.Alone {
				_ = registry.Release(ctx, p, dispatch)
			}
			continue
		}
		if f.runStream(e, s) {
			// The caller is answered only after the crash is recorded.
			recordCtx, cancelRecord := context.WithTimeout(context.WithoutCancel(f.t.Context()), 10*time.Second)
			_ = registry.RecordCrash(recordCtx, e.name, []CrashReport{report})
			cancelRecord()
			f.unpin(p)
			return false
		}
		f.unpin(p)
		if report.Alone {
			_ = registry.Clear(ctx, p)
		}
		f.mu.Lock()
		f.finished++
		f.mu.Unlock()
		return true
	}
	return false
}

// injectFaults injects one fault at a time until the context ends: an outage of
// the store, lost replies or an isolated node.
func (f *fleet) injectFaults(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, f.random.Duration(10*time.Second))
		switch f.random.IntN(3) {
		case 0:
			f.store.set(true, 0)
			pause(ctx, f.random.Duration(15*time.Second))
		case 1:
			f.store.set(false, 0.5)
			pause(ctx, f.random.Duration(10*time.Second))
		case 2:
			f.net.mu.Lock()
			f.net.isolated = fmt.Sprint("node-", f.random.IntN(len(f.nodes)))
			f.net.mu.Unlock()
			pause(ctx, f.random.Duration(15*time.Second))
			f.net.mu.Lock()
			f.net.isolated = ""
			f.net.mu.Unlock()
		}
		f.store.set(false, 0.01)
		pause(ctx, 5*time.Second)
	}
	return nil
}

// runWithFaults runs harmless and crashing prompts while faults occur, for a
// duration of virtual time. The callers resend failed prompts immediately through
// random nodes. It returns the number of callers whose harmless prompt did not finish.
func (f *fleet) runWithFaults(d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), d)
	defer cancel()
	g := group.New(context.WithoutCancel(f.t.Context()))
	g.Go("faults", func(context.Context) error { return f.injectFaults(ctx) })
	var mu sync.Mutex
	unfinished := 0
	for i := 0; ctx.Err() == nil; i++ {
		p := NewFingerprint("organisation", "model", fmt.Sprint("prompt ", i))
		crashing := f.random.IntN(100) == 0
		f.mu.Lock()
		f.crashing[p] = crashing
		f.mu.Unlock()
		for range 1 + f.random.IntN(2) { // the same prompt from two callers
			g.Go("caller", func(context.Context) error {
				for range 20 {
					if f.request(f.random.IntN(len(f.nodes)), p) {
						return nil
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if !crashing {
					unfinished++
				}
				return nil
			})
		}
		pause(ctx, f.random.Duration(100*time.Millisecond))
	}
	require.NoError(f.t, g.Wait())
	f.group.Stop()
	require.NoError(f.t, f.group.Wait())
	return unfinished
}

func (f *fleet) report(t *testing.T, unfinished int) {
	total, crashing := 0, 0
	for _, n := range f.crashes {
		total += n
		crashing++
	}
	t.Logf("crashing prompts %d, engine crashes %d, finished %d, refused %d, harmless prompts unfinished %d, violations %d",
		crashing, total, f.finished, f.refused, unfinished, len(f.violations))
}

// Guards against a prompt that crashes more than two engines because its callers
// resend it immediately through any node. Also guards against harmless prompts that
// are quarantined or never finish.
func TestRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 6, 24, realRegistry)
				unfinished := f.runWithFaults(10 * time.Minute)
				f.report(t, unfinished)
				require.Empty(t, f.violations)
				require.Zero(t, unfinished)
				require.NotZero(t, f.refused)
			})
		})
	}
}

// naive is a registry that knows only the crashes of its own node, unless several
// nodes use the same value. With quarantineAll it quarantines every prompt that
// ran on a crashed engine, after the first crash.
type naive struct {
	quarantineAll bool
	mu            *sync.Mutex
	crashes       map[Fingerprint]int
}

func (n naive) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func (n naive) Check(_ context.Context, f Fingerprint) (Verdict, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch crashes := n.crashes[f]; {
	case crashes >= 2 || crashes == 1 && n.quarantineAll:
		return Verdict{State: Quarantined}, nil
	case crashes == 1:
		return Verdict{State: Suspected}, nil
	}
	return Verdict{State: Clear}, nil
}

func (n naive) Reserve(ctx context.Context, f Fingerprint, _ string) (Verdict, error) {
	return n.Check(ctx, f)
}

func (n naive) Release(context.Context, Fingerprint, string) error { return nil }
func (n naive) Clear(context.Context, Fingerprint) error           { return nil }

func (n naive) RecordCrash(_ context.Context, _ string, reports []CrashReport) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashes[reports[0].Fingerprint]++
	return nil
}

// Guards against random runs that pass although the registry does not share crashes
// between nodes, or quarantines every prompt that ran on a crashed engine. Each naive
// registry must cause violations.
func TestNaiveRegistriesFail(t *testing.T) {
	shared := func(quarantineAll bool) func(*fleet, int) suspectRegistry {
		n := naive{quarantineAll: quarantineAll, mu: &sync.Mutex{}, crashes: map[Fingerprint]int{}}
		return func(*fleet, int) suspectRegistry { return n }
	}
	cases := map[string]func(f *fleet, node int) suspectRegistry{
		"own node only": func(*fleet, int) suspectRegistry {
			return naive{mu: &sync.Mutex{}, crashes: map[Fingerprint]int{}}
		},
		"all prompts of the engine": shared(true),
	}
	for name, newRegistry := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 6, 24, newRegistry)
				f.report(t, f.runWithFaults(10*time.Minute))
				require.NotEmpty(t, f.violations)
			})
		})
	}
}

// Guards against a suspect that is dispatched while the platform is down, and
// against a node that starts during an outage and does not load the records of its
// peers. Also guards against a quarantine that does not end, and against a lifted
// quarantine that other nodes still apply.
func TestOutageAndLift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 1, realRegistry)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		p := NewFingerprint("o", "m", "killer")
		check := func(node int) Verdict {
			v, err := f.nodes[node].Check(ctx, p)
			require.NoError(t, err)
			return v
		}
		require.Equal(t, Verdict{State: Clear}, check(1))
		require.NoError(t, f.nodes[0].RecordCrash(ctx, "e", []CrashReport{{Fingerprint: p, Dispatch: "1"}}))
		require.Equal(t, Verdict{State: Suspected}, check(1))
		require.NoError(t, f.nodes[0].RecordCrash(ctx, "e", []CrashReport{{Fingerprint: p, Dispatch: "1", Alone: true}}))
		require.Equal(t, Suspected, check(0).State, "the first crash was counted twice")

		f.store.set(true, 0)
		time.Sleep(time.Second)
		require.Equal(t, Verdict{State: Suspected, Wait: true, Stale: true}, check(1))
		lateNode := realRegistry(f, 2)
		f.nodes = append(f.nodes, lateNode)
		f.group.Go("late", lateNode.Run)
		_, err := lateNode.Check(ctx, p)
		require.True(t, fault.Is(err, fault.PlatformDown), err)
		time.Sleep(time.Second)
		require.Equal(t, Verdict{State: Suspected, Wait: true, Stale: true}, check(2))
		shortCtx, stop := context.WithTimeout(ctx, time.Second)
		other := CrashReport{Fingerprint: NewFingerprint("o", "m", "other"), Dispatch: "2"}
		require.True(t, fault.Is(f.nodes[0].RecordCrash(shortCtx, "e", []CrashReport{other}), fault.PlatformDown))
		stop()
		v, err := f.nodes[1].Check(ctx, other.Fingerprint)
		require.NoError(t, err)
		require.True(t, v.Wait, "a peer may dispatch a suspect that is not committed")
		f.store.set(false, 0)
		time.Sleep(15 * time.Second)
		v, err = f.nodes[1].Check(ctx, other.Fingerprint)
		require.NoError(t, err)
		require.Equal(t, Verdict{State: Suspected}, v)

		require.NoError(t, f.nodes[1].RecordCrash(ctx, "e", []CrashReport{{Fingerprint: p, Dispatch: "3", Alone: true, Quarantine: time.Minute}}))
		require.Equal(t, Quarantined, check(2).State)
		require.Len(t, lateNode.(*Registry).List(), 2)
		time.Sleep(time.Minute)
		require.Equal(t, Clear, check(0).State)

		liftCtx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		require.NoError(t, lateNode.(*Registry).Lift(liftCtx, other.Fingerprint))
		v, err = f.nodes[0].Check(liftCtx, other.Fingerprint)
		require.NoError(t, err)
		require.Equal(t, Clear, v.State)
		require.True(t, fault.Is(lateNode.(*Registry).Lift(liftCtx, other.Fingerprint), fault.NotFound))
		f.group.Stop()
		require.NoError(t, f.group.Wait())
	})
}
