package registry

import (
	"time"

	"wardtray/wire"
)

const (
	// coldTolerance is by how much the reported remaining time of a cold runner may differ from the known one without
	// counting as a change; minimumCold is the least that counts where one of them is zero.
	coldTolerance = time.Second
	minimumCold   = 250 * time.Millisecond
)

// Register handles a runner's call. respond is called once: for a runner that drains when the daemons know.
func (registrar *Registrar) Register(now time.Time, record *wire.Runner, respond func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.rejects(now, respond) {
		return
	}
	present := registrar.Record(record.RunnerId)
	if registrar.isLate(present, record) {
		registrar.counters.Late++
		registrar.respondUnchanged(now, present, Outdated, respond)
		return
	}
	if present == nil && len(registrar.entries) >= MaximumRunners && !registrar.makeRoom() {
		registrar.counters.Refused++
		respond(TableFull)
		return
	}
	call := max(record.Call, registrar.latestCall(record.RunnerId))
	registrar.liveness.heard(now, record.RunnerId, call, true)
	if present.GetState() == Draining {
		registrar.respondUnchanged(now, present, Accepted, respond)
		return
	}
	if !registrar.differs(now, present, record) {
		respond(Accepted)
		return
	}
	registrar.enter(now, present, record)
	if record.State == Draining {
		registrar.counters.Drained++
		registrar.broadcast(now, record, respond)
		return
	}
	// A core that stops immediately after an acknowledgement must not be the only one that knows.
	registrar.waiting = append(registrar.waiting, respond)
	if len(registrar.others(now)) == 0 {
		registrar.sendChanged(now)
	}
}

// isLate reports whether a call is older than what is known. A runner that starts to drain is never late.
func (registrar *Registrar) isLate(present, record *wire.Runner) bool {
	if present == nil {
		return false
	}
	if record.State == Draining && stages[present.State] < stages[Draining] {
		return false
	}
	return record.Call <= registrar.latestCall(record.RunnerId) || present.State == Gone
}

// rejects rejects a call where no other process could learn of it, so that the runner calls another core.
func (registrar *Registrar) rejects(now time.Time, respond func(outcome Outcome)) bool {
	if !registrar.environment.HearsNobody(now) {
		return false
	}
	registrar.counters.Refused++
	respond(Unreachable)
	return true
}

// enter merges the record of a runner's call, to be sent to everybody.
func (registrar *Registrar) enter(now time.Time, present, record *wire.Runner) {
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

// displace calls those runners silent at whose address another has called. An address has one
// runner at a time, and the last that called is the one; if that was an old call, the next one
// corrects it.
func (registrar *Registrar) displace(now time.Time, record *wire.Runner) {
	for _, id := range registrar.ids() {
		other := registrar.Record(id)
		if id != record.RunnerId && serving[other.State] && other.Address == record.Address {
			registrar.markSilent(now, id)
		}
	}
}

// differs reports whether a call says something that is not known yet; most calls do not.
func (registrar *Registrar) differs(now time.Time, present, record *wire.Runner) bool {
	if present == nil || !live[present.State] || !sameProperties(present, record) {
		return true
	}
	known, reported := registrar.coldFor(now, record.RunnerId), time.Duration(0)
	if record.State == Cold {
		reported = time.Duration(record.SlowStartMilliseconds) * time.Millisecond
	}
	difference := (known - reported).Abs()
	return difference > coldTolerance || (known == 0 || reported == 0) && difference > minimumCold
}

// sameProperties reports whether two records of a runner differ at most in their call and in how
// cold the runner is.
func sameProperties(left, right *wire.Runner) bool {
	return left.Address == right.Address && left.Zone == right.Zone && left.Service == right.Service &&
		left.Slots == right.Slots && left.Revision == right.Revision &&
		(left.State == Draining) == (right.State == Draining)
}
