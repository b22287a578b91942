package daemonlease

import (
	"time"

	"wardtray/coordination/reservation"
	"wardtray/wire"
)

// clockTolerance is the fraction by which a time span may be longer on the head's clock than on a daemon's.
const clockTolerance = 0.05

// Holders derives the state of the daemons that hold reservations from their lease requests.
type Holders struct {
	leases *Leases
	// leader provides the current time, and the time since which this process has led.
	leader DeliveryContext
}

// Holders returns the state of the holders of reservations as of leader.Now.
func (leases *Leases) Holders(leader DeliveryContext) Holders {
	return Holders{leases: leases, leader: leader}
}

// Candidates returns, in no order, the daemons that could hold reservations: those that are alive, make reservations
// themselves and are not draining.
func (holders Holders) Candidates() []reservation.Candidate {
	var candidates []reservation.Candidate
	for address, known := range holders.leases.daemons {
		isActive := !known.draining && holders.leader.Now.Sub(known.liveness.lastSeen) < holders.leases.duration
		if known.reservations == nil || !isActive || known.terminated.After(known.lastRequest) {
			continue
		}
		candidates = append(candidates, reservation.Candidate{
			Identity:              reservation.Identity{Address: address, Incarnation: known.liveness.incarnation},
			Zone:                  known.zone,
			IsolationMilliseconds: known.reservations.IsolationMilliseconds,
		})
	}
	return candidates
}

// HasEnded reports whether a replica certainly grants no more reservations: its address refused a connection, another
// process is alive there, or it has been silent for longer than a process that reaches no control machine may serve.
func (holders Holders) HasEnded(replica *wire.ReservationReplica) bool {
	known, lastSeen := holders.leases.daemons[replica.Address], holders.leader.Since
	if known != nil {
		if known.terminated.After(holders.leader.Since) && known.terminated.After(known.lastRequest) {
			return true
		}
		if known.liveness.incarnation != 0 {
			if known.liveness.incarnation != replica.Incarnation {
				return true
			}
			lastSeen = known.liveness.lastSeen
		}
	}
	isolation := time.Duration(replica.IsolationMilliseconds) * time.Millisecond
	longest := holders.leases.Length() + isolation + time.Duration(float64(isolation)*clockTolerance)
	return holders.leader.Now.Sub(lastSeen) > longest
}

// IsSynced reports whether a replica has reported that it holds everything that it must know in an epoch.
func (holders Holders) IsSynced(replica reservation.Identity, epoch uint64) bool {
	known := holders.leases.daemons[replica.Address]
	return known != nil && known.liveness.incarnation == replica.Incarnation && known.reservations.GetSynced() &&
		known.reservations.GetEpoch() == epoch
}

// NewestEpoch returns the newest epoch of a membership under which any daemon has reported that it acts.
func (holders Holders) NewestEpoch() uint64 {
	newest := uint64(0)
	for _, known := range holders.leases.daemons {
		newest = max(newest, known.reservations.GetEpoch())
	}
	return newest
}

// AllReserve reports two conditions. noException: every daemon that has requested a lease makes reservations. all: this
// holds, and every daemon of a directory has been heard.
func (holders Holders) AllReserve(directory []*wire.Member) (all, noException bool) {
	all, noException = true, true
	for _, member := range directory {
		all = all && holders.leases.daemons[member.Address] != nil
	}
	for _, known := range holders.leases.daemons {
		if known.requests > 0 && known.reservations == nil {
			all, noException = false, false
		}
	}
	return all, noException
}

// AllActUnder reports whether every daemon of a directory has reported that it acts under an epoch or a later one.
func (holders Holders) AllActUnder(directory []*wire.Member, epoch uint64) bool {
	for _, member := range directory {
		known := holders.leases.daemons[member.Address]
		if known == nil || known.reservations.GetEpoch() < epoch {
			return false
		}
	}
	return true
}

// AnyReserves reports whether any daemon that requests leases makes reservations.
func (leases *Leases) AnyReserves() bool {
	for _, known := range leases.daemons {
		if known.reservations != nil {
			return true
		}
	}
	return false
}
