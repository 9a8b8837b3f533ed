package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
)

// Table is this node's view of the membership.
type Table struct {
	caller wire.Caller
	log    logrus.FieldLogger
	lister plat.HostLister
	// seedAddresses are the addresses of Options.Seeds without this node's own.
	seedAddresses []string
	onChange      func(before, after Member)
	disabled      Mechanism
	// pushSignal wakes pushLoop.
	pushSignal chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	self    Member
	records map[string]*record
	// unknownHosts holds the peer addresses, by name, of the entry hosts in the
	// platform's list that are not members.
	unknownHosts map[string]string
	// queue holds the updates to be sent on pings.
	queue queue
	// pendingPushes holds the updates for the next push, by member name.
	pendingPushes map[string]Member
	// unverifiedDeaths are the members that a peer reported dead and that this
	// node has not suspected for long enough to accept that.
	unverifiedDeaths []Member
	config           Revisions
	// ring caches the result of ringNames; nil when it must be computed again.
	ring    []string
	changed chan struct{}
	counts  Counts
}

// record is what this node knows of another member.
type record struct {
	Member
	// since is when this node learned of the current state and incarnation.
	since time.Time
	// suspectedAt is when the suspicion began, or zero. It may be set while the
	// state is not Suspect: for a leaving member, and for a suspicion that
	// this node does not spread. Any message from the member then clears it.
	suspectedAt time.Time
	// revision is the highest configuration revision that the member has
	// reported to be in force there, or zero.
	revision uint64
}

// acceptsDeath reports whether a peer's report that the member is dead at an
// incarnation is accepted without a probe. A member that is not leaving or dead
// must first have been suspected for refutationTime, in which it could refute the
// suspicion. The reason is that a peer which receives no messages considers all
// other members dead and keeps reporting them dead.
func (r *record) acceptsDeath(incarnation uint64) bool {
	return r.State == Leaving || r.State == Dead ||
		r.State == Suspect && r.Incarnation == incarnation && time.Since(r.suspectedAt) >= refutationTime
}

// Counts are totals since the start of this node.
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
		caller:        o.Caller,
		log:           o.Log,
		lister:        o.Hosts,
		seedAddresses: slices.DeleteFunc(slices.Clone(o.Seeds), func(a string) bool { return a == o.Self.PeerAddress }),
		onChange:      o.OnChange,
		disabled:      o.Disabled,
		pushSignal:    make(chan struct{}, 1),
		random:        o.Random,
		self:          o.Self,
		records:       map[string]*record{},
		unknownHosts:  map[string]string{},
		queue:         queue{},
		pendingPushes: map[string]Member{},
		changed:       make(chan struct{}),
	}
}

// SetRevisions sets the configuration whose revision the messages carry. Call it
// before Register and Run.
func (t *Table) SetRevisions(r Revisions) { t.config = r }

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
	// Revision is the highest configuration revision that the member has
	// reported to be in force there, or zero.
	Revision uint64 `json:"revision,omitempty"`
}

// Snapshot is the state of the table for a dump.
type Snapshot struct {
	Self    Member   `json:"self"`
	Members []Status `json:"members"`
	// Queued is the number of updates that are still to be sent on pings.
	Queued int    `json:"queued"`
	Counts Counts `json:"counts"`
}

// Snapshot returns the state of the table, including dead members.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{Self: t.self, Queued: len(t.queue), Counts: t.counts}
	for _, r := range t.records {
		s.Members = append(s.Members, Status{r.Member, r.since, r.suspectedAt, r.revision})
	}
	slices.SortFunc(s.Members, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// merge applies an update if it overrides the known record. The caller holds mu.
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
		delete(t.unknownHosts, u.Name)
		t.set(known, u)
		return
	}
	unverified := u.State == Dead && t.disabled&Refutation == 0 && u.Incarnation >= known.Incarnation &&
		!known.acceptsDeath(u.Incarnation)
	if unverified {
		u.State = Suspect
	}
	if u.overrides(known.Member) {
		t.set(known, u)
		if unverified {
			t.unverifiedDeaths = append(t.unverifiedDeaths, known.Member)
		}
	}
}

// set replaces the content of a record, queues the update for other members and
// notifies the waiters on Changed. The caller holds mu.
func (t *Table) set(r *record, u Member) {
	before := r.Member
	if u.PeerAddress == "" {
		u.Address, u.PeerAddress, u.FailureDomain, u.Region = r.Address, r.PeerAddress, r.FailureDomain, r.Region
		u.Capacity = r.Capacity
	}
	r.Member = u
	r.since = time.Now()
	r.suspectedAt = time.Time{}
	switch u.State {
	case Suspect:
		r.suspectedAt = r.since
		t.counts.Suspicions++
	case Dead:
		t.counts.Deaths++
	}
	if t.onChange != nil {
		t.onChange(before, u)
	}
	if before.State != u.State {
		t.log.WithFields(logrus.Fields{
			"event": "member_state", "member": u.Name, "state": u.State, "incarnation": u.Incarnation,
		}).Info("member changed state")
	}
	if before.State == "" {
		// A new member is sent on pings and in exchanges only: after a start of
		// all nodes, pushes of all members would exceed the bytes allowed for a
		// node.
		t.queue.add(u)
	} else {
		t.queueUpdate(u)
	}
	t.notifyChanged()
}

// refute handles a peer's record of this node. If that record overrides this node's
// own, refute raises this node's incarnation above it and sends the new record,
// which overrides the peer's. The caller holds mu.
func (t *Table) refute(u Member) {
	if !u.overrides(t.self) || t.disabled&Refutation != 0 {
		return
	}
	t.self.Incarnation = u.Incarnation + 1
	t.counts.Refutations++
	t.log.WithFields(logrus.Fields{
		"event": "member_refuted", "state": u.State, "incarnation": t.self.Incarnation,
	}).Info("refuted a report about this node")
	t.queueUpdate(t.self)
	t.notifyChanged()
}

// queueUpdate queues an update for pings and for the next push. The caller holds
// mu.
func (t *Table) queueUpdate(m Member) {
	t.queue.add(m)
	if t.disabled&Forwarding == 0 {
		t.pendingPushes[m.Name] = m.compact()
		t.signalPush()
	}
}

func (t *Table) signalPush() {
	select {
	case t.pushSignal <- struct{}{}:
	default:
	}
}

// notifyChanged wakes the waiters on Changed and discards the cached ring. The
// caller holds mu.
func (t *Table) notifyChanged() {
	t.ring = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// ringNames returns the names of this node and all members that are not dead in
// the order of their hashes. The caller holds mu.
func (t *Table) ringNames() []string {
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

// sample returns up to n random members that are not dead, without the member
// whose name is except. The caller holds mu.
func (t *Table) sample(n int, except string) []Member {
	names := slices.Clone(t.ringNames())
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

// mergeMessage merges the sender's record in a message and the updates that came
// with it, and handles the sender's configuration revision.
func (t *Table) mergeMessage(sender Member, revision uint64, updates []Member) {
	guard.Locked(&t.mu, func() {
		t.merge(sender)
		if r := t.records[sender.Name]; r != nil {
			r.revision = max(r.revision, revision)
			if r.State != Suspect {
				r.suspectedAt = time.Time{}
			}
		}
		for _, u := range updates {
			t.merge(u)
		}
	})
	if t.config != nil && revision > t.config.Revision() {
		t.config.HandlePeerRevision(revision, sender)
	}
}
