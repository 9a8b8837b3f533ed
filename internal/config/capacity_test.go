package config

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/pkg/confd"
)

// All sizes: go test ./internal/config -run TestCapacity -capacity -v
var flagCapacity = flag.Bool("capacity", false, "measure all sizes of docs/CAPACITY.md")

// capacitySeed is the seed of all capacity runs.
const capacitySeed = 11

// measurement holds the figures of one fleet size. Traffic, processor time and memory
// are per node; traffic is the sum of both directions. The fields bytes, messages,
// startBytes and cpu are rates per second. Calls are those of all nodes to the
// platform, and peaks their highest number within one second. A restart is that of
// one node, a full restart that of all nodes at once.
type measurement struct {
	nodes                               int
	bytes, messages, cpu, memory        float64
	startBytes, restartBytes            float64
	startupTime                         time.Duration
	changeBytes, changeMax              float64
	changeTime                          time.Duration
	steady, change, fullRestart, outage netem.Calls
	// waiting is the number of watches that wait at the platform.
	waiting                     int
	fullRestartPeak, outagePeak int
}

// meanBytes returns the mean number of bytes sent and received by a node.
func (f *fleet) meanBytes() float64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.bytes()
	}
	return float64(sum) / float64(len(f.nodes))
}

func (n *node) bytes() int64 {
	t := n.endpoint.Traffic()
	return t.BytesIn + t.BytesOut + n.client.Bytes()
}

// meanMessages returns the mean number of messages sent and received by a node.
func (f *fleet) meanMessages() float64 {
	var sum int64
	for _, n := range f.nodes {
		t := n.endpoint.Traffic()
		sum += t.MessagesIn + t.MessagesOut
	}
	return float64(sum) / float64(len(f.nodes))
}

// processCPU returns the processor time used by this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of live heap objects and of stacks. It collects
// garbage twice, as pooled buffers survive one collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func subtractCalls(a, b netem.Calls) netem.Calls {
	return netem.Calls{
		Get: a.Get - b.Get, List: a.List - b.List, Put: a.Put - b.Put,
		Delete: a.Delete - b.Delete, Watch: a.Watch - b.Watch, Hosts: a.Hosts - b.Hosts,
	}
}

// countCalls waits for d and returns the platform calls of all nodes in that
// time and their highest number within one second.
func (f *fleet) countCalls(d time.Duration) (netem.Calls, int) {
	before := f.store.Calls()
	peak, last := 0, before.Total()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := f.store.Calls().Total()
		peak, last = max(peak, now-last), now
	}
	return subtractCalls(f.store.Calls(), before), peak
}

// capacityParts returns the contents of a document of equally large parts, by part
// name. The version changes only the first part.
func capacityParts(parts, size, version int) map[string][]byte {
	contents := map[string][]byte{}
	for i := range parts {
		contents[fmt.Sprintf("organisations-%03d", i)] = []byte(strings.Repeat(fmt.Sprintf("%08d", i), size/8))
	}
	contents["organisations-000"] = []byte(strings.Repeat(fmt.Sprintf("%08d", parts+version), size/8))
	return contents
}

// measure starts a fleet, applies a configuration and measures the steady state,
// a change, the restart of a node, the restart of all nodes and an outage of the
// platform.
func measure(t *testing.T, nodes, parts, size int) measurement {
	m := measurement{nodes: nodes}
	before := memoryInUse()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(capacitySeed, nodes, netem.Link{Delay: time.Millisecond, Jitter: time.Millisecond})
		began := time.Now()
		f.startAll()
		time.Sleep(20 * time.Second)
		m.startBytes = f.meanBytes() / 20
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := f.nodes[0].manager.Apply(ctx, 0, capacityParts(parts, size, 0), "ada")
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		// The membership updates of a start of all nodes take minutes to
		// spread.
		for slices.ContainsFunc(f.nodes, func(n *node) bool { return n.table.Snapshot().Queued > 0 }) {
			time.Sleep(10 * time.Second)
		}
		m.startupTime = time.Since(began)

		m.measureSteadyState(f)
		m.memory = (memoryInUse() - before) / float64(nodes)
		m.measureChange(t, f, capacityParts(parts, size, 1))
		m.measureRestart(f)
		m.measureFullRestartAndOutage(f)
		for _, n := range f.nodes {
			require.Equal(t, uint64(2), n.manager.Revision(), n.name)
			require.Len(t, n.table.Members(), nodes, n.name)
		}
		require.Empty(t, f.foundProblems())
		require.NoError(t, f.stop())
	})
	return m
}

// measureSteadyState measures traffic, processor time and platform calls of an
// undisturbed minute.
func (m *measurement) measureSteadyState(f *fleet) {
	const window = time.Minute
	bytes := f.meanBytes()
	messages, calls, used := f.meanMessages(), f.store.Calls(), processCPU()
	time.Sleep(window)
	after := f.meanBytes()
	m.bytes = (after - bytes) / window.Seconds()
	m.messages = (f.meanMessages() - messages) / window.Seconds()
	m.cpu = (processCPU() - used).Seconds() / window.Seconds() / float64(m.nodes)
	m.steady = subtractCalls(f.store.Calls(), calls)
	m.waiting = f.store.Waiting()
}

// measureChange measures the traffic of one change above that of the steady
// state, and the time until it is in force on all nodes.
func (m *measurement) measureChange(t *testing.T, f *fleet, contents map[string][]byte) {
	const window = 20 * time.Second
	bytes := f.meanBytes()
	bytesBefore := map[string]int64{}
	for _, n := range f.nodes {
		bytesBefore[n.name] = n.bytes()
	}
	calls, began := f.store.Calls(), time.Now()
	_, err := f.nodes[m.nodes/2].manager.Apply(t.Context(), 1, contents, "ada")
	require.NoError(t, err)
	for slices.ContainsFunc(f.nodes, func(n *node) bool { return n.manager.Revision() < 2 }) {
		time.Sleep(10 * time.Millisecond)
	}
	m.changeTime = time.Since(began)
	time.Sleep(window - m.changeTime)
	m.changeBytes = f.meanBytes() - bytes - m.bytes*window.Seconds()
	for _, n := range f.nodes {
		m.changeMax = max(m.changeMax, float64(n.bytes()-bytesBefore[n.name])-m.bytes*window.Seconds())
	}
	m.change = subtractCalls(f.store.Calls(), calls)
}

// measureRestart measures the traffic that the death and replacement of a host
// causes on each other node above that of the steady state.
func (m *measurement) measureRestart(f *fleet) {
	const window = time.Minute
	last := f.nodes[m.nodes-1]
	f.nodes = f.nodes[:m.nodes-1]
	bytes := f.meanBytes()
	f.net.Kill(last.name)
	time.Sleep(20 * time.Second)
	f.nodes = append(f.nodes, last)
	f.start(m.nodes - 1)
	time.Sleep(window - 20*time.Second)
	f.nodes = f.nodes[:m.nodes-1]
	after := f.meanBytes()
	f.nodes = append(f.nodes, last)
	m.restartBytes = after - bytes - m.bytes*window.Seconds()
}

// measureFullRestartAndOutage measures the platform calls after a restart of all
// nodes at once and after an outage of the platform.
func (m *measurement) measureFullRestartAndOutage(f *fleet) {
	for _, n := range f.nodes {
		f.net.Kill(n.name)
	}
	time.Sleep(time.Second)
	f.startAll()
	m.fullRestart, m.fullRestartPeak = f.countCalls(time.Minute)
	f.store.SetMode(netem.Down)
	time.Sleep(3 * time.Minute)
	f.store.SetMode(netem.Up)
	m.outage, m.outagePeak = f.countCalls(time.Minute)
}

// fitLine returns the least squares line through the points and the largest
// deviation from it.
func fitLine(x, y []float64) (slope, base, residual float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	for i := range x {
		residual = max(residual, math.Abs(y[i]-base-slope*x[i]))
	}
	return slope, base, residual
}

// Guards against control traffic or platform calls that grow with the fleet
// beyond the limits of the design size, and prints the figures of
// docs/CAPACITY.md. The line is fitted to the sizes below 380; the measurement
// at 380 shows how well it predicts.
func TestCapacity(t *testing.T) {
	sizes := []int{10, 20}
	if *flagCapacity {
		sizes = []int{10, 20, 40, 80, 160, 380}
	}
	all := make([]measurement, 0, len(sizes))
	for _, n := range sizes {
		m := measure(t, n, 128, 512)
		all = append(all, m)
		t.Logf("nodes %d: %.0f bytes/s, %.1f messages/s, cpu %.4f%%, memory %.2f MB, restart %.0f bytes, change %.0f bytes (most %.0f) in %s",
			n, m.bytes, m.messages, 100*m.cpu, m.memory/1e6, m.restartBytes, m.changeBytes, m.changeMax, m.changeTime)
		t.Logf("nodes %d: first 20 s %.0f bytes/s, quiet after %s; platform calls: 1 minute steady %+v, %d watches waiting; change %+v; restart %+v, peak %d/s; outage %+v, peak %d/s",
			n, m.startBytes, m.startupTime, m.steady, m.waiting, m.change, m.fullRestart, m.fullRestartPeak, m.outage, m.outagePeak)
		require.Less(t, m.bytes, 30_000.0)
		require.Less(t, m.changeTime, acceptTime)
		// The nodes are in 9 failure domains. In each, 2 watchers may make 3 calls a
		// minute, and one reader of the host list may make 5.
		require.LessOrEqual(t, m.waiting, 2*min(9, n))
		require.LessOrEqual(t, m.steady.Total(), 2*min(9, n)*3+9*5)
		require.Less(t, m.fullRestartPeak, 2000)
		require.Less(t, m.outagePeak, 2000)
	}
	if !*flagCapacity {
		return
	}
	series := map[string]func(m measurement) float64{
		"bytes/s":           func(m measurement) float64 { return m.bytes },
		"messages/s":        func(m measurement) float64 { return m.messages },
		"processor percent": func(m measurement) float64 { return 100 * m.cpu },
		"memory MB":         func(m measurement) float64 { return m.memory / 1e6 },
		"bytes per restart": func(m measurement) float64 { return m.restartBytes },
		"bytes per change":  func(m measurement) float64 { return m.changeBytes },
	}
	for name, value := range series {
		var x, y []float64
		for _, m := range all[:len(all)-1] {
			x, y = append(x, float64(m.nodes)), append(y, value(m))
		}
		slope, base, residual := fitLine(x, y)
		t.Logf("%s: %.6g + %.6g per node, largest residual %.3g; at 380 %.5g, measured %.5g",
			name, base, slope, residual, base+380*slope, value(all[len(all)-1]))
	}
}

// Guards against a change whose traffic grows faster than the size of the
// changed part, and prints the slope over part sizes.
func TestCapacityDelta(t *testing.T) {
	var x, y []float64
	for _, size := range []int{4 << 10, 8 << 10, 16 << 10, 32 << 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(capacitySeed, 40, netem.Link{Delay: time.Millisecond, Jitter: time.Millisecond})
			f.startAll()
			time.Sleep(20 * time.Second)
			_, err := f.nodes[0].manager.Apply(t.Context(), 0, capacityParts(16, size, 0), "ada")
			require.NoError(t, err)
			time.Sleep(time.Minute)
			m := measurement{nodes: 40}
			m.measureSteadyState(f)
			m.measureChange(t, f, capacityParts(16, size, 1))
			x, y = append(x, float64(size)), append(y, m.changeBytes)
			require.NoError(t, f.stop())
		})
	}
	slope, base, residual := fitLine(x, y)
	t.Logf("bytes per node and change: %.0f + %.3f per byte of the part, largest residual %.0f", base, slope, residual)
	// On average each node receives the part once and sends it once, in base64
	// (4/3 of its size). 0.5 is a margin.
	require.Less(t, slope, 2*4.0/3+0.5)
}

// Guards against an encoding that takes more bytes per organisation than the sizes
// of the parts allow for, and prints the size of a document.
func TestCapacityDocument(t *testing.T) {
	sizes := []int{2375, 4750, 9500, 19000}
	x, y, memory := make([]float64, 0, len(sizes)), make([]float64, 0, len(sizes)), make([]float64, 0, len(sizes))
	for _, n := range sizes {
		d := confd.Document{Organisations: map[string]confd.Organisation{}}
		for i := range n {
			d.Organisations[fmt.Sprintf("organisation-%05d", i)] = confd.Organisation{
				Keys:   []string{"sha256:" + HashOf([]byte{byte(i)}), "sha256:" + HashOf([]byte{byte(i), 1})},
				Weight: 1, Services: []string{"drafting", "order-desk"}, RequestsPerSecond: 20, TokensPerSecond: 40000, Concurrent: 16,
			}
		}
		raw, err := json.Marshal(d)
		require.NoError(t, err)
		before := memoryInUse()
		var decoded confd.Document
		require.NoError(t, json.Unmarshal(raw, &decoded))
		used := memoryInUse() - before
		runtime.KeepAlive(raw)
		runtime.KeepAlive(decoded)
		runtime.KeepAlive(d)
		x, y, memory = append(x, float64(n)), append(y, float64(len(raw))), append(memory, used)
		require.Len(t, decoded.Organisations, n)
	}
	slope, base, residual := fitLine(x, y)
	t.Logf("document: %.0f + %.1f bytes per organisation, largest residual %.0f", base, slope, residual)
	memorySlope, memoryBase, memoryResidual := fitLine(x, memory)
	t.Logf("decoded: %.0f + %.1f bytes per organisation, largest residual %.0f", memoryBase, memorySlope, memoryResidual)
	require.Less(t, slope, 400.0)
}
