// Package netem is an in-memory network and platform for tests. It implements
// wire.Caller, plat.Store and plat.HostLister with delay, loss, cuts, pauses
// and outages, and it runs inside testing/synctest.
package netem

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Link describes one direction between two nodes.
type Link struct {
	// Delay is the one-way latency; Jitter is added to it, evenly
	// distributed from zero.
	Delay, Jitter time.Duration
	// Loss is the probability, from 0 to 1, that a message is lost. The
	// sender of a lost message waits until its deadline.
	Loss float64
}

// Network connects endpoints. Faults are set by node name.
type Network struct {
	seed   uint64
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// endpoints holds every endpoint ever attached, replaced ones included.
	endpoints []*Endpoint
	// base holds the properties of the directions that are not in links.
	base  Link
	links map[pair]Link
	cuts  map[pair]bool
	// random holds the random source of each direction.
	random map[pair]*rand.Rand
	// byName and byAddr hold the endpoint attached last, which may have been killed.
	byName map[string]*Endpoint
	byAddr map[string]*Endpoint
}

// pair is one direction between two nodes, by name.
type pair struct{ from, to string }

// New returns a network on which every direction has the properties of base.
// Losses and jitter of each direction depend only on the seed and the messages in
// that direction, not on their interleaving with other directions.
func New(seed uint64, base Link) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		seed:   seed,
		ctx:    ctx,
		cancel: cancel,
		base:   base,
		links:  map[pair]Link{},
		cuts:   map[pair]bool{},
		random: map[pair]*rand.Rand{},
		byName: map[string]*Endpoint{},
		byAddr: map[string]*Endpoint{},
	}
}

// Attach connects a node and returns its endpoint. A node of the same name or
// address is replaced and counts as killed, as after a restart.
func (n *Network) Attach(name, address string, mux *wire.Mux) *Endpoint {
	e := &Endpoint{name: name, address: address, network: n, mux: mux, running: closedChannel()}
	e.group = group.New(n.ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, old := range []*Endpoint{n.byName[name], n.byAddr[address]} {
		if old != nil {
			old.group.Stop()
		}
	}
	n.byName[name], n.byAddr[address] = e, e
	n.endpoints = append(n.endpoints, e)
	return e
}

// Close kills every node and waits until their handlers have returned.
func (n *Network) Close() error {
	n.cancel()
	n.mu.Lock()
	all := slices.Clone(n.endpoints)
	n.mu.Unlock()
	errs := make([]error, 0, len(all))
	for _, e := range all {
		errs = append(errs, e.group.Wait())
	}
	return errors.Join(errs...)
}

// Kill ends a node. Its calls fail, new calls to it fail with Unreachable, and the
// calls that it was handling fail with ReplyLost.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.byName[name]; e != nil {
		e.group.Stop()
	}
}

// Pause blocks a node at its next call, reply or incoming message, until Resume.
// Code of the node that uses neither network nor platform keeps running.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.byName[name]; e != nil {
		e.pause()
	}
}

// Resume ends the pause of a node. Messages that arrived during the pause are
// handled, even if their senders have timed out.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.byName[name]; e != nil {
		e.resume()
	}
}

// SetLink sets the properties of one direction, in place of the base.
func (n *Network) SetLink(from, to string, link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[pair{from, to}] = link
}

// SetBase sets the properties of the directions for which SetLink was not called.
func (n *Network) SetBase(link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.base = link
}

// Cut drops everything sent in one direction, replies included.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair{from, to}] = true
}

// CutBoth drops everything between two nodes.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Partition drops everything between nodes of different groups.
func (n *Network) Partition(groups ...[]string) {
	for i, one := range groups {
		for _, other := range groups[i+1:] {
			for _, a := range one {
				for _, b := range other {
					n.CutBoth(a, b)
				}
			}
		}
	}
}

// RemoveCut removes the cut of one direction.
func (n *Network) RemoveCut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, pair{from, to})
}

// RemoveCuts removes all cuts.
func (n *Network) RemoveCuts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Connected reports whether both nodes are alive, neither is paused, and neither
// direction between them is cut.
func (n *Network) Connected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range []string{a, b} {
		e := n.byName[name]
		if e == nil || e.group.Context().Err() != nil || e.paused() {
			return false
		}
	}
	return !n.cuts[pair{a, b}] && !n.cuts[pair{b, a}]
}

// transit returns the random delay of one message and whether it is lost.
func (n *Network) transit(from, to string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := pair{from, to}
	link, ok := n.links[key]
	if !ok {
		link = n.base
	}
	r := n.random[key]
	if r == nil {
		r = rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(from+"\x00"+to)))
		n.random[key] = r
	}
	delay := link.Delay
	if link.Jitter > 0 {
		delay += time.Duration(r.Int64N(int64(link.Jitter)))
	}
	lost := r.Float64() < link.Loss
	return delay, lost || n.cuts[key]
}

// nameAt returns the name of the node attached last at an address, or the address
// itself when no node was ever attached there.
func (n *Network) nameAt(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.byAddr[address]; e != nil {
		return e.name
	}
	return address
}

// lookup returns the live node that listens at an address.
func (n *Network) lookup(address string) (*Endpoint, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.byAddr[address]
	if e == nil || e.group.Context().Err() != nil {
		return nil, fault.New(fault.Unreachable, "no node listens at %s", address)
	}
	return e, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closedChannel returns a closed channel.
func closedChannel() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}
