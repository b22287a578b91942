package scheduler

import "time"

const (
	// minWindow and maxWindow bound the window, in requests.
	minWindow = 2
	maxWindow = 4096
	// windowDecrease is the factor by which a rejection by a runner narrows the window, at most once in
	// windowDecreaseInterval.
	windowDecrease         = 0.8
	windowDecreaseInterval = 300 * time.Millisecond
)

// inFlightWindow bounds the requests that this daemon has in flight at the backend, as TCP's congestion window does:
// additive increase with each request that ends, multiplicative decrease with rejections.
//
// Reports are too old to keep many daemons from filling a runner at once. What runners reject is the one sign that is
// recent.
type inFlightWindow struct {
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

// routeConcurrency counts the requests in flight by route.
type routeConcurrency map[string]int

func (routes routeConcurrency) acquire(route string) { routes[route]++ }

func (routes routeConcurrency) release(route string) {
	routes[route]--
	if routes[route] <= 0 {
		delete(routes, route)
	}
}

// withinLimit reports whether the request's route may have one more request, of so much capacity; one is always
// allowed.
func (routes routeConcurrency) withinLimit(request *QueuedRequest, capacity float64) bool {
	return float64(routes[request.Route]+1) <= max(1, request.ConcurrencyLimit*capacity)
}

const (
	// waitCorrectionIncrease and waitCorrectionDecrease are the factors of a route's correction after a wait in vain and
	// after one that ended in a dispatch.
	waitCorrectionIncrease = 1.15
	waitCorrectionDecrease = 0.97
	// maxWaitCorrection bounds a correction.
	maxWaitCorrection = 32
)

// waitCorrections multiply the predicted waits of each route's new requests; a route without one has 1. They make
// predictions more careful after each wait that was in vain, and bolder after each that was not, so that in overload
// requests are rejected on arrival.
type waitCorrections map[string]float64

// learn adjusts a route's correction by how a wait ended.
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
