package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the highest time that is recorded; longer ones count as it.
	maxDuration = 30 * time.Minute
	// significantDigits is the precision of histograms in decimal digits.
	significantDigits = 3
)

// recorder collects the measurements of a run. It is safe for concurrent use.
type recorder struct {
	mu            sync.Mutex
	firstTokens   []*hdrhistogram.Histogram // times to first token by bin, in microseconds
	betweenTokens *hdrhistogram.Histogram
	unblocked     *hdrhistogram.Histogram // of short requests that began while no long one ran
	blocked       *hdrhistogram.Histogram // of short requests that began while a long one ran
	outcomes      map[string]int          // completions by outcome
	codes         map[string]int          // errors by code
	runStates     map[string]int          // errors by run state
	tokens        int                     // of complete answers
	resends       int
	unreached     int // attempts whose connection failed before the answer began
	cut           int // attempts whose connection failed within the answer
	plain         PlainReport
	calls         map[string]*callRecord // by idempotency key
}

// callRecord is what the answers to a plain call said about it.
type callRecord struct {
	ok     bool // an answer was complete and correct
	notRun bool // every answer said that the call was not run
}

func newRecorder() *recorder {
	r := &recorder{
		betweenTokens: histogram(), unblocked: histogram(), blocked: histogram(),
		outcomes: map[string]int{}, codes: map[string]int{}, runStates: map[string]int{},
		plain: PlainReport{Outcomes: map[string]int{}, Resent: map[string]int{}}, calls: map[string]*callRecord{},
	}
	for range bins {
		r.firstTokens = append(r.firstTokens, histogram())
	}
	return r
}

func histogram() *hdrhistogram.Histogram {
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

// observeShort records the time to first token of a short request. blocked says
// that a long request was running when it began.
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

// recordPlain records the result of a plain call, or of its resend after an answer.
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
