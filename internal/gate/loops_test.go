package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/relay"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// failTime is the longest time after which a gateway that can't go on is gone.
const failTime = time.Second

// faults counts down, by the name of a place, the panics that are still to occur there.
type faults struct {
	mu   sync.Mutex
	left map[string]int
}

func (f *faults) set(name string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left[name] = count
}

func (f *faults) hit(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left[name] > 0 {
		f.left[name]--
		panic("injected at " + name)
	}
}

func (f *faults) pending(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left[name]
}

// faultyPlatform is a platform whose adapter panics where faults says so. Its keys are
// the document, an upstream for each name in upstreams, and the key "bad".
type faultyPlatform struct {
	*faults
	mu        sync.Mutex
	revision  uint64
	upstreams map[string]place.Upstream
	changed   chan struct{}
}

func (p *faultyPlatform) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision += 4
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *faultyPlatform) List(context.Context) (feed.Batch, error) {
	p.hit("list")
	p.mu.Lock()
	defer p.mu.Unlock()
	b := feed.Batch{Version: feed.Version{Revision: p.revision}, Complete: true, Direct: true}
	for i, key := range []string{"document", "e1", "p1", "bad"} {
		b.Items = append(b.Items, feed.Item{Key: key, Value: []byte(key), Revision: p.revision - 3 + uint64(i)})
	}
	return b, nil
}

func (p *faultyPlatform) Watch(ctx context.Context, after feed.Version, wait time.Duration) (feed.Batch, error) {
	p.hit("watch")
	p.mu.Lock()
	revision, changed := p.revision, p.changed
	p.mu.Unlock()
	if revision > after.Revision {
		return p.List(ctx)
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return feed.Batch{Version: after, Direct: true}, ctx.Err()
}

func (p *faultyPlatform) Publish(context.Context, crash.Quarantine) error {
	p.hit("publish")
	return nil
}
func (p *faultyPlatform) Withdraw(context.Context, string) error { return nil }

func (p *faultyPlatform) Decode(h http.Header) relay.RequestMeta {
	p.hit("decode")
	return relay.RequestMeta{ID: h.Get("Id"), Remaining: 5 * time.Second, PromptTokens: 100, OutputTokens: 10}
}
func (p *faultyPlatform) SetHeaders(http.Header, relay.ForwardOptions) { p.hit("set headers") }
func (p *faultyPlatform) ReadVerdict(*http.Response) relay.ResponseVerdict {
	p.hit("verdict")
	return relay.ResponseVerdict{Signed: true}
}

func (p *faultyPlatform) Reserve(context.Context, place.Helper, int, time.Duration) error { return nil }

func (p *faultyPlatform) Release(context.Context, place.Helper) error { return nil }

func (p *faultyPlatform) Alive(context.Context, place.Upstream) error { return nil }

func (p *faultyPlatform) Announce(context.Context, string, string, time.Duration) error { return nil }

func (p *faultyPlatform) adapter(AdapterOptions) Adapter {
	handler := func(name string) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { p.hit(name) })
	}
	return Adapter{
		Source: p, Codec: p, Reserver: p, Quarantines: p, Meeting: p,
		Load: func(context.Context, place.Upstream) (place.Load, error) {
			p.hit("load")
			return place.Load{}, nil
		},
		DecodeGateway: func(string, []byte) (string, bool, error) { return "", false, nil },
		DecodeQuarantine: func(key string, _ []byte) (q crash.Quarantine, ok bool, err error) {
			if key == "bad" {
				p.hit("quarantine")
			}
			return q, false, nil
		},
		DecodeDocument: func(key string, _ []byte) (*route.Config, bool, error) {
			if key == "bad" {
				p.hit("document")
			}
			return testConfig(), key == "document", nil
		},
		DecodeUpstream: func(key string, _ []byte) (place.Upstream, bool, error) {
			if key == "bad" {
				p.hit("registration")
			}
			u, ok := p.upstreams[key]
			return u, ok, nil
		},
		Directory: func(Directory, time.Duration) http.Handler { return handler("directory") },
		Ready:     func(Directory) http.Handler { return handler("ready") },
	}
}

func testConfig() *route.Config {
	return &route.Config{
		Version: 1, MaxBodyBytes: 1 << 20,
		Routes: []route.Route{
			{Host: "h", Prefix: "/stream/", Stream: true, Timeout: 5 * time.Second, Attempts: 1, Goal: time.Second, GapGoal: time.Second, Shares: []route.Share{{Service: "model", Weight: 1}}},
			{Host: "h", Prefix: "/plain/", Timeout: 5 * time.Second, Attempts: 1, Shares: []route.Share{{Service: "plain", Weight: 1}}},
		},
		Services: map[string]route.Service{
			"model": {Name: "model", Engine: &route.Engine{Slots: 8, EventTokens: 1, PrefillRate: 100_000, StepTime: time.Millisecond}},
			"plain": {Name: "plain"},
		},
	}
}

// faultyGateway is a running gateway on loopback addresses.
type faultyGateway struct {
	*Gateway
	t        *testing.T
	log      *test.Hook
	platform *faultyPlatform
	// addresses holds the address of each port by its name in the settings.
	mu        sync.Mutex
	addresses map[string]string
	stop      context.CancelFunc
	ended     chan error
	requests  atomic.Int64
}

// Dial panics for the peer "faulty".
func (g *faultyGateway) Dial(ctx context.Context, address string) (net.Conn, error) {
	if address == "faulty" {
		g.platform.hit("dial")
	}
	g.mu.Lock()
	real, ok := g.addresses[address]
	g.mu.Unlock()
	if !ok {
		real = address
	}
	return dialer.TCP(ctx, real)
}

func (g *faultyGateway) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err == nil {
		g.mu.Lock()
		g.addresses[address] = l.Addr().String()
		g.mu.Unlock()
	}
	return l, err
}

func startFaultyGateway(t *testing.T) *faultyGateway {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	t.Cleanup(upstream.Close)
	address := upstream.Listener.Addr().String()
	platform := &faultyPlatform{
		faults: &faults{left: map[string]int{}}, revision: 4, changed: make(chan struct{}),
		upstreams: map[string]place.Upstream{
			"e1": {ID: "e1", Service: "model", Address: address, Domain: "d", Slots: 8},
			"p1": {ID: "p1", Service: "plain", Address: address, Domain: "d", Slots: 8},
		},
	}
	log, entries := test.NewNullLogger()
	g := &faultyGateway{t: t, log: entries, platform: platform, addresses: map[string]string{}, ended: make(chan error, 1)}
	g.Gateway = New(Options{
		Settings: params.Gateway{
			Name: "n1", FailureDomain: "d", Listen: "callers", ReadyListen: "ready", PeerListen: "peers", DirectoryListen: "directory",
			MetricsListen: "metrics", Advertise: "callers", PeerAdvertise: "peers", Seeds: []string{"faulty"}, Store: "store", MemoryLimit: 1024, MaxOpenFiles: 4096, ProcessorShare: 1,
			GracePeriod: 3 * time.Second, AddressLifetime: 100 * time.Millisecond, RetryRatio: 1, RetryAllowance: 100, RetryWindow: time.Minute,
		},
		Network: g, Adapter: platform.adapter, Log: log, DroppedLines: func() uint64 { return 0 },
	})
	g.mux.Handle("test.panic", wire.Typed(func(context.Context, string, struct{}) (struct{}, error) { panic("injected") }))
	ctx, stop := context.WithCancel(t.Context())
	g.stop = stop
	runs := group.New(t.Context())
	runs.Go("gateway", func(context.Context) error { g.ended <- g.Run(ctx); return nil })
	require.Eventually(t, func() bool { return g.get("callers", "/plain/") == http.StatusOK }, 3*time.Second, 5*time.Millisecond)
	return g
}

// get returns the status of an answer, or zero without one.
func (g *faultyGateway) get(port, path string) int {
	g.mu.Lock()
	address := g.addresses[port]
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.t.Context(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	require.NoError(g.t, err)
	r.Host = "h"
	r.Header.Set("Id", fmt.Sprint("r", g.requests.Add(1)))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// serves reports whether a request to each service gets the answer of its upstream.
func (g *faultyGateway) serves() bool {
	return g.get("callers", "/plain/") == http.StatusOK && g.get("callers", "/stream/") == http.StatusOK &&
		g.get("directory", "/") == http.StatusOK && g.get("ready", "/") == http.StatusOK
}

// Guards against an unexpected error in one loop or in one stage of one request that
// ends the service of all others.
func TestPanicIsContained(t *testing.T) {
	request := func(port, path string) func(*faultyGateway) {
		return func(g *faultyGateway) {
			status := g.get(port, path)
			require.NotEqual(g.t, http.StatusOK, status)
			require.NotEqual(g.t, http.StatusServiceUnavailable, status, "no false promise that the request was not run")
		}
	}
	change := func(g *faultyGateway) { g.platform.touch() }
	wait := func(*faultyGateway) {}
	stream := func(g *faultyGateway) { g.get("callers", "/stream/") }
	cases := map[string]func(*faultyGateway){
		"list": change, "watch": wait, "registration": change, "document": change, "quarantine": change, "dial": wait,
		"decode": request("callers", "/plain/"), "set headers": request("callers", "/plain/"), "verdict": request("callers", "/plain/"),
		"directory": request("directory", "/"), "ready": request("ready", "/"),
		"load": func(g *faultyGateway) {
			// Inspections go on while requests arrive and the load is unknown.
			pool := g.state.Pool(g.state.Cells("model")[0])
			pool.Report(place.Report{Node: "n1"})
			time.Sleep(600 * time.Millisecond)
			stream(g)
		},
		"publish": func(g *faultyGateway) {
			content := crash.Content{Whole: 7}
			for _, engine := range []string{"x", "y", "z"} {
				g.crashes.Report(crash.Report{Engine: engine, Content: content, Suspects: []crash.Part{7}})
			}
		},
		"peer call": func(g *faultyGateway) {
			ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
			defer cancel()
			require.Error(g.t, g.peerClient.Call(ctx, "peers", "test.panic", struct{}{}, nil))
		},
	}
	for name, trigger := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startFaultyGateway(t)
			g.platform.set(name, 1)
			trigger(g)
			if name != "peer call" {
				require.Eventually(t, func() bool { return g.platform.pending(name) == 0 }, 5*time.Second, 5*time.Millisecond, "not triggered")
			}
			for range 5 {
				require.True(t, g.serves())
			}
			if name != "quarantine" {
				require.True(t, slices.ContainsFunc(g.log.AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == "panic_contained" }))
			}
			g.stop()
			require.NoError(t, <-g.ended)
			require.True(t, strings.Contains(g.metricsText(), "verbenapier_panics_contained_total"))
		})
	}
}

// Guards against a process that neither serves nor exits when a part of it can't go on.
func TestGatewayEndsWhenAPartFails(t *testing.T) {
	cases := map[string]func(*faultyGateway){
		"loop panics all the time": func(g *faultyGateway) {
			g.platform.set("watch", 1000)
			g.platform.set("list", 1000)
			require.Eventually(g.t, func() bool { return g.platform.pending("watch") < 1000 }, 3*time.Second, time.Millisecond)
		},
		"part ends": func(g *faultyGateway) {
			g.group.Go("broken", func(context.Context) error { panic("injected") })
		},
		"part ends with locks held": func(g *faultyGateway) {
			g.group.Go("broken", func(context.Context) error {
				g.state.mu.Lock()
				// A call of a peer and a request of a caller wait for the lock.
				g.group.Go("peer call", func(context.Context) error { g.state.Table(); return nil })
				g.group.Go("request", func(context.Context) error { g.get("callers", "/plain/"); return nil })
				time.Sleep(50 * time.Millisecond)
				panic("injected")
			})
		},
	}
	for name, trigger := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startFaultyGateway(t)
			trigger(g)
			started := time.Now()
			select {
			case err := <-g.ended:
				require.ErrorContains(t, err, "injected")
				require.Less(t, time.Since(started), failTime)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the gateway neither serves nor ends")
			}
			require.Zero(t, g.get("callers", "/plain/"))
		})
	}
}

// Guards against a planned stop that is cut short by what ends a failed process.
func TestPlannedStopIsNotCutShort(t *testing.T) {
	g := startFaultyGateway(t)
	started := time.Now()
	g.stop()
	require.NoError(t, <-g.ended)
	require.GreaterOrEqual(t, time.Since(started), time.Duration(addressLifetimes*float64(100*time.Millisecond)))
}
