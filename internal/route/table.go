package route

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// Table answers the questions of requests from one version of the
// configuration. It does not change.
type Table struct {
	config *Config
	hosts  map[string][]*Route
	gaps   map[string]time.Duration
}

// NewTable returns the table of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{config: c, hosts: map[string][]*Route{}, gaps: map[string]time.Duration{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, s := range r.Shares {
			if gap, ok := t.gaps[s.Service]; r.GapGoal > 0 && (!ok || r.GapGoal < gap) {
				t.gaps[s.Service] = r.GapGoal
			}
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// MaxBodyBytes returns the largest body of a request.
func (t *Table) MaxBodyBytes() int64 { return t.config.MaxBodyBytes }

// Services returns the services by name.
func (t *Table) Services() map[string]Service { return t.config.Services }

// Match returns the route with the longest prefix of a path among those of a
// host. The host may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the organisation of a key. The second result is false
// for a key that belongs to none.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.config.Keys[key]
	return o, ok
}

// NeedsKey reports whether requests of a route need a key.
func (t *Table) NeedsKey(r *Route) bool { return t.config.Keys != nil && !r.Anonymous }

// TightestGap returns the shortest allowed pause between events among the
// routes of a service, or zero when they name none.
func (t *Table) TightestGap(service string) time.Duration { return t.gaps[service] }

// Pick returns a service of a route at random by weight, or an empty name when
// the route has none.
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
