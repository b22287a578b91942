// Package registry is the table of runners that register themselves, replicated to every core and every data
// daemon. The records of a runner are merged by an order that all agree on, so that losses, repeats and the order
// of arrival do not matter. See docs/registry.md.
//
// # Contract
//
// Every process has an Exchange: a Table with the messages that keep it the same as those of others. A core has a
// Registrar besides, which accepts the runners' calls, tells everybody what changed, and calls runners silent that
// no core hears. Both are pure state machines. Their caller hands them received messages:
//
//   - updates to Registrar.HandleUpdate or Exchange.HandleUpdate, digests to Exchange.HandleDigest, checksums to
//     Exchange.HandleChecksum;
//   - at a core, acknowledgements to Registrar.HandleAck and the heartbeats of other cores to
//     Registrar.HandleHeartbeats.
//
// It calls Registrar.Tick often, and after each call drains the outbox (see package statemachine). They are not
// safe for concurrent use; records are never modified.
//
// A runner's id is used by one incarnation only, and its calls carry rising numbers. A runner that drains or is
// gone never comes back under its id. Messages may be lost, repeated and reordered; processes may crash, freeze and
// be cut off. The call of a leaving runner is accepted only once the data daemons know, or after a bounded wait at
// least half of them, and is rejected where this core can't tell them; so a runner that was accepted as leaving may
// stop.
package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// DefaultHeartbeat is how often runners are expected to call where the settings say nothing.
	DefaultHeartbeat = time.Second
	// coldTolerance is by how much the reported remaining time of a cold runner may differ from the
	// known one without counting as a change; minimumCold is the least that counts where one of
	// them is zero.
	coldTolerance = time.Second
	minimumCold   = 250 * time.Millisecond
)

// Outcome is how a call ended.
type Outcome string

const (
	// Accepted is a call that was accepted.
	Accepted Outcome = "taken"
	// Outdated is a call that is older than what is known.
	Outdated Outcome = "late"
	// TableFull is a call for which the table has no room.
	TableFull Outcome = "full"
	// Unreachable is a call that was not accepted since this core can't tell the other processes.
	Unreachable Outcome = "unheard"
)

// Environment is what a registrar needs to know of its core.
type Environment struct {
	// Daemons returns the data daemons that must know who leaves, Cores the other cores.
	Daemons func(now time.Time) []string
	Cores   func() []string
	// HearsMostCores reports whether this core hears most of the cores, Environment.HearsNobody that it hears
	// nobody at all.
	HearsMostCores func(now time.Time) bool
	HearsNobody    func(now time.Time) bool
}

// Counters are what a registrar counts. Unconfirmed are the calls that were accepted before every
// daemon had acknowledged.
type Counters struct {
	Calls       uint64 `json:"Calls"`
	Registered  uint64 `json:"Registered"`
	Revived     uint64 `json:"Revived"`
	Late        uint64 `json:"Late"`
	Silent      uint64 `json:"Silent"`
	Drained     uint64 `json:"Drained"`
	Gone        uint64 `json:"Gone"`
	Unconfirmed uint64 `json:"Unconfirmed"`
	Refused     uint64 `json:"Refused"`
	Retried     uint64 `json:"Repeated"`
}

// Registrar accepts the runners' calls at one core.
type Registrar struct {
	*Exchange
	environment Environment
	liveness    liveness
	broadcasts  broadcasts
	// changed are the records that the next tick sends to everybody, and waiting the calls that
	// wait for it.
	changed  []*wire.Runner
	waiting  []func(outcome Outcome)
	counters Counters
}

// NewRegistrar returns the registrar of a core that has just started. The nonces of its broadcasts begin above
// incarnation, which has to be drawn at random by each start of the process: an acknowledgement of a broadcast of an
// earlier incarnation, which a daemon that was paused may send late, then never counts for one of this incarnation.
// Without a heartbeat DefaultHeartbeat holds.
func NewRegistrar(now time.Time, heartbeat time.Duration, incarnation uint64, outbox *statemachine.Outbox,
	environment Environment) *Registrar {
	if heartbeat <= 0 {
		heartbeat = DefaultHeartbeat
	}
	registrar := &Registrar{
		Exchange: NewExchange(outbox), environment: environment, liveness: newLiveness(now, heartbeat),
	}
	registrar.broadcasts = newBroadcasts(registrar.Exchange, environment, &registrar.counters, incarnation)
	return registrar
}

// Counters returns what was counted.
func (registrar *Registrar) Counters() Counters { return registrar.counters }

// latestCall returns the greatest number of a call known of a runner.
func (registrar *Registrar) latestCall(id string) uint64 {
	return max(registrar.Record(id).GetCall(), registrar.liveness.call(id))
}

// Register handles a runner's call. answer is called once: for a runner that drains when the daemons know.
func (registrar *Registrar) Register(now time.Time, record *wire.Runner, answer func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.rejects(now, answer) {
		return
	}
	present := registrar.Record(record.RunnerId)
	if registrar.isLate(present, record) {
		registrar.counters.Late++
		registrar.answerUnchanged(now, present, Outdated, answer)
		return
	}
	if present == nil && len(registrar.entries) >= MaximumRunners && !registrar.makeRoom() {
		registrar.counters.Refused++
		answer(TableFull)
		return
	}
	call := max(record.Call, registrar.latestCall(record.RunnerId))
	registrar.liveness.heard(now, record.RunnerId, call, true)
	if present.GetState() == Draining {
		registrar.answerUnchanged(now, present, Accepted, answer)
		return
	}
	if !registrar.differs(now, present, record) {
		answer(Accepted)
		return
	}
	registrar.enter(now, present, record)
	if record.State == Draining {
		registrar.counters.Drained++
		registrar.broadcast(now, record, answer)
		return
	}
	// A core that stops immediately after an acknowledgement must not be the only one that knows.
	registrar.waiting = append(registrar.waiting, answer)
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
func (registrar *Registrar) rejects(now time.Time, answer func(outcome Outcome)) bool {
	if !registrar.environment.HearsNobody(now) {
		return false
	}
	registrar.counters.Refused++
	answer(Unreachable)
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

// HandleHeartbeats handles which calls another core has heard of. A core forwards what it heard from others
// too, so that two cores that are cut off from each other do not call each other's runners silent.
func (registrar *Registrar) HandleHeartbeats(now time.Time, message *wire.RunnerHeartbeats) {
	for _, version := range message.Calls {
		if registrar.Record(version.RunnerId) != nil && version.Call > registrar.latestCall(version.RunnerId) {
			registrar.liveness.heard(now, version.RunnerId, version.Call, false)
		}
	}
}

// HandleUpdate merges what another process sent. A runner that another core calls silent, but that has
// called since, is announced as ready with the next tick.
func (registrar *Registrar) HandleUpdate(now time.Time, from string, message *wire.RunnerUpdate) {
	for _, record := range registrar.Exchange.HandleUpdate(now, from, message) {
		if record.State != Silent || !registrar.liveness.contradicts(now, record) {
			continue
		}
		registrar.counters.Revived++
		revived := withState(record, Ready, registrar.liveness.call(record.RunnerId))
		registrar.Merge(now, []*wire.Runner{revived})
		registrar.changed = append(registrar.changed, revived)
	}
}

// Resume handles that this core was frozen: what it did not hear meanwhile says nothing.
func (registrar *Registrar) Resume(now time.Time) { registrar.liveness.resume(now) }

// Tick does what is due.
func (registrar *Registrar) Tick(now time.Time) {
	registrar.Prune(now)
	registrar.broadcasts.tick(now)
	registrar.announceCalls(now)
	registrar.checkLiveness(now)
	registrar.sendChanged(now)
}

// others returns every other process.
func (registrar *Registrar) others(now time.Time) []string {
	others := map[string]bool{}
	for _, address := range append(registrar.environment.Daemons(now), registrar.environment.Cores()...) {
		others[address] = true
	}
	return slices.Sorted(maps.Keys(others))
}

// sendChanged sends every process what changed since the last tick, in one message each.
func (registrar *Registrar) sendChanged(now time.Time) {
	if len(registrar.changed) == 0 {
		return
	}
	update := &wire.RunnerUpdate{Runners: registrar.changed}
	registrar.changed = nil
	for _, address := range registrar.others(now) {
		registrar.send(address, update)
	}
	waiting := registrar.waiting
	registrar.waiting = nil
	for _, answer := range waiting {
		answer(Accepted)
	}
}

// announceCalls tells the other cores which runners have called since this was last announced.
func (registrar *Registrar) announceCalls(now time.Time) {
	calls := registrar.liveness.unannounced(now)
	if len(calls) == 0 {
		return
	}
	message := &wire.RunnerHeartbeats{Calls: calls}
	for _, core := range registrar.environment.Cores() {
		registrar.outbox.Send(core, &wire.Envelope{Body: &wire.Envelope_RunnerHeartbeats{RunnerHeartbeats: message}})
	}
}

// markSilent calls a runner silent.
func (registrar *Registrar) markSilent(now time.Time, id string) {
	registrar.counters.Silent++
	registrar.setState(now, id, Silent)
}

// setState gives a runner a state as its latest version, to be sent to everybody.
func (registrar *Registrar) setState(now time.Time, id, state string) {
	record := withState(registrar.Record(id), state, registrar.latestCall(id))
	registrar.Merge(now, []*wire.Runner{record})
	registrar.changed = append(registrar.changed, record)
}
