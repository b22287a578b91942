package config

import (
	"fmt"
	"strings"
)

// Check returns every problem of the document, in the order of the document; a valid one has none.
func (spec *Spec) Check() []Problem {
	checker := &checker{}
	checker.lists(spec)
	zones, backends := map[string]bool{}, map[string]bool{}
	for i, zone := range spec.Zones {
		checker.name(fmt.Sprintf("zones[%d]", i), zone.Name, zones)
	}
	for i := range spec.Backends {
		checker.backend(fmt.Sprintf("pools[%d]", i), &spec.Backends[i], backends)
	}
	routes := routeChecker{checker: checker, backends: backends, names: map[string]bool{}, matches: map[string]bool{}}
	for i := range spec.Routes {
		routes.route(fmt.Sprintf("lanes[%d]", i), &spec.Routes[i])
	}
	checker.tenants(spec)
	checker.limits("limits", spec.Limits)
	checker.annotations("annotations", spec.Annotations)
	return checker.problems
}

// lists checks that the required lists are present, and the lengths of these lists.
func (checker *checker) lists(spec *Spec) {
	// An omitted list is more likely an oversight than intended, and would remove every entry. The same holds for an
	// empty list where zones are listed; a document without zones has nothing to serve.
	least := min(1, len(spec.Zones))
	for _, list := range []struct {
		path                string
		missing             bool
		length, least, most int
	}{
		{"zones", spec.Zones == nil, len(spec.Zones), 0, MaximumZones},
		{"pools", spec.Backends == nil, len(spec.Backends), least, MaximumBackends},
		{"lanes", spec.Routes == nil, len(spec.Routes), least, MaximumRoutes},
	} {
		if list.missing {
			checker.report(list.path, "is left out; write [] for none")
			continue
		}
		checker.length(list.path, list.length, list.least, list.most)
	}
}

// backend checks one backend; names holds the names of the backends before it.
func (checker *checker) backend(path string, backend *Backend, names map[string]bool) {
	checker.name(path, backend.Name, names)
	if backend.Model != "" || backend.Weights != "" {
		checker.text(path+".model", backend.Model)
		checker.text(path+".weights", backend.Weights)
	}
	checker.length(path+".services", len(backend.Services), 1, maximumServices)
	checker.length(path+".adapters", len(backend.Adapters), 0, maximumAdapters)
	checker.distinct(path+".services", backend.Services)
	checker.distinct(path+".adapters", backend.Adapters)
	checker.atMost(path+".connection_limit", backend.ConnectionLimit, MaximumConnections)
	if backend.HealthPath != "" && !isPath(backend.HealthPath) {
		checker.report(path+".health_path", "wants a path of at most %d bytes that begins with '/'", maximumPath)
	}
	checker.atMost(path+".engine.slots", backend.Engine.Slots, MaximumSlots)
	checker.atMost(path+".engine.memory_tokens", backend.Engine.MemoryTokens, MaximumTokens)
	checker.atMost(path+".engine.event_tokens", backend.Engine.EventTokens, MaximumSlots)
	checker.annotations(path+".annotations", backend.Annotations)
}

// limits checks the limits of clients.
func (checker *checker) limits(path string, limits Limits) {
	checker.atMost(path+".header_bytes", limits.HeaderBytes, MaximumHeaderBytes)
	checker.atMost(path+".body_bytes", limits.BodyBytes, MaximumBodyBytes)
	checker.duration(path+".header_time", limits.HeaderTime, 0, MaximumSpan)
	checker.duration(path+".idle_time", limits.IdleTime, 0, MaximumSpan)
}

// routeChecker checks the routes of a document in their order.
type routeChecker struct {
	*checker
	// backends holds the names of the document's backends.
	backends map[string]bool
	// names holds the names of the routes checked so far.
	names map[string]bool
	// matches holds the host and path prefix of the routes checked so far.
	matches map[string]bool
}

// route checks one route.
func (checker *routeChecker) route(path string, route *Route) {
	checker.name(path, route.Name, checker.names)
	checker.destination(path, route)
	if !(route.Value >= minimumValue && route.Value <= maximumValue) {
		checker.report(path+".worth", "wants %d to %d", minimumValue, maximumValue)
	}
	checker.duration(path+".patience", route.LatencyTarget, MinimumLatencyTarget, MaximumLatencyTarget)
	if !(route.ConcurrencyLimit > 0 && route.ConcurrencyLimit <= maximumConcurrencyLimit) {
		checker.report(path+".purse", "wants more than 0, at most %d", maximumConcurrencyLimit)
	}
	checker.match(path, route)
	checker.duration(path+".deadline", route.Deadline, 0, MaximumSpan)
	checker.atMost(path+".attempts", route.Attempts, MaximumAttempts)
	checker.atMost(path+".rank", route.Rank, MaximumRank)
	checker.duration(path+".pause", route.Pause, 0, MaximumSpan)
	checker.annotations(path+".annotations", route.Annotations)
}

// destination checks that the route names existing backends.
func (checker *routeChecker) destination(path string, route *Route) {
	if route.Split == nil {
		if !checker.backends[route.Backend] {
			checker.report(path+".pool", "there is no pool %q", route.Backend)
		}
		return
	}
	if route.Backend != "" {
		checker.report(path+".split", "stands beside a pool; give one of the two")
	}
	checker.length(path+".split", len(route.Split), 1, maximumShares)
	total := 0
	for i, share := range route.Split {
		sharePath := fmt.Sprintf("%s.split[%d]", path, i)
		if !checker.backends[share.Backend] {
			checker.report(sharePath+".pool", "there is no pool %q", share.Backend)
		}
		checker.atMost(sharePath+".weight", share.Weight, MaximumWeight)
		total += share.Weight
	}
	if len(route.Split) > 0 && total == 0 {
		checker.report(path+".split", "its weights sum to 0")
	}
}

// match checks the host and the path prefix of requests that name no route.
func (checker *routeChecker) match(path string, route *Route) {
	if route.Authority == "" && route.PathPrefix == "" {
		return
	}
	host := Host(route.Authority)
	if host == "" || len(host) > maximumAuthority || !isVisible(host) || strings.Contains(host, "/") {
		checker.report(path+".authority", "wants the name of a host, of at most %d bytes", maximumAuthority)
	}
	if !isPath(route.PathPrefix) || !strings.HasSuffix(route.PathPrefix, "/") {
		const wanted = "wants a path of at most %d bytes that begins and ends with '/'"
		checker.report(path+".path_prefix", wanted, maximumPath)
		return
	}
	if checker.matches[host+route.PathPrefix] {
		checker.report(path+".path_prefix", "another lane has %s%s", host, route.PathPrefix)
	}
	checker.matches[host+route.PathPrefix] = true
}

// tenants checks the tenants, and that no two tenants have the same key.
func (checker *checker) tenants(spec *Spec) {
	checker.length("tenants", len(spec.Tenants), 0, MaximumTenants)
	if len(spec.KeySalt) > 0 {
		checker.report("key_salt", "is wardtray's own to write; leave it out")
	}
	names, owners := map[string]bool{}, map[string]int{}
	for i := range spec.Tenants {
		path, tenant := fmt.Sprintf("tenants[%d]", i), &spec.Tenants[i]
		checker.name(path, tenant.Name, names)
		checker.length(path+".keys", len(tenant.Keys), 0, maximumKeys)
		if len(tenant.KeyHashes) > 0 {
			checker.report(path+".key_hashes", "are wardtray's own to write; give keys")
		}
		for j, key := range tenant.Keys {
			checker.key(fmt.Sprintf("%s.keys[%d]", path, j), key, i, owners)
		}
		checker.atMost(path+".rank", tenant.Rank, MaximumRank)
		checker.quota(path+".quota", tenant.Quota)
		checker.annotations(path+".annotations", tenant.Annotations)
	}
}

// key checks one key of the tenant at an index; owners maps the keys checked so far to their tenants' indices. Keys are
// secrets, so no problem contains one.
func (checker *checker) key(path, key string, tenant int, owners map[string]int) {
	if key == "" || len(key) > maximumKey || !isVisible(key) {
		checker.report(path, "wants 1 to %d visible bytes without blanks", maximumKey)
	}
	if owner, found := owners[key]; found && owner != tenant {
		checker.report(path, "tenants[%d] has the same key", owner)
	}
	owners[key] = tenant
}

// quota checks a quota. The comparisons are written so that they reject NaN.
func (checker *checker) quota(path string, quota Quota) {
	for _, amount := range []struct {
		name  string
		value float64
	}{{"rate", quota.Rate}, {"burst", quota.Burst}} {
		if !(amount.value >= 0 && amount.value <= MaximumQuota) {
			checker.report(path+"."+amount.name, "wants 0 to %g", MaximumQuota)
		}
	}
	checker.atMost(path+".uncounted_tokens", quota.UncountedTokens, MaximumTokens)
}
