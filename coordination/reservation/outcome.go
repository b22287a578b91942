package reservation

import (
	"time"
)

// Outcome is the outcome of a reservation.
type Outcome string

// The outcomes of a reservation.
const (
	// Pending: the reservation is not decided yet.
	Pending Outcome = ""
	// Granted: this daemon, and no other, may run the request.
	Granted Outcome = "granted"
	// Taken: the request was reserved before and may have run.
	Taken Outcome = "taken"
	// InDoubt: the replicas may have lost reservations since the request was first sent, so that it may have run.
	InDoubt Outcome = "in doubt"
	// Unreachable: too few replicas answered in time.
	Unreachable Outcome = "unreachable"
	// Full: too many replicas hold the maximum number of reservations.
	Full Outcome = "full"
	// NotInForce: the membership names no replica, so that nothing is reserved.
	NotInForce Outcome = "not in force"
)

// Counters count the reservations of a coordinator by outcome.
type Counters struct {
	Granted     uint64 `json:"granted"`
	Taken       uint64 `json:"taken"`
	InDoubt     uint64 `json:"in_doubt"`
	Unreachable uint64 `json:"unreachable"`
	Full        uint64 `json:"full"`
	// OtherZone counts first attempts that were granted by another zone than the daemon's own.
	OtherZone uint64 `json:"other_zone"`
}

// Reservation is one attempt to reserve a request. Its outcome may be read once Done is closed.
type Reservation struct {
	key     Key
	token   uint64
	attempt ClientAttempt
	done    chan struct{}
	outcome Outcome
	// retryAfter is the time after which a replica has capacity again, where the outcome is Full.
	retryAfter time.Duration

	deadline time.Time
	// zones holds the zones to ask. For a retry, all are asked at once, and all must grant. For a first attempt, they are
	// asked one after the other, beginning at current, and any one may grant.
	zones        []*zoneVote
	current      int
	zoneDeadline time.Time
	// contacted holds the addresses of the replicas that were asked.
	contacted map[string]bool
	// isRenewed is set while the reservation must be renewed: from its grant until Finish or Release.
	isRenewed bool
	renewedAt time.Time
}

// Decided returns a reservation with a given outcome, for which no replica was asked.
func Decided(outcome Outcome, retryAfter time.Duration) *Reservation {
	reservation := &Reservation{outcome: outcome, retryAfter: retryAfter, done: make(chan struct{})}
	close(reservation.done)
	return reservation
}

// Done returns a channel that is closed once the reservation is decided.
func (reservation *Reservation) Done() <-chan struct{} { return reservation.done }

// Outcome returns the outcome of the reservation; Pending before Done is closed.
func (reservation *Reservation) Outcome() Outcome {
	select {
	case <-reservation.done:
		return reservation.outcome
	default:
		return Pending
	}
}

// RetryAfter returns the time after which a replica has capacity again, where the outcome is Full.
func (reservation *Reservation) RetryAfter() time.Duration { return reservation.retryAfter }

// Counters returns the counters.
func (coordinator *Coordinator) Counters() Counters { return coordinator.counters }
