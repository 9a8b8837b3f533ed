package gate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/detour"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/meter"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/relay"
	"github.com/verbenapier/verbenapier/internal/retry"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// idleTimeout is how long a connection of a caller may be idle. It is
	// longer than any limit that operators set, so that a caller never sends a
	// request on a connection that is being closed.
	idleTimeout = 5 * time.Minute
	// headerTimeout bounds the reading of a request header, and requestTimeout that of a
	// request that nobody reads to its end.
	headerTimeout  = 10 * time.Second
	requestTimeout = 20 * time.Second
	// writeTimeout bounds the answer to a request that is not for an upstream.
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// The platform kills the process at the end of the grace period, and callers do not
	// count on its last sixth. All requests have their answer, and connections are
	// closed, when these shares of the period have passed.
	answerShare = 0.85
	closeShare  = 0.95
	// failTimeout bounds the writing of the last answers after a part of the process has
	// failed.
	failTimeout = 500 * time.Millisecond
	// A host that leaves stops serving early if no request has arrived for
	// quietPeriod, but not before addressLifetimes times the lifetime of the
	// addresses that callers cache.
	quietPeriod       = 500 * time.Millisecond
	addressLifetimes  = 3.2
	leavePollInterval = 50 * time.Millisecond
	// announceTimeout bounds the announcement to the other hosts that this one leaves,
	// and that on the platform that it knows no other.
	announceTimeout = time.Second
	// gcPercent is the growth of the heap, in percent, that starts a collection.
	gcPercent = 60
)

// Network dials and listens for a gateway.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// Gateway is a verbenapier-gateway daemon.
type Gateway struct {
	settings params.Gateway
	network  Network
	adapter  Adapter
	log      logrus.FieldLogger
	started  time.Time

	group      *group.Group
	mux        *wire.Mux
	peerClient *wire.Client
	peerServer *wire.Server
	members    *member.Table
	feed       *feed.Feed
	follower   *feed.Follower
	crashes    *crash.Registry
	state      *state
	notices    *place.Notices
	places     *place.Client
	relay      *relay.Server
	drain      *drain.Drain
	quota      *quota.Quota
	links      links

	meter        *meter.Meter
	closeMetrics io.Closer
	droppedLines func() uint64
	leaving      atomic.Bool
}

// Options are the dependencies of a Gateway.
type Options struct {
	Settings params.Gateway
	Network  Network
	// Adapter builds the adapter of the platform.
	Adapter func(o AdapterOptions) Adapter
	Log     logrus.FieldLogger
	// DroppedLines returns the number of log lines that were not written.
	DroppedLines func() uint64
}

// New builds a gateway. It listens and connects only in Run.
func New(o Options) *Gateway {
	s := o.Settings
	g := &Gateway{
		settings: s, network: o.Network, started: time.Now(), droppedLines: o.DroppedLines,
		log: o.Log.WithField("node", s.Name), group: group.New(context.Background()), mux: wire.NewMux(), drain: drain.New(o.Log),
	}
	var metrics tally.Scope
	g.meter, metrics, g.closeMetrics = meter.New("verbenapier")
	files := quota.Files(s.MaxOpenFiles)
	g.quota = quota.New(quota.Options{
		Memory: int64(s.MemoryLimit) << 20, Files: files - detour.DescriptorsPerTunnel*maxTunnels(files), Log: g.log, Metrics: metrics.SubScope("clients"),
	})
	answers := quota.UpstreamAnswers(int64(s.MemoryLimit) << 20)
	g.notices = place.NewNotices(newRandom(), g.log)
	g.adapter = o.Adapter(AdapterOptions{
		Store: s.Store, Dial: o.Network.Dial, DialUpstream: g.dialUpstream, UpstreamAnswers: answers, StoreAnswers: quota.PlatformAnswers(int64(s.MemoryLimit) << 20), Notices: g.notices, Metrics: metrics.SubScope("store"), Log: g.log,
	})
	g.peerClient = wire.NewClient(g.group, o.Network.Dial)
	g.peerClient.SetName(s.Name)
	g.peerClient.SetLog(g.log)
	g.peerServer = wire.NewServer(g.group, g.mux, nil, g.log)
	g.buildShared(metrics)
	g.buildLinks(metrics.SubScope("links"))
	g.places = place.NewClient(place.ClientOptions{
		Members: g.members, Caller: g.peerClient, Pool: g.state.Pool, Cells: g.state.Cells, Upstreams: g.state.Upstreams,
		UpstreamGone: g.state.UpstreamGone, Notices: g.notices, Crashes: g.crashes,
		Random: newRandom(), Log: g.log,
	})
	g.places.Register(g.mux)
	g.registerNewest(g.mux)
	witnesses := place.NewWitnesses(place.WitnessesOptions{
		Members: g.members, Caller: g.peerClient, Upstreams: g.state.Registrations, Check: g.adapter.Reserver.Alive, Linked: g.links.reach.Linked, Notices: g.notices,
		Group: g.group, Random: newRandom(), Log: g.log,
	})
	witnesses.Register(g.mux)
	g.relay = relay.New(relay.Options{
		Codec: g.adapter.Codec, Placer: g.places, Reserver: g.adapter.Reserver, Witnesses: witnesses, Drain: g.drain, Quota: g.quota, Group: g.group, Table: g.state.Table, ConfigAge: g.feed.Age, CopyVersion: g.copyVersion, UpstreamID: g.state.UpstreamID,
		Budget: retry.New(s.RetryRatio, s.RetryAllowance, s.RetryWindow, func() int { return len(g.members.Members()) }),
		Dial:   g.dialUpstream, Linked: g.links.reach.Linked, Answers: answers, Random: newRandom(), Log: g.log, Metrics: metrics.SubScope("relay"),
	})
	return g
}

// buildShared builds what the gateways maintain together: the membership and
// the copy of the platform's keys, and what is known of content that ends engines.
func (g *Gateway) buildShared(metrics tally.Scope) {
	s := g.settings
	g.members = member.New(member.Options{
		Self: member.Member{
			Name: s.Name, Address: s.Advertise, PeerAddress: s.PeerAdvertise, FailureDomain: s.FailureDomain, Region: s.Region,
			Capacity: s.ProcessorShare,
		},
		Caller: g.peerClient, Random: newRandom(), Log: g.log, Seeds: s.Seeds,
	})
	g.members.Register(g.mux)
	g.feed = feed.New(g.log)
	g.follower = feed.NewFollower(feed.Options{
		Feed: g.feed, Platform: g.adapter.Source, Caller: g.peerClient, Members: g.members, Random: newRandom(), Log: g.log,
	})
	g.follower.Register(g.mux)
	g.crashes = crash.NewRegistry(crash.Options{
		Members: g.members, Caller: g.peerClient, Store: g.adapter.Quarantines, Group: g.group, Log: g.log, Metrics: metrics.SubScope("crash"),
		// The state is built after the registry, which it fills.
		Registered: func(process string) bool { return g.state.Registered(process) },
		Current:    func() bool { return g.state.Current() },
	})
	g.crashes.Register(g.mux)
	g.state = newState(s.Name, g.feed, g.adapter, g.crashes, g.notices, g.members.Members, g.group, g.log)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// copyVersion returns the era and the revision up to which this host knows all changes of
// the platform.
func (g *Gateway) copyVersion() (era, revision uint64) {
	v := g.feed.Version()
	return v.Era, v.Revision
}

// Ready implements Directory.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.state.Table() != nil }

// Addresses implements Directory. It returns the hosts that are alive; if there
// are none, those that are suspected; and if there are none of these, those
// that are leaving.
func (g *Gateway) Addresses(string, string) []string {
	for _, states := range [][]member.State{{member.Alive}, {member.Suspect}, {member.Leaving}} {
		var addresses []string
		for _, m := range g.members.Members() {
			if slices.Contains(states, m.State) {
				addresses = append(addresses, m.Address)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// Run serves until the context ends, then leaves: callers are referred to other
// hosts, and Run returns after they have moved and the requests in flight have
// ended, or shortly before the grace period ends.
func (g *Gateway) Run(ctx context.Context) error {
	quota.BoundHeap(int64(g.settings.MemoryLimit) << 20)
	debug.SetGCPercent(gcPercent)
	callers, others, err := g.serve(ctx)
	if err != nil {
		return err
	}
	g.group.Go("membership", g.members.Run)
	g.group.Go("feed", g.follower.Run)
	g.group.Go("meeting", guard.Loop(g.log, "meeting", g.meet))
	g.group.Go("newest configuration", guard.Loop(g.log, "newest configuration", g.learnNewest))
	g.group.Go("state", guard.Loop(g.log, "state", g.state.Run))
	g.group.Go("links", guard.Loop(g.log, "links", g.links.dialer.Run))
	g.group.Go("places", guard.Loop(g.log, "places", g.places.Run))
	g.group.Go("quarantines", guard.Loop(g.log, "quarantines", g.crashes.Run))
	g.log.WithFields(logrus.Fields{"event": "started", "listen": g.settings.Listen, "peers": g.settings.PeerListen}).
		Info("the gateway serves requests")
	servers := append([]*drain.Server{callers}, others...)
	select {
	case <-ctx.Done():
		now, grace := time.Now(), float64(g.settings.GracePeriod)
		g.leave(callers, now.Add(time.Duration(answerShare*grace)))
		g.stopServers(servers, now.Add(time.Duration(closeShare*grace)))
	case <-g.group.Context().Done():
		return guard.Fail(g.log, g.group, func() {
			g.relay.Leave()
			g.drain.Begin(time.Now())
			g.stopServers(servers, time.Now().Add(failTimeout))
		})
	}
	g.group.Stop()
	err = errors.Join(g.group.WaitFor(guard.StopTimeout), g.closeMetrics.Close())
	g.log.WithField("event", "stopped").Info("the gateway has stopped")
	return err
}

// serve listens on all ports and starts their servers: that of callers, and those for
// the platform and operators.
func (g *Gateway) serve(ctx context.Context) (callers *drain.Server, others []*drain.Server, err error) {
	peers, err := g.network.Listen(ctx, g.settings.PeerListen)
	if err != nil {
		return nil, nil, fault.Wrap(fault.Invalid, err, "cannot listen on %s", g.settings.PeerListen)
	}
	g.group.Go("peers", func(ctx context.Context) error { return g.peerServer.Serve(ctx, peers) })
	for _, port := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", g.settings.Listen, g.relay},
		{"ready", g.settings.ReadyListen, g.adapter.Ready(g)},
		{"directory", g.settings.DirectoryListen, g.adapter.Directory(g, g.settings.AddressLifetime)},
		{"metrics", g.settings.MetricsListen, g.metricsHandler()},
	} {
		listener, err := g.network.Listen(ctx, port.address)
		if err != nil {
			return nil, nil, fault.Wrap(fault.Invalid, err, "cannot listen on %s for %s", port.address, port.name)
		}
		config := g.quota.Watch(&http.Server{
			Handler: guard.Handler(g.log, port.name, port.handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			// Otherwise net/http itself would answer OPTIONS *.
			DisableGeneralOptionsHandler: true,
		})
		if callers != nil {
			config.WriteTimeout = writeTimeout
		}
		server := drain.NewServer(config)
		if callers == nil {
			callers = server
		} else {
			others = append(others, server)
		}
		listener = g.quota.Listener(listener)
		g.group.Go(port.name, func(context.Context) error {
			return fault.Wrap(fault.Internal, server.Serve(listener), "serving %s", port.name)
		})
	}
	return callers, others, nil
}
