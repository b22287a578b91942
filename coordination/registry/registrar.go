// Package registry is the table of runners that register themselves, replicated to every core and every data
// daemon. The records of a runner are merged by an order that all agree on, so that losses, repeats and the order
// of arrival do not matter. See docs/registry.md.
//
// # Contract
//
// Every process has an Exchange: a Table with the messages that keep it the same as those of others. A core has a
// Registrar besides, which accepts the runners' calls, notifies everybody of what changed, and reports runners silent
// that no core hears. Both are pure state machines. Their caller hands them received messages:
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
// least half of them, and is rejected where this core can't notify them; so a runner that was accepted as leaving may
// stop.
package registry

import (
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// DefaultHeartbeat is how often runners are expected to call where the settings say nothing.
const DefaultHeartbeat = time.Second

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

// markSilent reports a runner silent.
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
