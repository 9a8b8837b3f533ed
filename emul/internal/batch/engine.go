package batch

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// defaultMaxTokens is the length of an answer when a request names none.
const defaultMaxTokens = 16

// Engine simulates an engine. It makes progress only while Run runs.
type Engine struct {
	cfg        Config
	wake       chan struct{}
	ctx        context.Context // ends with Run; for background work of Start and Order
	stop       context.CancelFunc
	background sync.WaitGroup

	mu              sync.Mutex
	streams         map[string]*stream
	batchSize       int
	arrivals        uint64
	cache           *cache
	eventLog        *eventLog
	privateTokens   int // memory of streams outside of shared blocks of the cache
	allocations     map[allocationKey]*allocation
	allocatedTokens int // memory of allocations
	models          []Model
	loading         map[string]bool // models being loaded by name@version; false if unloaded meanwhile
	role            string
	fence           uint64 // highest fencing number of an accepted order
	speed           speed
	report          Load
	reportedAt      time.Time
}

// New returns an engine. Control and Crash have defaults if they are nil.
func New(cfg Config) *Engine {
	if cfg.Control == nil {
		cfg.Control = noControl{}
	}
	if cfg.Crash == nil {
		cfg.Crash = func() {}
	}
	e := &Engine{
		cfg:         cfg,
		wake:        make(chan struct{}, 1),
		streams:     map[string]*stream{},
		allocations: map[allocationKey]*allocation{},
		models:      slices.Clone(cfg.Models),
		loading:     map[string]bool{},
		role:        cfg.Role,
		speed:       newSpeed(cfg),
		eventLog:    newEventLog(cfg.EventDelay, cfg.EventLossShare, cfg.Seed),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.cache = newCache(e.eventLog.add)
	e.updateReport(time.Now())
	return e
}

// Run runs streams until ctx ends, then waits for background work.
func (e *Engine) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { e.runBatch(ctx) })
	group.Go(func() { e.runSweep(ctx) })
	group.Wait()
	e.stop()
	e.background.Wait()
}

// Start admits a stream and attaches its first reader. If the stream can't be started,
// the error is a *Refusal with status 400, 404, 409 or 429. If ctx ends while members
// are called, the status is 429.
func (e *Engine) Start(ctx context.Context, req StartRequest) (*Reader, error) {
	if req.ID == "" {
		return nil, refuse(http.StatusBadRequest, "id is missing")
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	crash := e.cfg.CrashMarker != "" && strings.Contains(req.Prompt, e.cfg.CrashMarker)
	s := newStream(req, 0)
	s.crash = crash
	overflow, err := e.admit(s)
	if err != nil {
		return nil, err
	}
	if len(req.Members) > 0 {
		if err := e.importOnMembers(ctx, s, overflow); err != nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.remove(s, "members hold no memory")
			return nil, err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done {
		return nil, refuse(http.StatusTooManyRequests, "stream ended before its start: %s", s.failure)
	}
	s.queued = true
	reader := e.attach(s, req.Attempt, 0)
	e.wakeBatch()
	return reader, nil
}

// admit takes memory for a stream and registers it. Without members the whole
// stream must fit. With members it takes what fits, at most the reservation if
// there is one, and returns the number of tokens that the members must hold.
func (e *Engine) admit(s *stream) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.req.ID] != nil {
		return 0, refuse(http.StatusConflict, "stream id is in use")
	}
	if !e.serves(s.req.Model) {
		return 0, refuse(http.StatusNotFound, "model is not loaded")
	}
	shared := e.cache.match(s.hashes)
	need := s.promptTokens + s.req.MaxTokens - shared*blockTokens
	reserved := e.reservedTokens(s.req.Reservation)
	free := e.freeTokens() + reserved - e.cache.idleTokensOf(s.hashes[:shared])
	local := need
	if len(s.req.Members) > 0 {
		local = min(need, free)
		if reserved > 0 {
			local = min(need, reserved)
		}
		local = max(local, 0)
	}
	if local > free {
		return 0, noMemory(need, free)
	}
	e.release(allocationKey{kindReservation, s.req.Reservation})
	e.cache.pin(s.hashes[:shared])
	s.pinned = shared
	// Even if the whole prompt is cached, its last token is prefilled: the first
	// token of the answer is generated at the end of prefill.
	s.cachedTokens = min(shared*blockTokens, max(0, s.promptTokens-1))
	s.prefilled = s.cachedTokens
	e.allocatePrivate(s, local)
	e.arrivals++
	s.arrival = e.arrivals
	e.streams[s.req.ID] = s
	return need - local, nil
}

// serves reports whether a loaded model matches model, which is a name, name@version or
// the name of an adapter.
func (e *Engine) serves(model string) bool {
	return slices.ContainsFunc(e.models, func(m Model) bool {
		return model == m.Name || model == m.Name+"@"+m.Version || slices.Contains(m.Adapters, model)
	})
}

// Cancel ends and removes a stream. It returns false if there is none.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s != nil {
		e.remove(s, "cancelled")
	}
	return s != nil
}

// Streams lists the streams in order of arrival.
func (e *Engine) Streams() []StreamInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	list := make([]StreamInfo, 0, len(e.streams))
	for _, s := range e.sorted(func(a, b *stream) bool { return a.arrival < b.arrival }) {
		list = append(list, s.info(now))
	}
	return list
}

func (e *Engine) sorted(before func(a, b *stream) bool) []*stream {
	list := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return list
}

// end stops work on a stream and frees its memory. Its frames stay readable. An
// empty failure means that the answer is complete.
func (e *Engine) end(s *stream, failure string) {
	if s.done {
		return
	}
	s.done = true
	s.failure = failure
	if s.batched {
		s.batched = false
		e.batchSize--
	}
	s.queued = false
	e.cache.unpin(s.hashes[:s.pinned])
	s.pinned = 0
	e.privateTokens -= s.privateTokens
	s.privateTokens = 0
	if s.readers == 0 {
		s.detachedAt = time.Now()
	}
	close(s.ended)
	s.notify()
}

// remove ends a stream and deletes it, so that it can't be resumed.
func (e *Engine) remove(s *stream, failure string) {
	e.end(s, failure)
	delete(e.streams, s.req.ID)
}

// wakeBatch wakes runBatch if it waits for work.
func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Events returns the published cache events with a sequence number above seq, and
// the seq to pass to the next call.
func (e *Engine) Events(seq uint64) ([]Event, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.eventLog.publishedAfter(seq)
}

// Load returns the last load report and its age.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.report
	report.AgeMillis = time.Since(e.reportedAt).Milliseconds()
	return report
}

// updateReport replaces the load report with one of the current state.
func (e *Engine) updateReport(now time.Time) {
	waiting := 0
	for _, s := range e.streams {
		if !s.done && !s.batched {
			waiting++
		}
	}
	models := make([]Model, len(e.models))
	for i, m := range e.models {
		m.Adapters = append([]string{}, m.Adapters...)
		models[i] = m
	}
	e.reportedAt = now
	e.report = Load{
		Engine: e.cfg.Name, CapacityTokens: e.cfg.CapacityTokens, UsedTokens: e.usedTokens(),
		Running: e.batchSize, Waiting: waiting, Models: models, Role: e.role, Fence: e.fence,
		PrefillTokensPerSecond: e.speed.prefill, DecodeStepMillis: e.speed.decode * 1e3,
	}
}
