package simulation

import (
	"time"

	"wardtray/verify/histories"
	"wardtray/wire"
)

// daemonCheck checks, after each step of a data daemon that would schedule requests, the configuration and the runners
// that it would use.
type daemonCheck struct {
	checker *Checker
	// served is the greatest epoch under which each daemon would have scheduled a request.
	served map[*Host]uint64
}

func newDaemonCheck(checker *Checker) *daemonCheck {
	return &daemonCheck{checker: checker, served: map[*Host]uint64{}}
}

// step checks the rules that a step of a running data daemon may have violated.
func (check *daemonCheck) step(host *Host) {
	checker, local := check.checker, host.localTime()
	world := checker.world
	world.isolations.refresh()
	snapshot := host.daemon.controller.Snapshot(local)
	if !local.Before(snapshot.ExpiresAt) || snapshot.Catalog == nil {
		checker.Refusals++
		return
	}
	checker.Decisions++
	check.requireNoOlderEpoch(host, snapshot.SpecEpoch)
	check.requireAcknowledged(host, snapshot.SpecEpoch)
	if world.RegisteringRunners != nil {
		world.RegisteringRunners.check.step(host, snapshot.Runners)
	}
	check.requireNoRemovedRunner(host, snapshot.Runners)
}

// requireNoOlderEpoch checks that a daemon does not return to an older configuration.
func (check *daemonCheck) requireNoOlderEpoch(host *Host, epoch uint64) {
	if served := check.served[host]; epoch < served {
		check.checker.violation("%s slipped back from epoch %d to %d", host.Address, served, epoch)
	}
	check.served[host] = epoch
}

// requireAcknowledged checks that a daemon applies every acknowledged change, except those that it may still ignore.
func (check *daemonCheck) requireAcknowledged(host *Host, epoch uint64) {
	acknowledged := check.checker.outcomes.acknowledged
	for index := len(acknowledged) - 1; index >= 0; index-- {
		order := acknowledged[index]
		if order.Epoch <= epoch {
			continue
		}
		elapsed := check.checker.world.Now.Sub(order.Got)
		if !check.mayIgnore(host, elapsed, histories.SpecBound) {
			check.checker.violation("%s awards under epoch %d, %v after %d was acknowledged", host.Address,
				epoch, elapsed, order.Epoch)
		}
	}
}

// requireNoRemovedRunner checks that a daemon drops a runner within histories.DrainingBound of its removal from the
// platform's list.
func (check *daemonCheck) requireNoRemovedRunner(host *Host, runners []*wire.Runner) {
	world := check.checker.world
	for _, runner := range runners {
		left, gone := world.Platform.removedAt[runner.RunnerId]
		if !gone {
			continue
		}
		elapsed := world.Now.Sub(left)
		check.checker.recordWorstCase("work to a leaving runner", elapsed)
		if elapsed > histories.DrainingBound {
			check.checker.violation("%s still has runner %s, %v after it left", host.Address, runner.RunnerId, elapsed)
		}
	}
}

// mayIgnore reports whether a daemon may still schedule without a change when the given time has elapsed since its
// acknowledgement: always within bound, and while the daemon is isolated from the control machines, for as long as its
// settings allow.
func (check *daemonCheck) mayIgnore(host *Host, elapsed, bound time.Duration) bool {
	checker, world := check.checker, check.checker.world
	if elapsed <= bound {
		checker.recordWorstCase("change ignored after the acknowledgement", elapsed)
		return true
	}
	if world.IsolationLimit == 0 {
		return false
	}
	isolation := world.isolations.of(host)
	if !isolation.since.IsZero() {
		length := world.Now.Sub(isolation.since)
		checker.recordWorstCase("older news used without the core", length)
		return length <= world.IsolationLimit+leaseBound
	}
	back := world.Now.Sub(isolation.finished)
	if isolation.finished.IsZero() || back > reconnectBound {
		return false
	}
	checker.recordWorstCase("older news used after the core was back", back)
	return isolation.finished.Sub(isolation.previous) <= world.IsolationLimit+leaseBound
}
