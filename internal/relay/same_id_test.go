package relay

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// Guards against two requests with one ID, or none, whose grants are taken for one another
// because they are placed under the same ID.
func TestPlacementOfSameID(t *testing.T) {
	paths := []string{"/plain/x", "/stream/x", "/plain/x", "/stream/x"}
	for name, id := range map[string]string{"one ID": "r1", "no ID": ""} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			g.addUpstream("u1", func(c net.Conn) { write(c, upstreamHead+"Content-Length: 2\r\n\r\nok") })
			calls := group.New(t.Context())
			for _, path := range paths {
				calls.Go("caller", func(context.Context) error {
					_, _, err := g.send(http.MethodGet, path, id)
					return err
				})
			}
			require.NoError(t, calls.Wait())
			g.placer.mu.Lock()
			defer g.placer.mu.Unlock()
			require.GreaterOrEqual(t, len(g.placer.placed), len(paths))
			for placed, times := range g.placer.placed {
				require.Equal(t, 1, times, "requests were placed as %q", placed)
			}
		})
	}
}
