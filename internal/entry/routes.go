package entry

import (
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/verbenapier/verbenapier/pkg/confd"
)

// routeIndex matches calls to plain services with their routes. It is rebuilt
// when the revision of the configuration changes.
type routeIndex struct {
	current atomic.Pointer[routeTable]
}

type routeTable struct {
	revision uint64
	services map[string]serviceRoutes
}

// serviceRoutes matches calls with the route patterns of a service. The
// configuration document follows the rules of precedence of http.ServeMux, so
// mux finds the pattern of a call. The handlers of mux are never called.
type serviceRoutes struct {
	mux       *http.ServeMux
	byPattern map[string]confd.Route
}

// match returns the route of a call, or false when there is none.
func (i *routeIndex) match(caller caller, service, method, path string) (confd.Route, bool) {
	table := i.current.Load()
	if table == nil || table.revision != caller.revision {
		table = newRouteTable(caller.document, caller.revision)
		i.current.Store(table)
	}
	target, err := url.Parse(path)
	if err != nil {
		return confd.Route{}, false
	}
	routes := table.services[service]
	_, pattern := routes.mux.Handler(&http.Request{Method: method, URL: target})
	route, ok := routes.byPattern[pattern]
	return route, ok
}

func newRouteTable(doc *confd.Document, revision uint64) *routeTable {
	table := &routeTable{revision: revision, services: map[string]serviceRoutes{}}
	for name, service := range doc.Services {
		if service.Kind != confd.KindPlain {
			continue
		}
		routes := serviceRoutes{http.NewServeMux(), make(map[string]confd.Route, len(service.Routes))}
		for _, r := range service.Routes {
			pattern := r.Method + " " + r.Path
			routes.byPattern[pattern] = r
			routes.mux.Handle(pattern, http.NotFoundHandler())
		}
		table.services[name] = routes
	}
	return table
}
