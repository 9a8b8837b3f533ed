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

	// hostsInterval is the mean time between two readings of a short list.
	hostsInterval = 4 * time.Second
	hostsTimeout  = 2 * time.Second
	// hostsSpread spreads the first readings of nodes that start together.
	hostsSpread = 500 * time.Millisecond
	// hostsRate bounds the mean rate at which a node reads the platform's list,
	// in bytes per second. A list of 2,500 hosts has half a megabyte.
	hostsRate = 15 << 10
	// hostsMaxAge is the age at which the list of a peer is not worth taking.
	hostsMaxAge = 2 * time.Minute
	// hostsPast is how many earlier lists a node keeps. At the design size the
	// list changes every three minutes and peers ask every four seconds.
	hostsPast = 4
)

// hosts keeps the last host list that the platform gave. One node of each
// failure domain reads the platform; the others ask that node, which sends the
// list the
// difference when it has changed. During an outage the list stays as it is.
type hosts struct {
	lister plat.HostLister
	caller wire.Caller
	log    logrus.FieldLogger
	reads  singleflight.Group
	// members is nil until follow: the membership itself needs the list.
	members membership

	mu      sync.Mutex
	list    []plat.Host
	hash    uint64
	size    int
	version uint64
	past    []pastList
	read    time.Time
	changed chan struct{}
}

// hostsQuery asks a peer for its list unless it has the given hash.
type hostsQuery struct {
	Hash uint64 `json:"hash"`
}

// hostsReply is the peer's list. With Delta, Hosts are those that are new or
// changed since the asker's list and Removed the names of those gone since;
// otherwise Hosts is the whole list. Both are empty when the hash is the same.
type hostsReply struct {
	Hash      uint64      `json:"hash"`
	AgeMillis int64       `json:"age_ms"`
	Delta     bool        `json:"delta,omitempty"`
	Hosts     []plat.Host `json:"hosts,omitempty"`
	Removed   []string    `json:"removed,omitempty"`
}

// pastList is an earlier list, kept to answer with the difference.
type pastList struct {
	hash uint64
	list []plat.Host
}

func newHosts(lister plat.HostLister, caller wire.Caller, log logrus.FieldLogger) *hosts {
	return &hosts{lister: lister, caller: caller, log: log, changed: make(chan struct{}, 1)}
}

// follow sets the membership that names the readers. It is called before Run.
func (h *hosts) follow(members membership) { h.members = members }

func (h *hosts) register(mux *wire.Mux) {
	mux.Handle(methodHosts, wire.Typed(func(_ context.Context, _ string, q hostsQuery) (hostsReply, error) {
		return h.reply(q)
	}))
}

// Run keeps the list up to date until the context ends.
func (h *hosts) Run(ctx context.Context) error {
	if !sleep(ctx, time.Duration(rand.Float64()*float64(hostsSpread))) {
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

// Hosts implements plat.HostLister for the membership. It answers from the last
// list while that is fresh and refreshes it otherwise.
func (h *hosts) Hosts(ctx context.Context) ([]plat.Host, error) {
	if h.Age() < hostsInterval {
		return h.All(), nil
	}
	if err := h.refresh(ctx); err != nil {
		return nil, err
	}
	return h.All(), nil
}

// refresh brings the list up to date. Callers at the same time share one
// reading.
func (h *hosts) refresh(ctx context.Context) error {
	_, err, _ := h.reads.Do("", func() (any, error) { return nil, h.readList(ctx) })
	return err
}

// readList asks the reader of this failure domain, or the platform when that is
// this node or cannot answer.
func (h *hosts) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	reader, ok := h.reader()
	if ok && h.ask(ctx, reader) == nil {
		return nil
	}
	list, err := h.lister.Hosts(ctx)
	if err != nil {
		return err
	}
	h.set(list, time.Now())
	return nil
}

// reader returns the member of this failure domain that reads the platform,
// unless it is this node.
func (h *hosts) reader() (member.Member, bool) {
	if h.members == nil {
		return member.Member{}, false
	}
	self := h.members.Self()
	var near []member.Member
	for _, m := range h.members.Members() {
		if m.FailureDomain == self.FailureDomain && m.Usable() {
			near = append(near, m)
		}
	}
	reader, ok := cells.OwnerOf("hosts/"+self.FailureDomain, "", near)
	return reader, ok && reader.Name != self.Name
}

// ask takes over the list of a peer. It fails when that list is too old, or when
// the difference does not lead to it; the next reading then asks for the whole.
func (h *hosts) ask(ctx context.Context, peer member.Member) error {
	h.mu.Lock()
	hash, list := h.hash, h.list
	h.mu.Unlock()
	var reply hostsReply
	if err := h.caller.Call(ctx, peer.PeerAddress, methodHosts, hostsQuery{Hash: hash}, &reply); err != nil {
		return err
	}
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	if age > hostsMaxAge {
		return fault.New(fault.Stale, "the host list of %s is %s old", peer.Name, age)
	}
	if reply.Hash == hash {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.read = time.Now().Add(-age)
		return nil
	}
	if reply.Delta {
		reply.Hosts = patchHosts(list, reply.Hosts, reply.Removed)
	}
	if h.set(reply.Hosts, time.Now().Add(-age)) != reply.Hash {
		return fault.New(fault.Stale, "the difference to the host list of %s does not fit", peer.Name)
	}
	return nil
}

// diffHosts returns the hosts of to that are new or changed since from, and the
// names of those that are gone. Both lists are sorted by name.
func diffHosts(from, to []plat.Host) (changed []plat.Host, removed []string) {
	before := make(map[string]plat.Host, len(from))
	for _, host := range from {
		before[host.Name] = host
	}
	for _, host := range to {
		if old, ok := before[host.Name]; !ok || old != host {
			changed = append(changed, host)
		}
		delete(before, host.Name)
	}
	return changed, slices.Sorted(maps.Keys(before))
}

// patchHosts applies the result of diffHosts to a list.
func patchHosts(list, changed []plat.Host, removed []string) []plat.Host {
	gone := map[string]bool{}
	for _, name := range removed {
		gone[name] = true
	}
	for _, host := range changed {
		gone[host.Name] = true
	}
	kept := slices.DeleteFunc(slices.Clone(list), func(host plat.Host) bool { return gone[host.Name] })
	return append(kept, changed...)
}

// reply answers a peer. NotFound says that this node has no list yet.
func (h *hosts) reply(q hostsQuery) (hostsReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.read.IsZero() {
		return hostsReply{}, fault.New(fault.NotFound, "no host list was read yet")
	}
	reply := hostsReply{Hash: h.hash, AgeMillis: time.Since(h.read).Milliseconds()}
	if q.Hash == h.hash {
		return reply, nil
	}
	for _, p := range h.past {
		if p.hash == q.Hash {
			reply.Delta = true
			reply.Hosts, reply.Removed = diffHosts(p.list, h.list)
			return reply, nil
		}
	}
	reply.Hosts = h.list
	return reply, nil
}

// set puts a list in use, tells Changed when it differs and returns its hash.
func (h *hosts) set(list []plat.Host, read time.Time) uint64 {
	slices.SortFunc(list, func(a, b plat.Host) int { return strings.Compare(a.Name, b.Name) })
	// Hosts are plain data, so encoding them cannot fail.
	data, _ := json.Marshal(list)
	hash := xxhash.Sum64(data)
	h.mu.Lock()
	same := hash == h.hash
	if !same && h.version > 0 {
		h.past = append(h.past, pastList{h.hash, h.list})
		h.past = h.past[max(0, len(h.past)-hostsPast):]
	}
	h.list, h.hash, h.size, h.read = list, hash, len(data), read
	if !same {
		h.version++
	}
	h.mu.Unlock()
	if same {
		return hash
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
	return hash
}

// interval returns the mean time to the next reading. Asking a peer costs a
// small message, so only the reader slows down for a long list.
func (h *hosts) interval() time.Duration {
	if _, ok := h.reader(); ok {
		return hostsInterval
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(hostsInterval, time.Duration(h.size)*time.Second/hostsRate)
}

// All returns the last list, sorted by name.
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
	return time.Since(h.read)
}

// With returns the hosts with a role and service.
func (h *hosts) With(role plat.Role, service string) []plat.Host {
	var found []plat.Host
	for _, host := range h.All() {
		if host.Role == role && (service == "" || host.Service == service) {
			found = append(found, host)
		}
	}
	return found
}
