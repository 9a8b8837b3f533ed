package entry

import (
	"bufio"
	"context"
	"encoding/json"
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

// stalledBody delivers the beginning of a body and then nothing until the read
// deadline, like a sender that trickles.
type stalledBody struct{ sent bool }

func (b *stalledBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(p, `{"model":"m"`), nil
	}
	return 0, http.ErrBodyReadAfterClose
}

// Guards against bad input that is accepted, answered without a clear error,
// or run on an engine.
func TestBadInput(t *testing.T) {
	valid := `{"model":"m","prompt":"p","max_tokens":2}`
	cases := map[string]struct {
		body   string
		header map[string]string
		want   fault.Kind
		says   string
	}{
		"cut body":        {body: `{"model":"m","pro`, want: fault.Invalid, says: "JSON"},
		"no model":        {body: `{"prompt":"p"}`, want: fault.Invalid, says: "model"},
		"unknown model":   {body: `{"model":"x","prompt":"p"}`, want: fault.NotFound, says: `"x"`},
		"text messages":   {body: `{"model":"m","messages":"hello"}`, want: fault.Invalid, says: "messages is a JSON string; it must be a JSON array"},
		"text length":     {body: `{"model":"m","prompt":"p","max_tokens":"9"}`, want: fault.Invalid, says: "max_tokens is a JSON string; it must be a JSON number"},
		"empty prompt":    {body: `{"model":"m","prompt":""}`, want: fault.Invalid, says: "prompt"},
		"number prompt":   {body: `{"model":"m","prompt":7}`, want: fault.Invalid, says: "prompt"},
		"two answers":     {body: `{"model":"m","prompt":"p","n":2}`, want: fault.Invalid, says: "n is 2"},
		"negative length": {body: `{"model":"m","prompt":"p","max_tokens":-1}`, want: fault.Invalid, says: "max_tokens"},
		"64 MB prompt":    {body: `{"model":"m","prompt":"` + strings.Repeat("x", 64<<20) + `"}`, want: fault.TooLarge, says: "allowed"},
		"wrong key":       {body: valid, header: map[string]string{"Authorization": "Bearer nobody"}, want: fault.Unauthenticated},
		"no key":          {body: valid, header: map[string]string{"Authorization": ""}, want: fault.Unauthenticated},
		"bad timeout":     {body: valid, header: map[string]string{timeoutHeader: "soon"}, want: fault.Invalid, says: timeoutHeader},
		"long timeout":    {body: valid, header: map[string]string{timeoutHeader: "2h"}, want: fault.Invalid, says: "1m0s"},
		"past deadline":   {body: valid, header: map[string]string{deadlineHeader: "1999-01-01T00:00:00Z"}, want: fault.NotStarted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 1, 0)
				g := group.New(t.Context())
				s := newServer(g, f, testDocument())
				w := post(t.Context(), s, tc.body, tc.header)
				requireError(t, w, tc.want, tc.says)
				require.Empty(t, f.ran)
				require.True(t, s.buffered.TryAcquire(s.options.Limits.MaxBuffered), "buffered memory is given back")
				require.NoError(t, g.Wait())
			})
		})
	}
}

// requireError checks status, run state and the OpenAI error body.
func requireError(t *testing.T, w *httptest.ResponseRecorder, want fault.Kind, says string) {
	t.Helper()
	answer := want.Answer()
	require.Equal(t, answer.Status, w.Code, w.Body.String())
	require.Equal(t, string(answer.Run), w.Header().Get(runHeader))
	var body errorBody
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.Equal(t, answer.Code, body.Error.Code)
	require.Contains(t, body.Error.Message, says)
	require.NotContains(t, w.Body.String(), testKey)
}

// Guards against requests that are taken by a host that is leaving, has no
// configuration or is full, and against a broken body that counts as whole.
func TestRefusals(t *testing.T) {
	valid := `{"model":"m","prompt":"p","max_tokens":2}`
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 0)
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

		require.True(t, s.buffered.TryAcquire(s.options.Limits.MaxBuffered))
		requireError(t, post(t.Context(), s, valid, nil), fault.Overloaded, "memory")
		s.buffered.Release(s.options.Limits.MaxBuffered)

		requireError(t, post(t.Context(), newServer(g, f, nil), valid, nil), fault.NoConfig, "configuration")

		s.Leave()
		w = post(t.Context(), s, valid, nil)
		requireError(t, w, fault.Leaving, "leaving")
		require.Equal(t, "close", w.Header().Get("Connection"))
		require.Empty(t, f.ran)
		require.NoError(t, g.Wait())
	})
}

// Guards against an address list without its lifetime or in the wrong order.
func TestAddresses(t *testing.T) {
	f := newFleet(1, 1, 0)
	s := newServer(group.New(t.Context()), f, testDocument())
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/addresses", nil))
	var answer addressAnswer
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	require.Equal(t, []Address{{"10.0.0.1:80", "near"}, {"10.0.0.2:80", "far"}}, answer.Addresses)
	lifetime, err := time.ParseDuration(answer.Lifetime)
	require.NoError(t, err)
	require.Equal(t, addressLifetime, lifetime)
}

// Guards against whole answers that OpenAI clients cannot read.
func TestAnswerShapes(t *testing.T) {
	cases := map[string]struct{ path, body, want string }{
		"completion": {"/v1/completions", `{"model":"m","prompt":"p","max_tokens":2}`, `"text":"<p/0><p/1>"`},
		"chat": {
			"/v1/chat/completions",
			`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}],"max_tokens":1}`,
			`"message":{"role":"assistant","content":"<user: p\n/0>"}`,
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
				s := newServer(g, newFleet(1, 1, 0), testDocument())
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

// heldBody delivers nothing until it is released, and then its end.
type heldBody struct{ release chan struct{} }

func (b *heldBody) Read([]byte) (int, error) {
	<-b.release
	return 0, io.EOF
}

// Guards against a few senders of unknown length that take all memory for
// bodies before they have sent any.
func TestSlowBodiesRefuseNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		held := &heldBody{make(chan struct{})}
		for range 3 * s.options.Limits.MaxBuffered / s.options.Limits.MaxBody {
			g.Go("sender", func(ctx context.Context) error {
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", held)
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
		close(held.release)
		require.NoError(t, g.Wait())
		require.True(t, s.buffered.TryAcquire(s.options.Limits.MaxBuffered))
	})
}

// oneConn is a listener with a single connection.
type oneConn struct{ conns chan net.Conn }

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l oneConn) Close() error   { return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// pipe serves a handler on one connection without a buffer, and returns the
// caller's end of it.
func pipe(t *testing.T, g *group.Group, handler http.Handler) (near net.Conn, stop func()) {
	near, far := net.Pipe()
	listener := oneConn{make(chan net.Conn, 1)}
	listener.conns <- far
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	g.Go("server", func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	return near, func() {
		require.NoError(t, near.Close())
		close(listener.conns)
		require.NoError(t, server.Close())
	}
}

// Guards against a slow sender that is told that its request is malformed, or
// gets no answer of the interface at all.
func TestSlowSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		near, stop := pipe(t, g, s)
		_, err := io.WriteString(near, "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
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

// Guards against a caller that stops reading and keeps its request, its stream
// and the engine's memory. A pipe has no buffer, so the first unread event
// blocks the writer.
func TestCallerThatStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 0)
		g := group.New(t.Context())
		s := newServer(g, f, testDocument())
		near, stop := pipe(t, g, s)
		body := `{"model":"m","prompt":"p","max_tokens":500,"stream":true}`
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://node/v1/completions", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		require.NoError(t, r.Write(near))
		time.Sleep(fakePrefill + s.options.Limits.WriteTimeout/2)
		require.EqualValues(t, 1, s.InFlight())
		time.Sleep(s.options.Limits.WriteTimeout)
		synctest.Wait()
		require.Zero(t, s.InFlight(), "the request is given up after the write timeout")
		require.Zero(t, f.held(), "the stream is canceled")
		stop()
		require.NoError(t, g.Wait())
	})
}
