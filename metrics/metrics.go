// Package metrics counts requests by route and outcome, and records the time to the first event of responses.
package metrics

import (
	"maps"
	"sync"
	"time"
)

// MaximumRoutes is the maximum number of routes with separate counters. The requests of further routes are counted
// under overflowRoute.
const MaximumRoutes = 4096

// overflowRoute is the name under which routes beyond MaximumRoutes are counted together.
const overflowRoute = "other"

// firstEventBounds holds the inclusive upper bounds of the buckets of the histogram FirstEvents. Longer times are not
// counted.
var firstEventBounds = []time.Duration{
	10 * time.Millisecond,
	30 * time.Millisecond,
	100 * time.Millisecond,
	300 * time.Millisecond,
	time.Second,
	3 * time.Second,
	10 * time.Second,
	time.Hour,
}

// RouteMetrics holds the counters of one route since the process started.
type RouteMetrics struct {
	// Requests counts the requests that were received completely.
	Requests uint64 `json:"requests"`
	// Completed counts the requests whose response was completed.
	Completed uint64 `json:"done"`
	// Outcomes counts the requests by an outcome of the proxy or an error code.
	Outcomes map[string]uint64 `json:"ends,omitempty"`
	// RefusedEarly counts the requests that the scheduler refused within 50 ms of their arrival.
	RefusedEarly uint64 `json:"refused_early"`
	// RefusedLate counts the requests that the scheduler refused later.
	RefusedLate uint64 `json:"refused_late"`
	// RefusedByQuota counts the requests that were refused because their tenant had used up its quota.
	RefusedByQuota uint64 `json:"refused_by_quota"`
	// Retries counts the attempts at runners after the first one that was sent.
	Retries uint64 `json:"repeats"`
	// UnsentAttempts counts the attempts that ended before the request was sent completely.
	UnsentAttempts uint64 `json:"attempts_not_sent"`
	// CachedTokens counts the tokens within PromptTokens that were assumed to be in the runner's prefix cache.
	CachedTokens uint64 `json:"held_tokens"`
	// PromptTokens counts the prompt tokens of the requests whose response began.
	PromptTokens uint64 `json:"prompt_tokens"`
	// FirstEvents is a histogram of the time from a request's arrival to the first event of its response, by the upper
	// bound of the bucket, such as "<=300ms". The buckets are not cumulative.
	FirstEvents map[string]uint64 `json:"first_events,omitempty"`
	// OtherZoneResponses counts the responses that began at a runner in another zone.
	OtherZoneResponses uint64 `json:"passed_to_other_zone"`
	// CrossZoneBytes counts the bytes of requests and responses that were sent between zones.
	CrossZoneBytes uint64 `json:"bytes_other_zone"`
	// Resumed counts the streams that were resumed at another runner.
	Resumed uint64 `json:"resumed"`
}

// Registry holds the counters of a process. It is safe for concurrent use.
type Registry struct {
	mutex  sync.Mutex
	routes map[string]*RouteMetrics
}

// New returns a registry without any route.
func New() *Registry { return &Registry{routes: map[string]*RouteMetrics{}} }

// Update calls change with a route's counters while it holds the lock.
func (registry *Registry) Update(name string, change func(route *RouteMetrics)) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	change(registry.route(name))
}

// route returns the counters of a route, or those of overflowRoute if there are too many. The caller holds the lock.
func (registry *Registry) route(name string) *RouteMetrics {
	if route := registry.routes[name]; route != nil {
		return route
	}
	if len(registry.routes) >= MaximumRoutes {
		name = overflowRoute
	}
	route := registry.routes[name]
	if route == nil {
		route = &RouteMetrics{Outcomes: map[string]uint64{}, FirstEvents: map[string]uint64{}}
		registry.routes[name] = route
	}
	return route
}

// ObserveFirstEvent adds the time to the first event of a response to the histogram FirstEvents.
func (route *RouteMetrics) ObserveFirstEvent(elapsed time.Duration) {
	for _, bound := range firstEventBounds {
		if elapsed <= bound {
			route.FirstEvents["<="+bound.String()]++
			return
		}
	}
}

// Routes returns a copy of the counters of all routes.
func (registry *Registry) Routes() map[string]RouteMetrics {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	routes := make(map[string]RouteMetrics, len(registry.routes))
	for name, route := range registry.routes {
		routes[name] = route.clone()
	}
	return routes
}

// clone returns a copy that shares no maps with the original.
func (route *RouteMetrics) clone() RouteMetrics {
	copied := *route
	copied.Outcomes, copied.FirstEvents = maps.Clone(route.Outcomes), maps.Clone(route.FirstEvents)
	return copied
}
