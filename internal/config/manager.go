package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Membership lists the methods of member.Table that the package uses.
type Membership interface {
	Self() member.Member
	Members() []member.Member
	Changed() <-chan struct{}
	// Announce sends the revision in force to other members.
	Announce()
}

// Options are the dependencies of a Manager.
type Options struct {
	Store   plat.Store
	Caller  wire.Caller
	Members Membership
	Random  *rand.Rand
	Log     logrus.FieldLogger
	Join    JoinFunc
	// OnChange, if not nil, is called with the revisions before and after each
	// change of the configuration in force. It must not block.
	OnChange func(before, after uint64)
	// Disabled is the set of mechanisms that are off. Tests disable a mechanism
	// to show that their checks fail without it.
	Disabled Mechanism
}

// Mechanism is a set of mechanisms by which the package keeps its guarantees.
type Mechanism uint

// The mechanisms that a test can disable.
const (
	// RevisionCheck refuses a revision that is not above the one in force.
	RevisionCheck Mechanism = 1 << iota
	// HashCheck compares the content of a part with its size and hash.
	HashCheck
	// ReadBack reads the manifest again after a write of unknown outcome.
	ReadBack
	// CollectionFence rewrites the manifest before a garbage collection deletes
	// parts, so that an Apply in progress starts over.
	CollectionFence
	// PeerFetch fetches the configuration from peers.
	PeerFetch
)

// Calls counts calls to the platform by method.
type Calls struct {
	Get, List, Put, Delete, Watch int64
}

// Manager holds the configuration in force on this node.
type Manager struct {
	store    *countingStore
	caller   wire.Caller
	members  Membership
	log      logrus.FieldLogger
	join     JoinFunc
	onChange func(before, after uint64)
	disabled Mechanism
	current  atomic.Pointer[Snapshot]
	// fetchSignal wakes fetchLoop.
	fetchSignal chan struct{}
	// fetchSlots limits concurrent calls of serveFetch.
	fetchSlots chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// announced is the highest revision that peers have announced; announcers
	// are peers that announced it and from which it has not been fetched yet.
	announced  uint64
	announcers []member.Member
	changed    chan struct{}
	// lastErr is the last failure to get a configuration, or nil if there was
	// none since one came into force. Require wraps it in its error while no
	// configuration is in force.
	lastErr error
	// refusedRevision is the last revision that the JoinFunc refused, and
	// refusedAt is when.
	refusedRevision uint64
	refusedAt       time.Time
}

var _ member.Revisions = (*Manager)(nil)

const (
	// watchTimeout is above 30 s, the longest wait of a watch on the platform.
	watchTimeout = 40 * time.Second
	callTimeout  = 5 * time.Second
	fetchTimeout = 3 * time.Second
	// startDelay lets a starting node discover other members before it decides
	// whether it is a watcher, one of the nodes that watch the platform.
	startDelay = 4 * time.Second
	// partInterval is the pause before each read of a part after the first
	// partBurst reads. After a restart of all nodes many watchers read the
	// whole document, and the platform answers about two thousand reads per
	// second.
	partInterval    = 20 * time.Millisecond
	partBurst       = 4
	watchRetryMin   = 200 * time.Millisecond
	watchRetryMax   = 4 * time.Second
	fetchRetryMin   = 50 * time.Millisecond
	fetchRetryMax   = 2 * time.Second
	applyRetryMin   = 20 * time.Millisecond
	applyRetryMax   = 2 * time.Second
	collectInterval = time.Hour
	// refusedRetryDelay is how long a refused revision is not fetched again.
	refusedRetryDelay    = 5 * time.Second
	maxAnnouncers        = 8
	maxConcurrentFetches = 8
	// watchersPerDomain is how many nodes of a failure domain are watchers.
	watchersPerDomain = 2
	// maxReplyBytes bounds the content in one fetch reply. A reply has at least
	// one part even if that is larger.
	maxReplyBytes = 512 << 10
)

// New returns a manager without a configuration.
func New(o Options) *Manager {
	mgr := &Manager{
		store:       &countingStore{store: o.Store},
		caller:      o.Caller,
		members:     o.Members,
		log:         o.Log,
		join:        o.Join,
		onChange:    o.OnChange,
		disabled:    o.Disabled,
		fetchSignal: make(chan struct{}, 1),
		fetchSlots:  make(chan struct{}, maxConcurrentFetches),
		random:      o.Random,
		changed:     make(chan struct{}),
	}
	return mgr
}

// Current returns the configuration in force, or nil.
func (mgr *Manager) Current() *Snapshot { return mgr.current.Load() }

// Require returns the configuration in force. If there is none, the error is of
// kind NoConfig and wraps the cause.
func (mgr *Manager) Require() (*Snapshot, error) {
	if s := mgr.current.Load(); s != nil {
		return s, nil
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.lastErr != nil {
		return nil, fault.Wrap(fault.NoConfig, mgr.lastErr, "no configuration in force")
	}
	return nil, fault.New(fault.NoConfig, "no configuration in force: none received yet")
}

// Revision returns the revision in force, or zero if there is none.
func (mgr *Manager) Revision() uint64 {
	if s := mgr.current.Load(); s != nil {
		return s.Manifest.Revision
	}
	return 0
}

// Changed returns a channel that is closed at the next change of Current.
func (mgr *Manager) Changed() <-chan struct{} {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.changed
}

// Calls returns the calls to the platform since the start.
func (mgr *Manager) Calls() Calls { return mgr.store.calls() }

// Run keeps the configuration up to date until the context ends.
func (mgr *Manager) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("config fetch", guard.Loop(mgr.log, "config fetch", mgr.fetchLoop))
	if mgr.store.store != nil {
		g.Go("config watch", guard.Loop(mgr.log, "config watch", mgr.watchLoop))
		g.Go("config collect", guard.Loop(mgr.log, "config collect", mgr.collectLoop))
	}
	return g.Wait()
}

// install puts a configuration in force. The error is Stale if its revision is
// not above the one in force, and Invalid if content is missing, does not match
// its hash or is refused; the configuration in force then stays.
func (mgr *Manager) install(m Manifest, contents map[string][]byte) error {
	document, used, err := mgr.validate(m, contents)
	if err != nil {
		mgr.setLastErr(err)
		mgr.log.WithFields(logrus.Fields{"event": "config_refused", "revision": m.Revision}).WithError(err).Error("configuration refused")
		return err
	}
	if err := mgr.replace(&Snapshot{Manifest: m, Contents: used, Document: document}); err != nil {
		return err
	}
	mgr.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": m.Revision}).Info("configuration in force")
	mgr.members.Announce()
	return nil
}

// replace puts a snapshot in force unless its revision is not above the one in force.
func (mgr *Manager) replace(s *Snapshot) error {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	previous := mgr.Revision()
	if s.Manifest.Revision <= previous && mgr.disabled&RevisionCheck == 0 {
		return fault.New(fault.Stale, "revision %d is not above %d", s.Manifest.Revision, previous)
	}
	mgr.current.Store(s)
	mgr.lastErr = nil
	if mgr.onChange != nil {
		mgr.onChange(previous, s.Manifest.Revision)
	}
	close(mgr.changed)
	mgr.changed = make(chan struct{})
	return nil
}

// validate verifies the contents, keyed by hash, against the manifest and builds
// the document. It returns the document and the contents to which the manifest
// refers. It records a revision that the JoinFunc refuses.
func (mgr *Manager) validate(m Manifest, contents map[string][]byte) (*confd.Document, map[string][]byte, error) {
	byName := make(map[string][]byte, len(m.Parts))
	used := make(map[string][]byte, len(m.Parts))
	for name, part := range m.Parts {
		content, ok := contents[part.Hash]
		if !ok {
			return nil, nil, fault.New(fault.Invalid, "part %q is missing", name)
		}
		if mgr.disabled&HashCheck == 0 {
			if err := part.verify(name, content); err != nil {
				return nil, nil, err
			}
		}
		byName[name], used[part.Hash] = content, content
	}
	document, err := mgr.join(m, byName)
	if err != nil {
		mgr.mu.Lock()
		mgr.refusedRevision, mgr.refusedAt = m.Revision, time.Now()
		mgr.mu.Unlock()
		return nil, nil, fault.Wrap(fault.Invalid, err, "revision %d", m.Revision)
	}
	return document, used, nil
}

// setLastErr records a failure to get a configuration.
func (mgr *Manager) setLastErr(err error) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.lastErr = err
}

// jitter returns a random duration between half of d and one and a half times d.
func (mgr *Manager) jitter(d time.Duration) time.Duration {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return d/2 + time.Duration(mgr.random.Int64N(int64(d)))
}

// sleepBackoff waits for about d, with jitter, and then doubles d up to a limit.
// It reports false if the context ended first.
func (mgr *Manager) sleepBackoff(ctx context.Context, d *time.Duration, limit time.Duration) bool {
	wait := mgr.jitter(*d)
	*d = min(2**d, limit)
	return sleep(ctx, wait)
}

// sleep waits for d. It reports false if the context ended first.
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
