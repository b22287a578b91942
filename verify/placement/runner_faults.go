package placement

import (
	"math"
	"time"
)

const (
	// slowRunnerFactor is the slowdown of the runners of BatchExperiment.Slow.
	slowRunnerFactor = 3
	// crashDetectionTime is the time until a crashed runner is removed from the list, after several missing heartbeats.
	crashDetectionTime = 3600 * time.Millisecond
	// runnerDrainTime is the time for which a replaced runner drains before it stops.
	runnerDrainTime = 3 * time.Second
)

// scheduleFaults schedules the faults in the middle third of Length and the replacements over all of it.
func (simulated *batchSimulation) scheduleFaults() {
	experiment, world := simulated.experiment, simulated.world
	third := experiment.Length / 3
	world.After(third, func() {
		for _, runner := range simulated.drawRunners(experiment.Slow) {
			runner.slowdown = slowRunnerFactor
			world.After(third, func() { runner.slowdown = 1 })
		}
		for _, runner := range simulated.drawRunners(experiment.Crash) {
			simulated.crashRunner(runner, third)
		}
	})
	intervals := time.Duration(1 + int(experiment.Release*float64(len(simulated.runners.list))))
	for index, runner := range simulated.drawRunners(experiment.Release) {
		world.After(time.Duration(index+1)*experiment.Length/intervals, func() { simulated.replaceRunner(runner) })
	}
}

// inMiddle reports whether the current time is in the middle third of Length.
func (simulated *batchSimulation) inMiddle() bool {
	since := simulated.world.Now.Sub(simulated.started)
	return since >= simulated.experiment.Length/3 && since < 2*simulated.experiment.Length/3
}

// drawRunners returns a random share (0 to 1) of the runners.
func (simulated *batchSimulation) drawRunners(share float64) []*batchRunner {
	all := simulated.runners.list
	count := int(math.Round(share * float64(len(all))))
	drawn := make([]*batchRunner, 0, count)
	for _, index := range simulated.random.Perm(len(all))[:count] {
		drawn = append(drawn, all[index])
	}
	return drawn
}

// crashRunner stops a runner abruptly; a new runner in its zone replaces it after replacedAfter.
func (simulated *batchSimulation) crashRunner(runner *batchRunner, replacedAfter time.Duration) {
	runner.crash()
	simulated.world.After(crashDetectionTime, func() { simulated.removeRunner(runner) })
	simulated.world.After(replacedAfter, func() {
		simulated.runners.add(runner.zone)
		simulated.updateListings()
	})
}

// replaceRunner starts a new runner in the zone of another, which it drains and then stops.
func (simulated *batchSimulation) replaceRunner(runner *batchRunner) {
	simulated.runners.drain(runner)
	simulated.runners.add(runner.zone)
	simulated.updateListings()
	simulated.world.After(runnerDrainTime, func() { simulated.removeRunner(runner) })
}

func (simulated *batchSimulation) removeRunner(runner *batchRunner) {
	simulated.runners.remove(runner)
	simulated.updateListings()
}

// updateListings sends the current runner list to all daemons.
func (simulated *batchSimulation) updateListings() {
	for _, daemon := range simulated.daemons {
		daemon.table.UpdateListing(simulated.world.Now, simulated.runners.copyListing())
	}
}
