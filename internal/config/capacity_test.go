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

// measured are the figures of one fleet size. Rates are per node and second;
// bytes and messages are the sum of both directions.
type measured struct {
	nodes                           int
	bytes, messages, cpu, memory    float64
	startBytes, restartBytes        float64
	settle                          time.Duration
	changeBytes, changeMax          float64
	changeTime                      time.Duration
	steady, change, restart, outage netem.Calls
	waiting                         int
	restartPeak, outagePeak         int
}

// bytes returns the mean of the bytes sent and received by the nodes.
func (f *fleet) bytes() float64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.bytes()
	}
	return float64(sum) / float64(len(f.nodes))
}

func (n *node) bytes() int64 {
	t := n.end.Traffic()
	return t.BytesIn + t.BytesOut + n.client.Bytes()
}

func (f *fleet) messages() float64 {
	var sum int64
	for _, n := range f.nodes {
		t := n.end.Traffic()
		sum += t.MessagesIn + t.MessagesOut
	}
	return float64(sum) / float64(len(f.nodes))
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the memory in use. Pooled buffers survive one collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func minus(a, b netem.Calls) netem.Calls {
	return netem.Calls{
		Get: a.Get - b.Get, List: a.List - b.List, Put: a.Put - b.Put,
		Delete: a.Delete - b.Delete, Watch: a.Watch - b.Watch, Hosts: a.Hosts - b.Hosts,
	}
}

// peak waits and returns the calls of all clients in that time and the most
// calls in one second.
func (f *fleet) peak(d time.Duration) (netem.Calls, int) {
	before := f.store.Calls()
	top, last := 0, before.Total()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := f.store.Calls().Total()
		top, last = max(top, now-last), now
	}
	return minus(f.store.Calls(), before), top
}

// capacityParts is a document of many small parts, one of them changeable.
func capacityParts(parts, size, version int) map[string][]byte {
	contents := map[string][]byte{}
	for i := range parts {
		contents[fmt.Sprintf("organisations-%03d", i)] = []byte(strings.Repeat(fmt.Sprintf("%08d", i), size/8))
	}
	contents["organisations-000"] = []byte(strings.Repeat(fmt.Sprintf("%08d", parts+version), size/8))
	return contents
}

func measure(t *testing.T, nodes, parts, size int) measured {
	m := measured{nodes: nodes}
	before := heap()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(capacitySeed, nodes, netem.Link{Delay: time.Millisecond, Jitter: time.Millisecond})
		began := time.Now()
		f.startAll()
		time.Sleep(20 * time.Second)
		m.startBytes = f.bytes() / 20
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := f.nodes[0].keeper.Apply(ctx, 0, capacityParts(parts, size, 0), "ada")
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		// The updates of a start of all nodes travel for minutes.
		for slices.ContainsFunc(f.nodes, func(n *node) bool { return n.table.Snapshot().Queued > 0 }) {
			time.Sleep(10 * time.Second)
		}
		m.settle = time.Since(began)

		m.steadyState(f)
		m.memory = (heap() - before) / float64(nodes)
		m.oneChange(t, f, capacityParts(parts, size, 1))
		m.oneRestart(f)
		m.everything(f)
		for _, n := range f.nodes {
			require.Equal(t, uint64(2), n.keeper.Revision(), n.name)
			require.Len(t, n.table.Members(), nodes, n.name)
		}
		require.Empty(t, f.found())
		require.NoError(t, f.stop())
	})
	return m
}

func (m *measured) steadyState(f *fleet) {
	const window = time.Minute
	bytes := f.bytes()
	messages, calls, used := f.messages(), f.store.Calls(), cpu()
	time.Sleep(window)
	after := f.bytes()
	m.bytes = (after - bytes) / window.Seconds()
	m.messages = (f.messages() - messages) / window.Seconds()
	m.cpu = (cpu() - used).Seconds() / window.Seconds() / float64(m.nodes)
	m.steady = minus(f.store.Calls(), calls)
	m.waiting = f.store.Waiting()
}

// oneChange measures what one change costs above the steady state.
func (m *measured) oneChange(t *testing.T, f *fleet, contents map[string][]byte) {
	const window = 20 * time.Second
	bytes := f.bytes()
	single := map[string]int64{}
	for _, n := range f.nodes {
		single[n.name] = n.bytes()
	}
	calls, began := f.store.Calls(), time.Now()
	_, err := f.nodes[m.nodes/2].keeper.Apply(t.Context(), 1, contents, "ada")
	require.NoError(t, err)
	for slices.ContainsFunc(f.nodes, func(n *node) bool { return n.keeper.Revision() < 2 }) {
		time.Sleep(10 * time.Millisecond)
	}
	m.changeTime = time.Since(began)
	time.Sleep(window - m.changeTime)
	m.changeBytes = f.bytes() - bytes - m.bytes*window.Seconds()
	for _, n := range f.nodes {
		m.changeMax = max(m.changeMax, float64(n.bytes()-single[n.name])-m.bytes*window.Seconds())
	}
	m.change = minus(f.store.Calls(), calls)
}

// oneRestart measures what a host that dies and is replaced costs each other
// node above the steady state.
func (m *measured) oneRestart(f *fleet) {
	const window = time.Minute
	last := f.nodes[m.nodes-1]
	f.nodes = f.nodes[:m.nodes-1]
	bytes := f.bytes()
	f.net.Kill(last.name)
	time.Sleep(20 * time.Second)
	f.nodes = append(f.nodes, last)
	f.start(m.nodes - 1)
	time.Sleep(window - 20*time.Second)
	f.nodes = f.nodes[:m.nodes-1]
	after := f.bytes()
	f.nodes = append(f.nodes, last)
	m.restartBytes = after - bytes - m.bytes*window.Seconds()
}

// everything restarts all nodes at once, then takes the platform down.
func (m *measured) everything(f *fleet) {
	for _, n := range f.nodes {
		f.net.Kill(n.name)
	}
	time.Sleep(time.Second)
	f.startAll()
	m.restart, m.restartPeak = f.peak(time.Minute)
	f.store.SetMode(netem.Down)
	time.Sleep(3 * time.Minute)
	f.store.SetMode(netem.Up)
	m.outage, m.outagePeak = f.peak(time.Minute)
}

// fit returns the straight line through the points and the largest deviation.
func fit(x, y []float64) (slope, base, residual float64) {
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
// docs/CAPACITY.md. The line is fitted to the sizes below 380, which is
// measured to check it.
func TestCapacity(t *testing.T) {
	sizes := []int{10, 20}
	if *flagCapacity {
		sizes = []int{10, 20, 40, 80, 160, 380}
	}
	all := make([]measured, 0, len(sizes))
	for _, n := range sizes {
		m := measure(t, n, 128, 512)
		all = append(all, m)
		t.Logf("nodes %d: %.0f bytes/s, %.1f messages/s, cpu %.4f%%, memory %.2f MB, restart %.0f bytes, change %.0f bytes (most %.0f) in %s",
			n, m.bytes, m.messages, 100*m.cpu, m.memory/1e6, m.restartBytes, m.changeBytes, m.changeMax, m.changeTime)
		t.Logf("nodes %d: first 20 s %.0f bytes/s, quiet after %s; platform calls: 1 minute steady %+v, %d watches waiting; change %+v; restart %+v, peak %d/s; outage %+v, peak %d/s",
			n, m.startBytes, m.settle, m.steady, m.waiting, m.change, m.restart, m.restartPeak, m.outage, m.outagePeak)
		require.Less(t, m.bytes, 30_000.0)
		require.Less(t, m.changeTime, acceptTime)
		require.LessOrEqual(t, m.waiting, 2*min(9, n))
		require.LessOrEqual(t, m.steady.Total(), 2*min(9, n)*3+9*5)
		require.Less(t, m.restartPeak, 2000)
		require.Less(t, m.outagePeak, 2000)
	}
	if !*flagCapacity {
		return
	}
	series := map[string]func(m measured) float64{
		"bytes/s":           func(m measured) float64 { return m.bytes },
		"messages/s":        func(m measured) float64 { return m.messages },
		"processor percent": func(m measured) float64 { return 100 * m.cpu },
		"memory MB":         func(m measured) float64 { return m.memory / 1e6 },
		"bytes per restart": func(m measured) float64 { return m.restartBytes },
		"bytes per change":  func(m measured) float64 { return m.changeBytes },
	}
	for name, value := range series {
		var x, y []float64
		for _, m := range all[:len(all)-1] {
			x, y = append(x, float64(m.nodes)), append(y, value(m))
		}
		slope, base, residual := fit(x, y)
		t.Logf("%s: %.6g + %.6g per node, largest residual %.3g; at 380 %.5g, measured %.5g",
			name, base, slope, residual, base+380*slope, value(all[len(all)-1]))
	}
}

// Guards against a change whose traffic does not follow the size of the part
// that differs, and prints the slope over part sizes.
func TestCapacityDelta(t *testing.T) {
	var x, y []float64
	for _, size := range []int{4 << 10, 8 << 10, 16 << 10, 32 << 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(capacitySeed, 40, netem.Link{Delay: time.Millisecond, Jitter: time.Millisecond})
			f.startAll()
			time.Sleep(20 * time.Second)
			_, err := f.nodes[0].keeper.Apply(t.Context(), 0, capacityParts(16, size, 0), "ada")
			require.NoError(t, err)
			time.Sleep(time.Minute)
			m := measured{nodes: 40}
			m.steadyState(f)
			m.oneChange(t, f, capacityParts(16, size, 1))
			x, y = append(x, float64(size)), append(y, m.changeBytes)
			require.NoError(t, f.stop())
		})
	}
	slope, base, residual := fit(x, y)
	t.Logf("bytes per node and change: %.0f + %.3f per byte of the part, largest residual %.0f", base, slope, residual)
	require.Less(t, slope, 2*4.0/3+0.5)
}

// Guards against an organisation whose encoding grows beyond what the parts
// were sized for, and prints the size of a document.
func TestCapacityDocument(t *testing.T) {
	sizes := []int{2375, 4750, 9500, 19000}
	x, y, z := make([]float64, 0, len(sizes)), make([]float64, 0, len(sizes)), make([]float64, 0, len(sizes))
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
		before := heap()
		var decoded confd.Document
		require.NoError(t, json.Unmarshal(raw, &decoded))
		used := heap() - before
		runtime.KeepAlive(raw)
		runtime.KeepAlive(decoded)
		runtime.KeepAlive(d)
		x, y, z = append(x, float64(n)), append(y, float64(len(raw))), append(z, used)
		require.Len(t, decoded.Organisations, n)
	}
	slope, base, residual := fit(x, y)
	t.Logf("document: %.0f + %.1f bytes per organisation, largest residual %.0f", base, slope, residual)
	memory, fixed, off := fit(x, z)
	t.Logf("decoded: %.0f + %.1f bytes per organisation, largest residual %.0f", fixed, memory, off)
	require.Less(t, slope, 400.0)
}
