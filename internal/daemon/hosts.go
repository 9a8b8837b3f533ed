package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	methodHosts = "hosts.fetch"

	// hostsInterval is the mean time between two refreshes of the list. A long
	// list is read from the platform less often, see hostsMaxRate.
	hostsInterval = 4 * time.Second
	hostsTimeout  = 2 * time.Second
	// hostsStartDelay bounds the random delay before the first refresh, which
	// spreads the reads of nodes that start together.
	hostsStartDelay = 500 * time.Millisecond
	// hostsMaxRate bounds the mean rate, in bytes per second, at which a node
	// reads the list from the platform. A list of 2,500 hosts takes half a
	// megabyte.
	hostsMaxRate = 15 << 10
	// hostsMaxAge is the maximum age of a peer's list that a node uses. If the
	// list is older, the node reads the list from the platform.
	hostsMaxAge = 2 * time.Minute
	// hostsHistory is how many earlier lists a node keeps, so that it can send
	// peers a difference. At the design size the list changes every three
	// minutes and peers ask every four seconds, so a peer's list is
	// normally among the earlier lists.
	hostsHistory = 4
)

// hosts keeps the last host list of the platform. One node of each failure
// domain, the reader, reads the list from the platform. The other nodes ask the
// reader for it. If the list has changed, the reader sends the difference between
// the asking node's list and its own, or its whole list if it does not have the
// asking node's list in its history. While the platform is unavailable the last
// list stays in use.
type hosts struct {
	lister    plat.HostLister
	caller    wire.Caller
	log       logrus.FieldLogger
	refreshes singleflight.Group
	// members is nil before setMembership is called, since the membership uses
	// the host list and is created after it.
	members membership

	mu sync.Mutex
	// list is the list in use. hash and size are those of its JSON form.
	list    []plat.Host
	hash    uint64
	size    int
	version uint64
	history []earlierList
	// readAt is when the list was read from the platform.
	readAt  time.Time
	changed chan struct{}
}

// hostsQuery asks a peer for its list. Hash is the hash of the asking node's
// list. If the peer has the same list, it does not send the list.
type hostsQuery struct {
	Hash uint64 `json:"hash"`
}

// hostsReply answers a hostsQuery. With Delta, Hosts holds the hosts that are
// new or changed since the asking node's list, and Removed the names of those
// that are gone. Otherwise Hosts is the whole list. Both are empty if the lists
// are the same.
type hostsReply struct {
	Hash      uint64      `json:"hash"`
	AgeMillis int64       `json:"age_ms"`
	Delta     bool        `json:"delta,omitempty"`
	Hosts     []plat.Host `json:"hosts,omitempty"`
	Removed   []string    `json:"removed,omitempty"`
}

// earlierList is a list that was in use before, kept to send peers the
// difference.
type earlierList struct {
	hash uint64
	list []plat.Host
}

func newHosts(lister plat.HostLister, caller wire.Caller, log logrus.FieldLogger) *hosts {
	return &hosts{lister: lister, caller: caller, log: log, changed: make(chan struct{}, 1)}
}

// setMembership sets the membership from which the reader is chosen. Call it
// before Run.
func (h *hosts) setMembership(members membership) { h.members = members }

func (h *hosts) register(mux *wire.Mux) {
	mux.Handle(methodHosts, wire.Typed(func(_ context.Context, _ string, q hostsQuery) (hostsReply, error) {
		return h.reply(q)
	}))
}

// Run keeps the list up to date until the context ends.
func (h *hosts) Run(ctx context.Context) error {
	if !sleep(ctx, time.Duration(rand.Float64()*float64(hostsStartDelay))) {
		return nil
	}
	for {
		if err := h.refresh(ctx); err != nil {
			h.log.WithError(err).WithField("event", "hosts_unavailable").Warn("the host list was not read; the last one stays in use")
		}
		if !sleep(ctx, jitter(h.interval())) {
			return nil
		}
	}
}

// Hosts implements plat.HostLister for the membership. It refreshes the list
// first unless the list is younger than hostsInterval.
func (h *hosts) Hosts(ctx context.Context) ([]plat.Host, error) {
	if h.Age() < hostsInterval {
		return h.All(), nil
	}
	if err := h.refresh(ctx); err != nil {
		return nil, err
	}
	return h.All(), nil
}

// refresh updates the list. Concurrent calls share one update.
func (h *hosts) refresh(ctx context.Context) error {
	_, err, _ := h.refreshes.Do("", func() (any, error) { return nil, h.fetch(ctx) })
	return err
}

// fetch gets the list from the reader of this failure domain, or from the
// platform if this node is the reader or askPeer fails.
func (h *hosts) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	reader, ok := h.reader()
	if ok && h.askPeer(ctx, reader) == nil {
		return nil
	}
	list, err := h.lister.Hosts(ctx)
	if err != nil {
		return err
	}
	h.setList(list, time.Now())
	return nil
}

// reader returns the member of this failure domain that reads the list from the
// platform. The second result is false if this node must read it itself.
func (h *hosts) reader() (member.Member, bool) {
	if h.members == nil {
		return member.Member{}, false
	}
	self := h.members.Self()
	var candidates []member.Member
	for _, m := range h.members.Members() {
		if m.FailureDomain == self.FailureDomain && m.Usable() {
			candidates = append(candidates, m)
		}
	}
	reader, ok := cells.KeyOwner("hosts/"+self.FailureDomain, "", candidates)
	return reader, ok && reader.Name != self.Name
}

// askPeer replaces the list by that of a peer. It fails if the peer's list is
// too old, or if the new list, which may be the old one patched with the peer's
// difference, does not have the hash that the peer sent. The peer does not know
// the hash of a wrongly patched list, so it sends the whole list next time.
func (h *hosts) askPeer(ctx context.Context, peer member.Member) error {
	h.mu.Lock()
	hash, list := h.hash, h.list
	h.mu.Unlock()
	var reply hostsReply
	if err := h.caller.Call(ctx, peer.PeerAddress, methodHosts, hostsQuery{Hash: hash}, &reply); err != nil {
		return err
	}
	if reply.AgeMillis < 0 || reply.AgeMillis > hostsMaxAge.Milliseconds() {
		return fault.New(fault.Stale, "the host list of %s is %d ms old", peer.Name, reply.AgeMillis)
	}
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	if reply.Hash == hash {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.readAt = time.Now().Add(-age)
		return nil
	}
	if reply.Delta {
		reply.Hosts = patchHosts(list, reply.Hosts, reply.Removed)
	}
	if h.setList(reply.Hosts, time.Now().Add(-age)) != reply.Hash {
		return fault.New(fault.Stale, "the host list received from %s does not have the hash that the node sent", peer.Name)
	}
	return nil
}

// diffHosts returns the hosts of newer that are missing from older or differ
// there, and the names of the hosts that only older has. Both results are sorted
// by name if newer is.
func diffHosts(older, newer []plat.Host) (changed []plat.Host, removed []string) {
	remaining := make(map[string]plat.Host, len(older))
	for _, host := range older {
		remaining[host.Name] = host
	}
	for _, host := range newer {
		if old, ok := remaining[host.Name]; !ok || old != host {
			changed = append(changed, host)
		}
		delete(remaining, host.Name)
	}
	return changed, slices.Sorted(maps.Keys(remaining))
}

// patchHosts applies the result of diffHosts to a list.
func patchHosts(list, changed []plat.Host, removed []string) []plat.Host {
	dropped := map[string]bool{}
	for _, name := range removed {
		dropped[name] = true
	}
	for _, host := range changed {
		dropped[host.Name] = true
	}
	kept := slices.DeleteFunc(slices.Clone(list), func(host plat.Host) bool { return dropped[host.Name] })
	return append(kept, changed...)
}

// reply returns the reply to a peer, or NotFound if this node has no list yet.
func (h *hosts) reply(q hostsQuery) (hostsReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.readAt.IsZero() {
		return hostsReply{}, fault.New(fault.NotFound, "no host list was read yet")
	}
	reply := hostsReply{Hash: h.hash, AgeMillis: time.Since(h.readAt).Milliseconds()}
	if q.Hash == h.hash {
		return reply, nil
	}
	for _, earlier := range h.history {
		if earlier.hash == q.Hash {
			reply.Delta = true
			reply.Hosts, reply.Removed = diffHosts(earlier.list, h.list)
			return reply, nil
		}
	}
	reply.Hosts = h.list
	return reply, nil
}

// setList sorts a list by name, puts it in use and returns its hash. If it
// differs from the list that was in use before, Changed delivers a value.
func (h *hosts) setList(list []plat.Host, readAt time.Time) uint64 {
	slices.SortFunc(list, func(a, b plat.Host) int { return strings.Compare(a.Name, b.Name) })
	// Hosts are plain data, so encoding them cannot fail.
	data, _ := json.Marshal(list)
	hash := xxhash.Sum64(data)
	h.mu.Lock()
	unchanged := hash == h.hash
	if !unchanged && h.version > 0 {
		h.history = append(h.history, earlierList{h.hash, h.list})
		h.history = h.history[max(0, len(h.history)-hostsHistory):]
	}
	h.list, h.hash, h.size, h.readAt = list, hash, len(data), readAt
	if !unchanged {
		h.version++
	}
	h.mu.Unlock()
	if unchanged {
		return hash
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
	return hash
}

// interval returns the mean time to the next refresh. Asking a peer costs only
// a small message, so a long list lengthens the interval of the reader alone.
func (h *hosts) interval() time.Duration {
	if _, ok := h.reader(); ok {
		return hostsInterval
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(hostsInterval, time.Duration(h.size)*time.Second/hostsMaxRate)
}

// All returns a copy of the list, sorted by name.
func (h *hosts) All() []plat.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.list)
}

// Version returns a number that grows with each change of the list. It is 0
// before the first list.
func (h *hosts) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// Changed delivers a value after the list has changed.
func (h *hosts) Changed() <-chan struct{} { return h.changed }

// Age returns the time since the list was read from the platform.
func (h *hosts) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.readAt)
}

// ByRole returns the hosts with a role and service. An empty service stands
// for all.
func (h *hosts) ByRole(role plat.Role, service string) []plat.Host {
	var found []plat.Host
	for _, host := range h.All() {
		if host.Role == role && (service == "" || host.Service == service) {
			found = append(found, host)
		}
	}
	return found
}
