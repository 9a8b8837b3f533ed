package entry

import (
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
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

// routeHandler marks the matches of a route among those of a ServeMux.
type routeHandler struct{ http.Handler }

// match returns the route of a call. The error is NotFound if there is none, and
// Invalid if http.ServeMux would redirect to another path: an upstream may read the
// path either way.
func (i *routeIndex) match(caller caller, service, method, path string) (confd.Route, error) {
	table := i.current.Load()
	if table == nil || table.revision != caller.revision {
		table = newRouteTable(caller.document, caller.revision)
		i.current.Store(table)
	}
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		return confd.Route{}, fault.Wrap(fault.Invalid, err, "malformed path")
	}
	routes := table.services[service]
	handler, pattern := routes.mux.Handler(&http.Request{Method: method, URL: parsed})
	route, ok := routes.byPattern[pattern]
	if !ok {
		return confd.Route{}, fault.New(fault.NotFound, "service %q has no route for %s %s", service, method, path)
	}
	if _, ok := handler.(routeHandler); !ok {
		return confd.Route{}, fault.New(fault.Invalid, "the path %s is ambiguous", path)
	}
	return route, nil
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
			routes.mux.Handle(pattern, routeHandler{http.NotFoundHandler()})
		}
		table.services[name] = routes
	}
	return table
}
