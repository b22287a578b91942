package simulation

import (
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

// drainingKnownBound is the time after the acknowledgement within which all daemons stop using a draining runner.
const drainingKnownBound = 2 * time.Second

// registrationCheck compares the runners that daemons list with those that have registered.
type registrationCheck struct {
	runners *RegisteringRunners
	// knownBound is the time after a runner's first acknowledgement from which every daemon that schedules must list the
	// runner while it keeps calling; 0: not required, since control machines are partitioned.
	knownBound time.Duration
}

// step checks the runner list of a daemon that schedules.
func (check *registrationCheck) step(host *Host, runners []*wire.Runner) {
	listed := map[string]bool{}
	for _, runner := range runners {
		if check.isUsed(host, runner) {
			listed[runner.RunnerId] = true
		}
	}
	if check.knownBound == 0 {
		return
	}
	for _, incarnation := range check.runners.Incarnations {
		if incarnation.isRegistered() && !listed[incarnation.id] {
			check.requireNewlyKnown(host, incarnation)
		}
	}
}

// requireNewlyKnown checks that a runner that a daemon does not list was registered less than knownBound ago.
func (check *registrationCheck) requireNewlyKnown(host *Host, incarnation *runnerIncarnation) {
	world := check.runners.world
	missing := world.Now.Sub(incarnation.knownSince)
	world.Check.recordWorstCase("a new runner unknown", missing)
	if missing > check.knownBound {
		world.Check.violation("runner-lost: %s does not list %s, which was first acknowledged %v ago and calls",
			host.Address, incarnation.id, missing)
	}
}

// isUsed checks one entry of a daemon's list, and reports whether the daemon would use the runner.
func (check *registrationCheck) isUsed(host *Host, runner *wire.Runner) bool {
	checker, incarnation := check.runners.world.Check, check.runners.byID[runner.RunnerId]
	if incarnation == nil {
		checker.violation("unknown-runner: %s lists %s, an id that no runner has", host.Address, runner.RunnerId)
		return false
	}
	if runner.State != registry.Ready && runner.State != registry.Cold {
		return false
	}
	if runner.Address != incarnation.address || runner.Service != incarnation.service {
		checker.violation("wrong-runner: %s has %s at %s", host.Address, runner.RunnerId, runner.Address)
	}
	if !incarnation.leftAt.IsZero() {
		check.requireDrainingUnused(host, incarnation)
	}
	return true
}

// requireDrainingUnused checks that a daemon that uses a draining runner may still ignore that the runner drains.
func (check *registrationCheck) requireDrainingUnused(host *Host, incarnation *runnerIncarnation) {
	checker, elapsed := check.runners.world.Check, check.runners.world.Now.Sub(incarnation.leftAt)
	checker.recordWorstCase("work to a runner that said it leaves", elapsed)
	if !checker.daemons.mayIgnore(host, elapsed, drainingKnownBound) {
		checker.violation("leaving-used: %s still uses %s, %v after its draining was acknowledged", host.Address,
			incarnation.id, elapsed)
	}
}

// requireFinalLists compares every daemon's list with the running incarnations, after a period without faults.
func (check *registrationCheck) requireFinalLists() {
	for _, host := range check.runners.world.Daemons() {
		listed := map[string]bool{}
		for _, runner := range host.daemon.controller.Snapshot(host.localTime()).Runners {
			listed[runner.RunnerId] = true
			check.requireAlive(host, runner)
		}
		for _, incarnation := range check.runners.Incarnations {
			if incarnation.running && !listed[incarnation.id] {
				check.runners.world.Check.violation("runner-lost: %s does not list %s after a period without faults", host.Address,
					incarnation.id)
			}
		}
	}
}

// requireAlive checks that a listed runner runs, unless it is listed as draining.
func (check *registrationCheck) requireAlive(host *Host, runner *wire.Runner) {
	world, incarnation := check.runners.world, check.runners.byID[runner.RunnerId]
	if !incarnation.running && runner.State != registry.Draining {
		world.Check.violation("dead-listed: %s lists %s as %s, which ended %v ago, call %d of %d", host.Address,
			runner.RunnerId, runner.State, world.Now.Sub(incarnation.finishedAt), runner.Call, incarnation.call)
	}
}
