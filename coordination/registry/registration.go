package registry

import (
	"time"

	"wardtray/wire"
)

const (
	// coldTolerance is the difference between the reported and the known remaining slow start up to which a call changes
	// nothing; minimumCold is that difference if one of them is zero.
	coldTolerance = time.Second
	minimumCold   = 250 * time.Millisecond
)

// Register handles a runner's call. It calls respond once: for a runner that starts to drain, when the daemons have
// been notified.
func (registrar *Registrar) Register(now time.Time, record *wire.Runner, respond func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.rejectIfIsolated(now, respond) {
		return
	}
	present := registrar.Record(record.RunnerId)
	if registrar.isOutdated(present, record) {
		registrar.counters.Late++
		registrar.respondUnchanged(now, present, Outdated, respond)
		return
	}
	if present == nil && len(registrar.entries) >= MaximumRunners && !registrar.evictOldest() {
		registrar.counters.Refused++
		respond(TableFull)
		return
	}
	call := max(record.Call, registrar.latestCall(record.RunnerId))
	registrar.liveness.recordCall(now, record.RunnerId, call, true)
	if present.GetState() == Draining {
		registrar.respondUnchanged(now, present, Accepted, respond)
		return
	}
	if !registrar.differs(now, present, record) {
		respond(Accepted)
		return
	}
	registrar.storeCall(now, present, record)
	if record.State == Draining {
		registrar.counters.Drained++
		registrar.broadcast(now, record, respond)
		return
	}
	// The response waits until the record was sent: if this control node crashed after an earlier response, no other
	// process would know the runner.
	registrar.pendingResponses = append(registrar.pendingResponses, respond)
	if len(registrar.otherProcesses(now)) == 0 {
		registrar.sendChanged(now)
	}
}

// isOutdated reports whether a call is older than the known state of its runner. The call with which a runner starts to
// drain is never outdated.
func (registrar *Registrar) isOutdated(present, record *wire.Runner) bool {
	if present == nil {
		return false
	}
	if record.State == Draining && stages[present.State] < stages[Draining] {
		return false
	}
	return record.Call <= registrar.latestCall(record.RunnerId) || present.State == Gone
}

// rejectIfIsolated rejects a call if no other process could learn of it, so that the runner calls another control node.
// It reports whether it did.
func (registrar *Registrar) rejectIfIsolated(now time.Time, respond func(outcome Outcome)) bool {
	if !registrar.environment.IsIsolated(now) {
		return false
	}
	registrar.counters.Refused++
	respond(Unreachable)
	return true
}

// storeCall merges the record of a runner's call and queues it for every process.
func (registrar *Registrar) storeCall(now time.Time, present, record *wire.Runner) {
	if present == nil {
		registrar.counters.Registered++
	} else if present.State == Silent {
		registrar.counters.Revived++
	}
	registrar.Merge(now, []*wire.Runner{record})
	if present == nil || present.State == Silent || present.Address != record.Address {
		registrar.displace(now, record)
	}
	if record.State != Draining {
		registrar.changed = append(registrar.changed, record)
	}
}

// displace marks other runners silent that have the address of a runner that called. Only one runner at a time can have
// an address, and the one that called last counts; if that call was a delayed one, the next call of the actual runner
// corrects this.
func (registrar *Registrar) displace(now time.Time, record *wire.Runner) {
	for _, id := range registrar.ids() {
		other := registrar.Record(id)
		if id != record.RunnerId && serving[other.State] && other.Address == record.Address {
			registrar.markSilent(now, id)
		}
	}
}

// differs reports whether a call changes the known record; most calls do not.
func (registrar *Registrar) differs(now time.Time, present, record *wire.Runner) bool {
	if present == nil || !live[present.State] || !sameProperties(present, record) {
		return true
	}
	known, reported := registrar.remainingCold(now, record.RunnerId), time.Duration(0)
	if record.State == Cold {
		reported = time.Duration(record.SlowStartMilliseconds) * time.Millisecond
	}
	difference := (known - reported).Abs()
	return difference > coldTolerance || (known == 0 || reported == 0) && difference > minimumCold
}

// sameProperties reports whether two records of a runner differ at most in their call, their slow start and a live
// state other than Draining.
func sameProperties(left, right *wire.Runner) bool {
	return left.Address == right.Address && left.Zone == right.Zone && left.Service == right.Service &&
		left.Slots == right.Slots && left.Revision == right.Revision &&
		(left.State == Draining) == (right.State == Draining)
}
