package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the maximum time that a histogram holds. Longer times are
	// recorded as maxDuration.
	maxDuration = 30 * time.Minute
	// significantDigits is the precision of histograms in decimal digits.
	significantDigits = 3
)

// recorder collects the measurements of a load test. It is safe for concurrent use.
// Histograms are in microseconds.
type recorder struct {
	mu            sync.Mutex
	firstTokens   []*hdrhistogram.Histogram // times to first token, one histogram per bin
	betweenTokens *hdrhistogram.Histogram   // times between two events with text in a stream

	// unblocked and blocked hold the times to first token of short requests: blocked
	// of those that began while a long request was in progress, unblocked of the
	// others.
	unblocked *hdrhistogram.Histogram
	blocked   *hdrhistogram.Histogram

	outcomes  map[string]int // completions by outcome
	codes     map[string]int // errors by code
	runStates map[string]int // errors by run state
	tokens    int            // tokens of complete answers
	resends   int            // attempts after the first one of a request
	unreached int            // attempts whose connection failed before the answer began
	cut       int            // attempts whose connection failed during the answer
	plain     PlainReport
	calls     map[string]*callRecord // by idempotency key
}

// callRecord is what the answers to a plain call said about it.
type callRecord struct {
	ok bool // an answer was complete and correct
	// notRun says that every answer denied that the call was run, and that no
	// attempt may have run without an answer.
	notRun bool
}

func newRecorder() *recorder {
	r := &recorder{
		betweenTokens: newHistogram(), unblocked: newHistogram(), blocked: newHistogram(),
		outcomes: map[string]int{}, codes: map[string]int{}, runStates: map[string]int{},
		plain: PlainReport{Outcomes: map[string]int{}, Resent: map[string]int{}}, calls: map[string]*callRecord{},
	}
	for range bins {
		r.firstTokens = append(r.firstTokens, newHistogram())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxDuration).Microseconds())
}

// observeFirstToken records the time to first token for a prompt length.
func (r *recorder) observeFirstToken(tokens int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observe(r.firstTokens[binOf(tokens)], d)
}

// observeShort records the time to first token of a short request. blocked says that
// a long request was in progress when the short one began.
func (r *recorder) observeShort(d time.Duration, blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if blocked {
		observe(r.blocked, d)
		return
	}
	observe(r.unblocked, d)
}

func (r *recorder) observeInterval(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observe(r.betweenTokens, d)
}

func (r *recorder) countResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resends++
}

// countConnectionError counts an attempt whose connection failed before its answer
// was complete. started says that the answer had begun.
func (r *recorder) countConnectionError(started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if started {
		r.cut++
		return
	}
	r.unreached++
}

func (r *recorder) recordCompletion(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[res.outcome]++
	r.tokens += res.tokens
	r.countError(res)
}

// countError counts the code and the run state of a result with an error. The caller
// holds r.mu.
func (r *recorder) countError(res result) {
	if res.code == "" {
		return
	}
	r.codes[res.code]++
	if res.run == "" {
		res.run = "not given"
	}
	r.runStates[res.run]++
}

// recordPlain records the result of a plain call. resend says that the call had been
// answered before and was sent again with the same idempotency key, to check that it
// does not run twice.
func (r *recorder) recordPlain(j job, res result, resend bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countError(res)
	key := j.idempotencyKey.String()
	notRun := res.outcome == outcomeRefused && res.run == "no" && !res.maybeRan
	if resend {
		r.plain.Resent[res.outcome]++
	} else {
		r.plain.Outcomes[res.outcome]++
		r.calls[key] = &callRecord{notRun: true}
	}
	call := r.calls[key]
	call.ok = call.ok || res.outcome == outcomeOK
	call.notRun = call.notRun && notRun
}
