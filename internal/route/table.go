package route

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// Table looks up routes, organisations and services in one version of the
// configuration. It is immutable.
type Table struct {
	config *Config
	// routes holds the routes by host name, those with the longest prefix first.
	routes map[string][]*Route
	// minGapGoals holds the result of MinGapGoal by service.
	minGapGoals map[string]time.Duration
}

// NewTable returns the table of a configuration, which must not change later.
func NewTable(c *Config) *Table {
	t := &Table{config: c, routes: map[string][]*Route{}, minGapGoals: map[string]time.Duration{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
		for _, s := range r.Shares {
			if gap, ok := t.minGapGoals[s.Service]; r.GapGoal > 0 && (!ok || r.GapGoal < gap) {
				t.minGapGoals[s.Service] = r.GapGoal
			}
		}
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// MaxBodyBytes returns the maximum size of a request's body.
func (t *Table) MaxBodyBytes() int64 { return t.config.MaxBodyBytes }

// Services returns the services by name.
func (t *Table) Services() map[string]Service { return t.config.Services }

// Match returns the route of a host with the longest prefix that matches a path, which
// is escaped as the caller sent it. The host may include a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the organisation of an API key. The second result is false
// if the key is unknown.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.config.Keys[key]
	return o, ok
}

// NeedsKey reports whether requests of a route need an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.config.Keys != nil && !r.Anonymous }

// MinGapGoal returns the shortest GapGoal among the routes of a service, or zero
// if none of them sets one.
func (t *Table) MinGapGoal(service string) time.Duration { return t.minGapGoals[service] }

// Pick returns a random service of a route, chosen by weight, or an empty name if
// the route has no service with a positive weight.
func (r *Route) Pick(random *rand.Rand) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := random.IntN(total)
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}
