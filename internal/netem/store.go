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

// Mode is how the platform responds to calls.
type Mode int

// The modes of the platform.
const (
	// Up answers after the latency.
	Up Mode = iota
	// Down fails every call at once, waiting watches included.
	Down
	// Silent answers no call: calls block until the mode changes or their
	// context ends.
	Silent
)

// Calls are numbers of calls to the platform. A watch counts as one call, however
// long it waits.
type Calls struct {
	Get, List, Put, Delete, Watch, Hosts int
}

// Total returns the number of all calls.
func (c Calls) Total() int { return c.Get + c.List + c.Put + c.Delete + c.Watch + c.Hosts }

// Reads returns the number of calls that read.
func (c Calls) Reads() int { return c.Get + c.List + c.Watch + c.Hosts }

// Store is an in-memory platform. Its clients share the data, and each has its own
// random source for faults.
type Store struct {
	seed uint64

	mu       sync.Mutex
	entries  map[string]plat.Entry
	revision plat.Revision
	hosts    []plat.Host
	mode     Mode
	latency  time.Duration
	// loss is the probability that the reply to a write is lost.
	loss  float64
	calls Calls
	// waiting is the number of watches in progress.
	waiting int
	// changed is closed and replaced whenever blocked calls must check the state
	// again.
	changed chan struct{}
}

// NewStore returns an empty platform that is up and answers at once.
func NewStore(seed uint64) *Store {
	return &Store{seed: seed, entries: map[string]plat.Entry{}, changed: make(chan struct{})}
}

// SetMode sets how the platform responds to calls.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notify()
}

// SetLatency sets the time from call to answer. Writes take effect after half of it.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetReplyLoss sets the probability, from 0 to 1, that a write is applied but fails
// with ReplyLost.
func (s *Store) SetReplyLoss(p float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = p
}

// SetHosts replaces the list of hosts. The real list lags behind the hosts; a test
// reproduces that by calling SetHosts late.
func (s *Store) SetHosts(hosts []plat.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

// Calls returns the numbers of calls that all clients have made.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Waiting returns the number of watches in progress.
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

// Client returns a node's access to the platform. Its calls block while the node is
// paused and fail when the node has been killed. If node is nil, they do neither.
func (s *Store) Client(node *Endpoint) *Client {
	name := ""
	if node != nil {
		name = node.name
	}
	return &Client{store: s, node: node, random: rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(name)))}
}

// notify makes blocked calls check the state of the platform again. The caller holds
// mu.
func (s *Store) notify() {
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
	if current := s.entries[key].Revision; current != base {
		return current, fault.New(fault.Conflict, "key %s has revision %d, not %d", key, current, base)
	}
	if len(value) > plat.MaxValueSize {
		return 0, fault.New(fault.TooLarge, "value of %d bytes", len(value))
	}
	s.revision++
	s.entries[key] = plat.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	s.notify()
	return s.revision, nil
}

func (s *Store) delete(key string, base plat.Revision) error {
	current, ok := s.entries[key]
	if !ok {
		return fault.New(fault.NotFound, "no key %s", key)
	}
	if current.Revision != base {
		return fault.New(fault.Conflict, "key %s has revision %d, not %d", key, current.Revision, base)
	}
	s.revision++
	delete(s.entries, key)
	s.notify()
	return nil
}
