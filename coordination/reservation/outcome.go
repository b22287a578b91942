package reservation

import (
	"time"
)

// Outcome is what became of a reservation.
type Outcome string

// The outcomes of a reservation.
const (
	// Pending: it is not decided yet.
	Pending Outcome = ""
	// Granted: this daemon, and no other, may run the request.
	Granted Outcome = "granted"
	// Taken: the request was reserved before, and may have run.
	Taken Outcome = "taken"
	// InDoubt: the request was first sent at a time of which the replicas may have lost something, so that it may have
	// run.
	InDoubt Outcome = "in doubt"
	// Unreachable: too few replicas answered in time.
	Unreachable Outcome = "unreachable"
	// Full: too many replicas have no room.
	Full Outcome = "full"
	// NotInForce: no membership names any replica, so nothing is reserved.
	NotInForce Outcome = "not in force"
)

// Counters count what a coordinator has done.
type Counters struct {
	Granted     uint64 `json:"granted"`
	Taken       uint64 `json:"taken"`
	InDoubt     uint64 `json:"in_doubt"`
	Unreachable uint64 `json:"unreachable"`
	Full        uint64 `json:"full"`
	// OtherZone counts the grants of requests sent for the first time that came from another zone than the daemon's own.
	OtherZone uint64 `json:"other_zone"`
}

// Reservation is one attempt to reserve a request. Its outcome may be read once Done is closed.
type Reservation struct {
	key     Key
	token   uint64
	sending Sending
	done    chan struct{}
	outcome Outcome
	// roomAfter is after what time there is room, where the outcome is Full.
	roomAfter time.Duration

	deadline time.Time
	// zones are asked at the same time where all of them must grant it, and one after the other, from current on, where
	// any may.
	zones        []*zoneVote
	current      int
	zoneDeadline time.Time
	// contacted are the addresses of the replicas that were asked.
	contacted map[string]bool
	// isRenewed is set while it is renewed.
	isRenewed bool
	renewedAt time.Time
}

// Decided returns a reservation that is decided from the beginning, of which no replica knows.
func Decided(outcome Outcome, roomAfter time.Duration) *Reservation {
	reservation := &Reservation{outcome: outcome, roomAfter: roomAfter, done: make(chan struct{})}
	close(reservation.done)
	return reservation
}

// Done is closed once the reservation is decided.
func (reservation *Reservation) Done() <-chan struct{} { return reservation.done }

// Outcome returns what became of the reservation; Pending before Done is closed.
func (reservation *Reservation) Outcome() Outcome {
	select {
	case <-reservation.done:
		return reservation.outcome
	default:
		return Pending
	}
}

// RoomAfter returns after what time there is room, where the outcome is Full.
func (reservation *Reservation) RoomAfter() time.Duration { return reservation.roomAfter }

// Counters returns what was counted.
func (coordinator *Coordinator) Counters() Counters { return coordinator.counters }
