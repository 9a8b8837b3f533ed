// Package meter keeps the present values of the metrics of a process, so that
// operators can read them without an outside metrics system.
package meter

import (
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

const (
	// reportInterval is how often tally passes counters and gauges on.
	reportInterval = time.Second
	// maxTimer is the largest duration that timers tell apart.
	maxTimer = time.Hour
	// timerDigits is the number of significant decimal digits of a timer.
	timerDigits = 2
)

// Value is the present value of a metric.
type Value struct {
	Name  string
	Tags  map[string]string
	Value float64
}

// Meter is a tally reporter that keeps the last values in memory. Counters are
// totals since the start; timers are given as count, p50, p95, p99 in seconds.
type Meter struct {
	mu     sync.Mutex
	totals map[string]*Value
	timers map[string]*timer
}

type timer struct {
	name      string
	tags      map[string]string
	histogram *hdrhistogram.Histogram
}

// New returns a meter with the root scope that feeds it. Closing the closer
// passes the last values on.
func New(prefix string) (*Meter, tally.Scope, io.Closer) {
	m := &Meter{totals: map[string]*Value{}, timers: map[string]*timer{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Reporter: m, OmitCardinalityMetrics: true,
	}, reportInterval)
	return m, scope, closer
}

// Values returns the present values, sorted by name and tags.
func (m *Meter) Values() []Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Value, 0, len(m.totals)+4*len(m.timers))
	for _, v := range m.totals {
		list = append(list, *v)
	}
	for _, t := range m.timers {
		list = append(list, Value{t.name + ".count", t.tags, float64(t.histogram.TotalCount())})
		for suffix, percentile := range map[string]float64{".p50": 50, ".p95": 95, ".p99": 99} {
			micros := t.histogram.ValueAtPercentile(percentile)
			list = append(list, Value{t.name + suffix, t.tags, (time.Duration(micros) * time.Microsecond).Seconds()})
		}
	}
	slices.SortFunc(list, func(a, b Value) int { return strings.Compare(identity(a.Name, a.Tags), identity(b.Name, b.Tags)) })
	return list
}

// identity returns a text that is unique to a name and its tags.
func identity(name string, tags map[string]string) string {
	var id strings.Builder
	id.WriteString(name)
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		id.WriteString("\x00" + key + "\x00" + tags[key])
	}
	return id.String()
}

func (m *Meter) total(name string, tags map[string]string) *Value {
	id := identity(name, tags)
	v := m.totals[id]
	if v == nil {
		v = &Value{Name: name, Tags: tags}
		m.totals[id] = v
	}
	return v
}

// ReportCounter implements tally.StatsReporter.
func (m *Meter) ReportCounter(name string, tags map[string]string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total(name, tags).Value += float64(delta)
}

// ReportGauge implements tally.StatsReporter.
func (m *Meter) ReportGauge(name string, tags map[string]string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total(name, tags).Value = value
}

// ReportTimer implements tally.StatsReporter.
func (m *Meter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := identity(name, tags)
	t := m.timers[id]
	if t == nil {
		t = &timer{name, tags, hdrhistogram.New(1, maxTimer.Microseconds(), timerDigits)}
		m.timers[id] = t
	}
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = t.histogram.RecordValue(min(max(interval.Microseconds(), 1), maxTimer.Microseconds()))
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (m *Meter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, _ float64, samples int64) {
	m.ReportCounter(name, tags, samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (m *Meter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, _ time.Duration, samples int64) {
	m.ReportCounter(name, tags, samples)
}

// Capabilities implements tally.StatsReporter.
func (m *Meter) Capabilities() tally.Capabilities { return m }

// Reporting implements tally.Capabilities.
func (m *Meter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (m *Meter) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (m *Meter) Flush() {}
