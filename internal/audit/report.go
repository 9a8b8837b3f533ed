package audit

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// promptBounds are the upper bounds, in tokens, of the prompt lengths of the table of
// waiting times. Longer prompts form a last row.
var promptBounds = []int{2_000, 8_000, 32_000, 128_000, 512_000}

// Counts counts requests by cause.
type Counts map[Cause]int

// Lengths sums up the requests of a range of prompt lengths that were granted
// engines.
type Lengths struct {
	// UpTo is the longest prompt of the range in tokens; zero means no limit.
	UpTo int `json:"up_to"`
	// Waited is the time until engines were granted, and EstimateError the time by
	// which the first event came later than the scheduler expected. Both are given
	// as the quantiles 0.5, 0.9 and 0.99.
	Requests      int              `json:"requests"`
	Waited        [3]time.Duration `json:"waited_ns"`
	EstimateError [3]time.Duration `json:"estimate_error_ns"`

	waited, errors []time.Duration
}

// Report shows where callers lost.
type Report struct {
	// Begin is the start of the first window. Windows without requests are left out.
	Begin  time.Time     `json:"begin"`
	Window time.Duration `json:"window_ns"`
	// Routes counts requests by route, ByWindow by the number of the window in which
	// they arrived.
	Routes   map[string]Counts `json:"routes"`
	ByWindow map[int]Counts    `json:"windows"`
	Lengths  []*Lengths        `json:"lengths"`

	LinesRead       int `json:"lines_read"`
	LinesUnreadable int `json:"lines_unreadable"`
}

func newReport(begin time.Time, window time.Duration, read, unreadable int) *Report {
	r := &Report{
		Begin: begin, Window: window, Routes: map[string]Counts{}, ByWindow: map[int]Counts{},
		LinesRead: read, LinesUnreadable: unreadable,
	}
	for _, bound := range append(slices.Clone(promptBounds), 0) {
		r.Lengths = append(r.Lengths, &Lengths{UpTo: bound})
	}
	return r
}

func (r *Report) add(route string, at time.Time, c Cause) {
	if r.Routes[route] == nil {
		r.Routes[route] = Counts{}
	}
	r.Routes[route][c]++
	n := int(at.Sub(r.Begin) / r.Window)
	if r.ByWindow[n] == nil {
		r.ByWindow[n] = Counts{}
	}
	r.ByWindow[n][c]++
}

func (r *Report) addGrant(req request, g grant) {
	i := slices.IndexFunc(r.Lengths, func(l *Lengths) bool { return l.UpTo == 0 || req.prompt <= l.UpTo })
	l := r.Lengths[i]
	l.Requests++
	l.waited = append(l.waited, g.waited)
	if req.hasFirstEvent && req.attempts == 1 && req.resumption == 0 {
		l.errors = append(l.errors, req.arrived.Add(req.firstEvent).Sub(g.grantedAt)-g.expected)
	}
}

// finish computes the quantiles and leaves out lengths without requests.
func (r *Report) finish() {
	for _, l := range r.Lengths {
		slices.Sort(l.waited)
		slices.Sort(l.errors)
		for i, share := range []float64{0.5, 0.9, 0.99} {
			l.Waited[i], l.EstimateError[i] = quantile(l.waited, share), quantile(l.errors, share)
		}
	}
	r.Lengths = slices.DeleteFunc(r.Lengths, func(l *Lengths) bool { return l.Requests == 0 })
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	used := slices.DeleteFunc(slices.Clone(Causes), func(c Cause) bool {
		for _, counts := range r.Routes {
			if counts[c] > 0 {
				return false
			}
		}
		return true
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, counts Counts) {
		total := 0
		for _, n := range counts {
			total += n
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t", name, total)
		for _, c := range used {
			_, _ = fmt.Fprintf(t, "%d\t", counts[c])
		}
		_, _ = fmt.Fprintln(t)
	}
	header := func(name string) {
		_, _ = fmt.Fprintf(t, "\n%s\trequests\t", name)
		for _, c := range used {
			_, _ = fmt.Fprintf(t, "%s\t", c)
		}
		_, _ = fmt.Fprintln(t)
	}
	header("route")
	for _, route := range slices.Sorted(maps.Keys(r.Routes)) {
		row(route, r.Routes[route])
	}
	header("from")
	for _, n := range slices.Sorted(maps.Keys(r.ByWindow)) {
		row(r.Begin.Add(time.Duration(n)*r.Window).UTC().Format("15:04:05.0"), r.ByWindow[n])
	}
	r.printLengths(t)
	_, _ = fmt.Fprintf(t, "\n%d lines read, %d of them unreadable\n", r.LinesRead, r.LinesUnreadable)
	return t.Flush()
}

func (r *Report) printLengths(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\nprompt\trequests\twaited p50\tp90\tp99\tlater than expected p50\tp90\tp99\t\n")
	for _, l := range r.Lengths {
		name := fmt.Sprintf("up to %d", l.UpTo)
		if l.UpTo == 0 {
			name = "longer"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t", name, l.Requests)
		for _, d := range slices.Concat(l.Waited[:], l.EstimateError[:]) {
			_, _ = fmt.Fprintf(w, "%d ms\t", d.Milliseconds())
		}
		_, _ = fmt.Fprintln(w)
	}
}
