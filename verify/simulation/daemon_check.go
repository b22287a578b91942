package simulation

import (
	"time"

	"wardtray/verify/histories"
	"wardtray/wire"
)

// daemonCheck has data daemons schedule a request after each of their steps, if they would, and checks what they would
// go by.
type daemonCheck struct {
	checker *Checker
	// served is the greatest epoch under which each daemon would have scheduled a request.
	served map[*Host]uint64
}

func newDaemonCheck(checker *Checker) *daemonCheck {
	return &daemonCheck{checker: checker, served: map[*Host]uint64{}}
}

// step checks what a step of a running data daemon can have broken.
func (check *daemonCheck) step(host *Host) {
	checker, local := check.checker, host.local()
	world := checker.world
	world.isolations.refresh()
	snapshot := host.daemon.controller.Snapshot(local)
	if !local.Before(snapshot.Until) || snapshot.Catalog == nil {
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

// requireNoOlderEpoch checks that a daemon does not go back to an older configuration.
func (check *daemonCheck) requireNoOlderEpoch(host *Host, epoch uint64) {
	if served := check.served[host]; epoch < served {
		check.checker.violation("%s slipped back from epoch %d to %d", host.Address, served, epoch)
	}
	check.served[host] = epoch
}

// requireAcknowledged checks that a daemon goes by every acknowledged change, but those that it may ignore yet.
func (check *daemonCheck) requireAcknowledged(host *Host, epoch uint64) {
	acknowledged := check.checker.outcomes.acknowledged
	for index := len(acknowledged) - 1; index >= 0; index-- {
		order := acknowledged[index]
		if order.Epoch <= epoch {
			continue
		}
		late := check.checker.world.Now.Sub(order.Got)
		if !check.mayIgnore(host, late, histories.SpecBound) {
			check.checker.violation("%s awards under epoch %d, %v after %d was acknowledged", host.Address,
				epoch, late, order.Epoch)
		}
	}
}

// requireNoRemovedRunner checks that a daemon soon knows of a runner that the platform took off its list.
func (check *daemonCheck) requireNoRemovedRunner(host *Host, runners []*wire.Runner) {
	world := check.checker.world
	for _, runner := range runners {
		left, gone := world.Platform.removedAt[runner.RunnerId]
		if !gone {
			continue
		}
		late := world.Now.Sub(left)
		check.checker.recordWorst("work to a leaving runner", late)
		if late > histories.DrainingBound {
			check.checker.violation("%s still has runner %s, %v after it left", host.Address, runner.RunnerId, late)
		}
	}
}

// mayIgnore reports whether a daemon may still schedule by what it knew before something was acknowledged a while ago:
// within a bound in any case, and while it has been without the core, for the time that its settings allow.
func (check *daemonCheck) mayIgnore(host *Host, late, bound time.Duration) bool {
	checker, world := check.checker, check.checker.world
	if late <= bound {
		checker.recordWorst("change ignored after the acknowledgement", late)
		return true
	}
	if world.WithoutCore == 0 {
		return false
	}
	isolation := world.isolations.of(host)
	if !isolation.since.IsZero() {
		length := world.Now.Sub(isolation.since)
		checker.recordWorst("older news used without the core", length)
		return length <= world.WithoutCore+leaseBound
	}
	back := world.Now.Sub(isolation.finished)
	if isolation.finished.IsZero() || back > reconnectBound {
		return false
	}
	checker.recordWorst("older news used after the core was back", back)
	return isolation.finished.Sub(isolation.previous) <= world.WithoutCore+leaseBound
}
