package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenapier/verbenapier/internal/member"
)

const (
	// minLimit replaces lower limits, in requests per second. Only an answer shows
	// that an upstream takes more again.
	minLimit = 0.1
	// limitBurstTime is the time whose requests may come at once, as waiting requests
	// are placed in rounds. At least one request may.
	limitBurstTime = 100 * time.Millisecond
	// shareInterval is how often the share of this node follows the membership.
	shareInterval = 100 * time.Millisecond
	// A share below minorShare is one of several that make up the limit. Their nodes may
	// begin to give them out at the same moment, so each begins with what comes in
	// idleCredit and a random fraction of a request.
	minorShare = 0.5
	idleCredit = 250 * time.Millisecond
	// limitRetention is how long a limit holds without an answer of the upstream: longer
	// than one of 400 nodes waits for its turn under minLimit. Only the processes of
	// upstreams that are gone are forgotten this way.
	limitRetention = 2 * time.Hour
)

// LimitObservation is what an answer of an upstream states of its limit on requests
// from all nodes together.
type LimitObservation struct {
	// Process identifies the process of the upstream, and Request the placement of
	// the request that it answered.
	Process string `json:"process"`
	Request string `json:"request,omitempty"`
	// PerSecond is the limit in requests per second, if Named is set. Otherwise the
	// upstream no longer names one.
	PerSecond float64 `json:"per_second"`
	Named     bool    `json:"named,omitempty"`
}

// limitTable holds the limits that upstreams name, and how much of them is left. It is
// safe for concurrent use.
type limitTable struct {
	// share returns the fraction of each limit that is given out here. It changes with
	// the membership.
	share  func() float64
	random *rand.Rand

	mu sync.Mutex
	// lastShare is the result of share at sharedAt.
	lastShare float64
	sharedAt  time.Time
	// limits are by process.
	limits map[string]*namedLimit
	// withdrawnAt is when an upstream was last found to name no limit any more.
	withdrawnAt map[string]time.Time
}

// namedLimit is the limit of one upstream.
type namedLimit struct {
	perSecond float64
	// heardAt is when an answer last named the limit, and setAt when its value
	// became known.
	heardAt, setAt time.Time
	limiter        *rate.Limiter
	// usedAt is when a request was last asked for.
	usedAt time.Time
}

func newLimitTable(share func() float64, random *rand.Rand) *limitTable {
	return &limitTable{share: share, random: random, limits: map[string]*namedLimit{}, withdrawnAt: map[string]time.Time{}}
}

// reachableShare returns the share of limits that a node gives out which schedules for
// others: the fraction of the members that it can reach. Members that it cannot reach
// may be scheduled by another node.
func reachableShare(members []member.Member) float64 {
	reachable := 0
	for _, m := range members {
		if m.State != member.Suspect {
			reachable++
		}
	}
	return float64(reachable) / float64(max(1, len(members)))
}

// observe applies what the answer to a request states. The request was sent after
// sentAt. An answer to a request that was sent before a limit became known may be
// older than the one that named the limit, so it cannot raise or withdraw it.
func (t *limitTable) observe(o LimitObservation, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l := t.limits[o.Process]
	older := l != nil && !sentAt.After(l.setAt)
	switch {
	case l == nil && o.Named:
		t.set(o.Process, o.PerSecond, now)
	case l == nil || older && (!o.Named || o.PerSecond > l.perSecond):
	case !o.Named:
		delete(t.limits, o.Process)
		t.withdrawnAt[o.Process] = now
	default:
		t.set(o.Process, o.PerSecond, now)
	}
	t.expire(now)
}

// set changes or confirms a limit. The caller holds mu.
func (t *limitTable) set(process string, perSecond float64, now time.Time) {
	perSecond = max(perSecond, minLimit)
	l := t.limits[process]
	if l == nil {
		l = &namedLimit{limiter: rate.NewLimiter(0, 1)}
		t.limits[process] = l
	}
	l.heardAt = now
	if l.perSecond != perSecond {
		l.perSecond, l.setAt = perSecond, now
	}
	t.applyShare(l, now)
}

// applyShare sets what is given out of a limit. The caller holds mu.
func (t *limitTable) applyShare(l *namedLimit, now time.Time) {
	if now.Sub(t.sharedAt) >= shareInterval {
		t.lastShare, t.sharedAt = t.share(), now
	}
	share := l.perSecond * t.lastShare
	if l.limiter.Limit() == rate.Limit(share) {
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(share))
	l.limiter.SetBurstAt(now, limitBurst(share))
}

// limitBurst returns how many requests may come at once under a limit, in requests per
// second.
func limitBurst(perSecond float64) int { return max(1, int(perSecond*limitBurstTime.Seconds())) }

func (t *limitTable) expire(now time.Time) {
	for process, l := range t.limits {
		if now.Sub(l.heardAt) > limitRetention {
			delete(t.limits, process)
		}
	}
	for process, at := range t.withdrawnAt {
		if now.Sub(at) > limitRetention {
			delete(t.withdrawnAt, process)
		}
	}
}

// knownLimit is a limit that a node passes on to a new owner. Age is the time since an
// answer named it.
type knownLimit struct {
	Process   string        `json:"process"`
	PerSecond float64       `json:"per_second"`
	Age       time.Duration `json:"age_ns"`
}

// known returns all limits.
func (t *limitTable) known() []knownLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now)
	var list []knownLimit
	for process, l := range t.limits {
		list = append(list, knownLimit{process, l.perSecond, now.Sub(l.heardAt)})
	}
	return list
}

// learn adds limits that other nodes know, unless they were withdrawn since.
func (t *limitTable) learn(list []knownLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, k := range list {
		heardAt := now.Add(-k.Age)
		if t.limits[k.Process] == nil && heardAt.After(t.withdrawnAt[k.Process]) {
			t.set(k.Process, k.PerSecond, now)
			t.limits[k.Process].heardAt = heardAt
		}
	}
}

// update sets a limit to that of another node, unless an answer named a different one
// later.
func (t *limitTable) update(k knownLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	heardAt := now.Add(-k.Age)
	if l := t.limits[k.Process]; l == nil || heardAt.After(l.heardAt) {
		t.set(k.Process, k.PerSecond, now)
		t.limits[k.Process].heardAt = heardAt
	}
	t.expire(now)
}

// find returns what is known of the limit of an upstream, or false if it has none.
func (t *limitTable) find(process string) (knownLimit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if l == nil {
		return knownLimit{}, false
	}
	return knownLimit{process, l.perSecond, time.Since(l.heardAt)}, true
}

// limit returns the limit of an upstream, or false if it has none.
func (t *limitTable) limit(process string) (perSecond float64, ok bool) {
	k, ok := t.find(process)
	return k.PerSecond, ok
}

// use returns the limit of an upstream that a request is asked for, with what is given out
// now, or nil if it has none. The caller holds mu.
func (t *limitTable) use(process string) *namedLimit {
	l := t.limits[process]
	if l == nil {
		return nil
	}
	now := time.Now()
	t.applyShare(l, now)
	if perSecond := float64(l.limiter.Limit()); t.lastShare < minorShare && now.Sub(l.usedAt) > idleCredit && perSecond > 0 {
		left := t.random.Float64()/perSecond + idleCredit.Seconds()
		l.limiter = rate.NewLimiter(l.limiter.Limit(), l.limiter.Burst())
		l.limiter.AllowN(now.Add(-time.Duration(left*float64(time.Second))), l.limiter.Burst())
	}
	l.usedAt = now
	return l
}

// ready reports whether an upstream takes a request now.
func (t *limitTable) ready(process string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.use(process)
	if l == nil {
		return true
	}
	return l.limiter.Tokens() >= 1
}

// take takes one request from what an upstream allows, or returns how long to wait for
// it.
func (t *limitTable) take(process string) (wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.use(process)
	if l == nil {
		return 0
	}
	r := l.limiter.Reserve()
	if wait = r.Delay(); wait > 0 {
		r.Cancel()
	}
	return wait
}

// untilAny returns the shortest time after which one of the upstreams that are not
// leaving takes a request again; zero if there is none.
func (t *limitTable) untilAny(upstreams []Upstream) time.Duration {
	var shortest time.Duration
	for i, u := range slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool { return u.Leaving }) {
		if wait := t.untilReady(u.Process()); i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// untilReady returns how long an upstream takes no request.
func (t *limitTable) untilReady(process string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[process]
	if l == nil {
		return 0
	}
	t.applyShare(l, time.Now())
	r := l.limiter.Reserve()
	defer r.Cancel()
	return r.Delay()
}

// takers returns the upstreams that take a request now.
func (t *limitTable) takers(upstreams []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool { return !t.ready(u.Process()) })
}
