package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Dialer opens connections to upstreams, directly or through peers.
type Dialer struct {
	options Options
	peers   *peers
	absent  *absences
	opened  tally.Counter
}

// Options are the dependencies of a Dialer.
type Options struct {
	// Dial opens direct connections, to upstreams and peers.
	Dial    dialer.Func
	Reach   *Reach
	Members Members
	// Query checks a link.
	Query Query
	// Group runs what outlasts a dial: attempts that came too late.
	Group   *group.Group
	Random  *rand.Rand
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

// NewDialer returns a dialer.
func NewDialer(o Options) *Dialer {
	return &Dialer{options: o, peers: newPeers(o.Members, o.Random), absent: newAbsences(), opened: o.Metrics.Counter("detours_total")}
}

// Dial connects to the upstream at an address. On a host that is linked, the direct attempt
// has a head start, and peers are tried beside it. On one that is cut, peers come first: a
// direct connection may be accepted and then reset, which loses a request that may run once
// only. The error is Unreachable: nothing was sent to the upstream.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !d.options.Reach.Cut() {
		if d.absent.has(address) {
			return d.dialDirect(ctx, address)
		}
		return d.race(ctx, &race{address: address, direct: true})
	}
	r := &race{address: address}
	conn, err := d.race(ctx, r)
	if err == nil || ctx.Err() != nil || len(r.unable) > 0 {
		return conn, err
	}
	direct, directErr := d.dialDirect(ctx, address)
	if directErr != nil {
		return nil, errors.Join(err, directErr)
	}
	return direct, nil
}

// dialDirect connects to an upstream directly.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	return d.options.Reach.dial(ctx, d.options.Dial, address)
}

// dialPeers connects to an upstream through peers only.
func (d *Dialer) dialPeers(ctx context.Context, address string) (net.Conn, error) {
	return d.race(ctx, &race{address: address})
}

// race makes attempts until one connects. Each begins when the one before it fails, or has
// not connected within headStart.
func (d *Dialer) race(ctx context.Context, r *race) (net.Conn, error) {
	r.dialer, r.attempts = d, make(chan attempt, maxChosen+1)
	peersCtx, cancelPeers := context.WithCancel(ctx)
	defer cancelPeers()
	if r.direct {
		r.startDirect(ctx)
	} else {
		r.startPeer(peersCtx)
	}
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case a := <-r.attempts:
			if r.record(a) {
				r.finish()
				return a.conn, nil
			}
		case <-timer.C:
			if len(r.attempts) > 0 {
				continue
			}
		case <-ctx.Done():
			r.finish()
			return nil, r.failure(ctx.Err())
		}
		r.startPeer(peersCtx)
		timer.Reset(headStart)
	}
	if len(r.unable) > 0 {
		d.absent.add(r.address)
	}
	return nil, r.failure()
}

// open opens a tunnel through a peer. A peer that fails is passed over for a time.
func (d *Dialer) open(ctx context.Context, peer member.Member, address string) (net.Conn, error) {
	startedAt := time.Now()
	c, err := open(ctx, d.options.Dial, peer.PeerAddress, address)
	switch {
	case err == nil:
		c.onLost = func() { d.peers.lost(peer.Name) }
		d.peers.succeeded(peer.Name)
		d.opened.Inc(1)
		return c, nil
	case isRefusal(err) && !errors.Is(err, errRefused):
		// The peer may open tunnels to other upstreams.
	case ctx.Err() != nil && (errors.Is(ctx.Err(), context.Canceled) || time.Since(startedAt) < headStart):
		// The peer had no time to answer.
	default:
		d.peers.failed(peer.Name)
	}
	return nil, err
}

// Run checks the links of this host while something speaks against them, until the context
// ends.
func (d *Dialer) Run(ctx context.Context) error {
	reach := d.options.Reach
	for {
		select {
		case <-reach.check:
		case <-ctx.Done():
			return ctx.Err()
		}
		for reach.checkDue() {
			guard.Run(d.options.Log, "check of links", func() { d.check(ctx) })
			if !group.Sleep(ctx, checkInterval) {
				return ctx.Err()
			}
		}
	}
}

// check asks peers whether they reach the upstreams that reset connections of this host,
// and then finds out whether it reaches another upstream itself.
func (d *Dialer) check(ctx context.Context) {
	reach := d.options.Reach
	for _, address := range reach.suspected() {
		if reach.Cut() {
			break
		}
		if d.queryPeers(ctx, address) == nil {
			reach.recordUnreached(address, "new connections end without a byte")
		} else {
			reach.clearSuspect(address)
		}
	}
	if !reach.settle() {
		return
	}
	addresses := reach.unproven()
	if len(addresses) == 0 {
		return
	}
	address := addresses[d.peers.pick(len(addresses))]
	// The connection reports itself to reach.
	err := d.query(ctx, d.dialDirect, address)
	if err != nil && !reach.Cut() && d.queryPeers(ctx, address) == nil {
		reach.recordUnreached(address, err.Error())
	}
}

// queryPeers makes a query through peers, until one of them reaches the upstream or says that
// it does not. A peer that is cut and does not know opens a tunnel that breaks; it then
// refuses further ones, so that another peer is asked.
func (d *Dialer) queryPeers(ctx context.Context, address string) (err error) {
	for range maxQueries {
		if err = d.query(ctx, d.dialPeers, address); err == nil || errors.Is(err, errUnable) || errors.Is(err, errNoPeer) {
			return err
		}
	}
	return err
}

// query makes a query within queryTimeout.
func (d *Dialer) query(ctx context.Context, dial dialer.Func, address string) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return d.options.Query(ctx, dial, address)
}
