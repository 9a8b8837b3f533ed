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

// plan is a function of the reports and the desired state alone. Without a
// change of either, two owners plan the same orders.
type plan struct {
	cell    string
	models  map[string]confd.Model
	stopped map[string]stop
	targets []*target
	// usable says whether an engine may receive an order now.
	usable func(*target) bool
	share  float64
	off    without

	steps []step
	taken map[*target]bool
}

// build returns the steps, at most one for each engine. Unloads come first: they
// end transitions and so make room for the next engines.
func (p *plan) build() []step {
	p.taken = map[*target]bool{}
	names := slices.Sorted(maps.Keys(p.models))
	for _, name := range names {
		p.unloadOld(name)
	}
	p.unloadUnwanted()
	for _, name := range names {
		p.adapters(name)
	}
	for _, name := range names {
		p.loads(name)
	}
	return p.steps
}

func (p *plan) add(t *target, o engine.Order) {
	p.taken[t] = true
	p.steps = append(p.steps, step{target: t, order: o})
}

func (p *plan) free(t *target) bool { return t.fresh && !p.taken[t] && p.usable(t) }

// unloadOld removes the versions that are not desired. An engine keeps one
// version until it serves the desired one, so it never loses a model by it.
func (p *plan) unloadOld(name string) {
	if _, stopped := p.stopped[name]; stopped {
		return
	}
	want := p.models[name].Version
	previous := p.census(name, want).previous()
	for _, t := range p.targets {
		if !p.free(t) {
			continue
		}
		versions := t.versions(name)
		keep := want
		if !slices.Contains(versions, want) && len(versions) > 0 && !p.off.loadFirst {
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

// unloadUnwanted removes models that the service no longer has.
func (p *plan) unloadUnwanted() {
	for _, t := range p.targets {
		if !p.free(t) {
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

func (p *plan) adapters(name string) {
	want := p.models[name]
	for _, t := range p.targets {
		if !p.free(t) {
			continue
		}
		m, ok := t.find(name, want.Version)
		if !ok {
			continue
		}
		for _, adapter := range want.Adapters {
			if slices.Contains(m.Adapters, adapter) {
				continue
			}
			p.add(t, engine.Order{Kind: engine.OrderAdapter, Model: name, Version: want.Version, Adapter: adapter})
			break
		}
	}
}

// census counts the fresh engines by what they have of a model.
type census struct {
	wanted, changing int
	others           map[string]int
}

func (p *plan) census(name, want string) census {
	c := census{others: map[string]int{}}
	for _, t := range p.targets {
		loading := t.pending != nil && t.pending.order.Kind == engine.OrderLoad && t.pending.order.Model == name
		versions := t.versions(name)
		if loading || len(versions) > 1 {
			c.changing++
		}
		if !t.fresh {
			continue
		}
		for _, version := range versions {
			if version == want {
				c.wanted++
			} else {
				c.others[version]++
			}
		}
	}
	return c
}

// previous returns the version other than the desired one that most engines have.
func (c census) previous() string {
	best := ""
	for _, version := range slices.Sorted(maps.Keys(c.others)) {
		if best == "" || c.others[version] > c.others[best] {
			best = version
		}
	}
	return best
}

// loads orders the desired version. While engines with another version exist,
// this is a roll-out: a bounded share of the engines changes at a time, and one
// alone until one engine serves the new version. A roll-out that stopped adds no
// engine; engines without the model return to the previous version.
func (p *plan) loads(name string) {
	want := p.models[name].Version
	c := p.census(name, want)
	halt, stopped := p.stopped[name]
	if stopped {
		if want = c.previous(); want == "" {
			want = halt.Previous
		}
		if want == "" {
			return
		}
	}
	room := len(p.targets)
	if len(c.others) > 0 && !stopped && !p.off.share {
		room = max(1, int(p.share*float64(len(p.targets))))
		if c.wanted == 0 {
			room = 1
		}
		room -= c.changing
	}
	// Engines without the model come first: a failure costs no capacity there.
	order := slices.Clone(p.targets)
	slices.SortStableFunc(order, func(a, b *target) int {
		return min(1, len(a.versions(name))) - min(1, len(b.versions(name)))
	})
	for _, t := range order {
		if room <= 0 {
			return
		}
		if !p.free(t) || len(t.versions(name)) > 0 && (stopped || slices.Contains(t.versions(name), want)) {
			continue
		}
		room--
		p.add(t, engine.Order{Kind: engine.OrderLoad, Model: name, Version: want})
	}
}

// loadOf returns the permit that a load order needs.
func (p *plan) loadOf(s step) load {
	return load{Cell: p.cell, Engine: s.target.Name, Model: s.order.Model, Version: s.order.Version}
}
