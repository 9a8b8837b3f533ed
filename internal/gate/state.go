package gate

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// lapseWindow is how long after an outage of the platform a missing
	// registration may have lapsed in it, and lapseHold how long the upstream
	// is kept then: registrations of live upstreams are back within two
	// seconds.
	lapseWindow = time.Second
	lapseHold   = 2200 * time.Millisecond
	// goneMemory is how long an upstream that left is remembered. Grants of an
	// owner with an older copy are refused by it.
	goneMemory = time.Minute
	// stateTick is how often held registrations are examined.
	stateTick = 200 * time.Millisecond
)

// state is what the gateway derives from the platform's keys.
type state struct {
	name    string
	feed    *feed.Feed
	adapter Adapter
	log     logrus.FieldLogger
	group   *group.Group

	mu        sync.Mutex
	table     *route.Table
	document  uint64
	upstreams map[string]*registered
	services  map[string][]place.Upstream
	// cells are the cells of each service, and parts the engines of each cell.
	cells map[string][]string
	parts map[string]part
	// gone holds when the upstreams left that this node knew.
	gone  map[string]time.Time
	pools map[string]*place.Pool
}

// part is the engines of a cell.
type part struct {
	service string
	engines []place.Upstream
}

// registered is the registration of an upstream.
type registered struct {
	place.Upstream
	revision uint64
	// lapsed is when the registration vanished in an outage, or zero.
	lapsed time.Time
	// invalid registrations name no upstream to use.
	invalid bool
}

func newState(name string, f *feed.Feed, a Adapter, g *group.Group, log logrus.FieldLogger) *state {
	return &state{
		name: name, feed: f, adapter: a, log: log, group: g,
		upstreams: map[string]*registered{}, services: map[string][]place.Upstream{},
		gone: map[string]time.Time{}, pools: map[string]*place.Pool{},
	}
}

// Run follows the keys until the context ends.
func (s *state) Run(ctx context.Context) error {
	ticker := time.NewTicker(stateTick)
	defer ticker.Stop()
	var seen <-chan struct{}
	for {
		changed := s.feed.Changed()
		if changed != seen || s.holding() {
			seen = changed
			s.refresh(time.Now())
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// holding reports whether registrations that lapsed are kept for a time.
func (s *state) holding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.upstreams {
		if !r.lapsed.IsZero() {
			return true
		}
	}
	return false
}

// refresh takes over the present keys.
func (s *state) refresh(now time.Time) {
	live := s.feed.Live()
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for key, entry := range live {
		changed = s.takeDocument(key, entry) || s.takeUpstream(key, entry) || changed
	}
	changed = s.dropMissing(live, now) || changed
	for id, at := range s.gone {
		if now.Sub(at) > goneMemory {
			delete(s.gone, id)
		}
	}
	if changed {
		s.arrange()
	}
}

// takeDocument puts a newer configuration in force. The caller holds mu.
func (s *state) takeDocument(key string, entry feed.Entry) bool {
	if entry.Revision <= s.document {
		return false
	}
	c, ok, err := s.adapter.Document(key, entry.Value)
	if !ok {
		return false
	}
	s.document = entry.Revision
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "config_refused", "revision": entry.Revision}).
			Error("a configuration cannot be read; the one before stays in force")
		return false
	}
	if s.table != nil && c.Version <= s.table.Version() {
		return false
	}
	s.table = route.NewTable(c)
	s.log.WithFields(logrus.Fields{
		"event": "config_in_force", "config": c.Version, "revision": entry.Revision, "routes": len(c.Routes),
		"services": len(c.Services), "keys": len(c.Keys),
	}).Info("a configuration is in force")
	return true
}

// takeUpstream takes over a registration. The caller holds mu.
func (s *state) takeUpstream(key string, entry feed.Entry) bool {
	known := s.upstreams[key]
	if known != nil && known.revision == entry.Revision && known.lapsed.IsZero() {
		return false
	}
	u, ok, err := s.adapter.Upstream(key, entry.Value)
	if !ok {
		return false
	}
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "registration_refused", "key": key, "revision": entry.Revision}).
			Warn("a registration names no upstream to use")
	}
	s.upstreams[key] = &registered{Upstream: u, revision: entry.Revision, invalid: err != nil}
	delete(s.gone, u.ID)
	if u.Leaving {
		s.gone[u.ID] = time.Now()
	}
	if err == nil && (known == nil || known.Upstream != u || !known.lapsed.IsZero()) {
		s.log.WithFields(logrus.Fields{
			"event": "upstream", "upstream": u.ID, "service": u.Service, "address": u.Address, "leaving": u.Leaving,
			"revision": entry.Revision,
		}).Info("an upstream is registered")
		return true
	}
	return known == nil || known.invalid != (err != nil)
}

// dropMissing removes upstreams whose registration is gone. One that may have
// lapsed in an outage of the platform is kept until it must be back. The
// caller holds mu.
func (s *state) dropMissing(live map[string]feed.Entry, now time.Time) bool {
	dropped := false
	for key, r := range s.upstreams {
		if _, ok := live[key]; ok {
			continue
		}
		if r.lapsed.IsZero() && !r.invalid && s.feed.SinceOutage() < lapseWindow {
			r.lapsed = now
			s.log.WithFields(logrus.Fields{"event": "upstream_lapsed", "upstream": r.ID, "service": r.Service}).
				Warn("a registration lapsed in an outage of the platform; the upstream is kept for a time")
		}
		if !r.lapsed.IsZero() && now.Sub(r.lapsed) < lapseHold {
			continue
		}
		delete(s.upstreams, key)
		s.gone[r.ID] = now
		s.log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": r.ID, "service": r.Service}).
			Info("an upstream is no longer registered")
		dropped = true
	}
	return dropped
}

// arrange groups the upstreams by service and tells the pools. The caller
// holds mu.
func (s *state) arrange() {
	s.services = map[string][]place.Upstream{}
	for _, r := range s.upstreams {
		if !r.invalid {
			s.services[r.Service] = append(s.services[r.Service], r.Upstream)
		}
	}
	s.cells, s.parts = map[string][]string{}, map[string]part{}
	for service, list := range s.services {
		slices.SortFunc(list, func(a, b place.Upstream) int { return strings.Compare(a.ID, b.ID) })
		for _, p := range cells.Partition(service, list, place.MaxEngines, func(u place.Upstream) string { return u.ID }) {
			s.cells[service] = append(s.cells[service], p.Name)
			s.parts[p.Name] = part{service, p.Items}
		}
	}
	for cell, pool := range s.pools {
		s.setPool(cell, pool)
	}
}

func (s *state) setPool(cell string, pool *place.Pool) {
	if s.table == nil {
		return
	}
	p, ok := s.parts[cell]
	if !ok {
		// The number of cells has changed.
		pool.Retire()
		return
	}
	if e := s.table.Services()[p.service].Engine; e != nil {
		pool.Set(*e, s.table.TightestGap(p.service), p.engines)
	}
}

// Cells returns the cells of a service.
func (s *state) Cells(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cells[service]
}

// Table returns the configuration in force, or nil.
func (s *state) Table() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// Upstreams returns the upstreams of a service.
func (s *state) Upstreams(service string) []place.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[service]
}

// Upstream returns the id of the upstream at an address, or an empty one.
func (s *state) Upstream(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.upstreams {
		if r.Address == address || r.ID == address {
			return r.ID
		}
	}
	return ""
}

// Gone reports whether an upstream leaves, or left lately.
func (s *state) Gone(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.gone[id]
	return ok
}

// Pool returns this node's picture of a cell.
func (s *state) Pool(cell string) *place.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[cell]
	if pool == nil {
		pool = place.NewPool(s.name, cell, s.log)
		s.pools[cell] = pool
		s.setPool(cell, pool)
		s.group.Go("pool", pool.Run)
		s.group.Go("inspection", func(ctx context.Context) error { return pool.Inspect(ctx, s.adapter.Load) })
	}
	return pool
}
