package audit

import "time"

// Cause is how a request fared, and why if its caller lost by it.
type Cause string

// The causes.
const (
	InTime Cause = "in_time"
	// Waited requests were late, mostly because they waited for engines; SlowPrefill
	// ones because the first event came late after the grant; Paused ones because of a
	// pause between events; SlowAnswer ones are late answers of plain services.
	Waited      Cause = "waited"
	SlowPrefill Cause = "slow_prefill"
	Paused      Cause = "paused"
	SlowAnswer  Cause = "slow_answer"
	// RefusedAtOnce and RefusedLate requests were not run.
	RefusedAtOnce Cause = "refused_at_once"
	RefusedLate   Cause = "refused_late"
	// LostWithHost requests have no final line: their host ended.
	LostWithHost   Cause = "lost_with_host"
	LostWithEngine Cause = "lost_with_engine"
	TimeLimit      Cause = "time_limit"
	CallerLeft     Cause = "caller_left"
	// Denied requests had an unknown key or route, or were malformed.
	Denied Cause = "denied"
	Failed Cause = "failed"
)

// Causes lists all causes in the order of the tables.
var Causes = []Cause{
	InTime, Waited, SlowPrefill, Paused, SlowAnswer, RefusedAtOnce, RefusedLate,
	LostWithHost, LostWithEngine, TimeLimit, CallerLeft, Denied, Failed,
}

// causeOf returns how a request fared. The grant is zero if the request was not
// placed by a scheduler.
func causeOf(r request, g grant) Cause {
	switch r.outcome {
	case "":
		return causeOfServed(r, g)
	case "canceled":
		return CallerLeft
	case "time_limit_exceeded":
		return TimeLimit
	case "upstream_lost", "upstream_failed":
		return LostWithEngine
	}
	switch {
	case r.status == 503 || r.status == 429 || r.status == 408:
		if r.took > lateRefusal {
			return RefusedLate
		}
		return RefusedAtOnce
	case r.status >= 400 && r.status < 500:
		return Denied
	}
	return Failed
}

func causeOfServed(r request, g grant) Cause {
	switch {
	case r.status >= 500:
		return Failed
	case r.status >= 400:
		return Denied
	case !r.hasFirstEvent && r.goal > 0 && r.took > r.goal:
		return SlowAnswer
	case r.goal > 0 && r.firstEvent > r.goal:
		// The larger part of the time to the first event names the cause.
		if g.waited > r.firstEvent/2 {
			return Waited
		}
		return SlowPrefill
	case r.gap > 0 && r.longest > r.gap:
		return Paused
	}
	return InTime
}

// quantile returns the value below which the given share of the sorted values lies.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
