// Package tally counts what happens to requests, for each route and each outcome, and how long the
// first event took.
package metrics

import (
	"sync"
	"time"
)

// bounds are the upper ends of the buckets of first-event times.
var bounds = []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second, time.Hour}

// RouteMetrics is the count of one route.
type RouteMetrics struct {
	Requests uint64            `json:"requests"`
	Done     uint64            `json:"done"`
	Ends     map[string]uint64 `json:"ends,omitempty"`
	Early    uint64            `json:"refused_early"`
	Late     uint64            `json:"refused_late"`
	// QuotaSpent counts requests refused because their tenant had used up its quota.
	QuotaSpent   uint64            `json:"refused_by_quota"`
	Retries      uint64            `json:"repeats"`
	FreeAttempts uint64            `json:"attempts_not_sent"`
	HeldTokens   uint64            `json:"held_tokens"`
	PromptTokens uint64            `json:"prompt_tokens"`
	FirstEvents  map[string]uint64 `json:"first_events,omitempty"`
	OtherZone    uint64            `json:"passed_to_other_zone"`
	BytesAcross  uint64            `json:"bytes_other_zone"`
	// Resumed counts streams that went on at another runner.
	Resumed uint64 `json:"resumed"`
}

// Registry holds the counts of a process.
type Registry struct {
	mutex  sync.Mutex
	routes map[string]*RouteMetrics
}

// MaximumRoutes bounds the routes counted apart; further ones are counted together as "other".
const MaximumRoutes = 4096

// New makes an empty tally.
func New() *Registry { return &Registry{routes: map[string]*RouteMetrics{}} }

// Count changes a route's counts under the lock.
func (metrics *Registry) Count(name string, change func(route *RouteMetrics)) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	route := metrics.routes[name]
	if route == nil {
		if len(metrics.routes) >= MaximumRoutes {
			name = "other"
		}
		route = metrics.routes[name]
	}
	if route == nil {
		route = &RouteMetrics{Ends: map[string]uint64{}, FirstEvents: map[string]uint64{}}
		metrics.routes[name] = route
	}
	change(route)
}

// First counts a first event's time.
func (route *RouteMetrics) First(length time.Duration) {
	for _, bound := range bounds {
		if length <= bound {
			route.FirstEvents["<="+bound.String()]++
			return
		}
	}
}

// Routes gives a copy of all counts.
func (metrics *Registry) Routes() map[string]RouteMetrics {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	routes := map[string]RouteMetrics{}
	for name, route := range metrics.routes {
		copied := *route
		copied.Ends, copied.FirstEvents = map[string]uint64{}, map[string]uint64{}
		for end, count := range route.Ends {
			copied.Ends[end] = count
		}
		for bound, count := range route.FirstEvents {
			copied.FirstEvents[bound] = count
		}
		routes[name] = copied
	}
	return routes
}
