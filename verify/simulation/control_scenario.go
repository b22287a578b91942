package simulation

import "time"

const (
	// bootstrapTime is the time for which a new deployment starts up before a scenario sends changes or injects faults.
	bootstrapTime = 8 * time.Second
)

// ControlScenario is a schedule of faults of the control plane while operators send conflicting changes. All its faults
// have ended when its length is over.
type ControlScenario struct {
	Length time.Duration
	// ConflictEvery is the interval between two pairs of conflicting changes, LostAnswers the fraction of the answers that
	// don't reach their operators.
	ConflictEvery time.Duration
	LostAnswers   float64
	// IsolationLimit overrides World.IsolationLimit; 0 keeps the default and a negative value stands for 0.
	IsolationLimit time.Duration
	// ExceedsTolerance means that more is lost than a deployment tolerates: the safety rules must still hold, but service
	// need not recover.
	ExceedsTolerance bool
	// begin schedules the faults.
	begin func(world *World)
}

// RunControlScenario starts a deployment, runs the scenario, and checks that all acknowledged changes are kept, that no
// refused change is in effect, and that service and redundancy recover.
func RunControlScenario(seed int64, shape Shape, scenario ControlScenario) (*World, *ConcurrentWriters) {
	world := NewDeployment(seed, shape, func(world *World) {
		if scenario.IsolationLimit != 0 {
			world.IsolationLimit = max(0, scenario.IsolationLimit)
		}
	})
	world.Run(bootstrapTime)
	writers := startConcurrentWriters(world, scenario.ConflictEvery, scenario.LostAnswers)
	world.Run(time.Second)
	scenario.begin(world)
	world.Run(scenario.Length + time.Millisecond)
	if scenario.ExceedsTolerance {
		writers.Stop()
		world.Check.checkHistory()
		return world, writers
	}
	faultsEnded := world.Now
	world.recovery.requireService()
	world.recovery.requireRedundancy(faultsEnded)
	writers.Stop()
	if len(world.Check.Violations) == 0 {
		readBack(world)
	}
	world.Check.checkHistory()
	return world, writers
}
