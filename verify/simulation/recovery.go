package simulation

import (
	"time"

	"wardtray/control/node"
	"wardtray/verify/histories"
	"wardtray/wire"
)

const (
	// returnBound is within what time of the last fault a change is acknowledged and every daemon serves under it.
	returnBound = histories.ReturnBound
	// repairBound is within what time of the end of the faults the fleet is fully redundant.
	repairBound = 15 * time.Second
	// scrubAllowance is how long damage on a disk may go unfound: until the next sweep, and a while to mend it.
	scrubAllowance = 6 * time.Second
	// recoveryPollInterval is how often a recovery that is waited for is looked at.
	recoveryPollInterval = 100 * time.Millisecond
	// recoveryOrderTimeout is after what time a change without an answer is sent anew as another one.
	recoveryOrderTimeout = 2 * time.Second
	// recoveryOrders is above the numbers of all changes that ordinary operators send.
	recoveryOrders = 1_000_000
	// toleratedPending is how many entries a member may have pending while it counts as up to date.
	toleratedPending = 2
)

// recoveryCheck says whether a fleet has its full redundancy and its service back after faults, and reports a
// violation where that takes longer than its bound.
type recoveryCheck struct {
	world *World
	// unscrubbedUntil is up to when damage on a disk may not have been found yet.
	unscrubbedUntil time.Time
}

// noteDiskDamage has the fleet count as not redundant until a sweep must have found the damage that was just done.
func (recovery *recoveryCheck) noteDiskDamage() {
	recovery.unscrubbedUntil = recovery.world.Now.Add(scrubAllowance)
}

// isRedundant reports whether every core is in the chain and the acceptors are live and complete.
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

// hasRejoined reports whether a running core is up to date, holds the lease where it is the chain's head, has nothing
// to warn of that can be mended, and knows a chain of all cores under the newest view.
func (recovery *recoveryCheck) hasRejoined(host *Host) bool {
	status, view := host.core.node.Status(host.local()), host.core.node.View()
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

// isHead reports whether a machine of this status is the first of a view's chain.
func isHead(view *wire.View, status node.Status) bool {
	return len(view.Chain) > 0 && view.Chain[0].Id == status.ID
}

// hasSpareDisks reports whether there are disks and zones enough for everything that the status page wants; where there
// are not, its warnings stay.
func (recovery *recoveryCheck) hasSpareDisks() bool {
	cores, zones := recovery.world.Cores(), map[string]bool{}
	for _, host := range cores {
		zones[host.Zone] = true
	}
	return len(cores) > 2*recovery.world.Faults && len(zones) > 2
}

// newestView returns the newest view that any core knows.
func (recovery *recoveryCheck) newestView() *wire.View {
	newest := &wire.View{}
	for _, host := range recovery.world.Cores() {
		if host.core.node != nil && host.core.node.View().Epoch > newest.Epoch {
			newest = host.core.node.View()
		}
	}
	return newest
}

// requireService runs the world until service is back, and reports a violation if it is not within returnBound.
func (recovery *recoveryCheck) requireService() {
	check := recovery.world.Check
	took, restored := recovery.awaitService(returnBound)
	check.recordWorst("service after the last fault", took)
	if !restored && len(check.Violations) == 0 {
		check.violation("not recovered %v after the last fault\n%s", returnBound, recovery.world.Describe())
	}
}

// awaitService runs the world until a change is acknowledged and every daemon serves under it, at most for a bound. It
// returns how long that took and whether it came about.
func (recovery *recoveryCheck) awaitService(bound time.Duration) (took time.Duration, restored bool) {
	world := recovery.world
	started, operators := world.Now, newOperators(world, recoveryOrders)
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

// allServe reports whether every daemon holds a lease on a configuration of at least an epoch.
func (recovery *recoveryCheck) allServe(epoch uint64) bool {
	for _, host := range recovery.world.Datas() {
		if !host.up || !host.daemon.holdsLease() ||
			host.daemon.controller.Snapshot(host.local()).SpecEpoch < epoch {
			return false
		}
	}
	return true
}

// requireRedundancy runs the world until it is fully redundant, and reports a violation if it is not within repairBound
// of the end of the faults.
func (recovery *recoveryCheck) requireRedundancy(faultsEnded time.Time) {
	world := recovery.world
	for !recovery.isRedundant() && len(world.Check.Violations) == 0 {
		if world.Now.Sub(faultsEnded) > repairBound {
			world.Check.violation("not fully redundant %v after the last fault\n%s", repairBound, world.Describe())
		}
		world.Run(recoveryPollInterval)
	}
	world.Check.recordWorst("full redundancy after the last fault", world.Now.Sub(faultsEnded))
}

// whenRepaired calls a function once nothing that the last fault took is missing any more: a deployment must bear one
// loss at a time, and a loss lasts until it is repaired. faults tells since when no fault has ended, and whether one
// goes on; a violation is reported where none does and the repair takes longer than repairBound.
func (recovery *recoveryCheck) whenRepaired(faults func() (lastEnded time.Time, active bool), repaired func()) {
	world := recovery.world
	lastEnded, active := faults()
	if recovery.isRedundant() {
		world.Check.recordWorst("full redundancy after a fault", world.Now.Sub(lastEnded))
		repaired()
		return
	}
	if !active && world.Now.Sub(lastEnded) > repairBound {
		world.Check.violation("not fully redundant %v after a fault\n%s", repairBound, world.Describe())
	}
	world.After(recoveryPollInterval, func() { recovery.whenRepaired(faults, repaired) })
}
