package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// MethodWatch is the peer call that returns changes.
const MethodWatch = "feed.watch"

const (
	// readersPerDomain is how many members of a failure domain watch the
	// platform: one more than needed, so that one may fail unnoticed.
	readersPerDomain = 2
	// platformWait is the longest wait of a watch at the platform. Its end
	// shows that the connection lives.
	platformWait = time.Second
	// peerWait is the longest wait of a watch at a peer. Two in a row fit into
	// the two seconds in which a configuration must be in force.
	peerWait = 600 * time.Millisecond
	// lanes is how many peers are followed at a time. One may be turned away by
	// the platform without an answer, which it notices after its own wait.
	lanes = 2
	// callSlack is added to a wait for the time on the way.
	callSlack = 300 * time.Millisecond
	// listTimeout bounds the reading of all keys.
	listTimeout = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// staleAge is the age from which a peer's copy is no longer good enough to
	// stay with that peer.
	staleAge = 2 * time.Second
)

// Members is what the feed needs of the membership.
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

// Follower keeps a feed up to date.
type Follower struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	failed map[string]time.Time
	// current is the peer that each lane follows.
	current [lanes]string
}

// NewFollower returns a follower. Nothing is called before Run.
func NewFollower(o Options) *Follower {
	return &Follower{options: o, random: o.Random, failed: map[string]time.Time{}}
}

// watchCall asks a peer for the changes after a revision.
type watchCall struct {
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait_ns"`
}

// Register adds the handler of the peer call.
func (f *Follower) Register(m *wire.Mux) {
	m.Handle(MethodWatch, wire.Typed(func(ctx context.Context, _ string, c watchCall) (Batch, error) {
		return f.options.Feed.wait(ctx, c.After, min(c.Wait, peerWait))
	}))
}

// Run follows the platform and the peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("feed platform", f.followPlatform)
	for lane := range lanes {
		g.Go("feed peers", func(ctx context.Context) error { return f.followPeers(ctx, lane) })
	}
	return g.Wait()
}

// reads reports whether this node is among the readers of its failure domain.
// Two nodes with different views may both read.
func (f *Follower) reads() bool {
	self := f.options.Members.Self()
	better := 0
	for _, m := range f.options.Members.Members() {
		if m.State == member.Alive && m.FailureDomain == self.FailureDomain && above(m, self) {
			better++
		}
	}
	return better < readersPerDomain || f.options.Feed.Age() > staleAge
}

func rank(m member.Member) uint64 { return xxhash.Sum64String("feed\x00" + m.Name) }

// above reports whether a member watches the platform before another one: the
// one with more capacity does.
func above(a, b member.Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return rank(a) > rank(b)
}

// followPlatform watches the platform while this node is a reader.
func (f *Follower) followPlatform(ctx context.Context) error {
	pause := retryMin
	listed, lost := false, false
	var at uint64
	for ctx.Err() == nil {
		if !f.reads() {
			listed = false
			f.options.Feed.setDirect(false)
			if !f.sleep(ctx, platformWait) {
				break
			}
			continue
		}
		batch, err := f.readPlatform(ctx, listed, at)
		if err == nil {
			f.options.Feed.Apply(batch, time.Now())
			f.options.Feed.setDirect(true)
			listed, at, pause = true, batch.At, retryMin
			if lost {
				f.options.Log.WithFields(logrus.Fields{"event": "platform_regained", "revision": at}).Info("the platform answers again")
			}
			lost = false
			continue
		}
		if fault.Is(err, fault.Stale) {
			f.options.Log.WithField("event", "platform_history_gone").WithField("revision", at).Warn("changes are no longer known; all keys are read")
			listed = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.options.Feed.setDirect(false)
		if !lost {
			f.options.Log.WithError(err).WithFields(logrus.Fields{"event": "platform_lost", "revision": at}).
				Warn("the platform does not answer; peers are followed")
		}
		lost = true
		if !f.sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, retryMax)
	}
	return ctx.Err()
}

func (f *Follower) readPlatform(ctx context.Context, listed bool, at uint64) (Batch, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.options.Platform.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, platformWait+callSlack)
	defer cancel()
	return f.options.Platform.Watch(ctx, at, platformWait)
}

// followPeers watches one peer at a time, and another one when it fails, its
// copy is old, or it does not have its keys from the platform itself.
func (f *Follower) followPeers(ctx context.Context, lane int) error {
	for ctx.Err() == nil {
		peer, ok := f.choose(lane)
		if !ok {
			if !f.sleep(ctx, retryMin) {
				break
			}
			continue
		}
		batch, err := f.watchPeer(ctx, peer)
		if err != nil {
			f.avoid(peer.Name, lane)
			if !f.sleep(ctx, retryMin) {
				break
			}
			continue
		}
		f.options.Feed.Apply(batch, time.Now())
		if batch.Age > staleAge || !batch.Direct {
			f.avoid(peer.Name, lane)
		}
	}
	return ctx.Err()
}

func (f *Follower) watchPeer(ctx context.Context, peer member.Member) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+callSlack)
	defer cancel()
	var batch Batch
	err := f.options.Caller.Call(ctx, peer.PeerAddress, MethodWatch,
		watchCall{After: f.options.Feed.At(), Wait: peerWait}, &batch)
	if err != nil {
		return batch, err
	}
	return batch.unpack()
}

func (f *Follower) avoid(name string, lane int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[name] = time.Now()
	f.current[lane] = ""
}

// choose returns the peer that a lane follows: the current one while it is
// alive, else a reader, preferably of this node's failure domain, that has not
// failed lately and that no other lane follows.
func (f *Follower) choose(lane int) (member.Member, bool) {
	self := f.options.Members.Self()
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []member.Member
	for _, m := range f.options.Members.Members() {
		if m.Name == self.Name || m.State == member.Dead {
			continue
		}
		if m.Name == f.current[lane] && m.State == member.Alive {
			return m, true
		}
		if !slices.Contains(f.current[:], m.Name) {
			peers = append(peers, m)
		}
	}
	if len(peers) == 0 {
		return member.Member{}, false
	}
	readers := readersOf(peers)
	f.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	cost := func(m member.Member) int {
		c := 0
		if time.Since(f.failed[m.Name]) < staleAge {
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
	best := slices.MinFunc(peers, func(a, b member.Member) int { return cmp.Compare(cost(a), cost(b)) })
	f.current[lane] = best.Name
	return best, true
}

// readersOf returns the names of the members that watch the platform.
func readersOf(members []member.Member) map[string]bool {
	domains := map[string][]member.Member{}
	for _, m := range members {
		if m.State == member.Alive {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		}
	}
	readers := map[string]bool{}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b member.Member) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank(b), rank(a)))
		})
		for _, m := range list[:min(len(list), readersPerDomain)] {
			readers[m.Name] = true
		}
	}
	return readers
}

// sleep waits for about a time and reports false when the context ended.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	d = d/2 + time.Duration(f.random.Int64N(int64(d)))
	f.mu.Unlock()
	return group.Sleep(ctx, d)
}
