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

// keeper is what the random run needs of a registry, so that it can also run
// against naive ones.
type keeper interface {
	Check(ctx context.Context, f Fingerprint) (Verdict, error)
	Reserve(ctx context.Context, f Fingerprint, dispatch string) (Verdict, error)
	Release(ctx context.Context, f Fingerprint, dispatch string) error
	Blame(ctx context.Context, engine string, marks []Mark) error
	Cleared(ctx context.Context, f Fingerprint) error
	Run(ctx context.Context) error
}

// stream is a prompt that runs on an engine.
type stream struct {
	Mark
	node  int
	ended chan bool // receives whether the engine died
}

type engine struct {
	name      string
	streams   map[string]*stream
	exclusive bool
	dead      bool
}

// fleet models nodes, engines and callers. As a cell's scheduler does, it pins
// identical prompts in flight to one engine until their streams have ended and
// their crash has been blamed. Suspects are not pinned, because they may reach
// the schedulers of several cells.
type fleet struct {
	t       *testing.T
	dice    *netem.Dice
	store   *fakeStore
	net     *fakeNet
	nodes   []keeper
	group   *group.Group
	engines []*engine

	mu         sync.Mutex
	dispatches int
	pins       map[Fingerprint]int
	pinned     map[Fingerprint]*engine
	killers    map[Fingerprint]bool
	cost       map[Fingerprint]int
	finished   int
	refused    int
	violations []string
}

const quarantineTime = time.Hour

func newFleet(t *testing.T, seed uint64, size, engines int, mk func(f *fleet, node int) keeper) *fleet {
	d := netem.NewDice(seed)
	f := &fleet{
		t: t, dice: d, store: newFakeStore(d), net: &fakeNet{dice: d, muxes: map[string]*wire.Mux{}},
		group: group.New(context.WithoutCancel(t.Context())), pins: map[Fingerprint]int{},
		pinned: map[Fingerprint]*engine{}, killers: map[Fingerprint]bool{}, cost: map[Fingerprint]int{},
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{name: fmt.Sprint("engine-", i), streams: map[string]*stream{}})
	}
	for i := range size {
		f.nodes = append(f.nodes, mk(f, i))
		f.group.Go("keeper", f.nodes[i].Run)
	}
	time.Sleep(time.Second)
	return f
}

func realRegistry(f *fleet, node int) keeper {
	name := fmt.Sprint("node-", node)
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	r := New(Options{
		Store: f.store, Caller: port{f.net, name}, Node: name, Rand: f.dice.Float, Logger: logger,
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

// start places a prompt on an engine, or returns nil when none is free.
func (f *fleet) start(node int, m Mark) (*engine, *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.pinned[m.Fingerprint]
	if e == nil || m.Alone {
		e = f.engines[f.dice.Below(len(f.engines))]
	}
	if e.dead || e.exclusive || (m.Alone && len(e.streams) > 0) {
		return nil, nil
	}
	s := &stream{Mark: m, node: node, ended: make(chan bool, 1)}
	e.streams[m.Dispatch], e.exclusive = s, m.Alone
	f.pins[m.Fingerprint]++
	f.pinned[m.Fingerprint] = e
	return e, s
}

func (f *fleet) unpin(p Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pins[p]--; f.pins[p] == 0 {
		delete(f.pinned, p)
	}
}

// run lets a stream end, or kill its engine if the prompt is a killer.
func (f *fleet) run(e *engine, s *stream) (died bool) {
	select {
	case <-s.ended:
		return true
	case <-time.After(50*time.Millisecond + f.dice.Duration(500*time.Millisecond)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(s.ended) > 0 {
		return true
	}
	if !f.killers[s.Fingerprint] {
		delete(e.streams, s.Dispatch)
		e.exclusive = false
		return false
	}
	f.cost[s.Fingerprint]++
	if f.cost[s.Fingerprint] > 2 {
		f.violations = append(f.violations, fmt.Sprintf("%s killed %d engines", s.Fingerprint, f.cost[s.Fingerprint]))
	}
	e.dead, e.exclusive = true, false
	for _, other := range e.streams {
		other.ended <- true
	}
	e.streams = map[string]*stream{}
	f.group.Go("restart", func(ctx context.Context) error {
		pause(ctx, 3*time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		e.dead = false
		return nil
	})
	return true
}

// request is one send through a node. It returns whether the caller may stop.
func (f *fleet) request(node int, p Fingerprint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), 20*time.Second)
	defer cancel()
	keeper := f.nodes[node]
	f.mu.Lock()
	f.dispatches++
	dispatch := fmt.Sprint("dispatch-", f.dispatches)
	f.mu.Unlock()
	for ; ctx.Err() == nil; pause(ctx, f.dice.Duration(200*time.Millisecond)) {
		v, err := keeper.Check(ctx, p)
		if err == nil && v.State == Alone && !v.Wait {
			v, err = keeper.Reserve(ctx, p, dispatch)
		}
		if err != nil || v.Wait {
			continue
		}
		if v.State == Quarantined {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.refused++
			if !f.killers[p] {
				f.violations = append(f.violations, "an innocent prompt was quarantined")
			}
			return true
		}
		m := Mark{Fingerprint: p, Dispatch: dispatch, Alone: v.State == Alone, Quarantine: quarantineTime}
		e, s := f.start(node, m)
		if s == nil {
			if m.Alone {
				_ = keeper.Release(ctx, p, dispatch)
			}
			continue
		}
		if f.run(e, s) {
			// The caller is told only after the crash is recorded.
			blame, stop := context.WithTimeout(context.WithoutCancel(f.t.Context()), 10*time.Second)
			_ = keeper.Blame(blame, e.name, []Mark{m})
			stop()
			f.unpin(p)
			return false
		}
		f.unpin(p)
		if m.Alone {
			_ = keeper.Cleared(ctx, p)
		}
		f.mu.Lock()
		f.finished++
		f.mu.Unlock()
		return true
	}
	return false
}

// faults lets one fault at a time happen until the context ends.
func (f *fleet) faults(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, f.dice.Duration(10*time.Second))
		switch f.dice.Below(3) {
		case 0:
			f.store.set(true, 0)
			pause(ctx, f.dice.Duration(15*time.Second))
		case 1:
			f.store.set(false, 0.5)
			pause(ctx, f.dice.Duration(10*time.Second))
		case 2:
			f.net.mu.Lock()
			f.net.cut = fmt.Sprint("node-", f.dice.Below(len(f.nodes)))
			f.net.mu.Unlock()
			pause(ctx, f.dice.Duration(15*time.Second))
			f.net.mu.Lock()
			f.net.cut = ""
			f.net.mu.Unlock()
		}
		f.store.set(false, 0.01)
		pause(ctx, 5*time.Second)
	}
	return nil
}

// play runs innocent and killing prompts whose callers resend at once through
// any node. It returns how many innocent prompts did not finish.
func (f *fleet) play(d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), d)
	defer cancel()
	g := group.New(context.WithoutCancel(f.t.Context()))
	g.Go("faults", func(context.Context) error { return f.faults(ctx) })
	var mu sync.Mutex
	unfinished := 0
	for i := 0; ctx.Err() == nil; i++ {
		p := NewFingerprint("organisation", "model", fmt.Sprint("prompt ", i))
		killer := f.dice.Below(100) == 0
		f.mu.Lock()
		f.killers[p] = killer
		f.mu.Unlock()
		for range 1 + f.dice.Below(2) { // the same prompt from two callers
			g.Go("caller", func(context.Context) error {
				for range 20 {
					if f.request(f.dice.Below(len(f.nodes)), p) {
						return nil
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if !killer {
					unfinished++
				}
				return nil
			})
		}
		pause(ctx, f.dice.Duration(100*time.Millisecond))
	}
	require.NoError(f.t, g.Wait())
	f.group.Stop()
	require.NoError(f.t, f.group.Wait())
	return unfinished
}

func (f *fleet) report(t *testing.T, unfinished int) {
	total, killers := 0, 0
	for _, n := range f.cost {
		total += n
		killers++
	}
	t.Logf("killing prompts %d, engines killed %d, finished %d, refused %d, innocents unfinished %d, violations %d",
		killers, total, f.finished, f.refused, unfinished, len(f.violations))
}

// Guards against a prompt that kills more than two engines while its callers
// resend to any node at once, against innocent prompts that are quarantined and
// against innocent prompts that never finish.
func TestRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 6, 24, realRegistry)
				unfinished := f.play(10 * time.Minute)
				f.report(t, unfinished)
				require.Empty(t, f.violations)
				require.Zero(t, unfinished)
				require.NotZero(t, f.refused)
			})
		})
	}
}

// naive knows only crashes that its own node saw. With batch it quarantines
// every prompt of the batch after the first crash, in the memory all nodes
// share.
type naive struct {
	batch   bool
	mu      *sync.Mutex
	crashes map[Fingerprint]int
}

func (n naive) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func (n naive) Check(_ context.Context, f Fingerprint) (Verdict, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch crashes := n.crashes[f]; {
	case crashes >= 2 || crashes == 1 && n.batch:
		return Verdict{State: Quarantined}, nil
	case crashes == 1:
		return Verdict{State: Alone}, nil
	}
	return Verdict{State: Clear}, nil
}

func (n naive) Reserve(ctx context.Context, f Fingerprint, _ string) (Verdict, error) {
	return n.Check(ctx, f)
}

func (n naive) Release(context.Context, Fingerprint, string) error { return nil }
func (n naive) Cleared(context.Context, Fingerprint) error         { return nil }

func (n naive) Blame(_ context.Context, _ string, marks []Mark) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashes[marks[0].Fingerprint]++
	return nil
}

// Guards against a random run that cannot see a missing mechanism.
func TestNaiveRegistriesFail(t *testing.T) {
	shared := func(batch bool) func(*fleet, int) keeper {
		n := naive{batch: batch, mu: &sync.Mutex{}, crashes: map[Fingerprint]int{}}
		return func(*fleet, int) keeper { return n }
	}
	cases := map[string]func(f *fleet, node int) keeper{
		"own node only": func(*fleet, int) keeper {
			return naive{mu: &sync.Mutex{}, crashes: map[Fingerprint]int{}}
		},
		"whole batch": shared(true),
	}
	for name, mk := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 6, 24, mk)
				f.report(t, f.play(10*time.Minute))
				require.NotEmpty(t, f.violations)
			})
		})
	}
}

// Guards against a suspect that is dispatched while the platform is down, a
// node that starts in an outage without the peers' records, a quarantine that
// does not end, and a lift that other nodes do not see.
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
		require.NoError(t, f.nodes[0].Blame(ctx, "e", []Mark{{Fingerprint: p, Dispatch: "1"}}))
		require.Equal(t, Verdict{State: Alone}, check(1))
		require.NoError(t, f.nodes[0].Blame(ctx, "e", []Mark{{Fingerprint: p, Dispatch: "1", Alone: true}}))
		require.Equal(t, Alone, check(0).State, "the first crash counted twice")

		f.store.set(true, 0)
		time.Sleep(time.Second)
		require.Equal(t, Verdict{State: Alone, Wait: true, Stale: true}, check(1))
		late := realRegistry(f, 2)
		f.nodes = append(f.nodes, late)
		f.group.Go("late", late.Run)
		_, err := late.Check(ctx, p)
		require.True(t, fault.Is(err, fault.PlatformDown), err)
		time.Sleep(time.Second)
		require.Equal(t, Verdict{State: Alone, Wait: true, Stale: true}, check(2))
		short, stop := context.WithTimeout(ctx, time.Second)
		other := Mark{Fingerprint: NewFingerprint("o", "m", "other"), Dispatch: "2"}
		require.True(t, fault.Is(f.nodes[0].Blame(short, "e", []Mark{other}), fault.PlatformDown))
		stop()
		v, err := f.nodes[1].Check(ctx, other.Fingerprint)
		require.NoError(t, err)
		require.True(t, v.Wait, "a peer dispatches a suspect that is not committed")
		f.store.set(false, 0)
		time.Sleep(15 * time.Second)
		v, err = f.nodes[1].Check(ctx, other.Fingerprint)
		require.NoError(t, err)
		require.Equal(t, Verdict{State: Alone}, v)

		require.NoError(t, f.nodes[1].Blame(ctx, "e", []Mark{{Fingerprint: p, Dispatch: "3", Alone: true, Quarantine: time.Minute}}))
		require.Equal(t, Quarantined, check(2).State)
		require.Len(t, late.(*Registry).List(), 2)
		time.Sleep(time.Minute)
		require.Equal(t, Clear, check(0).State)

		renewed, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		require.NoError(t, late.(*Registry).Lift(renewed, other.Fingerprint))
		v, err = f.nodes[0].Check(renewed, other.Fingerprint)
		require.NoError(t, err)
		require.Equal(t, Clear, v.State)
		require.True(t, fault.Is(late.(*Registry).Lift(renewed, other.Fingerprint), fault.NotFound))
		f.group.Stop()
		require.NoError(t, f.group.Wait())
	})
}
