package sched

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// fakeDetachLimit is the time after which an engine ends a stream that has no
// reader.
const fakeDetachLimit = 15 * time.Second

// fakeFleet simulates the engines. At the start of each stream it checks that the
// memory is not overcommitted, that a request that must run alone does so, and
// that each fingerprint runs on only one engine.
type fakeFleet struct {
	t  *testing.T
	mu sync.Mutex
	// reserveFails is true for the addresses at which Reserve fails. reserveDelay
	// is the duration of each call of Reserve.
	reserveFails map[string]bool
	reserveDelay time.Duration
	// strict makes the engines refuse streams and reservations that exceed their
	// capacity, and streams without a reservation on each member, as real engines
	// do. Without strict, each of these makes the test fail.
	strict    bool
	engines   map[string]*fakeEngine
	crashedAt map[string]time.Time
}

// fakeEngine is one engine of a fakeFleet. Its capacity, the values of
// reservations and the sizes of streams are in tokens.
type fakeEngine struct {
	capacity     int
	streams      map[string]*fakeStream
	reservations map[string]int
	// expiresAt maps the id of each reservation to the end of its time to live.
	expiresAt map[string]time.Time
}

// fakeStream is a stream on a fakeEngine. detachedAt is when the stream lost its
// reader, and zero while it has one.
type fakeStream struct {
	tokens      int
	alone       bool
	fingerprint string
	detachedAt  time.Time
}

func newFakeFleet(t *testing.T, capacities map[string]int) *fakeFleet {
	f := &fakeFleet{t: t, reserveFails: map[string]bool{}, crashedAt: map[string]time.Time{}, engines: map[string]*fakeEngine{}}
	for address, n := range capacities {
		f.engines[address] = &fakeEngine{capacity: n, streams: map[string]*fakeStream{}, reservations: map[string]int{}, expiresAt: map[string]time.Time{}}
	}
	return f
}

// expire removes the streams that had no reader for fakeDetachLimit and the
// reservations whose time to live has passed.
func (e *fakeEngine) expire() {
	for id, at := range e.expiresAt {
		if !time.Now().Before(at) {
			delete(e.reservations, id)
			delete(e.expiresAt, id)
		}
	}
	for id, st := range e.streams {
		if !st.detachedAt.IsZero() && time.Since(st.detachedAt) >= fakeDetachLimit {
			delete(e.streams, id)
		}
	}
}

// used is the number of tokens in streams and reservations.
func (e *fakeEngine) used() int {
	n := 0
	for _, st := range e.streams {
		n += st.tokens
	}
	for _, r := range e.reservations {
		n += r
	}
	return n
}

// start starts the stream of a grant. It returns false when an engine of the grant
// crashed at the same time or a strict engine refuses the stream. The fake clock of
// synctest stands still while goroutines run, so simultaneous events have equal
// times.
func (f *fakeFleet) start(g Grant, req Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range append([]string{g.Address}, g.Members...) {
		if at, ok := f.crashedAt[address]; ok && at.Equal(time.Now()) {
			return false
		}
	}
	e := f.engines[g.Address]
	e.expire()
	if f.strict && (e.used()-e.reservations[g.Reservation]+g.Shares[0] > e.capacity || !f.reservedOn(g)) {
		return false
	}
	delete(e.reservations, g.Reservation)
	e.streams[g.ID] = &fakeStream{tokens: g.Shares[0], alone: req.Alone, fingerprint: req.Fingerprint}
	if n := e.used(); n > e.capacity {
		f.t.Errorf("%s: %d of %d tokens used", g.Address, n, e.capacity)
	}
	for _, st := range e.streams {
		if st.alone && len(e.streams) > 1 {
			f.t.Errorf("%s: a request that must run alone shares the engine", g.Address)
		}
	}
	for address, other := range f.engines {
		for _, st := range other.streams {
			if address != g.Address && req.Fingerprint != "" && st.fingerprint == req.Fingerprint && st.detachedAt.IsZero() {
				f.t.Errorf("fingerprint %s runs on %s and %s", req.Fingerprint, address, g.Address)
			}
		}
	}
	for _, m := range g.Members {
		if f.engines[m].reservations[g.Reservation] == 0 {
			f.t.Errorf("%s: no reservation %s", m, g.Reservation)
		}
	}
	return true
}

// reservedOn reports whether all members hold the reservation of a grant.
func (f *fakeFleet) reservedOn(g Grant) bool {
	for _, m := range g.Members {
		if f.engines[m].reservations[g.Reservation] == 0 {
			return false
		}
	}
	return true
}

// reserved is the number of tokens in the reservations of all engines.
func (f *fakeFleet) reserved() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		for _, tokens := range e.reservations {
			n += tokens
		}
	}
	return n
}

func (f *fakeFleet) end(g Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.engines[g.Address].streams, g.ID)
}

// detach removes the reader of a grant's stream.
func (f *fakeFleet) detach(g Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if st := f.engines[g.Address].streams[g.ID]; st != nil {
		st.detachedAt = time.Now()
	}
}

// crash removes all streams and reservations of an engine.
func (f *fakeFleet) crash(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashedAt[address] = time.Now()
	clear(f.engines[address].streams)
	clear(f.engines[address].reservations)
}

func (f *fakeFleet) load(address string) engine.LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[address]
	e.expire()
	return engine.LoadReport{CapacityTokens: e.capacity, UsedTokens: e.used(), Running: len(e.streams), PrefillTokensPerSecond: 20_000}
}

func (f *fakeFleet) Streams(_ context.Context, address string) ([]engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[address]
	e.expire()
	out := make([]engine.Stream, 0, len(e.streams))
	for id, st := range e.streams {
		s := engine.Stream{ID: id, TokensHeld: st.tokens, Attached: st.detachedAt.IsZero()}
		if !s.Attached {
			s.DetachedMillis = time.Since(st.detachedAt).Milliseconds()
		}
		out = append(out, s)
	}
	return out, nil
}

func (f *fakeFleet) Reserve(ctx context.Context, address, id string, tokens int, ttl time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.reserveDelay):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[address]
	e.expire()
	if f.reserveFails[address] {
		return fault.New(fault.UpstreamRefused, "refused by the test")
	}
	if f.strict && e.used()+tokens > e.capacity {
		return fault.New(fault.UpstreamRefused, "%d tokens do not fit", tokens)
	}
	if e.used()+tokens > e.capacity {
		f.t.Errorf("%s: a reservation of %d tokens exceeds the capacity", address, tokens)
	}
	e.reservations[id], e.expiresAt[id] = tokens, time.Now().Add(ttl)
	return nil
}

func (f *fakeFleet) Unreserve(ctx context.Context, address, id string) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.engines[address].reservations, id)
	return nil
}

func (f *fakeFleet) Cancel(_ context.Context, address, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if st := f.engines[address].streams[id]; st != nil && st.detachedAt.IsZero() {
		f.t.Errorf("%s: stream %s with a reader was cancelled", address, id)
	}
	delete(f.engines[address].streams, id)
	return nil
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// fleetScheduler returns a scheduler for the named engines of the fleet, each of
// which has reported once. The scheduler has no rebuild window unless change sets
// one.
func fleetScheduler(t *testing.T, f *fakeFleet, names []string, change func(*Options)) *Scheduler {
	o := Options{
		Cell: "c", Owner: "n1", Engines: f, RebuildWindow: -1, Log: quietLog(),
		Rand: rand.New(rand.NewPCG(1, 1)), OnViolation: func(n string) { t.Errorf("invariant %s", n) },
	}
	if change != nil {
		change(&o)
	}
	s := New(o)
	infos := make([]EngineInfo, len(names))
	for i, n := range names {
		infos[i] = EngineInfo{Name: n, Address: n}
	}
	s.SetEngines(infos)
	for _, n := range names {
		s.Report(n, n, f.load(n))
	}
	return s
}
