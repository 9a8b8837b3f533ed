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
	"github.com/verbenapier/verbenapier/internal/claims"
	"github.com/verbenapier/verbenapier/internal/config"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/limits"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/meter"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/poison"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// bufferedBodies is how many bodies of the largest size may be in memory.
	bufferedBodies = 16
	// writeTimeout bounds each write to a caller. A caller that stops reading
	// is given up after it.
	writeTimeout = 15 * time.Second
	// leaveTimeout bounds the announcement that this host leaves.
	leaveTimeout = 3 * time.Second
	// drainPoll is how often a draining daemon counts its requests.
	drainPoll = 100 * time.Millisecond
	// settleTime lets callers read the end of their answers, and other nodes
	// take over the cells, before connections close.
	settleTime = 3 * time.Second
	// closeTimeout bounds the closing of callers' connections.
	closeTimeout = 5 * time.Second
)

// Network opens the connections and ports of a daemon.
type Network interface {
	// Dial opens a connection to an address of the form host:port.
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// Daemon is one verbenapierd.
type Daemon struct {
	network     Network
	settings    params.Settings
	log         logrus.FieldLogger
	incarnation uint64
	started     time.Time

	group   *group.Group
	store   *plat.Client
	tls     peerTLS
	mux     *wire.Mux
	caller  *wire.Client
	peers   *wire.Server
	members *member.Table
	config  *config.Keeper
	hosts   *hosts
	cells   *cellSet
	entry   *entry.Server
	claims  *claims.Log
	poison  *poison.Registry
	limits  *limits.Limiter
	alarms  *alarm.Board

	meter        *meter.Meter
	metrics      tally.Scope
	closeMetrics io.Closer

	claimsRefused atomic.Uint64

	drainOnce    sync.Once
	draining     chan struct{}
	drainStarted atomic.Pointer[time.Time]
}

// New builds a daemon from checked settings. It opens no port and calls
// nobody before Run.
func New(settings params.Settings, network Network, log logrus.FieldLogger) (*Daemon, error) {
	secured, err := newPeerTLS(settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		network:     network,
		settings:    settings,
		log:         log.WithField("node", settings.Name),
		incarnation: uint64(time.Now().UnixMicro()),
		started:     time.Now(),
		group:       group.New(context.Background()),
		tls:         secured,
		mux:         wire.NewMux(),
		draining:    make(chan struct{}),
	}
	d.meter, d.metrics, d.closeMetrics = meter.New("verbenapier")
	d.store, err = plat.NewClient(plat.Options{
		Addresses: settings.Platform, Transport: dialer.Transport(network.Dial), Scope: d.metrics.SubScope("platform"),
	})
	if err != nil {
		return nil, err
	}
	d.caller = wire.NewClient(d.group, dialer.Secure(network.Dial, secured.client))
	d.peers = wire.NewServer(d.group, d.mux, secured.server, d.log)
	d.buildCluster()
	d.buildEntry()
	d.buildAlarms()
	return d, nil
}

// buildCluster builds the parts that nodes share: membership, configuration
// and cells.
func (d *Daemon) buildCluster() {
	d.hosts = newHosts(d.store, d.caller, d.log)
	d.hosts.register(d.mux)
	d.members = member.New(member.Options{
		Self: member.Member{
			Name: d.settings.Name, Address: d.settings.Advertise, PeerAddress: d.settings.PeerAdvertise,
			FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
			Incarnation: d.incarnation, State: member.Alive,
		},
		Caller: d.caller, Random: newRandom(), Log: d.log, Hosts: d.hosts,
	})
	d.members.Register(d.mux)
	d.hosts.follow(d.members)
	d.config = config.New(config.Options{
		Store: d.store, Caller: d.caller, Members: d.members, Random: newRandom(), Log: d.log,
		Join: (&joiner{}).join,
	})
	d.config.Register(d.mux)
	d.members.Carry(d.config)
	d.cells = &cellSet{
		name: d.settings.Name, maxEngines: d.settings.CellEngines, hosts: d.hosts, members: d.members,
		document: d.document, caller: d.caller, store: d.store, engines: engine.NewClient(dialer.Transport(d.network.Dial)), log: d.log,
		metrics: d.metrics.SubScope("sched"), owned: map[string]*ownedCell{},
	}
	d.cells.register(d.mux)
}

func (d *Daemon) buildEntry() {
	d.entry = entry.New(entry.Options{
		Name: d.settings.Name, Incarnation: d.incarnation, FailureDomain: d.settings.FailureDomain,
		Limits: entry.Bounds{
			MaxBody: int64(d.settings.MaxBodyBytes), MaxBuffered: bufferedBodies * int64(d.settings.MaxBodyBytes),
			MaxRequests: int64(d.settings.MaxRequests), BodyTimeout: d.settings.ReadTimeout, WriteTimeout: writeTimeout,
		},
		Configuration: documentSource{d.document},
		Cells:         d.cells,
		Engines:       engines{d.cells.engines},
		Quarantine:    d.buildQuarantine(),
		Admission:     d.buildLimits(),
		Claims:        d.buildClaims(),
		Directory: &directory{
			members: d.members.Members, hosts: d.hosts, failureDomain: d.settings.FailureDomain,
		},
		Dial: d.network.Dial, Group: d.group, Log: d.log, Metrics: d.metrics.SubScope("entry"),
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

type documentSource struct {
	get func() (*confd.Document, uint64, error)
}

func (s documentSource) Document() (*confd.Document, uint64, error) { return s.get() }

// engines adapts the engine client to the entry package.
type engines struct{ *engine.Client }

func (e engines) Start(ctx context.Context, address string, req engine.StartRequest) (entry.Frames, error) {
	return frames(e.Client.Start(ctx, address, req))
}

func (e engines) Resume(ctx context.Context, address, id string, attempt, from int) (entry.Frames, error) {
	return frames(e.Client.Resume(ctx, address, id, attempt, from))
}

// frames keeps a nil reader from becoming a non-nil interface.
func frames(r *engine.Reader, err error) (entry.Frames, error) {
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Run serves until the context ends, then leaves: it announces that, refuses
// new requests, lets the others end and stops.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	callers := d.callerServer()
	d.group.Go("callers", func(context.Context) error { return serve(callers, listeners.callers) })
	d.group.Go("peers", func(ctx context.Context) error { return d.peers.Serve(ctx, listeners.peers) })
	d.group.Go("hosts", d.hosts.Run)
	d.group.Go("membership", d.members.Run)
	d.group.Go("configuration", d.config.Run)
	d.group.Go("cells", d.cells.Run)
	d.group.Go("renewals", d.entry.Run)
	d.group.Go("claims", d.claims.Run)
	d.group.Go("quarantine", d.poison.Run)
	d.group.Go("limits", d.limits.Run)
	d.runOperators(listeners.admin)
	d.log.WithFields(logrus.Fields{"event": "daemon_started", "listen": listeners.callers.Addr().String()}).
		Info("the daemon serves")

	select {
	case <-ctx.Done():
	case <-d.draining:
	case <-d.group.Context().Done():
	}
	d.leave(callers)
	d.group.Stop()
	err = errors.Join(d.group.Wait(), d.closeMetrics.Close())
	d.log.WithField("event", "daemon_stopped").Info("the daemon has stopped")
	return err
}

// Drain makes the daemon leave. It returns after the announcement.
func (d *Daemon) Drain(ctx context.Context) error {
	d.entry.Leave()
	err := d.members.Leave(ctx)
	d.drainOnce.Do(func() { close(d.draining) })
	return err
}

// leave announces that this host leaves and waits for its requests. Idle
// connections stay open until the end of the drain: closing them at once would
// leave a request that is on its way without an answer. Refusals close theirs.
func (d *Daemon) leave(callers *http.Server) {
	d.entry.Leave()
	now := time.Now()
	d.drainStarted.Store(&now)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := d.members.Leave(ctx); err != nil {
		d.log.WithError(err).WithField("event", "leave_not_announced").Warn("other nodes were not told that this host leaves")
	}
	cancel()
	d.log.WithFields(logrus.Fields{"event": "draining", "requests": d.entry.InFlight()}).Info("this host leaves")

	ctx, cancel = context.WithTimeout(d.group.Context(), d.settings.DrainTimeout)
	defer cancel()
	for d.entry.InFlight() > 0 && sleep(ctx, drainPoll) {
	}
	if n := d.entry.InFlight(); n > 0 {
		d.log.WithFields(logrus.Fields{"event": "drain_incomplete", "requests": n}).
			Error("the drain timeout passed with requests in flight")
	}
	sleep(d.group.Context(), settleTime)
	ctx, cancel = context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = callers.Close()
	}
}

type listeners struct{ callers, peers, admin net.Listener }

// listen opens the three ports, or none.
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
		address string
		into    *net.Listener
	}{
		{d.settings.Listen, &l.callers}, {d.settings.PeerListen, &l.peers}, {d.settings.AdminListen, &l.admin},
	} {
		*port.into, err = d.network.Listen(ctx, port.address)
		if err != nil {
			return l, fault.Wrap(fault.Invalid, err, "cannot listen on %s", port.address)
		}
		open = append(open, *port.into)
	}
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
		// Each handshake reads the certificate, so that a rotated one is used.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, err := d.settings.CallerTLS.Load()
			return &pair, err
		},
	}), nil
}

func (d *Daemon) callerServer() *http.Server {
	return &http.Server{
		Handler:           d.entry,
		MaxHeaderBytes:    d.settings.MaxHeaderBytes,
		ReadHeaderTimeout: d.settings.ReadTimeout,
		IdleTimeout:       d.settings.IdleTimeout,
	}
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(fault.Internal, err, "serving callers")
	}
	return nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
