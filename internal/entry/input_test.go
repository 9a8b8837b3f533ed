package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// stalledBody delivers the beginning of a body and then fails, like the body
// of a sender that did not finish in time.
type stalledBody struct{ sent bool }

func (b *stalledBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(p, `{"model":"m"`), nil
	}
	return 0, http.ErrBodyReadAfterClose
}

// Guards against invalid input that is accepted, rejected without a clear
// error, or run on an engine.
func TestBadInput(t *testing.T) {
	valid := `{"model":"m","prompt":"p","max_tokens":2}`
	cases := map[string]struct {
		body        string
		header      map[string]string
		wantKind    fault.Kind
		wantMessage string
	}{
		"cut body":        {body: `{"model":"m","pro`, wantKind: fault.Invalid, wantMessage: "JSON"},
		"no model":        {body: `{"prompt":"p"}`, wantKind: fault.Invalid, wantMessage: "model"},
		"unknown model":   {body: `{"model":"x","prompt":"p"}`, wantKind: fault.NotFound, wantMessage: `"x"`},
		"text messages":   {body: `{"model":"m","messages":"hello"}`, wantKind: fault.Invalid, wantMessage: "messages is a JSON string; it must be a JSON array"},
		"text length":     {body: `{"model":"m","prompt":"p","max_tokens":"9"}`, wantKind: fault.Invalid, wantMessage: "max_tokens is a JSON string; it must be a JSON number"},
		"empty prompt":    {body: `{"model":"m","prompt":""}`, wantKind: fault.Invalid, wantMessage: "prompt"},
		"two prompts":     {body: `{"model":"m","prompt":["p","q"]}`, wantKind: fault.Invalid, wantMessage: "prompt"},
		"number prompt":   {body: `{"model":"m","prompt":7}`, wantKind: fault.Invalid, wantMessage: "prompt"},
		"two answers":     {body: `{"model":"m","prompt":"p","n":2}`, wantKind: fault.Invalid, wantMessage: "n is 2"},
		"negative length": {body: `{"model":"m","prompt":"p","max_tokens":-1}`, wantKind: fault.Invalid, wantMessage: "max_tokens"},
		"64 MB prompt":    {body: `{"model":"m","prompt":"` + strings.Repeat("x", 64<<20) + `"}`, wantKind: fault.TooLarge, wantMessage: "allowed"},
		"wrong key":       {body: valid, header: map[string]string{"Authorization": "Bearer nobody"}, wantKind: fault.Unauthenticated},
		"no key":          {body: valid, header: map[string]string{"Authorization": ""}, wantKind: fault.Unauthenticated},
		"bad timeout":     {body: valid, header: map[string]string{timeoutHeader: "soon"}, wantKind: fault.Invalid, wantMessage: timeoutHeader},
		"long timeout":    {body: valid, header: map[string]string{timeoutHeader: "2h"}, wantKind: fault.Invalid, wantMessage: "1m0s"},
		"past deadline":   {body: valid, header: map[string]string{deadlineHeader: "1999-01-01T00:00:00Z"}, wantKind: fault.NotStarted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(1, 1, 0)
				g := group.New(t.Context())
				s := newServer(g, f, testDocument())
				w := post(t.Context(), s, tc.body, tc.header)
				requireError(t, w, tc.wantKind, tc.wantMessage)
				require.Empty(t, f.startsByPrompt)
				requireNothingHeld(t, s)
				require.NoError(t, g.Wait())
			})
		})
	}
}

// requireError checks the status, the run header and the OpenAI error body.
func requireError(t *testing.T, w *httptest.ResponseRecorder, kind fault.Kind, message string) {
	t.Helper()
	answer := kind.Answer()
	require.Equal(t, answer.Status, w.Code, w.Body.String())
	require.Equal(t, string(answer.Run), w.Header().Get(runHeader))
	var body errorBody
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.Equal(t, answer.Code, body.Error.Code)
	require.Contains(t, body.Error.Message, message)
	require.NotContains(t, w.Body.String(), testKey)
}

// Guards against requests that are accepted by a host that is leaving, has no
// configuration or is at its limits, and against an incomplete body that is
// accepted as complete.
func TestRefusals(t *testing.T) {
	valid := `{"model":"m","prompt":"p","max_tokens":2}`
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())

		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", &stalledBody{})
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		requireError(t, w, fault.Invalid, "body")

		s.inflight.Store(s.options.Limits.MaxRequests)
		requireError(t, post(t.Context(), s, valid, nil), fault.Overloaded, "too many")
		s.inflight.Store(0)

		others := s.options.Quota.Hold(t.Context())
		for others.TryGrow(1 << 10) {
		}
		long := `{"model":"m","prompt":"` + strings.Repeat("p", 64<<10) + `","max_tokens":2}`
		requireError(t, post(t.Context(), s, long, nil), fault.Overloaded, "memory")
		others.Release()

		requireError(t, post(t.Context(), newServer(g, f, nil), valid, nil), fault.NoConfig, "configuration")

		s.Leave()
		w = post(t.Context(), s, valid, nil)
		requireError(t, w, fault.HostLeaving, "leaving")
		require.Equal(t, "close", w.Header().Get("Connection"))
		require.Empty(t, f.startsByPrompt)
		require.NoError(t, g.Wait())
	})
}

// Guards against long answers that fill the memory: one that the host cannot hold breaks
// off, and what it has held is given back.
func TestLongAnswerWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		s := newServer(g, newFakeFleet(1, 1, 0), testDocument())
		others := s.options.Quota.Hold(t.Context())
		for others.TryGrow(1 << 10) {
		}
		body := func(tokens int) string { return fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d}`, tokens) }
		require.Equal(t, http.StatusOK, post(t.Context(), s, body(pieceBatch), nil).Code)
		requireError(t, post(t.Context(), s, body(pieceBatch+1), nil), fault.UpstreamFailed, "memory")
		others.Release()
		require.Equal(t, http.StatusOK, post(t.Context(), s, body(3*pieceBatch), nil).Code)
		requireNothingHeld(t, s)
		require.NoError(t, g.Wait())
	})
}

// Guards against an address list without its lifetime or in the wrong order.
func TestAddresses(t *testing.T) {
	f := newFakeFleet(1, 1, 0)
	s := newServer(group.New(t.Context()), f, testDocument())
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/addresses", nil))
	var answer addressesResponse
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	require.Equal(t, []Address{{"10.0.0.1:80", "near"}, {"10.0.0.2:80", "far"}}, answer.Addresses)
	lifetime, err := time.ParseDuration(answer.Lifetime)
	require.NoError(t, err)
	require.Equal(t, addressLifetime, lifetime)
}

// Guards against responses that OpenAI clients cannot parse.
func TestResponseFormats(t *testing.T) {
	cases := map[string]struct{ path, body, want string }{
		"completion": {"/v1/completions", `{"model":"m","prompt":"p","max_tokens":2}`, `"text":"<p/0><p/1>"`},
		"chat": {
			"/v1/chat/completions",
			`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}],"max_tokens":1}`,
			`"message":{"role":"assistant","content":"<user: p\n/0>"}`,
		},
		"messages and parts, a repeated key": {
			"/v1/chat/completions",
			`{"model":"m","messages":[{"role":"a"}],"messages":[{"role":"user","content":[{"type":"text","text":"p"},{"type":"text","text":"q"}]},{"role":"b","content":"r"}],"max_tokens":1}`,
			`"message":{"role":"assistant","content":"<user: pq\nb: r\n/0>"}`,
		},
		"chat stream with usage": {
			"/v1/chat/completions",
			`{"model":"m","messages":[{"role":"user","content":"p"}],"max_tokens":1,"stream":true,"stream_options":{"include_usage":true}}`,
			`"usage":{"prompt_tokens":8,"completion_tokens":1,"total_tokens":9`,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := group.New(t.Context())
				s := newServer(g, newFakeFleet(1, 1, 0), testDocument())
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, tc.path, strings.NewReader(tc.body))
				r.Header.Set("Authorization", "Bearer "+testKey)
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				require.Equal(t, http.StatusOK, w.Code, w.Body.String())
				body := strings.ReplaceAll(strings.ReplaceAll(w.Body.String(), `\u003c`, "<"), `\u003e`, ">")
				require.Contains(t, body, tc.want)
				require.NoError(t, g.Wait())
			})
		})
	}
}

// blockedBody delivers nothing until release is closed, and then ends.
type blockedBody struct{ release chan struct{} }

func (b *blockedBody) Read([]byte) (int, error) {
	<-b.release
	return 0, io.EOF
}

// Guards against requests that are refused because a few slow senders have
// reserved all memory for bodies. That happens if the maximum size is reserved
// for a body of unknown length before any of it has arrived.
func TestSlowBodiesRefuseNoOthers(t *testing.T) {
	// Bodies of the maximum size of so many senders are more than the host holds.
	const slowSenders = 24
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		blocked := &blockedBody{make(chan struct{})}
		for range slowSenders {
			g.Go("sender", func(ctx context.Context) error {
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", blocked)
				r.Header.Set("Authorization", "Bearer "+testKey)
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				requireError(t, w, fault.Invalid, "JSON")
				return nil
			})
		}
		synctest.Wait()
		w := post(t.Context(), s, `{"model":"m","prompt":"p","max_tokens":2}`, nil)
		require.Equal(t, http.StatusOK, w.Code, w.Body.String())
		close(blocked.release)
		require.NoError(t, g.Wait())
		requireNothingHeld(t, s)
	})
}

// singleConnListener is a listener with a single connection.
type singleConnListener struct{ conns chan net.Conn }

func (l singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePipe serves a handler on one unbuffered connection, and returns the
// caller's end of it.
func servePipe(t *testing.T, g *group.Group, handler http.Handler) (callerConn net.Conn, stop func()) {
	callerConn, serverConn := net.Pipe()
	listener := singleConnListener{make(chan net.Conn, 1)}
	listener.conns <- serverConn
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	g.Go("server", func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	return callerConn, func() {
		require.NoError(t, callerConn.Close())
		close(listener.conns)
		require.NoError(t, server.Close())
	}
}

// Guards against a wrong response to a slow sender: an error that calls the
// request malformed, or a connection that is closed without an error response.
func TestSlowSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		callerConn, stop := servePipe(t, g, s)
		_, err := io.WriteString(callerConn, "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(callerConn), nil)
		require.NoError(t, err)
		var body errorBody
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.Equal(t, "request_timeout", body.Error.Code)
		require.Equal(t, string(fault.RunNo), resp.Header.Get(runHeader))
		stop()
		require.NoError(t, g.Wait())
	})
}

// Guards against a request that stays in flight, and keeps its stream and the
// memory on the engine, after its caller has stopped reading. The pipe has no
// buffer, so the first event that is not read blocks the writer.
func TestCallerThatStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		callerConn, stop := servePipe(t, g, s)
		body := `{"model":"m","prompt":"p","max_tokens":500,"stream":true}`
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://node/v1/completions", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		require.NoError(t, r.Write(callerConn))
		time.Sleep(fakePrefill + s.options.Limits.WriteTimeout/2)
		require.EqualValues(t, 1, s.InFlight())
		time.Sleep(s.options.Limits.WriteTimeout)
		synctest.Wait()
		require.Zero(t, s.InFlight(), "the request ends after the write timeout")
		require.Zero(t, f.streamCount(), "the stream is canceled")
		stop()
		require.NoError(t, g.Wait())
	})
}
