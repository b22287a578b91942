package placement

import (
	"math"
	"time"
)

const (
	// slowRunnerFactor is how many times slower the runners of Play.Slow are.
	slowRunnerFactor = 3
	// crashDetectionTime is after how long a crashed runner is off the list: some of its calls have to be missing.
	crashDetectionTime = 3600 * time.Millisecond
	// runnerDrainTime is how long a runner that is replaced still has for its work.
	runnerDrainTime = 3 * time.Second
)

// scheduleFaults plans what goes wrong in the middle third, and the replacements over the whole length.
func (simulated *batchSimulation) scheduleFaults() {
	play, world := simulated.play, simulated.world
	third := play.Length / 3
	world.After(third, func() {
		for _, runner := range simulated.drawRunners(play.Slow) {
			runner.slowdown = slowRunnerFactor
			world.After(third, func() { runner.slowdown = 1 })
		}
		for _, runner := range simulated.drawRunners(play.Crash) {
			simulated.crashRunner(runner, third)
		}
	})
	intervals := time.Duration(1 + int(play.Release*float64(len(simulated.runners.list))))
	for index, runner := range simulated.drawRunners(play.Release) {
		world.After(time.Duration(index+1)*play.Length/intervals, func() { simulated.replaceRunner(runner) })
	}
}

// inMiddle reports whether the middle third of the length is now.
func (simulated *batchSimulation) inMiddle() bool {
	since := simulated.world.Now.Sub(simulated.started)
	return since >= simulated.play.Length/3 && since < 2*simulated.play.Length/3
}

// drawRunners returns a part (0 to 1) of the runners at random.
func (simulated *batchSimulation) drawRunners(part float64) []*batchRunner {
	all := simulated.runners.list
	count := int(math.Round(part * float64(len(all))))
	drawn := make([]*batchRunner, 0, count)
	for _, index := range simulated.random.Perm(len(all))[:count] {
		drawn = append(drawn, all[index])
	}
	return drawn
}

// crashRunner ends a runner without notice; another takes its place after a while.
func (simulated *batchSimulation) crashRunner(runner *batchRunner, replacedAfter time.Duration) {
	runner.crash()
	simulated.world.After(crashDetectionTime, func() { simulated.removeRunner(runner) })
	simulated.world.After(replacedAfter, func() {
		simulated.runners.add(runner.zone)
		simulated.updateListings()
	})
}

// replaceRunner drains a runner beside one that takes its place.
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

// updateListings gives all daemons the list of runners.
func (simulated *batchSimulation) updateListings() {
	for _, daemon := range simulated.daemons {
		daemon.table.UpdateListing(simulated.world.Now, simulated.runners.copyListing())
	}
}
