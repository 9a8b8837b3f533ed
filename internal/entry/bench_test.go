package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/certs"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	process "github.com/verbenapier/verbenapier/internal/usage"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// benchPiece is the text of one token.
const benchPiece = "four"

// measureCPU runs the benchmark loop and reports the processor time per
// operation.
func measureCPU(b *testing.B, op func()) {
	user, system, _ := process.CPU()
	for b.Loop() {
		op()
	}
	userEnd, systemEnd, _ := process.CPU()
	b.ReportMetric(float64(userEnd-user)/float64(b.N), "user-ns/op")
	b.ReportMetric(float64(systemEnd-system)/float64(b.N), "sys-ns/op")
}

// clientEngines makes an engine.Client implement Engines.
type clientEngines struct{ *engine.Client }

func (c clientEngines) Start(ctx context.Context, address string, req engine.StartRequest) (Frames, error) {
	r, err := c.Client.Start(ctx, address, req)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (c clientEngines) Resume(ctx context.Context, address, id string, attempt, from int) (Frames, error) {
	r, err := c.Client.Resume(ctx, address, id, attempt, from)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// frameLines returns the encoded frames of a stream of the given number of
// tokens.
func frameLines(b *testing.B, tokens int) [][]byte {
	lines := make([][]byte, tokens)
	for i := range lines {
		f := engine.Frame{Attempt: 1, Seq: i, Text: benchPiece}
		if i == tokens-1 {
			f.Done, f.FinishReason, f.PromptTokens, f.CompletionTokens = true, finishLength, 1000, tokens
		}
		data, err := json.Marshal(f)
		require.NoError(b, err)
		lines[i] = append(data, '\n')
	}
	return lines
}

// memoryEngine answers every request with prepared frames, without a network.
type memoryEngine struct{ answer []byte }

func (e memoryEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(e.answer)),
	}, nil
}

// discardWriter is a response writer that discards the response.
type discardWriter struct {
	header http.Header
	status int
	bytes  int
}

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) WriteHeader(status int)           { w.status = status }
func (w *discardWriter) Write(p []byte) (int, error)      { w.bytes += len(p); return len(p), nil }
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetReadDeadline(time.Time) error  { return nil }
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// fixedCells grants every request on the same engine.
type fixedCells struct {
	address string
	next    atomic.Uint64
}

func (c *fixedCells) Known() bool { return true }

func (c *fixedCells) Rank(string, string) []string { return []string{"cell-a", "cell-b"} }
func (c *fixedCells) Acquire(_ context.Context, req sched.Request) (sched.Grant, error) {
	return sched.Grant{
		ID: fmt.Sprint("g", c.next.Add(1)), Cell: req.Cell, Engine: "e", Address: c.address, Lifetime: fakeDetachTimeout,
	}, nil
}
func (c *fixedCells) Renew(context.Context, sched.Renewal) error   { return nil }
func (c *fixedCells) Release(context.Context, sched.Release) error { return nil }

func benchServer(b *testing.B, transport http.RoundTripper, address string) *Server {
	f := newFakeFleet(1, 1, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(&logrus.JSONFormatter{})
	g := group.New(b.Context())
	s := New(Options{
		Name: "node", Incarnation: 1, FailureDomain: "near",
		Limits: Limits{
			MaxBody: 16 << 20, MaxRequests: 100_000,
			BodyTimeout: time.Minute, WriteTimeout: time.Minute,
		},
		Configuration: fixedConfig{testDocument()}, Cells: &fixedCells{address: address},
		Engines: clientEngines{engine.NewClient(transport, newAnswers())}, Witnesses: f, Quarantine: admitAll{f}, Content: nodeContent{crash.NewTracker()}, Admission: f,
		Claims: noClaims{}, Directory: f, Drain: drain.New(log), Quota: newQuota(log, 4<<30), Dial: dialer.TCP, Answers: newAnswers(), Group: g, Log: log, Metrics: tally.NoopScope,
	})
	b.Cleanup(func() {
		g.Stop()
		require.NoError(b, g.Wait())
	})
	return s
}

func benchBody(b *testing.B, size, tokens int) []byte {
	line := "Ask the harbour office for the berth \"north 4\" before noon.\n"
	prompt := strings.Repeat(line, size/len(line)+1)[:size]
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": true})
	require.NoError(b, err)
	return body
}

// BenchmarkRequest measures the handler of one streamed request, with the
// engine client but without sockets, for several prompt sizes in bytes and
// output lengths in tokens.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{4 << 10, 32 << 10, 256 << 10, 1 << 20, 4 << 20} {
		b.Run(fmt.Sprintf("prompt=%d", size), func(b *testing.B) { benchRequest(b, size, 1) })
	}
	for _, tokens := range []int{1, 64, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) { benchRequest(b, 4<<10, tokens) })
	}
}

func benchRequest(b *testing.B, size, tokens int) {
	s := benchServer(b, memoryEngine{bytes.Join(frameLines(b, tokens), nil)}, "engine:80")
	body := benchBody(b, size, tokens)
	b.ReportAllocs()
	answer := 0
	measureCPU(b, func() {
		r := httptest.NewRequestWithContext(b.Context(), http.MethodPost, "/v1/completions", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := &discardWriter{header: http.Header{}, status: http.StatusOK}
		s.ServeHTTP(w, r)
		if w.status != http.StatusOK {
			b.Fatalf("status %d", w.status)
		}
		answer = w.bytes
	})
	b.ReportMetric(float64(answer), "answer-B")
}

// BenchmarkLoopback measures one streamed request over loopback sockets. The
// caller and the engine run in this process, so the result is an upper bound
// of the cost at the entry node.
func BenchmarkLoopback(b *testing.B) {
	for _, size := range []int{4 << 10, 32 << 10, 256 << 10, 1 << 20, 4 << 20} {
		b.Run(fmt.Sprintf("prompt=%d", size), func(b *testing.B) { benchLoopback(b, size, 1) })
	}
	for _, tokens := range []int{1, 64, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) { benchLoopback(b, 4<<10, tokens) })
	}
}

func benchLoopback(b *testing.B, size, tokens int) {
	lines := frameLines(b, tokens)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		control := http.NewResponseController(w)
		for _, line := range lines {
			_, _ = w.Write(line)
			_ = control.Flush()
		}
	}))
	b.Cleanup(upstream.Close)
	s := benchServer(b, dialer.Transport(dialer.TCP, newAnswers()), upstream.Listener.Addr().String())
	front := httptest.NewServer(s)
	b.Cleanup(front.Close)
	client := front.Client()
	body := benchBody(b, size, tokens)
	measureCPU(b, func() {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, front.URL+"/v1/completions", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || n == 0 || resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %d bytes: %v", resp.StatusCode, n, err)
		}
	})
}

// blockedEngine blocks every stream before its first frame until unblock is
// closed, and then ends it.
type blockedEngine struct {
	waiting atomic.Int64
	unblock chan struct{}
}

func (e *blockedEngine) Start(context.Context, string, engine.StartRequest) (Frames, error) {
	e.waiting.Add(1)
	return blockedFrames{e}, nil
}

func (e *blockedEngine) Resume(context.Context, string, string, int, int) (Frames, error) {
	return blockedFrames{e}, nil
}
func (e *blockedEngine) Cancel(context.Context, string, string) error { return nil }

type blockedFrames struct{ engine *blockedEngine }

func (f blockedFrames) Next() (engine.Frame, error) {
	<-f.engine.unblock
	return engine.Frame{Attempt: 1, Text: benchPiece, Done: true, FinishReason: finishLength}, nil
}
func (f blockedFrames) Close() {}

// memoryInUse returns the size of live heap objects and stacks, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkInFlight measures the memory of requests that wait for their first
// token, with prompts of 4 KiB and without socket buffers.
func BenchmarkInFlight(b *testing.B) {
	for _, requests := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			body := benchBody(b, 4<<10, 1)
			var used int64
			for b.Loop() {
				s := benchServer(b, nil, "engine:80")
				e := &blockedEngine{unblock: make(chan struct{})}
				s.options.Engines = e
				before := memoryInUse()
				callers := group.New(b.Context())
				for range requests {
					callers.Go("request", func(ctx context.Context) error {
						r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", bytes.NewReader(body))
						r.Header.Set("Authorization", "Bearer "+testKey)
						s.ServeHTTP(&discardWriter{header: http.Header{}}, r)
						return nil
					})
				}
				for e.waiting.Load() < int64(requests) {
					time.Sleep(time.Millisecond)
				}
				used += int64(memoryInUse() - before)
				close(e.unblock)
				require.NoError(b, callers.Wait())
			}
			b.ReportMetric(float64(used)/float64(b.N)/float64(requests), "B/request")
		})
	}
}

// wireCells renews grants over the network at one peer.
type wireCells struct {
	fixedCells
	client  *wire.Client
	address string
}

func (c *wireCells) Renew(ctx context.Context, r sched.Renewal) error {
	var result struct{}
	return c.client.Call(ctx, c.address, "sched.renew", r, &result)
}

// newScheduler returns a scheduler with 64 engines, enough for all grants of
// the benchmarks.
func newScheduler(b *testing.B) *sched.Scheduler {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := sched.New(sched.Options{
		Cell: "drafting/north-jetty/0", RebuildWindow: -1, Log: log, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	infos := make([]sched.EngineInfo, 64)
	for i := range infos {
		infos[i] = sched.EngineInfo{Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprint("10.0.0.", i, ":80")}
	}
	s.SetEngines(infos)
	for _, i := range infos {
		s.Report(i.Name, i.Address, engine.LoadReport{CapacityTokens: 1 << 20, PrefillTokensPerSecond: 1e6})
	}
	return s
}

// schedulerPeer serves the messages of a scheduler over mutual TLS on a
// loopback socket. It returns a client and the address of the peer.
func schedulerPeer(b *testing.B, s *sched.Scheduler, bytes *atomic.Int64) (*wire.Client, string) {
	authority, err := certs.Authority("authority", 2*time.Hour)
	require.NoError(b, err)
	node, err := certs.Node(authority, "node", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour)
	require.NoError(b, err)
	pair, err := tls.X509KeyPair(node.Certificate, node.Key)
	require.NoError(b, err)
	pool := x509.NewCertPool()
	require.True(b, pool.AppendCertsFromPEM(authority.Certificate))
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "node",
	}
	mux := wire.NewMux()
	mux.Handle("sched.renew", wire.Typed(func(_ context.Context, _ string, r sched.Renewal) (struct{}, error) {
		unknown, err := s.Renew(r)
		if err == nil && len(unknown) > 0 {
			err = fmt.Errorf("%d grants are unknown", len(unknown))
		}
		return struct{}{}, err
	}))
	mux.Handle("sched.acquire", wire.Typed(func(ctx context.Context, _ string, r sched.Request) (sched.Grant, error) {
		return s.Acquire(ctx, r)
	}))
	mux.Handle("sched.release", wire.Typed(func(_ context.Context, _ string, r sched.Release) (struct{}, error) {
		s.Release(r)
		return struct{}{}, nil
	}))
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	g := group.New(b.Context())
	server := wire.NewServer(g, mux, config, log)
	g.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	b.Cleanup(func() {
		g.Stop()
		require.NoError(b, g.Wait())
	})
	dial := dialer.Secure(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.TCP(ctx, address)
		return dialer.CountedConn{Conn: conn, Bytes: bytes}, err
	}, config)
	return wire.NewClient(g, dial), listener.Addr().String()
}

// schedRequest returns the request of an entry node for a prompt of 8,000
// bytes.
func schedRequest(i int) sched.Request {
	return sched.Request{
		ID: fmt.Sprintf("entry-0001-18c5d3a7f0-%x", i), Attempt: 1, Cell: "drafting/north-jetty/0", Entry: "entry-0001",
		EntryIncarnation: 1764830000, Organisation: fmt.Sprintf("organisation-%05d", i%19_000), Weight: 1, Model: "model-large",
		PromptTokens: 2000, MaxTokens: 256, Prefixes: []string{"0123456789abcdef"},
		Fingerprint: fmt.Sprintf("%032x", i), Remaining: 30 * time.Second,
	}
}

// BenchmarkRenewal measures one renewal over mutual TLS for several numbers of
// grants. The client, the peer and its scheduler run in this process.
func BenchmarkRenewal(b *testing.B) {
	for _, held := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var bytes atomic.Int64
			s := newScheduler(b)
			client, address := schedulerPeer(b, s, &bytes)
			grants := newGrantSet("entry-0001", 1764830000)
			for i := range held {
				req := schedRequest(i)
				g, err := s.Acquire(b.Context(), req)
				require.NoError(b, err)
				grants.add(g.Cell, sched.HeldGrant{
					ID: g.ID, RequestID: req.ID, Engine: g.Engine, Organisation: req.Organisation,
					Fingerprint: req.Fingerprint, Tokens: 2256, Attempt: 1, Shares: g.Shares,
				})
			}
			c := &wireCells{client: client, address: address}
			log := logrus.New()
			warnings := &warningHook{}
			log.SetOutput(io.Discard)
			log.AddHook(warnings)
			renew := func() { require.NoError(b, grants.renew(b.Context(), c, log)) }
			renew()
			start := bytes.Load()
			measureCPU(b, renew)
			b.ReportMetric(float64(bytes.Load()-start)/float64(b.N), "socket-B/op")
			require.Zero(b, warnings.count.Load())
		})
	}
}

// warningHook counts warnings and errors in the log.
type warningHook struct{ count atomic.Int64 }

func (h *warningHook) Levels() []logrus.Level {
	return []logrus.Level{logrus.WarnLevel, logrus.ErrorLevel}
}

func (h *warningHook) Fire(*logrus.Entry) error {
	h.count.Add(1)
	return nil
}

// BenchmarkGrant measures one acquire and one release over mutual TLS. The
// client, the peer and its scheduler run in this process.
func BenchmarkGrant(b *testing.B) {
	var bytes atomic.Int64
	client, address := schedulerPeer(b, newScheduler(b), &bytes)
	i := 0
	grant := func() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		defer cancel()
		var g sched.Grant
		if err := client.Call(ctx, address, "sched.acquire", schedRequest(i), &g); err != nil {
			b.Fatal(err)
		}
		var result struct{}
		r := sched.Release{
			Cell: g.Cell, ID: g.ID, PromptTokens: 2000, CachedTokens: 1024, CompletionTokens: 214, FirstToken: 450 * time.Millisecond,
		}
		if err := client.Call(ctx, address, "sched.release", r, &result); err != nil {
			b.Fatal(err)
		}
		i++
	}
	grant()
	start := bytes.Load()
	measureCPU(b, grant)
	b.ReportMetric(float64(bytes.Load()-start)/float64(b.N), "socket-B/op")
}

// BenchmarkKeyTable measures the key index, which is rebuilt for each revision
// of the configuration.
func BenchmarkKeyTable(b *testing.B) {
	for _, organisations := range []int{2375, 4750, 9500, 19_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			doc := &confd.Document{Organisations: map[string]confd.Organisation{}}
			for i := range organisations {
				doc.Organisations[fmt.Sprintf("organisation-%05d", i)] = confd.Organisation{
					Keys: []string{confd.KeyHash(fmt.Sprint("a", i)), confd.KeyHash(fmt.Sprint("b", i))},
				}
			}
			b.ReportAllocs()
			measureCPU(b, func() {
				if len(newKeyTable(doc, 1).organisations) != 2*organisations {
					b.Fatal("the table lacks keys")
				}
			})
		})
	}
}
