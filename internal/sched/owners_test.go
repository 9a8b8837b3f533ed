package sched

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// twoOwners is one cell with two schedulers at once. Half of the entry nodes
// ask the second one until it stops.
type twoOwners struct {
	t      *testing.T
	f      *fakeFleet
	names  []string
	owners [2]*Scheduler
	start  time.Time

	mu sync.Mutex
	// ownerIndex is the scheduler that each node asks.
	ownerIndex []int
	held       []map[string]Held
	// started and refused count the starts that the engines accepted and
	// refused, by phase.
	started, refused [3]int
}

const (
	ownerNodes = 6
	// staleOwner is how long the second scheduler runs; within settleOwners
	// after it the first one must know every stream.
	staleOwner   = time.Minute
	settleOwners = 20 * time.Second
	ownerCalls   = 2 * time.Minute
	renewOwner   = 5 * time.Second
)

func newTwoOwners(t *testing.T, seed uint64) *twoOwners {
	w := &twoOwners{t: t, start: time.Now(), ownerIndex: make([]int, ownerNodes)}
	capacities := map[string]int{}
	for i := range 4 {
		w.names = append(w.names, fmt.Sprint("e", i))
		capacities[w.names[i]] = 100_000
	}
	w.f = newFakeFleet(t, capacities)
	w.f.delay, w.f.strict = 20*time.Millisecond, true
	for i := range w.owners {
		w.owners[i] = fleetScheduler(t, w.f, w.names, func(o *Options) {
			o.Owner, o.Rand = fmt.Sprint("n", i), rand.New(rand.NewPCG(seed, uint64(i)))
			o.GatherHold = 5 * time.Second
		})
	}
	for node := range w.ownerIndex {
		w.ownerIndex[node] = node % 2
		w.held = append(w.held, map[string]Held{})
	}
	return w
}

func (w *twoOwners) phase() int {
	switch at := time.Since(w.start); {
	case at < staleOwner:
		return 0
	case at < staleOwner+settleOwners:
		return 1
	}
	return 2
}

func (w *twoOwners) owner(node int) *Scheduler {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[w.ownerIndex[node]]
}

// reports sends lagging load reports to both schedulers.
func (w *twoOwners) reports(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, n := range w.names {
			r := w.f.load(n)
			time.Sleep(100 * time.Millisecond)
			r.AgeMillis = 100
			for _, s := range w.owners {
				s.Report(n, n, r)
			}
		}
	}
	return ctx.Err()
}

// renew extends the grants of a node as its ledger does.
func (w *twoOwners) renew(ctx context.Context, node int) error {
	for ctx.Err() == nil {
		time.Sleep(renewOwner)
		w.mu.Lock()
		r := Renewal{Cell: "c", Entry: fmt.Sprint(node)}
		for _, h := range w.held[node] {
			r.Held = append(r.Held, h)
		}
		w.mu.Unlock()
		_, _ = w.owner(node).Renew(r)
	}
	return ctx.Err()
}

// call runs one request as an entry node does: a start that the engine
// refuses was not run and is tried again.
func (w *twoOwners) call(ctx context.Context, node int, req Request, run time.Duration) {
	deadline := time.Now().Add(req.Remaining)
	for ; time.Now().Before(deadline); req.Attempt++ {
		req.Remaining = time.Until(deadline)
		g, err := w.owner(node).Acquire(ctx, req)
		if time.Now().After(deadline) {
			w.t.Errorf("%s returned after its deadline", req.ID)
		}
		if fault.Is(err, fault.NotOwner) {
			continue
		}
		if err != nil {
			return
		}
		accepted := w.f.start(g, req)
		w.mu.Lock()
		if !accepted {
			w.refused[w.phase()]++
			w.mu.Unlock()
			w.owner(node).Release(Release{ID: g.ID, Failed: true})
			time.Sleep(200 * time.Millisecond)
			continue
		}
		w.started[w.phase()]++
		w.held[node][g.ID] = Held{
			ID: g.ID, RequestID: req.ID, Attempt: req.Attempt, Engine: g.Engine, Organisation: req.Organisation,
			Tokens: req.PromptTokens, Members: g.Members, Reservation: g.Reservation, Shares: g.Shares,
		}
		w.mu.Unlock()
		time.Sleep(run)
		w.f.end(g)
		w.mu.Lock()
		delete(w.held[node], g.ID)
		w.mu.Unlock()
		w.owner(node).Release(Release{ID: g.ID, PromptTokens: req.PromptTokens})
		return
	}
}

// checkReservations fails the test when an engine keeps a reservation whose
// request has ended.
func (w *twoOwners) checkReservations() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	held := map[string]bool{}
	for _, m := range w.held {
		for _, h := range m {
			held[h.Reservation] = true
		}
	}
	if g := w.owners[0].gather; g != nil {
		held[g.id] = true
	}
	for n, e := range w.f.engines {
		for id := range e.reservations {
			if !held[id] {
				w.t.Errorf("%s keeps %s", n, id)
			}
		}
	}
}

// caller sends requests of a node until the calls end.
func (w *twoOwners) caller(ctx context.Context, node int, seed uint64, i int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(100+i)))
	for n := 0; time.Since(w.start) < ownerCalls; n++ {
		req := newRequest(fmt.Sprintf("%d-%d", i, n), 2_000+rnd.IntN(20_000), time.Duration(5+rnd.IntN(40))*time.Second)
		req.Organisation = fmt.Sprint("o", rnd.IntN(4))
		if rnd.IntN(60) == 0 {
			req.PromptTokens = 110_000 + rnd.IntN(100_000)
		}
		w.call(ctx, node, req, time.Duration(500+rnd.IntN(8000))*time.Millisecond)
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	}
}

// Guards against two schedulers of one cell that hand out memory which the
// engines do not have, leave memory booked after the last request, or hold a
// request beyond its deadline, and against a remaining scheduler that keeps
// handing out memory of the streams of the other one.
func TestTwoOwners(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { twoOwnersRun(t, seed) })
		})
	}
}

func twoOwnersRun(t *testing.T, seed uint64) {
	w := newTwoOwners(t, seed)
	run := group.New(t.Context())
	stale, stop := context.WithCancel(t.Context())
	run.Go("first", w.owners[0].Run)
	second := group.New(stale)
	second.Go("second", w.owners[1].Run)
	run.Go("reports", w.reports)
	callers := group.New(t.Context())
	for node := range ownerNodes {
		run.Go("renew", func(ctx context.Context) error { return w.renew(ctx, node) })
		for i := range 8 {
			callers.Go("caller", func(ctx context.Context) error {
				w.caller(ctx, node, seed, 8*node+i)
				return nil
			})
		}
	}
	time.Sleep(staleOwner)
	w.mu.Lock()
	clear(w.ownerIndex) // a daemon does not pass calls to a scheduler it stopped
	w.mu.Unlock()
	stop()
	require.NoError(t, second.Wait())
	time.Sleep(settleOwners)
	synctest.Wait()
	w.checkReservations()
	require.NoError(t, callers.Wait())
	t.Log("started", w.started, "refused", w.refused)
	require.Positive(t, w.refused[0], "the schedulers compete for memory")
	require.Positive(t, w.started[2])
	require.Zero(t, w.refused[2], "starts refused after one scheduler stopped")
	time.Sleep(2 * defaultLifetime)
	snap := w.owners[0].Snapshot()
	require.Empty(t, snap.Queue)
	require.Empty(t, snap.Grants)
	for _, e := range snap.Engines {
		require.Zero(t, e.Reserved+e.Held+e.Foreign, e.Name)
	}
	run.Stop()
	require.NoError(t, run.Wait())
	for _, n := range w.names {
		require.Zero(t, w.f.load(n).UsedTokens, n)
	}
}
