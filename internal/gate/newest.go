package gate

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// MethodNewest is the peer call that returns the configuration document in force on a
// host if it is newer than that of the caller.
const MethodNewest = "gate.newest"

const (
	// A host that starts asks its peers for a newer configuration every newestInterval,
	// up to newestCalls times or until newestAnswers of them had none.
	newestInterval = 200 * time.Millisecond
	newestCalls    = 20
	newestAnswers  = 3
	// newestTimeout bounds such a call.
	newestTimeout = time.Second
)

// newestRequest names the version of the configuration in force on the caller.
type newestRequest struct {
	Version uint64 `json:"version"`
}

// registerNewest adds the handler of MethodNewest to a mux.
func (g *Gateway) registerNewest(m *wire.Mux) {
	m.Handle(MethodNewest, wire.Typed(func(_ context.Context, _ string, r newestRequest) (document, error) {
		return g.state.newerDocument(r.Version), nil
	}))
}

// learnNewest asks peers for a newer configuration than the platform holds: one that came
// back from a copy holds an older one until the operators write again, and this host has
// not seen what was in force before.
func (g *Gateway) learnNewest(ctx context.Context) error {
	answers := 0
	for n := 0; n < newestCalls && answers < newestAnswers; n++ {
		if !group.Sleep(ctx, newestInterval) {
			return ctx.Err()
		}
		table, peers := g.state.Table(), g.alivePeers()
		if table == nil || len(peers) == 0 {
			continue
		}
		peer := peers[n%len(peers)]
		d, err := g.askNewest(ctx, peer, table.Version())
		if err != nil {
			g.log.WithError(err).WithFields(logrus.Fields{"event": "newest_config_not_read", "member": peer.Name}).
				Debug("a host did not answer with its configuration; the next one is asked")
			continue
		}
		answers++
		if d.Key != "" {
			g.state.adoptDocument(d, peer.Name)
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// askNewest asks a peer for a configuration document newer than a version.
func (g *Gateway) askNewest(ctx context.Context, peer member.Member, version uint64) (document, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	var d document
	err := g.peerClient.Call(ctx, peer.PeerAddress, MethodNewest, newestRequest{Version: version}, &d)
	return d, err
}

// alivePeers returns the other hosts that are alive.
func (g *Gateway) alivePeers() []member.Member {
	self := g.members.Self().Name
	var peers []member.Member
	for _, m := range g.members.Members() {
		if m.Name != self && m.State == member.Alive {
			peers = append(peers, m)
		}
	}
	return peers
}
