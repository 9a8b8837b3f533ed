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
	// reportLag is the age at which a report becomes visible to nodes.
	reportLag   = 2 * time.Second
	simLoadTime = 8 * time.Second
	// maxConfigDelay is the time allowed for a configuration to take effect on every
	// node. The minimum number of engines of a new model is checked only after it.
	maxConfigDelay = 13 * time.Second
)

// fenceKey identifies a fencing number of a cell.
type fenceKey struct {
	cell  string
	fence uint64
}

type timedReport struct {
	sampledAt time.Time
	report    engine.LoadReport
}

// simEngine simulates an engine. The first letter of its name is the name of its cell.
type simEngine struct {
	name        string
	checksFence bool
	random      *rand.Rand
	running     bool
	fence       uint64
	models      []engine.Model
	loading     map[engine.Order]time.Time // end of each load, by an order with only model and version
	reports     []timedReport
	orders      int
}

func (e *simEngine) find(model, version string) int {
	return slices.IndexFunc(e.models, func(m engine.Model) bool {
		return m.Name == model && (version == "" || m.Version == version)
	})
}

// simulation holds the engines and checks the invariants at each order.
type simulation struct {
	mu              sync.Mutex
	engines         map[string]*simEngine
	loadTime        time.Duration
	loadLimit       int
	replyLoss       float64
	rejectedVersion string // a version that engines refuse to load
	configs         []Desired
	configTimes     []time.Time
	desiredSince    map[string]time.Time // when each model was added to the configuration
	violationsMu    sync.Mutex
	violations      []string
	orders          int // orders that have reached engines
	redundant       int // orders for what the engine had already done or started
	lostReplies     int
	loadsStarted    int
	maxInFlight     int
	maxChanging     int
	// acquiredAt maps each fencing number of a cell to the time at which that number
	// or a higher one was first acquired.
	acquiredAt map[fenceKey]time.Time
	// extraDelay returns the additional time that an order takes to the engine. The
	// order arrives even if its deadline passes meanwhile.
	extraDelay func(engine.Order) time.Duration
}

func newSimulation(loadLimit int, loadTime time.Duration) *simulation {
	return &simulation{engines: map[string]*simEngine{}, loadLimit: loadLimit, loadTime: loadTime, desiredSince: map[string]time.Time{}, acquiredAt: map[fenceKey]time.Time{}}
}

func (s *simulation) addEngine(name string, checksFence bool, seed uint64, models ...engine.Model) {
	s.engines[name] = &simEngine{
		name: name, checksFence: checksFence, random: rand.New(rand.NewPCG(seed, uint64(len(s.engines)))),
		running: true, models: models, loading: map[engine.Order]time.Time{},
	}
}

func (s *simulation) setConfig(d Desired) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Revision = uint64(len(s.configs) + 1)
	for name := range s.desiredSince {
		if _, ok := d.Models[name]; !ok {
			delete(s.desiredSince, name)
		}
	}
	for name := range d.Models {
		if _, ok := s.desiredSince[name]; !ok {
			s.desiredSince[name] = time.Now()
		}
	}
	s.configs, s.configTimes = append(s.configs, d), append(s.configTimes, time.Now())
}

// configAfter returns the configuration known to a node that receives every change
// after a delay. The first configuration is known at once.
func (s *simulation) configAfter(delay time.Duration) (Desired, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.configs) - 1; i >= 0; i-- {
		if i == 0 || time.Since(s.configTimes[i]) >= delay {
			return s.configs[i], true
		}
	}
	return Desired{}, false
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violationsMu.Lock()
	defer s.violationsMu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// sampleLoop produces the load reports and completes loads.
func (s *simulation) sampleLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		now := time.Now()
		for _, e := range s.engines {
			s.advance(e, now)
			if !e.running {
				continue
			}
			e.reports = append(e.reports, timedReport{sampledAt: now, report: engine.LoadReport{Engine: e.name, Models: slices.Clone(e.models), Fence: e.fence}})
			if len(e.reports) > 8 {
				e.reports = e.reports[1:]
			}
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// advance completes the loads of an engine whose ends have passed.
func (s *simulation) advance(e *simEngine, now time.Time) {
	for o, end := range e.loading {
		if !now.Before(end) {
			delete(e.loading, o)
			e.models = append(e.models, engine.Model{Name: o.Model, Version: o.Version})
		}
	}
}

func (s *simulation) report(name string) (engine.LoadReport, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, reports := time.Now(), s.engines[name].reports
	for i := len(reports) - 1; i >= 0; i-- {
		if age := now.Sub(reports[i].sampledAt); age >= reportLag {
			r := reports[i].report
			r.AgeMillis = age.Milliseconds()
			return r, now, true
		}
	}
	return engine.LoadReport{}, now, false
}

// crash stops an engine, which loses its models. The caller holds the lock.
func (s *simulation) crash(name string) {
	e := s.engines[name]
	e.running, e.models, e.fence = false, nil, 0
	clear(e.loading)
}

// countServing returns the number of running engines of a cell with a model.
func (s *simulation) countServing(cell, model string) int {
	n := 0
	for name, e := range s.engines {
		if e.running && name[:1] == cell && e.find(model, "") >= 0 {
			n++
		}
	}
	return n
}

// apply runs an order on the engine with this name, which is also its address.
func (s *simulation) apply(name string, o engine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := s.engines[name], time.Now()
	s.advance(e, now)
	s.orders++
	e.orders++
	if !e.running {
		return fault.New(fault.Unreachable, "engine is not running")
	}
	if e.checksFence && o.Fence < e.fence {
		return fault.New(fault.Stale, "old fencing number")
	}
	if o.Kind == engine.OrderLoad && o.Version == s.rejectedVersion {
		return fault.New(fault.UpstreamFailed, "cannot load")
	}
	if t, ok := s.acquiredAt[fenceKey{name[:1], o.Fence + 1}]; ok && now.Sub(t) > defaultOwnershipTTL+transitTime {
		s.addViolation("fence: order with number %d arrives %s after a higher one was acquired", o.Fence, now.Sub(t))
	}
	e.fence = max(e.fence, o.Fence)
	modelVersion := engine.Order{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		s.startLoad(e, modelVersion, now)
	case engine.OrderUnload:
		s.unload(e, modelVersion)
	case engine.OrderAdapter:
		i := e.find(o.Model, o.Version)
		if i < 0 {
			return fault.New(fault.NotFound, "not loaded")
		}
		if slices.Contains(e.models[i].Adapters, o.Adapter) {
			s.redundant++
			break
		}
		e.models[i].Adapters = append(slices.Clone(e.models[i].Adapters), o.Adapter)
	}
	if e.random.Float64() < s.replyLoss {
		s.lostReplies++
		return fault.New(fault.Timeout, "no answer")
	}
	return nil
}

// startLoad starts the load of a model version, given as an order with only these two
// fields, and checks the limit on concurrent loads.
func (s *simulation) startLoad(e *simEngine, modelVersion engine.Order, now time.Time) {
	if _, ok := e.loading[modelVersion]; ok || e.find(modelVersion.Model, modelVersion.Version) >= 0 {
		s.redundant++
		return
	}
	e.loading[modelVersion] = now.Add(s.loadTime + time.Duration(e.random.Float64()*float64(s.loadTime)/2))
	s.loadsStarted++
	inFlight, changing := 0, 0
	for _, other := range s.engines {
		s.advance(other, now)
		inFlight += len(other.loading)
		if len(other.models) > 0 && len(other.models)+len(other.loading) > 1 {
			changing++
		}
	}
	s.maxInFlight, s.maxChanging = max(s.maxInFlight, inFlight), max(s.maxChanging, changing)
	if inFlight > s.loadLimit {
		s.addViolation("loads: %d in flight, limit %d", inFlight, s.loadLimit)
	}
}

// unload removes a model version, also one that is still loading, and checks the
// minimum number of engines with the model.
func (s *simulation) unload(e *simEngine, modelVersion engine.Order) {
	cell := e.name[:1]
	before := s.countServing(cell, modelVersion.Model)
	modelsBefore := len(e.models)
	e.models = slices.DeleteFunc(e.models, func(m engine.Model) bool { return m.Name == modelVersion.Model && m.Version == modelVersion.Version })
	delete(e.loading, modelVersion)
	if len(e.models) == modelsBefore {
		s.redundant++
	}
	after := s.countServing(cell, modelVersion.Model)
	minEngines := s.configs[len(s.configs)-1].Models[modelVersion.Model].MinEngines
	since, isDesired := s.desiredSince[modelVersion.Model]
	if isDesired && time.Since(since) > maxConfigDelay && after < before && after < minEngines {
		s.addViolation("capacity: an order reduced %s of cell %s from %d to %d engines, minimum is %d", modelVersion.Model, cell, before, after, minEngines)
	}
}

// converged reports whether each engine has exactly the desired state.
func (s *simulation) converged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	desired := s.configs[len(s.configs)-1].Models
	for _, e := range s.engines {
		s.advance(e, time.Now())
		if len(e.models) != len(desired) || len(e.loading) > 0 {
			return false
		}
		for _, m := range e.models {
			if d, ok := desired[m.Name]; !ok || d.Version != m.Version || len(d.Adapters) != len(m.Adapters) {
				return false
			}
		}
	}
	return true
}

// waitConverged waits until the engines have the desired state and returns the time
// it took.
func (s *simulation) waitConverged(limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if s.converged() {
			return time.Since(start), true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return limit, false
}

// node runs reconcilers. While it is paused, each of its calls to the platform or
// to an engine blocks before and after its effect.
type node struct {
	name  string
	sim   *simulation
	store plat.Store
	// configDelay is the time after which the node sees a new configuration.
	configDelay time.Duration
	configure   func(*Options)

	mu sync.Mutex
	// resume is closed while the node is not paused.
	resume      chan struct{}
	reconcilers map[string]*runningReconciler
	groups      []*group.Group
}

type runningReconciler struct {
	*Reconciler
	group *group.Group
}

func newNode(name string, sim *simulation, store *netem.Store, configure func(*Options)) *node {
	n := &node{name: name, sim: sim, store: store.Client(nil), configure: configure, reconcilers: map[string]*runningReconciler{}, resume: make(chan struct{})}
	close(n.resume)
	return n
}

func (n *node) setPaused(paused bool) {
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

func (n *node) waitWhilePaused() {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	<-resume
}

// setOwner starts or stops the reconciler of a cell.
func (n *node) setOwner(cell string, owner bool, seed uint64) {
	if r, ok := n.reconcilers[cell]; ok != owner && ok {
		r.group.Stop()
		delete(n.reconcilers, cell)
	} else if !ok && owner {
		random := rand.New(rand.NewPCG(seed, uint64(cell[0])<<8|uint64(n.name[0])))
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		o := Options{
			Cell: cell, Node: n.name, Store: pausableStore{n.store, n}, Sender: n, Report: n.sim.report, Rand: random.Float64,
			Engines: func() []Engine { return n.sim.cellEngines(cell) }, LoadLimit: n.sim.loadLimit, Logger: logger,
			Desired: func() (Desired, bool) { return n.sim.configAfter(n.configDelay) },
		}
		if n.configure != nil {
			n.configure(&o)
		}
		r := &runningReconciler{Reconciler: New(o), group: group.New(context.Background())}
		r.group.Go("run", r.Run)
		n.reconcilers[cell] = r
		n.groups = append(n.groups, r.group)
	}
}

// close stops the reconcilers of a node that is not paused and waits for them.
func (n *node) close() {
	for _, g := range n.groups {
		g.Stop()
		if err := g.Wait(); err != nil {
			n.sim.addViolation("run: %v", err)
		}
	}
}

// deliveredOrders returns the number of orders that have reached engines so far.
func (s *simulation) deliveredOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

func (s *simulation) cellEngines(cell string) []Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var engines []Engine
	for name := range s.engines {
		if name[:1] == cell {
			engines = append(engines, Engine{Name: name, Address: name})
		}
	}
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

// Order implements Sender. Like an HTTP client, it sends nothing after the
// deadline.
func (n *node) Order(ctx context.Context, address string, o engine.Order) error {
	n.waitWhilePaused()
	if ctx.Err() != nil {
		return fault.Wrap(fault.Unreachable, ctx.Err(), "not sent")
	}
	time.Sleep(20 * time.Millisecond)
	if n.sim.extraDelay != nil {
		time.Sleep(n.sim.extraDelay(o))
	}
	err := n.sim.apply(address, o)
	n.waitWhilePaused()
	return err
}

// pausableStore blocks calls while the node is paused and records fencing numbers.
type pausableStore struct {
	plat.Store
	node *node
}

func (s pausableStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	s.node.waitWhilePaused()
	defer s.node.waitWhilePaused()
	entry, err := s.Store.Get(ctx, key)
	if cell, ok := strings.CutPrefix(key, cellKey("")); ok && err == nil {
		s.node.sim.recordFence(cell, entry.Value)
	}
	return entry, err
}

func (s pausableStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	s.node.waitWhilePaused()
	defer s.node.waitWhilePaused()
	revision, err := s.Store.Put(ctx, key, value, base)
	if cell, ok := strings.CutPrefix(key, cellKey("")); ok && err == nil {
		s.node.sim.recordFence(cell, value)
	}
	return revision, err
}

// recordFence records when a fencing number was first seen in a cell record. A write
// with a lost reply is not recorded, as it may have had no effect.
func (s *simulation) recordFence(cell string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored cellRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		s.addViolation("record: %v", err)
	}
	for n := stored.Fence; n > 0; n-- {
		if _, ok := s.acquiredAt[fenceKey{cell, n}]; ok {
			return
		}
		s.acquiredAt[fenceKey{cell, n}] = time.Now()
	}
}

func modelConfig(version string, minEngines int) map[string]confd.Model {
	return map[string]confd.Model{"m": {Version: version, MinEngines: minEngines}}
}
