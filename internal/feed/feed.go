// Package feed replicates the keys of the platform's key-value store to each node.
// The keys hold the configuration and the list of upstreams. Some nodes of each
// failure domain watch the platform. All nodes also watch peers that do, so that a
// node whose calls the platform does not answer receives changes as soon as the
// others do.
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

// tombstoneTime is how long a tombstone is kept: the item, marked as deleted, that
// replaces a deleted key. Without the tombstone a peer with an older copy could
// restore the key. A node that is disconnected for longer lists all keys again.
const tombstoneTime = 10 * time.Minute

// outageGap is the shortest time without an up-to-date batch, from the platform or
// from a peer, that may count as an outage of the platform. It is longer than
// platformWait plus the transfer to a peer.
const outageGap = 1500 * time.Millisecond

// Item is a key of the platform with its value and the revision of its last
// change.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Compressed replaces Value in items sent between nodes if the value is
	// large.
	Compressed []byte `json:"packed,omitempty"`
	Revision   uint64 `json:"revision"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// Batch is a reply of a Source.
type Batch struct {
	Items []Item `json:"items,omitempty"`
	// Version is that up to which the source has received all changes. Its era is that
	// of all items.
	Version
	// Age is the time since the source was last known to be up to date.
	Age time.Duration `json:"age_ns,omitempty"`
	// Direct reports that the source reads its keys from the platform rather
	// than from a peer. A node stops following a peer whose batches are not direct.
	// Otherwise two nodes that the platform does not answer could follow each other,
	// and neither would receive changes.
	Direct bool `json:"direct,omitempty"`
	// FailureAge is the time since a call of the source itself to the platform last
	// failed, or zero if none has. The silence of a peer is no such failure.
	FailureAge time.Duration `json:"failure_age_ns,omitempty"`
	// Complete reports that Items holds all keys. Otherwise it holds the
	// changes since a revision.
	Complete bool `json:"complete,omitempty"`
}

// Source reads the keys of the platform.
type Source interface {
	// List returns all keys.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a version as soon as there are any, or
	// an empty batch after the wait. It returns fault.Stale if the platform no
	// longer has the changes since the version, or is in another era; the caller must
	// call List.
	Watch(ctx context.Context, after Version, wait time.Duration) (Batch, error)
}

// Entry is the value of a key that is not deleted.
type Entry struct {
	Value []byte
	// Version is that of the last change.
	Version Version
}

// Result is what Apply made of a batch.
type Result int

const (
	// Merged batches are of the era of the copy.
	Merged Result = iota
	// Replaced means that the batch is of a later era and has taken the place of the copy.
	Replaced
	// Unusable batches are of an earlier era, or hold only the changes of a later one.
	Unusable
)

// Feed is the local copy of the platform's keys. Its methods are safe for
// concurrent use.
type Feed struct {
	log logrus.FieldLogger

	mu    sync.Mutex
	items map[string]record
	// version is that up to which all changes are in the copy. Its era is that of all
	// items.
	version Version
	// base is the revision of the last list that brought the copy forward. The copy may
	// hold no tombstones of keys that were deleted up to it.
	base uint64
	// syncedAt is when the copy was last known to be up to date.
	syncedAt time.Time
	changed  chan struct{}
	// direct reports whether the platform answered this node's last call.
	direct bool
	// failedAt is when a call of this node to the platform last failed, and
	// unreachableAt when a call of this node or of a peer that it followed did.
	failedAt, unreachableAt time.Time
	// outageEndedAt is when the last outage of the platform ended: an up-to-date
	// batch arrived after a gap longer than outageGap in which the platform was
	// found out of reach.
	outageEndedAt time.Time
}

// record is an item of the copy.
type record struct {
	Item
	// updatedAt is when this node received the item or found it missing.
	updatedAt time.Time
	// outgoing is the item as it is sent to other nodes, with a large value
	// compressed.
	outgoing Item
}

// New returns an empty copy.
func New(log logrus.FieldLogger) *Feed {
	return &Feed{log: log, items: map[string]record{}, changed: make(chan struct{})}
}

// Apply merges a batch, received at the given time, into the copy. A key never goes back
// to an older version. A batch with all keys of a later era takes the place of the copy.
func (f *Feed) Apply(b Batch, received time.Time) Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	result, changed := Merged, false
	switch {
	case b.Era < f.version.Era || b.Era > f.version.Era && !b.Complete:
		return Unusable
	case b.Era > f.version.Era:
		result, changed = Replaced, true
		f.beginEra(b.Era, now)
	}
	changed = f.merge(b, now) || changed
	if b.Complete && b.Revision > f.version.Revision {
		f.base = b.Revision
	}
	f.version.Revision = max(f.version.Revision, b.Revision)
	f.recordSync(b, received, now)
	f.dropTombstones(now)
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return result
}

// merge adds the items of a batch of the era of the copy, and reports whether any was new.
// The caller holds mu.
func (f *Feed) merge(b Batch, now time.Time) bool {
	// A change up to the version of the copy that it does not hold was followed by a
	// deletion, unless the batch lists all keys of now.
	newest := b.Complete && b.Revision >= f.version.Revision
	changed := false
	for _, item := range b.Items {
		if (newest || item.Revision > f.version.Revision) && f.items[item.Key].Revision < item.Revision {
			f.items[item.Key] = record{item, now, item.compress()}
			changed = true
		}
	}
	if b.Complete {
		changed = f.removeMissing(b, now) || changed
	}
	return changed
}

// dropTombstones drops the tombstones that have been kept for tombstoneTime. The caller
// holds mu.
func (f *Feed) dropTombstones(now time.Time) {
	for key, r := range f.items {
		if r.Deleted && now.Sub(r.updatedAt) > tombstoneTime {
			delete(f.items, key)
		}
	}
}

// beginEra drops the copy of an earlier era. The platform was away when it came back, and
// registrations may have lapsed with their leases. The caller holds mu.
func (f *Feed) beginEra(era uint64, now time.Time) {
	if f.version.Revision > 0 {
		f.outageEndedAt = now
	}
	f.items, f.version, f.base, f.syncedAt = map[string]record{}, Version{Era: era}, 0, time.Time{}
}

// recordSync records what a batch says of the age of the copy and of outages of the
// platform. The caller holds mu.
func (f *Feed) recordSync(b Batch, received, now time.Time) {
	// A platform that answers this node only turns the peer away.
	if at := received.Add(-b.FailureAge); b.FailureAge > 0 && !f.direct && at.After(f.unreachableAt) {
		f.unreachableAt = at
	}
	if syncedAt := received.Add(-b.Age); b.Revision >= f.version.Revision && syncedAt.After(f.syncedAt) {
		if f.isOutage(syncedAt) {
			f.outageEndedAt = now
		}
		f.syncedAt = syncedAt
	}
}

// removeMissing replaces each key that a complete batch does not list by a
// tombstone, unless the key is newer than the batch. It reports whether any key was
// replaced. The caller holds mu.
func (f *Feed) removeMissing(b Batch, now time.Time) bool {
	listed := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		listed[item.Key] = true
	}
	removed := false
	for key, r := range f.items {
		if !listed[key] && !r.Deleted && r.Revision <= b.Revision {
			tombstone := Item{Key: key, Revision: b.Revision, Deleted: true}
			f.items[key] = record{tombstone, now, tombstone}
			removed = true
		}
	}
	return removed
}

// isOutage reports whether the time from the last up-to-date batch to the given one
// is an outage of the platform. A gap alone is none: the peers that this node follows
// may have failed while the platform answers. The caller holds mu.
func (f *Feed) isOutage(until time.Time) bool {
	return !f.syncedAt.IsZero() && until.Sub(f.syncedAt) > outageGap && f.unreachableAt.After(f.syncedAt)
}

// setDirect records whether this node reads its keys from the platform.
func (f *Feed) setDirect(direct bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = direct
}

// setFailed records that a call of this node to the platform failed.
func (f *Feed) setFailed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct, f.failedAt, f.unreachableAt = false, at, at
}

// Version returns the version up to which all changes have been received. Its revision is
// zero before the first batch.
func (f *Feed) Version() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Age returns the time since the copy was last known to be up to date.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.syncedAt)
}

// Changed returns a channel that is closed at the next change.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Live returns the keys that are not deleted.
func (f *Feed) Live() map[string]Entry {
	live, _ := f.Snapshot()
	return live
}

// Snapshot returns the keys that are not deleted, and the version of the copy that holds
// them.
func (f *Feed) Snapshot() (map[string]Entry, Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make(map[string]Entry, len(f.items))
	for key, r := range f.items {
		if !r.Deleted {
			live[key] = Entry{r.Value, Version{f.version.Era, r.Revision}}
		}
	}
	return live, f.version
}

// changesSince returns the changes after a version, in the form that is sent to other
// nodes. It returns all live keys for revision zero, for another era, and for a version of
// which it may lack tombstones. To a node that knows a later era it returns none.
func (f *Feed) changesSince(after Version) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := Batch{
		Version: f.version, Age: time.Since(f.syncedAt), Direct: f.direct,
		Complete: after.Revision == 0 || after.Era != f.version.Era || after.Revision < f.base,
	}
	if !f.failedAt.IsZero() {
		b.FailureAge = time.Since(f.failedAt) + 1
	}
	if after.Era > f.version.Era {
		return b
	}
	for _, key := range slices.Sorted(maps.Keys(f.items)) {
		r := f.items[key]
		if b.Complete && !r.Deleted || !b.Complete && r.Revision > after.Revision {
			b.Items = append(b.Items, r.outgoing)
		}
	}
	return b
}

// waitForChanges returns the changes after a version as soon as there are any,
// or an empty batch after the time limit.
func (f *Feed) waitForChanges(ctx context.Context, after Version, limit time.Duration) (Batch, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := f.Changed()
		b := f.changesSince(after)
		if b.Revision == 0 {
			return b, fault.New(fault.NoConfig, "this node has no copy of the platform's keys yet")
		}
		if len(b.Items) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.changesSince(after), nil
		case <-ctx.Done():
			return b, fault.Wrap(fault.Canceled, ctx.Err(), "waiting for changes")
		}
	}
}

// SinceOutage returns the time since the last outage of the platform ended: zero
// during an outage and math.MaxInt64 if no outage was observed. An outage is a gap in
// the news from all sources in which the platform itself was found out of reach, by
// this node or by a peer that it followed.
func (f *Feed) SinceOutage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOutage(time.Now()) {
		return 0
	}
	if f.outageEndedAt.IsZero() {
		return math.MaxInt64
	}
	return time.Since(f.outageEndedAt)
}
