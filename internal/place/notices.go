package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxNotices is the number of processes whose notices are kept. Beyond it, that of
	// the process that was not asked about for longest is dropped.
	maxNotices = 4096
	// noticeShareTime is how long the reports and calls to owners repeat a notice.
	noticeShareTime = 2 * time.Second
	// A pause is prolonged by a random time up to pauseSpread of it, at most
	// maxPauseSpread, so that upstreams whose pauses end together return one by one.
	pauseSpread    = 0.2
	maxPauseSpread = 500 * time.Millisecond
)

// Notice is what an answer of an upstream says of further requests.
type Notice struct {
	// Leaving says that the process of the upstream takes nothing new until it ends.
	Leaving bool
	// Pause is the time in which the upstream wants nothing from this node.
	Pause time.Duration
}

// Notices holds the notices of upstreams that this node has had, or heard of from other
// nodes. Neither the platform nor a peer can withdraw them. It is safe for concurrent
// use.
type Notices struct {
	log    logrus.FieldLogger
	random *rand.Rand
	// version counts the processes in leaving.
	version atomic.Uint64

	mu sync.Mutex
	// leaving holds the processes that leave.
	leaving map[string]*leavingNotice
	// sharedUntil is the latest sharedUntil of leaving.
	sharedUntil time.Time
	// pausedUntil holds the ends of pauses by process. pausedCount is its length.
	pausedUntil map[string]time.Time
	pausedCount atomic.Int64
}

// leavingNotice says when a notice was last used, and until when it is repeated to
// owners.
type leavingNotice struct{ usedAt, sharedUntil time.Time }

// NewNotices returns an empty table.
func NewNotices(random *rand.Rand, log logrus.FieldLogger) *Notices {
	return &Notices{random: random, log: log, leaving: map[string]*leavingNotice{}, pausedUntil: map[string]time.Time{}}
}

// Observe records the notice in an answer of a process.
func (n *Notices) Observe(process string, notice Notice) {
	if notice.Leaving {
		n.learn([]string{process}, "answer")
	}
	if notice.Pause > 0 {
		n.pause(process, notice.Pause)
	}
}

// learn records that processes leave, and logs from where this node knows.
func (n *Notices) learn(processes []string, source string) {
	if len(processes) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, process := range processes {
		if n.leaving[process] != nil {
			continue
		}
		if len(n.leaving) >= maxNotices {
			n.evict()
		}
		n.sharedUntil = now.Add(noticeShareTime)
		n.leaving[process] = &leavingNotice{now, n.sharedUntil}
		n.version.Add(1)
		n.log.WithFields(logrus.Fields{"event": "upstream_leaves", "upstream": process, "source": source}).
			Info("an upstream announced that it leaves; it gets nothing new")
	}
}

// evict drops the notice that was not used for longest. The caller holds mu.
func (n *Notices) evict() {
	oldest := ""
	for process, l := range n.leaving {
		if oldest == "" || l.usedAt.Before(n.leaving[oldest].usedAt) {
			oldest = process
		}
	}
	delete(n.leaving, oldest)
}

// Leaving reports whether a process announced that it leaves.
func (n *Notices) Leaving(process string) bool {
	if n.version.Load() == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.leaving[process]
	if l != nil {
		l.usedAt = time.Now()
	}
	return l != nil
}

// share repeats to owners for noticeShareTime that a process leaves.
func (n *Notices) share(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.leaving[process]; l != nil {
		n.sharedUntil = time.Now().Add(noticeShareTime)
		l.sharedUntil = n.sharedUntil
	}
}

// shared returns the processes that owners are told of now, among them all of the given
// upstreams that leave.
func (n *Notices) shared(upstreams []Upstream) []string {
	if n.version.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var list []string
	if now.Before(n.sharedUntil) {
		for process, l := range n.leaving {
			if now.Before(l.sharedUntil) {
				list = append(list, process)
			}
		}
	}
	for _, u := range upstreams {
		if process := u.Process(); n.leaving[process] != nil && !slices.Contains(list, process) {
			list = append(list, process)
		}
	}
	return list
}

// takers returns the upstreams that take a new request of this node now.
func (n *Notices) takers(upstreams []Upstream) []Upstream {
	if n.version.Load() == 0 && n.pausedCount.Load() == 0 {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool {
		return n.Leaving(u.Process()) || n.PauseLeft(u.Process()) > 0
	})
}
