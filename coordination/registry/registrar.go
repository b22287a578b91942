// Package registry holds the table of registered runners, replicated to every control node and every data daemon. All
// processes merge the records of a runner by the same total order, so that losses, repetitions and the order of arrival
// do not matter. See docs/registry.md.
//
// # Contract
//
// Every process has an Exchange: a Table with the messages that keep it consistent with the others. A control node also
// has a Registrar, which accepts the runners' calls, notifies every process of changes, and marks runners silent whose
// calls no control node receives. Both are pure state machines. Their caller passes them received messages:
//
//   - updates to Registrar.HandleUpdate or Exchange.HandleUpdate, digests to Exchange.HandleDigest, checksums to
//     Exchange.HandleChecksum;
//   - at a control node, acknowledgements to Registrar.HandleAck and the heartbeats of other control nodes to
//     Registrar.HandleHeartbeats.
//
// It calls Registrar.Tick often, and drains the outbox after each call (see package statemachine). They are not safe
// for concurrent use; records are never modified.
//
// Each incarnation of a runner has its own id, and its calls carry increasing numbers. A runner that drains or is gone
// never returns under its id. Messages may be lost, repeated and reordered; processes may crash, freeze and be cut off.
// The call of a leaving runner is accepted only once all data daemons have acknowledged its record, or after a bounded
// wait at least half of them, and is rejected if this control node can't notify them. A runner whose call was accepted
// may therefore stop.
package registry

import (
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// DefaultHeartbeat is the interval between a runner's calls if the settings don't state one.
const DefaultHeartbeat = time.Second

// Environment holds the registrar's callbacks to its control node.
type Environment struct {
	// Daemons returns the data daemons that must be notified of leaving runners, ControlNodes the other control nodes.
	Daemons      func(now time.Time) []string
	ControlNodes func() []string
	// HearsMostControlNodes reports whether this control node receives messages from a majority of the control nodes,
	// IsIsolated whether it receives messages from no other process.
	HearsMostControlNodes func(now time.Time) bool
	IsIsolated            func(now time.Time) bool
}

// Counters count the calls that a registrar handled and the changes they caused. Unconfirmed counts the calls that were
// accepted before every daemon had acknowledged.
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

// Registrar accepts the runners' calls at one control node.
type Registrar struct {
	*Exchange
	environment Environment
	liveness    liveness
	broadcasts  broadcasts
	// changed holds the records that the next tick sends to every process, pendingResponses the responses to the calls
	// that wait for this.
	changed          []*wire.Runner
	pendingResponses []func(outcome Outcome)
	counters         Counters
}

// NewRegistrar returns the registrar of a control node that has just started. The nonces of its broadcasts start above
// incarnation, which must be drawn at random at each start of the process: otherwise a late acknowledgement by a daemon
// that was paused could count for a broadcast of another incarnation. If heartbeat is not positive, DefaultHeartbeat
// applies.
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

// Counters returns the counters.
func (registrar *Registrar) Counters() Counters { return registrar.counters }

// latestCall returns the greatest known call number of a runner.
func (registrar *Registrar) latestCall(id string) uint64 {
	return max(registrar.Record(id).GetCall(), registrar.liveness.call(id))
}

// HandleHeartbeats handles the calls that another control node announces. A control node also relays calls that others
// announced, so that two control nodes that are cut off from each other do not mark each other's runners silent.
func (registrar *Registrar) HandleHeartbeats(now time.Time, message *wire.RunnerHeartbeats) {
	for _, version := range message.Calls {
		if registrar.Record(version.RunnerId) != nil && version.Call > registrar.latestCall(version.RunnerId) {
			registrar.liveness.recordCall(now, version.RunnerId, version.Call, false)
		}
	}
}

// HandleUpdate merges the records that another process sent. A runner that another control node marks silent, but that
// has called since, is announced as ready with the next tick.
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

// Resume restarts all silence timeouts after this control node was frozen, since it received no calls meanwhile.
func (registrar *Registrar) Resume(now time.Time) { registrar.liveness.resume(now) }

// Tick sends due messages, prunes the table and checks the liveness of runners.
func (registrar *Registrar) Tick(now time.Time) {
	registrar.Prune(now)
	registrar.broadcasts.tick(now)
	registrar.announceCalls(now)
	registrar.checkLiveness(now)
	registrar.sendChanged(now)
}

// markSilent sets the state of a runner to Silent.
func (registrar *Registrar) markSilent(now time.Time, id string) {
	registrar.counters.Silent++
	registrar.setState(now, id, Silent)
}

// setState sets the state of a runner as its latest version, which the next tick sends to every process.
func (registrar *Registrar) setState(now time.Time, id, state string) {
	record := withState(registrar.Record(id), state, registrar.latestCall(id))
	registrar.Merge(now, []*wire.Runner{record})
	registrar.changed = append(registrar.changed, record)
}
