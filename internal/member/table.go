package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
)

// Table is this node's view of the membership.
type Table struct {
	caller wire.Caller
	log    logrus.FieldLogger
	lister plat.HostLister
	// addresses are those of the seeds, without this node's own.
	addresses []string
	check     func(before, after Member)
	without   Mechanism
	urgent    chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	self    Member
	records map[string]*record
	seeds   map[string]string
	queue   queue
	pushes  map[string]Member
	// reported are the members that a peer declared dead and that this node
	// did not suspect before.
	reported []Member
	config   Revisions
	ring     []string
	changed  chan struct{}
	counts   Counts
}

// record is what is known of another member.
type record struct {
	Member
	since time.Time
	// suspected is when the suspicion began, or zero. It may be set while the
	// state is not Suspect: for a leaving member, and for a suspicion that
	// this node does not spread. Any message from the member ends that.
	suspected time.Time
	// config is the highest configuration revision that it said is in force
	// there, or zero.
	config uint64
}

// refutable reports whether the member has had time to refute a suspicion of
// an incarnation before this node believes a peer that it is dead. A peer that
// receives nothing takes everyone for dead and repeats it.
func (r *record) refutable(incarnation uint64) bool {
	return r.State == Leaving || r.State == Dead ||
		r.State == Suspect && r.Incarnation == incarnation && time.Since(r.suspected) >= refutationTime
}

// Counts are totals since the start.
type Counts struct {
	Probes, IndirectProbes, Suspicions, Deaths, Refutations, Stalls, Surveys, Exchanges, Stale int
}

// New returns a table that knows only this node.
func New(o Options) *Table {
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixMicro())
	}
	if o.Self.State == "" {
		o.Self.State = Alive
	}
	return &Table{
		caller:    o.Caller,
		log:       o.Log,
		lister:    o.Hosts,
		addresses: slices.DeleteFunc(slices.Clone(o.Seeds), func(a string) bool { return a == o.Self.PeerAddress }),
		check:     o.Check,
		without:   o.Without,
		urgent:    make(chan struct{}, 1),
		random:    o.Random,
		self:      o.Self,
		records:   map[string]*record{},
		seeds:     map[string]string{},
		queue:     queue{},
		pushes:    map[string]Member{},
		changed:   make(chan struct{}),
	}
}

// Carry sets the configuration whose revision the messages carry. Call it
// before Register and Run.
func (t *Table) Carry(r Revisions) { t.config = r }

// Self returns this node's own record.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Members returns this node and the members that are not dead, by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := append(make([]Member, 0, len(t.records)+1), t.self)
	for _, r := range t.records {
		if r.State != Dead {
			members = append(members, r.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Changed returns a channel that is closed at the next change of Members.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Status is a member in a Snapshot.
type Status struct {
	Member
	// Since is when the state began on this node.
	Since time.Time `json:"since"`
	// Suspected is when a suspicion began, or zero.
	Suspected time.Time `json:"suspected,omitzero"`
	// Revision is the configuration last heard to be in force there, or zero.
	Revision uint64 `json:"revision,omitempty"`
}

// Snapshot is the state of the table for a dump.
type Snapshot struct {
	Self    Member   `json:"self"`
	Members []Status `json:"members"`
	// Queued is the number of updates that still travel on pings.
	Queued int    `json:"queued"`
	Counts Counts `json:"counts"`
}

// Snapshot returns the state of the table, with dead members.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{Self: t.self, Queued: len(t.queue), Counts: t.counts}
	for _, r := range t.records {
		s.Members = append(s.Members, Status{r.Member, r.since, r.suspected, r.config})
	}
	slices.SortFunc(s.Members, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// merge takes over an update if it overrides what is known. The caller holds
// mu.
func (t *Table) merge(u Member) {
	if !u.valid() {
		return
	}
	if u.Name == t.self.Name {
		t.refute(u)
		return
	}
	known := t.records[u.Name]
	if known == nil {
		if u.State == Dead || u.PeerAddress == "" {
			return
		}
		known = &record{}
		t.records[u.Name] = known
		delete(t.seeds, u.Name)
		t.set(known, u)
		return
	}
	reported := u.State == Dead && t.without&Refutation == 0 && u.Incarnation >= known.Incarnation &&
		!known.refutable(u.Incarnation)
	if reported {
		u.State = Suspect
	}
	if u.overrides(known.Member) {
		t.set(known, u)
		if reported {
			t.reported = append(t.reported, known.Member)
		}
	}
}

// set replaces the state of a record, spreads it and tells subscribers.
func (t *Table) set(r *record, u Member) {
	before := r.Member
	if u.PeerAddress == "" {
		u.Address, u.PeerAddress, u.FailureDomain, u.Region = r.Address, r.PeerAddress, r.FailureDomain, r.Region
		u.Capacity = r.Capacity
	}
	r.Member = u
	r.since = time.Now()
	r.suspected = time.Time{}
	switch u.State {
	case Suspect:
		r.suspected = r.since
		t.counts.Suspicions++
	case Dead:
		t.counts.Deaths++
	}
	if t.check != nil {
		t.check(before, u)
	}
	if before.State != u.State {
		t.log.WithFields(logrus.Fields{
			"event": "member_state", "member": u.Name, "state": u.State, "incarnation": u.Incarnation,
		}).Info("member changed state")
	}
	if before.State == "" {
		// A member that was unknown travels on pings and exchanges only: after
		// a start of all nodes, pushes of all members would exceed the bytes
		// allowed for a node.
		t.queue.add(u)
	} else {
		t.spread(u)
	}
	t.notify()
}

// refute answers a record of this node that is not its own.
func (t *Table) refute(u Member) {
	if !u.overrides(t.self) || t.without&Refutation != 0 {
		return
	}
	t.self.Incarnation = u.Incarnation + 1
	t.counts.Refutations++
	t.log.WithFields(logrus.Fields{
		"event": "member_refuted", "state": u.State, "incarnation": t.self.Incarnation,
	}).Info("refuted a report on this node")
	t.spread(t.self)
	t.notify()
}

// spread queues an update for pings and for the next push.
func (t *Table) spread(m Member) {
	t.queue.add(m)
	if t.without&Forwarding == 0 {
		t.pushes[m.Name] = m.brief()
		t.wake()
	}
}

func (t *Table) wake() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

func (t *Table) notify() {
	t.ring = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// order returns the names of this node and all members that are not dead in
// the order of their hashes. The caller holds mu.
func (t *Table) order() []string {
	if t.ring == nil {
		t.ring = append(t.ring, t.self.Name)
		for name, r := range t.records {
			if r.State != Dead {
				t.ring = append(t.ring, name)
			}
		}
		slices.SortFunc(t.ring, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
	}
	return t.ring
}

// sample returns up to n random members that are not dead and not excluded.
// The caller holds mu.
func (t *Table) sample(n int, except string) []Member {
	names := slices.Clone(t.order())
	var out []Member
	for i := range names {
		j := i + t.random.IntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
		if names[i] == t.self.Name || names[i] == except {
			continue
		}
		out = append(out, t.records[names[i]].Member)
		if len(out) == n {
			break
		}
	}
	return out
}

func (t *Table) revision() uint64 {
	if t.config == nil {
		return 0
	}
	return t.config.Revision()
}

// hear takes over what a message says about its sender and about others.
func (t *Table) hear(from Member, config uint64, updates []Member) {
	t.mu.Lock()
	t.merge(from)
	if r := t.records[from.Name]; r != nil {
		r.config = max(r.config, config)
		if r.State != Suspect {
			r.suspected = time.Time{}
		}
	}
	for _, u := range updates {
		t.merge(u)
	}
	t.mu.Unlock()
	if t.config != nil && config > t.config.Revision() {
		t.config.Learn(config, from)
	}
}
