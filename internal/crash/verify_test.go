package crash

import (
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
				state := tc.first
				hs.registered = func(string) bool { return state.registered }
				hs.current = func() bool { return state.current }
				sound := Content{Whole: 1, Shared: []Part{2}}
				reporter, other := hs.start(g, "reporter"), hs.start(g, "other")
				time.Sleep(lapseTime)
				reporter.Report(Report{Engine: "e1@1", Content: Content{Whole: 3, Shared: []Part{2}}})
				synctest.Wait()
				reporter.Report(Report{Engine: "e2@1", Content: sound, Suspects: []Part{1, 2}})
				time.Sleep(lapseTime - 2*verifyInterval)
				require.Positive(t, other.Check(sound).RefusedFor)
				state = tc.last
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
