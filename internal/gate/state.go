package gate

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// A registration that goes missing within lapseWindow after an outage of
	// the platform may have lapsed (its lease expired) in the outage. Its
	// upstream is then kept for lapseHold: registrations of live upstreams
	// return within two seconds.
	lapseWindow = time.Second
	lapseHold   = 2200 * time.Millisecond
	// maxCopyAge is the age up to which the copy of the platform's keys counts as up to date.
	maxCopyAge = 1800 * time.Millisecond
	// goneRetention is how long an upstream that left is remembered. The owner
	// of a cell may have an older copy of the keys and still grant such an
	// upstream; this node rejects the grant.
	goneRetention = time.Minute
	// lapseCheckInterval is how often lapsed registrations that are kept, and doubted
	// ones, are examined.
	lapseCheckInterval = 200 * time.Millisecond
	// A registration that a platform which came back from a copy holds of an upstream that
	// had left is doubted for doubtTime. By then the upstream has registered again that it
	// leaves, or its registration has lapsed for want of heartbeats.
	doubtTime = 4 * time.Second
)

// state is what the gateway derives from the platform's keys: the
// configuration, the upstreams, their cells and the pools that schedule them.
type state struct {
	name    string
	feed    *feed.Feed
	adapter Adapter
	crashes *crash.Registry
	notices *place.Notices
	members func() []member.Member
	log     logrus.FieldLogger
	group   *group.Group

	mu sync.Mutex
	// table is the configuration in force, and document its text.
	table    *route.Table
	document document
	// documentVersion is that of the last configuration document that was read, valid or
	// not.
	documentVersion feed.Version
	// upstreams holds the registrations by key, and services the valid ones by
	// service.
	upstreams map[string]*registration
	services  map[string][]place.Upstream
	// cellNames holds the names of the cells of each service, and cells the
	// engines of each cell.
	cellNames map[string][]string
	cells     map[string]cellEngines
	// gone holds, by id, the upstreams known to this node that left or announced that they
	// leave.
	gone  map[string]departure
	pools map[string]*place.Pool
	// gateways holds the peer addresses of the gateways that have announced themselves.
	gateways []string
	// refused holds the versions of the quarantines and gateways that cannot be read, by
	// key. Only refresh uses it.
	refused map[string]feed.Version
	// faulty holds the versions of the keys whose value could not be applied because
	// of an unexpected error.
	faulty map[string]feed.Version
}

// departure states that an upstream left or announced that it leaves.
type departure struct {
	at time.Time
	// started is the start time of its process.
	started time.Time
	// era is that of the platform's keys that show it.
	era uint64
	// lapsed is set if the upstream may run: its registration lapsed in an outage.
	lapsed bool
}

// cellEngines holds the engines of a cell.
type cellEngines struct {
	service string
	engines []place.Upstream
}

// registration is the registration of an upstream.
type registration struct {
	place.Upstream
	version feed.Version
	// lapsedAt is when the registration was first found missing after an outage, in
	// lapsedEra, or zero.
	lapsedAt  time.Time
	lapsedEra uint64
	// doubtedAt is when the registration was first doubted (see doubtTime), or zero.
	doubtedAt time.Time
	// invalid says that the registration could not be decoded or names no
	// usable upstream.
	invalid bool
}

// pending reports whether the registration may change with time, without a change of its
// key.
func (r *registration) pending() bool { return !r.lapsedAt.IsZero() || !r.doubtedAt.IsZero() }

func newState(name string, f *feed.Feed, a Adapter, crashes *crash.Registry, notices *place.Notices, members func() []member.Member, g *group.Group, log logrus.FieldLogger) *state {
	return &state{
		name: name, feed: f, adapter: a, crashes: crashes, notices: notices, members: members, log: log, group: g,
		upstreams: map[string]*registration{}, services: map[string][]place.Upstream{},
		gone: map[string]departure{}, pools: map[string]*place.Pool{}, refused: map[string]feed.Version{}, faulty: map[string]feed.Version{},
	}
}

// Run applies changes of the platform's keys until the context ends.
func (s *state) Run(ctx context.Context) error {
	ticker := time.NewTicker(lapseCheckInterval)
	defer ticker.Stop()
	var seen <-chan struct{}
	for {
		changed := s.feed.Changed()
		if changed != seen || s.hasPending() {
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

// hasPending reports whether a registration is pending.
func (s *state) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.upstreams {
		if r.pending() {
			return true
		}
	}
	return false
}

// refresh applies the current keys.
func (s *state) refresh(now time.Time) {
	live, version := s.feed.Snapshot()
	s.crashes.Sync(s.quarantines(live))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways = s.readGateways(live)
	changed := false
	for key, entry := range live {
		changed = s.apply(key, entry, now) || changed
	}
	maps.DeleteFunc(s.faulty, func(key string, _ feed.Version) bool { _, ok := live[key]; return !ok })
	changed = s.removeMissing(live, version.Era, now) || changed
	for id, d := range s.gone {
		if now.Sub(d.at) > goneRetention {
			delete(s.gone, id)
		}
	}
	if changed {
		s.regroup()
	}
}

// apply applies the value of a key and reports whether the upstreams have to be
// regrouped. A value that causes an unexpected error has no effect. The caller holds mu.
func (s *state) apply(key string, entry feed.Entry, now time.Time) (changed bool) {
	if s.faulty[key] == entry.Version {
		return false
	}
	err := guard.Do(context.Background(), s.log.WithField("key", key), "key", func(context.Context) error {
		changed = s.applyDocument(key, entry) || s.applyRegistration(key, entry, now)
		return nil
	})
	if err != nil {
		s.faulty[key] = entry.Version
	}
	return changed
}

// quarantines returns the quarantines on the platform.
func (s *state) quarantines(live map[string]feed.Entry) []crash.Quarantine {
	var list []crash.Quarantine
	for key, entry := range live {
		var q crash.Quarantine
		ok := false
		err := group.Call(context.Background(), func(context.Context) (err error) {
			q, ok, err = s.adapter.DecodeQuarantine(key, entry.Value)
			return err
		})
		switch {
		case err != nil && s.refused[key] != entry.Version:
			s.refused[key] = entry.Version
			s.log.WithError(err).WithFields(logrus.Fields{"event": "quarantine_unreadable", "key": key}).
				Warn("a quarantine on the platform cannot be read and has no effect")
		case err != nil:
		case ok:
			list = append(list, q)
		}
	}
	maps.DeleteFunc(s.refused, func(key string, _ feed.Version) bool { _, ok := live[key]; return !ok })
	return list
}

// applyRegistration records a new or changed registration and reports whether
// the upstreams have to be regrouped. The caller holds mu.
func (s *state) applyRegistration(key string, entry feed.Entry, now time.Time) bool {
	known := s.upstreams[key]
	if known != nil && known.version == entry.Version && !known.pending() {
		return false
	}
	u, ok, err := s.adapter.DecodeUpstream(key, entry.Value)
	if !ok {
		return false
	}
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "registration_refused", "key": key, "revision": entry.Version.Revision}).
			Warn("a registration could not be decoded or names no usable upstream")
		if known != nil && !known.invalid {
			s.depart(known.Upstream, entry.Version.Era, now)
		}
	}
	r := &registration{Upstream: u, version: entry.Version, invalid: err != nil}
	s.upstreams[key] = r
	s.applyDeparture(r, known, now)
	if err == nil && (known == nil || known.Upstream != r.Upstream || !known.lapsedAt.IsZero()) {
		s.log.WithFields(logrus.Fields{
			"event": "upstream", "upstream": u.ID, "service": u.Service, "address": u.Address, "leaving": r.Leaving,
			"revision": entry.Version.Revision, "doubted": !r.doubtedAt.IsZero(),
		}).Info("an upstream is registered")
		return true
	}
	return known == nil || known.invalid != (err != nil)
}

// applyDeparture records whether the upstream of a new registration leaves. If it left in an
// earlier era, and no successor of its process is registered, it counts as leaving while
// the registration is doubted. The caller holds mu.
func (s *state) applyDeparture(r, known *registration, now time.Time) {
	d, departed := s.gone[r.ID]
	if r.Leaving || !departed || d.lapsed || r.Started.After(d.started) || d.era >= r.version.Era {
		delete(s.gone, r.ID)
		if r.Leaving {
			s.depart(r.Upstream, r.version.Era, now)
		}
		return
	}
	r.doubtedAt = now
	if known != nil && !known.doubtedAt.IsZero() && known.version.Era == r.version.Era {
		r.doubtedAt = known.doubtedAt
	}
	if now.Sub(r.doubtedAt) >= doubtTime {
		r.doubtedAt = time.Time{}
		delete(s.gone, r.ID)
		return
	}
	r.Leaving = true
}

// depart records that an upstream left or leaves in an era. An earlier era stays if its
// process has left before. The caller holds mu.
func (s *state) depart(u place.Upstream, era uint64, now time.Time) {
	if d, ok := s.gone[u.ID]; ok && d.started.Equal(u.Started) {
		era = min(era, d.era)
	}
	s.gone[u.ID] = departure{at: now, started: u.Started, era: era}
}

// lapse records that an upstream which left may run. The caller holds mu.
func (s *state) lapse(id string) {
	d := s.gone[id]
	d.lapsed = true
	s.gone[id] = d
}

// removeMissing removes upstreams whose registration is missing, and reports
// whether there were any. An upstream whose registration may have lapsed in an
// outage of the platform is kept for lapseHold. The caller holds mu.
func (s *state) removeMissing(live map[string]feed.Entry, era uint64, now time.Time) bool {
	removed := false
	for key, r := range s.upstreams {
		if _, ok := live[key]; ok {
			continue
		}
		if (r.lapsedAt.IsZero() || r.lapsedEra < era) && !r.invalid && s.feed.SinceOutage() < lapseWindow {
			r.lapsedAt, r.lapsedEra = now, era
			s.log.WithFields(logrus.Fields{"event": "upstream_lapsed", "upstream": r.ID, "service": r.Service}).
				Warn("a registration lapsed in an outage of the platform; the upstream is kept for a time")
		}
		if !r.lapsedAt.IsZero() && now.Sub(r.lapsedAt) < lapseHold {
			continue
		}
		delete(s.upstreams, key)
		if r.invalid {
			continue
		}
		s.depart(r.Upstream, era, now)
		if !r.lapsedAt.IsZero() && !r.Leaving {
			s.lapse(r.ID)
		}
		s.log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": r.ID, "service": r.Service}).
			Info("an upstream is no longer registered")
		removed = true
	}
	return removed
}

// regroup groups the upstreams by service and cell, and updates the pools. The
// caller holds mu.
func (s *state) regroup() {
	s.services = map[string][]place.Upstream{}
	for _, r := range s.upstreams {
		if !r.invalid {
			s.services[r.Service] = append(s.services[r.Service], r.Upstream)
		}
	}
	s.cellNames, s.cells = map[string][]string{}, map[string]cellEngines{}
	for service, list := range s.services {
		slices.SortFunc(list, func(a, b place.Upstream) int { return strings.Compare(a.ID, b.ID) })
		for _, p := range cells.Partition(service, list, place.MaxEngines, func(u place.Upstream) string { return u.ID }) {
			s.cellNames[service] = append(s.cellNames[service], p.Name)
			s.cells[p.Name] = cellEngines{service, p.Items}
		}
	}
	for cell, pool := range s.pools {
		guard.Run(s.log.WithField("cell", cell), "cell", func() { s.updatePool(cell, pool) })
	}
}

// updatePool sets the engines of a pool to those of its cell. The caller holds mu.
func (s *state) updatePool(cell string, pool *place.Pool) {
	if s.table == nil {
		return
	}
	c, ok := s.cells[cell]
	if !ok {
		// The cell no longer exists because the number of cells changed.
		pool.Retire()
		return
	}
	if e := s.table.Services()[c.service].Engine; e != nil {
		pool.SetEngines(*e, s.table.MinGapGoal(c.service), c.engines)
	}
}

// Cells returns the cells of a service.
func (s *state) Cells(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cellNames[service]
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

// Registrations returns the upstreams of all services.
func (s *state) Registrations() []place.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []place.Upstream
	for _, upstreams := range s.services {
		list = append(list, upstreams...)
	}
	return list
}

// UpstreamID returns the id of the upstream that has the given address or id, or
// an empty string.
func (s *state) UpstreamID(addressOrID string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.upstreams {
		if r.Address == addressOrID || r.ID == addressOrID {
			return r.ID
		}
	}
	return ""
}

// Registered reports whether a process of an upstream is registered. It is false for a
// process without a start time, whose successor has the same name.
func (s *state) Registered(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.upstreams {
		if !r.invalid && r.lapsedAt.IsZero() && !r.Started.IsZero() && r.Process() == process {
			return true
		}
	}
	return false
}

// Current reports whether the registrations that this node knows are up to date.
func (s *state) Current() bool {
	return s.feed.Age() < maxCopyAge && s.feed.SinceOutage() >= lapseWindow
}

// UpstreamGone reports whether an upstream is leaving, or left within
// goneRetention.
func (s *state) UpstreamGone(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.gone[id]
	return ok
}

// Pool returns the pool of a cell on this node and starts it if necessary.
func (s *state) Pool(cell string) *place.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[cell]
	if pool == nil {
		pool = place.NewPool(place.PoolOptions{Owner: s.name, Cell: cell, Members: s.members, Random: newRandom(), Crashes: s.crashes.Tracker, Notices: s.notices, Log: s.log})
		s.pools[cell] = pool
		s.updatePool(cell, pool)
		log := s.log.WithField("cell", cell)
		s.group.Go("pool", guard.Loop(log, "pool", pool.Run))
		s.group.Go("inspection", guard.Loop(log, "inspection", func(ctx context.Context) error { return pool.Inspect(ctx, s.adapter.Load) }))
	}
	return pool
}
