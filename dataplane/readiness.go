package dataplane

import (
	"time"

	"wardtray/dataplane/controller"
)

// Drain starts a planned stop: the daemon is no longer ready, but requests that still arrive are accepted.
func (plane *Plane) Drain() {
	plane.drainStarted = plane.environment.Now()
	plane.Handler.Draining.Store(true)
	plane.Step(func(_ time.Time, machine *controller.Controller) { machine.StartDraining() })
}

// Drained reports whether the platform has had some time to notice that, and no request is in flight.
func (plane *Plane) Drained(length time.Duration) bool {
	elapsed := plane.environment.Now().Sub(plane.drainStarted)
	return elapsed >= length && plane.Handler.InFlight.Load() == 0
}

// Ready reports whether the daemon is ready, so that clients should be sent to it.
func (plane *Plane) Ready() bool {
	snapshot := plane.Snapshot()
	if plane.Handler.Draining.Load() || snapshot.Catalog == nil || !plane.environment.Now().Before(snapshot.Until) {
		return false
	}
	// A daemon that knows no runner serves nobody; clients do better elsewhere until it knows some.
	return len(snapshot.Runners) > 0 || len(snapshot.Catalog.Routes) == 0
}
