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
	"github.com/verbenapier/verbenapier/internal/guard"
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

	// refreshInterval is the interval at which the cells and their owners are
	// recomputed. A change of the membership or of the host list triggers this
	// at once.
	refreshInterval = time.Second
)

// cellSet holds all cells, runs the schedulers of the cells that this node
// owns, and sends requests for the other cells to their owners. It implements
// entry.Cells.
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

	// mu guards the three maps below. byName and byService hold all cells,
	// owned holds the cells that this node owns, by cell name.
	mu        sync.Mutex
	byName    map[string]cells.Cell
	byService map[string][]cells.Cell
	owned     map[string]*ownedCell

	// running waits for the parts of the owned cells. Run sets it.
	running *group.Group

	// groupedVersion is the version of the host list that the cells were
	// computed from. Only refresh accesses it, so it needs no lock.
	groupedVersion uint64
}

// membership is the part of member.Table that the host list and the cells use.
type membership interface {
	Members() []member.Member
	Self() member.Member
	Changed() <-chan struct{}
}

// ownedCell is a cell that this node schedules.
type ownedCell struct {
	scheduler *sched.Scheduler
	// orders is the order reconciler, which sends the engines orders to load
	// and unload models.
	orders  *order.Reconciler
	reports *reports
	group   *group.Group
	// pollers holds the functions that stop the pollers, by engine name and
	// address.
	pollers map[string]context.CancelFunc
}

// register adds the handlers of the scheduler messages.
func (c *cellSet) register(mux *wire.Mux) {
	mux.Handle(methodAcquire, wire.Typed(func(ctx context.Context, _ string, req sched.Request) (sched.Grant, error) {
		return c.acquireLocal(ctx, req)
	}))
	mux.Handle(methodRenew, wire.Typed(func(_ context.Context, _ string, r sched.Renewal) (struct{}, error) {
		return struct{}{}, c.renewLocal(r)
	}))
	mux.Handle(methodRelease, wire.Typed(func(_ context.Context, _ string, r sched.Release) (struct{}, error) {
		return struct{}{}, c.releaseLocal(r)
	}))
}

// Run starts and stops schedulers as the ownership of cells changes. When the
// context ends it stops all of them, so that other nodes can take over the
// cells.
func (c *cellSet) Run(ctx context.Context) error {
	defer c.stopAll()
	// A cell whose scheduler can't go on stops the daemon.
	c.running = group.New(ctx)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		guard.Run(c.log, "cells", func() { c.refresh(ctx) })
		select {
		case <-c.running.Context().Done():
			c.stopAll()
			return c.running.Wait()
		case <-ticker.C:
		case <-c.members.Changed():
		case <-c.hosts.Changed():
		}
	}
}

// groupHosts recomputes the cells if the host list has changed since the last
// call.
func (c *cellSet) groupHosts() {
	// The version is read before the list. If the list changes in between, the
	// next call groups it once more than necessary; in the other order, a
	// change could be missed.
	version := c.hosts.Version()
	if version == c.groupedVersion {
		return
	}
	c.groupedVersion = version
	byService := map[string][]cells.Cell{}
	byName := map[string]cells.Cell{}
	for _, cell := range cells.Group(c.hosts.ByRole(plat.RoleEngine, ""), c.maxEngines) {
		byName[cell.Name] = cell
		byService[cell.Service] = append(byService[cell.Service], cell)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName, c.byService = byName, byService
}

// refresh recomputes the cells, starts the schedulers of cells that this node
// newly owns, and stops those of cells that it no longer owns. Without a
// configuration it stops all schedulers and starts none.
func (c *cellSet) refresh(ctx context.Context) {
	c.groupHosts()
	members := c.members.Members()
	doc, _, err := c.document()
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := c.byName
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		owner, ok := cells.Owner(byName[name], members)
		if ok && owner.Name == c.name && err == nil {
			guard.Run(c.log.WithField("cell", name), "cell", func() { c.updateCell(ctx, byName[name], doc) })
		} else if o := c.owned[name]; o != nil {
			c.stopCell(name, o)
		}
	}
	for name, o := range c.owned {
		if _, ok := byName[name]; !ok {
			c.stopCell(name, o)
		}
	}
}

// updateCell starts the scheduler of a cell that this node owns, unless it runs
// already, and sets the scheduler's engines, weights and capacity rules. It
// starts the pollers of new engines and stops those of engines that have left
// the cell or changed their address. c.mu must be held.
func (c *cellSet) updateCell(ctx context.Context, cell cells.Cell, doc *confd.Document) {
	o := c.owned[cell.Name]
	if o == nil {
		o = c.startCell(ctx, cell)
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
			c.startPoller(o, key, host)
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

// startCell starts the scheduler and the order reconciler of a cell. c.mu must
// be held.
func (c *cellSet) startCell(ctx context.Context, cell cells.Cell) *ownedCell {
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
	o.group.Go("orders", guard.Loop(log, "orders", o.orders.Run))
	c.running.Go("cell", func(context.Context) error { return o.group.Wait() })
	c.owned[cell.Name] = o
	log.WithField("event", "cell_gained").Info("this node schedules the cell")
	return o
}

// orderEngines returns the live engines of a cell. The order reconciler sends
// orders only to these.
func (c *cellSet) orderEngines(name string) []order.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []order.Engine
	for _, h := range c.byName[name].Engines {
		if h.State == plat.HostLive {
			list = append(list, order.Engine{Name: h.Name, Address: h.Address})
		}
	}
	return list
}

// startPoller starts the poller of an engine. c.mu must be held.
func (c *cellSet) startPoller(o *ownedCell, key string, host plat.Host) {
	p := &poller{engine: host, scheduler: o.scheduler, reports: o.reports, client: c.engines, log: c.log}
	ctx, cancel := context.WithCancel(o.group.Context())
	o.pollers[key] = cancel
	o.group.Go("poller", func(context.Context) error { return guard.Loop(c.log, "poller", p.run)(ctx) })
}

// stopCell signals the scheduler, the order reconciler and the pollers of a cell
// to stop, and does not wait for their end. c.mu must be held.
func (c *cellSet) stopCell(name string, o *ownedCell) {
	o.group.Stop()
	delete(c.owned, name)
	c.log.WithFields(logrus.Fields{"event": "cell_lost", "cell": name}).Info("this node no longer schedules the cell")
}

func (c *cellSet) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, o := range c.owned {
		c.stopCell(name, o)
	}
}

// Rank implements entry.Cells.
func (c *cellSet) Rank(service, key string) []string {
	c.mu.Lock()
	list := c.byService[service]
	c.mu.Unlock()
	ranked := cells.RankCells(key, list)
	names := make([]string, len(ranked))
	for i, cell := range ranked {
		names[i] = cell.Name
	}
	return names
}

// Known implements entry.Cells.
func (c *cellSet) Known() bool { return c.hosts.Version() > 0 }

// owner returns the node that schedules a cell.
func (c *cellSet) owner(name string) (member.Member, error) {
	c.mu.Lock()
	cell, ok := c.byName[name]
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

// send calls a method of the owner of a cell, or the local function if this
// node is the owner.
func (c *cellSet) send(ctx context.Context, cell, method string, params, result any, local func() error) error {
	owner, err := c.owner(cell)
	if err != nil {
		return err
	}
	if owner.Name == c.name {
		return local()
	}
	return c.caller.Call(ctx, owner.PeerAddress, method, params, result)
}

// Acquire implements entry.Cells.
func (c *cellSet) Acquire(ctx context.Context, req sched.Request) (grant sched.Grant, err error) {
	err = c.send(ctx, req.Cell, methodAcquire, req, &grant, func() error {
		grant, err = c.acquireLocal(ctx, req)
		return err
	})
	return grant, err
}

// Renew implements entry.Cells.
func (c *cellSet) Renew(ctx context.Context, r sched.Renewal) error {
	return c.send(ctx, r.Cell, methodRenew, r, nil, func() error { return c.renewLocal(r) })
}

// Release implements entry.Cells.
func (c *cellSet) Release(ctx context.Context, r sched.Release) error {
	return c.send(ctx, r.Cell, methodRelease, r, nil, func() error { return c.releaseLocal(r) })
}

func (c *cellSet) scheduler(cell string) (*sched.Scheduler, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.owned[cell]; o != nil {
		return o.scheduler, nil
	}
	return nil, fault.New(fault.NotOwner, "node %s does not schedule cell %s", c.name, cell)
}

func (c *cellSet) acquireLocal(ctx context.Context, req sched.Request) (sched.Grant, error) {
	s, err := c.scheduler(req.Cell)
	if err != nil {
		return sched.Grant{}, err
	}
	grant, err := s.Acquire(ctx, req)
	if err == nil && ctx.Err() != nil {
		// The request was cancelled while the scheduler granted it. The entry
		// node does not receive the grant and therefore cannot release it.
		s.Release(sched.Release{Cell: req.Cell, ID: grant.ID})
		return sched.Grant{}, fault.Wrap(fault.Canceled, ctx.Err(), "the request was cancelled")
	}
	return grant, err
}

func (c *cellSet) renewLocal(r sched.Renewal) error {
	s, err := c.scheduler(r.Cell)
	if err != nil {
		return err
	}
	unknown, err := s.Renew(r)
	if len(unknown) > 0 {
		c.log.WithFields(logrus.Fields{"event": "grants_unknown", "cell": r.Cell, "entry": r.Entry, "count": len(unknown)}).
			Debug("some grants were not renewed: they are unknown or have lost a member")
	}
	return err
}

func (c *cellSet) releaseLocal(r sched.Release) error {
	s, err := c.scheduler(r.Cell)
	if err != nil {
		return err
	}
	s.Release(r)
	return nil
}

// orderSnapshots returns the state of the order reconcilers that this node
// runs, by cell name.
func (c *cellSet) orderSnapshots() map[string]order.Snapshot {
	c.mu.Lock()
	owned := maps.Clone(c.owned)
	c.mu.Unlock()
	states := make(map[string]order.Snapshot, len(owned))
	for name, o := range owned {
		states[name] = o.orders.Snapshot()
	}
	return states
}

// snapshots returns the state of the schedulers that this node runs, sorted by
// cell name.
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
	list := make([]cells.Cell, 0, len(c.byName))
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		list = append(list, c.byName[name])
	}
	return list
}

// models returns the models in the last load report of an engine, as
// name@version, or nil if this node does not schedule the cell.
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
