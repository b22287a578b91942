package simulation

import (
	"time"
)

// Play founds a deployment, injects faults for a minute, and sees whether it recovers. Beyond what a deployment must
// bear, with several faults at once, the rules still hold; only service may rest.
func Play(seed int64, shape Shape, names []string, atOnce int) *World {
	return PlayEvery(seed, shape, names, atOnce, 700*time.Millisecond)
}

// PlayEvery is Play with operators that send about so often; often enough makes a storm.
func PlayEvery(seed int64, shape Shape, names []string, atOnce int, every time.Duration) *World {
	world := Found(seed, shape)
	world.Run(foundingTime)
	operators := startOperators(world, every)
	scheduleFaults(world, time.Minute, names, atOnce)
	world.Run(time.Minute + time.Millisecond)
	operators.Stop()
	if len(world.Check.Violations) > 0 {
		return world
	}
	world.recovery.requireService()
	world.Check.judge()
	return world
}
