package front

import (
	"crypto/rand"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/gorilla/mux"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// routeTableCache caches the route table of the current configuration document.
type routeTableCache struct {
	current atomic.Pointer[routeTable]
}

// routeTable holds the services and tenants of one document, indexed for the parsing of requests.
type routeTable struct {
	document *document.Document
	services map[fleet.ServiceName]*serviceRoutes
	tenants  map[string]bool
}

// serviceRoutes holds the declared routes of one service.
type serviceRoutes struct {
	service *document.Service
	// router matches paths without the service segment. It is nil if the service declares no routes.
	router *mux.Router
	// deliveries holds the delivery mode of each route in router.
	deliveries map[*mux.Route]document.Delivery
}

// forDocument returns the route table of a document. Concurrent calls may build the same table twice, which is harmless.
func (t *routeTableCache) forDocument(current *document.Document) *routeTable {
	if cached := t.current.Load(); cached != nil && cached.document == current {
		return cached
	}
	built := newRouteTable(current)
	t.current.Store(built)
	return built
}

func newRouteTable(current *document.Document) *routeTable {
	table := &routeTable{
		document: current, services: make(map[fleet.ServiceName]*serviceRoutes), tenants: make(map[string]bool),
	}
	if current == nil {
		return table
	}
	for i := range current.Services {
		table.services[current.Services[i].Name] = newServiceRoutes(&current.Services[i])
	}
	for _, tenant := range current.Tenants {
		table.tenants[string(tenant.Name)] = true
	}
	return table
}

func newServiceRoutes(service *document.Service) *serviceRoutes {
	routes := &serviceRoutes{service: service}
	if len(service.Routes) == 0 {
		return routes
	}
	routes.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	routes.deliveries = make(map[*mux.Route]document.Delivery)
	for _, declared := range service.Routes {
		route := routes.router.Path(declared.Path)
		if declared.Method != "*" {
			route = route.Methods(declared.Method)
		}
		routes.deliveries[route] = declared.Delivery
	}
	return routes
}

// tenantName returns the tenant that a caller supplied. All undeclared names map to the one empty tenant, so that a caller cannot
// gain additional shares by inventing names.
func (t *routeTable) tenantName(name string) fleet.TenantName {
	if t.tenants[name] {
		return fleet.TenantName(name)
	}
	return ""
}

// shardKey returns the shard key of a request, or an empty string if the request carries none.
func (s *serviceRoutes) shardKey(r *http.Request) string {
	switch source := s.service.Key.(type) {
	case document.KeyHeader:
		return r.Header.Get(source.Name)
	case document.KeyQuery:
		return r.URL.Query().Get(source.Name)
	case document.KeyPath:
		segments := strings.Split(r.URL.EscapedPath(), "/") // element 0 is empty, element 1 is the service
		if source.Segment+1 >= len(segments) {
			return ""
		}
		if key, err := url.PathUnescape(segments[source.Segment+1]); err == nil {
			return key
		}
	}
	return ""
}

// deliveryMode returns whether and how a request may be retried. Without a declared route, requests with a safe method (RFC
// 9110, section 9.2.1) are idempotent and all others are not.
func (s *serviceRoutes) deliveryMode(r *http.Request) document.Delivery {
	if s.router != nil {
		stripped := &http.Request{Method: r.Method, Header: r.Header, Host: r.Host, URL: &url.URL{}}
		stripped.URL.RawPath = targetBelowService(r.URL.EscapedPath(), "")
		if path, err := url.PathUnescape(stripped.URL.RawPath); err == nil {
			stripped.URL.Path = path
		}
		var match mux.RouteMatch
		if s.router.Match(stripped, &match) && match.Route != nil {
			return s.deliveries[match.Route]
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return document.Idempotent
	}
	return document.NonIdempotent
}

// targetBelowService returns the path without its service segment, followed by the query.
func targetBelowService(path, query string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if query != "" {
		return "/" + rest + "?" + query
	}
	return "/" + rest
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// requestIDOrNew returns the request identifier that the caller supplied if it is well formed, and otherwise a new one.
func requestIDOrNew(supplied string) fleet.RequestID {
	if requestIDPattern.MatchString(supplied) {
		return fleet.RequestID(supplied)
	}
	return fleet.RequestID(rand.Text())
}
