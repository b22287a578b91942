package simulation

import (
	"time"
)

// RunFaults starts a deployment, injects faults for a minute, and checks that service recovers. With more faults at
// once than a deployment tolerates the safety rules still hold; only service may be interrupted.
func RunFaults(seed int64, shape Shape, names []string, atOnce int) *World {
	return RunFaultsEvery(seed, shape, names, atOnce, 700*time.Millisecond)
}

// RunFaultsEvery is RunFaults with the given mean interval between operators' requests; a short one overloads the
// control plane.
func RunFaultsEvery(seed int64, shape Shape, names []string, atOnce int, every time.Duration) *World {
	world := NewDeployment(seed, shape)
	world.Run(bootstrapTime)
	operators := startOperators(world, every)
	scheduleFaults(world, time.Minute, names, atOnce)
	world.Run(time.Minute + time.Millisecond)
	operators.Stop()
	if len(world.Check.Violations) > 0 {
		return world
	}
	world.recovery.requireService()
	world.Check.checkHistory()
	return world
}
