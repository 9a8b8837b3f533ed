// Package detour connects a host to upstreams that it cannot reach itself. A host that
// has lost its links to the upstreams opens a connection to a peer that reaches them, and
// the peer forwards the bytes: a tunnel. What is above the dial does not notice.
//
// A tunnel begins with an HTTP CONNECT request on the peer port. After the answer 200, the
// bytes to the upstream follow as they are. Those from the upstream come in frames, so that
// the end of the upstream's bytes differs from the loss of the tunnel.
package detour

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/member"
)

const (
	// headStart is the time that an attempt to connect has before the next one begins
	// beside it. It is several times the latency between failure domains.
	headStart = 100 * time.Millisecond
	// directTimeout bounds a direct attempt to connect. A host that does not connect for
	// that long, although a peer does, does not reach the upstream.
	directTimeout = 400 * time.Millisecond
	// maxPeers is the number of peers that are tried for one connection, without those that
	// refuse a tunnel because they are cut, leaving or full. Of all, maxChosen are asked.
	maxPeers  = 3
	maxChosen = 16
	// peerPause is how long a peer is passed over after a failure.
	peerPause = 2 * time.Second
	// checkInterval is the time between two checks of the links of a host that is cut, or
	// may be.
	checkInterval = 500 * time.Millisecond
	// queryTimeout bounds a query that checks a link.
	queryTimeout = 400 * time.Millisecond
	// maxQueries is the number of queries through peers that check one upstream.
	maxQueries = 6
	// verdictTimeout bounds the wait for whether peers reach an upstream that reset
	// connections of this host.
	verdictTimeout = 300 * time.Millisecond
	// cutUpstreams is the number of upstreams that peers reach and this host does not from
	// which on this host counts as cut.
	cutUpstreams = 2
)

// Query asks the process at an address anything, on a connection of dial. It returns nil
// once a byte of the answer has arrived.
type Query func(ctx context.Context, dial dialer.Func, address string) error

// Members is the membership of the hosts.
type Members interface {
	Self() member.Member
	Members() []member.Member
}
