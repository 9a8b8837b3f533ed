package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// newClient returns a client of a process with plenty of memory.
func newClient() *Client {
	memory := semaphore.NewWeighted(64 << 20)
	return NewClient(dialer.Transport(dialer.TCP, memory), memory)
}

// startRawEngine starts an engine that reads the head of a request on each connection,
// calls answer with it and closes it. It returns the engine's address.
func startRawEngine(t *testing.T, answer func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := group.New(context.Background())
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.NoError(t, g.Wait())
	})
	g.Go("engine", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener is closed at the end
			}
			g.Go("connection", func(context.Context) error {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					answer(c)
				}
				_ = c.Close()
				return nil
			})
		}
	})
	return l.Addr().String()
}

// calls are the calls of a client to an engine.
func calls(t *testing.T, client *Client, address string) map[string]func() error {
	return map[string]func() error{
		"start": func() error {
			r, err := client.Start(t.Context(), address, StartRequest{ID: "s"})
			if err == nil {
				r.Close()
			}
			return err
		},
		"order":     func() error { return client.Order(t.Context(), address, Order{Fence: 1, Kind: OrderLoad}) },
		"reserve":   func() error { return client.Reserve(t.Context(), address, "r", 1, 1) },
		"unreserve": func() error { return client.Unreserve(t.Context(), address, "r") },
		"cancel":    func() error { return client.Cancel(t.Context(), address, "s") },
		"load": func() error {
			_, err := client.Load(t.Context(), address)
			return err
		},
		"streams": func() error {
			_, err := client.Streams(t.Context(), address)
			return err
		},
		"events": func() error {
			_, _, err := client.CacheEvents(t.Context(), address, 0)
			return err
		},
	}
}

// Guards against a status that does not say that an engine did what it was asked for and
// counts as success, and against an order that is sent on to another address.
func TestStatusOfAnswers(t *testing.T) {
	const body = "Content-Length: 11\r\n\r\n{\"fence\":1}"
	cases := map[string]struct {
		head string
		kind fault.Kind
		ok   bool
	}{
		"200":                  {"HTTP/1.1 200 OK\r\n", 0, true},
		"000":                  {"HTTP/1.1 000 None\r\n", fault.UpstreamLost, false},
		"300":                  {"HTTP/1.1 300 Choices\r\n", fault.UpstreamLost, false},
		"301 without location": {"HTTP/1.1 301 Moved\r\n", fault.UpstreamLost, false},
		"302":                  {"HTTP/1.1 302 Found\r\nLocation: http://other/\r\n", fault.UpstreamLost, false},
		"307":                  {"HTTP/1.1 307 Elsewhere\r\nLocation: http://other/\r\n", fault.UpstreamLost, false},
		"399":                  {"HTTP/1.1 399 None\r\n", fault.UpstreamLost, false},
		"500":                  {"HTTP/1.1 500 Failed\r\n", fault.UpstreamFailed, false},
		"999":                  {"HTTP/1.1 999 None\r\n", fault.UpstreamLost, false},
		"blank in a name":      {"HTTP/1.1 200 OK\r\nX Note: 1\r\n", fault.UpstreamLost, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			other := startRawEngine(t, func(net.Conn) { t.Error("a call was sent on to another address") })
			head := strings.Replace(tc.head, "//other/", "//"+other+"/", 1)
			address := startRawEngine(t, func(c net.Conn) { _, _ = io.WriteString(c, head+body) })
			for call, do := range calls(t, newClient(), address) {
				err := do()
				if tc.ok {
					require.NoError(t, err, call)
					continue
				}
				require.Equal(t, tc.kind, fault.KindOf(err), "%s: %v", call, err)
			}
		})
	}
}

// endless sends text again and again until the connection is closed, and returns how many
// bytes were taken.
func endless(c net.Conn, text string) (taken int) {
	for {
		n, err := io.WriteString(c, text)
		taken += n
		if err != nil {
			return taken
		}
	}
}

// Guards against bodies that are no answers and count as success: a part of one, other
// bytes, or bytes without end, of which only a bounded number may be read.
func TestBodyOfControlAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	chunk := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"
	cases := map[string]struct {
		answer string
		// rest follows without end, unless it is empty.
		rest string
		// orders and queries are the kinds of the errors of the calls that ask an engine
		// to do or to tell something, 0 for success.
		orders, queries fault.Kind
	}{
		"whole":                       {head + "Content-Length: 11\r\n\r\n{\"fence\":1}", "", 0, 0},
		"whole, no length":            {head + "Connection: close\r\n\r\n{\"fence\":1}", "", 0, 0},
		"whole, chunks":               {head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", "", 0, 0},
		"nothing":                     {"HTTP/1.1 204 Done\r\n\r\n", "", 0, fault.UpstreamLost},
		"nothing, with a length":      {head + "Content-Length: 0\r\n\r\n", "", 0, fault.UpstreamLost},
		"nothing, no length":          {head + "\r\n", "", fault.UpstreamLost, fault.UpstreamLost},
		"part":                        {head + "Content-Length: 11\r\n\r\n{}", "", fault.UpstreamLost, fault.UpstreamLost},
		"part, no length":             {head + "\r\n{\"fence\":", "", fault.UpstreamLost, fault.UpstreamLost},
		"part, chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "", fault.UpstreamLost, fault.UpstreamLost},
		"other bytes":                 {head + "Content-Length: 6\r\n\r\n<html>", "", fault.UpstreamLost, fault.UpstreamLost},
		"bytes after it":              {head + "Content-Length: 6\r\n\r\n{}{}\r\n", "", fault.UpstreamLost, fault.UpstreamLost},
		"without end":                 {head + "\r\n{\"a\":\"", "xxxxxxxxxxxxxxxx", fault.UpstreamLost, fault.UpstreamLost},
		"without end, after a value":  {head + "\r\n{}", strings.Repeat(" ", 1<<16), fault.UpstreamLost, fault.UpstreamLost},
		"without end, chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n", chunk, fault.UpstreamLost, fault.UpstreamLost},
		"without end, trailers":       {head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "A: " + strings.Repeat("x", 1<<10) + "\r\n", fault.UpstreamLost, fault.UpstreamLost},
		"without end, a chunk's size": {head + "Transfer-Encoding: chunked\r\n\r\n2", strings.Repeat(";x", 1<<10), fault.UpstreamLost, fault.UpstreamLost},
		"head without end":            {head, "A: " + strings.Repeat("x", 1<<10) + "\r\n", fault.UpstreamLost, fault.UpstreamLost},
		"line of a head without end":  {head, strings.Repeat("x", 1<<10), fault.UpstreamLost, fault.UpstreamLost},
		"heads without end":           {"", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n", fault.UpstreamLost, fault.UpstreamLost},
		"failure without end":         {"HTTP/1.1 500 Failed\r\n\r\n", strings.Repeat("x", 1<<10), fault.UpstreamFailed, fault.UpstreamFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			address := startRawEngine(t, func(c net.Conn) {
				_, _ = io.WriteString(c, tc.answer)
				n := 0
				if tc.rest != "" {
					n = endless(c, tc.rest)
				}
				taken <- n
			})
			all := calls(t, newClient(), address)
			delete(all, "start")
			for call, do := range all {
				want := tc.orders
				if call == "load" || call == "streams" || call == "events" {
					want = tc.queries
				}
				err := do()
				require.Equal(t, want == 0, err == nil, "%s: %v", call, err)
				if want != 0 {
					require.Equal(t, want, fault.KindOf(err), "%s: %v", call, err)
				}
				limit := 16 << 20
				if call != "streams" && call != "events" {
					limit = 6 << 20
				}
				// The kernel takes some megabytes beyond what the client reads.
				require.Less(t, <-taken, limit, "bytes that %s took", call)
			}
		})
	}
}

// Guards against a stream that is kept although its engine sends nothing but bytes that
// carry no token, at any speed and without end.
func TestStreamWithoutFrames(t *testing.T) {
	const keepalive, frame = "{\"keepalive\":true}\n", "{\"attempt\":1,\"text\":\"x\"}\n"
	cases := map[string]struct {
		text, rest string
		frames     int
	}{
		"keepalives without end":                {"", strings.Repeat(keepalive, 1<<10), 0},
		"keepalives without end, after a frame": {frame, strings.Repeat(keepalive, 1<<10), 1},
		"line without end":                      {frame, strings.Repeat("x", 1<<10), 1},
		"many keepalives between two frames":    {strings.Repeat(strings.Repeat(keepalive, 1<<12)+frame, 4) + "x\n", "x", 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startRawEngine(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+tc.text)
				endless(c, tc.rest)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := newClient().Start(ctx, address, StartRequest{ID: "s"})
			require.NoError(t, err)
			defer r.Close()
			for range tc.frames {
				_, err := r.Next()
				require.NoError(t, err)
			}
			_, err = r.Next()
			require.Equal(t, fault.UpstreamLost, fault.KindOf(err), "%v", err)
		})
	}
}
