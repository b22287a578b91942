package registry

import (
	"time"

	"wardtray/wire"
)

// Deregister handles that a runner has ended. respond is called once, when the daemons know.
func (registrar *Registrar) Deregister(now time.Time, id string, respond func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.rejects(now, respond) {
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

// respondUnchanged responds to a call that changes nothing: at once, or with a broadcast of the leaving runner that is
// in progress.
func (registrar *Registrar) respondUnchanged(now time.Time, present *wire.Runner, outcome Outcome,
	respond func(outcome Outcome)) {
	// A core that heard of it only from another can't know whether that one lived to notify the daemons.
	if stages[present.State] > 0 && !registrar.broadcasts.announced[present.RunnerId] {
		registrar.broadcast(now, present, respond)
		return
	}
	if !registrar.broadcasts.attach(present.RunnerId, respond) {
		respond(outcome)
	}
}

// broadcast notifies everybody of a leaving runner and responds once every daemon has acknowledged. Where too many
// broadcasts are in progress, the record is sent with the next tick and not waited for.
func (registrar *Registrar) broadcast(now time.Time, record *wire.Runner, respond func(outcome Outcome)) {
	if registrar.broadcasts.full() {
		registrar.changed = append(registrar.changed, record)
		registrar.counters.Unconfirmed++
		respond(Accepted)
		return
	}
	registrar.broadcasts.start(now, record, respond)
}

// HandleAck handles a process's acknowledgement that it knows of a leaving runner.
func (registrar *Registrar) HandleAck(now time.Time, from string, message *wire.RunnerUpdateAck) {
	registrar.broadcasts.acknowledge(now, from, message.Nonce)
}
