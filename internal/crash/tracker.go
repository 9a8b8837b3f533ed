package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRecords bounds the parts that are remembered. The least recently used are
	// forgotten first.
	maxRecords = 8192
	// maxEngines bounds the engines that are remembered for a part, and maxRequests the
	// requests on which they ended.
	maxEngines  = 16
	maxRequests = 64
	// A part that was never answered is suspected after the first end of an engine.
	// One that was answered before is suspected after endsOfKnown ends without an
	// answer between them, since most such ends have another cause.
	endsOfKnown = 3
	// A part that at least half of the last recentContents requests have is common. It is
	// quarantined only when endsOfCommon different requests have ended engines since it
	// was last answered: two may do so by what is their own, and all requests would be
	// refused.
	recentContents = 64
	endsOfCommon   = 3
	// endsOfOwn is the number of ends after which a request whose common parts are not
	// quarantined is quarantined by itself.
	endsOfOwn = 2
	// suspectTime is how long a part is suspected after the last end of an engine.
	suspectTime = 5 * time.Minute
	// minQuarantine is the length of the first quarantine of a part. Each further
	// one is twice as long as the one before, up to maxQuarantine. Between two, a
	// request with the part runs as a trial.
	minQuarantine = 2 * time.Minute
	maxQuarantine = time.Hour
)

// Verdict states how a request may run.
type Verdict struct {
	// RefusedFor is how much longer the request is refused, zero if it is not.
	RefusedFor time.Duration
	// Suspects are the parts for which the request runs as a trial, if any.
	Suspects []Part
}

// record is what is known of a part.
type record struct {
	// engines are the processes that ended on the part since it was last answered.
	engines []string
	endedAt time.Time
	// requests are the requests on which these processes ended, each with the process.
	requests []requestEnd
	// answered is set once a request with the part began to be answered.
	answered bool
}

// requestEnd is a request and a process that ended while it ran the request.
type requestEnd struct {
	request Part
	engine  string
}

// add records the end of a process on a request.
func (r *record) add(engine string, request Part) {
	r.engines = merge(r.engines, []string{engine}, maxEngines)
	r.requests = merge(r.requests, []requestEnd{{request, engine}}, maxRequests)
}

// differentRequests returns the number of different requests on which processes ended.
func (r *record) differentRequests() int {
	different := map[Part]bool{}
	for _, e := range r.requests {
		different[e.request] = true
	}
	return len(different)
}

func (r *record) suspected(now time.Time) bool {
	limit := 1
	if r.answered {
		limit = endsOfKnown
	}
	return len(r.engines) >= limit && now.Sub(r.endedAt) < suspectTime
}

// Tracker keeps the suspected and the quarantined parts. It is safe for concurrent
// use.
type Tracker struct {
	mu      sync.Mutex
	records *simplelru.LRU[Part, *record]
	// recent holds the requests that were checked last, each once, and next is the index
	// of the oldest.
	recent []Content
	next   int
	// quarantines are by Key. Those that ended are kept for maxQuarantine.
	quarantines map[string]Quarantine
	// refuted holds the quarantines with parts that turned out to be sound, by key.
	refuted map[string]refutation
	// unverified holds the processes that are said to have ended, with the time of the
	// first such evidence (see Unverified).
	unverified map[string]time.Time
}

// refutation is a quarantine, decided when an engine ended, that was refuted.
type refutation struct {
	engine string
	at     time.Time
	// withdrawAt is when this host removes the quarantine from the platform, if it is still
	// there.
	withdrawAt time.Time
}

// NewTracker returns a tracker that suspects nothing.
func NewTracker() *Tracker {
	records, err := simplelru.NewLRU[Part, *record](maxRecords, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Tracker{records: records, quarantines: map[string]Quarantine{}, refuted: map[string]refutation{}, unverified: map[string]time.Time{}}
}

// Check returns how a request may run.
func (t *Tracker) Check(c Content) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remember(c)
	now := time.Now()
	var v Verdict
	for _, q := range t.quarantines {
		if q.active(now) && c.covers(q.Parts) {
			v.RefusedFor = max(v.RefusedFor, q.Until.Sub(now))
		}
	}
	v.Suspects = t.suspects(c, now)
	return v
}

// remember adds a request to the recent ones. The caller holds mu.
func (t *Tracker) remember(c Content) {
	id := c.id()
	if slices.ContainsFunc(t.recent, func(other Content) bool { return other.id() == id }) {
		return
	}
	if len(t.recent) < recentContents {
		t.recent = append(t.recent, c)
		return
	}
	t.recent[t.next] = c
	t.next = (t.next + 1) % recentContents
}

// common reports whether at least half of the recent requests have all of the parts. The
// caller holds mu.
func (t *Tracker) common(parts []Part) bool {
	count := 0
	for _, c := range t.recent {
		if c.covers(parts) {
			count++
		}
	}
	return 2*count >= len(t.recent)
}

// proved reports whether enough different requests have ended engines for a quarantine of
// the parts. The caller holds mu.
func (t *Tracker) proved(parts []Part) bool {
	if !t.common(parts) {
		return true
	}
	return !slices.ContainsFunc(parts, func(p Part) bool { return t.record(p).differentRequests() < endsOfCommon })
}

// own returns the request as a whole as the one suspect if it has ended engines before. The
// caller holds mu.
func (t *Tracker) own(c Content) []Part {
	if c.Whole == 0 || len(t.record(c.Whole).engines) < endsOfOwn {
		return nil
	}
	return []Part{c.Whole}
}

// suspects returns the suspected parts of a request on which most engines ended. The
// others were only present when some of these engines ended. The caller holds mu.
func (t *Tracker) suspects(c Content, now time.Time) []Part {
	var suspects []Part
	most := 0
	for _, p := range c.parts() {
		r, ok := t.records.Peek(p)
		if !ok || !r.suspected(now) {
			continue
		}
		if len(r.engines) > most {
			suspects, most = nil, len(r.engines)
		}
		if len(r.engines) == most {
			suspects = append(suspects, p)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// record returns the record of a part, which it adds if necessary. The caller holds
// mu.
func (t *Tracker) record(p Part) *record {
	r, ok := t.records.Get(p)
	if !ok {
		r = &record{}
		t.records.Add(p, r)
	}
	return r
}

// Ended records the end of an engine. It returns the quarantine that follows from
// it, if any.
func (t *Tracker) Ended(report Report) (Quarantine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	parts := report.Content.parts()
	if report.Begun {
		parts = slices.DeleteFunc(parts, func(p Part) bool { return p != report.Content.Whole })
	}
	for _, p := range parts {
		r := t.record(p)
		r.answered = r.answered || report.Begun
		r.endedAt = now
		r.add(report.Engine, report.Content.id())
	}
	t.verifyLater(report.Engine, now)
	t.expire(now)
	suspects := slices.DeleteFunc(slices.Clone(report.Suspects), func(p Part) bool {
		// A trial that had begun to be answered is no evidence for a part that was
		// suspected because engines ended before that.
		return !slices.Contains(parts, p) || report.Begun && !t.record(p).suspected(now)
	})
	if !slices.Contains(suspects, report.Content.Whole) && !t.proved(suspects) {
		suspects = t.own(report.Content)
	}
	if len(suspects) == 0 {
		return Quarantine{}, false
	}
	q := Quarantine{Parts: suspects, Engine: report.Engine, Term: minQuarantine}
	if last, ok := t.quarantines[q.Key()]; ok {
		if last.active(now) {
			return last, false
		}
		q.Term = min(2*last.Term, maxQuarantine)
	}
	q.Until = now.Add(q.Term)
	t.quarantines[q.Key()] = q
	delete(t.refuted, q.Key())
	for _, p := range q.Parts {
		t.record(p).endedAt = q.Until
	}
	return q, true
}

// expire forgets what no longer matters. The caller holds mu.
func (t *Tracker) expire(now time.Time) {
	for key, q := range t.quarantines {
		if now.Sub(q.Until) > maxQuarantine {
			delete(t.quarantines, key)
		}
	}
	for key, r := range t.refuted {
		if now.Sub(r.at) > maxQuarantine {
			delete(t.refuted, key)
		}
	}
}

// Began records that a request began to be answered. The shared parts of its content
// are sound. The request as a whole may still end its engine later.
func (t *Tracker) Began(c Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range c.Shared {
		r := t.record(p)
		r.engines, r.requests, r.answered = nil, nil, true
	}
	if r, ok := t.records.Peek(c.Whole); ok {
		r.answered = true
	}
	t.refute(c.Shared)
}

// Completed records that a request was answered to the end.
func (t *Tracker) Completed(c Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records.Remove(c.Whole) {
		t.refute([]Part{c.Whole})
	}
}

// refute removes sound parts from all quarantines. The caller holds mu.
func (t *Tracker) refute(sound []Part) {
	for key, q := range t.quarantines {
		left := slices.DeleteFunc(slices.Clone(q.Parts), func(p Part) bool { return slices.Contains(sound, p) })
		if len(left) == len(q.Parts) {
			continue
		}
		delete(t.quarantines, key)
		now := time.Now()
		t.refuted[key] = refutation{engine: q.Engine, at: now, withdrawAt: now}
		if q.Parts = left; len(left) > 0 {
			t.quarantines[q.Key()] = q
		}
	}
}

// Adopt adds a quarantine that another host decided, unless that decision was refuted
// here or is not valid.
func (t *Tracker) Adopt(q Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := q.Key()
	if r, ok := t.refuted[key]; ok && r.engine == q.Engine || !q.Valid(time.Now()) || !q.Until.After(t.quarantines[key].Until) {
		return
	}
	delete(t.refuted, key)
	t.quarantines[key] = q
	t.verifyLater(q.Engine, q.Until.Add(-q.Term))
	// After the quarantine, its parts are on trial.
	for _, p := range q.Parts {
		r := t.record(p)
		r.endedAt = q.Until
		if !slices.Contains(r.engines, q.Engine) {
			r.engines, r.answered = append(r.engines, q.Engine), false
		}
	}
}

// Quarantines returns the quarantines in force, and the keys of refuted ones that this host
// removes from the platform now.
func (t *Tracker) Quarantines() (active []Quarantine, refuted []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, q := range t.quarantines {
		if q.active(now) {
			active = append(active, q)
		}
	}
	for key, r := range t.refuted {
		if !now.Before(r.withdrawAt) {
			refuted = append(refuted, key)
		}
	}
	return active, refuted
}
