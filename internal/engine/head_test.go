package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Guards against a stream that looks complete, or counts as not run, although its engine
// stopped in the middle of the head of its answer or before its first frame.
func TestStreamStopsInHead(t *testing.T) {
	for name, head := range map[string]string{
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var cut atomic.Int64
			g := group.New(context.Background())
			g.Go("engine", func(context.Context) error {
				for {
					c, err := l.Accept()
					if err != nil {
						return nil //nolint:nilerr // the listener is closed at the end
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = c.Write([]byte(head[:cut.Load()]))
					}
					_ = c.Close()
				}
			})
			client := newClient()
			for n := range len(head) + 1 {
				cut.Store(int64(n))
				r, err := client.Start(t.Context(), l.Addr().String(), StartRequest{ID: "s"})
				if err == nil {
					_, err = r.Next()
					r.Close()
				}
				require.Equal(t, fault.UpstreamLost, fault.KindOf(err), "%q: %v", head[:n], err)
			}
			require.NoError(t, l.Close())
			require.NoError(t, g.Wait())
		})
	}
}
