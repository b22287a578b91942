package registry

import (
	"time"

	"wardtray/wire"
)

// Deregister handles the report that a runner has ended. It calls respond once, when the daemons have been notified or
// the call is rejected.
func (registrar *Registrar) Deregister(now time.Time, id string, respond func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.rejectIfIsolated(now, respond) {
		return
	}
	present := registrar.Record(id)
	if present.GetState() == Gone {
		registrar.respondUnchanged(now, present, Outdated, respond)
		return
	}
	if present == nil {
		present = &wire.Runner{RunnerId: id}
	}
	record := withState(present, Gone, registrar.latestCall(id))
	if merged, _ := registrar.Merge(now, []*wire.Runner{record}); len(merged) == 0 {
		registrar.counters.Refused++
		respond(TableFull)
		return
	}
	registrar.counters.Gone++
	registrar.liveness.remove(id)
	registrar.broadcast(now, record, respond)
}

// respondUnchanged responds to a call that changes nothing: at once or, while a broadcast of the leaving runner is in
// progress, with the outcome of the broadcast.
func (registrar *Registrar) respondUnchanged(now time.Time, present *wire.Runner, outcome Outcome,
	respond func(outcome Outcome)) {
	// A control node that learned only from another one that the runner leaves can't know whether the other one has
	// notified the daemons or crashed before it did.
	if stages[present.State] > 0 && !registrar.broadcasts.announced[present.RunnerId] {
		registrar.broadcast(now, present, respond)
		return
	}
	if !registrar.broadcasts.attach(present.RunnerId, respond) {
		respond(outcome)
	}
}

// broadcast sends the record of a leaving runner to every process and responds once the outcome of the broadcast is
// decided. If too many broadcasts are in progress, the record is sent with the next tick and the call is accepted at
// once.
func (registrar *Registrar) broadcast(now time.Time, record *wire.Runner, respond func(outcome Outcome)) {
	if registrar.broadcasts.full() {
		registrar.changed = append(registrar.changed, record)
		registrar.counters.Unconfirmed++
		respond(Accepted)
		return
	}
	registrar.broadcasts.start(now, record, respond)
}

// HandleAck handles a process's acknowledgement of the update of a leaving runner.
func (registrar *Registrar) HandleAck(now time.Time, from string, message *wire.RunnerUpdateAck) {
	registrar.broadcasts.acknowledge(now, from, message.Nonce)
}
