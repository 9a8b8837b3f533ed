package crash

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Guards against a quarantine, or a suspicion, that rests on the end of an engine which goes
// on heartbeating, and against evidence that is withdrawn although nothing shows it wrong:
// the engine is gone, or the registrations may be out of date.
func TestEndsThatAreNoEnds(t *testing.T) {
	type hostState struct{ registered, current bool }
	cases := map[string]struct {
		// first holds until shortly before the registration would have lapsed, and last
		// from then on.
		first, last hostState
		// soon and later say whether the evidence is withdrawn once the registration
		// would have lapsed, and after as long again.
		soon, later bool
	}{
		"registered":                         {hostState{true, true}, hostState{true, true}, true, true},
		"gone":                               {hostState{true, true}, hostState{false, true}, false, false},
		"registrations out of date":          {hostState{true, false}, hostState{true, false}, false, false},
		"registrations out of date at last":  {hostState{true, true}, hostState{true, false}, false, false},
		"registrations out of date at first": {hostState{true, false}, hostState{true, true}, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, hs := group.New(t.Context()), &hosts{muxes: map[string]*wire.Mux{}}
				var state atomic.Pointer[hostState]
				state.Store(&tc.first)
				hs.registered = func(string) bool { return state.Load().registered }
				hs.current = func() bool { return state.Load().current }
				sound := Content{Whole: 1, Shared: []Part{2}}
				reporter, other := hs.start(g, "reporter"), hs.start(g, "other")
				time.Sleep(lapseTime)
				reporter.Report(Report{Engine: "e1@1", Content: Content{Whole: 3, Shared: []Part{2}}})
				synctest.Wait()
				reporter.Report(Report{Engine: "e2@1", Content: sound, Suspects: []Part{1, 2}})
				time.Sleep(lapseTime - 2*verifyInterval)
				require.Positive(t, other.Check(sound).RefusedFor)
				state.Store(&tc.last)
				time.Sleep(3 * verifyInterval)
				require.Equal(t, tc.soon, other.Check(sound).RefusedFor == 0)
				for host, r := range map[string]*Registry{"reporter": reporter, "other": other, "later": hs.start(g, "later")} {
					time.Sleep(lapseTime + exchangeInterval)
					v := r.Check(sound)
					require.Equal(t, tc.later, v.RefusedFor == 0, host)
					require.Equal(t, tc.later, len(v.Suspects) == 0, host)
				}
				g.Stop()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// platformStore holds the quarantines on the platform.
type platformStore struct {
	mu          sync.Mutex
	quarantines map[string]Quarantine
	withdrawals int
	published   int
}

func (s *platformStore) Publish(_ context.Context, q Quarantine) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantines[q.Key()] = q
	s.published++
	return nil
}

func (s *platformStore) Withdraw(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.quarantines, key)
	s.withdrawals++
	return nil
}

// calls returns the number of calls to Withdraw.
func (s *platformStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawals
}

// publications returns the number of calls to Publish.
func (s *platformStore) publications() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published
}

func (s *platformStore) list() []Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.quarantines))
}

// Guards against a quarantine that stays on the platform, or on a host that adopted it from
// there, after it turned out to be wrong, and against a call by each host to remove it.
func TestWithdrawnFromThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformStore{quarantines: map[string]Quarantine{}}
		g, hs := group.New(t.Context()), &hosts{
			muxes: map[string]*wire.Mux{}, store: store,
			registered: func(string) bool { return true }, current: func() bool { return true },
		}
		start := func(name string) *Registry {
			r := hs.start(g, name)
			g.Go("sync", func(ctx context.Context) error {
				for group.Sleep(ctx, 50*time.Millisecond) {
					r.Sync(store.list())
				}
				return nil
			})
			return r
		}
		registries := map[string]*Registry{}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			registries[name] = start(name)
		}
		time.Sleep(lapseTime)
		sound := Content{Whole: 1, Shared: []Part{2}}
		registries["a"].Report(Report{Engine: "e1@1", Content: sound, Suspects: []Part{1, 2}})
		time.Sleep(lapseTime / 2)
		require.Len(t, store.list(), 1)
		registries["started later"] = start("started later")
		time.Sleep(time.Second)
		require.Positive(t, registries["started later"].Check(sound).RefusedFor)

		time.Sleep(lapseTime/2 + takeoverDelay)
		require.Empty(t, store.list())
		require.LessOrEqual(t, store.calls(), 2)
		time.Sleep(lapseTime)
		for name, r := range registries {
			require.Zero(t, r.Check(sound).RefusedFor, name)
		}
		require.Empty(t, store.list())
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// Guards against a quarantine that all hosts publish at the same moment after the platform
// came back from a copy without it.
func TestLostQuarantine(t *testing.T) {
	// newsTime is the time in which all hosts learn what one has published.
	const count, newsTime = 60, 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store := &platformStore{quarantines: map[string]Quarantine{}}
		g, hs := group.New(t.Context()), &hosts{muxes: map[string]*wire.Mux{}, store: store}
		var registries []*Registry
		for i := range count {
			registries = append(registries, hs.start(g, strconv.Itoa(i)))
		}
		q := Quarantine{Parts: []Part{1, 2}, Engine: "e1@1", Until: time.Now().Add(minQuarantine), Term: minQuarantine}
		for _, r := range registries {
			r.Sync([]Quarantine{q})
		}
		time.Sleep(republishDelay)
		for _, r := range registries {
			r.Sync(nil)
		}
		time.Sleep(republishDelay)
		require.Zero(t, store.publications())
		for range republishSpread / newsTime {
			time.Sleep(newsTime)
			for _, r := range registries {
				r.Sync(store.list())
			}
		}
		require.Positive(t, store.publications())
		require.LessOrEqual(t, store.publications(), count/3)
		g.Stop()
		require.NoError(t, g.Wait())
	})
}
