package dataplane

import (
	"time"

	"wardtray/dataplane/controller"
)

// Drain starts draining: the daemon is no longer ready, but still accepts requests that arrive.
func (plane *Plane) Drain() {
	plane.drainStarted = plane.environment.Now()
	plane.Handler.Draining.Store(true)
	plane.Step(func(_ time.Time, machine *controller.Controller) { machine.StartDraining() })
}

// Drained reports whether no request is in flight and draining has lasted for at least length. In that time the
// platform notices that the daemon is not ready.
func (plane *Plane) Drained(length time.Duration) bool {
	elapsed := plane.environment.Now().Sub(plane.drainStarted)
	return elapsed >= length && plane.Handler.InFlight.Load() == 0
}

// Ready reports whether the daemon is ready to receive clients: it is not draining, has a valid configuration and may
// dispatch requests.
func (plane *Plane) Ready() bool {
	snapshot := plane.Snapshot()
	if plane.Handler.Draining.Load() || snapshot.Catalog == nil || !plane.environment.Now().Before(snapshot.ExpiresAt) {
		return false
	}
	// A daemon that knows no runner can serve no request; until it does, clients should use other daemons.
	return len(snapshot.Runners) > 0 || len(snapshot.Catalog.Routes) == 0
}
