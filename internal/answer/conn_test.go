package answer

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// connect returns the two ends of a TCP connection, the first of which is checked.
func connect(t *testing.T, memory Memory) (checked net.Conn, other *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	raw, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = accepted.Close()
	})
	return NewConn(raw, memory), accepted.(*net.TCPConn)
}

// Guards against a reset that the kernel reports to the writer of the request only, so
// that the reader of the answer takes it for its end.
func TestResetIsReportedToWriter(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	cases := map[string]struct {
		finish func(t *testing.T, other *net.TCPConn)
		// whole says whether the answer had ended before the connection.
		whole bool
	}{
		"reset": {func(*testing.T, *net.TCPConn) {}, false},
		"reset after the end of the answer": {func(t *testing.T, other *net.TCPConn) {
			require.NoError(t, other.CloseWrite())
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			checked, other := connect(t, semaphore.NewWeighted(1<<20))
			_, err := io.WriteString(other, head+"part")
			require.NoError(t, err)
			tc.finish(t, other)
			require.NoError(t, other.SetLinger(0))
			require.NoError(t, other.Close())
			// The reset has arrived when Close returns: both ends are on this machine.
			_, err = io.WriteString(checked, "the rest of a request")
			require.NoError(t, err)
			data, err := io.ReadAll(checked)
			require.Equal(t, head+"part", string(data))
			if tc.whole {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Equal(t, fault.UpstreamLost, fault.KindOf(err))
		})
	}
}

// Guards against an answer that is held back by a request which nobody reads.
func TestAnswerEndsBeforeRequest(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nwhole"
	checked, other := connect(t, semaphore.NewWeighted(1<<20))
	g := group.New(t.Context())
	g.Go("request", func(context.Context) error {
		_, err := checked.Write(make([]byte, 64<<20))
		return err
	})
	_, err := io.WriteString(other, text)
	require.NoError(t, err)
	require.NoError(t, other.CloseWrite())
	data, err := io.ReadAll(checked)
	require.NoError(t, err)
	require.Equal(t, text, string(data))
	require.NoError(t, g.Wait())
}
