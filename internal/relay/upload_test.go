package relay

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
)

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

// addEarlyUpstream adds an upstream that answers a request once it has read its header,
// and then calls finish.
func (g *gateway) addEarlyUpstream(id, answer string, finish func(c *net.TCPConn, body io.Reader)) {
	g.addListener(id, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		write(c, answer)
		time.Sleep(uploadPause)
		finish(c.(*net.TCPConn), r.Body)
	})
}

// upload sends a long request and returns the status and the body of the answer, and the
// error after which the body ended.
func (g *gateway) upload(path string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+path, strings.NewReader(strings.Repeat("x", longUpload)))
	require.NoError(g.t, err)
	req.Host = "h"
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a part of an answer without a length that looks complete: its upstream
// reset the connection while the request was still being written.
func TestEarlyAnswerIsReset(t *testing.T) {
	const head = upstreamHead + "Connection: close\r\n\r\n"
	parts := map[string]string{
		"/plain-once/x":  head + "part",
		"/plain/x":       head + "part",
		"/stream-once/x": streamHead + eventText(1),
		"/stream/x":      streamHead + eventText(1),
	}
	for path, answer := range parts {
		t.Run(path, func(t *testing.T) {
			g := newGateway(t)
			g.maxBody = longUpload
			g.addEarlyUpstream("u1", answer, func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) })
			for range earlyRounds {
				status, body, err := g.upload(path)
				require.False(t, status < http.StatusMultipleChoices && err == nil, "status %d and a body that looks complete: %q", status, body)
			}
		})
	}
}

// Guards against sound answers that are lost because a long request was still being written
// when they ended.
func TestEarlyAnswerIsWhole(t *testing.T) {
	answers := map[string]struct{ path, answer, body string }{
		"call":             {"/plain-once/x", upstreamHead + "Connection: close\r\n\r\nwhole", "whole"},
		"call with length": {"/plain-once/x", upstreamHead + "Content-Length: 5\r\n\r\nwhole", "whole"},
		"call in chunks":   {"/plain-once/x", upstreamHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole"},
		"stream":           {"/stream-once/x", streamHead + eventText(1), eventText(1)},
	}
	ends := map[string]func(c *net.TCPConn, body io.Reader){
		"request read to its end": func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) },
		"answer ended first": func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		},
		"answer ended, request not read": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(uploadPause)
		},
	}
	for kind, tc := range answers {
		for name, finish := range ends {
			t.Run(kind+", "+name, func(t *testing.T) {
				g := newGateway(t)
				g.maxBody = longUpload
				g.addEarlyUpstream("u1", tc.answer, finish)
				for range earlyRounds {
					status, body, err := g.upload(tc.path)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, tc.body, body)
				}
			})
		}
	}
}
