package directory

import (
	"time"

	"wardtray/control/daemonlease"
	"wardtray/coordination/reservation"
	"wardtray/wire"
)

const (
	// syncTimeout is for how long replicas of reservations that are not synced are waited for before a change is made
	// that loses what they alone could have learned.
	syncTimeout = 2 * time.Second
	// formingTime is for how long at least nothing is said of the time before reservations were made: a daemon that
	// reaches no control machine may go on without making any (config/process, without_core).
	formingTime = 6 * time.Minute
)

// replicaPlanner derives the next membership of the daemons that hold reservations.
type replicaPlanner struct {
	leases *daemonlease.Leases
	// mayStart reports whether reservations may be brought into force: every control machine knows of them.
	mayStart func() bool
	// epoch is that of the present membership, and observed when it was first seen in the present term.
	epoch    uint64
	observed time.Time
}

// next returns the membership that is to follow the document's; nil: that one stays.
func (planner *replicaPlanner) next(leader daemonlease.DeliveryContext,
	document *wire.Document) *wire.ReservationMembership {
	present, holders := document.Reservations, planner.leases.Holders(leader)
	if planner.epoch != present.GetEpoch() || planner.observed.Before(leader.Since) {
		planner.epoch, planner.observed = present.GetEpoch(), leader.Now
	}
	all, noneDoesNot := holders.AllReserve(document.Directory)
	inForce := noneDoesNot
	if len(present.GetZones()) == 0 {
		inForce = all && planner.mayStart()
	}
	age := leader.Now.Sub(planner.observed)
	return reservation.Plan(present, reservation.Facts{
		InForce:     inForce,
		IsFounding:  len(document.Directory) == 0,
		IsFormed:    age >= formingTime && holders.AllActUnder(document.Directory, present.GetEpoch()),
		NewestEpoch: holders.NewestEpoch(),
		Candidates:  holders.Candidates(),
		HasEnded:    holders.HasEnded,
		IsSynced: func(replica reservation.Identity) bool {
			return holders.IsSynced(replica, present.GetEpoch())
		},
		MayLose: age >= syncTimeout,
	})
}
