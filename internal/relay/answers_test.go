package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const streamHead = upstreamHead + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// wholeStream answers with events 1 to 3, or with those after the first one when
// the stream goes on there.
func wholeStream(first int) func(net.Conn) {
	return func(c net.Conn) {
		text := streamHead
		for id := first; id <= 3; id++ {
			text += eventText(id)
		}
		write(c, text)
	}
}

// Guards against an engine that sends bytes without end, or keeps a stalled stream
// alive with bytes that are no progress: the gateway's memory must stay bounded, and
// the stream must go on at another engine.
func TestStreamWithoutProgress(t *testing.T) {
	want := eventText(1) + eventText(2) + eventText(3)
	repeat := func(text string, pause time.Duration) func(net.Conn) {
		return func(c net.Conn) {
			for ok := write(c, streamHead+eventText(1)); ok; ok = write(c, text) {
				time.Sleep(pause)
			}
		}
	}
	cases := map[string]func(net.Conn){
		"event without end":       repeat(strings.Repeat("x", 64<<10), 0),
		"comments without end":    repeat(": "+strings.Repeat("x", 4<<10)+"\n\n", 0),
		"comment now and then":    repeat(": still here\n\n", 300*time.Millisecond),
		"blank line now and then": repeat("\n", 300*time.Millisecond),
		"event again and again":   repeat(eventText(1), 300*time.Millisecond),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			g.addUpstream("e1", answer)
			g.addUpstream("e2", wholeStream(2))
			_, body, err := g.get("/stream/x")
			require.NoError(t, err)
			events := ""
			for part := range strings.SplitSeq(body, "\n\n") {
				if part = strings.TrimLeft(part, "\n"); strings.HasPrefix(part, "id:") {
					events += part + "\n\n"
				}
			}
			require.Equal(t, want, events)
		})
	}
}

// Guards against a stream without a length that looks complete although its engine
// ended, and against such an end that is not recognised as that of an engine.
func TestStreamEndsWithConnection(t *testing.T) {
	whole := eventText(1) + eventText(2) + eventText(3)
	cases := map[string]struct {
		first string
		// second is the number of the first event of the second engine.
		second int
		ended  []string
	}{
		"between two events":        {eventText(1), 2, []string{"e1"}},
		"before the first event":    {"", 1, []string{"e1"}},
		"inside the first event":    {"id: 1\nda", 1, []string{"e1"}},
		"inside a later event":      {eventText(1) + "id: 2\nda", 2, []string{"e1"}},
		"after a comment, no event": {": hello\n\n", 1, []string{"e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			g.addUpstream("e1", func(c net.Conn) {
				g.endUpstream("e1")
				write(c, streamHead+tc.first)
			})
			g.addUpstream("e2", wholeStream(tc.second))
			_, body, err := g.get("/stream/x")
			require.NoError(t, err)
			require.Equal(t, whole, strings.TrimPrefix(body, ": hello\n\n"))
			g.placer.mu.Lock()
			defer g.placer.mu.Unlock()
			require.Equal(t, tc.ended, g.placer.ended)
		})
	}
}

// Guards against a whole stream without a length that counts as broken off although its
// engine runs.
func TestWholeStreamEndsWithConnection(t *testing.T) {
	g := newGateway(t)
	g.addUpstream("e1", wholeStream(1))
	_, body, err := g.get("/stream-once/x")
	require.NoError(t, err)
	require.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	require.Empty(t, g.placer.ended)
}

// Guards against a sound stream that is cut because its bytes come one at a time, or
// because its events come shortly before the stream would count as stalled.
func TestSlowStream(t *testing.T) {
	g := newGateway(t)
	g.addUpstream("e1", func(c net.Conn) {
		write(c, streamHead)
		for id := 1; id <= 3; id++ {
			for _, b := range []byte(eventText(id)) {
				write(c, string(b))
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
	_, body, err := g.get("/stream/x")
	require.NoError(t, err)
	require.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
}

// Guards against a response head without end that fills the memory.
func TestHeadWithoutEnd(t *testing.T) {
	g := newGateway(t)
	sent := make(chan int, 1)
	g.addUpstream("e1", func(c net.Conn) {
		n := 0
		for ok := write(c, upstreamHead); ok && n < 64<<20; ok = write(c, "X-Filler: "+strings.Repeat("x", 4<<10)+"\r\n") {
			n += 4 << 10
		}
		sent <- n
	})
	g.addUpstream("e2", wholeStream(1))
	status, body, err := g.get("/stream/x")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
	// The sockets' buffers hold some megabytes beyond what the gateway reads.
	require.Less(t, <-sent, 10<<20, "bytes of the head that the gateway took")
}

// Guards against an answer larger than the gateway's buffer that is cut when the
// attempt's own time limit is released, and against a large failure that is passed
// on although another upstream answers.
func TestLargePlainAnswer(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	answer := func(status string) func(net.Conn) {
		return func(c net.Conn) {
			write(c, fmt.Sprintf("HTTP/1.1 %s\r\nSignature: s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(large), large))
		}
	}
	cases := map[string]struct {
		statuses []string
		want     int
	}{
		"answer":                {[]string{"200 OK"}, 200},
		"answer after failures": {[]string{"500 Failed", "500 Failed", "200 OK"}, 200},
		"failures":              {[]string{"500 Failed", "500 Failed", "500 Failed"}, 500},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			for i, status := range tc.statuses {
				g.addUpstream(fmt.Sprintf("p%d", i), answer(status))
			}
			status, body, err := g.get("/plain/x")
			require.NoError(t, err)
			require.Equal(t, tc.want, status)
			require.Len(t, body, len(large))
		})
	}
}

// Guards against an answer that the next caller gets: an upstream that sends a second
// copy of each answer when the next request arrives on the same connection.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	g := newGateway(t)
	g.addListener("p1", func(c net.Conn) {
		second := ""
		for requests := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", upstreamHead, len(r.RequestURI), r.RequestURI)
			write(c, second+answer)
			second = answer
		}
	})
	for i := range 5 {
		path := fmt.Sprintf("/plain/%d", i)
		status, body, err := g.get(path)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, path, body)
	}
}

// Guards against an unexpected error in the search for another engine that ends the
// process: it runs outside the goroutine of the request.
func TestPanicInFailover(t *testing.T) {
	g := newGateway(t)
	g.placer.panics = true
	g.addUpstream("e1", func(c net.Conn) {
		write(c, streamHead+eventText(1)+eventText(2))
		for !strings.Contains(g.logged(), "search_failed") {
			time.Sleep(10 * time.Millisecond)
		}
		write(c, eventText(3))
	})
	_, body, err := g.get("/stream/x")
	require.NoError(t, err)
	require.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
	require.Contains(t, g.logged(), "search_failed")
	require.Contains(t, g.logged(), "r1")
}

// Guards against a process that was paused and then sends a request on a grant that
// has run out meanwhile.
func TestExpiredGrant(t *testing.T) {
	g := newGateway(t)
	g.placer.expired = "e1"
	g.addUpstream("e1", func(net.Conn) { t.Error("the request was sent on an expired grant") })
	g.addUpstream("e2", wholeStream(1))
	_, body, err := g.get("/stream/x")
	require.NoError(t, err)
	require.Equal(t, eventText(1)+eventText(2)+eventText(3), body)
}

// Guards against a call that is sent to an upstream which left, or asked for a pause,
// after it was granted.
func TestExpiredPlainGrant(t *testing.T) {
	g := newGateway(t)
	g.placer.expired = "p1"
	g.addUpstream("p1", func(net.Conn) { t.Error("the call was sent on an expired grant") })
	g.addUpstream("p2", func(c net.Conn) { write(c, upstreamHead+"Content-Length: 2\r\n\r\nok") })
	status, body, err := g.get("/plain/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
}

// Guards against an upstream that works on a request for longer than the gateway
// waits for this attempt.
func TestRemainingOfAttempt(t *testing.T) {
	g := newGateway(t)
	remaining := make(chan string, 1)
	g.addListener("p1", func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			remaining <- r.Header.Get("Remaining")
			write(c, upstreamHead+"Content-Length: 2\r\n\r\nok")
		}
	})
	_, _, err := g.get("/plain/x")
	require.NoError(t, err)
	got, err := time.ParseDuration(<-remaining)
	require.NoError(t, err)
	require.Positive(t, got)
	require.LessOrEqual(t, got, time.Duration(attemptShare*float64(20*time.Second)))
}
