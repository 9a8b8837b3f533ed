package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a load test. Times are in milliseconds.
type Report struct {
	Seconds         float64 `json:"seconds"`
	Requests        int     `json:"requests"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Outcomes counts completions, without plain calls, by outcome: ok, refused,
	// failed, wrong, truncated, unanswered.
	Outcomes map[string]int `json:"outcomes"`
	// Errors counts the error answers to all requests by error code. Runs counts the
	// same error answers by run state, which says whether the request was run.
	Errors map[string]int `json:"errors"`
	Runs   map[string]int `json:"runs"`
	// Wrong, Truncated and Unanswered count the requests with this outcome, plain
	// calls included.
	Wrong      int `json:"wrong"`
	Truncated  int `json:"truncated"`
	Unanswered int `json:"unanswered"`
	// Resent counts the attempts after the first one of a request, made because the
	// attempt before got no final answer. (PlainReport.Resent counts calls that had
	// been answered.) Unreached counts the attempts whose connection failed before the
	// answer began, Cut those whose connection failed during the answer.
	Resent    int `json:"resent"`
	Unreached int `json:"unreached"`
	Cut       int `json:"cut"`
	// FirstToken is the time to first token for each range of prompt lengths.
	FirstToken []Quantiles `json:"first_token"`
	// BetweenTokens is the time between two events with text in a stream.
	BetweenTokens Quantiles   `json:"between_tokens"`
	Blocking      Blocking    `json:"blocking"`
	Plain         PlainReport `json:"plain"`
}

// Quantiles describes a distribution of times in milliseconds.
type Quantiles struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Blocking measures head-of-line blocking by the time to first token of short
// requests. Blocked is that of short requests that began while a long request was in
// progress, Unblocked that of the other short requests. Ratio is the 95th percentile of
// Blocked divided by that of Unblocked, or 0 if one of the two has no requests.
type Blocking struct {
	Blocked   Quantiles `json:"while_long_runs"`
	Unblocked Quantiles `json:"without"`
	Ratio     float64   `json:"ratio"`
}

// PlainReport is the part of a report on plain calls. Some calls are sent again after
// their answer, to check that they don't run twice. Outcomes counts the first result of
// each call, Resent the second result of the calls that were sent again.
type PlainReport struct {
	Outcomes map[string]int `json:"outcomes"`
	Resent   map[string]int `json:"resent"`
	// Verified says that every upstream reported which calls it ran.
	Verified bool `json:"verified"`
	// Doubled counts the calls that ran more than once.
	Doubled int `json:"doubled"`
	// RanThoughRefused counts the calls that ran although every answer said that
	// the call was not run.
	RanThoughRefused int `json:"ran_though_refused"`
	// MissingThoughOK counts the calls that no upstream ran although the caller
	// got a correct answer.
	MissingThoughOK int `json:"missing_though_ok"`
}

// OK reports whether every request got a complete and correct answer or an error, and
// no plain call ran twice, ran although every answer said that it did not, or got a
// correct answer without having run.
func (r Report) OK() bool {
	return r.Wrong+r.Truncated+r.Unanswered+r.Plain.Doubled+r.Plain.RanThoughRefused+r.Plain.MissingThoughOK == 0
}

func (r *recorder) report(took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := func(outcome string) int {
		return r.outcomes[outcome] + r.plain.Outcomes[outcome] + r.plain.Resent[outcome]
	}
	report := Report{
		Seconds: took.Seconds(), TokensPerSecond: float64(r.tokens) / took.Seconds(),
		Outcomes: r.outcomes, Errors: r.codes, Runs: r.runStates,
		Wrong: total(outcomeWrong), Truncated: total(outcomeTruncated), Unanswered: total(outcomeUnanswered),
		Resent: r.resends, Unreached: r.unreached, Cut: r.cut,
		BetweenTokens: quantiles("between tokens", r.betweenTokens), Plain: r.plain,
		Blocking: Blocking{Blocked: quantiles("while long runs", r.blocked), Unblocked: quantiles("without", r.unblocked)},
	}
	for _, n := range r.outcomes {
		report.Requests += n
	}
	for _, n := range r.plain.Outcomes {
		report.Requests += n
	}
	for i, b := range bins {
		report.FirstToken = append(report.FirstToken, quantiles(b.name, r.firstTokens[i]))
	}
	if b := &report.Blocking; b.Blocked.Count > 0 && b.Unblocked.Count > 0 {
		b.Ratio = b.Blocked.P95 / b.Unblocked.P95
	}
	return report
}

func quantiles(name string, h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Name: name, Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// Write prints the report as text.
func (r Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("requests\t%d in %.1f s, %.0f tokens/s", r.Requests, r.Seconds, r.TokensPerSecond)
	line("completions\t%s", formatCounts(r.Outcomes))
	line("errors\t%s", formatCounts(r.Errors))
	line("run states\t%s", formatCounts(r.Runs))
	line("attempts\t%d resent, %d unreached, %d cut", r.Resent, r.Unreached, r.Cut)
	line("faults\t%d wrong, %d truncated, %d unanswered", r.Wrong, r.Truncated, r.Unanswered)
	if len(r.Plain.Outcomes) > 0 {
		line("plain calls\t%s; resent: %s", formatCounts(r.Plain.Outcomes), formatCounts(r.Plain.Resent))
		line("plain checks\tverified %t, %d doubled, %d ran though refused, %d missing though ok",
			r.Plain.Verified, r.Plain.Doubled, r.Plain.RanThoughRefused, r.Plain.MissingThoughOK)
	}
	line("\t")
	line("milliseconds\tcount\tp50\tp95\tp99")
	row := func(name string, q Quantiles) {
		if q.Count > 0 {
			line("%s\t%d\t%.1f\t%.1f\t%.1f", name, q.Count, q.P50, q.P95, q.P99)
		}
	}
	for _, q := range r.FirstToken {
		row("first token, "+q.Name, q)
	}
	row("between tokens", r.BetweenTokens)
	row("short, long one running", r.Blocking.Blocked)
	row("short, none running", r.Blocking.Unblocked)
	if r.Blocking.Ratio > 0 {
		line("head-of-line blocking\t%.2f", r.Blocking.Ratio)
	}
	return w.Flush()
}

// formatCounts formats counts by name, such as "1 failed, 2 ok".
func formatCounts(m map[string]int) string {
	parts := make([]string, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[name], name))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
