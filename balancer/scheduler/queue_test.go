package scheduler

import (
	"testing"
	"time"
)

// Requests are ordered by the tenant's rank, then by the route's concurrency limit, then by value and urgency. Equal
// requests keep their order.
func TestQueueIsSortedByPriority(t *testing.T) {
	urgent := &QueuedRequest{enqueued: started.Add(-time.Minute), Requirements: Requirements{Value: 3}}
	requests := map[string]*QueuedRequest{
		"first tenant beyond limit": {Route: "limited", Requirements: Requirements{Value: 1}},
		"second tenant":             {Requirements: Requirements{Value: 100, TenantRank: 1}},
		"urgent":                    urgent,
		"valuable":                  {Requirements: Requirements{Value: 5}},
		"cheap":                     {Requirements: Requirements{Value: 1}},
		"cheap, later":              {Requirements: Requirements{Value: 1}},
	}
	var queue requestQueue
	for _, name := range []string{
		"second tenant", "cheap", "first tenant beyond limit", "cheap, later", "valuable", "urgent",
	} {
		request := requests[name]
		request.Requirements.LatencyTarget = time.Minute
		if request.enqueued.IsZero() {
			request.enqueued = started
		}
		queue.add(request)
	}
	queue.sort(started, func(request *QueuedRequest) bool { return request.Route != "limited" })
	for index, name := range []string{
		"urgent", "valuable", "cheap", "cheap, later", "first tenant beyond limit", "second tenant",
	} {
		if queue.requests[index] != requests[name] {
			t.Errorf("%q is not at position %d", name, index)
		}
	}
	if queue.removeLast() != requests["second tenant"] || !queue.remove(urgent) || queue.remove(urgent) {
		t.Error("a request was not removed exactly once")
	}
	queue.retain(func(request *QueuedRequest) bool { return request == requests["cheap"] })
	if queue.length() != 1 || queue.requests[0] != requests["cheap"] {
		t.Errorf("%d requests retained, want only \"cheap\"", queue.length())
	}
}
