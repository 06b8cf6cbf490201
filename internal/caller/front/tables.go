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

// tables keeps what was derived from the current document.
type routeTableCache struct {
	current atomic.Pointer[routeTable]
}

// table holds the routes of one document.
type routeTable struct {
	document *document.Document
	services map[fleet.ServiceName]*serviceRoutes
	tenants  map[string]bool
}

// entry holds the routes of one service.
type serviceRoutes struct {
	service *document.Service
	// router matches the paths below the service; it is nil if the service declares no routes.
	router     *mux.Router
	deliveries map[*mux.Route]document.Delivery
}

// of returns the table of a document. Two goroutines may build the same table at the same time without harm.
func (t *routeTableCache) forDocument(current *document.Document) *routeTable {
	if old := t.current.Load(); old != nil && old.document == current {
		return old
	}
	next := newRouteTable(current)
	t.current.Store(next)
	return next
}

func newRouteTable(current *document.Document) *routeTable {
	result := &routeTable{
		document: current, services: make(map[fleet.ServiceName]*serviceRoutes), tenants: make(map[string]bool),
	}
	if current == nil {
		return result
	}
	for i := range current.Services {
		result.services[current.Services[i].Name] = newServiceRoutes(&current.Services[i])
	}
	for _, tenant := range current.Tenants {
		result.tenants[string(tenant.Name)] = true
	}
	return result
}

func newServiceRoutes(service *document.Service) *serviceRoutes {
	result := &serviceRoutes{service: service}
	if len(service.Routes) == 0 {
		return result
	}
	result.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	result.deliveries = make(map[*mux.Route]document.Delivery)
	for _, declared := range service.Routes {
		route := result.router.Path(declared.Path)
		if declared.Method != "*" {
			route = route.Methods(declared.Method)
		}
		result.deliveries[route] = declared.Delivery
	}
	return result
}

// tenant returns the tenant that a caller names. Undeclared names are one tenant, so that a caller cannot gain shares by
// inventing names.
func (t *routeTable) tenantName(name string) fleet.TenantName {
	if t.tenants[name] {
		return fleet.TenantName(name)
	}
	return ""
}

// key returns the key of a request, or nothing.
func (e *serviceRoutes) shardKey(r *http.Request) string {
	switch source := e.service.Key.(type) {
	case document.KeyHeader:
		return r.Header.Get(source.Name)
	case document.KeyQuery:
		return r.URL.Query().Get(source.Name)
	case document.KeyPath:
		segments := strings.Split(r.URL.EscapedPath(), "/") // "", service, segment 1, segment 2
		if source.Segment+1 >= len(segments) {
			return ""
		}
		if key, err := url.PathUnescape(segments[source.Segment+1]); err == nil {
			return key
		}
	}
	return ""
}

// delivery returns how a request may be treated. Without a declared route, methods that change nothing (RFC 9110, section
// 9.2.1) may be repeated and all others not.
func (e *serviceRoutes) deliveryMode(r *http.Request) document.Delivery {
	if e.router != nil {
		inner := &http.Request{Method: r.Method, Header: r.Header, Host: r.Host, URL: &url.URL{}}
		inner.URL.RawPath = targetBelowService(r.URL.EscapedPath(), "")
		if path, err := url.PathUnescape(inner.URL.RawPath); err == nil {
			inner.URL.Path = path
		}
		var match mux.RouteMatch
		if e.router.Match(inner, &match) && match.Route != nil {
			return e.deliveries[match.Route]
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return document.Idempotent
	}
	return document.NonIdempotent
}

// below returns path and query below the service.
func targetBelowService(path, query string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if query != "" {
		return "/" + rest + "?" + query
	}
	return "/" + rest
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// requestID returns the id that the caller names, if it is well formed, or a new one.
func requestIDOrNew(named string) fleet.RequestID {
	if requestIDPattern.MatchString(named) {
		return fleet.RequestID(named)
	}
	return fleet.RequestID(rand.Text())
}
