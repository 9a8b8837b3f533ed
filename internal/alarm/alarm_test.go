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

// interval is a time during which a fault or an alarm lasts, relative to the
// start of the test.
type interval struct{ from, to time.Duration }

// faultIntervals draws random fault intervals, some shorter and some longer
// than hold. The gaps between them are longer than the evaluation period,
// because the evaluations cannot detect shorter ones.
func faultIntervals(r *rand.Rand, hold, end time.Duration) []interval {
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

// randomEvents draws the times of single events and the intervals in which
// their alarm is active: from each event until the window after it has passed,
// merged where they overlap.
func randomEvents(r *rand.Rand, window, end time.Duration) (times []time.Duration, active []interval) {
	for at := Period; ; {
		at += time.Duration(r.Int64N(int64(3 * window)))
		if at > end {
			return times, active
		}
		times = append(times, at)
		if n := len(active); n > 0 && at <= active[n-1].to {
			active[n-1].to = at + window
		} else {
			active = append(active, interval{at, at + window})
		}
	}
}

// countUntil returns how many of the sorted times are not after now.
func countUntil(times []time.Duration, now time.Duration) int {
	n, _ := slices.BinarySearch(times, now+1)
	return n
}

// intervalAt returns the interval that contains the time t.
func intervalAt(intervals []interval, t time.Duration) (interval, bool) {
	for _, i := range intervals {
		if t >= i.from && t < i.to {
			return i, true
		}
	}
	return interval{}, false
}

// Guards against false and missed alarms. Random faults of six kinds occur during
// six hours of virtual time. Every second the function expected, which does not
// use the monitor, says which alarms must be active and which must not. An alarm
// may take two evaluation periods to be raised and one to be cleared.
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
			intervals := map[string][]interval{}
			for _, name := range []string{"unexplained_memory", "share_below_due", "config_behind", "drain_too_short"} {
				intervals[name] = faultIntervals(r, holds[name], end)
			}
			late, lateActive := randomEvents(r, time.Minute, end)
			work, workActive := randomEvents(r, 15*time.Second, end)
			intervals["late_request"], intervals["work_on_leaving_host"] = lateActive, workActive
			start := time.Now()
			faulty := func(name string) bool {
				_, ok := intervalAt(intervals[name], time.Since(start))
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
					actual := 0.5
					if faulty("share_below_due") {
						actual = 0.2
					}
					return []Share{{"a", "c", 0.5, actual, 3}, {"idle", "c", 0.5, 0, 0}}
				},
				LateRequests: func() uint64 { return uint64(countUntil(late, time.Since(start))) },
				Leaving: func() []LeavingHost {
					host := LeavingHost{Host: "h", Since: start.Add(-time.Minute)}
					if n := countUntil(work, time.Since(start)); n > 0 {
						host.LastWork = start.Add(work[n-1])
					}
					return []LeavingHost{host}
				},
				Drain: func() (time.Duration, time.Duration, bool) {
					return time.Minute, 2 * time.Minute, faulty("drain_too_short")
				},
				// A revision arrives every 7 s. Outside of faults each is in
				// force 6 s later, so the node is behind most of the time.
				Config: func() (uint64, uint64) {
					now := time.Since(start)
					newest := uint64(now / (7 * time.Second))
					applied := uint64((now - min(now, 6*time.Second)) / (7 * time.Second))
					if i, ok := intervalAt(intervals["config_behind"], now); ok {
						applied = uint64((i.from - min(i.from, 6*time.Second)) / (7 * time.Second))
					}
					return applied, newest
				},
			}
			log, _ := test.NewNullLogger()
			monitor := New(log, tally.NoopScope, Conditions(s))
			g := group.New(t.Context())
			g.Go("monitor", monitor.Run)

			falseAlarms, missedAlarms, alarmSeconds := 0, 0, 0
			for now := 500 * time.Millisecond; now < end; now += time.Second {
				time.Sleep(time.Until(start.Add(now)))
				active := map[string]bool{}
				for _, a := range monitor.Active() {
					active[a.Name] = true
					alarmSeconds++
				}
				for name, hold := range holds {
					from, to, ok := expected(name, intervals[name], now, hold)
					if active[name] && !ok {
						falseAlarms++
					}
					if !active[name] && ok && now >= from+Period && now < to {
						missedAlarms++
					}
				}
			}
			g.Stop()
			require.NoError(t, g.Wait())
			t.Logf("seed %d: %d seconds with an alarm, %d false, %d missed", seed, alarmSeconds, falseAlarms, missedAlarms)
			require.Positive(t, alarmSeconds)
			require.Zero(t, falseAlarms)
			require.Zero(t, missedAlarms)
		})
	}
}

// expected reports in ok whether an alarm may be active now: its condition has
// held for hold, and still holds or ended less than one period ago. The result
// from is one period after the earliest time at which the alarm may be raised; to
// is the end of the condition.
func expected(name string, intervals []interval, now, hold time.Duration) (from, to time.Duration, ok bool) {
	for _, i := range intervals {
		begin := i.from
		if name == "config_behind" {
			// The oldest revision that is not yet in force when the fault starts.
			oldest := uint64((i.from-min(i.from, 6*time.Second))/(7*time.Second)) + 1
			begin = time.Duration(oldest) * 7 * time.Second
		}
		if begin+hold <= now && now < i.to+Period && begin+hold < i.to {
			return begin + hold + Period, i.to, true
		}
	}
	return 0, 0, false
}

// Guards against an alarm for single events that is missed, lasts too long or is
// raised twice. Also guards against an alarm for new work that reaches a host
// within leavingGrace after the host announced that it leaves.
func TestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var late, refused uint64 = 7, 3
		var hosts []LeavingHost
		log, _ := test.NewNullLogger()
		scope := tally.NewTestScope("", nil)
		monitor := New(log, scope, Conditions(Sources{
			Node:          "n",
			LateRequests:  func() uint64 { return late },
			ClaimsRefused: func() uint64 { return refused },
			Leaving:       func() []LeavingHost { return hosts },
		}))
		advance := func(d time.Duration) (names []string) {
			for range d / Period {
				time.Sleep(Period)
				monitor.Evaluate(time.Now())
			}
			for _, a := range monitor.Active() {
				names = append(names, a.Name)
			}
			return names
		}
		require.Empty(t, advance(time.Minute), "a counter above zero at the start is no event")
		late += 2
		require.Equal(t, []string{"late_request"}, advance(Period))
		require.Equal(t, "2 requests ended after their time limit", monitor.Active()[0].Evidence)
		require.Equal(t, []string{"late_request"}, advance(59*time.Second))
		require.Empty(t, advance(Period))

		refused++
		require.Empty(t, advance(20*time.Second), "one refused claim is no outage")
		for range 12 {
			refused++
			advance(Period)
		}
		require.Equal(t, []string{"claims_refused"}, advance(Period))
		require.Empty(t, advance(5*time.Second))

		now := time.Now()
		hosts = []LeavingHost{{"a", now.Add(-time.Minute), now.Add(-56 * time.Second)}, {"b", now, time.Time{}}}
		require.Empty(t, advance(time.Minute))
		hosts[1].LastWork = time.Now()
		require.Equal(t, []string{"work_on_leaving_host"}, advance(Period))
		require.Equal(t, "b", monitor.Active()[0].Subject)
		require.Empty(t, advance(15*time.Second))

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

// Guards against an alarm made by Raise that is duplicated, is lost or cannot be
// cleared, against a condition without an action, and against a promise without
// a condition.
func TestRaise(t *testing.T) {
	log, hook := test.NewNullLogger()
	monitor := New(log, tally.NoopScope, nil)
	monitor.Raise(AtMostOnce, "k", "first", "do this")
	monitor.Raise(AtMostOnce, "k", "second", "do that")
	monitor.Raise(WithinTimeLimit, "k", "other", "do")
	require.Len(t, monitor.Active(), 2)
	require.Len(t, hook.Entries, 2)
	monitor.Clear(WithinTimeLimit, "k")
	monitor.Clear(WithinTimeLimit, "k")
	require.Len(t, monitor.Active(), 1)
	require.Equal(t, "second", monitor.Active()[0].Evidence)
	require.Equal(t, AtMostOnce.String(), monitor.Active()[0].PromiseText)
	require.Len(t, hook.Entries, 3)

	none := func() uint64 { return 0 }
	all := Conditions(Sources{
		LateRequests: none, BrokenAnswers: none, FalseNotRun: none, RepeatedCalls: none, ClaimsRefused: none,
		Memory: func() []Memory { return nil }, Leaving: func() []LeavingHost { return nil }, Shares: func() []Share { return nil },
		Config: func() (uint64, uint64) { return 0, 0 }, Drain: func() (time.Duration, time.Duration, bool) { return 0, 0, false },
	})
	covered := map[Promise]bool{}
	for _, c := range all {
		require.NotEmpty(t, c.Action, c.Name)
		covered[c.Promise] = true
	}
	require.Len(t, covered, len(promises), "a promise without a condition")
}
