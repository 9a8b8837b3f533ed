package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/internal/config"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/internal/usage"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// runAdmin serves the operators' API and evaluates the alarms.
func (d *Daemon) runAdmin(listener net.Listener) {
	options := admin.Options{
		State: state{d}, Drainer: d, Quarantine: quarantine{d.poison}, Config: configuration{d.config},
		Alarms: d.alarms, Log: d.log, Insecure: d.settings.Insecure,
	}
	if !d.settings.Insecure {
		options.Load = func() (*x509.CertPool, tls.Certificate, error) { return d.settings.TLS.Load() }
	}
	server := admin.New(options)
	d.group.Go("operators", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	d.group.Go("alarms", guard.Loop(d.log, "alarms", d.alarms.Run))
}

// configuration adapts the configuration manager to the admin package.
type configuration struct{ manager *config.Manager }

// Current implements admin.Config.
func (c configuration) Current() (*confd.Document, uint64, error) {
	snapshot, err := c.manager.Require()
	if err != nil {
		return nil, 0, err
	}
	return snapshot.Document, snapshot.Manifest.Revision, nil
}

// Apply implements admin.Config.
func (c configuration) Apply(ctx context.Context, doc *confd.Document, base uint64, operator string) (uint64, error) {
	manifest, err := c.manager.Apply(ctx, base, confd.Split(doc), operator)
	return manifest.Revision, err
}

// Newest implements admin.Config.
func (c configuration) Newest(ctx context.Context) (*confd.Document, uint64, error) {
	manifests, err := c.manager.History(ctx)
	if err != nil {
		return nil, 0, err
	}
	doc, err := c.manager.DocumentAt(ctx, manifests[0].Revision)
	return doc, manifests[0].Revision, err
}

// History implements admin.Config.
func (c configuration) History(ctx context.Context) ([]admin.Revision, error) {
	manifests, err := c.manager.History(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]admin.Revision, 0, len(manifests))
	for _, m := range manifests {
		list = append(list, admin.Revision{Revision: m.Revision, Time: m.Time, Operator: m.Author})
	}
	return list, nil
}

// At implements admin.Config.
func (c configuration) At(ctx context.Context, revision uint64) (*confd.Document, error) {
	return c.manager.DocumentAt(ctx, revision)
}

// state implements admin.State from the parts of the daemon.
type state struct{ *Daemon }

// Nodes implements admin.State.
func (s state) Nodes() []admin.Node {
	snapshot := s.members.Snapshot()
	list := []admin.Node{nodeView(snapshot.Self, s.config.Revision())}
	for _, m := range snapshot.Members {
		if m.Name != snapshot.Self.Name {
			list = append(list, nodeView(m.Member, m.Revision))
		}
	}
	slices.SortFunc(list, func(a, b admin.Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func nodeView(m member.Member, revision uint64) admin.Node {
	return admin.Node{
		Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain,
		Region: m.Region, State: string(m.State), Incarnation: m.Incarnation, Revision: revision,
	}
}

// Cells implements admin.State. The load is known only for cells that this node
// schedules.
func (s state) Cells() []admin.Cell {
	snapshots := map[string]sched.Snapshot{}
	for _, snap := range s.cells.snapshots() {
		snapshots[snap.Cell] = snap
	}
	all := s.cells.all()
	list := make([]admin.Cell, 0, len(all))
	for _, cell := range all {
		view := admin.Cell{
			Name: cell.Name, Service: cell.Service, FailureDomain: cell.FailureDomain, Engines: len(cell.Engines),
		}
		if owner, err := s.cells.owner(cell.Name); err == nil {
			view.Owner = owner.Name
		}
		if snap, ok := snapshots[cell.Name]; ok {
			view.Known = true
			view.FreeTokens, view.QueuedTokens = snap.Digest.FreeTokens, snap.Digest.QueuedTokens
			view.Running = len(snap.Grants)
			for _, q := range snap.Queue {
				view.Waiting += q.Requests
			}
		}
		list = append(list, view)
	}
	return list
}

// Engines implements admin.State. Models and load are known only for engines
// that this node schedules.
func (s state) Engines() []admin.Engine {
	list := []admin.Engine{}
	engineSnapshots := map[string]sched.EngineSnapshot{}
	cellOf := map[string]string{}
	for _, snap := range s.cells.snapshots() {
		for _, e := range snap.Engines {
			engineSnapshots[e.Name] = e
		}
	}
	for _, cell := range s.cells.all() {
		for _, e := range cell.Engines {
			cellOf[e.Name] = cell.Name
		}
	}
	for _, h := range s.hosts.All() {
		if h.Role == plat.RoleEntry {
			continue
		}
		view := admin.Engine{
			Name: h.Name, Service: h.Service, Cell: cellOf[h.Name], Address: h.Address, State: string(h.State),
		}
		if snap, ok := engineSnapshots[h.Name]; ok {
			view.Known, view.Models = true, s.cells.models(view.Cell, h.Name)
			view.CapacityTokens, view.UsedTokens = snap.Capacity, snap.Held+snap.Unexplained
			view.GrantedTokens, view.Running = snap.Booked, snap.Grants
			view.ReportAge = admin.Duration(snap.ReportAge)
		}
		list = append(list, view)
	}
	return list
}

// Organisations implements admin.State. The counts cover the requests of this
// node and the queues of the cells that it schedules.
func (s state) Organisations() []admin.Organisation {
	views := map[string]*admin.Organisation{}
	if doc, _, err := s.document(); err == nil {
		for name, org := range doc.Organisations {
			u := s.entry.Usage(name)
			views[name] = &admin.Organisation{
				Name: name, Weight: org.Weight, Admitted: u.Admitted, Refused: u.Refused, Tokens: u.Tokens,
			}
		}
	}
	for _, r := range s.entry.Requests() {
		if v := views[r.Organisation]; v != nil {
			v.Running++
		}
	}
	for _, snap := range s.cells.snapshots() {
		for _, q := range snap.Queue {
			if v := views[q.Organisation]; v != nil {
				v.Waiting += q.Requests
			}
		}
	}
	list := make([]admin.Organisation, 0, len(views))
	for _, name := range slices.Sorted(maps.Keys(views)) {
		list = append(list, *views[name])
	}
	return list
}

// Requests implements admin.State.
func (s state) Requests() []admin.Request {
	requests := s.entry.Requests()
	list := make([]admin.Request, 0, len(requests))
	for _, r := range requests {
		list = append(list, admin.Request{
			ID: r.ID, Organisation: r.Organisation, Service: r.Service, Model: r.Model, State: r.Phase,
			Engine: r.Engine, PromptTokens: r.PromptTokens,
			Age: admin.Duration(r.Age), Remaining: admin.Duration(r.Remaining),
		})
	}
	slices.SortFunc(list, func(a, b admin.Request) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Health implements admin.State.
func (s state) Health() admin.Health {
	h := admin.Health{Node: s.settings.Name, Leaving: s.entry.Leaving(), Revision: s.config.Revision()}
	if _, _, err := s.document(); err != nil {
		h.Reasons = append(h.Reasons, fault.MessageOf(err))
	}
	if h.Leaving {
		h.Reasons = append(h.Reasons, "the host is leaving")
	}
	if s.hosts.Age() > time.Minute {
		h.Reasons = append(h.Reasons, "the platform's host list was not read for more than a minute")
	}
	h.Ready = s.config.Revision() > 0 && !h.Leaving
	return h
}

// Dump implements admin.State.
func (s state) Dump() map[string]any {
	read, written := s.peerClient.Traffic()
	used, err := usage.Read()
	if err != nil {
		s.log.WithError(err).WithField("event", "usage_unknown").Warn("the resource usage of the process is missing in the dump")
	}
	peerRead, peerWritten := s.peerServer.Traffic()
	return map[string]any{
		"node":      map[string]any{"name": s.settings.Name, "incarnation": s.incarnation, "started": s.started, "usage": used},
		"member":    s.members.Snapshot(),
		"config":    map[string]any{"revision": s.config.Revision(), "platform_calls": s.config.Calls()},
		"hosts":     s.hosts.All(),
		"cells":     s.Cells(),
		"sched":     s.cells.snapshots(),
		"order":     s.cells.orderSnapshots(),
		"requests":  s.entry.Requests(),
		"poison":    s.poison.List(),
		"alarms":    s.alarms.Active(),
		"in_flight": s.entry.InFlight(),
		"wire": map[string]any{
			"connections": s.peerClient.Connections(), "bytes_read": read + peerRead, "bytes_written": written + peerWritten,
		},
	}
}

// Metrics implements admin.State.
func (s state) Metrics() []admin.Metric {
	values := s.meter.Values()
	list := make([]admin.Metric, 0, len(values)+1)
	list = append(list, admin.Metric{Name: "verbenapier.panics_contained_total", Value: float64(guard.Panics())})
	for _, v := range values {
		list = append(list, admin.Metric{Name: v.Name, Tags: v.Tags, Value: v.Value})
	}
	return list
}
