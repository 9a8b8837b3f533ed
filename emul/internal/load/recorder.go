package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the highest recorded time.
	longest = 30 * time.Minute
	// digits is the precision of histograms.
	digits = 3
)

// recorder collects measures. Its methods can be called at the same time.
type recorder struct {
	mu        sync.Mutex
	first     []*hdrhistogram.Histogram // by bin, in microseconds
	between   *hdrhistogram.Histogram
	alone     *hdrhistogram.Histogram
	blocked   *hdrhistogram.Histogram
	outcomes  map[string]int
	codes     map[string]int
	runs      map[string]int
	tokens    int
	resends   int
	unreached int
	cut       int
	plain     PlainReport
	calls     map[string]*plainCall
}

// plainCall is what a caller was told about the call of one key.
type plainCall struct {
	ok      bool
	refused bool // every answer said that the call was not run
}

func newRecorder() *recorder {
	r := &recorder{
		between: histogram(), alone: histogram(), blocked: histogram(),
		outcomes: map[string]int{}, codes: map[string]int{}, runs: map[string]int{},
		plain: PlainReport{Outcomes: map[string]int{}, Resent: map[string]int{}}, calls: map[string]*plainCall{},
	}
	for range bins {
		r.first = append(r.first, histogram())
	}
	return r
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
}

func (r *recorder) firstToken(tokens int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observe(r.first[binOf(tokens)], d)
}

func (r *recorder) short(d time.Duration, blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if blocked {
		observe(r.blocked, d)
		return
	}
	observe(r.alone, d)
}

func (r *recorder) interval(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observe(r.between, d)
}

func (r *recorder) resent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resends++
}

// lost counts an attempt without a whole answer; started says that a part of
// the answer may have come.
func (r *recorder) lost(started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if started {
		r.cut++
		return
	}
	r.unreached++
}

func (r *recorder) result(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[res.outcome]++
	r.tokens += res.tokens
	r.failure(res)
}

func (r *recorder) failure(res result) {
	if res.code == "" {
		return
	}
	r.codes[res.code]++
	if res.run == "" {
		res.run = "not given"
	}
	r.runs[res.run]++
}

// plainResult records the first answer to a plain call or that to a resend.
func (r *recorder) plainResult(j job, res result, resend bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure(res)
	key := j.unique.String()
	notRun := res.outcome == outcomeRefused && res.run == "no" && !res.unsure
	if resend {
		r.plain.Resent[res.outcome]++
	} else {
		r.plain.Outcomes[res.outcome]++
		r.calls[key] = &plainCall{refused: true}
	}
	call := r.calls[key]
	call.ok = call.ok || res.outcome == outcomeOK
	call.refused = call.refused && notRun
}
