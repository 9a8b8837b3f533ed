package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerEnds are the ways in which an upstream ends a connection.
var answerEnds = map[string]func(c net.Conn){
	"closed": func(net.Conn) {},
	"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
}

// Guards against an upstream that stops in the middle of the head of its answer, and whose
// caller gets a success with an empty or short body that looks complete.
func TestAnswerStopsInHead(t *testing.T) {
	const plainType, streamType = "Content-Type: text/plain\r\n", "Content-Type: text/event-stream\r\n"
	whole := eventText(1) + eventText(2) + eventText(3)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	cases := map[string]struct {
		path, head string
		repeatable bool
	}{
		"call":                   {"/plain/x", plainType + length, true},
		"call to run once":       {"/plain-once/x", plainType + length, false},
		"call, length first":     {"/plain-once/x", length + plainType, false},
		"call, chunks":           {"/plain-once/x", plainType + "Transfer-Encoding: chunked\r\n", false},
		"call without length":    {"/plain-once/x", plainType + "Connection: close\r\n", false},
		"stream":                 {"/stream/x", streamType + "Transfer-Encoding: chunked\r\n", true},
		"stream without length":  {"/stream/x", streamType + "Connection: close\r\n", true},
		"stream to run once":     {"/stream-once/x", streamType + "Transfer-Encoding: chunked\r\n", false},
		"stream, informational":  {"/stream-once/x", "\r\nHTTP/1.1 200 OK\r\nSignature: s\r\n" + streamType, false},
		"stream without type":    {"/stream-once/x", "Transfer-Encoding: chunked\r\n", false},
		"whole answer of engine": {"/stream-once/x", plainType + length, false},
	}
	for name, tc := range cases {
		for end, finish := range answerEnds {
			t.Run(name+", "+end, func(t *testing.T) {
				g := newGateway(t)
				head := upstreamHead + tc.head + "\r\n"
				var cut atomic.Int64
				g.addUpstream("u1", func(c net.Conn) {
					write(c, head[:cut.Load()])
					finish(c)
				})
				if tc.repeatable {
					g.addUpstream("u2", wholeStream(1))
				}
				for n := range len(head) {
					cut.Store(int64(n))
					status, body, err := g.get(tc.path)
					require.NoError(t, err, "%q", head[:n])
					if tc.repeatable {
						require.Equal(t, http.StatusOK, status, "%q", head[:n])
						require.Equal(t, whole, body, "%q", head[:n])
					} else {
						require.Equal(t, http.StatusBadGateway, status, "%q", head[:n])
					}
				}
			})
		}
	}
}

// Guards against a stream that looks complete because the engine at which it goes on stops
// in the middle of the head of its answer.
func TestContinuationStopsInHead(t *testing.T) {
	for end, finish := range answerEnds {
		t.Run(end, func(t *testing.T) {
			g := newGateway(t)
			var cut atomic.Int64
			g.addUpstream("e1", func(c net.Conn) { write(c, streamHead+eventText(1)+"id: 2\nda") })
			g.addUpstream("e2", func(c net.Conn) {
				write(c, streamHead[:cut.Load()])
				finish(c)
			})
			for n := range len(streamHead) {
				cut.Store(int64(n))
				status, body, err := g.get("/stream/x")
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, eventText(1), body)
				require.Error(t, err, "the stream looks complete after %q", streamHead[:n])
			}
		})
	}
}

// Guards against an answer without a length that looks complete although its upstream
// ended while it sent it.
func TestAnswerEndsWithConnection(t *testing.T) {
	const (
		head = upstreamHead + "Content-Type: application/json\r\nConnection: close\r\n\r\n"
		text = `{"order":7}`
	)
	whole := eventText(1) + eventText(2) + eventText(3)
	cases := map[string]struct {
		answer string
		ended  bool
		// complete says whether the caller gets this answer.
		complete bool
	}{
		"whole":                             {head + text, false, true},
		"empty":                             {head, false, false},
		"empty, upstream ended":             {head, true, false},
		"short, upstream ended":             {head + text[:5], true, false},
		"large":                             {head + strings.Repeat("x", 2*maxBufferedBody), false, true},
		"no content":                        {"HTTP/1.1 204 Nothing\r\nSignature: s\r\nConnection: close\r\n\r\n", true, true},
		"empty with a length, upstream end": {upstreamHead + "Content-Length: 0\r\n\r\n", true, true},
		"chunks, upstream ended":            {upstreamHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, true},
	}
	for name, tc := range cases {
		for _, path := range []string{"/plain/x", "/plain-once/x", "/stream/x", "/stream-once/x"} {
			if strings.HasPrefix(path, "/stream") && !strings.Contains(tc.answer, "application/json") {
				continue
			}
			t.Run(name+path, func(t *testing.T) {
				g := newGateway(t)
				g.addUpstream("u1", func(c net.Conn) {
					if tc.ended {
						g.endUpstream("u1")
					}
					write(c, tc.answer)
				})
				g.addUpstream("u2", wholeStream(1))
				status, body, err := g.get(path)
				require.NoError(t, err)
				_, want, _ := strings.Cut(tc.answer, "\r\n\r\n")
				switch repeatable := !strings.Contains(path, "-once"); {
				case !tc.complete && repeatable:
					require.Equal(t, whole, body)
				case !tc.complete:
					require.Equal(t, http.StatusBadGateway, status)
				case strings.Contains(tc.answer, "chunked"):
					require.Equal(t, "ok", body)
				default:
					require.Equal(t, want, body)
				}
			})
		}
	}
}

// Guards against a whole answer without a length that is lost because its upstream takes
// no other calls at the moment.
func TestAnswerOfBusyUpstream(t *testing.T) {
	g := newGateway(t)
	g.engines.dead.Store("u1")
	g.addUpstream("u1", func(c net.Conn) { write(c, upstreamHead+"Connection: close\r\n\r\nwhole") })
	status, body, err := g.get("/plain-once/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
}

// Guards against a large answer without a length that looks complete although its upstream
// ended after the beginning had been passed on.
func TestLargeAnswerEndsWithConnection(t *testing.T) {
	g := newGateway(t)
	g.addUpstream("u1", func(c net.Conn) {
		g.endUpstream("u1")
		write(c, upstreamHead+"Connection: close\r\n\r\n"+strings.Repeat("x", 2*maxBufferedBody))
	})
	_, _, err := g.get("/plain-once/x")
	require.Error(t, err)
}
