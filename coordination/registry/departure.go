package registry

import (
	"time"

	"wardtray/wire"
)

// Deregister handles that a runner has ended. answer is called once, when the daemons know.
func (registrar *Registrar) Deregister(now time.Time, id string, answer func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.rejects(now, answer) {
		return
	}
	present := registrar.Record(id)
	if present.GetState() == Gone {
		registrar.answerUnchanged(now, present, Outdated, answer)
		return
	}
	if present == nil {
		present = &wire.Runner{RunnerId: id}
	}
	record := withState(present, Gone, registrar.latestCall(id))
	if merged, _ := registrar.Merge(now, []*wire.Runner{record}); len(merged) == 0 {
		registrar.counters.Refused++
		answer(TableFull)
		return
	}
	registrar.counters.Gone++
	registrar.liveness.remove(id)
	registrar.broadcast(now, record, answer)
}

// answerUnchanged answers a call that changes nothing: at once, or with a broadcast of the leaving
// runner that is in progress.
func (registrar *Registrar) answerUnchanged(now time.Time, present *wire.Runner, outcome Outcome,
	answer func(outcome Outcome)) {
	// A core that heard of it only from another can't know whether that one lived to tell the daemons.
	if stages[present.State] > 0 && !registrar.broadcasts.announced[present.RunnerId] {
		registrar.broadcast(now, present, answer)
		return
	}
	if !registrar.broadcasts.attach(present.RunnerId, answer) {
		answer(outcome)
	}
}

// broadcast tells everybody of a leaving runner and answers once every daemon has acknowledged.
// Where too many broadcasts are in progress, the record is sent with the next tick and not waited
// for.
func (registrar *Registrar) broadcast(now time.Time, record *wire.Runner, answer func(outcome Outcome)) {
	if registrar.broadcasts.full() {
		registrar.changed = append(registrar.changed, record)
		registrar.counters.Unconfirmed++
		answer(Accepted)
		return
	}
	registrar.broadcasts.start(now, record, answer)
}

// HandleAck handles a process's acknowledgement that it knows of a leaving runner.
func (registrar *Registrar) HandleAck(now time.Time, from string, message *wire.RunnerUpdateAck) {
	registrar.broadcasts.acknowledge(now, from, message.Nonce)
}
