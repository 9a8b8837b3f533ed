package netem

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxWait is the longest time a watch waits, as in the platform's interface.
const maxWait = 30 * time.Second

// Mode is the condition of the platform.
type Mode int

// The conditions of the platform.
const (
	// Up answers after the latency.
	Up Mode = iota
	// Down refuses every call at once and ends waiting watches.
	Down
	// Silent answers nothing: calls wait until their context ends.
	Silent
)

// Calls counts calls to the platform. A waiting watch counts as one call.
type Calls struct {
	Get, List, Put, Delete, Watch, Hosts int
}

// Total returns the sum of all calls.
func (c Calls) Total() int { return c.Get + c.List + c.Put + c.Delete + c.Watch + c.Hosts }

// Reads returns the calls that read.
func (c Calls) Reads() int { return c.Get + c.List + c.Watch + c.Hosts }

// Store is an in-memory platform. Its clients share the data; each draws its
// faults from its own random source.
type Store struct {
	seed uint64

	mu       sync.Mutex
	entries  map[string]plat.Entry
	revision plat.Revision
	hosts    []plat.Host
	mode     Mode
	latency  time.Duration
	loss     float64
	calls    Calls
	waiting  int
	changed  chan struct{}
}

// NewStore returns an empty platform that is up and answers at once.
func NewStore(seed uint64) *Store {
	return &Store{seed: seed, entries: map[string]plat.Entry{}, changed: make(chan struct{})}
}

// SetMode sets the condition of the platform.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// SetLatency sets the time from call to answer; writes take effect halfway.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetReplyLoss sets the probability, from 0 to 1, that a write takes effect
// but is answered by ReplyLost.
func (s *Store) SetReplyLoss(p float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = p
}

// SetHosts replaces the list of hosts. The lag of the real list is up to the
// test, which decides when to call SetHosts.
func (s *Store) SetHosts(hosts []plat.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

// Calls returns the calls of all clients so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Waiting returns the number of watches that wait now.
func (s *Store) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Keys returns the existing keys under prefix without counting a call.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Client returns the platform as a node sees it. The client of a paused node
// blocks and that of a killed node fails; a nil node is always awake.
func (s *Store) Client(node *Endpoint) *Client {
	name := ""
	if node != nil {
		name = node.name
	}
	return &Client{store: s, node: node, random: rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(name)))}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// highest returns the highest revision under prefix. The caller holds mu.
func (s *Store) highest(prefix string) plat.Revision {
	var top plat.Revision
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			top = max(top, entry.Revision)
		}
	}
	return top
}

func (s *Store) put(key string, value []byte, base plat.Revision) (plat.Revision, error) {
	if have := s.entries[key].Revision; have != base {
		return have, fault.New(fault.Conflict, "key %s has revision %d, not %d", key, have, base)
	}
	if len(value) > plat.MaxValueSize {
		return 0, fault.New(fault.TooLarge, "value of %d bytes", len(value))
	}
	s.revision++
	s.entries[key] = plat.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	s.wake()
	return s.revision, nil
}

func (s *Store) delete(key string, base plat.Revision) error {
	have, ok := s.entries[key]
	if !ok {
		return fault.New(fault.NotFound, "no key %s", key)
	}
	if have.Revision != base {
		return fault.New(fault.Conflict, "key %s has revision %d, not %d", key, have.Revision, base)
	}
	s.revision++
	delete(s.entries, key)
	s.wake()
	return nil
}
