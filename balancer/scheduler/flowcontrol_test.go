package scheduler

import (
	"testing"
	"time"
)

// In overload, requests of a route beyond its concurrency limit queue behind those of a route within its limit, even if
// their value is greater. Otherwise a route with many valuable requests would starve the others.
func TestConcurrencyLimitKeepsRoutesFromStarving(t *testing.T) {
	fixture := newFixture(t, 2)
	for range 20 {
		fixture.Schedule(fixture.now, fixture.request("valuable", 100, 0.3, time.Hour, "x"))
	}
	cheap := fixture.request("cheap", 1, 0.3, time.Hour, "y")
	if decision, decided := fixture.schedule(cheap); !decided || decision.Kind != Dispatch {
		// Beyond its limit the valuable route may use only slots that others do not need, so there is capacity left.
		t.Fatalf("the cheap route starves: %+v, decided at once: %v", decision, decided)
	}
	_, queued, routes := fixture.State()
	if routes["valuable"] == 0 || queued == 0 {
		t.Fatalf("the valuable route has %d requests in flight, and %d are queued", routes["valuable"], queued)
	}
}

// Each request that ends widens the window by a small step; a rejection narrows it to a fraction of the requests in
// flight, at most once per windowDecreaseInterval.
func TestInFlightWindow(t *testing.T) {
	window := inFlightWindow{size: 10}
	for range 9 {
		window.acquire()
	}
	if !window.open() {
		t.Fatal("the window is closed with 9 of 10 requests in flight")
	}
	window.acquire()
	if window.open() {
		t.Fatal("the window is open with 10 of 10 requests in flight")
	}
	window.release()
	if window.size != 10.1 || window.inFlight != 9 {
		t.Fatalf("after a release: %+v", window)
	}
	window.narrow(started)
	window.narrow(started.Add(windowDecreaseInterval - 1))
	if want := 9 * windowDecrease; window.size != want {
		t.Fatalf("narrowed to %v, want %v", window.size, want)
	}
	for step := range 20 {
		window.narrow(started.Add(time.Duration(step+1) * windowDecreaseInterval))
	}
	if window.size != minWindow {
		t.Fatalf("narrowed to %v, want %v", window.size, minWindow)
	}
}

// Rejections of queued requests raise a route's correction up to its bound, and dispatches lower it until it is
// deleted.
func TestWaitCorrections(t *testing.T) {
	corrections := waitCorrections{}
	corrections.learn("l", Dispatch)
	if len(corrections) != 0 {
		t.Fatalf("after one dispatch: %v", corrections)
	}
	corrections.learn("l", Reject)
	if corrections["l"] != waitCorrectionIncrease {
		t.Fatalf("after one rejection: %v", corrections)
	}
	for range 100 {
		corrections.learn("l", Reject)
	}
	if corrections["l"] != maxWaitCorrection {
		t.Fatalf("after many rejections: %v", corrections)
	}
	for range 200 {
		corrections.learn("l", Dispatch)
	}
	if len(corrections) != 0 {
		t.Fatalf("after many dispatches: %v", corrections)
	}
}

// A route may always have one request in flight; for more its limit applies. Routes without requests are deleted.
func TestRouteConcurrency(t *testing.T) {
	routes := routeConcurrency{}
	request := &QueuedRequest{Route: "l", ConcurrencyLimit: 0.25}
	for _, step := range []struct {
		capacity    float64
		withinLimit bool
	}{{0, true}, {4, false}, {8, true}, {8, false}} {
		if within := routes.withinLimit(request, step.capacity); within != step.withinLimit {
			t.Errorf("%d in flight, capacity %v: within limit %v, want %v",
				routes["l"], step.capacity, within, step.withinLimit)
		}
		if step.withinLimit {
			routes.acquire("l")
		}
	}
	routes.release("l")
	routes.release("l")
	if len(routes) != 0 {
		t.Errorf("routes left after all requests ended: %v", routes)
	}
}
