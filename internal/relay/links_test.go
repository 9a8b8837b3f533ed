package relay

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/place"
)

// Guards against sound upstreams that get no requests of any host because one host lost its
// links, and against failures of their own that count as such a loss.
func TestFailuresOfLinks(t *testing.T) {
	lose := func(net.Conn) {}
	cases := map[string]struct {
		cut    bool
		answer func(c net.Conn)
		want   place.Outcome
	}{
		"lost":               {false, lose, place.EngineFailed},
		"lost, cut":          {true, lose, place.LinkFailed},
		"not reached":        {false, nil, place.EngineFailed},
		"not reached, cut":   {true, nil, place.LinkFailed},
		"refuses, cut":       {true, func(c net.Conn) { write(c, "HTTP/1.1 503 x\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }, place.Rejected},
		"answers 500, cut":   {true, func(c net.Conn) { write(c, "HTTP/1.1 500 x\r\nSignature: s\r\nContent-Length: 0\r\n\r\n") }, place.EngineFailed},
		"answers whole, cut": {true, func(c net.Conn) { write(c, upstreamHead+"Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nok") }, place.Completed},
	}
	for name, tc := range cases {
		for _, path := range []string{"/plain/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				g := newGateway(t)
				g.cut.Store(tc.cut)
				g.addUpstream("u1", tc.answer)
				if tc.answer == nil {
					require.NoError(t, g.listeners["u1"].Close())
				}
				_, _, err := g.get(path)
				require.NoError(t, err)
				g.placer.mu.Lock()
				defer g.placer.mu.Unlock()
				require.Equal(t, tc.want, g.placer.outcomes["u1"])
			})
		}
	}
}
