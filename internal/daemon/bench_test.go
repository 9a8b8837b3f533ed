package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/internal/usage"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return log
}

// stubEngine answers each request on a loopback socket with a prepared response,
// so that its processor time is small compared with that of the client.
type stubEngine struct {
	listener net.Listener
	group    *group.Group
	bytes    atomic.Int64
}

func newStubEngine(b *testing.B, events int) *stubEngine {
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	e := &stubEngine{listener: listener, group: group.New(b.Context())}
	load, err := json.Marshal(engine.LoadReport{
		Engine: "north-jetty-engine-0001", CapacityTokens: 400_000, UsedTokens: 250_000, Running: 16, Waiting: 2,
		PrefillTokensPerSecond: 21_500.5, DecodeStepMillis: 68.25, Role: "mixed", Fence: 12, AgeMillis: 480,
		Models: []engine.Model{{Name: "model-large", Version: "2026-11-30", Adapters: []string{"adapter-one"}}},
	})
	require.NoError(b, err)
	list := make([]engine.CacheEvent, events)
	for i := range list {
		list[i] = engine.CacheEvent{
			Seq: uint64(1_000_000 + i), Kind: "stored", Organisation: "0123456789abcdef", Prefix: "fedcba9876543210", Tokens: 1024,
		}
	}
	cache, err := json.Marshal(map[string]any{"events": list, "next": 1_000_000 + events})
	require.NoError(b, err)
	e.group.Go("accept", func(context.Context) error { return e.accept(preparedResponse(load), preparedResponse(cache)) })
	b.Cleanup(func() {
		_ = listener.Close()
		e.group.Stop()
		require.NoError(b, e.group.Wait())
	})
	return e
}

// preparedResponse returns an HTTP response with the headers that net/http
// servers send.
func preparedResponse(body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+
		"Date: Fri, 04 Dec 2026 06:49:00 GMT\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (e *stubEngine) accept(load, cache []byte) error {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed at the end of the benchmark
		}
		e.group.Go("connection", func(ctx context.Context) error {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			e.answer(conn, load, cache)
			return nil
		})
	}
}

// answer answers the requests of a connection: those whose path starts with
// /v1/c with cache, all others with load.
func (e *stubEngine) answer(conn net.Conn, load, cache []byte) {
	in := bufio.NewReader(conn)
	response := load
	for first := true; ; {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		e.bytes.Add(int64(len(line)))
		if first && len(line) > 9 && string(line[5:9]) == "v1/c" {
			response = cache
		}
		// A line of only CR LF ends a request, so the next line begins another.
		if first = len(line) == 2; !first {
			continue
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
		e.bytes.Add(int64(len(response)))
		response = load
	}
}

// BenchmarkPoller measures a load interval of all engines of a cell: a load
// report of each engine, and the reads of cache events that fall into the
// interval. The stub engine runs in this process, so the figures include it.
func BenchmarkPoller(b *testing.B) {
	for _, engines := range []int{8, 16, 32, 64} {
		for _, events := range []int{0, 16} {
			b.Run(fmt.Sprintf("engines=%d/events=%d", engines, events), func(b *testing.B) { benchPoller(b, engines, events) })
		}
	}
}

// benchPoller polls all engines of a cell once per operation.
func benchPoller(b *testing.B, engines, events int) {
	scheduler := sched.New(sched.Options{Cell: "c", RebuildWindow: -1, Log: quietLog(), Rand: rand.New(rand.NewPCG(1, 1))})
	memory := quota.UpstreamAnswers(1 << 30)
	client := engine.NewClient(dialer.Transport(dialer.TCP, memory), memory)
	stub := newStubEngine(b, events)
	infos := make([]sched.EngineInfo, engines)
	pollers := make([]*poller, engines)
	for i := range infos {
		host := plat.Host{Name: fmt.Sprint("e", i), Address: stub.listener.Addr().String()}
		infos[i] = sched.EngineInfo{Name: host.Name, Address: host.Address}
		pollers[i] = &poller{engine: host, scheduler: scheduler, client: client, log: quietLog()}
	}
	scheduler.SetEngines(infos)
	loadsPerEventRead := int(eventInterval / loadInterval)
	round := 0
	poll := func() {
		for i, p := range pollers {
			p.pollLoad(b.Context())
			if (round+i)%loadsPerEventRead == 0 {
				p.pollEvents(b.Context())
			}
			if p.failures > 0 {
				b.Fatal("a load report failed")
			}
		}
		round++
	}
	poll()
	user, system, _ := usage.CPU()
	bytes := stub.bytes.Load()
	for b.Loop() {
		poll()
	}
	userEnd, systemEnd, _ := usage.CPU()
	// Each operation stands for one load interval of all engines.
	perSecond := float64(time.Second) / float64(loadInterval) / float64(b.N*engines)
	b.ReportMetric(float64(userEnd-user)*perSecond, "user-ns/engine-s")
	b.ReportMetric(float64(systemEnd-system)*perSecond, "sys-ns/engine-s")
	b.ReportMetric(float64(stub.bytes.Load()-bytes)*perSecond, "B/engine-s")
}

// BenchmarkDump measures the encoding of the parts of the state dump that grow
// with the requests in flight: the requests of this node and the grants of one
// cell.
func BenchmarkDump(b *testing.B) {
	for _, requests := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			scheduler := sched.New(sched.Options{
				Cell: "drafting/north-jetty/0", Owner: "entry-0001", RebuildWindow: -1, Log: quietLog(),
				Rand: rand.New(rand.NewPCG(1, 1)),
			})
			infos := make([]sched.EngineInfo, 64)
			for i := range infos {
				infos[i] = sched.EngineInfo{Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprint("10.0.0.", i, ":80")}
			}
			scheduler.SetEngines(infos)
			for _, i := range infos {
				scheduler.Report(i.Name, i.Address, engine.LoadReport{CapacityTokens: 1 << 20, PrefillTokensPerSecond: 1e6})
			}
			views := make([]entry.RequestView, requests)
			for i := range views {
				views[i] = entry.RequestView{
					ID: fmt.Sprintf("entry-0001-18c5d3a7f0-%x", i), Service: "drafting", Organisation: fmt.Sprintf("organisation-%05d", i),
					Model: "model-large", Phase: "running", Engine: infos[i%64].Name, PromptTokens: 2000,
					Fingerprint: fmt.Sprintf("%032x", i), Age: time.Duration(i) * time.Millisecond, Remaining: time.Minute,
				}
				_, err := scheduler.Acquire(b.Context(), sched.Request{
					ID: views[i].ID, Attempt: 1, Cell: "drafting/north-jetty/0", Entry: "entry-0001",
					Organisation: views[i].Organisation, Weight: 1, Model: views[i].Model,
					PromptTokens: 2000, MaxTokens: 256, Fingerprint: views[i].Fingerprint, Remaining: time.Hour,
				})
				require.NoError(b, err)
			}
			user, _, _ := usage.CPU()
			size := 0
			for b.Loop() {
				data, err := json.Marshal(map[string]any{"requests": views, "sched": []sched.Snapshot{scheduler.Snapshot()}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			userEnd, _, _ := usage.CPU()
			b.ReportMetric(float64(userEnd-user)/float64(b.N), "user-ns/op")
			b.ReportMetric(float64(size), "dump-B")
		})
	}
}

// fixedMembers is a membership that does not change.
type fixedMembers struct {
	list    []member.Member
	changed chan struct{}
}

func (m fixedMembers) Members() []member.Member { return slices.Clone(m.list) }
func (m fixedMembers) Self() member.Member      { return m.list[0] }
func (m fixedMembers) Changed() <-chan struct{} { return m.changed }

// hostList returns 380 entry hosts and the given number of engines in nine
// failure domains of three regions, with two services.
func hostList(engines int) []plat.Host {
	list := make([]plat.Host, 0, 380+engines)
	for i := range 380 + engines {
		domain := i % 9
		h := plat.Host{
			Name: fmt.Sprintf("host-%04d", i), Address: fmt.Sprintf("10.%d.%d.%d:8443", domain, i/250, i%250),
			FailureDomain: fmt.Sprint("failure-domain-", domain), Region: fmt.Sprint("region-", domain/3), State: plat.HostLive,
		}
		if i < 380 {
			h.Role, h.PeerAddress = plat.RoleEntry, fmt.Sprintf("10.%d.%d.%d:8444", domain, i/250, i%250)
		} else {
			h.Role, h.Service = plat.RoleEngine, []string{"assistant", "drafting"}[i/9%2]
		}
		list = append(list, h)
	}
	return list
}

// BenchmarkRefresh measures the refresh of cells and owners that a node makes
// each second, when nothing has changed.
func BenchmarkRefresh(b *testing.B) {
	for _, engines := range []int{262, 525, 1050, 2100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			list := hostList(engines)
			members := fixedMembers{}
			for _, h := range list[:380] {
				members.list = append(members.list, member.Member{
					Name: h.Name, PeerAddress: h.PeerAddress, FailureDomain: h.FailureDomain, Region: h.Region, State: member.Alive,
				})
			}
			h := newHosts(nil, nil, quietLog())
			h.list, h.version = list, 1
			c := &cellSet{
				name: "another", maxEngines: 64, hosts: h, members: members, log: quietLog(), owned: map[string]*ownedCell{},
				document: func() (*confd.Document, uint64, error) { return &confd.Document{}, 1, nil },
			}
			c.refresh(b.Context())
			b.ReportAllocs()
			user, _, _ := usage.CPU()
			for b.Loop() {
				c.refresh(b.Context())
			}
			userEnd, _, _ := usage.CPU()
			b.ReportMetric(float64(userEnd-user)/float64(b.N), "user-ns/op")
		})
	}
}

// BenchmarkHosts measures the time to decode the platform's host list, and the
// size of the list.
func BenchmarkHosts(b *testing.B) {
	for _, engines := range []int{262, 525, 1050, 2100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			data, err := json.Marshal(map[string]any{"hosts": hostList(engines)})
			require.NoError(b, err)
			user, _, _ := usage.CPU()
			for b.Loop() {
				var list struct {
					Hosts []plat.Host `json:"hosts"`
				}
				if err := json.Unmarshal(data, &list); err != nil {
					b.Fatal(err)
				}
			}
			userEnd, _, _ := usage.CPU()
			b.ReportMetric(float64(userEnd-user)/float64(b.N), "user-ns/op")
			b.ReportMetric(float64(len(data)), "list-B")
		})
	}
}
