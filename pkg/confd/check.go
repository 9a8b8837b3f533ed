package confd

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

// check reports values that the rules of Fields refuse, keys that are missing in
// or not allowed for the kind of a service, and entries that contradict each
// other or name an entry that does not exist.
func check(source *strict.Source, doc *Document) {
	c := &checker{Source: source, doc: doc}
	for _, key := range []string{"services", "organisations"} {
		if (key == "services" && doc.Services == nil || key == "organisations" && doc.Organisations == nil) && !source.HasProblem(key) {
			source.Report([]string{key}, nil, "an object; it may be empty")
		}
	}
	source.Check(doc, rules())
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		if !source.HasProblem("services", name) {
			c.checkService(name, doc.Services[name])
		}
	}
	c.checkOrganisations()
}

// checker checks what a rule for a single key cannot express.
type checker struct {
	*strict.Source
	doc *Document
}

// reportFirst reports a value unless its key already has a problem.
func (c *checker) reportFirst(value any, allowed string, path ...string) {
	if !c.HasProblem(path...) {
		c.Report(path, value, allowed)
	}
}

func (c *checker) checkService(name string, s Service) {
	keyPath := func(key ...string) []string { return append([]string{"services", name}, key...) }
	if s.TimeLimit > s.MaxTimeLimit && !c.HasProblem(keyPath("max_time_limit")...) {
		c.reportFirst(s.TimeLimit, "at most max_time_limit, "+strict.FormatDuration(s.MaxTimeLimit.Std()), keyPath("time_limit")...)
	}
	switch s.Kind {
	case KindEngine:
		c.checkEngineService(keyPath, s)
	case KindPlain:
		c.checkPlainService(keyPath, s)
	}
}

func (c *checker) checkEngineService(keyPath func(...string) []string, s Service) {
	if len(s.Models) == 0 {
		c.reportFirst(s.Models, "at least one model in an engine service", keyPath("models")...)
	}
	for i, model := range s.Models {
		if _, ok := c.doc.Models[model]; !ok && !c.HasProblem("models") {
			c.reportFirst(model, "a name in models", keyPath("models", strconv.Itoa(i))...)
		}
	}
	if s.Weights == (Weights{}) && !c.HasProblem(keyPath("weights", "time_to_first_token")...) && !c.HasProblem(keyPath("weights", "head_of_line_blocking")...) {
		c.reportFirst(s.Weights, "at least one weight above 0", keyPath("weights")...)
	}
	required := map[string]bool{
		"short_prompt_tokens": s.ShortPromptTokens == 0, "fencing": s.Fencing == "", "quarantine_time": s.QuarantineTime == 0,
	}
	for _, key := range slices.Sorted(maps.Keys(required)) {
		if required[key] {
			c.reportFirst(0, "a value other than zero in an engine service", keyPath(key)...)
		}
	}
	c.forbid(keyPath, map[string]bool{
		"routes": len(s.Routes) > 0, "idempotency_window": s.IdempotencyWindow != 0,
	}, "no such key in an engine service")
}

func (c *checker) checkPlainService(keyPath func(...string) []string, s Service) {
	c.forbid(keyPath, map[string]bool{
		"models": len(s.Models) > 0, "short_prompt_tokens": s.ShortPromptTokens != 0, "weights": s.Weights != Weights{},
		"fencing": s.Fencing != "", "quarantine_time": s.QuarantineTime != 0,
	}, "no such key in a plain service")
	if len(s.Routes) == 0 {
		c.reportFirst(s.Routes, "at least one route in a plain service", keyPath("routes")...)
	}
	c.checkRoutes(keyPath, s.Routes)
	nonIdempotent := slices.IndexFunc(s.Routes, func(r Route) bool { return !r.Idempotent })
	if nonIdempotent >= 0 && s.IdempotencyWindow == 0 {
		c.reportFirst(nil, fmt.Sprintf("a duration such as \"24h\", because routes.%d is not idempotent", nonIdempotent), keyPath("idempotency_window")...)
	}
}

// forbid reports each key for which present is true, as none of them is allowed.
func (c *checker) forbid(keyPath func(...string) []string, present map[string]bool, allowed string) {
	for _, key := range slices.Sorted(maps.Keys(present)) {
		if present[key] && !c.HasProblem(keyPath(key)...) {
			c.ReportText(keyPath(key), "the key", allowed)
		}
	}
}

// checkRoutes reports patterns that net/http.ServeMux refuses, either because they
// are malformed or because they conflict with an earlier route.
func (c *checker) checkRoutes(keyPath func(...string) []string, routes []Route) {
	if c.HasProblem(keyPath("routes")...) {
		return
	}
	var accepted []int
	mux := http.NewServeMux()
	for i, r := range routes {
		path := keyPath("routes", strconv.Itoa(i), "path")
		if c.HasProblem(path...) || c.HasProblem(keyPath("routes", strconv.Itoa(i), "method")...) || c.HasProblem(keyPath("routes", strconv.Itoa(i))...) {
			continue
		}
		if register(mux, r) {
			accepted = append(accepted, i)
			continue
		}
		if !register(http.NewServeMux(), r) {
			c.reportFirst(r.Path, "a path pattern of net/http.ServeMux, such as \"/bookings/{id}\"", path...)
			continue
		}
		other := slices.IndexFunc(accepted, func(j int) bool {
			pair := http.NewServeMux()
			return register(pair, routes[j]) && !register(pair, r)
		})
		if other >= 0 {
			c.reportFirst(r.Path, fmt.Sprintf("a pattern that does not conflict with routes.%d (%s %s)",
				accepted[other], routes[accepted[other]].Method, routes[accepted[other]].Path), path...)
		}
	}
}

// register adds a route to the mux and reports whether the mux accepted it.
// ServeMux reports a bad pattern only by a panic. The text of the panic is not
// used, because it holds paths of source files.
func register(mux *http.ServeMux, r Route) (ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	mux.Handle(r.Method+" "+r.Path, http.NotFoundHandler())
	return true
}

// checkOrganisations reports key hashes that are listed more than once and
// services that do not exist.
func (c *checker) checkOrganisations() {
	// byHash maps the hash of an API key to the first organisation that lists it.
	byHash := make(map[string]string, len(c.doc.Organisations))
	for _, name := range slices.Sorted(maps.Keys(c.doc.Organisations)) {
		o := c.doc.Organisations[name]
		for i, hash := range o.Keys {
			path := []string{"organisations", name, "keys", strconv.Itoa(i)}
			other, listed := byHash[hash]
			if !listed {
				byHash[hash] = name
				continue
			}
			if !c.HasProblem(path...) {
				c.ReportText(path, strict.Hidden, fmt.Sprintf("a key hash listed once; organisation %q lists it too", other))
			}
		}
		for i, service := range o.Services {
			if _, ok := c.doc.Services[service]; !ok && !c.HasProblem("services") {
				c.reportFirst(service, "a name in services", "organisations", name, "services", strconv.Itoa(i))
			}
		}
	}
}
