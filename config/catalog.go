package config

import "strings"

// Catalog is a spec with its entries ready to be found by name, and its routes by host and path.
type Catalog struct {
	Spec     *Spec
	Routes   map[string]*Route
	Backends map[string]*Pool
	Zones    map[string]*Zone
	paths    map[string]*pathTable
	backends map[string]*destination
	keys     keyring
}

// pathTable are the routes of one host by their prefix.
type pathTable struct {
	routes  map[string]*Route
	longest int
}

// destination is where the requests of one route go: its backends in order, and how far the weights reach
// after each.
type destination struct {
	backends []*Pool
	reach    []int
	// distinct are the same backends, each once.
	distinct []*Pool
}

// NewCatalog indexes a checked spec.
func NewCatalog(spec *Spec) *Catalog {
	book := &Catalog{Spec: spec, Routes: make(map[string]*Route, len(spec.Routes)), Backends: make(map[string]*Pool, len(spec.Backends)), Zones: map[string]*Zone{},
		paths: map[string]*pathTable{}, backends: make(map[string]*destination, len(spec.Routes)), keys: newKeyring(spec)}
	for place := range spec.Zones {
		book.Zones[spec.Zones[place].Name] = &spec.Zones[place]
	}
	for place := range spec.Backends {
		book.Backends[spec.Backends[place].Name] = &spec.Backends[place]
	}
	for place := range spec.Routes {
		route := &spec.Routes[place]
		book.Routes[route.Name] = route
		book.backends[route.Name] = book.destinationOf(route)
		if route.PathPrefix == "" {
			continue
		}
		host := Host(route.Authority)
		if book.paths[host] == nil {
			book.paths[host] = &pathTable{routes: map[string]*Route{}}
		}
		book.paths[host].routes[route.PathPrefix] = route
		book.paths[host].longest = max(book.paths[host].longest, len(route.PathPrefix))
	}
	return book
}

func (book *Catalog) destinationOf(route *Route) *destination {
	shares := route.Split
	if route.Split == nil {
		shares = []Share{{Pool: route.Pool, Weight: 1}}
	}
	made, reach, seen := &destination{}, 0, map[*Pool]bool{}
	for _, share := range shares {
		backend := book.Backends[share.Pool]
		if backend == nil || share.Weight <= 0 {
			continue
		}
		reach += share.Weight
		made.backends, made.reach = append(made.backends, backend), append(made.reach, reach)
		if !seen[backend] {
			seen[backend], made.distinct = true, append(made.distinct, backend)
		}
	}
	return made
}

// TenantOf gives the tenant that holds a key, nil where none does. known tells whether the key opens a route: every key
// does where there are no tenants, and none is needed for a public route.
func (book *Catalog) TenantOf(key string, route *Route) (tenant *Tenant, known bool) {
	tenant = book.keys.owner(key)
	return tenant, tenant != nil || route.Public || len(book.Spec.Tenants) == 0
}

// Open tells whether a zone may get work: it is named and not closed, or the spec names no zones at all.
func (book *Catalog) Open(zone string) bool {
	if len(book.Zones) == 0 {
		return true
	}
	found := book.Zones[zone]
	return found != nil && !found.Closed
}

// Match finds the route of a host and a path: the one with the longest prefix that begins the path, or nil.
func (book *Catalog) Match(authority, path string) *Route {
	found := book.paths[Host(authority)]
	if found == nil {
		return nil
	}
	// Every prefix ends with a slash, so only the places after one can be its end; a path with more
	// slashes than any prefix is long costs nothing.
	for end := min(len(path), found.longest); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if path[end-1] != '/' {
			continue
		}
		if route := found.routes[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

// BackendsOf lists the backends that a route's requests may go to, each once. The caller must not change the list.
func (book *Catalog) BackendsOf(route *Route) []*Pool {
	if found := book.backends[route.Name]; found != nil {
		return found.distinct
	}
	return nil
}

// BackendAt gives the backend at a point, from 0 up to but not including 1, of a route's split; nil if it has none.
func (book *Catalog) BackendAt(route *Route, point float64) *Pool {
	found := book.backends[route.Name]
	if found == nil || len(found.backends) == 0 {
		return nil
	}
	mark := point * float64(found.reach[len(found.reach)-1])
	for place, reach := range found.reach {
		if mark < float64(reach) {
			return found.backends[place]
		}
	}
	return found.backends[len(found.backends)-1]
}

// Host gives the form in which hosts are compared: in small letters, without a port.
func Host(authority string) string {
	if colon := strings.LastIndexByte(authority, ':'); colon >= 0 {
		// The colons of a bare IPv6 address are no port's.
		if host := authority[:colon]; !strings.Contains(host, ":") || strings.HasSuffix(host, "]") {
			authority = host
		}
	}
	return strings.ToLower(authority)
}
