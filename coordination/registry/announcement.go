package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

// otherProcesses returns the addresses of all other processes, sorted.
func (registrar *Registrar) otherProcesses(now time.Time) []string {
	others := map[string]bool{}
	for _, address := range append(registrar.environment.Daemons(now), registrar.environment.ControlNodes()...) {
		others[address] = true
	}
	return slices.Sorted(maps.Keys(others))
}

// sendChanged sends the records that changed since the last tick to every other process, in one message each, and
// accepts the calls that waited for this.
func (registrar *Registrar) sendChanged(now time.Time) {
	if len(registrar.changed) == 0 {
		return
	}
	update := &wire.RunnerUpdate{Runners: registrar.changed}
	registrar.changed = nil
	for _, address := range registrar.otherProcesses(now) {
		registrar.send(address, update)
	}
	responses := registrar.pendingResponses
	registrar.pendingResponses = nil
	for _, respond := range responses {
		respond(Accepted)
	}
}

// announceCalls sends the other control nodes the runners that have called since the last announcement.
func (registrar *Registrar) announceCalls(now time.Time) {
	calls := registrar.liveness.takeUnannounced(now)
	if len(calls) == 0 {
		return
	}
	message := &wire.RunnerHeartbeats{Calls: calls}
	for _, node := range registrar.environment.ControlNodes() {
		registrar.outbox.Send(node, &wire.Envelope{Body: &wire.Envelope_RunnerHeartbeats{RunnerHeartbeats: message}})
	}
}
