package daemon

import (
	"context"

	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// buildWitnesses creates what finds out, with other nodes, whether engines died.
func (d *Daemon) buildWitnesses() entry.Witnesses {
	w := place.NewWitnesses(place.WitnessesOptions{
		Members: d.members, Caller: d.peerClient, Upstreams: d.listEngines, Check: d.checkEngine, Notices: place.NewNotices(newRandom(), d.log),
		Group: d.group, Random: newRandom(), Log: d.log,
	})
	w.Register(d.mux)
	return witnesses{w}
}

// witnesses adapts place.Witnesses to entry.Witnesses. Engines do not state when they
// started, so one that has restarted and answers counts as running.
type witnesses struct{ nodes *place.Witnesses }

// Ended implements entry.Witnesses.
func (w witnesses) Ended(ctx context.Context, engine, address string) bool {
	return w.nodes.Ended(ctx, place.Upstream{ID: engine, Address: address})
}

// listEngines returns the engines on the host list.
func (d *Daemon) listEngines() []place.Upstream {
	var list []place.Upstream
	for _, host := range d.hosts.ByRole(plat.RoleEngine, "") {
		list = append(list, place.Upstream{ID: host.Name, Service: host.Service, Address: host.Address, Domain: host.FailureDomain})
	}
	return list
}

// checkEngine returns an error if an engine does not answer. A failure is an answer.
func (d *Daemon) checkEngine(ctx context.Context, u place.Upstream) error {
	_, err := d.cells.engines.Load(ctx, u.Address)
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.Timeout, fault.Canceled, fault.UpstreamLost:
		return err
	}
	return nil
}
