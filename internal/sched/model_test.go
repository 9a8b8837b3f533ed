package sched

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Parameters of the engine model, for one engine; the scheduler does not know
// them. modelCapacity is in tokens and modelRate, the prefill speed of a short
// prompt, in tokens/s. modelQuadratic corresponds to quadraticTokens. A step spends
// up to modelChunk seconds on prefill and decodes for modelStepBase seconds, plus
// modelStepSeq per stream and modelStepCtx per token of context. modelPrefixes is
// the number of prefixes in the cache.
const (
	modelCapacity  = 440_000
	modelRate      = 40_000.0
	modelQuadratic = 400_000.0
	modelChunk     = 0.030
	modelStepBase  = 0.008
	modelStepSeq   = 0.00015
	modelStepCtx   = 2.5e-8
	modelPrefixes  = 64
)

// events is the event queue of a discrete-event simulation in virtual time.
type events struct {
	list []event
	seq  int
}

// event calls fn at a time. seq orders the events of the same time.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (e *events) at(t time.Time, fn func()) {
	e.seq++
	heap.Push(e, event{t, e.seq, fn})
}

func (e *events) after(d time.Duration, fn func()) { e.at(time.Now().Add(d), fn) }

// run executes events in order until none is left.
func (e *events) run() {
	for e.Len() > 0 {
		ev := heap.Pop(e).(event)
		time.Sleep(time.Until(ev.at))
		ev.fn()
	}
}

// modelEngine is an engine that decodes all streams in one batch and prefills in
// chunks by priority.
type modelEngine struct {
	sim      *simulation
	name     string
	streams  []*modelStream
	stepping bool
	cache    []string
	seq      uint64
	// pending are the cache events for the next report, step is the duration of
	// the latest step.
	pending []engine.CacheEvent
	step    time.Duration
	// prefilledTokens and prefillSeconds measure the prefill speed since the last
	// report.
	prefilledTokens, prefillSeconds float64

	mu sync.Mutex
	// reserved maps the ids of reservations to their tokens.
	reserved map[string]int
}

// modelStream is a stream on a modelEngine. share is the memory granted on this
// engine, in tokens; prefilled includes the cached tokens. first and last are the
// times of the first and the last token so far.
type modelStream struct {
	call        *simCall
	priority    int
	share       int
	prefilled   int
	generated   int
	started     time.Time
	first, last time.Time
}

func (e *modelEngine) used() int {
	n := 0
	for _, st := range e.streams {
		n += min(st.share, st.prefilled+st.generated)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reserved {
		n += r
	}
	return n
}

func (e *modelEngine) start(st *modelStream) {
	st.started = time.Now()
	st.prefilled = e.lookup(st.call)
	st.call.cached = st.prefilled
	e.streams = append(e.streams, st)
	slices.SortStableFunc(e.streams, func(a, b *modelStream) int { return a.priority - b.priority })
	if !e.stepping {
		e.stepping = true
		e.runStep()
	}
}

// lookup returns how many tokens of the call's prompt are cached.
func (e *modelEngine) lookup(c *simCall) int {
	for i, hash := range slices.Backward(c.req.Prefixes) {
		if slices.Contains(e.cache, hash) {
			return min(blockTokens<<i, c.req.PromptTokens-1)
		}
	}
	return 0
}

// runStep decodes one token for every prefilled stream and spends the chunk
// time on prefill in order of priority.
func (e *modelEngine) runStep() {
	batch, ctx := 0, 0
	for _, st := range e.streams {
		if st.prefilled >= st.call.req.PromptTokens {
			batch++
			ctx += st.prefilled + st.generated
		}
	}
	var seconds float64
	if batch > 0 {
		seconds = modelStepBase + modelStepSeq*float64(batch) + modelStepCtx*float64(ctx)
	}
	budget := modelChunk
	prefillDone := map[*modelStream]bool{}
	for _, st := range e.streams {
		left := st.call.req.PromptTokens - st.prefilled
		if left <= 0 || budget <= 0 {
			continue
		}
		perToken := (1 + 2*float64(st.prefilled)/modelQuadratic) / modelRate
		n := min(left, int(math.Ceil(budget/perToken)))
		st.prefilled += n
		budget -= float64(n) * perToken
		seconds += float64(n) * perToken
		e.prefilledTokens += float64(n)
		e.sim.observeWork(st.call, prefillWork(st.prefilled-n, st.prefilled))
		prefillDone[st] = st.prefilled >= st.call.req.PromptTokens
	}
	if budget < modelChunk {
		e.prefillSeconds += seconds
	}
	e.step = toDuration(seconds)
	e.sim.events.after(e.step, func() { e.endStep(prefillDone) })
}

// endStep ends a step. prefillDone maps each stream that was prefilled in the step
// to whether its prefill is complete. Streams with a complete prefill get one token.
func (e *modelEngine) endStep(prefillDone map[*modelStream]bool) {
	now := time.Now()
	var kept, ended []*modelStream
	for _, st := range e.streams {
		if done, touched := prefillDone[st]; st.prefilled < st.call.req.PromptTokens || touched && !done {
			kept = append(kept, st)
			continue
		}
		st.generated++
		e.sim.observeWork(st.call, decodeTokenWork)
		if st.first.IsZero() {
			st.first = now
			e.store(st.call)
		} else {
			e.sim.observeGap(now.Sub(st.last))
		}
		st.last = now
		if st.generated >= st.call.output {
			ended = append(ended, st)
		} else {
			kept = append(kept, st)
		}
	}
	e.streams = kept
	if n := e.used(); n > modelCapacity {
		e.sim.t.Errorf("engine %s uses %d tokens", e.name, n)
	}
	if e.stepping = len(kept) > 0; e.stepping {
		e.runStep()
	}
	for _, st := range ended {
		e.sim.finish(st)
	}
}

// store adds the prompt's prefixes to the cache and queues the cache events.
func (e *modelEngine) store(c *simCall) {
	for i, hash := range c.req.Prefixes {
		if j := slices.Index(e.cache, hash); j >= 0 {
			e.cache = append(slices.Delete(e.cache, j, j+1), hash)
			continue
		}
		e.cache = append(e.cache, hash)
		e.publish(kindStored, hash, blockTokens<<i)
		if len(e.cache) > modelPrefixes {
			e.publish(kindEvicted, e.cache[0], 0)
			e.cache = slices.Delete(e.cache, 0, 1)
		}
	}
}

// publish queues a cache event. Some events are lost.
func (e *modelEngine) publish(kind, hash string, tokens int) {
	e.seq++
	if e.sim.rand.Float64() < 0.05 {
		return
	}
	e.pending = append(e.pending, engine.CacheEvent{Seq: e.seq, Kind: kind, Prefix: hash, Tokens: tokens})
}

// sendReport delivers the current load and the queued cache events after the delay.
func (e *modelEngine) sendReport(c *simCell, delay time.Duration) {
	r := engine.LoadReport{
		Engine: e.name, CapacityTokens: modelCapacity, UsedTokens: e.used(),
		DecodeStepMillis: e.step.Seconds() * 1000, AgeMillis: delay.Milliseconds(),
	}
	for _, st := range e.streams {
		if st.prefilled == 0 {
			r.Waiting++
		} else {
			r.Running++
		}
	}
	if e.prefillSeconds > 0 {
		r.PrefillTokensPerSecond = e.prefilledTokens / e.prefillSeconds
	}
	e.prefilledTokens, e.prefillSeconds = 0, 0
	evs := e.pending
	e.pending = nil
	e.sim.events.after(delay, func() {
		c.s.Report(e.name, e.name, r)
		c.s.CacheEvents(e.name, evs)
		c.advance()
	})
}

// modelClient makes the scheduler's calls to the model engines.
type modelClient struct{ engines map[string]*modelEngine }

func (m modelClient) Streams(context.Context, string) ([]engine.Stream, error) { return nil, nil }
func (m modelClient) Cancel(context.Context, string, string) error             { return nil }

func (m modelClient) Reserve(_ context.Context, address, id string, tokens int, _ time.Duration) error {
	e := m.engines[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserved[id] = tokens
	return nil
}

func (m modelClient) Unreserve(_ context.Context, address, id string) error {
	e := m.engines[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.reserved, id)
	return nil
}

// simConfig configures one run of the simulation.
type simConfig struct {
	policy PolicyName
	// cells has the number of engines of each cell. load is the arrival rate,
	// where 1 is one request per engine in meanArrivalInterval.
	cells []int
	load  float64
	// delay is the age of load reports and cache events when they arrive.
	delay    time.Duration
	seed     uint64
	duration time.Duration
	weights  Weights
	// noLong removes prompts over 100k tokens. flood adds a thousand long
	// prompts of one organisation after a third of the run.
	noLong, flood bool
}

// simCall is one request of the workload.
type simCall struct {
	req Request
	// arrival is the time of arrival since the start of the workload.
	arrival time.Duration
	// output is the length of the answer, cached the cached part of the prompt,
	// both in tokens. bin is the index of the prompt length in binNames.
	output   int
	cached   int
	flood    bool
	bin      int
	deadline time.Time
	arrived  time.Time
	// cells are in the order in which the entry node tries them; cellIndex is
	// the current one.
	cells     []*simCell
	cellIndex int
}

const (
	simOrgs     = 10
	longTokens  = 100_000
	maxTokens   = 1_000_000
	floodCalls  = 1000
	floodTokens = 150_000
	simWarmup   = 60 * time.Second
	// meanArrivalInterval is the mean time, in seconds, between two requests per
	// engine at a load of 1.
	meanArrivalInterval = 0.94
)

// orgShare is the fraction of the requests that an organisation sends.
func orgShare(i int) float64 {
	large := []float64{0.25, 0.2, 0.15}
	if i < len(large) {
		return large[i]
	}
	return 0.4 / (simOrgs - 3)
}

// binEdges are the lengths, in tokens, below which a prompt belongs to a bin.
var binEdges = []int{2 << 10, 8 << 10, 32 << 10, 128 << 10, 512 << 10, math.MaxInt}

var binNames = []string{"1k", "4k", "16k", "64k", "256k", "1M"}

// workload draws the calls of a run. Runs with the same seed have the same calls.
func workload(cfg simConfig) []*simCall {
	rnd := rand.New(rand.NewPCG(cfg.seed, 1))
	engines := 0
	for _, n := range cfg.cells {
		engines += n
	}
	rate := cfg.load * float64(engines) / meanArrivalInterval
	var calls []*simCall
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / rate
		if at >= cfg.duration.Seconds() {
			break
		}
		c := drawCall(rnd, len(calls))
		c.arrival = toDuration(at)
		if !cfg.noLong || c.req.PromptTokens <= longTokens {
			calls = append(calls, c)
		}
	}
	if cfg.flood {
		for i := range floodCalls {
			c := drawCall(rnd, len(calls))
			c.flood = true
			c.arrival = cfg.duration/3 + time.Duration(i)*10*time.Millisecond
			c.req.Organisation = "org-0"
			c.req.Prefixes = nil
			setLength(c, floodTokens)
			calls = append(calls, c)
		}
	}
	return calls
}

// drawCall draws the length, organisation, answer and prefixes of one call.
func drawCall(rnd *rand.Rand, i int) *simCall {
	org, p := 0, rnd.Float64()
	for p -= orgShare(0); p > 0 && org < simOrgs-1; p -= orgShare(org) {
		org++
	}
	length := int(min(longTokens, max(1024, 2500*math.Exp(1.3*rnd.NormFloat64()))))
	if rnd.IntN(50) == 0 {
		length = int(longTokens * math.Exp(rnd.Float64()*math.Log(float64(maxTokens)/longTokens)))
	}
	limit := 128 << rnd.IntN(4)
	c := &simCall{output: max(2, int(float64(limit)*rnd.Float64())), req: Request{
		ID: fmt.Sprintf("r%06d", i), Entry: "n1", Organisation: fmt.Sprintf("org-%d", org), Weight: 1,
		Model: "m", MaxTokens: limit, Fingerprint: fmt.Sprintf("f%06d", i),
	}}
	if rnd.Float64() < 0.3 {
		// A prefix that several requests of the organisation have in common.
		id, blocks := rnd.IntN(8), 1+rnd.IntN(3)
		for b := range blocks {
			c.req.Prefixes = append(c.req.Prefixes, fmt.Sprintf("org-%d/%d/%d", org, id, b))
		}
		length = max(length, blockTokens<<(blocks-1)+256)
	}
	setLength(c, length)
	return c
}

// setLength sets the length of the prompt and the bin and time limit that follow
// from it.
func setLength(c *simCall, length int) {
	c.req.PromptTokens = length
	c.bin = slices.IndexFunc(binEdges, func(edge int) bool { return length < edge })
	switch {
	case length <= 64<<10:
		c.req.Remaining = time.Minute
	case length <= 256<<10:
		c.req.Remaining = 5 * time.Minute
	default:
		c.req.Remaining = 15 * time.Minute
	}
}

// simulation runs real schedulers with the engine model.
type simulation struct {
	t          *testing.T
	cfg        simConfig
	events     events
	rand       *rand.Rand
	cells      []*simCell
	unfinished int
	start      time.Time
	result     simResult
}

type simResult struct {
	first    []*hdrhistogram.Histogram // time to first token in microseconds, by bin
	short    *hdrhistogram.Histogram   // time to first token of prompts up to 8k
	others   *hdrhistogram.Histogram   // time to first token of prompts up to 8k without org-0, which sends the flood
	gaps     *hdrhistogram.Histogram
	offered  int
	refused  map[fault.Kind]int
	late     int
	finished int
	// goodput is the tokens of prompt and answer, per second, of the requests
	// that ended in time.
	goodput float64
	// served is the work of the requests granted in the measurement window,
	// demanded the work of the requests that arrived after the warm-up, without
	// the flood, and done the work that the engines did in the window.
	served   [simOrgs]float64
	demanded [simOrgs]float64
	done     [simOrgs]float64
	// memory is the memory in use on the engines, booked the memory of the
	// grants. Both are fractions of all memory, sampled once a second.
	memory []float64
	booked []float64
	// held is the memory held for gatherings, waiting the memory of grants whose
	// prefill has not begun, both as fractions of all memory.
	held, waiting []float64
	// granted, slowness and engines describe finished requests by bin: seconds
	// until the grant, the time from the grant to the first token relative to
	// an idle engine, and the engines used.
	granted, slowness, engines [][]float64
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000_000, 3) }

func simulate(t *testing.T, cfg simConfig) *simResult {
	sim := &simulation{t: t, cfg: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 2)), start: time.Now()}
	sim.result = simResult{
		short: newHistogram(), others: newHistogram(), gaps: newHistogram(), refused: map[fault.Kind]int{},
	}
	sim.result.granted, sim.result.slowness, sim.result.engines = make([][]float64, len(binNames)), make([][]float64, len(binNames)), make([][]float64, len(binNames))
	for range binNames {
		sim.result.first = append(sim.result.first, newHistogram())
	}
	for i, n := range cfg.cells {
		sim.cells = append(sim.cells, newSimCell(sim, i, n))
	}
	calls := workload(cfg)
	sim.unfinished = len(calls)
	for _, c := range calls {
		sim.events.at(sim.start.Add(time.Second+c.arrival), func() { sim.arrive(c) })
	}
	sim.events.at(sim.start.Add(simWarmup), sim.sample)
	sim.events.run()
	for _, c := range sim.cells {
		c.checkEmpty()
	}
	return &sim.result
}

// measured reports whether a call arrives after the warm-up and is not part of the
// flood.
func (sim *simulation) measured(c *simCall) bool {
	return c.arrival >= simWarmup && !c.flood
}

// inWindow reports whether the time is in the measurement window.
func (sim *simulation) inWindow() bool {
	at := time.Since(sim.start)
	return at >= simWarmup && at <= sim.cfg.duration
}

func orgOf(c *simCall) (org int) {
	_, _ = fmt.Sscanf(c.req.Organisation, "org-%d", &org)
	return org
}

func (sim *simulation) arrive(c *simCall) {
	c.arrived = time.Now()
	c.deadline = c.arrived.Add(c.req.Remaining)
	if sim.measured(c) {
		sim.result.offered++
		sim.result.demanded[orgOf(c)] += callWork(c)
	}
	// Rank the cells by the first prefix, or by the organisation and the request
	// id if there is none. Then prefer the less loaded of the first two.
	key := c.req.Organisation + c.req.ID
	if len(c.req.Prefixes) > 0 {
		key = c.req.Prefixes[0]
	}
	// The seed of the ranking is the FNV-1a hash of the key.
	h := uint64(14695981039346656037)
	for _, b := range []byte(key) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	c.cells = slices.Clone(sim.cells)
	rnd := rand.New(rand.NewPCG(h, 3))
	rnd.Shuffle(len(c.cells), func(i, j int) { c.cells[i], c.cells[j] = c.cells[j], c.cells[i] })
	if len(c.cells) > 1 && c.cells[1].load() < c.cells[0].load() {
		c.cells[0], c.cells[1] = c.cells[1], c.cells[0]
	}
	c.cells[0].acquire(c)
}

func callWork(c *simCall) float64 {
	return prefillWork(c.cached, c.req.PromptTokens) + decodeTokenWork*float64(c.output)
}

// refuse sends a refused call to its next cell if the refusal and the deadline
// allow another attempt. Otherwise the call ends.
func (sim *simulation) refuse(c *simCall, kind fault.Kind) {
	if c.cellIndex++; c.cellIndex < len(c.cells) && (kind == fault.Overloaded || kind == fault.DeadlineUnattainable) && time.Now().Before(c.deadline) {
		c.cells[c.cellIndex].acquire(c)
		return
	}
	sim.unfinished--
	if sim.measured(c) {
		sim.result.refused[kind]++
	}
}

func (sim *simulation) observeWork(c *simCall, work float64) {
	if sim.inWindow() {
		sim.result.done[orgOf(c)] += work
	}
}

func (sim *simulation) observeGap(d time.Duration) { _ = sim.result.gaps.RecordValue(d.Microseconds()) }

func (sim *simulation) finish(st *modelStream) {
	c := st.call
	cell := c.cells[c.cellIndex]
	sim.unfinished--
	now := time.Now()
	cell.s.Release(Release{
		Cell: cell.name, ID: cell.grants[c].ID, PromptTokens: c.req.PromptTokens,
		CachedTokens: c.cached, CompletionTokens: st.generated, FirstToken: st.first.Sub(st.started),
	})
	shares := len(cell.grants[c].Shares)
	delete(cell.grants, c)
	cell.advance()
	if sim.inWindow() {
		if !now.After(c.deadline) {
			sim.result.goodput += float64(c.req.PromptTokens+st.generated) / (sim.cfg.duration - simWarmup).Seconds()
		}
	}
	if !sim.measured(c) {
		return
	}
	sim.result.finished++
	if now.After(c.deadline) {
		sim.result.late++
	}
	first := st.first.Sub(c.arrived).Microseconds()
	_ = sim.result.first[c.bin].RecordValue(first)
	r := &sim.result
	r.granted[c.bin] = append(r.granted[c.bin], st.started.Sub(c.arrived).Seconds())
	r.slowness[c.bin] = append(r.slowness[c.bin], st.first.Sub(st.started).Seconds()*modelRate/prefillWork(c.cached, c.req.PromptTokens))
	r.engines[c.bin] = append(r.engines[c.bin], float64(shares))
	if c.req.PromptTokens <= defaultShortPrompt {
		_ = sim.result.short.RecordValue(first)
		if c.req.Organisation != "org-0" {
			_ = sim.result.others.RecordValue(first)
		}
	}
}

// sample records the use of the memory once a second.
func (sim *simulation) sample() {
	used, booked, total, held, waiting := 0, 0, 0, 0, 0
	for _, c := range sim.cells {
		for _, e := range c.engines {
			used += e.used()
			total += modelCapacity
		}
		for _, e := range c.s.engines {
			booked += e.booked
			held += e.held
		}
		for _, e := range c.engines {
			for _, st := range e.streams {
				if st.prefilled == st.call.cached {
					for _, n := range c.grants[st.call].Shares {
						waiting += n
					}
				}
			}
		}
	}
	sim.result.memory = append(sim.result.memory, float64(used)/float64(total))
	sim.result.held = append(sim.result.held, float64(held)/float64(total))
	sim.result.waiting = append(sim.result.waiting, float64(waiting)/float64(total))
	sim.result.booked = append(sim.result.booked, float64(booked)/float64(total))
	if time.Since(sim.start) < sim.cfg.duration {
		sim.events.after(time.Second, sim.sample)
	}
}

// simCell is a scheduler with its engines and the calls that wait for it.
type simCell struct {
	sim     *simulation
	name    string
	s       *Scheduler
	engines []*modelEngine
	byName  map[string]*modelEngine
	waiting []waitingCall
	grants  map[*simCall]Grant
	digest  LoadDigest
	tickAt  time.Time
}

type waitingCall struct {
	call   *simCall
	ticket *ticket
}

func newSimCell(sim *simulation, i, engines int) *simCell {
	c := &simCell{sim: sim, name: fmt.Sprintf("cell-%d", i), byName: map[string]*modelEngine{}, grants: map[*simCall]Grant{}}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	c.s = New(Options{
		Cell: c.name, Owner: "n1", Engines: modelClient{c.byName}, Policy: sim.cfg.policy, RebuildWindow: -1,
		Rand: rand.New(rand.NewPCG(sim.cfg.seed, uint64(10+i))), Weights: sim.cfg.weights, Log: log,
		// The simulation sends no renewals; failures of entry nodes are tested
		// elsewhere.
		Lifetime:    time.Hour,
		OnViolation: func(name string) { sim.t.Errorf("%s: %s", sim.cfg.policy, name) },
	})
	infos := make([]EngineInfo, 0, engines)
	for j := range engines {
		e := &modelEngine{sim: sim, name: fmt.Sprintf("e%d-%d", i, j), reserved: map[string]int{}}
		c.engines = append(c.engines, e)
		c.byName[e.name] = e
		infos = append(infos, EngineInfo{Name: e.name, Address: e.name})
		c.s.SetEngines(infos)
		c.report(e)
	}
	return c
}

func (c *simCell) report(e *modelEngine) {
	e.sendReport(c, c.sim.cfg.delay)
	if c.sim.unfinished > 0 || time.Since(c.sim.start) < time.Second {
		c.sim.events.after(min(c.sim.cfg.delay, time.Second), func() { c.report(e) })
	}
}

// load is the load by which an entry node compares cells, from the last digest it
// received.
func (c *simCell) load() float64 {
	return c.digest.Wait.Seconds() + float64(c.digest.QueuedTokens)/(modelRate*float64(len(c.engines)))
}

func (c *simCell) acquire(call *simCall) {
	req := call.req
	req.Cell, req.Remaining = c.name, time.Until(call.deadline)
	c.s.mu.Lock()
	t, err := c.s.submit(req, time.Now())
	if err == nil {
		c.s.dispatch(time.Now())
	}
	c.digest = c.s.digest(time.Now())
	c.s.mu.Unlock()
	if err != nil {
		c.sim.refuse(call, fault.KindOf(err))
		return
	}
	c.waiting = append(c.waiting, waitingCall{call, t})
	c.sim.events.at(call.deadline, func() {
		c.s.mu.Lock()
		_, _ = c.s.abandon(t, context.DeadlineExceeded)
		c.s.mu.Unlock()
		c.advance()
	})
	c.advance()
}

// advance makes the scheduler's calls to engines, starts the streams of new grants
// and schedules the next tick.
func (c *simCell) advance() {
	c.s.mu.Lock()
	jobs := c.s.takeJobs()
	c.s.mu.Unlock()
	for _, j := range jobs {
		j(context.Background(), c.s)
	}
	for i := 0; i < len(c.waiting); i++ {
		w := c.waiting[i]
		select {
		case <-w.ticket.done:
		default:
			continue
		}
		c.waiting = slices.Delete(c.waiting, i, i+1)
		i--
		if w.ticket.err != nil {
			c.sim.refuse(w.call, fault.KindOf(w.ticket.err))
			continue
		}
		g := w.ticket.grant
		c.digest = g.Digest
		c.grants[w.call] = g
		c.byName[g.Engine].start(&modelStream{call: w.call, priority: g.Priority, share: g.Shares[0]})
		if c.sim.inWindow() {
			c.sim.result.served[orgOf(w.call)] += callWork(w.call)
		}
		if g.Reservation != "" {
			_ = modelClient{c.byName}.Unreserve(context.Background(), g.Address, g.Reservation)
		}
	}
	c.planTick()
}

// planTick schedules a tick for the time at which Run would wake.
func (c *simCell) planTick() {
	if c.sim.unfinished == 0 {
		return
	}
	c.s.mu.Lock()
	at := time.Now().Add(c.s.nextWake(time.Now()))
	c.s.mu.Unlock()
	if now := time.Now(); c.tickAt.After(now) && !at.Before(c.tickAt) {
		return
	}
	c.tickAt = at
	c.sim.events.at(at, func() {
		if c.tickAt.Equal(at) {
			c.s.mu.Lock()
			c.s.tick(time.Now())
			c.s.mu.Unlock()
			c.advance()
		}
	})
}

// checkEmpty fails the test if bookings, tickets, pins or reservations remain after
// the last request.
func (c *simCell) checkEmpty() {
	for _, e := range c.s.engines {
		if e.booked != 0 || e.bookedByClass != [classCount]int{} || e.held != 0 || len(e.grants) != 0 {
			c.sim.t.Errorf("%s keeps %d tokens booked", e.name, e.booked)
		}
	}
	if len(c.s.tickets) != 0 || c.s.queuedTokens != 0 || len(c.s.pins) != 0 || c.s.gather != nil {
		c.sim.t.Errorf("%s: %d tickets, %d pins left", c.name, len(c.s.tickets), len(c.s.pins))
	}
	for _, e := range c.engines {
		if len(e.reserved) != 0 {
			c.sim.t.Errorf("%s keeps %d reservations", e.name, len(e.reserved))
		}
	}
}
