package simulation

import (
	"time"

	"wardtray/control/node"
	"wardtray/verify/histories"
	"wardtray/wire"
)

const (
	// recoveryBound is the time after the last fault within which a change is acknowledged and every daemon serves under
	// it.
	recoveryBound = histories.RecoveryBound
	// repairBound is the time after the end of the faults within which the fleet is fully redundant.
	repairBound = 15 * time.Second
	// scrubAllowance is the longest time for which damage on a disk may stay undetected: until the next scrub, and the
	// time to repair it.
	scrubAllowance = 6 * time.Second
	// recoveryPollInterval is the interval at which an awaited recovery is checked.
	recoveryPollInterval = 100 * time.Millisecond
	// recoveryOrderTimeout is the time after which a change without an answer is abandoned and a new one is sent.
	recoveryOrderTimeout = 2 * time.Second
	// recoveryOperations is the offset of these operators' operation numbers, beyond those of the other operators.
	recoveryOperations = 1_000_000
	// toleratedPending is the number of entries that a member may have pending while it counts as up to date.
	toleratedPending = 2
)

// recoveryCheck checks whether a fleet has regained its full redundancy and its service after faults, and reports a
// violation where that exceeds its bound.
type recoveryCheck struct {
	world *World
	// unscrubbedUntil is the time until which damage on a disk may be undetected.
	unscrubbedUntil time.Time
}

// noteDiskDamage marks the fleet as not redundant until a scrub must have found the damage that was just done.
func (recovery *recoveryCheck) noteDiskDamage() {
	recovery.unscrubbedUntil = recovery.world.Now.Add(scrubAllowance)
}

// isRedundant reports whether all control machines run, are in the chain and are up to date.
func (recovery *recoveryCheck) isRedundant() bool {
	world := recovery.world
	if world.Now.Before(recovery.unscrubbedUntil) {
		return false
	}
	for _, host := range world.Cores() {
		if !host.up || host.frozen || !recovery.hasRejoined(host) {
			return false
		}
	}
	return true
}

// hasRejoined reports whether a running control machine is up to date, holds the lease if it is the head, has no
// warning that can be resolved, and knows a chain of all control machines under the newest view.
func (recovery *recoveryCheck) hasRejoined(host *Host) bool {
	status, view := host.core.node.Status(host.localTime()), host.core.node.View()
	if status.Position != "outside" && status.Pending > toleratedPending {
		return false
	}
	if isHead(view, status) && !status.HoldsLease {
		return false
	}
	if len(status.Warnings) > 0 && recovery.hasSpareDisks() {
		return false
	}
	return len(view.Chain) == min(len(recovery.world.Cores()), host.core.node.ChainLimit()) &&
		view.Epoch == recovery.newestView().Epoch
}

// isHead reports whether a machine with this status is the first of a view's chain.
func isHead(view *wire.View, status node.Status) bool {
	return len(view.Chain) > 0 && view.Chain[0].Id == status.ID
}

// hasSpareDisks reports whether there are enough disks and zones for all recommendations of the status page; otherwise
// its warnings stay.
func (recovery *recoveryCheck) hasSpareDisks() bool {
	cores, zones := recovery.world.Cores(), map[string]bool{}
	for _, host := range cores {
		zones[host.Zone] = true
	}
	return len(cores) > 2*recovery.world.Faults && len(zones) > 2
}

// newestView returns the newest view that any control machine knows.
func (recovery *recoveryCheck) newestView() *wire.View {
	newest := &wire.View{}
	for _, host := range recovery.world.Cores() {
		if host.core.node != nil && host.core.node.View().Epoch > newest.Epoch {
			newest = host.core.node.View()
		}
	}
	return newest
}

// requireService runs the world until service is back, and reports a violation if that takes longer than recoveryBound.
func (recovery *recoveryCheck) requireService() {
	check := recovery.world.Check
	took, restored := recovery.awaitService(recoveryBound)
	check.recordWorstCase("service after the last fault", took)
	if !restored && len(check.Violations) == 0 {
		check.violation("not recovered %v after the last fault\n%s", recoveryBound, recovery.world.Describe())
	}
}

// awaitService runs the world until a change is acknowledged and every daemon serves under it, at most for a bound. It
// returns the time that this took and whether it happened.
func (recovery *recoveryCheck) awaitService(bound time.Duration) (took time.Duration, restored bool) {
	world := recovery.world
	started, operators := world.Now, newOperators(world, recoveryOperations)
	var order *Order
	for world.Now.Sub(started) < bound && len(world.Check.Violations) == 0 {
		if order == nil || order.isRefused() ||
			!order.isAnswered() && world.Now.Sub(order.Sent) > recoveryOrderTimeout {
			order = operators.applyNewest()
		}
		world.Run(recoveryPollInterval)
		if order.isAccepted() && recovery.allServe(order.Epoch) {
			return world.Now.Sub(started), true
		}
	}
	return bound, false
}

// allServe reports whether every daemon holds a lease on a configuration of at least this epoch.
func (recovery *recoveryCheck) allServe(epoch uint64) bool {
	for _, host := range recovery.world.Daemons() {
		if !host.up || !host.daemon.holdsLease() ||
			host.daemon.controller.Snapshot(host.localTime()).SpecEpoch < epoch {
			return false
		}
	}
	return true
}

// requireRedundancy runs the world until it is fully redundant, and reports a violation if that takes longer than
// repairBound after the end of the faults.
func (recovery *recoveryCheck) requireRedundancy(faultsEnded time.Time) {
	world := recovery.world
	for !recovery.isRedundant() && len(world.Check.Violations) == 0 {
		if world.Now.Sub(faultsEnded) > repairBound {
			world.Check.violation("not fully redundant %v after the last fault\n%s", repairBound, world.Describe())
		}
		world.Run(recoveryPollInterval)
	}
	world.Check.recordWorstCase("full redundancy after the last fault", world.Now.Sub(faultsEnded))
}

// whenRepaired calls a function once the fleet is fully redundant again: a deployment must tolerate one loss at a time,
// and a loss lasts until it is repaired. faults returns the time at which a fault last ended and whether one is active.
// whenRepaired reports a violation if no fault is active and the repair takes longer than repairBound.
func (recovery *recoveryCheck) whenRepaired(faults func() (lastEnded time.Time, active bool), repaired func()) {
	world := recovery.world
	lastEnded, active := faults()
	if recovery.isRedundant() {
		world.Check.recordWorstCase("full redundancy after a fault", world.Now.Sub(lastEnded))
		repaired()
		return
	}
	if !active && world.Now.Sub(lastEnded) > repairBound {
		world.Check.violation("not fully redundant %v after a fault\n%s", repairBound, world.Describe())
	}
	world.After(recoveryPollInterval, func() { recovery.whenRepaired(faults, repaired) })
}
