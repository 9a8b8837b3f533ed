package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/alarm"
	"github.com/verbenapier/verbenapier/internal/certs"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// fake is an in-memory daemon. Its method Quarantined stands for all requests to
// the platform: it waits until platformAnswers is closed or the context ends, and
// then returns platformErr.
type fake struct {
	mu              sync.Mutex
	docs            []*confd.Document
	ready           bool
	drained         bool
	platformAnswers chan struct{}
	platformErr     error
}

func (f *fake) Nodes() []Node                 { return []Node{{Name: "n1"}} }
func (f *fake) Cells() []Cell                 { return []Cell{{Name: "c"}} }
func (f *fake) Engines() []Engine             { return []Engine{{Name: "e"}} }
func (f *fake) Organisations() []Organisation { return []Organisation{{Name: "o"}} }
func (f *fake) Requests() []Request           { return []Request{{ID: "r", Age: Duration(time.Second)}} }
func (f *fake) Metrics() []Metric             { return []Metric{{Name: "m", Value: 1}} }
func (f *fake) Health() Health                { return Health{Ready: f.ready, Node: "n1"} }
func (f *fake) Dump() map[string]any          { return map[string]any{"member": 1} }
func (f *fake) Active() []alarm.Alarm         { return []alarm.Alarm{{Subject: "s"}} }
func (f *fake) Drain(context.Context) error   { f.drained = true; return nil }

func (f *fake) Quarantined(ctx context.Context) ([]QuarantinedPrompt, error) {
	select {
	case <-f.platformAnswers:
	case <-ctx.Done():
	}
	return []QuarantinedPrompt{{Fingerprint: "f1"}}, f.platformErr
}

func (f *fake) Lift(_ context.Context, fingerprint string) error {
	if fingerprint != "f1" {
		return fault.New(fault.NotFound, "no quarantine has the fingerprint %q", fingerprint)
	}
	return nil
}

func (f *fake) Current() (*confd.Document, uint64, error) {
	return f.Newest(context.Background())
}

func (f *fake) Newest(context.Context) (*confd.Document, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.docs) == 0 {
		return nil, 0, fault.New(fault.NoConfig, "no configuration yet")
	}
	return f.docs[len(f.docs)-1], uint64(len(f.docs)), nil
}

func (f *fake) Apply(_ context.Context, doc *confd.Document, base uint64, _ string) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if base != uint64(len(f.docs)) {
		return 0, fault.New(fault.Conflict, "the newest revision is %d, not %d", len(f.docs), base)
	}
	f.docs = append(f.docs, doc)
	return base + 1, nil
}

func (f *fake) History(context.Context) ([]Revision, error) { return []Revision{{Revision: 1}}, nil }

func (f *fake) At(_ context.Context, revision uint64) (*confd.Document, error) {
	if revision == 0 || revision > uint64(len(f.docs)) {
		return nil, fault.New(fault.NotFound, "revision %d is not kept", revision)
	}
	return f.docs[revision-1], nil
}

func serve(t *testing.T, f *fake, o Options) string {
	log, _ := test.NewNullLogger()
	o.State, o.Drainer, o.Quarantine, o.Config, o.Alarms, o.Log = f, f, f, f, f, log
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := group.New(t.Context())
	g.Go("admin", func(ctx context.Context) error { return New(o).Serve(ctx, listener) })
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	// A client's unused connection delays the shutdown of the server.
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return listener.Addr().String()
}

func call(t *testing.T, client *http.Client, method, url, body string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	res, err := client.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(data)
}

const document = `{"services": {"p": {"kind": "plain", "routes": [{"method": "GET", "path": "/", "idempotent": true}]}}, "organisations": {"a": {}}}`

// Guards against an endpoint that is missing, returns the wrong status, or
// returns a body that is not JSON.
func TestEndpoints(t *testing.T) {
	f := &fake{ready: true, platformAnswers: make(chan struct{})}
	close(f.platformAnswers)
	base := "http://" + serve(t, f, Options{Insecure: true}) + "/admin/v1/"
	steps := []struct {
		method, path, body string
		status             int
		contains           string
	}{
		{"GET", "nodes", "", 200, `"name":"n1"`},
		{"GET", "cells", "", 200, `"name":"c"`},
		{"GET", "engines", "", 200, `"name":"e"`},
		{"GET", "organisations", "", 200, `"name":"o"`},
		{"GET", "requests", "", 200, `"age":"1s"`},
		{"GET", "alarms", "", 200, `"subject":"s"`},
		{"GET", "metrics", "", 200, `"value":1`},
		{"GET", "dump", "", 200, `"member":1`},
		{"GET", "health", "", 200, `"ready":true`},
		{"GET", "quarantine", "", 200, `"fingerprint":"f1"`},
		{"DELETE", "quarantine/f1", "", 200, `"lifted":"f1"`},
		{"DELETE", "quarantine/f2", "", 404, `"code":"not_found"`},
		{"GET", "config", "", 503, `"code":"no_configuration"`},
		{"PUT", "config", document, 400, `base must be a whole number`},
		{"PUT", "config?base=0", `{"services": 1,` + "\n" + `"organisations": 2}`, 422, `"line":2,"key":"organisations","value":"2","allowed":"an object"`},
		{"PUT", "config?base=0", document, 200, `"revision":1,"changes":[{"path":"organisations.a"`},
		{"PUT", "config?base=1", strings.Replace(document, `"a": {}`, `"a": {"weight": 2}`, 1), 200, `"changes":[{"path":"organisations.a.weight","from":"1","to":"2"}]`},
		{"PUT", "config?base=1", document, 409, `"revision":2,"changes":[{"path":"organisations.a.weight","from":"1","to":"2"}]`},
		{"GET", "config", "", 200, `"weight":2`},
		{"GET", "config/1", "", 200, `"weight":1`},
		{"GET", "config/9", "", 404, `"code":"not_found"`},
		{"GET", "config/x", "", 400, `"code":"invalid_request"`},
		{"GET", "config/history", "", 200, `"revision":1`},
		{"POST", "drain", "", 202, `"node":"n1"`},
		{"GET", "nothing", "", 404, `"code":"not_found"`},
		{"POST", "nodes", "", 404, `"code":"not_found"`},
	}
	for _, s := range steps {
		status, body := call(t, http.DefaultClient, s.method, base+s.path, s.body)
		require.Equal(t, s.status, status, "%s %s: %s", s.method, s.path, body)
		require.Contains(t, body, s.contains, "%s %s", s.method, s.path)
		require.True(t, json.Valid([]byte(body)))
	}
	require.True(t, f.drained)
	f.ready = false
	status, _ := call(t, http.DefaultClient, "GET", base+"health", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	f.platformErr = fault.New(fault.PlatformDown, "the platform does not answer")
	status, body := call(t, http.DefaultClient, "GET", base+"quarantine", "")
	require.Equal(t, 503, status)
	require.Contains(t, body, `"platform_unavailable"`)
	status, body = call(t, http.DefaultClient, "PUT", base+"config?base=2", strings.Repeat(" ", maxBodyBytes+1))
	require.Equal(t, 413, status, body)
}

// Guards against a client that is admitted without an operator's certificate, and
// against a server that keeps its old certificate after the files were replaced.
func TestCertificates(t *testing.T) {
	keyPair := func(p certs.Pair, err error) tls.Certificate {
		require.NoError(t, err)
		certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
		require.NoError(t, err)
		return certificate
	}
	ca, err := certs.Authority("ca", time.Hour)
	require.NoError(t, err)
	otherCA, err := certs.Authority("ca", time.Hour)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(ca.Certificate))
	loopback := []net.IP{net.IPv4(127, 0, 0, 1)}
	node := keyPair(certs.Node(ca, "n1", loopback, time.Minute))
	var loadErr error
	var mu sync.Mutex
	address := serve(t, &fake{ready: true}, Options{Load: func() (*x509.CertPool, tls.Certificate, error) {
		mu.Lock()
		defer mu.Unlock()
		return pool, node, loadErr
	}})
	client := func(c ...tls.Certificate) *http.Client {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: c, MinVersion: tls.VersionTLS13}}
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport}
	}
	url := "https://" + address + "/admin/v1/health"
	operatorCert := keyPair(certs.Operator(ca, "anna", time.Minute))
	status, _ := call(t, client(operatorCert), "GET", url, "")
	require.Equal(t, 200, status)
	status, body := call(t, client(keyPair(certs.Node(ca, "n2", loopback, time.Minute))), "GET", url, "")
	require.Equal(t, 403, status)
	require.Contains(t, body, `"forbidden"`)
	for name, c := range map[string]*http.Client{
		"none":            client(),
		"other authority": client(keyPair(certs.Operator(otherCA, "eve", time.Minute))),
	} {
		_, err := c.Get(url)
		require.Error(t, err, name)
	}

	rotated := keyPair(certs.Node(ca, "n1", loopback, time.Minute))
	mu.Lock()
	node = rotated
	mu.Unlock()
	newClient := client(operatorCert)
	res, err := newClient.Get(url)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.True(t, bytes.Equal(rotated.Certificate[0], res.TLS.PeerCertificates[0].Raw))
	mu.Lock()
	loadErr = fault.New(fault.Invalid, "half-written file")
	mu.Unlock()
	status, _ = call(t, client(operatorCert), "GET", url, "")
	require.Equal(t, 200, status, "the last good certificate stays in use")
}

// Guards against plain HTTP without the option Insecure or from an address that
// is not loopback. Also guards against a server that starts without a certificate
// and fails only when the first operator connects.
func TestInsecure(t *testing.T) {
	log, _ := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	require.True(t, fault.Is(New(Options{Log: log}).Serve(t.Context(), listener), fault.Invalid))
	s := New(Options{Log: log, Insecure: true})
	for remote, allowed := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "10.0.0.1:1": false, "@": false} {
		require.Equal(t, allowed, s.authorize(&http.Request{RemoteAddr: remote}) == nil, remote)
	}
	require.Error(t, New(Options{Log: log}).authorize(&http.Request{RemoteAddr: "127.0.0.1:1"}))
}

// Guards against a node whose state cannot be read while the platform does not
// answer. This happens if requests that wait for the platform take the slots of
// requests that are answered from memory.
func TestAnswersWhilePlatformHangs(t *testing.T) {
	f := &fake{ready: true, platformAnswers: make(chan struct{})}
	base := "http://" + serve(t, f, Options{Insecure: true}) + "/admin/v1/"
	g := group.New(t.Context())
	for range 2 * maxRemote {
		g.Go("quarantine", func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"quarantine", nil)
			if err != nil {
				return err
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			return res.Body.Close()
		})
	}
	for _, path := range []string{"health", "nodes", "dump", "alarms"} {
		status, _ := call(t, http.DefaultClient, "GET", base+path, "")
		require.Equal(t, 200, status, path)
	}
	close(f.platformAnswers)
	require.NoError(t, g.Wait())
}
