package detour

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Reach is what a host knows of its own links to the upstreams.
type Reach struct {
	addresses func() []string
	log       logrus.FieldLogger
	gauge     tally.Gauge
	// failing is set while suspects or unreached holds anything, and cut while this host
	// counts as cut.
	failing atomic.Bool
	cut     atomic.Bool
	// doubted is set when a dial for a peer failed, until the next check.
	doubted atomic.Bool
	// check holds a value while a check of the links is due.
	check chan struct{}

	mu sync.Mutex
	// suspects holds the upstreams that ended new connections without a byte.
	suspects map[string]bool
	// unreached holds the upstreams that a peer reaches and this host does not, with what
	// was seen.
	unreached map[string]string
	// changed is closed and replaced when a suspect was checked or this host was cut.
	changed chan struct{}
	// failedAt is when the last entry of suspects or unreached was made, and cutAt when
	// this host was cut.
	failedAt, cutAt time.Time
}

// NewReach returns the state of a host that reaches the upstreams. Addresses returns those
// of the registered upstreams.
func NewReach(addresses func() []string, metrics tally.Scope, log logrus.FieldLogger) *Reach {
	gauge := metrics.Gauge("host_cut")
	gauge.Update(0)
	return &Reach{
		addresses: addresses, log: log, gauge: gauge, check: make(chan struct{}, 1),
		suspects: map[string]bool{}, unreached: map[string]string{}, changed: make(chan struct{}),
	}
}

// Cut reports whether this host does not reach the upstreams, although peers do.
func (r *Reach) Cut() bool { return r.cut.Load() }

// Linked reports whether a failure at an upstream counts against the upstream: neither is
// this host cut, nor does a peer reach the upstream where this host does not. If new
// connections to the upstream ended without a byte, Linked waits for what peers say, for
// verdictTimeout at most.
func (r *Reach) Linked(ctx context.Context, address string) bool {
	if !r.failing.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	for {
		linked, changed := r.linked(address)
		if changed == nil {
			return linked
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}

// linked returns the present answer of Linked. If the upstream is a suspect, it returns the
// channel that is closed with the next change.
func (r *Reach) linked(address string) (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, unreached := r.unreached[address]
	if r.suspects[address] {
		return false, r.changed
	}
	return !unreached && !r.cut.Load(), nil
}

// notify wakes those that wait for a change. The caller holds mu.
func (r *Reach) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// steady reports whether nothing speaks against the links of this host.
func (r *Reach) steady() bool { return !r.failing.Load() }

// recordReached records that a direct connection, opened at a time, delivered a byte. A
// connection from before the last failure says nothing about new ones.
func (r *Reach) recordReached(openedAt time.Time) {
	if !r.failing.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if openedAt.Before(r.failedAt) {
		return
	}
	clear(r.suspects)
	clear(r.unreached)
	r.notify()
	r.failing.Store(false)
	if r.cut.CompareAndSwap(true, false) {
		r.gauge.Update(0)
		r.log.WithFields(logrus.Fields{"event": "host_linked", "ms": time.Since(r.cutAt).Milliseconds()}).
			Info("this host reaches upstreams again")
	}
}

// recordReset records that a new connection to an upstream ended without a byte. The
// upstream may have ended; a check finds out whether peers reach it.
func (r *Reach) recordReset(address string) {
	if r.cut.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[address] = true
	r.recordFailure()
}

// recordDoubt records that a dial for a peer failed: the upstream is out of reach, or this
// host is cut.
func (r *Reach) recordDoubt() {
	r.doubted.Store(true)
	r.requestCheck()
}

// recordUnreached records that a peer reached an upstream that this host did not reach for
// the given reason.
func (r *Reach) recordUnreached(address, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, address)
	r.unreached[address] = reason
	r.notify()
	r.recordFailure()
	if len(r.unreached) < min(cutUpstreams, len(r.addresses())) || !r.cut.CompareAndSwap(false, true) {
		return
	}
	clear(r.suspects)
	r.notify()
	r.cutAt = r.failedAt
	r.gauge.Update(1)
	r.log.WithFields(logrus.Fields{"event": "host_cut", "upstreams": slices.Sorted(maps.Keys(r.unreached)), "reason": reason}).
		Warn("peers reach upstreams that this host does not reach; it connects through them")
}

// recordFailure records the time of a failure and has the links checked. The caller holds
// mu.
func (r *Reach) recordFailure() {
	r.failedAt = time.Now()
	r.failing.Store(true)
	r.requestCheck()
}

// requestCheck has the links checked.
func (r *Reach) requestCheck() {
	select {
	case r.check <- struct{}{}:
	default:
	}
}

// suspected returns the suspects.
func (r *Reach) suspected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.suspects))
}

// clearSuspect removes a suspect that no peer reaches.
func (r *Reach) clearSuspect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, address)
	r.notify()
}

// checkDue reports whether the links are to be checked.
func (r *Reach) checkDue() bool { return r.failing.Load() || r.doubted.Load() }

// settle reports whether anything speaks against the links once the suspects are checked.
func (r *Reach) settle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	failing := len(r.suspects) > 0 || len(r.unreached) > 0
	r.failing.Store(failing)
	return r.doubted.Swap(false) || failing
}

// unproven returns the addresses of the upstreams of which it is not known that only peers
// reach them.
func (r *Reach) unproven() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(r.addresses(), func(a string) bool {
		_, unreached := r.unreached[a]
		return unreached && !r.cut.Load()
	})
}
