package fault_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/fault"
	"github.com/verbenapier/verbenapier/emul/internal/serve"
)

// testServer is a handler behind a Switch, and a client of it.
type testServer struct {
	t       *testing.T
	client  *http.Client
	effects atomic.Int64 // calls that reached the handler
	ended   atomic.Int64 // calls whose handler returned
	crashed atomic.Bool
}

// ServeHTTP answers /once immediately, and any other path with one line per second
// until the client disconnects.
func (r *testServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.effects.Add(1)
	defer func() { r.ended.Add(1) }()
	if req.URL.Path == "/once" {
		serve.JSON(w, http.StatusOK, "done")
		return
	}
	for req.Context().Err() == nil {
		_, _ = io.WriteString(w, "line\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(time.Second):
		case <-req.Context().Done():
		}
	}
}

func run(t *testing.T, fn func(t *testing.T, r *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := &testServer{t: t}
		sw := fault.NewSwitch(log, 1, func() { r.crashed.Store(true) })
		client, stop := serve.InMemory(r, sw)
		defer stop()
		r.client = client
		fn(t, r)
	})
}

func (r *testServer) call(ctx context.Context, method, path, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://stand"+path, strings.NewReader(body))
	require.NoError(r.t, err)
	return r.client.Do(req)
}

// once calls /once and returns the status, or 0 if there is no answer within 10 s.
func (r *testServer) once() int {
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	resp, err := r.call(ctx, http.MethodPost, "/once", "body")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (r *testServer) fault(body string) {
	resp, err := r.call(r.t.Context(), http.MethodPost, fault.Path, body)
	require.NoError(r.t, err)
	_ = resp.Body.Close()
	require.Equal(r.t, http.StatusOK, resp.StatusCode)
}

// Guards against a request that is executed during a fault that must prevent it, or
// is not executed during a fault that only delays it or loses its reply. Cleared
// faults must have no effect on later requests.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault, clear string
		status       int
		effects      int64
	}{
		"none":               {`{}`, `{}`, 200, 1},
		"slow":               {`{"delay_ms":9000}`, `{"delay_ms":0}`, 200, 1},
		"lost reply":         {`{"lose_next":1}`, `{}`, 0, 1},
		"lost share":         {`{"lose_share":1}`, `{"lose_share":0}`, 0, 1},
		"other method":       {`{"lose_share":1,"methods":["PUT"]}`, `{"lose_share":0}`, 200, 1},
		"outage unavailable": {`{"outage":"unavailable"}`, `{"outage":""}`, 503, 0},
		"outage closed":      {`{"outage":"closed"}`, `{"outage":""}`, 0, 0},
		"outage hang":        {`{"outage":"hang"}`, `{"outage":""}`, 0, 0},
		"freeze":             {`{"freeze":true}`, `{"freeze":false}`, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, r *testServer) {
				r.fault(c.fault)
				assert.Equal(t, c.status, r.once())
				assert.Equal(t, c.effects, r.effects.Load())
				r.fault(c.clear)
				assert.Equal(t, http.StatusOK, r.once())
				assert.Equal(t, c.effects+1, r.effects.Load())
			})
		})
	}
}

// Guards against a silent connection that still carries data, and against silence on
// connections that are opened later. A handler must also end when the client of its
// silent connection disconnects.
func TestSilentConnections(t *testing.T) {
	for name, c := range map[string]struct {
		fault         string
		newConnStatus int
	}{
		"silent": {`{"silent":true}`, http.StatusOK},
		"freeze": {`{"freeze":true}`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, r *testServer) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				resp, err := r.call(ctx, http.MethodGet, "/stream", "")
				require.NoError(t, err)
				var lines atomic.Int64
				time.AfterFunc(0, func() {
					for s := bufio.NewScanner(resp.Body); s.Scan(); {
						lines.Add(1)
					}
				})
				time.Sleep(5500 * time.Millisecond)
				assert.Equal(t, int64(6), lines.Load())
				r.fault(c.fault)
				time.Sleep(time.Minute)
				assert.Equal(t, int64(6), lines.Load())
				r.client.CloseIdleConnections()
				assert.Equal(t, c.newConnStatus, r.once())
				before := r.ended.Load()
				cancel()
				synctest.Wait()
				assert.Equal(t, before+1, r.ended.Load())
			})
		})
	}
}

// Guards against a long-running call, such as a watch, that goes on through an
// outage, and against a crash that does not happen.
func TestOutageEndsWaitingCalls(t *testing.T) {
	run(t, func(t *testing.T, r *testServer) {
		resp, err := r.call(t.Context(), http.MethodGet, "/stream", "")
		require.NoError(t, err)
		r.fault(`{"outage":"unavailable"}`)
		synctest.Wait()
		assert.Equal(t, int64(1), r.ended.Load())
		_ = resp.Body.Close()
		r.fault(`{"crash":true}`)
		assert.True(t, r.crashed.Load())
	})
}
