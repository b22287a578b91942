package scheduler

import (
	"testing"
	"time"
)

// In overload a route beyond its concurrency limit waits behind one within it, whatever the value of the first.
func TestConcurrencyLimitKeepsRoutesFromStarving(t *testing.T) {
	fixture := newFixture(t, 2)
	for range 20 {
		fixture.Schedule(fixture.now, fixture.request("rich", 100, 0.3, time.Hour, "x"))
	}
	poor := fixture.request("poor", 1, 0.3, time.Hour, "y")
	if decision, answered := fixture.schedule(poor); !answered || decision.Kind != Dispatch {
		// The rich route may occupy only what others do not miss, so there is capacity left.
		t.Fatalf("the poor route starves: %+v %v", decision, answered)
	}
	_, waiting, routes := fixture.State()
	if routes["rich"] == 0 || waiting == 0 {
		t.Fatalf("the rich route has %d in flight, and %d are queued", routes["rich"], waiting)
	}
}

// Each request that ends widens the window a little; a rejection narrows it to a part of what is in flight, at most
// once in an interval.
func TestInFlightWindow(t *testing.T) {
	window := inFlightWindow{size: 10}
	for range 9 {
		window.acquire()
	}
	if !window.open() {
		t.Fatal("9 of 10 close the window")
	}
	window.acquire()
	if window.open() {
		t.Fatal("10 of 10 leave the window open")
	}
	window.release()
	if window.size != 10.1 || window.inFlight != 9 {
		t.Fatalf("after a release: %+v", window)
	}
	window.narrow(started)
	window.narrow(started.Add(windowDecreaseInterval - 1))
	if want := 9 * windowDecrease; window.size != want {
		t.Fatalf("narrowed to %v, not %v", window.size, want)
	}
	for step := range 20 {
		window.narrow(started.Add(time.Duration(step+1) * windowDecreaseInterval))
	}
	if window.size != minWindow {
		t.Fatalf("narrowed to %v, not %v", window.size, minWindow)
	}
}

// Waits in vain raise a route's correction up to its bound, others lower it until it is gone.
func TestWaitCorrections(t *testing.T) {
	corrections := waitCorrections{}
	corrections.learn("l", Dispatch)
	if len(corrections) != 0 {
		t.Fatalf("a good wait: %v", corrections)
	}
	corrections.learn("l", Reject)
	if corrections["l"] != waitCorrectionIncrease {
		t.Fatalf("a wait in vain: %v", corrections)
	}
	for range 100 {
		corrections.learn("l", Reject)
	}
	if corrections["l"] != maxWaitCorrection {
		t.Fatalf("many waits in vain: %v", corrections)
	}
	for range 200 {
		corrections.learn("l", Dispatch)
	}
	if len(corrections) != 0 {
		t.Fatalf("many good waits: %v", corrections)
	}
}

// A route may always have one request; beyond that its limit counts, and what ended is forgotten.
func TestRouteConcurrency(t *testing.T) {
	routes := routeConcurrency{}
	request := &QueuedRequest{Route: "l", ConcurrencyLimit: 0.25}
	for _, step := range []struct {
		capacity    float64
		withinLimit bool
	}{{0, true}, {4, false}, {8, true}, {8, false}} {
		if within := routes.withinLimit(request, step.capacity); within != step.withinLimit {
			t.Errorf("%d in flight, capacity %v: %v", routes["l"], step.capacity, within)
		}
		if step.withinLimit {
			routes.acquire("l")
		}
	}
	routes.release("l")
	routes.release("l")
	if len(routes) != 0 {
		t.Errorf("left: %v", routes)
	}
}
