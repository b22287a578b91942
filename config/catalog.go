package config

import "strings"

// Catalog indexes a checked document: entries by name, routes by host and path, tenants by key. It is immutable, and
// safe for concurrent use.
type Catalog struct {
	// Spec is the indexed document.
	Spec *Spec
	// Routes, Backends and Zones hold the document's entries by name.
	Routes   map[string]*Route
	Backends map[string]*Backend
	Zones    map[string]*Zone
	// hosts holds the routes that have a path prefix, by host.
	hosts map[string]*hostRoutes
	// splits holds the backends of each route, by the route's name.
	splits map[string]*backendSplit
	keys   keyring
}

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	routes map[string]*Route
	// longest is the length in bytes of the longest prefix.
	longest int
}

// backendSplit distributes the requests of one route over its backends by weight.
type backendSplit struct {
	backends []*Backend
	// cumulative holds, for each backend, the sum of the weights up to and including its own.
	cumulative []int
	// distinct holds the same backends without duplicates.
	distinct []*Backend
}

// NewCatalog indexes a document that has passed Spec.Check.
func NewCatalog(spec *Spec) *Catalog {
	catalog := &Catalog{
		Spec:     spec,
		Routes:   make(map[string]*Route, len(spec.Routes)),
		Backends: make(map[string]*Backend, len(spec.Backends)),
		Zones:    map[string]*Zone{},
		hosts:    map[string]*hostRoutes{},
		splits:   make(map[string]*backendSplit, len(spec.Routes)),
		keys:     newKeyring(spec),
	}
	for i := range spec.Zones {
		catalog.Zones[spec.Zones[i].Name] = &spec.Zones[i]
	}
	for i := range spec.Backends {
		catalog.Backends[spec.Backends[i].Name] = &spec.Backends[i]
	}
	for i := range spec.Routes {
		catalog.addRoute(&spec.Routes[i])
	}
	return catalog
}

// addRoute indexes a route. The backends must have been indexed before.
func (catalog *Catalog) addRoute(route *Route) {
	catalog.Routes[route.Name] = route
	catalog.splits[route.Name] = catalog.newSplit(route)
	if route.PathPrefix == "" {
		return
	}
	host := Host(route.Authority)
	if catalog.hosts[host] == nil {
		catalog.hosts[host] = &hostRoutes{routes: map[string]*Route{}}
	}
	catalog.hosts[host].add(route)
}

// add indexes a route by its path prefix.
func (host *hostRoutes) add(route *Route) {
	host.routes[route.PathPrefix] = route
	host.longest = max(host.longest, len(route.PathPrefix))
}

// newSplit returns the split of a route over its backends, without those that do not exist or have a weight of 0.
func (catalog *Catalog) newSplit(route *Route) *backendSplit {
	shares := route.Split
	if shares == nil {
		shares = []Share{{Backend: route.Backend, Weight: 1}}
	}
	split, total, seen := &backendSplit{}, 0, map[*Backend]bool{}
	for _, share := range shares {
		backend := catalog.Backends[share.Backend]
		if backend == nil || share.Weight <= 0 {
			continue
		}
		total += share.Weight
		split.backends = append(split.backends, backend)
		split.cumulative = append(split.cumulative, total)
		if !seen[backend] {
			seen[backend] = true
			split.distinct = append(split.distinct, backend)
		}
	}
	return split
}

// TenantOf returns the tenant that owns a key, or nil. authorized reports whether the key grants access to a route: a
// public route requires no key, and neither does any route of a document without tenants.
func (catalog *Catalog) TenantOf(key string, route *Route) (tenant *Tenant, authorized bool) {
	tenant = catalog.keys.owner(key)
	return tenant, tenant != nil || route.Public || len(catalog.Spec.Tenants) == 0
}

// IsOpen reports whether new requests may go to a zone: it is listed and not closed, or the document lists no zones.
func (catalog *Catalog) IsOpen(zone string) bool {
	if len(catalog.Zones) == 0 {
		return true
	}
	listed := catalog.Zones[zone]
	return listed != nil && !listed.Closed
}

// Match returns the route for a host and a path: the one with the longest matching path prefix, or nil.
func (catalog *Catalog) Match(authority, path string) *Route {
	host := catalog.hosts[Host(authority)]
	if host == nil {
		return nil
	}
	return host.match(path)
}

// match returns the route with the longest prefix of a path, or nil.
func (host *hostRoutes) match(path string) *Route {
	// Every prefix ends with a slash, so a prefix can only end after a slash of the path. The part of the path beyond
	// the longest prefix is skipped, so that a path with many slashes costs no more.
	for end := min(len(path), host.longest); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if path[end-1] != '/' {
			continue
		}
		if route := host.routes[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

// BackendsOf returns the backends of a route without duplicates. The caller must not change the list.
func (catalog *Catalog) BackendsOf(route *Route) []*Backend {
	if split := catalog.splits[route.Name]; split != nil {
		return split.distinct
	}
	return nil
}

// BackendAt returns the backend at a point of a route's split, or nil if the route has no backend. Points range from 0
// up to but not including 1; a uniformly distributed point selects each backend in proportion to its weight.
func (catalog *Catalog) BackendAt(route *Route, point float64) *Backend {
	split := catalog.splits[route.Name]
	if split == nil || len(split.backends) == 0 {
		return nil
	}
	return split.at(point)
}

// at returns the backend at a point. The split must have at least one backend.
func (split *backendSplit) at(point float64) *Backend {
	last := len(split.backends) - 1
	position := point * float64(split.cumulative[last])
	for i, end := range split.cumulative {
		if position < float64(end) {
			return split.backends[i]
		}
	}
	return split.backends[last]
}

// Host returns the form in which hosts are compared: lower case, without a port.
func Host(authority string) string {
	if colon := strings.LastIndexByte(authority, ':'); colon >= 0 {
		// An IPv6 address without brackets has no port: its colons are part of the address.
		if host := authority[:colon]; !strings.Contains(host, ":") || strings.HasSuffix(host, "]") {
			authority = host
		}
	}
	return strings.ToLower(authority)
}
