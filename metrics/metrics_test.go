package metrics

import (
	"strconv"
	"testing"
	"time"
)

func TestRoutesBeyondTheBoundAreCountedTogether(t *testing.T) {
	registry := New()
	count := func(name string) { registry.Update(name, func(route *RouteMetrics) { route.Requests++ }) }
	for i := range MaximumRoutes {
		count(strconv.Itoa(i))
	}
	for _, name := range []string{"further", "and another", "0"} {
		count(name)
	}
	routes := registry.Routes()
	if len(routes) != MaximumRoutes+1 || routes[overflowRoute].Requests != 2 || routes["0"].Requests != 2 {
		t.Errorf("%d routes, %d requests counted together, %d of route 0",
			len(routes), routes[overflowRoute].Requests, routes["0"].Requests)
	}
}

func TestFirstCountsOneBucket(t *testing.T) {
	for elapsed, bucket := range map[time.Duration]string{
		0:                      "<=10ms",
		10 * time.Millisecond:  "<=10ms",
		11 * time.Millisecond:  "<=30ms",
		299 * time.Millisecond: "<=300ms",
		time.Hour:              "<=1h0m0s",
	} {
		route := RouteMetrics{FirstEvents: map[string]uint64{}}
		route.ObserveFirstEvent(elapsed)
		if len(route.FirstEvents) != 1 || route.FirstEvents[bucket] != 1 {
			t.Errorf("%v is counted in the buckets %v", elapsed, route.FirstEvents)
		}
	}
	route := RouteMetrics{FirstEvents: map[string]uint64{}}
	if route.ObserveFirstEvent(time.Hour + 1); len(route.FirstEvents) != 0 {
		t.Errorf("a time beyond the last bound is counted in the buckets %v", route.FirstEvents)
	}
}

func TestRoutesReturnsACopy(t *testing.T) {
	registry := New()
	registry.Update("a", func(route *RouteMetrics) { route.Outcomes["done"]++ })
	registry.Routes()["a"].Outcomes["done"]++
	if ends := registry.Routes()["a"].Outcomes["done"]; ends != 1 {
		t.Errorf("a change of the copy changed the registry: %d outcomes", ends)
	}
}
