package order

import (
	"maps"
	"slices"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/confd"
)

// step is an order that brings one engine nearer to the desired state.
type step struct {
	target *target
	order  engine.Order
}

// plan computes the steps for all engines of a cell. The steps depend only on the
// reports and the desired state, so two owners that see the same reports and
// desired state plan the same orders.
type plan struct {
	cell    string
	models  map[string]confd.Model
	stopped map[string]rolloutStop
	targets []*target
	// canReceive reports whether an engine may receive an order now.
	canReceive   func(*target) bool
	rolloutShare float64
	disabled     disabledMechanisms

	steps []step
	// assigned marks the engines that already have a step.
	assigned map[*target]bool
}

// build returns the steps, at most one for each engine. Unloads come first: they
// complete the version change of an engine, so that the next engines may start.
func (p *plan) build() []step {
	p.assigned = map[*target]bool{}
	names := slices.Sorted(maps.Keys(p.models))
	for _, name := range names {
		p.unloadOldVersions(name)
	}
	p.unloadRemovedModels()
	for _, name := range names {
		p.loadAdapters(name)
	}
	for _, name := range names {
		p.loadVersions(name)
	}
	return p.steps
}

func (p *plan) add(t *target, o engine.Order) {
	p.assigned[t] = true
	p.steps = append(p.steps, step{target: t, order: o})
}

// available reports whether a step may be added for an engine.
func (p *plan) available(t *target) bool { return t.fresh && !p.assigned[t] && p.canReceive(t) }

// unloadOldVersions unloads the versions of a model that are not desired. An engine
// without the desired version keeps one other, preferably the previous one, so that it
// never loses the model.
func (p *plan) unloadOldVersions(name string) {
	if _, stopped := p.stopped[name]; stopped {
		return
	}
	desired := p.models[name].Version
	previous := p.countVersions(name, desired).previous()
	for _, t := range p.targets {
		if !p.available(t) {
			continue
		}
		versions := t.versions(name)
		keep := desired
		if !slices.Contains(versions, desired) && len(versions) > 0 && !p.disabled.loadBeforeUnload {
			keep = versions[0]
			if slices.Contains(versions, previous) {
				keep = previous
			}
		}
		for _, version := range versions {
			if version == keep {
				continue
			}
			p.add(t, engine.Order{Kind: engine.OrderUnload, Model: name, Version: version})
			break
		}
	}
}

// unloadRemovedModels unloads the models that the service no longer has.
func (p *plan) unloadRemovedModels() {
	for _, t := range p.targets {
		if !p.available(t) {
			continue
		}
		for _, m := range t.report.Models {
			if _, wanted := p.models[m.Name]; wanted {
				continue
			}
			p.add(t, engine.Order{Kind: engine.OrderUnload, Model: m.Name, Version: m.Version})
			break
		}
	}
}

// loadAdapters orders missing adapters on engines with the desired version.
func (p *plan) loadAdapters(name string) {
	desired := p.models[name]
	for _, t := range p.targets {
		if !p.available(t) {
			continue
		}
		m, ok := t.find(name, desired.Version)
		if !ok {
			continue
		}
		for _, adapter := range desired.Adapters {
			if slices.Contains(m.Adapters, adapter) {
				continue
			}
			p.add(t, engine.Order{Kind: engine.OrderAdapter, Model: name, Version: desired.Version, Adapter: adapter})
			break
		}
	}
}

// versionCounts counts the engines by their version of one model. desired and others
// count only engines with a fresh report: desired those that have the desired version,
// others those that have each other version. changing counts the engines, also those
// without a fresh report, that are loading the model or have several versions of it.
type versionCounts struct {
	desired, changing int
	others            map[string]int
}

func (p *plan) countVersions(name, desired string) versionCounts {
	counts := versionCounts{others: map[string]int{}}
	for _, t := range p.targets {
		loading := t.pending != nil && t.pending.order.Kind == engine.OrderLoad && t.pending.order.Model == name
		versions := t.versions(name)
		if loading || len(versions) > 1 {
			counts.changing++
		}
		if !t.fresh {
			continue
		}
		for _, version := range versions {
			if version == desired {
				counts.desired++
			} else {
				counts.others[version]++
			}
		}
	}
	return counts
}

// previous returns the version, other than the desired one, that most engines
// have. It is taken for the version before the roll-out.
func (c versionCounts) previous() string {
	most := ""
	for _, version := range slices.Sorted(maps.Keys(c.others)) {
		if most == "" || c.others[version] > c.others[most] {
			most = version
		}
	}
	return most
}

// loadVersions orders loads of the desired version. While any engine has another
// version, this is a roll-out: only a limited share of the engines changes at the
// same time. Until a first engine has the new version, only one engine changes. After
// the roll-out was stopped no further engine changes, and engines without the model
// load the previous version.
func (p *plan) loadVersions(name string) {
	version := p.models[name].Version
	counts := p.countVersions(name, version)
	stop, stopped := p.stopped[name]
	if stopped {
		if version = counts.previous(); version == "" {
			version = stop.Previous
		}
		if version == "" {
			return
		}
	}
	budget := len(p.targets)
	if len(counts.others) > 0 && !stopped && !p.disabled.rolloutShare {
		budget = max(1, int(p.rolloutShare*float64(len(p.targets))))
		if counts.desired == 0 {
			budget = 1
		}
		budget -= counts.changing
	}
	// Engines without the model come first, as a failed load there costs no
	// capacity.
	candidates := slices.Clone(p.targets)
	slices.SortStableFunc(candidates, func(a, b *target) int {
		return min(1, len(a.versions(name))) - min(1, len(b.versions(name)))
	})
	for _, t := range candidates {
		if budget <= 0 {
			return
		}
		if !p.available(t) || len(t.versions(name)) > 0 && (stopped || slices.Contains(t.versions(name), version)) {
			continue
		}
		budget--
		p.add(t, engine.Order{Kind: engine.OrderLoad, Model: name, Version: version})
	}
}

// loadOf returns the load that a step concerns, as the key of its permit.
func (p *plan) loadOf(s step) modelLoad {
	return modelLoad{Cell: p.cell, Engine: s.target.Name, Model: s.order.Model, Version: s.order.Version}
}
