package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/retry"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// upstreamHead begins every answer of the upstreams in these tests.
const upstreamHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n"

// headerCodec reads and writes the headers of the tests.
type headerCodec struct{}

func (headerCodec) Decode(h http.Header) RequestMeta {
	return RequestMeta{ID: h.Get("Id"), Remaining: 20 * time.Second, PromptTokens: 100, OutputTokens: 10}
}

func (headerCodec) SetHeaders(h http.Header, o ForwardOptions) {
	h.Set("Remaining", o.Remaining.String())
}

func (headerCodec) ReadVerdict(resp *http.Response) ResponseVerdict {
	return ResponseVerdict{
		Signed: resp.Header.Get("Signature") != "", ID: resp.Header.Get("Id"),
		NotRun: resp.Header.Get("Not-Run") != "", Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// orderedPlacer grants the upstreams in their order, skipping those to avoid. A
// request for an upstream beyond the last one panics if panics is set.
type orderedPlacer struct {
	upstreams []place.Upstream
	panics    bool
	// expired names an upstream whose grants are no longer current.
	expired string
	// ended holds the upstreams that were reported to have ended.
	mu    sync.Mutex
	ended []string
	// outcomes holds the last outcome that was reported for each upstream.
	outcomes map[string]place.Outcome
	// placed counts the requests by the IDs under which they were placed.
	placed map[string]int
}

func (p *orderedPlacer) recordPlaced(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placed == nil {
		p.placed = map[string]int{}
	}
	p.placed[id]++
}

func (p *orderedPlacer) Current(g place.Grant) bool { return g.Upstream.ID != p.expired }

func (p *orderedPlacer) next(avoid []string) (place.Upstream, bool) {
	for _, u := range p.upstreams {
		if !slices.Contains(avoid, u.ID) {
			return u, true
		}
	}
	return place.Upstream{}, false
}

func (p *orderedPlacer) Acquire(_ context.Context, req place.Request) (place.Verdict, error) {
	p.recordPlaced(req.ID)
	u, ok := p.next(req.Avoid)
	switch {
	case ok:
		return place.Verdict{Grant: &place.Grant{ID: req.ID, Upstream: u, Expected: time.Millisecond}}, nil
	case p.panics:
		panic("no upstream left")
	}
	return place.Verdict{Refusal: &place.Refusal{Reason: "no upstream left"}}, nil
}

func (p *orderedPlacer) ReportFirstEvent(place.Grant)           {}
func (p *orderedPlacer) ReportLimit(place.Grant, float64, bool) {}
func (p *orderedPlacer) ReportNotice(place.Grant, place.Notice) {}

func (p *orderedPlacer) recordOutcome(upstream string, o place.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outcomes == nil {
		p.outcomes = map[string]place.Outcome{}
	}
	p.outcomes[upstream] = o
}

func (p *orderedPlacer) ReportEnded(g place.Grant, e place.EndedRequest, upstreamEnded bool) {
	p.recordOutcome(g.Upstream.ID, e.Outcome)
	p.mu.Lock()
	defer p.mu.Unlock()
	if upstreamEnded {
		p.ended = append(p.ended, g.Upstream.ID)
	}
}

func (p *orderedPlacer) AcquirePlain(_ context.Context, id, _ string, _ crash.Content, avoid []string, _ time.Duration) (place.Verdict, error) {
	p.recordPlaced(id)
	if u, ok := p.next(avoid); ok {
		return place.Verdict{Grant: &place.Grant{ID: id, Upstream: u}}, nil
	}
	return place.Verdict{Refusal: &place.Refusal{Reason: "no upstream left"}}, nil
}

func (p *orderedPlacer) ReleasePlain(g place.Grant, o place.Outcome, _ bool) {
	p.recordOutcome(g.Upstream.ID, o)
}

// fakeReserver answers that all upstreams run, except the one with the ID dead.
type fakeReserver struct{ dead atomic.Value }

func (*fakeReserver) Reserve(context.Context, place.Helper, int, time.Duration) error { return nil }
func (*fakeReserver) Release(context.Context, place.Helper) error                     { return nil }

func (r *fakeReserver) Alive(_ context.Context, u place.Upstream) error {
	if u.ID == r.dead.Load() {
		return errors.New("connection refused")
	}
	return nil
}

// Ended implements Witnesses.
func (r *fakeReserver) Ended(ctx context.Context, u place.Upstream) bool {
	return r.Alive(ctx, u) != nil
}

// gateway is a Server on a real socket with stand-ins for its upstreams.
type gateway struct {
	t      testing.TB
	group  *group.Group
	placer *orderedPlacer
	// engines says which upstreams run.
	engines *fakeReserver
	// listeners are those of the upstreams, by their IDs.
	listeners map[string]net.Listener
	// maxBody is the maximum size of a request's body in bytes, or 0 for the default.
	maxBody int64
	url     string
	// cut is set if this host does not reach the upstreams.
	cut atomic.Bool

	mu  sync.Mutex
	log bytes.Buffer
}

// newGateway starts a gateway with the routes /stream/ and /plain/, both of which
// may be repeated, and /stream-once/, /plain-once/ and, for all other paths, /, which
// may not. The host other has a route /a/ only.
func newGateway(t testing.TB) *gateway {
	g := &gateway{t: t, group: group.New(t.Context()), placer: &orderedPlacer{}, engines: &fakeReserver{}, listeners: map[string]net.Listener{}}
	config := route.Config{
		Routes: []route.Route{
			{Host: "h", Prefix: "/stream/", Stream: true, Resumable: true, Timeout: 20 * time.Second, Attempts: 3, GapGoal: 100 * time.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}}},
			{Host: "h", Prefix: "/stream-once/", Stream: true, Timeout: 20 * time.Second, Attempts: 3, GapGoal: 100 * time.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}}},
			{Host: "h", Prefix: "/plain-once/", Timeout: 20 * time.Second, Attempts: 3, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Host: "h", Prefix: "/", Timeout: 20 * time.Second, Attempts: 3, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Host: "other", Prefix: "/a/", Timeout: 20 * time.Second, Attempts: 3, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Host: "h", Prefix: "/plain/", Idempotent: true, Timeout: 20 * time.Second, Attempts: 3, Shares: []route.Share{{Service: "plain", Weight: 1}}},
		},
		Services: map[string]route.Service{"model": {Name: "model", Engine: &route.Engine{EventTokens: 1}}, "plain": {Name: "plain"}},
	}
	table := func() *route.Table {
		current := config
		current.MaxBodyBytes = g.maxBody
		return route.NewTable(&current)
	}
	log := logrus.New()
	log.SetOutput(g)
	server := New(Options{
		Drain: drain.New(log), Quota: newQuota(log),
		Codec: headerCodec{}, Placer: g.placer, Reserver: g.engines, Witnesses: g.engines, Group: g.group, Table: table,
		ConfigAge: func() time.Duration { return 0 }, CopyVersion: func() (uint64, uint64) { return 0, 0 }, UpstreamID: func(string) string { return "" },
		Budget: retry.New(1, 100, time.Minute, func() int { return 1 }),
		Dial:   dialer.TCP, Linked: func(context.Context, string) bool { return !g.cut.Load() }, Answers: quota.UpstreamAnswers(1 << 30), Random: rand.New(rand.NewPCG(1, 1)), Log: log,
	})
	s := httptest.NewServer(server)
	g.url = s.URL
	t.Cleanup(func() {
		s.Close()
		g.group.Stop()
		require.NoError(t, g.group.Wait())
	})
	return g
}

// newQuota returns the quota of a host.
func newQuota(log logrus.FieldLogger) *quota.Quota {
	return quota.New(quota.Options{Memory: 256 << 20, Files: 4096, Log: log, Metrics: tally.NoopScope})
}

// Write receives the log of the gateway.
func (g *gateway) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log.Write(p)
}

func (g *gateway) logged() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log.String()
}

// addUpstream adds an upstream that reads the header of a request and then calls
// answer with the connection.
func (g *gateway) addUpstream(id string, answer func(c net.Conn)) {
	g.addListener(id, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c)
		}
	})
}

// addListener adds an upstream that calls serve with each connection.
func (g *gateway) addListener(id string, serve func(c net.Conn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = l.Close() })
	g.listeners[id] = l
	g.placer.upstreams = append(g.placer.upstreams, place.Upstream{ID: id, Address: l.Addr().String()})
	g.group.Go("upstream", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener is closed at the end of the test
			}
			g.group.Go("upstream connection", func(context.Context) error {
				defer func() { _ = c.Close() }()
				serve(c)
				return nil
			})
		}
	})
}

// endUpstream makes an upstream accept no further connections and answer no checks.
func (g *gateway) endUpstream(id string) {
	g.engines.dead.Store(id)
	require.NoError(g.t, g.listeners[id].Close())
}

// get sends a request and returns the status and the body of the answer, and the
// error after which the body ended.
func (g *gateway) get(path string) (status int, body string, err error) {
	return g.send(http.MethodGet, path, "r1")
}

// send is get with a method and the ID of the request, which may be empty.
func (g *gateway) send(method, path, id string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, g.url+path, http.NoBody)
	require.NoError(g.t, err)
	req.Host = "h"
	if id != "" {
		req.Header.Set("Id", id)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
