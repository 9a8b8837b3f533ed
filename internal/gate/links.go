package gate

import (
	"context"
	"net"
	"slices"

	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/detour"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/quota"
)

// tunnelShare is the share of the descriptors, without those that are kept for files, that
// tunnels of peers may take.
const tunnelShare = 0.125

// maxTunnels returns the number of tunnels of a process with the given number of
// descriptors.
func maxTunnels(files int) int {
	return int(tunnelShare * float64(files-quota.ReservedFiles) / detour.DescriptorsPerTunnel)
}

// links are the connections of a host to the upstreams, its own and those of peers that
// it forwards.
type links struct {
	reach   *detour.Reach
	dialer  *detour.Dialer
	tunnels *detour.Server
}

// buildLinks builds the links. The state and the members must be there.
func (g *Gateway) buildLinks(metrics tally.Scope) {
	reach := detour.NewReach(g.state.Addresses, metrics, g.log)
	g.links = links{
		reach: reach,
		dialer: detour.NewDialer(detour.Options{
			Dial: g.network.Dial, Reach: reach, Members: g.members, Query: g.query, Group: g.group, Random: newRandom(), Log: g.log, Metrics: metrics,
		}),
		tunnels: detour.NewServer(detour.ServerOptions{
			Dial: g.network.Dial, Reach: reach, Allowed: g.state.TakesAt, Observe: g.observeHead, Leaving: g.leaving.Load,
			MaxTunnels: maxTunnels(quota.Files(g.settings.MaxOpenFiles)), Metrics: metrics, Log: g.log,
		}),
	}
	g.peerServer.SetTunnels(g.links.tunnels)
}

// dialUpstream connects to an upstream, through a peer if this host does not reach it.
func (g *Gateway) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	return g.links.dialer.Dial(ctx, address)
}

// Addresses returns the addresses of the upstreams that may be asked something: of all,
// if every one asked for a pause or is leaving, otherwise of the others.
func (s *state) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all, usable []string
	for _, r := range s.upstreams {
		if r.invalid {
			continue
		}
		all = append(all, r.Address)
		if !r.Leaving && s.notices.PauseLeft(r.Process()) == 0 {
			usable = append(usable, r.Address)
		}
	}
	if len(usable) > 0 {
		all = usable
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// query asks the upstream at an address anything, on a connection of dial.
func (g *Gateway) query(ctx context.Context, dial dialer.Func, address string) error {
	notice, err := g.adapter.Query(ctx, dial, address)
	g.state.observe(address, notice)
	return err
}

// observeHead takes note of what an answer that this host forwards to a peer says of further
// requests.
func (g *Gateway) observeHead(address string, head []byte) {
	if notice, ok := g.adapter.DecodeNotice(head); ok {
		g.state.observe(address, notice)
	}
}

// observe records a notice of the upstream at an address.
func (s *state) observe(address string, notice place.Notice) {
	if u, ok := s.at(address); ok {
		s.notices.Observe(u.Process(), notice)
	}
}

// TakesAt reports whether an upstream is registered at an address, has not said that it
// leaves, and has not asked this host for a pause.
func (s *state) TakesAt(address string) bool {
	u, ok := s.at(address)
	return ok && !s.notices.Leaving(u.Process()) && s.notices.PauseLeft(u.Process()) == 0
}

// at returns the upstream that is registered at an address.
func (s *state) at(address string) (place.Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.upstreams {
		if r.Address == address && !r.invalid {
			return r.Upstream, true
		}
	}
	return place.Upstream{}, false
}
