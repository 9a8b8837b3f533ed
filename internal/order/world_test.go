package order

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	worldLag      = 2 * time.Second
	worldLoadTime = 8 * time.Second
	// worldSpread is how long a configuration takes to reach every node.
	worldSpread = 13 * time.Second
)

type fenceKey struct {
	cell   string
	number uint64
}

type sample struct {
	at     time.Time
	report engine.LoadReport
}

// upstream is a model of an engine.
type upstream struct {
	name    string
	checks  bool
	random  *rand.Rand
	alive   bool
	fence   uint64
	models  []engine.Model
	loading map[engine.Order]time.Time // order without its number, to the end of the load
	samples []sample
	orders  int
}

func (u *upstream) find(model, version string) int {
	return slices.IndexFunc(u.models, func(m engine.Model) bool {
		return m.Name == model && (version == "" || m.Version == version)
	})
}

// world holds the engines and asserts the invariants at each order.
type world struct {
	mu         sync.Mutex
	engines    map[string]*upstream
	loadTime   time.Duration
	limit      int
	lostReply  float64
	bad        string // a version that engines refuse
	docs       []Desired
	docTimes   []time.Time
	wantedAt   map[string]time.Time // since when a model is wanted
	failing    sync.Mutex
	violations []string
	orders     int
	redundant  int
	lost       int
	started    int
	most       int
	changing   int
	// taken says when a number of a cell, or a higher one, was taken.
	taken map[fenceKey]time.Time
	// late delays an order after its sender has given up.
	late func(engine.Order) time.Duration
}

func newWorld(limit int, loadTime time.Duration) *world {
	return &world{engines: map[string]*upstream{}, limit: limit, loadTime: loadTime, wantedAt: map[string]time.Time{}, taken: map[fenceKey]time.Time{}}
}

func (w *world) add(name string, checks bool, seed uint64, models ...engine.Model) {
	w.engines[name] = &upstream{
		name: name, checks: checks, random: rand.New(rand.NewPCG(seed, uint64(len(w.engines)))),
		alive: true, models: models, loading: map[engine.Order]time.Time{},
	}
}

func (w *world) set(d Desired) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.Revision = uint64(len(w.docs) + 1)
	for name := range w.wantedAt {
		if _, ok := d.Models[name]; !ok {
			delete(w.wantedAt, name)
		}
	}
	for name := range d.Models {
		if _, ok := w.wantedAt[name]; !ok {
			w.wantedAt[name] = time.Now()
		}
	}
	w.docs, w.docTimes = append(w.docs, d), append(w.docTimes, time.Now())
}

// seen returns the configuration that reached a node after a delay.
func (w *world) seen(delay time.Duration) (Desired, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.docs) - 1; i >= 0; i-- {
		if i == 0 || time.Since(w.docTimes[i]) >= delay {
			return w.docs[i], true
		}
	}
	return Desired{}, false
}

func (w *world) fail(format string, args ...any) {
	w.failing.Lock()
	defer w.failing.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// sampleLoop makes the reports and ends the loads.
func (w *world) sampleLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		for _, u := range w.engines {
			w.advance(u, now)
			if !u.alive {
				continue
			}
			u.samples = append(u.samples, sample{at: now, report: engine.LoadReport{Engine: u.name, Models: slices.Clone(u.models), Fence: u.fence}})
			if len(u.samples) > 8 {
				u.samples = u.samples[1:]
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
	return ctx.Err()
}

func (w *world) advance(u *upstream, now time.Time) {
	for o, end := range u.loading {
		if !now.Before(end) {
			delete(u.loading, o)
			u.models = append(u.models, engine.Model{Name: o.Model, Version: o.Version})
		}
	}
}

func (w *world) report(name string) (engine.LoadReport, time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, samples := time.Now(), w.engines[name].samples
	for i := len(samples) - 1; i >= 0; i-- {
		if age := now.Sub(samples[i].at); age >= worldLag {
			r := samples[i].report
			r.AgeMillis = age.Milliseconds()
			return r, now, true
		}
	}
	return engine.LoadReport{}, now, false
}

func (w *world) kill(name string) {
	u := w.engines[name]
	u.alive, u.models, u.fence = false, nil, 0
	clear(u.loading)
}

func (w *world) serving(cell, model string) int {
	n := 0
	for name, u := range w.engines {
		if u.alive && name[:1] == cell && u.find(model, "") >= 0 {
			n++
		}
	}
	return n
}

// apply runs an order on the engine with this name, which is also its address.
func (w *world) apply(name string, o engine.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, now := w.engines[name], time.Now()
	w.advance(u, now)
	w.orders++
	u.orders++
	if !u.alive {
		return fault.New(fault.Unreachable, "engine is dead")
	}
	if u.checks && o.Fence < u.fence {
		return fault.New(fault.Stale, "old number")
	}
	if o.Kind == engine.OrderLoad && o.Version == w.bad {
		return fault.New(fault.UpstreamFailed, "cannot load")
	}
	if t, ok := w.taken[fenceKey{name[:1], o.Fence + 1}]; ok && now.Sub(t) > defaultReadingAge+transitTime {
		w.fail("fence: order with number %d arrives %s after a higher one was taken", o.Fence, now.Sub(t))
	}
	u.fence = max(u.fence, o.Fence)
	key := engine.Order{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		w.load(u, key, now)
	case engine.OrderUnload:
		w.unload(u, key)
	case engine.OrderAdapter:
		i := u.find(o.Model, o.Version)
		if i < 0 {
			return fault.New(fault.NotFound, "not loaded")
		}
		if slices.Contains(u.models[i].Adapters, o.Adapter) {
			w.redundant++
			break
		}
		u.models[i].Adapters = append(slices.Clone(u.models[i].Adapters), o.Adapter)
	}
	if u.random.Float64() < w.lostReply {
		w.lost++
		return fault.New(fault.Timeout, "no answer")
	}
	return nil
}

func (w *world) load(u *upstream, key engine.Order, now time.Time) {
	if _, ok := u.loading[key]; ok || u.find(key.Model, key.Version) >= 0 {
		w.redundant++
		return
	}
	u.loading[key] = now.Add(w.loadTime + time.Duration(u.random.Float64()*float64(w.loadTime)/2))
	w.started++
	flying, changing := 0, 0
	for _, v := range w.engines {
		w.advance(v, now)
		flying += len(v.loading)
		if len(v.models) > 0 && len(v.models)+len(v.loading) > 1 {
			changing++
		}
	}
	w.most, w.changing = max(w.most, flying), max(w.changing, changing)
	if flying > w.limit {
		w.fail("loads: %d in flight, limit %d", flying, w.limit)
	}
}

func (w *world) unload(u *upstream, key engine.Order) {
	cell := u.name[:1]
	before := w.serving(cell, key.Model)
	n := len(u.models)
	u.models = slices.DeleteFunc(u.models, func(m engine.Model) bool { return m.Name == key.Model && m.Version == key.Version })
	delete(u.loading, key)
	if len(u.models) == n {
		w.redundant++
	}
	after := w.serving(cell, key.Model)
	least := w.docs[len(w.docs)-1].Models[key.Model].MinEngines
	since, wanted := w.wantedAt[key.Model]
	if wanted && time.Since(since) > worldSpread && after < before && after < least {
		w.fail("capacity: %s of cell %s went from %d to %d engines by an order, least is %d", key.Model, cell, before, after, least)
	}
}

// converged reports whether each engine has exactly the desired state.
func (w *world) converged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	want := w.docs[len(w.docs)-1].Models
	for _, u := range w.engines {
		w.advance(u, time.Now())
		if len(u.models) != len(want) || len(u.loading) > 0 {
			return false
		}
		for _, m := range u.models {
			if d, ok := want[m.Name]; !ok || d.Version != m.Version || len(d.Adapters) != len(m.Adapters) {
				return false
			}
		}
	}
	return true
}

// until waits until the engines converge and returns the time it took.
func (w *world) until(limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if w.converged() {
			return time.Since(start), true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return limit, false
}

// node runs reconcilers. A paused node stops at each call, before and after its
// effect.
type node struct {
	name  string
	world *world
	store plat.Store
	delay time.Duration
	tune  func(*Options)

	mu     sync.Mutex
	resume chan struct{}
	runs   map[string]*run
	groups []*group.Group
}

type run struct {
	*Reconciler
	group *group.Group
}

func newNode(name string, w *world, store *netem.Store, tune func(*Options)) *node {
	n := &node{name: name, world: w, store: store.Client(nil), tune: tune, runs: map[string]*run{}, resume: make(chan struct{})}
	close(n.resume)
	return n
}

func (n *node) pause(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.resume:
		if paused {
			n.resume = make(chan struct{})
		}
	default:
		if !paused {
			close(n.resume)
		}
	}
}

func (n *node) gate() {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	<-resume
}

// own starts or stops the reconciler of a cell.
func (n *node) own(cell string, owner bool, seed uint64) {
	if r, ok := n.runs[cell]; ok != owner && ok {
		r.group.Stop()
		delete(n.runs, cell)
	} else if !ok && owner {
		random := rand.New(rand.NewPCG(seed, uint64(cell[0])<<8|uint64(n.name[0])))
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		o := Options{
			Cell: cell, Node: n.name, Store: gated{n.store, n}, Sender: n, Report: n.world.report, Rand: random.Float64,
			Engines: func() []Engine { return n.world.cell(cell) }, LoadLimit: n.world.limit, Logger: logger,
			Desired: func() (Desired, bool) { return n.world.seen(n.delay) },
		}
		if n.tune != nil {
			n.tune(&o)
		}
		r := &run{Reconciler: New(o), group: group.New(context.Background())}
		r.group.Go("run", r.Run)
		n.runs[cell] = r
		n.groups = append(n.groups, r.group)
	}
}

// close stops the reconcilers of a node that is not paused and waits for them.
func (n *node) close() {
	for _, g := range n.groups {
		g.Stop()
		if err := g.Wait(); err != nil {
			n.world.fail("run: %v", err)
		}
	}
}

// sentOrders returns the number of orders so far.
func (w *world) sentOrders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
}

func (w *world) cell(cell string) []Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Engine
	for name := range w.engines {
		if name[:1] == cell {
			out = append(out, Engine{Name: name, Address: name})
		}
	}
	slices.SortFunc(out, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Order implements Sender. As an HTTP client does, it sends nothing after the
// deadline.
func (n *node) Order(ctx context.Context, address string, o engine.Order) error {
	n.gate()
	if ctx.Err() != nil {
		return fault.Wrap(fault.Unreachable, ctx.Err(), "not sent")
	}
	time.Sleep(20 * time.Millisecond)
	if n.world.late != nil {
		time.Sleep(n.world.late(o))
	}
	err := n.world.apply(address, o)
	n.gate()
	return err
}

type gated struct {
	plat.Store
	node *node
}

func (g gated) Get(ctx context.Context, key string) (plat.Entry, error) {
	g.node.gate()
	defer g.node.gate()
	entry, err := g.Store.Get(ctx, key)
	if cell, ok := strings.CutPrefix(key, cellKey("")); ok && err == nil {
		g.node.world.wrote(cell, entry.Value)
	}
	return entry, err
}

func (g gated) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	g.node.gate()
	defer g.node.gate()
	revision, err := g.Store.Put(ctx, key, value, base)
	if cell, ok := strings.CutPrefix(key, cellKey("")); ok && err == nil {
		g.node.world.wrote(cell, value)
	}
	return revision, err
}

// wrote notes when a number was first known to be taken. A lost reply does not
// say so, as the write may have had no effect.
func (w *world) wrote(cell string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rec record
	if err := json.Unmarshal(value, &rec); err != nil {
		w.fail("record: %v", err)
	}
	for n := rec.Fence; n > 0; n-- {
		if _, ok := w.taken[fenceKey{cell, n}]; ok {
			return
		}
		w.taken[fenceKey{cell, n}] = time.Now()
	}
}

func models(version string, least int) map[string]confd.Model {
	return map[string]confd.Model{"m": {Version: version, MinEngines: least}}
}
