package confd

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

// check reports what the rules and the references between entries refuse.
func check(source *strict.Source, doc *Document) {
	c := &checker{Source: source, doc: doc}
	for _, key := range []string{"services", "organisations"} {
		if (key == "services" && doc.Services == nil || key == "organisations" && doc.Organisations == nil) && !source.Bad(key) {
			source.Report([]string{key}, nil, "an object; it may be empty")
		}
	}
	source.Check(doc, rules())
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		if !source.Bad("services", name) {
			c.service(name, doc.Services[name])
		}
	}
	c.organisations()
}

type checker struct {
	*strict.Source
	doc *Document
}

// refuse reports a value unless its key has a problem already.
func (c *checker) refuse(value any, allowed string, path ...string) {
	if !c.Bad(path...) {
		c.Report(path, value, allowed)
	}
}

func (c *checker) service(name string, s Service) {
	at := func(key ...string) []string { return append([]string{"services", name}, key...) }
	if s.TimeLimit > s.MaxTimeLimit && !c.Bad(at("max_time_limit")...) {
		c.refuse(s.TimeLimit, "at most max_time_limit, "+strict.Short(s.MaxTimeLimit.Std()), at("time_limit")...)
	}
	switch s.Kind {
	case KindEngine:
		c.engineService(at, s)
	case KindPlain:
		c.plainService(at, s)
	}
}

func (c *checker) engineService(at func(...string) []string, s Service) {
	if len(s.Models) == 0 {
		c.refuse(s.Models, "at least one model in an engine service", at("models")...)
	}
	for i, model := range s.Models {
		if _, ok := c.doc.Models[model]; !ok && !c.Bad("models") {
			c.refuse(model, "a name in models", at("models", strconv.Itoa(i))...)
		}
	}
	if s.Weights == (Weights{}) && !c.Bad(at("weights", "time_to_first_token")...) && !c.Bad(at("weights", "head_of_line_blocking")...) {
		c.refuse(s.Weights, "at least one weight above 0", at("weights")...)
	}
	required := map[string]bool{
		"short_prompt_tokens": s.ShortPromptTokens == 0, "fencing": s.Fencing == "", "quarantine_time": s.QuarantineTime == 0,
	}
	for _, key := range slices.Sorted(maps.Keys(required)) {
		if required[key] {
			c.refuse(0, "a value other than zero in an engine service", at(key)...)
		}
	}
	c.absent(at, map[string]bool{
		"routes": len(s.Routes) > 0, "idempotency_window": s.IdempotencyWindow != 0,
	}, "no such key in an engine service")
}

func (c *checker) plainService(at func(...string) []string, s Service) {
	c.absent(at, map[string]bool{
		"models": len(s.Models) > 0, "short_prompt_tokens": s.ShortPromptTokens != 0, "weights": s.Weights != Weights{},
		"fencing": s.Fencing != "", "quarantine_time": s.QuarantineTime != 0,
	}, "no such key in a plain service")
	if len(s.Routes) == 0 {
		c.refuse(s.Routes, "at least one route in a plain service", at("routes")...)
	}
	c.routes(at, s.Routes)
	changing := slices.IndexFunc(s.Routes, func(r Route) bool { return !r.Idempotent })
	if changing >= 0 && s.IdempotencyWindow == 0 {
		c.refuse(nil, fmt.Sprintf("a duration such as \"24h\", because routes.%d is not idempotent", changing), at("idempotency_window")...)
	}
}

func (c *checker) absent(at func(...string) []string, present map[string]bool, allowed string) {
	for _, key := range slices.Sorted(maps.Keys(present)) {
		if present[key] && !c.Bad(at(key)...) {
			c.ReportText(at(key), "the key", allowed)
		}
	}
}

// routes reports patterns that net/http.ServeMux refuses or that conflict.
func (c *checker) routes(at func(...string) []string, routes []Route) {
	if c.Bad(at("routes")...) {
		return
	}
	var good []int
	mux := http.NewServeMux()
	for i, r := range routes {
		path := at("routes", strconv.Itoa(i), "path")
		if c.Bad(path...) || c.Bad(at("routes", strconv.Itoa(i), "method")...) || c.Bad(at("routes", strconv.Itoa(i))...) {
			continue
		}
		if accepts(mux, r) {
			good = append(good, i)
			continue
		}
		if !accepts(http.NewServeMux(), r) {
			c.refuse(r.Path, "a path pattern of net/http.ServeMux, such as \"/bookings/{id}\"", path...)
			continue
		}
		other := slices.IndexFunc(good, func(j int) bool {
			pair := http.NewServeMux()
			return accepts(pair, routes[j]) && !accepts(pair, r)
		})
		if other >= 0 {
			c.refuse(r.Path, fmt.Sprintf("a pattern that does not conflict with routes.%d (%s %s)",
				good[other], routes[good[other]].Method, routes[good[other]].Path), path...)
		}
	}
}

// accepts registers a route and reports whether the mux took it. ServeMux
// reports a bad pattern only by a panic, whose text holds source paths.
func accepts(mux *http.ServeMux, r Route) (ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	mux.Handle(r.Method+" "+r.Path, http.NotFoundHandler())
	return true
}

func (c *checker) organisations() {
	owners := make(map[string]string, len(c.doc.Organisations))
	for _, name := range slices.Sorted(maps.Keys(c.doc.Organisations)) {
		o := c.doc.Organisations[name]
		for i, hash := range o.Keys {
			path := []string{"organisations", name, "keys", strconv.Itoa(i)}
			owner, taken := owners[hash]
			if !taken {
				owners[hash] = name
				continue
			}
			if !c.Bad(path...) {
				c.ReportText(path, strict.Hidden, fmt.Sprintf("a key hash listed once; organisation %q lists it too", owner))
			}
		}
		for i, service := range o.Services {
			if _, ok := c.doc.Services[service]; !ok && !c.Bad("services") {
				c.refuse(service, "a name in services", "organisations", name, "services", strconv.Itoa(i))
			}
		}
	}
}
