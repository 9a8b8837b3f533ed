package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/order"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	methodAcquire = "sched.acquire"
	methodRenew   = "sched.renew"
	methodRelease = "sched.release"

	// refreshInterval is how often the cells and their owners are computed
	// anew. Changes of the membership and of the host list do it at once.
	refreshInterval = time.Second
)

// cellSet knows all cells, runs the schedulers of those that this node owns,
// and reaches the schedulers of the others. It implements entry.Cells.
type cellSet struct {
	name       string
	maxEngines int
	hosts      *hosts
	members    membership
	document   func() (*confd.Document, uint64, error)
	caller     wire.Caller
	store      plat.Store
	engines    *engine.Client
	log        logrus.FieldLogger
	metrics    tally.Scope

	mu     sync.Mutex
	cells  map[string]cells.Cell
	byName map[string][]cells.Cell
	owned  map[string]*ownedCell

	// grouped is the version of the host list that cells were computed from.
	// Only refresh uses it.
	grouped uint64
}

// membership is what the daemon needs of the membership table.
type membership interface {
	Members() []member.Member
	Self() member.Member
	Changed() <-chan struct{}
}

// ownedCell is a cell that this node schedules.
type ownedCell struct {
	scheduler *sched.Scheduler
	orders    *order.Reconciler
	reports   *reports
	group     *group.Group
	pollers   map[string]context.CancelFunc
}

// register adds the handlers of the scheduler messages.
func (c *cellSet) register(mux *wire.Mux) {
	mux.Handle(methodAcquire, wire.Typed(func(ctx context.Context, _ string, req sched.Request) (sched.Grant, error) {
		return c.acquireHere(ctx, req)
	}))
	mux.Handle(methodRenew, wire.Typed(func(_ context.Context, _ string, r sched.Renewal) (struct{}, error) {
		return struct{}{}, c.renewHere(r)
	}))
	mux.Handle(methodRelease, wire.Typed(func(_ context.Context, _ string, r sched.Release) (struct{}, error) {
		return struct{}{}, c.releaseHere(r)
	}))
}

// Run keeps the owned schedulers in step with the membership until the context
// ends, then hands the cells over.
func (c *cellSet) Run(ctx context.Context) error {
	defer c.stopAll()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.members.Changed():
		case <-c.hosts.Changed():
		}
	}
}

// group computes the cells anew when the host list has changed since.
func (c *cellSet) group() {
	// The version is read first: a list that changes in between is grouped
	// once more than needed, and never too rarely.
	version := c.hosts.Version()
	if version == c.grouped {
		return
	}
	c.grouped = version
	byName := map[string][]cells.Cell{}
	index := map[string]cells.Cell{}
	for _, cell := range cells.Group(c.hosts.With(plat.RoleEngine, ""), c.maxEngines) {
		index[cell.Name] = cell
		byName[cell.Service] = append(byName[cell.Service], cell)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cells, c.byName = index, byName
}

// refresh computes the cells, starts the schedulers of cells gained and stops
// those of cells lost.
func (c *cellSet) refresh(ctx context.Context) {
	c.group()
	members := c.members.Members()
	doc, _, err := c.document()
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.cells
	for _, name := range slices.Sorted(maps.Keys(index)) {
		owner, ok := cells.Owner(index[name], members)
		if ok && owner.Name == c.name && err == nil {
			c.update(ctx, index[name], doc)
		} else if o := c.owned[name]; o != nil {
			c.stop(name, o)
		}
	}
	for name, o := range c.owned {
		if _, ok := index[name]; !ok {
			c.stop(name, o)
		}
	}
}

// update starts the scheduler of an owned cell if needed, and gives it the
// engines and rules in force. It runs with the lock held.
func (c *cellSet) update(ctx context.Context, cell cells.Cell, doc *confd.Document) {
	o := c.owned[cell.Name]
	if o == nil {
		o = c.start(ctx, cell)
	}
	service := doc.Services[cell.Service]
	o.scheduler.SetWeights(sched.Weights{
		TimeToFirstToken:   service.Weights.TimeToFirstToken,
		HeadOfLineBlocking: service.Weights.HeadOfLineBlocking,
	})
	o.scheduler.SetCapacityRules(sched.CapacityRules{ShortPromptTokens: service.ShortPromptTokens})
	infos := make([]sched.EngineInfo, 0, len(cell.Engines))
	current := map[string]bool{}
	for _, host := range cell.Engines {
		infos = append(infos, sched.EngineInfo{Name: host.Name, Address: host.Address, Leaving: host.State == plat.HostLeaving})
		key := host.Name + "@" + host.Address
		current[key] = true
		if o.pollers[key] == nil {
			c.poll(o, key, host)
		}
	}
	o.scheduler.SetEngines(infos)
	for key, cancel := range o.pollers {
		if !current[key] {
			cancel()
			delete(o.pollers, key)
		}
	}
}

func (c *cellSet) start(ctx context.Context, cell cells.Cell) *ownedCell {
	log := c.log.WithField("cell", cell.Name)
	o := &ownedCell{
		scheduler: sched.New(sched.Options{
			Cell: cell.Name, Owner: c.name, Engines: c.engines, Log: log,
			Metrics: c.metrics.Tagged(map[string]string{"cell": cell.Name}),
		}),
		reports: &reports{},
		group:   group.New(ctx),
		pollers: map[string]context.CancelFunc{},
	}
	o.orders = order.New(order.Options{
		Cell: cell.Name, Node: c.name, Store: c.store, Sender: c.engines,
		Engines: func() []order.Engine { return c.orderEngines(cell.Name) }, Report: o.reports.last,
		Desired: func() (order.Desired, bool) {
			doc, revision, err := c.document()
			if err != nil {
				return order.Desired{}, false
			}
			return order.DesiredOf(doc, revision, cell.Service)
		},
		Logger: log, Scope: c.metrics.SubScope("order"),
	})
	o.group.Go("scheduler", o.scheduler.Run)
	o.group.Go("orders", o.orders.Run)
	c.owned[cell.Name] = o
	log.WithField("event", "cell_gained").Info("this node schedules the cell")
	return o
}

// orderEngines returns the engines of a cell that models are kept loaded on.
func (c *cellSet) orderEngines(name string) []order.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []order.Engine
	for _, h := range c.cells[name].Engines {
		if h.State == plat.HostLive {
			list = append(list, order.Engine{Name: h.Name, Address: h.Address})
		}
	}
	return list
}

func (c *cellSet) poll(o *ownedCell, key string, host plat.Host) {
	p := &poller{engine: host, scheduler: o.scheduler, reports: o.reports, client: c.engines, log: c.log}
	ctx, cancel := context.WithCancel(o.group.Context())
	o.pollers[key] = cancel
	o.group.Go("poller", func(context.Context) error { return p.run(ctx) })
}

func (c *cellSet) stop(name string, o *ownedCell) {
	o.group.Stop()
	delete(c.owned, name)
	c.log.WithFields(logrus.Fields{"event": "cell_lost", "cell": name}).Info("this node no longer schedules the cell")
}

func (c *cellSet) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, o := range c.owned {
		c.stop(name, o)
	}
}

// Rank implements entry.Cells.
func (c *cellSet) Rank(service, key string) []string {
	c.mu.Lock()
	list := c.byName[service]
	c.mu.Unlock()
	ranked := cells.Rank(key, list)
	names := make([]string, len(ranked))
	for i, cell := range ranked {
		names[i] = cell.Name
	}
	return names
}

// owner returns the node that schedules a cell.
func (c *cellSet) owner(name string) (member.Member, error) {
	c.mu.Lock()
	cell, ok := c.cells[name]
	c.mu.Unlock()
	if !ok {
		return member.Member{}, fault.New(fault.NotOwner, "there is no cell %s", name)
	}
	owner, ok := cells.Owner(cell, c.members.Members())
	if !ok {
		return member.Member{}, fault.New(fault.Unreachable, "no node can schedule cell %s", name)
	}
	return owner, nil
}

// send calls the owner of a cell, or this node's own handler.
func (c *cellSet) send(ctx context.Context, cell, method string, params, result any, here func() error) error {
	owner, err := c.owner(cell)
	if err != nil {
		return err
	}
	if owner.Name == c.name {
		return here()
	}
	return c.caller.Call(ctx, owner.PeerAddress, method, params, result)
}

// Acquire implements entry.Cells.
func (c *cellSet) Acquire(ctx context.Context, req sched.Request) (grant sched.Grant, err error) {
	err = c.send(ctx, req.Cell, methodAcquire, req, &grant, func() error {
		grant, err = c.acquireHere(ctx, req)
		return err
	})
	return grant, err
}

// Renew implements entry.Cells.
func (c *cellSet) Renew(ctx context.Context, r sched.Renewal) error {
	return c.send(ctx, r.Cell, methodRenew, r, nil, func() error { return c.renewHere(r) })
}

// Release implements entry.Cells.
func (c *cellSet) Release(ctx context.Context, r sched.Release) error {
	return c.send(ctx, r.Cell, methodRelease, r, nil, func() error { return c.releaseHere(r) })
}

func (c *cellSet) scheduler(cell string) (*sched.Scheduler, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.owned[cell]; o != nil {
		return o.scheduler, nil
	}
	return nil, fault.New(fault.NotOwner, "node %s does not schedule cell %s", c.name, cell)
}

func (c *cellSet) acquireHere(ctx context.Context, req sched.Request) (sched.Grant, error) {
	s, err := c.scheduler(req.Cell)
	if err != nil {
		return sched.Grant{}, err
	}
	grant, err := s.Acquire(ctx, req)
	if err == nil && ctx.Err() != nil {
		// The entry node gave up at the moment of the grant.
		s.Release(sched.Release{Cell: req.Cell, ID: grant.ID})
		return sched.Grant{}, fault.Wrap(fault.Canceled, ctx.Err(), "the request was given up")
	}
	return grant, err
}

func (c *cellSet) renewHere(r sched.Renewal) error {
	s, err := c.scheduler(r.Cell)
	if err != nil {
		return err
	}
	unknown, err := s.Renew(r)
	if len(unknown) > 0 {
		c.log.WithFields(logrus.Fields{"event": "grants_unknown", "cell": r.Cell, "entry": r.Entry, "count": len(unknown)}).
			Debug("some renewed grants are not in the books")
	}
	return err
}

func (c *cellSet) releaseHere(r sched.Release) error {
	s, err := c.scheduler(r.Cell)
	if err != nil {
		return err
	}
	s.Release(r)
	return nil
}

// orderSnapshots returns the state of the reconcilers that this node runs.
func (c *cellSet) orderSnapshots() map[string]order.Snapshot {
	c.mu.Lock()
	owned := maps.Clone(c.owned)
	c.mu.Unlock()
	list := make(map[string]order.Snapshot, len(owned))
	for name, o := range owned {
		list[name] = o.orders.Snapshot()
	}
	return list
}

// snapshots returns the state of the schedulers that this node runs.
func (c *cellSet) snapshots() []sched.Snapshot {
	c.mu.Lock()
	owned := maps.Clone(c.owned)
	c.mu.Unlock()
	list := make([]sched.Snapshot, 0, len(owned))
	for _, name := range slices.Sorted(maps.Keys(owned)) {
		list = append(list, owned[name].scheduler.Snapshot())
	}
	return list
}

// all returns the cells, sorted by name.
func (c *cellSet) all() []cells.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]cells.Cell, 0, len(c.cells))
	for _, name := range slices.Sorted(maps.Keys(c.cells)) {
		list = append(list, c.cells[name])
	}
	return list
}

// models returns the models in the last report of an engine, as name@version.
func (c *cellSet) models(cell, engine string) []string {
	c.mu.Lock()
	o := c.owned[cell]
	c.mu.Unlock()
	if o == nil {
		return nil
	}
	report, _, _ := o.reports.last(engine)
	names := make([]string, 0, len(report.Models))
	for _, m := range report.Models {
		names = append(names, m.Name+"@"+m.Version)
	}
	return names
}
