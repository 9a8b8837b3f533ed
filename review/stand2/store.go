package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of items in an answer with a range.
const pageSize = 500

// item is a key of the store as PROTOCOL.md describes it. Data is encoded as base64.
type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// leases holds the length and the timer of each lease.
	leases    map[uint64]*lease
	lastLease uint64
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), leases: map[uint64]*lease{}}
}

// put writes a key for the operator or an engine.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
}

// write adds a change at the current revision. The caller holds mu.
func (s *store) write(key string, data []byte, leaseID uint64) {
	i := item{Key: key, Data: data, Revision: s.revision, Created: s.revision, LeaseID: leaseID}
	if known, ok := s.items[key]; ok {
		i.Created = known.Created
	}
	s.items[key] = i
	s.record(i)
}

// drop removes a key at the current revision. The caller holds mu.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/api/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"), strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.serveKeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	entries := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		entries = append(entries, s.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries, "truncated": len(keys) > pageSize, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		changed, at, events := s.changed, s.revision, []item{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, revision uint64) int { return int(i.Revision) - int(revision) })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Write []struct {
			Key     string `json:"key"`
			Data    []byte `json:"data"`
			LeaseID uint64 `json:"lease_id"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := []item{}
	failed := false
	for _, c := range t.Precondition {
		failed = failed || s.items[c.Key].Revision != c.Revision
		if i, ok := s.items[c.Key]; ok {
			held = append(held, i)
		}
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"entries": held})
		return
	}
	for _, c := range t.Write {
		if s.leases[c.LeaseID] == nil && c.LeaseID != 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(c.Key, "op/") || strings.HasPrefix(c.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, c := range t.Write {
		s.write(c.Key, c.Data, c.LeaseID)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(request.TTLMS)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { s.endLease(id) })}
	answer(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil && r.Method == http.MethodPost {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	switch {
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.endLease(id)
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	}
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
		delete(s.leases, id)
	}
	s.revision++
	for key, i := range s.items {
		if i.LeaseID == id {
			s.drop(key)
		}
	}
}
