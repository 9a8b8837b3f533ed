package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Membership is what the package needs of the membership.
type Membership interface {
	Self() member.Member
	Members() []member.Member
	Changed() <-chan struct{}
	// Announce spreads the revision in force.
	Announce()
}

// Options are the dependencies of a Keeper.
type Options struct {
	Store   plat.Store
	Caller  wire.Caller
	Members Membership
	Random  *rand.Rand
	Log     logrus.FieldLogger
	Join    JoinFunc
	// Check is called with the revisions before and after each change of the
	// configuration in force; nil for none. It must not block.
	Check func(before, after uint64)
	// Without switches mechanisms off, so that a test can show that its
	// check fails without them.
	Without Mechanism
}

// Mechanism is a set of safeguards of the package.
type Mechanism uint

// The mechanisms that a test can switch off.
const (
	RevisionCheck Mechanism = 1 << iota
	HashCheck
	ReadBack
	CollectionFence
	PeerFetch
)

// Calls counts calls to the platform by kind.
type Calls struct {
	Get, List, Put, Delete, Watch int64
}

// Keeper holds the configuration in force on this node.
type Keeper struct {
	store   *counted
	caller  wire.Caller
	members Membership
	log     logrus.FieldLogger
	join    JoinFunc
	check   func(before, after uint64)
	without Mechanism
	current atomic.Pointer[Snapshot]
	learned chan struct{}
	serving chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	wanted  uint64
	sources []member.Member
	changed chan struct{}
	reason  error
	// refused is the last revision whose parts did not join, and when.
	refused   uint64
	refusedAt time.Time
}

var _ member.Revisions = (*Keeper)(nil)

const (
	// watchTimeout is above the longest wait of the platform, 30 s.
	watchTimeout = 40 * time.Second
	callTimeout  = 5 * time.Second
	fetchTimeout = 3 * time.Second
	// startTime lets a starting node find other members before it takes
	// itself for a watcher.
	startTime = 4 * time.Second
	// partPace is the time between reads of parts after the first partBurst.
	// Many watchers read the whole document after a restart of all nodes, and
	// the platform answers about two thousand reads per second.
	partPace      = 20 * time.Millisecond
	partBurst     = 4
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 4 * time.Second
	fetchRetryMin = 50 * time.Millisecond
	fetchRetryMax = 2 * time.Second
	applyRetryMin = 20 * time.Millisecond
	applyRetryMax = 2 * time.Second
	collectTime   = time.Hour
	// refusedTime is how long a refused revision is not fetched again.
	refusedTime     = 5 * time.Second
	maxSources      = 8
	maxServing      = 8
	watchersPerZone = 2
	// maxReply bounds the content in one fetch reply, in bytes, except that
	// one part is always sent.
	maxReply = 512 << 10
)

// New returns a keeper without a configuration.
func New(o Options) *Keeper {
	k := &Keeper{
		store:   &counted{store: o.Store},
		caller:  o.Caller,
		members: o.Members,
		log:     o.Log,
		join:    o.Join,
		check:   o.Check,
		without: o.Without,
		learned: make(chan struct{}, 1),
		serving: make(chan struct{}, maxServing),
		random:  o.Random,
		changed: make(chan struct{}),
	}
	return k
}

// Current returns the configuration in force, or nil.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Require returns the configuration in force. NoConfig says why there is none.
func (k *Keeper) Require() (*Snapshot, error) {
	if s := k.current.Load(); s != nil {
		return s, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reason != nil {
		return nil, fault.Wrap(fault.NoConfig, k.reason, "no configuration in force")
	}
	return nil, fault.New(fault.NoConfig, "no configuration in force: none received yet")
}

// Revision returns the revision in force, or zero.
func (k *Keeper) Revision() uint64 {
	if s := k.current.Load(); s != nil {
		return s.Manifest.Revision
	}
	return 0
}

// Changed returns a channel that is closed at the next change of Current.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Calls returns the calls to the platform since the start.
func (k *Keeper) Calls() Calls { return k.store.calls() }

// Run keeps the configuration up to date until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("config fetch", k.fetchLoop)
	if k.store.store != nil {
		g.Go("config watch", k.watchLoop)
		g.Go("config collect", k.collectLoop)
	}
	return g.Wait()
}

// install puts a configuration in force. Stale refuses a revision that is not
// above the one in force, Invalid wrong or missing content. Neither changes
// anything.
func (k *Keeper) install(m Manifest, contents map[string][]byte) error {
	document, held, err := k.accept(m, contents)
	if err != nil {
		k.fail(err)
		k.log.WithFields(logrus.Fields{"event": "config_refused", "revision": m.Revision}).WithError(err).Error("configuration refused")
		return err
	}
	k.mu.Lock()
	before := k.Revision()
	if m.Revision <= before && k.without&RevisionCheck == 0 {
		k.mu.Unlock()
		return fault.New(fault.Stale, "revision %d is not above %d", m.Revision, before)
	}
	k.current.Store(&Snapshot{Manifest: m, Parts: held, Document: document})
	k.reason = nil
	if k.check != nil {
		k.check(before, m.Revision)
	}
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	k.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": m.Revision}).Info("configuration in force")
	k.members.Announce()
	return nil
}

// accept verifies and joins the contents, and returns only those in use.
func (k *Keeper) accept(m Manifest, contents map[string][]byte) (*confd.Document, map[string][]byte, error) {
	byName := make(map[string][]byte, len(m.Parts))
	held := make(map[string][]byte, len(m.Parts))
	for name, part := range m.Parts {
		content, ok := contents[part.Hash]
		if !ok {
			return nil, nil, fault.New(fault.Invalid, "part %q is missing", name)
		}
		if k.without&HashCheck == 0 {
			if err := part.verify(name, content); err != nil {
				return nil, nil, err
			}
		}
		byName[name], held[part.Hash] = content, content
	}
	document, err := k.join(m, byName)
	if err != nil {
		k.mu.Lock()
		k.refused, k.refusedAt = m.Revision, time.Now()
		k.mu.Unlock()
		return nil, nil, fault.Wrap(fault.Invalid, err, "revision %d", m.Revision)
	}
	return document, held, nil
}

// fail records why there is no configuration.
func (k *Keeper) fail(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reason = err
}

// jitter returns a random duration between half of d and three halves.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return d/2 + time.Duration(k.random.Int64N(int64(d)))
}

// pause waits for a jittered duration and doubles it for the next time, up to
// a maximum. It reports false when the context ended.
func (k *Keeper) pause(ctx context.Context, d *time.Duration, limit time.Duration) bool {
	wait := k.jitter(*d)
	*d = min(2**d, limit)
	return sleep(ctx, wait)
}

// sleep reports false when the context ended before the time was over.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
