package alarm

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// interval is a time during which a fault exists, relative to the start.
type interval struct{ from, to time.Duration }

// script draws fault intervals, some shorter and some longer than hold. Gaps
// are longer than the evaluation period, which cannot see shorter ones.
func script(r *rand.Rand, hold, end time.Duration) []interval {
	var out []interval
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(r.Int64N(int64(high-low)))
	}
	for at := between(Period, 4*hold+time.Minute); at < end; {
		to := at + between(10*time.Millisecond, 3*hold+10*time.Second)
		out = append(out, interval{at, to})
		at = to + between(Period+time.Millisecond, 2*hold+time.Minute)
	}
	return out
}

// events draws the times of single events and the intervals, each of the
// window after an event, in which their alarm lasts.
func events(r *rand.Rand, window, end time.Duration) (times []time.Duration, lasting []interval) {
	for at := Period; ; {
		at += time.Duration(r.Int64N(int64(3 * window)))
		if at > end {
			return times, lasting
		}
		times = append(times, at)
		if n := len(lasting); n > 0 && at <= lasting[n-1].to {
			lasting[n-1].to = at + window
		} else {
			lasting = append(lasting, interval{at, at + window})
		}
	}
}

// past returns how many of the times have come.
func past(times []time.Duration, now time.Duration) int {
	n, _ := slices.BinarySearch(times, now+1)
	return n
}

// at returns the interval that contains the time.
func at(intervals []interval, t time.Duration) (interval, bool) {
	for _, i := range intervals {
		if t >= i.from && t < i.to {
			return i, true
		}
	}
	return interval{}, false
}

// Guards against false alarms and missed ones: random faults of six kinds
// run for six hours of virtual time, and an independent rule says at each moment
// which alarms must be active and which must not. Between both lies one
// evaluation period.
func TestNoFalseAndNoMissedAlarms(t *testing.T) {
	const end = 6 * time.Hour
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			holds := map[string]time.Duration{
				"unexplained_memory": 45 * time.Second, "share_below_due": 30 * time.Second,
				"config_behind": 13 * time.Second, "drain_too_short": 5 * time.Second,
				"late_request": 0, "work_on_leaving_host": 0,
			}
			scripts := map[string][]interval{}
			for _, name := range []string{"unexplained_memory", "share_below_due", "config_behind", "drain_too_short"} {
				scripts[name] = script(r, holds[name], end)
			}
			late, lateLasting := events(r, time.Minute, end)
			work, workLasting := events(r, 15*time.Second, end)
			scripts["late_request"], scripts["work_on_leaving_host"] = lateLasting, workLasting
			start := time.Now()
			faulty := func(name string) bool {
				_, ok := at(scripts[name], time.Since(start))
				return ok
			}
			s := Sources{
				Node: "n",
				Memory: func() []Memory {
					tokens := 5
					if faulty("unexplained_memory") {
						tokens = 20
					}
					return []Memory{{"e1", 1000, tokens}, {"e2", 1000, 10}}
				},
				Shares: func() []Share {
					got := 0.5
					if faulty("share_below_due") {
						got = 0.2
					}
					return []Share{{"a", "c", 0.5, got, 3}, {"idle", "c", 0.5, 0, 0}}
				},
				LateRequests: func() uint64 { return uint64(past(late, time.Since(start))) },
				Leaving: func() []LeavingHost {
					host := LeavingHost{Host: "h", Since: start.Add(-time.Minute)}
					if n := past(work, time.Since(start)); n > 0 {
						host.LastWork = start.Add(work[n-1])
					}
					return []LeavingHost{host}
				},
				Drain: func() (time.Duration, time.Duration, bool) {
					return time.Minute, 2 * time.Minute, faulty("drain_too_short")
				},
				// Revisions arrive every 7 s. Outside faults each is applied
				// within 6 s, so the node is nearly always behind.
				Config: func() (uint64, uint64) {
					now := time.Since(start)
					newest := uint64(now / (7 * time.Second))
					applied := uint64((now - min(now, 6*time.Second)) / (7 * time.Second))
					if i, ok := at(scripts["config_behind"], now); ok {
						applied = uint64((i.from - min(i.from, 6*time.Second)) / (7 * time.Second))
					}
					return applied, newest
				},
			}
			log, _ := test.NewNullLogger()
			board := New(log, tally.NoopScope, Conditions(s))
			g := group.New(t.Context())
			g.Go("board", board.Run)

			false1, missed, raised := 0, 0, 0
			for now := 500 * time.Millisecond; now < end; now += time.Second {
				time.Sleep(time.Until(start.Add(now)))
				active := map[string]bool{}
				for _, a := range board.Active() {
					active[a.Name] = true
					raised++
				}
				for name, hold := range holds {
					from, to, ok := expected(name, scripts[name], now, hold)
					if active[name] && !ok {
						false1++
					}
					if !active[name] && ok && now >= from+Period && now < to {
						missed++
					}
				}
			}
			g.Stop()
			require.NoError(t, g.Wait())
			t.Logf("seed %d: %d seconds with an alarm, %d false, %d missed", seed, raised, false1, missed)
			require.Positive(t, raised)
			require.Zero(t, false1)
			require.Zero(t, missed)
		})
	}
}

// expected returns the time from which an alarm may be active and the time at
// which its condition ends; ok says whether now lies between them, with one
// period for the alarm to clear.
func expected(name string, intervals []interval, now, hold time.Duration) (from, to time.Duration, ok bool) {
	for _, i := range intervals {
		begin := i.from
		if name == "config_behind" {
			// The oldest revision that is not in force when the fault starts.
			oldest := uint64((i.from-min(i.from, 6*time.Second))/(7*time.Second)) + 1
			begin = time.Duration(oldest) * 7 * time.Second
		}
		if begin+hold <= now && now < i.to+Period && begin+hold < i.to {
			return begin + hold + Period, i.to, true
		}
	}
	return 0, 0, false
}

// Guards against an event alarm that is missed, lasts too long or repeats,
// and against work that a leaving host may still receive being reported.
func TestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var late, refused uint64 = 7, 3
		var hosts []LeavingHost
		log, _ := test.NewNullLogger()
		scope := tally.NewTestScope("", nil)
		board := New(log, scope, Conditions(Sources{
			Node:          "n",
			LateRequests:  func() uint64 { return late },
			ClaimsRefused: func() uint64 { return refused },
			Leaving:       func() []LeavingHost { return hosts },
		}))
		step := func(d time.Duration) (names []string) {
			for range d / Period {
				time.Sleep(Period)
				board.Evaluate(time.Now())
			}
			for _, a := range board.Active() {
				names = append(names, a.Name)
			}
			return names
		}
		require.Empty(t, step(time.Minute), "a counter above zero at the start is no event")
		late += 2
		require.Equal(t, []string{"late_request"}, step(Period))
		require.Equal(t, "2 requests ended after their time limit", board.Active()[0].Evidence)
		require.Equal(t, []string{"late_request"}, step(59*time.Second))
		require.Empty(t, step(Period))

		refused++
		require.Empty(t, step(20*time.Second), "one refused claim is no outage")
		for range 12 {
			refused++
			step(Period)
		}
		require.Equal(t, []string{"claims_refused"}, step(Period))
		require.Empty(t, step(5*time.Second))

		now := time.Now()
		hosts = []LeavingHost{{"a", now.Add(-time.Minute), now.Add(-56 * time.Second)}, {"b", now, time.Time{}}}
		require.Empty(t, step(time.Minute))
		hosts[1].LastWork = time.Now()
		require.Equal(t, []string{"work_on_leaving_host"}, step(Period))
		require.Equal(t, "b", board.Active()[0].Subject)
		require.Empty(t, step(15*time.Second))

		counters := map[string]int64{}
		for _, c := range scope.Snapshot().Counters() {
			counters[c.Name()+" "+c.Tags()["alarm"]] = c.Value()
		}
		require.Equal(t, map[string]int64{
			"alarms_raised late_request": 1, "alarms_cleared late_request": 1,
			"alarms_raised claims_refused": 1, "alarms_cleared claims_refused": 1,
			"alarms_raised work_on_leaving_host": 1, "alarms_cleared work_on_leaving_host": 1,
		}, counters)
	})
}

// Guards against a raised alarm that is doubled, is lost, or cannot be
// cleared, and against a condition that names no promise or action.
func TestRaise(t *testing.T) {
	log, hook := test.NewNullLogger()
	board := New(log, tally.NoopScope, nil)
	board.Raise(AtMostOnce, "k", "first", "do this")
	board.Raise(AtMostOnce, "k", "second", "do that")
	board.Raise(InTime, "k", "other", "do")
	require.Len(t, board.Active(), 2)
	require.Len(t, hook.Entries, 2)
	board.Clear(InTime, "k")
	board.Clear(InTime, "k")
	require.Len(t, board.Active(), 1)
	require.Equal(t, "second", board.Active()[0].Evidence)
	require.Equal(t, AtMostOnce.String(), board.Active()[0].PromiseText)
	require.Len(t, hook.Entries, 3)

	none := func() uint64 { return 0 }
	all := Conditions(Sources{
		LateRequests: none, BrokenAnswers: none, FalseNotRun: none, RepeatedCalls: none, ClaimsRefused: none,
		Memory: func() []Memory { return nil }, Leaving: func() []LeavingHost { return nil }, Shares: func() []Share { return nil },
		Config: func() (uint64, uint64) { return 0, 0 }, Drain: func() (time.Duration, time.Duration, bool) { return 0, 0, false },
	})
	named := map[Promise]bool{}
	for _, c := range all {
		require.NotEmpty(t, c.Action, c.Name)
		named[c.Promise] = true
	}
	require.Len(t, named, len(promises), "a promise without a condition")
}
