package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// maxTunnels is the number of tunnels through one host.
const maxTunnels = 8

// fleet is a set of hosts and upstreams on one network.
type fleet struct {
	t         *testing.T
	fabric    *netem.Fabric
	group     *group.Group
	upstreams []string
	hosts     map[string]*testHost

	mu sync.Mutex
	// requests counts those of each upstream, and ended its connections that its callers
	// closed.
	requests, ended map[string]int
}

// count adds to a count of an upstream.
func (f *fleet) count(counts map[string]int, upstream string, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts[upstream] += n
	return counts[upstream]
}

// testHost is one host, and its own view of the members.
type testHost struct {
	name    string
	fleet   *fleet
	reach   *Reach
	dialer  *Dialer
	server  *Server
	wire    *wire.Server
	leaving atomic.Bool
}

// Self implements Members. The first letter of a host is its failure domain.
func (h *testHost) Self() member.Member {
	return member.Member{Name: h.name, PeerAddress: h.name + ":1", FailureDomain: h.name[:1], State: member.Alive}
}

// Members implements Members.
func (h *testHost) Members() (members []member.Member) {
	for _, other := range h.fleet.hosts {
		members = append(members, other.Self())
	}
	return members
}

// runFleet runs a test with the given hosts and upstreams, in virtual time.
func runFleet(t *testing.T, hosts, upstreams string, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, fabric: netem.NewFabric(time.Millisecond), group: group.New(t.Context()),
			upstreams: strings.Fields(upstreams), hosts: map[string]*testHost{}, requests: map[string]int{}, ended: map[string]int{},
		}
		for _, name := range f.upstreams {
			l, err := f.fabric.Host(name).Listen(t.Context(), f.address(name))
			require.NoError(t, err)
			f.group.Go(name, func(context.Context) error { return f.serveUpstream(name, l) })
		}
		for _, name := range strings.Fields(hosts) {
			f.addHost(name)
		}
		for _, h := range f.hosts {
			h.start()
		}
		defer func() {
			f.group.Stop()
			f.fabric.Close()
			require.NoError(t, f.group.Wait())
		}()
		test(t, f)
	})
}

func (f *fleet) address(upstream string) string { return upstream + ":80" }

func (f *fleet) addresses() (all []string) {
	for _, name := range f.upstreams {
		all = append(all, f.address(name))
	}
	return all
}

func (f *fleet) addHost(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &testHost{name: name, fleet: f, reach: NewReach(f.addresses, tally.NoopScope, log)}
	dial := f.fabric.Host(name).Dial
	h.dialer = NewDialer(Options{
		Dial: dial, Reach: h.reach, Members: h, Query: query, Group: f.group, Random: rand.New(rand.NewPCG(1, 2)), Log: log, Metrics: tally.NoopScope,
	})
	h.server = NewServer(ServerOptions{
		Dial: dial, Reach: h.reach, Allowed: func(a string) bool { return strings.Contains(strings.Join(f.addresses(), " "), a) },
		Leaving: func() bool { return h.leaving.Load() }, MaxTunnels: maxTunnels, Metrics: tally.NoopScope, Log: log,
	})
	h.wire = wire.NewServer(f.group, wire.NewMux(), nil, log)
	h.wire.SetTunnels(h.server)
	f.hosts[name] = h
}

func (h *testHost) start() {
	l, err := h.fleet.fabric.Host(h.name).Listen(h.fleet.t.Context(), h.Self().PeerAddress)
	require.NoError(h.fleet.t, err)
	h.fleet.group.Go(h.name, func(ctx context.Context) error { return h.wire.Serve(ctx, l) })
	h.fleet.group.Go(h.name, h.dialer.Run)
}

// lastPeer returns the peer that opened the last tunnel of the host.
func (h *testHost) lastPeer() string {
	h.dialer.peers.mu.Lock()
	defer h.dialer.peers.mu.Unlock()
	return h.dialer.peers.last
}

// serveUpstream answers the lines of each connection. "end" ends the connection after an
// answer, and "stay" keeps it open.
func (f *fleet) serveUpstream(name string, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		f.group.Go(name, func(context.Context) error {
			defer func() { _ = c.Close() }()
			lines := bufio.NewScanner(c)
			for lines.Scan() {
				f.count(f.requests, name, 1)
				_, _ = io.WriteString(c, "answer of "+name)
				if lines.Text() == "end" {
					return nil
				}
			}
			f.count(f.ended, name, 1)
			return nil
		})
	}
}

// query is a Query.
func query(ctx context.Context, dial dialer.Func, address string) error {
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetReadDeadline(deadline)
	if _, err := io.WriteString(c, "end\n"); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}

// dial connects a host to an upstream within the time that relays have.
func (f *fleet) dial(host, upstream string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 400*time.Millisecond)
	defer cancel()
	return f.hosts[host].dialer.Dial(ctx, f.address(upstream))
}

// ask sends a request from a host to an upstream and returns the answer.
func (f *fleet) ask(host, upstream string) (string, error) {
	c, err := f.dial(host, upstream)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "end\n"); err != nil {
		return "", err
	}
	body, err := io.ReadAll(c)
	return string(body), err
}

// cutOff applies a kind of cut between a host and all upstreams.
func (f *fleet) cutOff(host string, kind func(f *netem.Fabric, a, b string)) {
	for _, upstream := range f.upstreams {
		kind(f.fabric, host, upstream)
	}
}

// resetAll resets the connections between two hosts, and new ones once they are accepted.
func resetAll(f *netem.Fabric, a, b string) {
	f.Break(a, b)
	f.Reset(a, b)
}

// cutOffKnown cuts a host off and waits until it knows.
func (f *fleet) cutOffKnown(host string) {
	f.cutOff(host, (*netem.Fabric).Refuse)
	for _, upstream := range f.upstreams {
		_, err := f.ask(host, upstream)
		require.NoError(f.t, err)
	}
	require.True(f.t, f.hosts[host].reach.Cut())
}
