package system

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
	standin "github.com/verbenapier/verbenapier/emul/internal/engine"
	"github.com/verbenapier/verbenapier/emul/internal/fault"
	"github.com/verbenapier/verbenapier/emul/internal/load"
	"github.com/verbenapier/verbenapier/emul/internal/plain"
	"github.com/verbenapier/verbenapier/emul/internal/plat"
	"github.com/verbenapier/verbenapier/internal/certs"
	"github.com/verbenapier/verbenapier/internal/daemon"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	shopKey      = "key-of-a-shop"
	platformHost = "platform"
	callerHost   = "caller"
	operatorHost = "operator"
	platformAddr = "10.0.0.1:80"
	// crashMarker is the text that crashes an engine when a prompt contains it.
	crashMarker = "CRASH-THE-ENGINE"
	nodeCount   = 3
	// engineCount is the default number of engines.
	engineCount = 6
	// deskCount is the number of plain upstreams, of the service order-desk.
	deskCount = 2
	// capacity is the default memory of an engine in tokens.
	capacity = 120_000
)

// operatorTimeout is the time limit of a request to the admin interface.
const operatorTimeout = 10 * time.Second

var domains = []string{"sofia-a", "sofia-b", "sofia-c"}

// options configure a deployment. Zero fields have defaults.
type options struct {
	engines int
	// capacity is the memory of each engine in tokens.
	capacity int
	// chunk is the maximum number of prompt tokens that an engine prefills in a
	// step.
	chunk int
	// engineDomains are the failure domains to which the engines are assigned
	// in rotation. The engines of a failure domain form a cell.
	engineDomains []string
	document      string
	// wrapEngine wraps the HTTP handler of each engine.
	wrapEngine func(http.Handler) http.Handler
	// logOutput receives the log of the daemons at debug level.
	logOutput io.Writer
}

func (o options) withDefaults() options {
	o.engines, o.capacity = cmp.Or(o.engines, engineCount), cmp.Or(o.capacity, capacity)
	o.chunk = cmp.Or(o.chunk, 1024)
	o.document = cmp.Or(o.document, document)
	if o.engineDomains == nil {
		o.engineDomains = domains
	}
	if o.wrapEngine == nil {
		o.wrapEngine = func(next http.Handler) http.Handler { return next }
	}
	return o
}

// deployment is a platform, engines, plain upstreams (the desks) and daemons (the
// nodes) on one in-memory network.
type deployment struct {
	options   options
	t         *testing.T
	net       *netem.Fabric
	group     *group.Group
	log       *logrus.Logger
	nodeLog   *logrus.Logger
	authority certs.Pair
	operator  *tls.Config
	platform  *fault.Switch
	desks     [deskCount]*fault.Switch
	engines   map[string]*engineProcess
	nodes     map[string]*nodeProcess

	mu sync.Mutex
	// startRequests counts the requests to start a stream that reached engines.
	startRequests int
	// startedOn holds, for each prompt, the engines that started it.
	startedOn map[string][]string
	// For each prompt, sent counts the requests and reportedNotRun the answers
	// that reported it as not run.
	sent, reportedNotRun map[string]int
	// crashes is the number of times that a prompt with crashMarker crashed an
	// engine.
	crashes            int
	platformFaulty     bool
	platformRepairedAt time.Time
	// faultyUntil holds, for each node, the time at which its last fault ended, or
	// a time in the future while the node is faulty.
	faultyUntil map[string]time.Time
}

type engineProcess struct {
	model *batch.Engine
	sw    *fault.Switch
	stop  context.CancelFunc
	// killed is set by killEngine.
	killed bool
}

type nodeProcess struct {
	stop context.CancelFunc
	// ended holds the error of the process, which may be nil, once it has ended.
	ended chan error
}

// awaitEnd waits until the process has ended and requires that it ended without an
// error. It may be called several times.
func (n *nodeProcess) awaitEnd(t *testing.T) {
	err := <-n.ended
	n.ended <- err
	require.NoError(t, err)
}

// lastEnd is the virtual time at which the last deployment ended. Each deployment
// starts after it. The virtual clock starts again for each test, but the timestamps
// of the uuid library never decrease within a process. Without the wait, a test's
// idempotency keys would have timestamps that lie in its future.
var lastEnd time.Time

// deploy starts a deployment with the default options and waits until its
// configuration is in force.
func deploy(t *testing.T) *deployment {
	t.Helper()
	return deployWith(t, options{})
}

// deployWith does the same as deploy, with options.
func deployWith(t *testing.T, o options) *deployment {
	t.Helper()
	time.Sleep(time.Until(lastEnd))
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	if testing.Verbose() && *trace {
		log.SetLevel(logrus.InfoLevel)
	}
	nodeLog := log
	if o.logOutput != nil {
		nodeLog = logrus.New()
		nodeLog.SetLevel(logrus.DebugLevel)
		nodeLog.SetOutput(o.logOutput)
	}
	authority, err := certs.Authority("ca", 24*time.Hour)
	require.NoError(t, err)
	d := &deployment{
		options: o.withDefaults(), t: t, net: netem.NewFabric(time.Millisecond), group: group.New(context.Background()),
		log: log, nodeLog: nodeLog, authority: authority,
		engines: map[string]*engineProcess{}, nodes: map[string]*nodeProcess{},
		startedOn: map[string][]string{}, sent: map[string]int{}, reportedNotRun: map[string]int{},
		faultyUntil: map[string]time.Time{},
	}
	d.startPlatform()
	for i := range d.options.engines {
		d.startEngine(i)
	}
	for i := range deskCount {
		d.startDesk(i)
	}
	for i := range nodeCount {
		d.startNode(i)
	}
	time.Sleep(3 * time.Second)
	d.applyDocument(0)
	time.Sleep(5 * time.Second)
	return d
}

// close stops all processes, waits until they have ended and checks that none of
// them failed.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.stop()
	}
	for _, n := range d.nodes {
		n.awaitEnd(d.t)
	}
	for _, e := range d.engines {
		e.stop()
	}
	lastEnd = time.Now()
	d.group.Stop()
	d.net.Close()
	require.NoError(d.t, d.group.Wait())
	// net/http opens connections in the background, also for requests that have
	// ended. These attempts end with their timeout.
	time.Sleep(2 * time.Second)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }
func engineAddr(i int) string { return fmt.Sprintf("10.0.1.%d:80", i+1) }
func deskName(i int) string   { return fmt.Sprintf("desk-%d", i) }
func deskAddr(i int) string   { return fmt.Sprintf("10.0.2.%d:80", i+1) }
func nodeName(i int) string   { return fmt.Sprintf("node-%d", i) }

// nodeAddr returns an address of a node. Its port is 80 for callers, 81 for other
// nodes and 82 for operators.
func nodeAddr(i, port int) string {
	return fmt.Sprintf("10.0.3.%d:%d", i+1, port)
}

func (d *deployment) startPlatform() {
	hosts := make([]plat.Host, 0, d.options.engines+deskCount+nodeCount)
	for i := range d.options.engines {
		hosts = append(hosts, plat.Host{
			Name: engineName(i), Role: "engine", Service: "drafting", Address: engineAddr(i),
			FailureDomain: d.options.engineDomains[i%len(d.options.engineDomains)], State: "live",
		})
	}
	for i := range deskCount {
		hosts = append(hosts, plat.Host{
			Name: deskName(i), Role: "plain", Service: "order-desk", Address: deskAddr(i),
			FailureDomain: domains[i%len(domains)], State: "live",
		})
	}
	for i := range nodeCount {
		hosts = append(hosts, plat.Host{
			Name: nodeName(i), Role: "entry", Address: nodeAddr(i, 80), PeerAddress: nodeAddr(i, 81),
			FailureDomain: domains[i%len(domains)], State: "live",
		})
	}
	server := plat.New(d.log, plat.Config{Hosts: hosts, HostDelay: 2 * time.Second, ReadRate: 2000, WriteRate: 400})
	d.platform = fault.NewSwitch(d.log, 1, func() {})
	d.serve(d.group.Context(), platformHost, platformAddr, server, d.platform)
}

// serve runs an HTTP server of a stand-in until the context ends.
func (d *deployment) serve(ctx context.Context, name, address string, handler http.Handler, sw *fault.Switch) {
	listener, err := d.net.Host(name).Listen(ctx, address)
	require.NoError(d.t, err)
	server := &http.Server{Handler: d.countStartRequests(sw.Wrap(handler)), ConnContext: sw.ConnContext, ReadHeaderTimeout: time.Minute}
	d.group.Go(name, func(context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(listener)
		return nil
	})
}

func (d *deployment) startEngine(i int) {
	name := engineName(i)
	ctx, cancel := context.WithCancel(d.group.Context())
	crash := func() {
		d.mu.Lock()
		d.crashes++
		d.mu.Unlock()
		cancel()
		d.net.Kill(name)
	}
	sw := fault.NewSwitch(d.log, uint64(i), crash)
	model := batch.New(batch.Config{
		Name: name, CapacityTokens: d.options.capacity, PrefillRate: 40_000, PrefillKnee: 400_000, ChunkTokens: d.options.chunk,
		MaxBatch: 64, StepBase: 20 * time.Millisecond, StepPerStream: 300 * time.Microsecond,
		StepPerContext: 50 * time.Microsecond, TimeScale: 1, LoadInterval: 500 * time.Millisecond,
		EventDelay: time.Second, EventLossShare: 0.02, Seed: uint64(i), Role: "mixed", CrashMarker: crashMarker, Crash: crash,
		Models:  []batch.Model{{Name: "draft", Version: "1"}},
		Peers:   standin.NewPeers(&http.Client{Transport: &http.Transport{DialContext: d.net.Host(name).DialContext}}),
		Control: sw, LoadTime: time.Second,
	})
	d.engines[name] = &engineProcess{model: model, sw: sw, stop: cancel}
	d.group.Go(name, func(context.Context) error {
		model.Run(ctx)
		return nil
	})
	d.net.Revive(name)
	d.serve(ctx, name, engineAddr(i), d.recordStarted(name, d.options.wrapEngine(standin.New(d.log, model))), sw)
}

// countStartRequests counts the requests to start a stream that reach a stand-in,
// including those that it does not execute because of an injected fault.
func (d *deployment) countStartRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/streams" {
			d.mu.Lock()
			d.startRequests++
			d.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// recordStarted records in startedOn the prompts that an engine starts.
func (d *deployment) recordStarted(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/v1/streams" {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(&acceptWriter{ResponseWriter: w, accepted: func() {
			var start struct{ Prompt string }
			_ = json.Unmarshal(body, &start)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.startedOn[start.Prompt] = append(d.startedOn[start.Prompt], name)
		}}, r)
	})
}

// acceptWriter calls accepted when the handler answers with status 200.
type acceptWriter struct {
	http.ResponseWriter
	accepted func()
}

func (w *acceptWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.accepted()
	}
	w.ResponseWriter.WriteHeader(status)
}
func (w *acceptWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// killEngine ends the process of an engine. Its streams are lost.
func (d *deployment) killEngine(i int) {
	d.net.Kill(engineName(i))
	d.engines[engineName(i)].stop()
	d.engines[engineName(i)].killed = true
}

func (d *deployment) startDesk(i int) {
	sw := fault.NewSwitch(d.log, uint64(i), func() {})
	d.desks[i] = sw
	server := plain.New(d.log, plain.Config{
		Name: deskName(i), Status: http.StatusOK, Latency: 5 * time.Millisecond, Capacity: 64,
		LoadInterval: time.Second, Seed: uint64(i), Slow: sw.Slow,
	})
	d.serve(d.group.Context(), deskName(i), deskAddr(i), server, sw)
}

func (d *deployment) startNode(i int) {
	name := nodeName(i)
	pair, err := certs.Node(d.authority, name, []net.IP{net.IPv4(10, 0, 3, byte(i+1))}, time.Hour)
	require.NoError(d.t, err)
	settings, err := params.Load(name, fmt.Appendf(nil, `{
		"name": %q, "failure_domain": %q, "platform": ["http://%s"],
		"listen": %q, "peer_listen": %q, "admin_listen": %q, "drain_timeout": "2m",
		"tls": {"ca": %q, "certificate": %q, "key": %q},
	}`, name, domains[i%len(domains)], platformAddr, nodeAddr(i, 80), nodeAddr(i, 81), nodeAddr(i, 82),
		d.authority.Certificate, pair.Certificate, pair.Key))
	require.NoError(d.t, err)
	d.net.Revive(name)
	process, err := daemon.New(settings, d.net.Host(name), d.nodeLog)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &nodeProcess{stop: cancel, ended: make(chan error, 1)}
	d.mu.Lock()
	d.nodes[name] = n
	d.mu.Unlock()
	d.markHealthy(i)
	d.group.Go(name, func(context.Context) error {
		n.ended <- process.Run(ctx)
		return nil
	})
}

// process returns the current process of a node.
func (d *deployment) process(i int) *nodeProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[nodeName(i)]
}

// markFaulty and markHealthy record the beginning and the end of a fault of a
// node. The time that markFaulty records is after the end of any test.
func (d *deployment) markFaulty(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faultyUntil[nodeName(i)] = time.Now().Add(24 * time.Hour)
}

func (d *deployment) markHealthy(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faultyUntil[nodeName(i)] = time.Now()
}

// healthyFor reports whether a node had no fault during the last period.
func (d *deployment) healthyFor(i int, period time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.faultyUntil[nodeName(i)]) >= period
}

// killNode emulates the sudden end of a daemon's process. The daemon runs in the
// test process and cannot be killed. It is therefore stopped after it has been
// disconnected from the network.
func (d *deployment) killNode(i int) {
	d.markFaulty(i)
	d.net.Kill(nodeName(i))
	d.nodes[nodeName(i)].stop()
	d.nodes[nodeName(i)].awaitEnd(d.t)
}

// leaveNode stops a daemon gracefully and waits until it has ended.
func (d *deployment) leaveNode(i int) {
	d.markFaulty(i)
	d.nodes[nodeName(i)].stop()
	d.nodes[nodeName(i)].awaitEnd(d.t)
}

// applyDocument writes the configuration document through the admin interface.
func (d *deployment) applyDocument(base int) {
	status, body := d.adminRequest(0, http.MethodPut, fmt.Sprintf("config?base=%d", base), d.options.document)
	require.Equal(d.t, http.StatusOK, status, body)
}

// adminRequest sends a request to the admin interface of a node and returns the
// status and the body of the answer. Without an answer the status is 0 and the
// body is the text of the error.
func (d *deployment) adminRequest(node int, method, path, body string) (int, string) {
	if d.operator == nil {
		pair, err := certs.Operator(d.authority, "operator", 12*time.Hour)
		require.NoError(d.t, err)
		cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
		require.NoError(d.t, err)
		d.operator = &tls.Config{Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true}
	}
	transport := &http.Transport{DialContext: d.net.Host(operatorHost).DialContext, TLSClientConfig: d.operator}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	target := fmt.Sprintf("https://%s/admin/v1/%s", nodeAddr(node, 82), path)
	req, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	require.NoError(d.t, err)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

var document = fmt.Sprintf(`{
	"services": {
		"drafting": {
			"kind": "engine", "models": ["draft"], "time_limit": "30s", "max_time_limit": "2m",
			"short_prompt_tokens": 2048, "weights": {"time_to_first_token": 1, "head_of_line_blocking": 3},
			"quarantine_time": "10m",
		},
		"order-desk": {
			"kind": "plain", "time_limit": "10s", "max_time_limit": "1m", "idempotency_window": "1h",
			"routes": [{"method": "POST", "path": "/orders", "idempotent": false}, {"method": "POST", "path": "/look", "idempotent": true}],
		},
	},
	"models": {"draft": {"version": "1"}},
	"organisations": {"shop": {"keys": [%q], "weight": 1}},
}`, confd.KeyHash(shopKey))

// runLoad sends requests for the given duration and checks every answer.
func (d *deployment) runLoad(ctx context.Context, duration time.Duration, rate float64) load.Report {
	mix, err := load.ParseMix("1k:80,8k:15,64k:5")
	require.NoError(d.t, err)
	addresses := make([]string, nodeCount)
	for i := range addresses {
		addresses[i] = nodeAddr(i, 80)
	}
	transport := &http.Transport{
		DialContext: d.net.Host(callerHost).DialContext, MaxIdleConnsPerHost: 256,
		// Callers close a silent connection after this time, as any HTTP client
		// with a timeout for the response header does.
		ResponseHeaderTimeout: 40 * time.Second,
	}
	defer transport.CloseIdleConnections()
	runner, err := load.New(d.log, load.Config{
		Addresses: addresses, Keys: []string{shopKey}, Model: "draft", Rate: rate, Duration: duration, Mix: mix, Seed: 1,
		MaxTokens: 24, Timeout: 30 * time.Second, Grace: 5 * time.Second, Attempts: 5, PrefixShare: 0.5,
		LongTokens: 64_000, ShortTokens: 4_000, PlainShare: 0.2, PlainPath: "/services/order-desk/orders",
		PlainMethod: http.MethodPost, ResendShare: 0.2, Upstreams: []string{deskAddr(0), deskAddr(1)},
		Transport: &responseObserver{d, transport},
	})
	require.NoError(d.t, err)
	return runner.Run(ctx)
}

// responseObserver counts, for each prompt, the requests of the callers and the
// answers that reported it as not run.
type responseObserver struct {
	d    *deployment
	next http.RoundTripper
}

func (o *responseObserver) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/v1/completions" {
		return o.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var sent struct{ Prompt string }
	_ = json.Unmarshal(body, &sent)
	r = r.Clone(r.Context())
	r.Body, r.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	o.d.mu.Lock()
	o.d.sent[sent.Prompt]++
	o.d.mu.Unlock()
	resp, err := o.next.RoundTrip(r)
	if err == nil && resp.Header.Get("X-Verbenapier-Run") == "no" {
		o.d.mu.Lock()
		o.d.reportedNotRun[sent.Prompt]++
		o.d.mu.Unlock()
	}
	return resp, err
}

// falselyNotRun returns the number of prompts that an engine started although every
// request with the prompt was answered as not run.
func (d *deployment) falselyNotRun() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for prompt, notRun := range d.reportedNotRun {
		if notRun == d.sent[prompt] && len(d.startedOn[prompt]) > 0 {
			n++
		}
	}
	return n
}

// usedTokens returns the sum of the memory in use on all engines that were not
// killed, in tokens.
func (d *deployment) usedTokens() int {
	total := 0
	for _, e := range d.engines {
		if !e.killed {
			total += e.model.Load().UsedTokens
		}
	}
	return total
}

// sendOne sends one prompt to a node and returns the error code, or "ok" if there
// is none.
func (d *deployment) sendOne(node int, prompt string) string {
	transport := &http.Transport{DialContext: d.net.Host(callerHost).DialContext}
	defer transport.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":4}`, prompt)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+nodeAddr(node, 80)+"/v1/completions", strings.NewReader(body))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+shopKey)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	require.NoError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer struct{ Error struct{ Code string } }
	require.NoError(d.t, json.NewDecoder(resp.Body).Decode(&answer))
	if answer.Error.Code == "" {
		return "ok"
	}
	return answer.Error.Code
}

// wait sleeps for d or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
