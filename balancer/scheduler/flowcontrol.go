package scheduler

import "time"

const (
	// minWindow and maxWindow bound the window size, in requests.
	minWindow = 2
	maxWindow = 4096
	// windowDecrease multiplies the window size after a rejection by a runner, at most once per windowDecreaseInterval.
	windowDecrease         = 0.8
	windowDecreaseInterval = 300 * time.Millisecond
)

// inFlightWindow limits the requests that this daemon has in flight at the backend, like TCP's congestion window: it
// grows additively with each request that ends and shrinks multiplicatively with rejections.
//
// Load reports are too old to keep many daemons from filling a runner at the same time. Rejections are the only recent
// signal of an overload.
type inFlightWindow struct {
	// size is the maximum number of requests in flight.
	size       float64
	inFlight   int
	narrowedAt time.Time
}

func (window *inFlightWindow) open() bool { return float64(window.inFlight) < window.size }

func (window *inFlightWindow) acquire() { window.inFlight++ }

func (window *inFlightWindow) release() {
	window.inFlight--
	window.size = min(maxWindow, window.size+1/window.size)
}

func (window *inFlightWindow) narrow(now time.Time) {
	if now.Sub(window.narrowedAt) < windowDecreaseInterval {
		return
	}
	window.narrowedAt = now
	window.size = max(minWindow, min(window.size, float64(window.inFlight))*windowDecrease)
}

// routeConcurrency counts the requests in flight of each route.
type routeConcurrency map[string]int

func (routes routeConcurrency) acquire(route string) { routes[route]++ }

func (routes routeConcurrency) release(route string) {
	routes[route]--
	if routes[route] <= 0 {
		delete(routes, route)
	}
}

// withinLimit reports whether the request's route may have one more request in flight at a backend of the given
// capacity, in requests. One request in flight is always allowed.
func (routes routeConcurrency) withinLimit(request *QueuedRequest, capacity float64) bool {
	return float64(routes[request.Route]+1) <= max(1, request.ConcurrencyLimit*capacity)
}

const (
	// waitCorrectionIncrease multiplies a route's correction after a queued request was rejected,
	// waitCorrectionDecrease after one was dispatched.
	waitCorrectionIncrease = 1.15
	waitCorrectionDecrease = 0.97
	// maxWaitCorrection is the upper bound of a correction.
	maxWaitCorrection = 32
)

// waitCorrections maps each route to the factor of the predicted queueing time of its new requests; the factor of a
// missing route is 1. The factor grows when a queued request is rejected and shrinks when one is dispatched, so that in
// overload requests are rejected on arrival rather than after they were queued.
type waitCorrections map[string]float64

// learn adjusts a route's correction after a queued request of it ended with a decision of the kind end.
func (corrections waitCorrections) learn(route string, end DecisionKind) {
	correction := max(1, corrections[route])
	if end == Reject {
		correction *= waitCorrectionIncrease
	} else {
		correction *= waitCorrectionDecrease
	}
	if correction <= 1 {
		delete(corrections, route)
		return
	}
	corrections[route] = min(maxWaitCorrection, correction)
}
