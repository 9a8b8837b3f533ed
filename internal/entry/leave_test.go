package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// busyCells never grants a request.
type busyCells struct{ *fakeFleet }

func (busyCells) Acquire(ctx context.Context, _ sched.Request) (sched.Grant, error) {
	<-ctx.Done()
	return sched.Grant{}, ctx.Err()
}

// Guards against a host that stops while a request waits or runs, and ends it without
// an answer, or with one that is wrong about whether it ran.
func TestStopAnswersRequests(t *testing.T) {
	const stopAfter = 2 * time.Second
	cases := map[string]struct {
		send   func(s *Server) (status int, run string)
		status int
		run    string
	}{
		"prompt that waits": {func(s *Server) (int, string) {
			s.options.Cells = busyCells{newFakeFleet(1, 1, 0)}
			w := post(context.Background(), s, `{"model":"m","prompt":"a","max_tokens":4}`, nil)
			return w.Code, w.Header().Get(runHeader)
		}, http.StatusServiceUnavailable, "no"},
		"prompt that runs": {func(s *Server) (int, string) {
			w := post(context.Background(), s, `{"model":"m","prompt":"a","max_tokens":400}`, nil)
			return w.Code, w.Header().Get(runHeader)
		}, http.StatusGatewayTimeout, "unknown"},
		"call that runs": {func(s *Server) (int, string) {
			w := callPlain(s, http.MethodGet, "/orders/1", "")
			return w.Code, w.Header().Get(runHeader)
		}, http.StatusGatewayTimeout, "unknown"},
		"call to run once that runs": {func(s *Server) (int, string) {
			w := callPlain(s, http.MethodPost, "/orders", "x")
			return w.Code, w.Header().Get(runHeader)
		}, http.StatusGatewayTimeout, "unknown"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := plainServer(t, "silent")
				s.plainClient.Transport = silentTransport{}
				s.options.Group = group.New(context.Background())
				s.options.Drain.Begin(time.Now().Add(stopAfter))
				started := time.Now()
				status, run := tc.send(s)
				require.Equal(t, tc.status, status)
				require.Equal(t, tc.run, run)
				require.Less(t, time.Since(started), stopAfter+time.Second)
				s.options.Group.Stop()
				require.NoError(t, s.options.Group.Wait())
			})
		})
	}
}

// silentTransport sends requests to an upstream that never answers.
type silentTransport struct{}

func (silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, &net.OpError{Op: "read", Err: r.Context().Err()}
}

// Guards against a host that takes requests after it was told to stop, passes them on and
// ends them without an answer: calls that may and may not be repeated, and prompts, on
// connections that were open before.
func TestLeavingHostPassesNothingOn(t *testing.T) {
	var passedOn atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		passedOn.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	s, _ := plainServer(t, upstream.Listener.Addr().String())
	host := httptest.NewServer(s)
	defer host.Close()
	send := func(client *http.Client, method, path string) *http.Response {
		r, err := http.NewRequestWithContext(t.Context(), method, host.URL+path, strings.NewReader(`{"model":"m","prompt":"p","max_tokens":2}`))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set(idempotencyKeyHeader, uuid.Must(uuid.NewV7()).String())
		resp, err := client.Do(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp
	}
	requests := map[string]struct{ method, path string }{
		"call":             {http.MethodGet, "/services/order-desk/orders/1"},
		"call to run once": {http.MethodPost, "/services/order-desk/orders"},
		"prompt":           {http.MethodPost, "/v1/completions"},
	}
	clients := map[string]*http.Client{}
	for name, r := range requests {
		clients[name] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		require.Equal(t, http.StatusOK, send(clients[name], r.method, r.path).StatusCode, name)
	}
	before := passedOn.Load()
	s.Leave()
	s.options.Drain.Begin(time.Now().Add(time.Minute))
	for name, r := range requests {
		resp := send(clients[name], r.method, r.path)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, name)
		require.Equal(t, "no", resp.Header.Get(runHeader), name)
		require.True(t, resp.Close, "the caller would come back on the same connection")
	}
	require.Equal(t, before, passedOn.Load())
}
