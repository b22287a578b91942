package registry

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

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
	for _, respond := range waiting {
		respond(Accepted)
	}
}

// announceCalls notifies the other cores which runners have called since this was last announced.
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
