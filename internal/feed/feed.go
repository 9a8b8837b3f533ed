// Package feed keeps a copy of the platform's keys on each node: the
// configuration and the list of upstreams. Some nodes of each failure domain
// watch the platform; all nodes also follow a peer that does, so that a node
// which the platform turns away learns of changes as soon as the others.
package feed

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// tombstoneTime is how long a deleted key is remembered, so that a peer with
// an older copy cannot bring it back. A peer that is cut off longer reads all
// keys anew.
const tombstoneTime = 10 * time.Minute

// outageGap is the time without news of the platform, from it or from a peer,
// that counts as its outage: longer than platformWait and the way to a peer.
const outageGap = 1500 * time.Millisecond

// Item is a key of the platform with the revision of its last change.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is the compressed value of an item on its way between nodes.
	Packed   []byte `json:"packed,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Batch is an answer of a source.
type Batch struct {
	Items []Item `json:"items,omitempty"`
	// At is the revision up to which the source knows all changes.
	At uint64 `json:"at"`
	// Age is how long ago the source was known to be up to date.
	Age time.Duration `json:"age_ns,omitempty"`
	// Direct says that the source has its keys from the platform itself. Two
	// nodes that are turned away must not follow each other.
	Direct bool `json:"direct,omitempty"`
	// Complete batches hold all keys; others the changes since a revision.
	Complete bool `json:"complete,omitempty"`
}

// Source gives the keys of the platform.
type Source interface {
	// List returns all keys.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// an empty batch after the wait. Stale says that the changes since the
	// revision are no longer known: list instead.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Entry is a live key of the copy.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Feed is the copy. Its methods may be called from any goroutine.
type Feed struct {
	log logrus.FieldLogger

	mu      sync.Mutex
	items   map[string]record
	at      uint64
	synced  time.Time
	changed chan struct{}
	// direct says that the platform answered this node's last call.
	direct bool
	// regained is when a batch last arrived after a gap of outageGap.
	regained time.Time
}

type record struct {
	Item
	since time.Time
	// packed is the item as it travels to other nodes.
	packed Item
}

// New returns an empty copy.
func New(log logrus.FieldLogger) *Feed {
	return &Feed{log: log, items: map[string]record{}, changed: make(chan struct{})}
}

// Apply takes over a batch that was received at a time. A key never goes back
// to an older revision.
func (f *Feed) Apply(b Batch, received time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	news := false
	for _, item := range b.Items {
		if f.items[item.Key].Revision < item.Revision {
			f.items[item.Key] = record{item, now, item.pack()}
			news = true
		}
	}
	if b.Complete {
		news = f.removeMissing(b, now) || news
	}
	if b.At > f.at {
		f.at = b.At
	}
	if synced := received.Add(-b.Age); b.At >= f.at && synced.After(f.synced) {
		if !f.synced.IsZero() && synced.Sub(f.synced) > outageGap {
			f.regained = now
		}
		f.synced = synced
	}
	for key, r := range f.items {
		if r.Deleted && now.Sub(r.since) > tombstoneTime {
			delete(f.items, key)
		}
	}
	if news {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// removeMissing deletes the keys that a complete batch lacks and that are not
// newer than it. The caller holds mu.
func (f *Feed) removeMissing(b Batch, now time.Time) bool {
	listed := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		listed[item.Key] = true
	}
	removed := false
	for key, r := range f.items {
		if !listed[key] && !r.Deleted && r.Revision <= b.At {
			gone := Item{Key: key, Revision: b.At, Deleted: true}
			f.items[key] = record{gone, now, gone}
			removed = true
		}
	}
	return removed
}

// setDirect records whether the platform answers this node.
func (f *Feed) setDirect(direct bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = direct
}

// At returns the revision up to which all changes are known, zero before the
// first batch.
func (f *Feed) At() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// Age returns how long ago the copy was known to be up to date.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.synced)
}

// Changed returns a channel that is closed at the next change.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Live returns the live keys.
func (f *Feed) Live() map[string]Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make(map[string]Entry, len(f.items))
	for key, r := range f.items {
		if !r.Deleted {
			live[key] = Entry{r.Value, r.Revision}
		}
	}
	return live
}

// since returns the changes after a revision, or all keys for revision zero, as
// they travel to another node.
func (f *Feed) since(after uint64) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := Batch{At: f.at, Age: time.Since(f.synced), Direct: f.direct, Complete: after == 0}
	for _, key := range slices.Sorted(maps.Keys(f.items)) {
		r := f.items[key]
		if r.Revision > after && (after > 0 || !r.Deleted) {
			b.Items = append(b.Items, r.packed)
		}
	}
	return b
}

// wait returns the changes after a revision once there are any, or after a
// time without.
func (f *Feed) wait(ctx context.Context, after uint64, limit time.Duration) (Batch, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := f.Changed()
		b := f.since(after)
		if b.At == 0 {
			return b, fault.New(fault.NoConfig, "this node has no copy of the platform's keys yet")
		}
		if len(b.Items) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.since(after), nil
		case <-ctx.Done():
			return b, fault.Wrap(fault.Canceled, ctx.Err(), "waiting for changes")
		}
	}
}

// SinceOutage returns how long ago the platform was regained after an outage,
// or the age of a copy that is in one now: zero.
func (f *Feed) SinceOutage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced.IsZero() && time.Since(f.synced) > outageGap {
		return 0
	}
	if f.regained.IsZero() {
		return math.MaxInt64
	}
	return time.Since(f.regained)
}
