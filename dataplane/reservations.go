package dataplane

import (
	"time"

	"wardtray/coordination/reservation"
	"wardtray/dataplane/controller"
	"wardtray/proxy"
)

// planeReservations makes the reservations of the proxy's requests through the controller.
type planeReservations struct{ plane *Plane }

// reservations returns what makes the proxy's reservations; nil where none are made.
func (plane *Plane) reservations(areMade bool) proxy.Reservations {
	if !areMade {
		return nil
	}
	return planeReservations{plane: plane}
}

// Reserve begins to reserve a request.
func (reservations planeReservations) Reserve(key reservation.Key,
	sending reservation.Sending) (made *reservation.Reservation) {
	reservations.plane.act(func(now time.Time, machine *controller.Controller) {
		made = machine.Reserve(now, key, sending)
	})
	return made
}

// Release gives up a reservation.
func (reservations planeReservations) Release(held *reservation.Reservation) {
	reservations.plane.act(func(now time.Time, machine *controller.Controller) {
		machine.ReleaseReservation(now, held)
	})
}

// Finish ends the renewals of a reservation.
func (reservations planeReservations) Finish(held *reservation.Reservation) {
	reservations.plane.act(func(_ time.Time, machine *controller.Controller) { machine.FinishReservation(held) })
}

// act runs one step of the controller that changes nothing of what the request path reads, and sends its messages.
func (plane *Plane) act(do func(now time.Time, machine *controller.Controller)) {
	plane.mutex.Lock()
	defer plane.mutex.Unlock()
	do(plane.environment.Now(), plane.controller)
	plane.send(plane.controller.Ready())
}
