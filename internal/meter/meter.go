// Package meter keeps the current values of the metrics of a process, so that
// operators can read them without an external metrics system.
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
	// reportInterval is how often tally reports counters and gauges to the
	// meter.
	reportInterval = time.Second
	// maxTimer is the maximum duration that timers record. Longer ones are
	// recorded as maxTimer.
	maxTimer = time.Hour
	// timerDigits is the number of significant decimal digits that a timer
	// keeps of a duration.
	timerDigits = 2
)

// Value is the current value of a metric.
type Value struct {
	Name  string
	Tags  map[string]string
	Value float64
}

// Meter is a tally reporter that keeps the current values in memory. Counters
// are totals since the start. Each timer yields its count and its percentiles
// p50, p95 and p99 in seconds.
type Meter struct {
	mu sync.Mutex
	// scalars holds the counters and gauges, timers the timers. The keys of both
	// are series ids, as seriesID returns them.
	scalars map[string]*Value
	timers  map[string]*timer
}

// timer records durations in a histogram, so that it does not keep every sample
// in memory.
type timer struct {
	name      string
	tags      map[string]string
	histogram *hdrhistogram.Histogram
}

// New returns a meter, the root scope that reports to the meter, and a closer.
// Closing the closer reports the last values.
func New(prefix string) (*Meter, tally.Scope, io.Closer) {
	m := &Meter{scalars: map[string]*Value{}, timers: map[string]*timer{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Reporter: m, OmitCardinalityMetrics: true,
	}, reportInterval)
	return m, scope, closer
}

// Values returns the current values, sorted by name and tags.
func (m *Meter) Values() []Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Value, 0, len(m.scalars)+4*len(m.timers))
	for _, v := range m.scalars {
		list = append(list, *v)
	}
	for _, t := range m.timers {
		list = append(list, Value{t.name + ".count", t.tags, float64(t.histogram.TotalCount())})
		for suffix, percentile := range map[string]float64{".p50": 50, ".p95": 95, ".p99": 99} {
			micros := t.histogram.ValueAtPercentile(percentile)
			list = append(list, Value{t.name + suffix, t.tags, (time.Duration(micros) * time.Microsecond).Seconds()})
		}
	}
	slices.SortFunc(list, func(a, b Value) int { return strings.Compare(seriesID(a.Name, a.Tags), seriesID(b.Name, b.Tags)) })
	return list
}

// seriesID returns a string that is unique to a name with its tags.
func seriesID(name string, tags map[string]string) string {
	var id strings.Builder
	id.WriteString(name)
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		id.WriteString("\x00" + key + "\x00" + tags[key])
	}
	return id.String()
}

// scalar returns the counter or gauge with the name and tags, which it creates
// if necessary. The caller holds mu.
func (m *Meter) scalar(name string, tags map[string]string) *Value {
	id := seriesID(name, tags)
	v := m.scalars[id]
	if v == nil {
		v = &Value{Name: name, Tags: tags}
		m.scalars[id] = v
	}
	return v
}

// ReportCounter implements tally.StatsReporter.
func (m *Meter) ReportCounter(name string, tags map[string]string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scalar(name, tags).Value += float64(delta)
}

// ReportGauge implements tally.StatsReporter.
func (m *Meter) ReportGauge(name string, tags map[string]string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scalar(name, tags).Value = value
}

// ReportTimer implements tally.StatsReporter.
func (m *Meter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := seriesID(name, tags)
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
