package config

import "strings"

// Book is a spec with its entries ready to be found by name, and its lanes by host and path.
type Book struct {
	Spec   *Spec
	Lanes  map[string]*Lane
	Pools  map[string]*Pool
	Zones  map[string]*Zone
	routes map[string]*routes
	pools  map[string]*destination
	keys   keyring
}

// routes are the lanes of one host by their prefix.
type routes struct {
	lanes   map[string]*Lane
	longest int
}

// destination is where the requests of one lane go: its pools in order, and how far the weights reach
// after each.
type destination struct {
	pools []*Pool
	reach []int
	// distinct are the same pools, each once.
	distinct []*Pool
}

// NewBook indexes a checked spec.
func NewBook(spec *Spec) *Book {
	book := &Book{Spec: spec, Lanes: make(map[string]*Lane, len(spec.Lanes)), Pools: make(map[string]*Pool, len(spec.Pools)), Zones: map[string]*Zone{},
		routes: map[string]*routes{}, pools: make(map[string]*destination, len(spec.Lanes)), keys: newKeyring(spec)}
	for place := range spec.Zones {
		book.Zones[spec.Zones[place].Name] = &spec.Zones[place]
	}
	for place := range spec.Pools {
		book.Pools[spec.Pools[place].Name] = &spec.Pools[place]
	}
	for place := range spec.Lanes {
		lane := &spec.Lanes[place]
		book.Lanes[lane.Name] = lane
		book.pools[lane.Name] = book.destinationOf(lane)
		if lane.PathPrefix == "" {
			continue
		}
		host := Host(lane.Authority)
		if book.routes[host] == nil {
			book.routes[host] = &routes{lanes: map[string]*Lane{}}
		}
		book.routes[host].lanes[lane.PathPrefix] = lane
		book.routes[host].longest = max(book.routes[host].longest, len(lane.PathPrefix))
	}
	return book
}

func (book *Book) destinationOf(lane *Lane) *destination {
	shares := lane.Split
	if lane.Split == nil {
		shares = []Share{{Pool: lane.Pool, Weight: 1}}
	}
	made, reach, seen := &destination{}, 0, map[*Pool]bool{}
	for _, share := range shares {
		pool := book.Pools[share.Pool]
		if pool == nil || share.Weight <= 0 {
			continue
		}
		reach += share.Weight
		made.pools, made.reach = append(made.pools, pool), append(made.reach, reach)
		if !seen[pool] {
			seen[pool], made.distinct = true, append(made.distinct, pool)
		}
	}
	return made
}

// TenantOf gives the tenant that holds a key, nil where none does. known tells whether the key opens a lane: every key
// does where there are no tenants, and none is needed for a public lane.
func (book *Book) TenantOf(key string, lane *Lane) (tenant *Tenant, known bool) {
	tenant = book.keys.owner(key)
	return tenant, tenant != nil || lane.Public || len(book.Spec.Tenants) == 0
}

// Open tells whether a zone may get work: it is named and not closed, or the spec names no zones at all.
func (book *Book) Open(zone string) bool {
	if len(book.Zones) == 0 {
		return true
	}
	found := book.Zones[zone]
	return found != nil && !found.Closed
}

// Route finds the lane of a host and a path: the one with the longest prefix that begins the path, or nil.
func (book *Book) Route(authority, path string) *Lane {
	found := book.routes[Host(authority)]
	if found == nil {
		return nil
	}
	// Every prefix ends with a slash, so only the places after one can be its end; a path with more
	// slashes than any prefix is long costs nothing.
	for end := min(len(path), found.longest); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if path[end-1] != '/' {
			continue
		}
		if lane := found.lanes[path[:end]]; lane != nil {
			return lane
		}
	}
	return nil
}

// PoolsOf lists the pools that a lane's requests may go to, each once. The caller must not change the list.
func (book *Book) PoolsOf(lane *Lane) []*Pool {
	if found := book.pools[lane.Name]; found != nil {
		return found.distinct
	}
	return nil
}

// PoolAt gives the pool at a point, from 0 up to but not including 1, of a lane's split; nil if it has none.
func (book *Book) PoolAt(lane *Lane, point float64) *Pool {
	found := book.pools[lane.Name]
	if found == nil || len(found.pools) == 0 {
		return nil
	}
	mark := point * float64(found.reach[len(found.reach)-1])
	for place, reach := range found.reach {
		if mark < float64(reach) {
			return found.pools[place]
		}
	}
	return found.pools[len(found.pools)-1]
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
