package scheduler

import (
	"sort"
	"time"
)

// QueueLength is the maximum number of requests queued at one daemon for one backend.
const QueueLength = 512

// requestQueue holds the queued requests. After sort, the request of the highest priority is first.
type requestQueue struct {
	requests []*QueuedRequest
}

func (queue *requestQueue) length() int { return len(queue.requests) }

func (queue *requestQueue) add(request *QueuedRequest) {
	queue.requests = append(queue.requests, request)
}

// remove removes a request and reports whether it was queued.
func (queue *requestQueue) remove(request *QueuedRequest) bool {
	for index, queued := range queue.requests {
		if queued == request {
			queue.requests = append(queue.requests[:index], queue.requests[index+1:]...)
			return true
		}
	}
	return false
}

// removeLast removes and returns the request of the lowest priority.
func (queue *requestQueue) removeLast() *QueuedRequest {
	last := len(queue.requests) - 1
	request := queue.requests[last]
	queue.requests = queue.requests[:last]
	return request
}

// sort updates the requests' Waited and WithinLimit and orders the requests by priority; equal ones keep their order.
func (queue *requestQueue) sort(now time.Time, withinLimit func(request *QueuedRequest) bool) {
	for _, request := range queue.requests {
		request.Requirements.Waited = now.Sub(request.enqueued)
		request.Requirements.WithinLimit = withinLimit(request)
	}
	sort.SliceStable(queue.requests, func(left, right int) bool {
		return queue.requests[left].Requirements.priority() > queue.requests[right].Requirements.priority()
	})
}

// retain calls keep for each request in order, and removes those for which it returns false.
func (queue *requestQueue) retain(keep func(request *QueuedRequest) bool) {
	retained := queue.requests[:0]
	for _, request := range queue.requests {
		if keep(request) {
			retained = append(retained, request)
		}
	}
	queue.requests = retained
}
