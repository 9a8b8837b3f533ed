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

// retention is how long the store keeps the history of changes.
const retention = 20 * time.Second

// Item is a key of the store.
type Item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	record *Record

	mu       sync.Mutex
	items    map[string]Item
	log      []Item
	revision uint64
	// dropped is the revision up to which the history is gone.
	dropped uint64
	leases  map[uint64]time.Time
	lastID  uint64
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{record: r, items: map[string]Item{}, leases: map[uint64]time.Time{}, changed: make(chan struct{}), revision: 100}
}

// Put writes a key and returns when the store has accepted it.
func (s *Store) Put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Data: data})
	return time.Now()
}

// Remove removes a key and returns when the store has accepted it.
func (s *Store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(Item{Key: key, Deleted: true})
	}
	return time.Now()
}

// write applies one change. The caller holds mu.
func (s *Store) write(i Item) {
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.log = append(s.log, i)
	for len(s.log) > 0 && time.Since(s.log[0].at) > retention {
		s.dropped = s.log[0].Revision
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Expire removes the keys of leases that have ended.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.write(Item{Key: key, Deleted: true})
			}
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.URL.Path == "/api/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[r.FormValue("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, i)
	case r.URL.Path == "/api/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/api/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		s.leases[id] = time.Now().Add(time.Duration(in.TTL) * time.Millisecond)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": in.TTL})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	entries := []Item{}
	for _, key := range keys[:min(len(keys), page)] {
		entries = append(entries, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "truncated": len(keys) > page, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		events, at, changed, gone := []Item{}, s.revision, s.changed, after < s.dropped
		for _, i := range s.log {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			reply(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || last:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Write []struct {
			Key   string `json:"key"`
			Data  []byte `json:"data"`
			Lease uint64 `json:"lease_id"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := []Item{}
	for _, c := range in.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			conflict = append(conflict, s.items[c.Key])
		}
	}
	if len(conflict) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": conflict})
		return
	}
	for _, k := range in.Write {
		if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, k := range in.Write {
		s.write(Item{Key: k.Key, Data: k.Data, Lease: k.Lease})
		s.record.Printf("store    a gateway writes %s", k.Key)
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.write(Item{Key: key, Deleted: true})
			s.record.Printf("store    a gateway removes %s", key)
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
