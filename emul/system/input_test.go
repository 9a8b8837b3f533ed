package system

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// readTimeout is the default time limit for reading a whole request.
	readTimeout = 30 * time.Second
	// inputCallers is the number of callers that misbehave at once. It is below 16,
	// the number of bodies of the maximum size for which a node has memory.
	inputCallers = 12
	// requestHead is the beginning of a valid request.
	requestHead = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + shopKey + "\r\n"
)

// badInput describes a caller that misbehaves on a connection of its own.
type badInput struct {
	send func(ctx context.Context, conn net.Conn)
	// status is the expected status of the answer. 0 means that the connection must
	// be closed without an answer.
	status int
	// timeLimit is the time within which the node must answer or close the
	// connection.
	timeLimit time.Duration
}

// trickle sends head at once and then one byte per second.
func trickle(head string) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for err == nil && ctx.Err() == nil {
			wait(ctx, time.Second)
			_, err = conn.Write([]byte{'a'})
		}
	}
}

// write sends text at once and nothing afterwards.
func write(text string) func(context.Context, net.Conn) {
	return func(_ context.Context, conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// Guards against callers whose malformed, endless or slow input holds connections,
// goroutines or memory for longer than the time limit.
func TestBadInput(t *testing.T) {
	for name, in := range map[string]badInput{
		"body cut in the middle": {
			timeLimit: readTimeout + time.Second, status: http.StatusRequestTimeout,
			send: write(requestHead + "Content-Length: 1000\r\n\r\n{\"model\":"),
		},
		"chunk cut in the middle": {
			timeLimit: readTimeout + time.Second, status: http.StatusRequestTimeout,
			send: write(requestHead + "Transfer-Encoding: chunked\r\n\r\n40\r\n{\"model\":"),
		},
		"header flood": {
			timeLimit: time.Second, status: http.StatusRequestHeaderFieldsTooLarge,
			send: write(requestHead + strings.Repeat("X-Flood: "+strings.Repeat("a", 1000)+"\r\n", 200)),
		},
		"slow header": {timeLimit: readTimeout + time.Second, send: trickle(requestHead + "X-Slow: ")},
		"slow body": {
			timeLimit: readTimeout + time.Second, status: http.StatusRequestTimeout,
			send: trickle(requestHead + "Content-Length: 1000\r\n\r\n{\"model\":\""),
		},
		"slow body without a key": {
			timeLimit: readTimeout + time.Second, status: http.StatusUnauthorized,
			send: trickle("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"),
		},
		"body too large": {
			timeLimit: time.Second, status: http.StatusRequestEntityTooLarge,
			send: write(requestHead + "Content-Length: 999999999\r\n\r\n{"),
		},
		"not HTTP": {timeLimit: time.Second, status: http.StatusBadRequest, send: write("\x16\x03\x01 hello\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { in.run(t) })
		})
	}
}

func (in badInput) run(t *testing.T) {
	d := deploy(t)
	defer d.close()
	goroutines, memory := resourceUsage()
	g := group.New(t.Context())
	for range inputCallers {
		g.Go("caller", func(ctx context.Context) error {
			conn, err := d.net.Host(callerHost).Dial(ctx, nodeAddr(0, 80))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			sender := group.New(ctx)
			sender.Go("send", func(ctx context.Context) error { in.send(ctx, conn); return nil })
			begin := time.Now()
			require.NoError(t, conn.SetReadDeadline(begin.Add(in.timeLimit)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if in.status == 0 {
				require.Error(t, err)
				require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			} else {
				require.NoError(t, err)
				require.Equal(t, in.status, resp.StatusCode)
				_ = resp.Body.Close()
			}
			require.Less(t, time.Since(begin), in.timeLimit, "time until the answer or the closed connection")
			cancel()
			return sender.Wait()
		})
	}
	require.NoError(t, g.Wait())
	d.checkResources(goroutines, memory)
}

// resourceUsage returns the number of goroutines and the bytes of heap in use.
func resourceUsage() (goroutines int, memory uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return runtime.NumGoroutine(), stats.HeapAlloc
}

// checkResources checks that the numbers of goroutines and of bytes of heap are the
// same as before the callers, with a margin for the background work of the processes.
// It also checks that no engine memory is in use and that the node still answers.
func (d *deployment) checkResources(goroutines int, memory uint64) {
	time.Sleep(settleTime)
	goroutinesAfter, memoryAfter := resourceUsage()
	d.t.Logf("goroutines %d before, %d after; heap bytes %d before, %d after", goroutines, goroutinesAfter, memory, memoryAfter)
	require.Less(d.t, goroutinesAfter, goroutines+inputCallers/2, "goroutines")
	require.Less(d.t, memoryAfter, memory+4<<20, "memory")
	require.Zero(d.t, d.usedTokens())
	c := d.newCaller(shopKey)
	defer c.close()
	require.True(d.t, c.stream(0, "after", 2, 10*time.Second).ok())
}
