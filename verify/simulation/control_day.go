package simulation

import "time"

const (
	// foundingTime is how long a deployment has to found itself before anything is done to it.
	foundingTime = 8 * time.Second
)

// ControlDay is what happens to the control plane, for a length of time, while operators race. Its faults are over at
// its end.
type ControlDay struct {
	Length time.Duration
	// RaceEvery is how often two operators race, LostAnswers the part of the answers that don't reach them.
	RaceEvery   time.Duration
	LostAnswers float64
	// WithoutCore, where it is given, is the setting of the data daemons; negative stands for 0.
	WithoutCore time.Duration
	// Fleeting means that more was lost than a deployment bears: nothing wrong may be done, but service may not come
	// back.
	Fleeting bool
	// begin plans the day's faults.
	begin func(world *World)
}

// PlayControlDay founds a deployment, plays the day, and sees whether all that was acknowledged is there, nothing that
// was refused is, and service and redundancy come back.
func PlayControlDay(seed int64, shape Shape, day ControlDay) (*World, *Racers) {
	world := Found(seed, shape, func(world *World) {
		if day.WithoutCore != 0 {
			world.WithoutCore = max(0, day.WithoutCore)
		}
	})
	world.Run(foundingTime)
	racers := startRacers(world, day.RaceEvery, day.LostAnswers)
	world.Run(time.Second)
	day.begin(world)
	world.Run(day.Length + time.Millisecond)
	if day.Fleeting {
		racers.Stop()
		world.Check.judge()
		return world, racers
	}
	faultsEnded := world.Now
	world.recovery.requireService()
	world.recovery.requireRedundancy(faultsEnded)
	racers.Stop()
	if len(world.Check.Violations) == 0 {
		readBack(world)
	}
	world.Check.judge()
	return world, racers
}
