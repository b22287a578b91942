package dataplane

import (
	"time"

	"wardtray/coordination/reservation"
	"wardtray/dataplane/controller"
	"wardtray/proxy"
)

// planeReservations implements proxy.Reservations on the plane's controller.
type planeReservations struct{ plane *Plane }

// reservations returns the proxy's interface to reservations, or nil if they are disabled.
func (plane *Plane) reservations(enabled bool) proxy.Reservations {
	if !enabled {
		return nil
	}
	return planeReservations{plane: plane}
}

// Reserve starts the reservation of a client attempt of an at-most-once request.
func (reservations planeReservations) Reserve(key reservation.Key,
	clientAttempt reservation.ClientAttempt) (started *reservation.Reservation) {
	reservations.plane.stepInternal(func(now time.Time, machine *controller.Controller) {
		started = machine.Reserve(now, key, clientAttempt)
	})
	return started
}

// Release releases a reservation whose request did not and will not run.
func (reservations planeReservations) Release(held *reservation.Reservation) {
	reservations.plane.stepInternal(func(now time.Time, machine *controller.Controller) {
		machine.ReleaseReservation(now, held)
	})
}

// Finish stops the renewals of a reservation.
func (reservations planeReservations) Finish(held *reservation.Reservation) {
	reservations.plane.stepInternal(func(_ time.Time, machine *controller.Controller) { machine.FinishReservation(held) })
}

// stepInternal runs one step of the controller that does not change the snapshot, and sends the messages that result
// from it.
func (plane *Plane) stepInternal(do func(now time.Time, machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.environment.Now(), plane.controller)
	plane.send(plane.controller.Ready())
}
