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

// Engine is a model of an engine. Run must be called for it to work.
type Engine struct {
	cfg     Config
	wake    chan struct{}
	ctx     context.Context // ends with Run; for work started by Start and Order
	stop    context.CancelFunc
	pending sync.WaitGroup

	mu       sync.Mutex
	streams  map[string]*stream
	batched  int
	arrivals uint64
	cache    *cache
	journal  *journal
	private  int // memory of streams outside of shared blocks
	holds    map[holdKey]*hold
	held     int // memory of holds
	models   []Model
	loading  map[string]bool
	role     string
	fence    uint64
	speed    speed
	report   Load
	reported time.Time
}

// New returns an engine. Fields of cfg that are nil have defaults.
func New(cfg Config) *Engine {
	if cfg.Control == nil {
		cfg.Control = noControl{}
	}
	if cfg.Crash == nil {
		cfg.Crash = func() {}
	}
	e := &Engine{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		streams: map[string]*stream{},
		holds:   map[holdKey]*hold{},
		models:  slices.Clone(cfg.Models),
		loading: map[string]bool{},
		role:    cfg.Role,
		speed:   newSpeed(cfg),
		journal: newJournal(cfg.EventLag, cfg.EventGap, cfg.Seed),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.cache = newCache(e.journal.add)
	e.snapshot(time.Now())
	return e
}

// Run works on streams until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { e.runBatch(ctx) })
	group.Go(func() { e.runSweep(ctx) })
	group.Wait()
	e.stop()
	e.pending.Wait()
}

// Start admits a stream and attaches its first reader. Its error is a *Refusal
// with status 400, 404, 409 or 429, or that of ctx; in each case the stream has
// not been started.
func (e *Engine) Start(ctx context.Context, req Start) (*Reader, error) {
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
		if err := e.exportOverflow(ctx, s, overflow); err != nil {
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
	e.kick()
	return reader, nil
}

// admit reserves memory for a stream and registers it. It returns the tokens
// that members must hold.
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
	reserved := e.reserved(s.req.Reservation)
	free := e.free() + reserved - e.cache.idleAmong(s.hashes[:shared])
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
	e.release(holdKey{kindReservation, s.req.Reservation})
	e.cache.pin(s.hashes[:shared])
	s.pinned = shared
	s.cachedTokens = min(shared*blockTokens, max(0, s.promptTokens-1))
	s.prefilled = s.cachedTokens
	e.takePrivate(s, local)
	e.arrivals++
	s.arrival = e.arrivals
	e.streams[s.req.ID] = s
	return need - local, nil
}

// serves reports whether a name is that of a loaded model, of a model and its
// version as name@version, or of an adapter.
func (e *Engine) serves(model string) bool {
	return slices.ContainsFunc(e.models, func(m Model) bool {
		return model == m.Name || model == m.Name+"@"+m.Version || slices.Contains(m.Adapters, model)
	})
}

// Cancel ends a stream and frees it. It returns false if there is none.
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

// end stops work on a stream and frees its memory. Its frames stay readable.
func (e *Engine) end(s *stream, failure string) {
	if s.done {
		return
	}
	s.done = true
	s.failure = failure
	if s.batched {
		s.batched = false
		e.batched--
	}
	s.queued = false
	e.cache.unpin(s.hashes[:s.pinned])
	s.pinned = 0
	e.private -= s.private
	s.private = 0
	if s.readers == 0 {
		s.detached = time.Now()
	}
	close(s.ended)
	s.notify()
}

// remove ends a stream and forgets it.
func (e *Engine) remove(s *stream, failure string) {
	e.end(s, failure)
	delete(e.streams, s.req.ID)
}

func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Events returns the published cache events above seq, and the number to ask
// for next.
func (e *Engine) Events(seq uint64) ([]Event, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.journal.after(seq)
}

// Load returns the last load report.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.report
	report.AgeMillis = time.Since(e.reported).Milliseconds()
	return report
}

func (e *Engine) snapshot(now time.Time) {
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
	e.reported = now
	e.report = Load{
		Engine: e.cfg.Name, CapacityTokens: e.cfg.CapacityTokens, UsedTokens: e.used(),
		Running: e.batched, Waiting: waiting, Models: models, Role: e.role, Fence: e.fence,
		PrefillTokensPerSecond: e.speed.prefill, DecodeStepMillis: e.speed.decode * 1e3,
	}
}
