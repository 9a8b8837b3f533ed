// Package store simulates the platform's key-value service: compare-and-swap with one
// revision counter for all keys, watches, and leases. When a lease ends, the keys that
// were written with it are deleted.
package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Errors of the store.
var (
	ErrNotFound = errors.New("not found")
	// ErrConflict reports that the base revision is not the current one.
	ErrConflict = errors.New("base revision does not match")
	// ErrLease reports that the lease does not exist or has ended.
	ErrLease = errors.New("lease has lapsed")
)

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Store is the key-value service.
type Store struct {
	mu           sync.Mutex
	revision     uint64
	entries      map[string]Entry
	keyLease     map[string]string // lease id of each key that has one
	lastRevision map[string]uint64 // of the last write or deletion of each key
	leases       map[string]*lease
	lastID       uint64 // number in the id of the last lease
	watchers     map[*watcher]struct{}
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// watcher is a waiting call of Watch. wake is closed when a key under prefix is
// written.
type watcher struct {
	prefix string
	wake   chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: map[string]Entry{}, keyLease: map[string]string{}, lastRevision: map[string]uint64{},
		leases: map[string]*lease{}, watchers: map[*watcher]struct{}{},
	}
}

// Get returns the entry of a key or ErrNotFound.
func (s *Store) Get(key string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return Entry{}, ErrNotFound
	}
	return e, nil
}

// List returns the entries under a prefix in key order.
func (s *Store) List(prefix string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Entry{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Put writes a key if its current revision is base; base 0 creates the key. If
// leaseID is not empty, the key is deleted when that lease ends. Put returns the
// new revision, or the current one with ErrConflict or ErrLease.
func (s *Store) Put(key string, value []byte, base uint64, leaseID string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[key].Revision; current != base {
		return current, ErrConflict
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return base, ErrLease
	}
	s.recordWrite(key)
	s.entries[key] = Entry{Key: key, Value: value, Revision: s.revision}
	delete(s.keyLease, key)
	if leaseID != "" {
		s.keyLease[key] = leaseID
	}
	return s.revision, nil
}

// Delete removes a key if its current revision is base. It returns the revision of
// the deletion, the current revision with ErrConflict, or 0 with ErrNotFound.
func (s *Store) Delete(key string, base uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key].Revision
	if current == 0 {
		return 0, ErrNotFound
	}
	if current != base {
		return current, ErrConflict
	}
	s.remove(key)
	return s.revision, nil
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	delete(s.keyLease, key)
	s.recordWrite(key)
}

// recordWrite gives a written or deleted key the next revision, and wakes the watches
// whose prefix the key has.
func (s *Store) recordWrite(key string) {
	s.revision++
	s.lastRevision[key] = s.revision
	for w := range s.watchers {
		if strings.HasPrefix(key, w.prefix) {
			delete(s.watchers, w)
			close(w.wake)
		}
	}
}

// highestRevision returns the highest revision under a prefix, deletions included.
func (s *Store) highestRevision(prefix string) uint64 {
	var highest uint64
	for key, revision := range s.lastRevision {
		if revision > highest && strings.HasPrefix(key, prefix) {
			highest = revision
		}
	}
	return highest
}

// Watch waits until the highest revision under a prefix, deletions included, is
// above after, and returns that revision. If this does not happen within wait, it
// returns the current highest revision. If ctx ends first, it returns the error of ctx.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		highest := s.highestRevision(prefix)
		w := &watcher{prefix: prefix, wake: make(chan struct{})}
		s.watchers[w] = struct{}{}
		s.mu.Unlock()
		if highest > after {
			s.unwatch(w)
			return highest, nil
		}
		select {
		case <-w.wake:
		case <-timer.C:
			s.unwatch(w)
			return highest, nil
		case <-ctx.Done():
			s.unwatch(w)
			return 0, ctx.Err()
		}
	}
}

func (s *Store) unwatch(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// Grant creates a lease and returns its id.
func (s *Store) Grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id := "lease-" + strconv.FormatUint(s.lastID, 10)
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

// Renew restarts the time to live of a lease and returns it, or returns ErrLease.
func (s *Store) Renew(id string) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	// Once its timer has fired, a lease has ended, even if its keys are not
	// deleted yet.
	if l == nil || !l.timer.Stop() {
		return 0, ErrLease
	}
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

// Revoke ends a lease at once. It returns false if there is none.
func (s *Store) Revoke(id string) bool {
	s.mu.Lock()
	l := s.leases[id]
	s.mu.Unlock()
	if l == nil {
		return false
	}
	l.timer.Stop()
	s.endLease(id)
	return true
}

// endLease deletes a lease and its keys.
func (s *Store) endLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	var keys []string
	for key, leaseID := range s.keyLease {
		if leaseID == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
}

// Stats returns the value of the revision counter, the number of keys and the
// number of waiting watches.
func (s *Store) Stats() (revision uint64, keys, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, len(s.entries), len(s.watchers)
}
