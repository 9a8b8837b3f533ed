package system

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
	standin "github.com/verbenapier/verbenapier/emul/internal/engine"
	"github.com/verbenapier/verbenapier/emul/internal/fault"
	"github.com/verbenapier/verbenapier/emul/internal/plat"
	"github.com/verbenapier/verbenapier/internal/crowd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// The machine of the crowds' tests. Its memory holds fewer bodies of legal size than
// there are clients, and its descriptors fewer connections.
const (
	crowdClients  = 160
	crowdBody     = 1 << 20
	crowdMemory   = 96
	crowdFiles    = 400
	reservedFiles = 200
	// largerMemory holds more of the bodies that grow when they are decoded.
	largerMemory = 256
	// crowdHead is a header within the limit.
	crowdHead = 30 << 10
	// crowdConnections is the number of clients where the descriptors are few.
	crowdConnections = 450
	// crowdAnswer is the size of the answers of the plain service to crowds, in bytes.
	crowdAnswer = 8<<20 - 1
	// patience is how long an ordinary caller goes on trying; a process that takes
	// longer hangs.
	patience = time.Minute
	// pollInterval is the time between two requests of an ordinary caller.
	pollInterval = 20 * time.Millisecond
	// The ports lie below the range from which the kernel assigns ports to outgoing
	// connections.
	lowestPort, portRange = 15_000, 15_000
)

// loopback is a daemon in a process of its own, and its platform, an engine and a plain
// upstream in the process of the test, all on loopback.
type loopback struct {
	t       *testing.T
	group   *group.Group
	process *crowd.Process
	logPath string
	// callers and operators are the addresses of the daemon's ports.
	callers, operators string
	client             *http.Client
	// endless is what the faulty engines answer to some requests, and platformEndless what
	// the platform answers to all.
	endless, platformEndless crowd.Switch
}

// freeAddresses returns n addresses on which nobody listens.
func freeAddresses(t *testing.T, n int) []string {
	var listeners []net.Listener
	for len(listeners) < n {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portRange)))
		if err == nil {
			listeners = append(listeners, l)
		}
	}
	addresses := make([]string, n)
	for i, l := range listeners {
		addresses[i] = l.Addr().String()
		require.NoError(t, l.Close())
	}
	return addresses
}

// serve serves a stand-in and returns its address.
func (d *loopback) serve(handler http.Handler) string {
	l, err := (&net.ListenConfig{}).Listen(d.t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.group.Go("stand-in", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(l)
		return nil
	})
	return l.Addr().String()
}

// startLoopback starts a daemon on a machine with the given memory in MiB and number of
// descriptors, 0 for those of the system, and with faulty engines beside the sound one, and
// waits until it serves.
func startLoopback(t *testing.T, binary string, memory, files, faulty int) *loopback {
	ports := freeAddresses(t, 3)
	peers := ports[2]
	d := &loopback{
		t: t, group: group.New(context.Background()), logPath: filepath.Join(t.TempDir(), "log"),
		callers: ports[0], operators: ports[1],
		// An ordinary caller that is new has no connection yet.
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	sw := fault.NewSwitch(log, 1, func() {})
	model := batch.New(batch.Config{
		Name: "engine", CapacityTokens: 2_000_000, PrefillRate: 4_000_000, PrefillKnee: 4_000_000, ChunkTokens: 100_000,
		MaxBatch: 64, StepBase: time.Millisecond, TimeScale: 1, LoadInterval: 500 * time.Millisecond, EventDelay: time.Second,
		Role: "mixed", Crash: func() {}, Models: []batch.Model{{Name: "draft", Version: "1"}},
		Peers: standin.NewPeers(http.DefaultClient), Control: sw, LoadTime: time.Second,
	})
	d.group.Go("engine", func(ctx context.Context) error {
		model.Run(ctx)
		return nil
	})
	engine := standin.New(log, model)
	hosts := []plat.Host{
		{Name: "engine", Role: "engine", Service: "drafting", Address: d.serve(engine), FailureDomain: "d", State: "live"},
		{Name: "desk", Role: "plain", Service: "order-desk", Address: d.serve(d.endless.Wrap(http.HandlerFunc(answerCrowd), "/orders")), FailureDomain: "d", State: "live"},
		{Name: "node", Role: "entry", Address: d.callers, PeerAddress: peers, FailureDomain: "d", State: "live"},
	}
	for i := range faulty {
		hosts = append(hosts, plat.Host{
			Name: fmt.Sprintf("faulty-%d", i), Role: "engine", Service: "drafting", Address: d.serve(d.endless.Wrap(engine, faultyPaths[i%len(faultyPaths)])), FailureDomain: "d", State: "live",
		})
	}
	platform := d.serve(d.platformEndless.Wrap(plat.New(log, plat.Config{Hosts: hosts}), "/"))
	settings := fmt.Sprintf(`{
		"name": "node", "failure_domain": "d", "platform": ["http://%s"], "insecure": true, "max_body_bytes": %d, "memory_limit_mib": %d,
		"listen": %q, "peer_listen": %q, "admin_listen": %q,
	}`, platform, crowdBody, memory, d.callers, peers, d.operators)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	output, err := os.Create(d.logPath)
	require.NoError(t, err)
	t.Cleanup(func() { _ = output.Close() })
	d.process, err = crowd.Start(context.Background(), output, files, binary, "--settings", path)
	require.NoError(t, err)
	d.await("the document is not applied", func() bool {
		status, _ := d.send(http.MethodPut, d.operators, "/admin/v1/config?base=0", document)
		return status == http.StatusOK
	})
	d.awaitAnswer()
	d.awaitCompletion()
	return d
}

func (d *loopback) close() {
	require.NoError(d.t, d.process.Stop())
	d.client.CloseIdleConnections()
	d.group.Stop()
	require.NoError(d.t, d.group.Wait())
}

// answerCrowd answers orders at length, and other requests with their body.
func answerCrowd(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/orders" {
		_, _ = w.Write(make([]byte, crowdAnswer))
		return
	}
	_, _ = io.Copy(w, r.Body)
}

// send sends a request and returns the status and the body of the answer. The status is
// 0 without a whole answer.
func (d *loopback) send(method, address, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+shopKey)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}

// await waits until a condition holds. It fails if the process ends.
func (d *loopback) await(failure string, condition func() bool) {
	for end := time.Now().Add(patience); !condition(); {
		select {
		case <-d.process.Exited():
			log, _ := os.ReadFile(d.logPath)
			require.FailNow(d.t, "the process ended", string(log))
		case <-time.After(pollInterval):
		}
		require.True(d.t, time.Now().Before(end), failure)
	}
}

// awaitAnswer sends an ordinary call until it is served.
func (d *loopback) awaitAnswer() {
	d.await("an ordinary call is not answered", func() bool {
		status, body := d.send(http.MethodPost, d.callers, "/services/order-desk/look", "a berth")
		return status == http.StatusOK && body == "a berth"
	})
}

// awaitCompletion sends an ordinary prompt until it is served.
func (d *loopback) awaitCompletion() {
	d.await("an ordinary prompt is not answered", func() bool {
		status, _ := d.send(http.MethodPost, d.callers, "/v1/completions", `{"model":"draft","prompt":"a berth","max_tokens":2}`)
		return status == http.StatusOK
	})
}

// crowdRequest returns a request of legal size whose body begins and ends as given, and is
// filled in between.
func crowdRequest(path, begin, fill, end string) crowd.Request {
	body := begin + strings.Repeat(fill, (crowdBody-len(begin)-len(end))/len(fill))
	body += strings.Repeat(" ", crowdBody-len(body)-len(end)) + end
	return crowd.Request{Head: fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n", path, shopKey), Body: []byte(body)}
}

// crowdRequests returns requests of legal size, the last of which takes many times its
// size to decode.
func crowdRequests() []crowd.Request {
	return []crowd.Request{
		crowdRequest("/services/order-desk/look", "", "x", ""),
		crowdRequest("/v1/completions", `{"model":"draft","max_tokens":2,"prompt":"`, "x", `"}`),
		crowdRequest("/v1/chat/completions", `{"model":"draft","messages":[`, "{},", `{}]}`),
	}
}

// shapedRequests returns, by name, requests of legal size whose decoding may take many
// times their size.
func shapedRequests() map[string]crowd.Request {
	return map[string]crowd.Request{
		"long prompts":    crowdRequest("/v1/completions", `{"model":"draft","max_tokens":2,"prompt":"`, "x", `"}`),
		"escaped prompts": crowdRequest("/v1/completions", `{"model":"draft","max_tokens":2,"prompt":"`, "<", `"}`),
		"many prompts":    crowdRequest("/v1/completions", `{"model":"draft","prompt":[`, `"",`, `""]}`),
		"empty messages":  crowdRequest("/v1/chat/completions", `{"model":"draft","messages":[`, "{},", `{}]}`),
		"short messages":  crowdRequest("/v1/chat/completions", `{"model":"draft","max_tokens":2,"messages":[`, `{"role":"u","content":""},`, `{"role":"u","content":""}]}`),
		"many parts":      crowdRequest("/v1/chat/completions", `{"model":"draft","messages":[{"role":"u","content":[`, "{},", `{}]}]}`),
	}
}

// orderRequests returns n calls of the plain service that may run once.
func orderRequests(n int) []crowd.Request {
	var orders []crowd.Request
	for range n {
		head := fmt.Sprintf("POST /services/order-desk/orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\n", shopKey, uuid.Must(uuid.NewV7()))
		orders = append(orders, crowd.Request{Head: head, Body: []byte("x")})
	}
	return orders
}

// buildDaemon builds the daemon and returns the path of its program.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "verbenapierd")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/verbenapier/verbenapier/cmd/verbenapierd")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// Guards against limits that an ordinary caller meets: the largest body and a large answer
// on the machine of the crowds, at the first attempt.
func TestLargeRequestsInCalm(t *testing.T) {
	d := startLoopback(t, buildDaemon(t), crowdMemory, crowdFiles, 0)
	defer d.close()
	for name, r := range shapedRequests() {
		if strings.HasSuffix(name, "prompts") && name != "many prompts" {
			status, body := d.send(http.MethodPost, d.callers, "/v1/completions", string(r.Body))
			require.Equal(t, http.StatusOK, status, "%s: %s", name, body)
		}
	}
	long := strings.Repeat("x", crowdBody)
	status, body := d.send(http.MethodPost, d.callers, "/services/order-desk/look", long)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, len(long), len(body))
}

// Guards against clients that do not behave and fill the memory or the descriptors of
// the machine: on the port that clients reach the daemon lives on, stays within both,
// and answers ordinary requests while they stay and after they have left.
func TestCrowd(t *testing.T) {
	binary := buildDaemon(t)
	type crowdCase struct {
		clients, memory, files int
		behaviour              crowd.Behaviour
		requests               []crowd.Request
	}
	cases := map[string]crowdCase{}
	for name, b := range crowd.Behaviours(crowdHead) {
		cases[name] = crowdCase{crowdClients, crowdMemory, 0, b, crowdRequests()}
	}
	for name, r := range shapedRequests() {
		cases[name] = crowdCase{crowdClients, crowdMemory, 0, crowd.Behaviour{Complete: true}, []crowd.Request{r}}
	}
	for name, r := range shapedRequests() {
		cases[name+", more memory"] = crowdCase{crowdClients, largerMemory, 0, crowd.Behaviour{Complete: true}, []crowd.Request{r}}
	}
	orders := orderRequests(crowdClients)
	cases["answers that are not read"] = crowdCase{crowdClients, crowdMemory, 0, crowd.Behaviour{Complete: true}, orders}
	cases["few descriptors"] = crowdCase{crowdConnections, crowdMemory, crowdFiles, crowd.Behaviour{Silent: true}, orders}
	cases["few descriptors, kept connections"] = crowdCase{crowdConnections, crowdMemory, crowdFiles, crowd.Behaviour{Complete: true}, []crowd.Request{{Head: "GET /none HTTP/1.1\r\nHost: a\r\n"}}}
	cases["few descriptors, refused bodies"] = crowdCase{crowdConnections, crowdMemory, crowdFiles, crowd.Behaviour{}, []crowd.Request{{Head: "POST /none HTTP/1.1\r\nHost: a\r\n", Body: make([]byte, 1000)}}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := startLoopback(t, binary, tc.memory, tc.files, 0)
			defer d.close()
			meter := crowd.Watch(t.Context(), d.process)
			clients, err := crowd.Play(t.Context(), d.callers, tc.clients, tc.behaviour, tc.requests...)
			require.NoError(t, err)
			require.NoError(t, crowd.Settle(t.Context(), d.process))
			d.awaitAnswer()
			clients.Close()
			d.awaitAnswer()
			d.awaitCompletion()
			peak, err := meter.Peak()
			require.NoError(t, err)
			t.Logf("at most %d MiB and %d sockets", peak.Memory>>20, peak.Sockets)
			require.LessOrEqual(t, peak.Memory, int64(tc.memory)<<20)
			if tc.files > 0 {
				require.LessOrEqual(t, peak.Sockets, crowdFiles-reservedFiles)
			}
		})
	}
}
