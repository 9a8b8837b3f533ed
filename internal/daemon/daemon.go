// Package daemon builds and runs the parts of verbenapierd.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/alarm"
	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/claims"
	"github.com/verbenapier/verbenapier/internal/config"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/limits"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/meter"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/poison"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// writeTimeout bounds each write to a caller. If a caller does not read for
	// that long, the write fails and the response is cut off.
	writeTimeout = 15 * time.Second
	// leaveTimeout bounds the announcement to other nodes that this host leaves.
	leaveTimeout = 3 * time.Second
	// drainCheckInterval is the interval at which a draining daemon checks
	// whether requests are still in flight.
	drainCheckInterval = 100 * time.Millisecond
	// settleTime is the time between the drain and the closing of connections.
	// During this time, callers read the end of their responses and other nodes
	// take over the cells.
	settleTime = 3 * time.Second
	// closeTimeout bounds the orderly shutdown of callers' connections. After it,
	// the remaining connections are closed at once.
	closeTimeout = 5 * time.Second
	// failTimeout bounds the end of requests in flight after a part of the daemon has
	// failed.
	failTimeout = 300 * time.Millisecond
)

// Network opens the connections and ports of a daemon.
type Network interface {
	// Dial opens a connection to an address of the form host:port.
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// Daemon is one instance of verbenapierd.
type Daemon struct {
	network     Network
	settings    params.Settings
	log         logrus.FieldLogger
	incarnation uint64
	started     time.Time

	group      *group.Group
	store      *plat.Client
	tls        nodeTLS
	mux        *wire.Mux
	peerClient *wire.Client
	peerServer *wire.Server
	members    *member.Table
	config     *config.Manager
	hosts      *hosts
	cells      *cellSet
	entry      *entry.Server
	drain      *drain.Drain
	quota      *quota.Quota
	// answers is the memory of answers of upstreams.
	answers answer.Memory
	claims  *claims.Log
	poison  *poison.Registry
	content *crash.Registry
	limits  *limits.Limiter
	alarms  *alarm.Monitor

	meter         *meter.Meter
	metrics       tally.Scope
	metricsCloser io.Closer

	claimsRefused atomic.Uint64

	drainOnce      sync.Once
	drainRequested chan struct{}
	drainStarted   atomic.Pointer[time.Time]
}

// New creates a daemon from settings that have been validated. The daemon opens
// no port and sends nothing before Run.
func New(settings params.Settings, network Network, log logrus.FieldLogger) (*Daemon, error) {
	tlsConfigs, err := newNodeTLS(settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		network:        network,
		settings:       settings,
		log:            log.WithField("node", settings.Name),
		incarnation:    uint64(time.Now().UnixMicro()),
		started:        time.Now(),
		group:          group.New(context.Background()),
		tls:            tlsConfigs,
		mux:            wire.NewMux(),
		drainRequested: make(chan struct{}),
		drain:          drain.New(log),
	}
	d.meter, d.metrics, d.metricsCloser = meter.New("verbenapier")
	d.quota = quota.New(quota.Options{
		Memory: int64(settings.MemoryLimit) << 20, Files: quota.Files(settings.MaxOpenFiles), Log: d.log, Metrics: d.metrics.SubScope("clients"),
	})
	d.answers = quota.UpstreamAnswers(int64(settings.MemoryLimit) << 20)
	platformAnswers := quota.PlatformAnswers(int64(settings.MemoryLimit) << 20)
	d.store, err = plat.NewClient(plat.Options{
		Addresses: settings.Platform, Transport: dialer.Transport(network.Dial, platformAnswers), Memory: platformAnswers, Scope: d.metrics.SubScope("platform"), Log: d.log,
	})
	if err != nil {
		return nil, err
	}
	d.peerClient = wire.NewClient(d.group, dialer.Secure(network.Dial, tlsConfigs.client))
	d.peerClient.SetLog(d.log)
	d.peerServer = wire.NewServer(d.group, d.mux, tlsConfigs.server, d.log)
	d.buildCluster()
	d.buildEntry()
	d.buildAlarms()
	return d, nil
}

// buildCluster creates the parts that work together with other nodes: the host
// list, the membership, the configuration and the cells.
func (d *Daemon) buildCluster() {
	d.hosts = newHosts(d.store, d.peerClient, d.log)
	d.hosts.register(d.mux)
	d.members = member.New(member.Options{
		Self: member.Member{
			Name: d.settings.Name, Address: d.settings.Advertise, PeerAddress: d.settings.PeerAdvertise,
			FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
			Incarnation: d.incarnation, State: member.Alive,
		},
		Caller: d.peerClient, Random: newRandom(), Log: d.log, Hosts: d.hosts,
	})
	d.members.Register(d.mux)
	d.hosts.setMembership(d.members)
	d.config = config.New(config.Options{
		Store: d.store, Caller: d.peerClient, Members: d.members, Random: newRandom(), Log: d.log,
		Join: (&joiner{}).join,
	})
	d.config.Register(d.mux)
	d.members.SetRevisions(d.config)
	d.cells = &cellSet{
		name: d.settings.Name, maxEngines: d.settings.CellEngines, hosts: d.hosts, members: d.members,
		document: d.document, caller: d.peerClient, store: d.store, engines: engine.NewClient(dialer.Transport(d.network.Dial, d.answers), d.answers), log: d.log,
		metrics: d.metrics.SubScope("sched"), owned: map[string]*ownedCell{},
	}
	d.cells.register(d.mux)
}

// buildEntry creates the server of callers' requests.
func (d *Daemon) buildEntry() {
	d.entry = entry.New(entry.Options{
		Name: d.settings.Name, Incarnation: d.incarnation, FailureDomain: d.settings.FailureDomain,
		Limits: entry.Limits{
			MaxBody: int64(d.settings.MaxBodyBytes), MaxRequests: int64(d.settings.MaxRequests), BodyTimeout: d.settings.ReadTimeout, WriteTimeout: writeTimeout,
		},
		Configuration: documentSource{d.document},
		Cells:         d.cells,
		Engines:       entryEngines{d.cells.engines},
		Witnesses:     d.buildWitnesses(),
		Quarantine:    d.buildQuarantine(),
		Content:       d.buildContent(),
		Admission:     d.buildAdmission(),
		Claims:        d.buildClaims(),
		Directory: &directory{
			members: d.members.Members, hosts: d.hosts, failureDomain: d.settings.FailureDomain,
		},
		Drain: d.drain, Quota: d.quota, Dial: d.network.Dial, Answers: d.answers, Group: d.group, Log: d.log, Metrics: d.metrics.SubScope("entry"),
	})
}

// document returns the document in force and its revision.
func (d *Daemon) document() (*confd.Document, uint64, error) {
	snapshot, err := d.config.Require()
	if err != nil {
		return nil, 0, err
	}
	return snapshot.Document, snapshot.Manifest.Revision, nil
}

// documentSource adapts a function to entry.Configuration.
type documentSource struct {
	get func() (*confd.Document, uint64, error)
}

func (s documentSource) Document() (*confd.Document, uint64, error) { return s.get() }

// entryEngines adapts the engine client to entry.Engines.
type entryEngines struct{ *engine.Client }

func (e entryEngines) Start(ctx context.Context, address string, req engine.StartRequest) (entry.Frames, error) {
	return toFrames(e.Client.Start(ctx, address, req))
}

func (e entryEngines) Resume(ctx context.Context, address, id string, attempt, from int) (entry.Frames, error) {
	return toFrames(e.Client.Resume(ctx, address, id, attempt, from))
}

// toFrames converts the results of the engine client. On an error it returns a
// nil interface, since a nil *engine.Reader would become an interface that is
// not nil.
func toFrames(r *engine.Reader, err error) (entry.Frames, error) {
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Run serves until the context ends, Drain is called or a part of the daemon
// fails. It then refuses new requests, announces to other nodes that this host
// leaves, waits for the requests in flight until the drain timeout, and stops. If a
// part fails it stops within a second.
func (d *Daemon) Run(ctx context.Context) error {
	quota.BoundHeap(int64(d.settings.MemoryLimit) << 20)
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	callers := d.callerServer()
	d.group.Go("callers", func(context.Context) error {
		return fault.Wrap(fault.Internal, callers.Serve(listeners.callers), "serving callers")
	})
	d.group.Go("peers", func(ctx context.Context) error { return d.peerServer.Serve(ctx, listeners.peers) })
	d.group.Go("hosts", guard.Loop(d.log, "hosts", d.hosts.Run))
	d.group.Go("membership", d.members.Run)
	d.group.Go("configuration", d.config.Run)
	d.group.Go("cells", d.cells.Run)
	d.group.Go("renewals", guard.Loop(d.log, "renewals", d.entry.Run))
	d.group.Go("claims", d.claims.Run)
	d.group.Go("quarantine", d.poison.Run)
	d.group.Go("content", guard.Loop(d.log, "content", d.content.Run))
	d.group.Go("limits", guard.Loop(d.log, "limits", d.limits.Run))
	d.runAdmin(listeners.admin)
	d.log.WithFields(logrus.Fields{"event": "daemon_started", "listen": listeners.callers.Addr().String()}).
		Info("the daemon serves requests")

	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	case <-d.group.Context().Done():
		return guard.Fail(d.log, d.group, func() { d.failCallers(callers) })
	}
	d.leave(callers)
	d.group.Stop()
	err = errors.Join(d.group.WaitFor(guard.StopTimeout), d.metricsCloser.Close())
	d.log.WithField("event", "daemon_stopped").Info("the daemon has stopped")
	return err
}

// Drain implements admin.Drainer. It refuses new requests, announces to other
// nodes that this host leaves and makes Run drain and stop. It returns after
// the announcement and does not wait for requests in flight.
func (d *Daemon) Drain(ctx context.Context) error {
	d.entry.Leave()
	err := d.members.Leave(ctx)
	d.drainOnce.Do(func() { close(d.drainRequested) })
	return err
}

// leave announces that this host leaves, waits for the requests in flight and
// closes callers' connections. Idle connections stay open until the end of the
// drain, because a request that a caller has just sent over such a connection
// would otherwise get no response. After a request is refused, its connection is
// closed.
func (d *Daemon) leave(callers *drain.Server) {
	d.entry.Leave()
	now := time.Now()
	d.drainStarted.Store(&now)
	d.drain.Begin(now.Add(d.settings.DrainTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := d.members.Leave(ctx); err != nil {
		d.log.WithError(err).WithField("event", "leave_not_announced").Warn("other nodes were not told that this host leaves")
	}
	cancel()
	d.log.WithFields(logrus.Fields{"event": "draining", "requests": d.entry.InFlight()}).Info("this host leaves")

	ctx, cancel = context.WithTimeout(d.group.Context(), d.settings.DrainTimeout)
	defer cancel()
	for d.entry.InFlight() > 0 && sleep(ctx, drainCheckInterval) {
	}
	if n := d.entry.InFlight(); n > 0 {
		d.log.WithFields(logrus.Fields{"event": "drain_incomplete", "requests": n}).
			Error("the drain timeout passed with requests in flight")
	}
	sleep(d.group.Context(), settleTime)
	if d.group.Context().Err() != nil {
		// A part of the daemon has failed meanwhile.
		d.drain.Begin(time.Now())
	}
	d.stopCallers(callers, closeTimeout)
}

// stopCallers answers the requests on callers' connections for at most the given time,
// and closes these.
func (d *Daemon) stopCallers(callers *drain.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := callers.Stop(ctx); err != nil {
		d.log.WithError(err).WithFields(logrus.Fields{"event": "requests_cut", "requests": d.entry.InFlight()}).
			Warn("requests were still running when this host stopped")
	}
	if err := callers.Close(); err != nil {
		d.log.WithError(err).WithField("event", "stop_failed").Warn("the callers' port could not be closed")
	}
}

// failCallers answers the requests in flight and closes callers' connections when a part
// of the daemon has failed.
func (d *Daemon) failCallers(callers *drain.Server) {
	d.drain.Begin(time.Now())
	d.stopCallers(callers, failTimeout)
}

type listeners struct{ callers, peers, admin net.Listener }

// listen opens the ports for callers, peers and operators. On an error it
// closes those that it has opened.
func (d *Daemon) listen(ctx context.Context) (l listeners, err error) {
	var open []net.Listener
	defer func() {
		if err != nil {
			for _, l := range open {
				_ = l.Close()
			}
		}
	}()
	for _, port := range []struct {
		address  string
		listener *net.Listener
	}{
		{d.settings.Listen, &l.callers}, {d.settings.PeerListen, &l.peers}, {d.settings.AdminListen, &l.admin},
	} {
		*port.listener, err = d.network.Listen(ctx, port.address)
		if err != nil {
			return l, fault.Wrap(fault.Invalid, err, "cannot listen on %s", port.address)
		}
		open = append(open, *port.listener)
	}
	l.callers = d.quota.Listener(l.callers)
	if l.callers, err = d.secureCallers(l.callers); err != nil {
		return l, err
	}
	return l, nil
}

// secureCallers adds TLS to the callers' port if the settings name a
// certificate.
func (d *Daemon) secureCallers(l net.Listener) (net.Listener, error) {
	if d.settings.CallerTLS.Certificate == "" {
		return l, nil
	}
	if _, err := d.settings.CallerTLS.Load(); err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		// Each handshake reads the certificate again, so that a rotated one is
		// used without a restart.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, err := d.settings.CallerTLS.Load()
			return &pair, err
		},
	}), nil
}

// callerServer returns the HTTP server of the callers' port.
func (d *Daemon) callerServer() *drain.Server {
	return drain.NewServer(d.quota.Watch(&http.Server{
		Handler:           d.entry,
		MaxHeaderBytes:    d.settings.MaxHeaderBytes,
		ReadHeaderTimeout: d.settings.ReadTimeout,
		IdleTimeout:       d.settings.IdleTimeout,
		// Otherwise net/http itself would answer OPTIONS *.
		DisableGeneralOptionsHandler: true,
	}))
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
