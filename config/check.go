package config

import (
	"fmt"
	"strings"
	"time"
)

// The bounds of what an entry may hold.
const (
	MaximumAttempts      = 1000
	MaximumRank          = 1000
	MaximumWeight        = 1_000_000
	MaximumConnections   = 1_000_000
	MaximumSlots         = 1_000_000
	MaximumTokens        = 1 << 40
	MaximumHeaderBytes   = 1 << 20
	MaximumBodyBytes     = 1 << 30
	MaximumSpan          = 24 * time.Hour
	MinimumLatencyTarget = 10 * time.Millisecond
	MaximumLatencyTarget = time.Hour
	maximumName          = 256
	maximumServices      = 64
	maximumAdapters      = 1024
	maximumShares        = 64
	maximumPath          = 1024
	maximumKeys          = 10000
	maximumKey           = 1024
	// MaximumQuota bounds the rate and the burst of a quota.
	MaximumQuota = 1e15
	// maximumAnnotations bounds what one entry may carry for the operators' tools.
	maximumAnnotations = 256 << 10
)

// checker gathers the flaws of a spec.
type checker struct {
	flaws []Problem
}

func (checker *checker) flaw(path, format string, values ...any) {
	checker.flaws = append(checker.flaws, Problem{Path: path, Detail: fmt.Sprintf(format, values...)})
}

func (checker *checker) count(path string, have, least, most int) {
	if have < least || have > most {
		checker.flaw(path, "has %d entries; wants %d to %d", have, least, most)
	}
}

func (checker *checker) name(path, name string, seen map[string]bool) {
	if !plain(name) {
		checker.flaw(path+".name", "wants 1 to %d of the letters a-z and A-Z, 0-9, '-', '_' and '.'", maximumName)
		return
	}
	if seen[name] {
		checker.flaw(path+".name", "%q is there twice", name)
	}
	seen[name] = true
}

func (checker *checker) text(path, value string) {
	if value == "" || len(value) > 256 {
		checker.flaw(path, "wants 1 to 256 bytes")
	}
}

func (checker *checker) distinct(path string, list []string) {
	seen := map[string]bool{}
	for position, value := range list {
		here := fmt.Sprintf("%s[%d]", path, position)
		checker.text(here, value)
		if seen[value] {
			checker.flaw(here, "%q is there twice", value)
		}
		seen[value] = true
	}
}

func (checker *checker) within(path string, value, least, most int) {
	if value < least || value > most {
		checker.flaw(path, "wants %d to %d", least, most)
	}
}

func (checker *checker) span(path string, value Duration, least, most time.Duration) {
	if length := time.Duration(value); length < least || length > most {
		checker.flaw(path, "wants %v to %v", least, most)
	}
}

func (checker *checker) annotations(path string, annotations Annotations) {
	size := 0
	for _, name := range annotations.names() {
		checker.text(path+"."+name, name)
		size += len(name) + len(annotations[name])
	}
	if size > maximumAnnotations {
		checker.flaw(path, "takes %d bytes; at most %d", size, maximumAnnotations)
	}
}

// Check lists every flaw, in the order of the document.
func (spec *Spec) Check() []Problem {
	checker := &checker{}
	// A list left out is more likely forgotten than meant, and would take everything away. The same goes
	// for one that is empty where zones are listed; who lists none has nothing that would be served there.
	least := min(1, len(spec.Zones))
	for _, list := range []struct {
		path                  string
		missing               bool
		entries, least, bound int
	}{{"zones", spec.Zones == nil, len(spec.Zones), 0, MaximumZones}, {"pools", spec.Backends == nil, len(spec.Backends), least, MaximumBackends},
		{"lanes", spec.Routes == nil, len(spec.Routes), least, MaximumRoutes}} {
		if list.missing {
			checker.flaw(list.path, "is left out; write [] for none")
			continue
		}
		checker.count(list.path, list.entries, list.least, list.bound)
	}
	zones, backends, lanes, routes := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for place, zone := range spec.Zones {
		checker.name(fmt.Sprintf("zones[%d]", place), zone.Name, zones)
	}
	for place := range spec.Backends {
		checker.backend(fmt.Sprintf("pools[%d]", place), &spec.Backends[place], backends)
	}
	for place := range spec.Routes {
		checker.route(fmt.Sprintf("lanes[%d]", place), &spec.Routes[place], backends, lanes, routes)
	}
	checker.tenants(spec)
	checker.within("limits.header_bytes", spec.Limits.HeaderBytes, 0, MaximumHeaderBytes)
	checker.within("limits.body_bytes", spec.Limits.BodyBytes, 0, MaximumBodyBytes)
	checker.span("limits.header_time", spec.Limits.HeaderTime, 0, MaximumSpan)
	checker.span("limits.idle_time", spec.Limits.IdleTime, 0, MaximumSpan)
	checker.annotations("annotations", spec.Annotations)
	return checker.flaws
}

func (checker *checker) backend(path string, backend *Pool, backends map[string]bool) {
	checker.name(path, backend.Name, backends)
	if backend.Model != "" || backend.Weights != "" {
		checker.text(path+".model", backend.Model)
		checker.text(path+".weights", backend.Weights)
	}
	checker.count(path+".services", len(backend.Services), 1, maximumServices)
	checker.count(path+".adapters", len(backend.Adapters), 0, maximumAdapters)
	checker.distinct(path+".services", backend.Services)
	checker.distinct(path+".adapters", backend.Adapters)
	checker.within(path+".connection_limit", backend.ConnectionLimit, 0, MaximumConnections)
	if backend.HealthPath != "" && !pathLike(backend.HealthPath) {
		checker.flaw(path+".health_path", "wants a path of at most %d bytes that begins with '/'", maximumPath)
	}
	checker.within(path+".engine.slots", backend.Engine.Slots, 0, MaximumSlots)
	checker.within(path+".engine.memory_tokens", backend.Engine.MemoryTokens, 0, MaximumTokens)
	checker.within(path+".engine.event_tokens", backend.Engine.EventTokens, 0, MaximumSlots)
	checker.annotations(path+".annotations", backend.Annotations)
}

func (checker *checker) route(path string, route *Route, backends, lanes, routes map[string]bool) {
	checker.name(path, route.Name, lanes)
	checker.destination(path, route, backends)
	if !(route.Value >= 1 && route.Value <= 1000) {
		checker.flaw(path+".worth", "wants 1 to 1000")
	}
	checker.span(path+".patience", route.LatencyTarget, MinimumLatencyTarget, MaximumLatencyTarget)
	if !(route.ConcurrencyLimit > 0 && route.ConcurrencyLimit <= 1) {
		checker.flaw(path+".purse", "wants more than 0, at most 1")
	}
	checker.matchRules(path, route, routes)
	checker.span(path+".deadline", route.Deadline, 0, MaximumSpan)
	checker.within(path+".attempts", route.Attempts, 0, MaximumAttempts)
	checker.within(path+".rank", route.Rank, 0, MaximumRank)
	checker.span(path+".pause", route.Pause, 0, MaximumSpan)
	checker.annotations(path+".annotations", route.Annotations)
}

// tenants checks the tenants, and that none has another's key.
func (checker *checker) tenants(spec *Spec) {
	checker.count("tenants", len(spec.Tenants), 0, MaximumTenants)
	if len(spec.KeySalt) > 0 {
		checker.flaw("key_salt", "is wardtray's own to write; leave it out")
	}
	names, owners := map[string]bool{}, map[string]int{}
	for place := range spec.Tenants {
		path, tenant := fmt.Sprintf("tenants[%d]", place), &spec.Tenants[place]
		checker.name(path, tenant.Name, names)
		checker.count(path+".keys", len(tenant.Keys), 0, maximumKeys)
		if len(tenant.KeyHashes) > 0 {
			checker.flaw(path+".key_hashes", "are wardtray's own to write; give keys")
		}
		for number, key := range tenant.Keys {
			checker.key(fmt.Sprintf("%s.keys[%d]", path, number), key, place, owners)
		}
		checker.within(path+".rank", tenant.Rank, 0, MaximumRank)
		checker.quota(path+".quota", tenant.Quota)
		checker.annotations(path+".annotations", tenant.Annotations)
	}
}

// key checks one key of the tenant at a place. Its text is a secret and stands in no flaw.
func (checker *checker) key(path, key string, tenant int, owners map[string]int) {
	if key == "" || len(key) > maximumKey || !visible(key) {
		checker.flaw(path, "wants 1 to %d visible bytes without blanks", maximumKey)
	}
	if owner, found := owners[key]; found && owner != tenant {
		checker.flaw(path, "tenants[%d] has the same key", owner)
	}
	owners[key] = tenant
}

func (checker *checker) quota(path string, quota Quota) {
	for _, amount := range []struct {
		name  string
		value float64
	}{{"rate", quota.Rate}, {"burst", quota.Burst}} {
		if !(amount.value >= 0 && amount.value <= MaximumQuota) {
			checker.flaw(path+"."+amount.name, "wants 0 to %g", MaximumQuota)
		}
	}
	checker.within(path+".uncounted_tokens", quota.UncountedTokens, 0, MaximumTokens)
}

// destination checks that a route's requests have somewhere to go.
func (checker *checker) destination(path string, route *Route, backends map[string]bool) {
	if route.Split == nil {
		if !backends[route.Pool] {
			checker.flaw(path+".pool", "there is no pool %q", route.Pool)
		}
		return
	}
	if route.Pool != "" {
		checker.flaw(path+".split", "stands beside a pool; give one of the two")
	}
	checker.count(path+".split", len(route.Split), 1, maximumShares)
	sum := 0
	for place, share := range route.Split {
		here := fmt.Sprintf("%s.split[%d]", path, place)
		if !backends[share.Pool] {
			checker.flaw(here+".pool", "there is no pool %q", share.Pool)
		}
		checker.within(here+".weight", share.Weight, 0, MaximumWeight)
		sum += share.Weight
	}
	if len(route.Split) > 0 && sum == 0 {
		checker.flaw(path+".split", "its weights sum to 0")
	}
}

// matchRules checks the host and path by which a route is found.
func (checker *checker) matchRules(path string, route *Route, routes map[string]bool) {
	if route.Authority == "" && route.PathPrefix == "" {
		return
	}
	authority := Host(route.Authority)
	if authority == "" || len(authority) > 256 || !visible(authority) || strings.Contains(authority, "/") {
		checker.flaw(path+".authority", "wants the name of a host, of at most 256 bytes")
	}
	if !pathLike(route.PathPrefix) || !strings.HasSuffix(route.PathPrefix, "/") {
		checker.flaw(path+".path_prefix", "wants a path of at most %d bytes that begins and ends with '/'", maximumPath)
		return
	}
	if routes[authority+route.PathPrefix] {
		checker.flaw(path+".path_prefix", "another lane has %s%s", authority, route.PathPrefix)
	}
	routes[authority+route.PathPrefix] = true
}

func pathLike(path string) bool {
	return strings.HasPrefix(path, "/") && len(path) <= maximumPath && visible(path)
}

// visible tells whether a text can stand in the first line and the headers of a request.
func visible(text string) bool {
	for _, letter := range []byte(text) {
		if letter <= ' ' || letter == 0x7f {
			return false
		}
	}
	return true
}

// plain tells whether a name can stand in headers, paths and command lines as it is.
func plain(name string) bool {
	for _, letter := range name {
		if !(letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter >= '0' && letter <= '9' ||
			letter == '-' || letter == '_' || letter == '.') {
			return false
		}
	}
	return len(name) >= 1 && len(name) <= maximumName
}
