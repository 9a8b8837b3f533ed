package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// rawUpstream is a plain upstream on a real socket that sends fixed bytes.
type rawUpstream struct {
	address string
	// answer is what it sends on each connection after a request, and reset whether it
	// resets the connection then instead of closing it.
	answer atomic.Value
	reset  atomic.Bool
	// ends says whether it closes its port when it has read a request.
	ends bool
	// early, unless nil, is called after an answer that is sent before the request was read.
	early func(c *net.TCPConn, request io.Reader)
	// requests counts the requests that it has read.
	requests atomic.Int64
}

func newRawUpstream(t *testing.T, ends bool) *rawUpstream {
	u := &rawUpstream{ends: ends}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u.address = l.Addr().String()
	g := group.New(context.Background())
	t.Cleanup(func() {
		_ = l.Close()
		require.NoError(t, g.Wait())
	})
	g.Go("upstream", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener is closed at the end
			}
			g.Go("connection", func(context.Context) error {
				u.serve(c, l)
				return nil
			})
		}
	})
	return u
}

func (u *rawUpstream) serve(c net.Conn, l net.Listener) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	u.requests.Add(1)
	if u.early != nil {
		_, _ = io.WriteString(c, u.answer.Load().(string))
		time.Sleep(uploadPause)
		u.early(c.(*net.TCPConn), r.Body)
		return
	}
	if r.ContentLength > 0 {
		_, _ = r.Body.Read(make([]byte, r.ContentLength))
	}
	if u.ends {
		_ = l.Close()
	}
	_, _ = c.Write([]byte(u.answer.Load().(string)))
	if u.reset.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// upstreamList is a directory with the given plain upstreams.
type upstreamList struct {
	*fakeFleet
	addresses []string
}

func (u upstreamList) Upstreams(string) []string { return u.addresses }

// callOverNetwork sends a call to the server over a connection, and returns its status,
// its body and whether these look complete.
func callOverNetwork(t *testing.T, s *Server, method, request string) (status int, body string, complete bool) {
	host := httptest.NewServer(s)
	defer host.Close()
	path := map[string]string{http.MethodGet: "/orders/1", http.MethodPost: "/orders"}[method]
	r, err := http.NewRequestWithContext(t.Context(), method, host.URL+"/services/order-desk"+path, strings.NewReader(request))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set(idempotencyKeyHeader, uuid.Must(uuid.NewV7()).String())
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err == nil
}

// Guards against a plain upstream that stops in the middle of the head of its answer, and
// whose caller gets a success that looks complete, or is told that the call was not run.
func TestCallStopsInHead(t *testing.T) {
	heads := map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	}
	for name, head := range heads {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				u := newRawUpstream(t, false)
				s, claims := plainServer(t, u.address)
				for n := range len(head) + 1 {
					for _, reset := range []bool{false, true} {
						u.answer.Store(head[:n])
						u.reset.Store(reset)
						requireError(t, callPlain(s, method, map[string]string{http.MethodGet: "/orders/1", http.MethodPost: "/orders"}[method], "x"), fault.UpstreamLost, "")
					}
				}
				require.Empty(t, claims.outcomes, "an outcome that is unknown was recorded")
			})
		}
	}
}

// Guards against an answer without a length that looks complete, and is recorded as the
// outcome of a call, although its upstream ended while it sent it.
func TestCallEndsWithConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	cases := map[string]struct {
		answer   string
		ends     bool
		complete bool
	}{
		"whole":                      {head + "whole", false, true},
		"short, upstream ended":      {head + "wh", true, false},
		"long, upstream ended":       {head + strings.Repeat("x", 64<<10), true, false},
		"empty":                      {head, false, false},
		"nothing of a stated length": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false, false},
		"with a length, then ended":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true, true},
		"no content, then ended":     {"HTTP/1.1 204 Nothing\r\n\r\n", true, true},
	}
	for name, tc := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				u := newRawUpstream(t, tc.ends)
				u.answer.Store(tc.answer)
				s, claims := plainServer(t, u.address)
				status, _, complete := callOverNetwork(t, s, method, "x")
				require.Equal(t, tc.complete, complete && status < http.StatusMultipleChoices, "status %d", status)
				if !tc.complete {
					require.Empty(t, claims.outcomes)
				}
			})
		}
	}
}

// Guards against a call that may be repeated and fails with an answer that broke off,
// although another upstream answers.
func TestCallGoesOnAfterEmptyAnswer(t *testing.T) {
	first, second := newRawUpstream(t, false), newRawUpstream(t, false)
	first.answer.Store("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	second.answer.Store("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	s, _ := plainServer(t, first.address)
	s.options.Directory = upstreamList{newFakeFleet(1, 1, 0), []string{first.address, second.address}}
	status, body, complete := callOverNetwork(t, s, http.MethodGet, "x")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
	require.True(t, complete)
	require.EqualValues(t, 1, first.requests.Load())
}

const (
	// longUpload is more than the kernel holds of a body that an upstream does not read,
	// in bytes.
	longUpload = 8 << 20
	// uploadPause is the time in which an upload fills the buffers of the kernel.
	uploadPause = 20 * time.Millisecond
	// earlyRounds is how often an upload is played: which end of the connection notices a
	// reset first differs from one to the next.
	earlyRounds = 10
)

// Guards against a part of an answer without a length that looks complete, and is recorded
// as the outcome of a call, because its upstream reset the connection while the call was
// still being written; and against a sound answer that is lost for that reason.
func TestCallIsAnsweredEarly(t *testing.T) {
	cases := map[string]struct {
		early    func(c *net.TCPConn, request io.Reader)
		complete bool
	}{
		"reset":                 {func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }, false},
		"call read to its end":  {func(_ *net.TCPConn, request io.Reader) { _, _ = io.Copy(io.Discard, request) }, true},
		"answer ended, no read": {func(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite(); time.Sleep(uploadPause) }, true},
	}
	for name, tc := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				u := newRawUpstream(t, false)
				u.early = tc.early
				u.answer.Store("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
				s, claims := plainServer(t, u.address)
				s.options.Limits.MaxBody = longUpload
				for range earlyRounds {
					status, body, complete := callOverNetwork(t, s, method, strings.Repeat("x", longUpload))
					require.Equal(t, tc.complete, complete && status < http.StatusMultipleChoices, "status %d", status)
					if tc.complete {
						require.Equal(t, "whole", body)
					}
				}
				if !tc.complete {
					require.Empty(t, claims.outcomes, "an outcome that is unknown was recorded")
				}
			})
		}
	}
}

// Guards against bytes that are no answer and reach the caller as one, or are recorded as
// the outcome of a call. The cases of all kinds are in TestMalformedHead of package relay.
func TestMalformedAnswer(t *testing.T) {
	heads := map[string]string{
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 5\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Note: 1\r\nContent-Length: 5\r\n",
		"blank hides a length":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
		"blank hides chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"status 000":             "HTTP/1.1 000 None\r\nContent-Length: 5\r\n",
		"status 101":             "HTTP/1.1 101 Switching\r\nContent-Length: 5\r\n",
		"status 999":             "HTTP/1.1 999 None\r\nContent-Length: 5\r\n",
	}
	for name, head := range heads {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				u := newRawUpstream(t, false)
				u.answer.Store(head + "Connection: close\r\n\r\nwhole")
				s, claims := plainServer(t, u.address)
				status, _, complete := callOverNetwork(t, s, method, "x")
				require.True(t, complete)
				require.Equal(t, fault.UpstreamLost.Answer().Status, status)
				require.Empty(t, claims.outcomes, "an outcome that is unknown was recorded")
			})
		}
	}
}
