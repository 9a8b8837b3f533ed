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

// twoOwners is a cell with two schedulers at the same time. Half of the entry nodes
// use the second one until it stops.
type twoOwners struct {
	t      *testing.T
	fleet  *fakeFleet
	names  []string
	owners [2]*Scheduler
	start  time.Time

	mu sync.Mutex
	// ownerIndex is the index in owners of the scheduler that each node uses, held
	// the grants of each node by their ids.
	ownerIndex []int
	held       []map[string]HeldGrant
	// started and refused count the streams that the engines accepted and
	// refused at the start, by phase.
	started, refused [3]int
}

const (
	entryNodes = 6
	// secondOwnerTime is how long the second scheduler runs. Within settleTime
	// after that, the first scheduler must know every stream.
	secondOwnerTime = time.Minute
	settleTime      = 20 * time.Second
	callTime        = 2 * time.Minute
	renewInterval   = 5 * time.Second
)

func newTwoOwners(t *testing.T, seed uint64) *twoOwners {
	w := &twoOwners{t: t, start: time.Now(), ownerIndex: make([]int, entryNodes)}
	capacities := map[string]int{}
	for i := range 4 {
		w.names = append(w.names, fmt.Sprint("e", i))
		capacities[w.names[i]] = 100_000
	}
	w.fleet = newFakeFleet(t, capacities)
	w.fleet.reserveDelay, w.fleet.strict = 20*time.Millisecond, true
	for i := range w.owners {
		w.owners[i] = fleetScheduler(t, w.fleet, w.names, func(o *Options) {
			o.Owner, o.Rand = fmt.Sprint("n", i), rand.New(rand.NewPCG(seed, uint64(i)))
			o.GatherHold = 5 * time.Second
		})
	}
	for node := range w.ownerIndex {
		w.ownerIndex[node] = node % 2
		w.held = append(w.held, map[string]HeldGrant{})
	}
	return w
}

// phase is 0 while both schedulers run, 1 during settleTime and 2 afterwards.
func (w *twoOwners) phase() int {
	switch at := time.Since(w.start); {
	case at < secondOwnerTime:
		return 0
	case at < secondOwnerTime+settleTime:
		return 1
	}
	return 2
}

func (w *twoOwners) owner(node int) *Scheduler {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[w.ownerIndex[node]]
}

// reports sends load reports to both schedulers with a delay.
func (w *twoOwners) reports(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, n := range w.names {
			r := w.fleet.load(n)
			time.Sleep(100 * time.Millisecond)
			r.AgeMillis = 100
			for _, s := range w.owners {
				s.Report(n, n, r)
			}
		}
	}
	return ctx.Err()
}

// renew renews the grants of an entry node, as the grantSet of an entry node does.
func (w *twoOwners) renew(ctx context.Context, node int) error {
	for ctx.Err() == nil {
		time.Sleep(renewInterval)
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

// call runs one request as an entry node does: a request that the engine refuses
// at its start was not run and is tried again.
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
		accepted := w.fleet.start(g, req)
		w.mu.Lock()
		if !accepted {
			w.refused[w.phase()]++
			w.mu.Unlock()
			w.owner(node).Release(Release{ID: g.ID, Failed: true})
			time.Sleep(200 * time.Millisecond)
			continue
		}
		w.started[w.phase()]++
		w.held[node][g.ID] = HeldGrant{
			ID: g.ID, RequestID: req.ID, Attempt: req.Attempt, Engine: g.Engine, Organisation: req.Organisation,
			Tokens: req.PromptTokens, Members: g.Members, Reservation: g.Reservation, Shares: g.Shares,
		}
		w.mu.Unlock()
		time.Sleep(run)
		w.fleet.end(g)
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
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	held := map[string]bool{}
	for _, m := range w.held {
		for _, h := range m {
			held[h.Reservation] = true
		}
	}
	if g := w.owners[0].gather; g != nil {
		held[g.id] = true
	}
	for n, e := range w.fleet.engines {
		for id := range e.reservations {
			if !held[id] {
				w.t.Errorf("engine %s keeps reservation %s", n, id)
			}
		}
	}
}

// caller sends requests through an entry node until callTime has passed.
func (w *twoOwners) caller(ctx context.Context, node int, seed uint64, i int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(100+i)))
	for n := 0; time.Since(w.start) < callTime; n++ {
		req := newRequest(fmt.Sprintf("%d-%d", i, n), 2_000+rnd.IntN(20_000), time.Duration(5+rnd.IntN(40))*time.Second)
		req.Organisation = fmt.Sprint("o", rnd.IntN(4))
		if rnd.IntN(60) == 0 {
			req.PromptTokens = 110_000 + rnd.IntN(100_000)
		}
		w.call(ctx, node, req, time.Duration(500+rnd.IntN(8000))*time.Millisecond)
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	}
}

// Two schedulers of one cell compete for the memory of its engines. Guards against
// streams that exceed this memory, memory that stays booked after the last request
// and requests that wait beyond their deadline. After one scheduler has stopped, the
// other must not grant memory that streams of the stopped one use.
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
	secondCtx, stop := context.WithCancel(t.Context())
	run.Go("first", w.owners[0].Run)
	second := group.New(secondCtx)
	second.Go("second", w.owners[1].Run)
	run.Go("reports", w.reports)
	callers := group.New(t.Context())
	for node := range entryNodes {
		run.Go("renew", func(ctx context.Context) error { return w.renew(ctx, node) })
		for i := range 8 {
			callers.Go("caller", func(ctx context.Context) error {
				w.caller(ctx, node, seed, 8*node+i)
				return nil
			})
		}
	}
	time.Sleep(secondOwnerTime)
	w.mu.Lock()
	clear(w.ownerIndex) // a daemon passes no calls to a scheduler that it has stopped
	w.mu.Unlock()
	stop()
	require.NoError(t, second.Wait())
	time.Sleep(settleTime)
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
		require.Zero(t, e.Booked+e.Held+e.Unexplained, e.Name)
	}
	run.Stop()
	require.NoError(t, run.Wait())
	for _, n := range w.names {
		require.Zero(t, w.fleet.load(n).UsedTokens, n)
	}
}
