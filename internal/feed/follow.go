package feed

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// MethodWatch is the peer call that returns changes.
const MethodWatch = "feed.watch"

const (
	// readersPerDomain is how many members of a failure domain watch the
	// platform: one more than needed, so that the failure of one has no effect.
	readersPerDomain = 2
	// platformWait is the longest wait of a watch on the platform. The reply
	// at its end shows that the connection works.
	platformWait = time.Second
	// peerWait is the longest wait of a watch on a peer. Two consecutive waits
	// fit into the two seconds within which a configuration must be in force.
	peerWait = 600 * time.Millisecond
	// peerSlots is how many peers are watched concurrently. One would not do: if
	// the platform stops answering a peer, the peer detects this only after its
	// own wait.
	peerSlots = 2
	// callMargin is added to the wait of a call to allow for network latency.
	callMargin = 300 * time.Millisecond
	// peersLostTime is the time without a usable reply of any followed peer after
	// which a node asks the platform itself. It is longer than peerWait and short
	// enough that a change arrives within half of the two seconds.
	peersLostTime = 800 * time.Millisecond
	// askRate bounds the calls per second, over all nodes, with which nodes that lost
	// their peers begin to ask the platform.
	askRate = 400
	// silenceMemory is how long a peer that did not reply is not counted as a
	// reader. The membership suspects a failed member earlier.
	silenceMemory = 5 * time.Second
	// listTimeout bounds a List call.
	listTimeout = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// unreadablePause is the mean pause before all keys are listed because an answer
	// to a watch could not be read. If that lasts, the lists replace the watches.
	unreadablePause = 500 * time.Millisecond
	// staleAge is the age above which a copy is too old: a node stops following
	// a peer with such a copy, and watches the platform if its own copy is that
	// old. A peer that failed is also avoided for this time.
	staleAge = 2 * time.Second
)

// Members is the part of the membership that a Follower uses.
type Members interface {
	Self() member.Member
	Members() []member.Member
}

// Options are the dependencies of a Follower.
type Options struct {
	Feed     *Feed
	Platform Source
	Caller   wire.Caller
	Members  Members
	Random   *rand.Rand
	Log      logrus.FieldLogger
}

// Follower keeps a Feed up to date from the platform and from peers.
type Follower struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// failedAt is when each peer, by name, last failed or had unusable data.
	failedAt map[string]time.Time
	// silentAt is when a call to each peer, by name, last failed, for silenceMemory.
	silentAt map[string]time.Time
	// current is the name of the peer followed in each slot.
	current [peerSlots]string
	// askAt is when this node asks the platform itself unless a peer sends a usable
	// reply before.
	askAt time.Time

	// wake interrupts the pause of a node that does not read the platform.
	wake chan struct{}
}

// NewFollower returns a follower that makes no calls until Run.
func NewFollower(o Options) *Follower {
	return &Follower{options: o, random: o.Random, failedAt: map[string]time.Time{}, silentAt: map[string]time.Time{}, wake: make(chan struct{}, 1)}
}

// watchRequest asks a peer for the changes after a version.
type watchRequest struct {
	After Version       `json:"after"`
	Wait  time.Duration `json:"wait_ns"`
}

// Register adds the handler of MethodWatch to a mux.
func (f *Follower) Register(m *wire.Mux) {
	m.Handle(MethodWatch, wire.Typed(func(ctx context.Context, _ string, request watchRequest) (Batch, error) {
		return f.options.Feed.waitForChanges(ctx, request.After, min(request.Wait, peerWait))
	}))
}

// Run follows the platform and the peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("feed platform", guard.Loop(f.options.Log, "feed platform", f.followPlatform))
	for slot := range peerSlots {
		g.Go("feed peers", guard.Loop(f.options.Log, "feed peers", func(ctx context.Context) error { return f.followPeers(ctx, slot) }))
	}
	return g.Wait()
}

// isReader reports whether this node should watch the platform: it is among the
// readersPerDomain highest ranked members of its failure domain that reply, it lost
// the peers that it follows, or its copy is stale. While the nodes' views of the
// membership differ, there may be more readers.
func (f *Follower) isReader() bool {
	self := f.options.Members.Self()
	if f.options.Feed.Age() > staleAge || f.untilAsk() <= 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers()[self.Name]
}

// untilAsk returns the time until this node asks the platform itself.
func (f *Follower) untilAsk() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.askAt)
}

// postponeAsk is called when a peer sent a usable reply. The times at which the nodes
// begin to ask are spread so that all together stay within askRate. With onlyFirst it
// has an effect only at the start of a node, before any usable reply.
func (f *Follower) postponeAsk(onlyFirst bool) {
	spread := time.Duration(len(f.options.Members.Members())) * time.Second / askRate
	f.mu.Lock()
	defer f.mu.Unlock()
	if onlyFirst && !f.askAt.IsZero() {
		return
	}
	f.askAt = time.Now().Add(peersLostTime + time.Duration(f.random.Int64N(int64(spread)+1)))
}

// readers returns the names of the members that should watch the platform: the
// readersPerDomain highest ranked of each failure domain. Peers that did not reply
// to this node recently are left out. The caller holds mu.
func (f *Follower) readers() map[string]bool {
	domains := map[string][]member.Member{}
	for _, m := range f.options.Members.Members() {
		if m.State != member.Alive || time.Since(f.silentAt[m.Name]) < silenceMemory {
			continue
		}
		// Sorting the whole membership would be slow if it is large.
		list := domains[m.FailureDomain]
		if len(list) == readersPerDomain && compareRank(list[readersPerDomain-1], m) < 0 {
			continue
		}
		list = append(list, m)
		slices.SortFunc(list, compareRank)
		domains[m.FailureDomain] = list[:min(len(list), readersPerDomain)]
	}
	readers := map[string]bool{}
	for _, list := range domains {
		for _, m := range list {
			readers[m.Name] = true
		}
	}
	return readers
}

// tieBreaker returns a hash that orders members of equal capacity.
func tieBreaker(m member.Member) uint64 { return xxhash.Sum64String("feed\x00" + m.Name) }

// compareRank orders members by the order in which they are chosen to watch the
// platform: by capacity, the highest first, then by tieBreaker.
func compareRank(a, b member.Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(tieBreaker(b), tieBreaker(a)))
}

// followPlatform watches the platform while this node is a reader.
func (f *Follower) followPlatform(ctx context.Context) error {
	pause := retryMin
	reading, platformLost := false, false
	// All keys are listed if the revision of after is zero.
	var after Version
	var wait time.Duration
	for ctx.Err() == nil {
		if !f.isReader() {
			reading = false
			f.options.Feed.setDirect(false)
			if !f.awaitReading(ctx) {
				break
			}
			continue
		}
		if !reading {
			reading, after, wait = true, f.resumeFrom(), 0
		}
		batch, err := f.readPlatform(ctx, after, wait)
		if err == nil && f.apply(batch, "platform") == Unusable {
			// The next answer may be of an earlier era, too.
			after = Version{}
			if !f.sleep(ctx, pause) {
				break
			}
			pause = min(2*pause, retryMax)
			continue
		}
		if err == nil {
			f.options.Feed.setDirect(true)
			f.postponeAsk(true)
			after, wait, pause = batch.Version, platformWait, retryMin
			if platformLost {
				f.options.Log.WithFields(logrus.Fields{"event": "platform_regained", "revision": after.Revision}).Info("the platform is reachable again")
			}
			platformLost = false
			continue
		}
		if listPause, again := f.mustList(after, err); again {
			after = Version{}
			if !f.sleep(ctx, listPause) {
				break
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.options.Feed.setFailed(time.Now())
		if !platformLost {
			f.options.Log.WithError(err).WithFields(logrus.Fields{"event": "platform_lost", "revision": after.Revision}).
				Warn("the platform does not answer; changes are read from peers only")
		}
		platformLost = true
		if !f.sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, retryMax)
	}
	return ctx.Err()
}

// mustList reports whether all keys have to be listed because of an error of a call for
// the changes after a version, and the mean pause before that.
func (f *Follower) mustList(after Version, err error) (pause time.Duration, again bool) {
	log := f.options.Log.WithError(err).WithFields(logrus.Fields{"revision": after.Revision, "era": after.Era})
	switch {
	case fault.Is(err, fault.Stale):
		log.WithField("event", "platform_history_gone").
			Warn("changes since this revision are no longer known to the platform; all keys are listed again")
		if after.Revision == 0 {
			return retryMin, true
		}
		return 0, true
	case after.Revision > 0 && fault.Is(err, fault.Invalid):
		log.WithField("event", "platform_unreadable").
			Warn("changes since this revision cannot be read; all keys are listed again")
		return unreadablePause, true
	}
	return 0, false
}

// apply applies a batch of the platform or of a peer to the copy.
func (f *Follower) apply(b Batch, source string) Result {
	last := f.options.Feed.Version()
	result := f.options.Feed.Apply(b, time.Now())
	fields := logrus.Fields{"era": b.Era, "revision": b.Revision, "last_era": last.Era, "last_revision": last.Revision, "source": source}
	switch {
	case result == Replaced && last.Revision > 0:
		f.options.Log.WithFields(fields).WithField("event", "copy_replaced").
			Warn("the platform came back from a copy of earlier keys; its present keys have replaced those held here")
	case result == Unusable:
		f.options.Log.WithFields(fields).WithField("event", "batch_refused").
			Info("keys of another era cannot be merged with those held here")
	}
	return result
}

// resumeFrom returns the version from which a node that becomes a reader watches the
// platform, or the zero value if it has to list all keys. A node whose copy was up to date
// shortly before asks for the changes only.
func (f *Follower) resumeFrom() Version {
	if f.options.Feed.Age() > staleAge {
		return Version{}
	}
	version := f.options.Feed.Version()
	f.options.Log.WithFields(logrus.Fields{"event": "platform_asked", "revision": version.Revision, "peers_lost": f.untilAsk() <= 0}).
		Info("this node lost the peers that it follows, or became a reader; it asks the platform")
	return version
}

// awaitReading waits until this node may have become a reader. It reports false if
// the context ended.
func (f *Follower) awaitReading(ctx context.Context) bool {
	timer := time.NewTimer(min(f.spread(platformWait), max(0, f.untilAsk())))
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (f *Follower) readPlatform(ctx context.Context, after Version, wait time.Duration) (Batch, error) {
	if after.Revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.options.Platform.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, platformWait+callMargin)
	defer cancel()
	return f.options.Platform.Watch(ctx, after, wait)
}

// followPeers watches one peer at a time, that of the given slot. It switches to
// another peer if the call fails, the peer's copy is stale, or the peer does not
// read its keys from the platform.
func (f *Follower) followPeers(ctx context.Context, slot int) error {
	for ctx.Err() == nil {
		peer, ok := f.choosePeer(slot)
		if !ok {
			if !f.sleep(ctx, retryMin) {
				break
			}
			continue
		}
		started := time.Now()
		batch, err := f.watchPeer(ctx, peer)
		if err != nil {
			f.markFailed(peer.Name, slot)
			if !fault.Is(err, fault.NoConfig) {
				f.markSilent(peer.Name)
			}
			// A call that timed out was pause enough.
			if time.Since(started) < peerWait && !f.sleep(ctx, retryMin) {
				break
			}
			continue
		}
		if f.apply(batch, peer.Name) == Unusable {
			f.markFailed(peer.Name, slot)
			if !f.sleep(ctx, retryMin) {
				break
			}
			continue
		}
		if batch.Age > staleAge || !batch.Direct {
			f.markFailed(peer.Name, slot)
			continue
		}
		f.postponeAsk(false)
	}
	return ctx.Err()
}

func (f *Follower) watchPeer(ctx context.Context, peer member.Member) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+callMargin)
	defer cancel()
	var batch Batch
	err := f.options.Caller.Call(ctx, peer.PeerAddress, MethodWatch,
		watchRequest{After: f.options.Feed.Version(), Wait: peerWait}, &batch)
	if err != nil {
		return batch, err
	}
	return batch.decompress()
}

// markSilent records that a peer did not reply. Another node may have become a reader
// by this, possibly this one.
func (f *Follower) markSilent(name string) {
	f.mu.Lock()
	maps.DeleteFunc(f.silentAt, func(_ string, at time.Time) bool { return time.Since(at) >= silenceMemory })
	f.silentAt[name] = time.Now()
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// markFailed makes choosePeer avoid a peer for staleAge and frees the slot.
func (f *Follower) markFailed(name string, slot int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[name] = time.Now()
	f.current[slot] = ""
}

// choosePeer returns the peer to follow in a slot: the current one while it is
// alive, else the best peer that no slot follows. Peers that have not failed
// within staleAge are preferred, then alive ones, then readers, then those of
// this node's failure domain.
func (f *Follower) choosePeer(slot int) (member.Member, bool) {
	self := f.options.Members.Self()
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []member.Member
	for _, m := range f.options.Members.Members() {
		if m.Name == self.Name || m.State == member.Dead {
			continue
		}
		if m.Name == f.current[slot] && m.State == member.Alive {
			return m, true
		}
		if !slices.Contains(f.current[:], m.Name) {
			peers = append(peers, m)
		}
	}
	if len(peers) == 0 {
		return member.Member{}, false
	}
	readers := f.readers()
	f.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	// Each criterion outweighs all later ones together.
	penalty := func(m member.Member) int {
		c := 0
		if time.Since(f.failedAt[m.Name]) < staleAge {
			c += 8
		}
		if m.State != member.Alive {
			c += 4
		}
		if !readers[m.Name] {
			c += 2
		}
		if m.FailureDomain != self.FailureDomain {
			c++
		}
		return c
	}
	best := slices.MinFunc(peers, func(a, b member.Member) int { return cmp.Compare(penalty(a), penalty(b)) })
	f.current[slot] = best.Name
	return best, true
}

// spread returns a random duration between half of d and one and a half times d.
func (f *Follower) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.random.Int64N(int64(d)))
}

// sleep waits for spread(d). It reports false if the context ended.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	return group.Sleep(ctx, f.spread(d))
}
