package directory

import (
	"time"

	"wardtray/control/daemonlease"
	"wardtray/coordination/reservation"
	"wardtray/wire"
)

const (
	// syncTimeout is the time to wait for reservation replicas that are not synced. After that the membership is changed
	// even if reservations are lost that only these replicas could still have received.
	syncTimeout = 2 * time.Second
	// formingTime is the age of a membership from which on no daemon can still serve without reservations under an earlier
	// one: a daemon that reaches no control machine, and so does not learn of the membership, may serve for that long
	// (config/process, without_core).
	formingTime = 6 * time.Minute
)

// replicaPlanner derives the next membership of the daemons that hold reservations.
type replicaPlanner struct {
	leases *daemonlease.Leases
	// mayStart reports whether reservations may be brought into force: every control machine supports them.
	mayStart func() bool
	// epoch is that of the current membership, observed the time at which it was first seen in the current term.
	epoch    uint64
	observed time.Time
}

// next returns the membership that replaces the document's; nil if the document's membership stays in force.
func (planner *replicaPlanner) next(leader daemonlease.DeliveryContext,
	document *wire.Document) *wire.ReservationMembership {
	current, holders := document.Reservations, planner.leases.Holders(leader)
	if planner.epoch != current.GetEpoch() || planner.observed.Before(leader.Since) {
		planner.epoch, planner.observed = current.GetEpoch(), leader.Now
	}
	all, noException := holders.AllReserve(document.Directory)
	inForce := noException
	if len(current.GetZones()) == 0 {
		inForce = all && planner.mayStart()
	}
	age := leader.Now.Sub(planner.observed)
	return reservation.Plan(current, reservation.PlanInput{
		InForce:            inForce,
		IsFounding:         len(document.Directory) == 0,
		EarlierEpochsEnded: age >= formingTime && holders.AllActUnder(document.Directory, current.GetEpoch()),
		NewestEpoch:        holders.NewestEpoch(),
		Candidates:         holders.Candidates(),
		HasEnded:           holders.HasEnded,
		IsSynced: func(replica reservation.Identity) bool {
			return holders.IsSynced(replica, current.GetEpoch())
		},
		AllowLoss: age >= syncTimeout,
	})
}
