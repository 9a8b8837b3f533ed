package crash

import (
	"flag"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same requests. The flag -rapid.seed overrides
// it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against content that ends many engines before it is refused, and against
// requests that stay refused although they lack the part that ends engines.
func TestRandomContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bad, maxShared = Part(1), 4
		tracker, ends := NewTracker(), 0
		run := func(c Content) (refused bool) {
			v := tracker.Check(c)
			switch {
			case v.RefusedFor > 0:
				return true
			case slices.Contains(c.Shared, bad):
				ends++
				tracker.Ended(Report{Engine: string(rune(ends)), Content: c, Suspects: v.Suspects})
			default:
				tracker.Began(c)
				tracker.Completed(c)
			}
			return false
		}
		contents := rapid.Custom(func(t *rapid.T) Content {
			shared := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 12), 1, maxShared, rapid.ID).Draw(t, "shared")
			c := Content{Whole: Part(rapid.Uint64Range(100, 1000).Draw(t, "whole"))}
			for _, p := range shared {
				c.Shared = append(c.Shared, Part(p))
			}
			return c
		})
		for _, c := range rapid.SliceOfN(contents, 1, 80).Draw(t, "requests") {
			run(c)
		}
		// The first end raises a suspicion, the trial confirms it, and each further end
		// takes at least one sound part out of the quarantine.
		require.LessOrEqual(t, ends, 2+maxShared)
		for p := bad + 1; p <= 12; p++ {
			run(Content{Shared: []Part{p}})
		}
		for _, c := range rapid.SliceOfN(contents, 1, 20).Draw(t, "later requests") {
			if refused := run(c); !slices.Contains(c.Shared, bad) {
				require.False(t, refused)
			}
		}
	})
}

// Guards against a verdict that forgets or outlives what was observed.
func TestTracker(t *testing.T) {
	first := Content{Whole: 100, Shared: []Part{1, 2}}
	second := Content{Whole: 101, Shared: []Part{1, 3}}
	other := Content{Whole: 102, Shared: []Part{1}}
	end := func(t *Tracker, engine string, c Content) {
		t.Ended(Report{Engine: engine, Content: c, Suspects: t.Check(c).Suspects})
	}
	// unrelated makes the parts of the others rare.
	unrelated := func(t *Tracker) {
		for i := range 6 {
			t.Check(Content{Whole: Part(200 + i), Shared: []Part{Part(300 + i)}})
		}
	}
	cases := map[string]struct {
		observe  func(t *Tracker)
		check    Content
		suspects []Part
		refused  bool
	}{
		"unknown":  {func(*Tracker) {}, first, nil, false},
		"one end":  {func(t *Tracker) { end(t, "e1", first) }, second, []Part{1}, false},
		"two ends": {func(t *Tracker) { end(t, "e1", first); end(t, "e2", first) }, first, []Part{1, 2, 100}, true},
		"a subset": {func(t *Tracker) { end(t, "e1", first); end(t, "e2", first) }, other, []Part{1}, false},
		"answered": {func(t *Tracker) { end(t, "e1", first); t.Began(first) }, second, nil, false},
		"narrowed": {func(t *Tracker) {
			unrelated(t)
			end(t, "e1", first)
			end(t, "e2", second)
		}, other, []Part{1}, true},
		"narrowed to what all have": {func(t *Tracker) { end(t, "e1", first); end(t, "e2", second) }, other, []Part{1}, false},
		"narrowed to what all have, two that come again": {func(t *Tracker) {
			for _, e := range []string{"e1", "e2", "e3"} {
				end(t, e, first)
				end(t, e+"b", second)
			}
		}, other, []Part{1}, false},
		"narrowed to what all have, the request itself": {func(t *Tracker) {
			end(t, "e1", first)
			end(t, "e2", second)
			end(t, "e3", first)
		}, first, []Part{1}, true},
		"narrowed to what all have, three requests": {func(t *Tracker) {
			end(t, "e1", first)
			end(t, "e2", second)
			end(t, "e3", Content{Whole: 103, Shared: []Part{1, 4}})
		}, other, []Part{1}, true},
		"sound now": {func(t *Tracker) { end(t, "e1", first); end(t, "e2", second); t.Began(other) }, other, nil, false},
		"one end reported twice": {func(t *Tracker) {
			end(t, "e1", first)
			t.Ended(Report{Engine: "e1", Content: first})
		}, first, []Part{1, 2, 100}, false},
		"answered before": {func(t *Tracker) { t.Began(first); end(t, "e1", first); end(t, "e2", second) }, other, nil, false},
		"answered before, three ends": {func(t *Tracker) {
			t.Began(other)
			end(t, "e1", first)
			end(t, "e2", first)
			end(t, "e3", second)
		}, other, []Part{1}, false},
		"ended after it began": {func(t *Tracker) {
			t.Ended(Report{Engine: "e1", Content: first, Begun: true})
		}, first, nil, false},
		"ended after it began, three times": {func(t *Tracker) {
			for _, e := range []string{"e1", "e2", "e3"} {
				t.Ended(Report{Engine: e, Content: first, Begun: true})
			}
		}, first, []Part{100}, false},
		"ended after its trial began": {func(t *Tracker) {
			end(t, "e1", first)
			suspects := t.Check(first).Suspects
			t.Began(first)
			t.Ended(Report{Engine: "e2", Content: first, Begun: true, Suspects: suspects})
		}, first, nil, false},
		"ended after it began, also in its trial": {func(t *Tracker) {
			for _, e := range []string{"e1", "e2", "e3", "e4"} {
				t.Ended(Report{Engine: e, Content: first, Begun: true, Suspects: t.Check(first).Suspects})
			}
		}, first, []Part{100}, true},
		"forgotten": {func(t *Tracker) { end(t, "e1", first); time.Sleep(suspectTime) }, first, nil, false},
		"after the quarantine": {func(t *Tracker) {
			end(t, "e1", first)
			end(t, "e2", first)
			time.Sleep(minQuarantine)
		}, first, []Part{1, 2, 100}, false},
		"quarantined again": {func(t *Tracker) {
			end(t, "e1", first)
			end(t, "e2", first)
			time.Sleep(minQuarantine)
			end(t, "e3", first)
			time.Sleep(2*minQuarantine - time.Second)
		}, first, []Part{1, 2, 100}, true},
		"adopted": {func(t *Tracker) {
			t.Adopt(Quarantine{Parts: []Part{2}, Engine: "e1", Until: time.Now().Add(time.Minute), Term: time.Minute})
		}, first, []Part{2}, true},
		"adopted after it was refuted": {func(t *Tracker) {
			end(t, "e1", other)
			end(t, "e2", other)
			q, _ := t.Quarantines()
			t.Began(other)
			t.Completed(other)
			t.Adopt(q[0])
		}, other, nil, false},
		"decided again after it was refuted": {func(t *Tracker) {
			end(t, "e1", other)
			end(t, "e2", other)
			q, _ := t.Quarantines()
			t.Began(other)
			t.Completed(other)
			q[0].Engine = "e3"
			t.Adopt(q[0])
		}, other, []Part{1, 102}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := NewTracker()
				tc.observe(tracker)
				v := tracker.Check(tc.check)
				require.Equal(t, tc.suspects, v.Suspects)
				require.Equal(t, tc.refused, v.RefusedFor > 0)
			})
		})
	}
}
