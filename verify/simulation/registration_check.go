package simulation

import (
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

// leaveKnown is within what time of the acknowledgement no daemon uses a leaving runner any more.
const leaveKnown = 2 * time.Second

// registrationCheck compares the runners that daemons list with those that registered themselves.
type registrationCheck struct {
	runners *RegisteringRunners
	// knownBound is from when on a runner that calls must be listed by every daemon that schedules, after its first
	// acknowledgement; 0: no daemon must, since cores are cut apart.
	knownBound time.Duration
}

// step looks at what a daemon that schedules goes by.
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
		if incarnation.isSteady() && !listed[incarnation.id] {
			check.requireNewlyKnown(host, incarnation)
		}
	}
}

// requireNewlyKnown checks that a runner that a daemon lacks has not been known for long.
func (check *registrationCheck) requireNewlyKnown(host *Host, incarnation *runnerIncarnation) {
	world := check.runners.world
	missing := world.Now.Sub(incarnation.knownSince)
	world.Check.recordWorst("a new runner unknown", missing)
	if missing > check.knownBound {
		world.Check.violation("runner-lost: %s does not list %s, which was first acknowledged %v ago and calls",
			host.Address, incarnation.id, missing)
	}
}

// isUsed checks one line of a daemon's list; it reports whether the daemon would use the runner.
func (check *registrationCheck) isUsed(host *Host, runner *wire.Runner) bool {
	checker, incarnation := check.runners.world.Check, check.runners.byID[runner.RunnerId]
	if incarnation == nil {
		checker.violation("unknown-runner: %s lists %s, which nobody is", host.Address, runner.RunnerId)
		return false
	}
	if runner.State != registry.Ready && runner.State != registry.Cold {
		return false
	}
	if runner.Address != incarnation.address || runner.Service != incarnation.service {
		checker.violation("wrong-runner: %s has %s at %s", host.Address, runner.RunnerId, runner.Address)
	}
	if !incarnation.leftAt.IsZero() {
		check.requireLeavingUnused(host, incarnation)
	}
	return true
}

// requireLeavingUnused checks that a daemon which uses a leaving runner may still ignore that it leaves.
func (check *registrationCheck) requireLeavingUnused(host *Host, incarnation *runnerIncarnation) {
	checker, late := check.runners.world.Check, check.runners.world.Now.Sub(incarnation.leftAt)
	checker.recordWorst("work to a runner that said it leaves", late)
	if !checker.daemons.mayIgnore(host, late, leaveKnown) {
		checker.violation("leaving-used: %s still uses %s, %v after its leaving was acknowledged", host.Address,
			incarnation.id, late)
	}
}

// requireFinalLists compares what every daemon lists with who is there, after a calm time.
func (check *registrationCheck) requireFinalLists() {
	for _, host := range check.runners.world.Datas() {
		listed := map[string]bool{}
		for _, runner := range host.daemon.controller.Snapshot(host.local()).Runners {
			listed[runner.RunnerId] = true
			check.requireAlive(host, runner)
		}
		for _, incarnation := range check.runners.Incarnations {
			if incarnation.running && !listed[incarnation.id] {
				check.runners.world.Check.violation("runner-lost: %s does not list %s in a calm time", host.Address,
					incarnation.id)
			}
		}
	}
}

// requireAlive checks that a runner that a daemon lists runs, unless it is listed as draining.
func (check *registrationCheck) requireAlive(host *Host, runner *wire.Runner) {
	world, incarnation := check.runners.world, check.runners.byID[runner.RunnerId]
	if !incarnation.running && runner.State != registry.Draining {
		world.Check.violation("dead-listed: %s lists %s as %s, which ended %v ago, call %d of %d", host.Address,
			runner.RunnerId, runner.State, world.Now.Sub(incarnation.finishedAt), runner.Call, incarnation.call)
	}
}
