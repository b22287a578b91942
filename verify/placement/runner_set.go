package placement

import (
	"fmt"
	"slices"

	"wardtray/balancer/kvblock"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

// runnerSet has the batch runners of a simulation and the list of them that daemons are given.
type runnerSet struct {
	world   *simulation.World
	figures Figures
	byID    map[string]*batchRunner
	// list and listing are in the order in which runners were added.
	list    []*batchRunner
	listing []*wire.Runner
	// added is how many runners there ever were.
	added int
}

// add starts a runner with an empty cache in a zone, and lists it.
func (runners *runnerSet) add(zone string) {
	runner := &batchRunner{
		id:       fmt.Sprintf("r%03d", runners.added),
		zone:     zone,
		figures:  runners.figures,
		slowdown: 1,
		world:    runners.world,
		cache:    emulator.NewCache[kvblock.BlockKey](runners.figures.MemoryTokens * 3 / 4),
		reports:  reportHistory{lag: int(runners.figures.ReportLag / batchReportPeriod)},
	}
	runners.added++
	runners.byID[runner.id] = runner
	runners.list = append(runners.list, runner)
	runners.listing = append(runners.listing, &wire.Runner{
		RunnerId: runner.id,
		Zone:     zone,
		Service:  runnerService,
		State:    runnerReady,
		Slots:    uint32(runners.figures.Slots),
	})
}

// available returns a runner by its id, or nil where it was removed or has crashed.
func (runners *runnerSet) available(id string) *batchRunner {
	if runner := runners.byID[id]; runner != nil && !runner.crashed {
		return runner
	}
	return nil
}

// drain lists a runner as draining.
func (runners *runnerSet) drain(runner *batchRunner) {
	for _, line := range runners.listing {
		if line.RunnerId == runner.id {
			line.State = runnerDraining
		}
	}
}

// remove ends a runner and takes it off the list.
func (runners *runnerSet) remove(removed *batchRunner) {
	delete(runners.byID, removed.id)
	runners.listing = slices.DeleteFunc(slices.Clone(runners.listing),
		func(line *wire.Runner) bool { return line.RunnerId == removed.id })
	runners.list = slices.DeleteFunc(slices.Clone(runners.list),
		func(runner *batchRunner) bool { return runner == removed })
	removed.crash()
}

// copyListing returns the list as a daemon gets it, which later changes don't touch.
func (runners *runnerSet) copyListing() []*wire.Runner {
	listing := make([]*wire.Runner, 0, len(runners.listing))
	for _, line := range runners.listing {
		listing = append(listing, &wire.Runner{
			RunnerId: line.RunnerId,
			Zone:     line.Zone,
			Service:  line.Service,
			State:    line.State,
			Slots:    line.Slots,
		})
	}
	return listing
}

// recordReports lets all runners report, from now on.
func (runners *runnerSet) recordReports() {
	for _, runner := range runners.list {
		runner.reports.record(runner.report())
	}
	runners.world.After(batchReportPeriod, runners.recordReports)
}
