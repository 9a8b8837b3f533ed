package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// lossSlack is how long after its last byte a request may be cut that was not
	// passed on.
	lossSlack = 200 * time.Millisecond
	// planTime is how long after SIGTERM a cut belongs to the stop.
	planTime = gracePeriod + time.Second
	// lateWork is when the last sixth of the grace period begins, and earlySend the
	// latest sending of the requests that may be cut then.
	lateWork  = gracePeriod * 5 / 6
	earlySend = 3 * time.Second
	// applyTime is how long after SIGHUP requests are sent that belong to it.
	applyTime = 2 * time.Second
)

// stop is a planned stop of a host.
type stop struct {
	host  int
	at    time.Time
	phase string
}

// outcome is a request and what its caller saw.
type outcome struct {
	host    int
	kind    string
	request Request
	timeout time.Duration
	answer  Answer
}

// engineRun is what an engine did with a request.
type engineRun struct {
	id             string
	arrived, ended time.Time
	whole          bool
}

// ledger holds what callers and engines saw.
type ledger struct {
	record *Record

	mu       sync.Mutex
	outcomes []outcome
	runs     map[string][]*engineRun
	stops    []stop
	hangups  []stop
	stopped  map[int]time.Time
	// quiet holds the hosts that callers do not use.
	quiet map[int]bool
	// failures counts the processes that did not end with status 0.
	failures int
}

func newLedger(r *Record) *ledger {
	return &ledger{record: r, runs: map[string][]*engineRun{}, stopped: map[int]time.Time{}, quiet: map[int]bool{}}
}

func (l *ledger) arrived(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], &engineRun{id: r.Engine.ID(), arrived: r.Arrived})
}

func (l *ledger) done(r Run, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range l.runs[r.ID] {
		if run.arrived.Equal(r.Arrived) {
			run.ended, run.whole = time.Now(), whole
		}
	}
}

func (l *ledger) answered(host int, kind string, q Request, timeout time.Duration, a Answer) {
	if a.Written && (a.Status != 200 || !a.Complete) {
		l.record.Printf("client   %s %s at host %d: %s", kind, a.ID, host, a)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, outcome{host, kind, q, min(timeout, q.Deadline), a})
}

// stop notes that a host gets SIGTERM.
func (l *ledger) stop(host int, phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops = append(l.stops, stop{host, time.Now(), phase})
	l.stopped[host] = time.Now()
}

// hangup notes that a host gets SIGHUP.
func (l *ledger) hangup(host int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hangups = append(l.hangups, stop{host, time.Now(), "SIGHUP alone"})
}

// fail notes that a process did not end with status 0.
func (l *ledger) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
}

// back notes that a host serves again.
func (l *ledger) back(host int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.stopped, host)
	delete(l.quiet, host)
}

// calm lets callers stop using a host.
func (l *ledger) calm(host int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet[host] = true
}

// isQuiet reports whether callers do not use a host.
func (l *ledger) isQuiet(host int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quiet[host]
}

// stopping returns a host that is stopping, or any other one if there is none.
func (l *ledger) stopping() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host := range l.stopped {
		if !l.quiet[host] {
			return host
		}
	}
	return rand.IntN(hostCount)
}

// usable returns the host, or another one if it is quiet or has been stopping for
// moveTime.
func (l *ledger) usable(host int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if at, ok := l.stopped[host]; !l.quiet[host] && (!ok || time.Since(at) < moveTime) {
			return host
		}
		host = rand.IntN(hostCount)
	}
}

// stopAround returns the stop or the SIGHUP that an outcome belongs to.
func (l *ledger) stopAround(o outcome) (stop, bool) {
	ended := o.answer.Sent.Add(o.answer.Took)
	for _, s := range l.stops {
		if s.host == o.host && ended.After(s.at) && ended.Before(s.at.Add(planTime)) {
			return s, true
		}
	}
	for _, s := range l.hangups {
		if s.host == o.host && ended.After(s.at) && o.answer.Sent.Before(s.at.Add(applyTime)) {
			return s, true
		}
	}
	return stop{}, false
}

// stage describes how far a request came that ended without a complete answer.
func (l *ledger) stage(o outcome) string {
	a := o.answer
	arrived := len(l.runs[a.ID]) > 0
	switch {
	case a.LastByte.IsZero():
		return "no connection"
	case !a.Written && !arrived:
		return "not sent whole"
	case !arrived && a.Sent.Add(a.Took).Sub(a.LastByte) <= lossSlack:
		return "crossed the close"
	case !arrived && o.request.Stream:
		return "waiting for an engine"
	case !arrived:
		return "read, not passed on"
	case !a.Began:
		return "passed on, no byte of the answer"
	}
	return "in the answer"
}

// verdict returns how a request ended, and whether that is a loss by the rule.
func (l *ledger) verdict(o outcome, s stop) (text string, loss bool) {
	const clockSlack = 50 * time.Millisecond
	a := o.answer
	switch {
	case a.Err == nil && a.Complete && a.Status == 200:
		return "served", false
	case a.Err == nil && a.Status == 503:
		return "refused", false
	case a.Err == nil && a.Complete:
		return fmt.Sprintf("failed with %d", a.Status), false
	}
	stage := l.stage(o)
	switch {
	case stage == "no connection", stage == "not sent whole", stage == "crossed the close":
		return stage, false
	case a.Took >= o.timeout-clockSlack:
		return "timeout", false
	}
	for _, run := range l.runs[a.ID] {
		late := run.ended.IsZero() || run.ended.After(s.at.Add(lateWork))
		if s.phase != "" && late && !a.Sent.After(s.at.Add(earlySend)) {
			return "cut, at an engine in the last sixth", false
		}
	}
	return "LOST " + stage, true
}

// wrong returns the reason why an answer breaks another rule, or an empty string.
func (l *ledger) wrong(o outcome) string {
	a, runs := o.answer, l.runs[o.answer.ID]
	_, last, _ := strings.Cut(a.Header.Get("Server-Seal"), ".")
	promised := a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421
	switch {
	case promised && last == "" && !o.request.Stream && len(runs) > 0:
		return "REFUSED, and has run"
	case !o.request.Stream && len(runs) > 1:
		return "TWICE"
	case a.Status == 200 && a.Complete && o.request.Stream && len(a.Events) != o.request.Output/34:
		return "ORDER, ends early and looks complete"
	}
	return ""
}

// report says what happened, and returns the number of losses, broken rules and failures
// of processes.
func (l *ledger) report(f *Fleet) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, losses := map[string]map[string]int{}, 0
	for _, o := range l.outcomes {
		s, planned := l.stopAround(o)
		text, loss := l.verdict(o, s)
		group := "no stop, " + o.kind
		if planned {
			group = s.phase + ", " + o.kind
		}
		if counts[group] == nil {
			counts[group] = map[string]int{}
		}
		counts[group][text]++
		if why := l.wrong(o); why != "" {
			losses++
			f.record.Say("%s: %s %s at %s", why, o.kind, o.answer.ID, s)
		}
		if loss {
			losses++
			l.describe(f, o, s, text)
		}
	}
	for _, group := range slices.Sorted(maps.Keys(counts)) {
		var parts []string
		for _, text := range slices.Sorted(maps.Keys(counts[group])) {
			parts = append(parts, fmt.Sprintf("%s %d", text, counts[group][text]))
		}
		f.record.Say("%s: %s", group, strings.Join(parts, ", "))
	}
	for _, g := range f.gateways {
		if g.ends > 0 {
			f.record.Say("%s has ended by itself, %d times", g.Name, g.ends)
			l.failures += g.ends
		}
	}
	f.record.Say("%d losses in %d stops; %d processes ended by themselves or with a failure", losses, len(l.stops), l.failures)
	return losses + l.failures
}

// describe says when a request was lost, in seconds after SIGTERM, and writes the lines of
// the host about it to the record.
func (l *ledger) describe(f *Fleet, o outcome, s stop, text string) {
	a := o.answer
	after := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.2f", t.Sub(s.at).Seconds())
	}
	var runs []string
	for _, r := range l.runs[a.ID] {
		runs = append(runs, fmt.Sprintf("%s %s..%s", r.id, after(r.arrived), after(r.ended)))
	}
	f.record.Say("%s: %s %s, %s, chunks %t, kept %t: sent %s, last byte %s, cut %s, at engines [%s], %d events: %v", text, o.kind, a.ID, s,
		o.request.SendTime > 0, a.Reused, after(a.Sent), after(a.LastByte), after(a.Sent.Add(a.Took)), strings.Join(runs, "; "), len(a.Events), a.Err)
	log, err := os.ReadFile(filepath.Join(f.folder, f.gateways[o.host].Name+".log"))
	if err != nil {
		f.record.Printf("log      cannot be read: %v", err)
		return
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, a.ID) {
			f.record.Printf("log      %s", strings.TrimSpace(line))
		}
	}
}

// scheduler returns the host that has scheduled the most long prompts lately.
func (c *stopCase) scheduler() int {
	best, most := 0, 0
	for i, g := range c.gateways {
		log, err := os.ReadFile(filepath.Join(c.folder, g.Name+".log"))
		if err != nil {
			c.record.Printf("log      cannot be read: %v", err)
			continue
		}
		lines := strings.Split(string(log), "\n")
		n := 0
		for _, line := range lines {
			if strings.Contains(line, `"event":"granted"`) && strings.Contains(line, longService) && recent(line) {
				n++
			}
		}
		if cmp.Compare(n, most) > 0 {
			best, most = i, n
		}
	}
	c.record.Printf("operator host %d schedules the long prompts (%d of late)", best, most)
	return best
}

// recent reports whether a log line is less than four seconds old.
func recent(line string) bool {
	_, rest, _ := strings.Cut(line, `"time":"`)
	at, _, _ := strings.Cut(rest, `"`)
	t, err := time.Parse(time.RFC3339, at)
	return err == nil && time.Since(t) < 4*time.Second
}
