package placement

import (
	"fmt"
	"slices"

	"wardtray/balancer/kvblock"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

// runnerSet holds the batch runners of a simulation and the runner list that daemons receive.
type runnerSet struct {
	world   *simulation.World
	profile BatchProfile
	byID    map[string]*batchRunner
	// list and listing are in the order in which runners were added.
	list    []*batchRunner
	listing []*wire.Runner
	// added is the number of runners added so far.
	added int
}

// add starts a runner with an empty cache in a zone and adds it to the list.
func (runners *runnerSet) add(zone string) {
	runner := &batchRunner{
		id:       fmt.Sprintf("r%03d", runners.added),
		zone:     zone,
		profile:  runners.profile,
		slowdown: 1,
		world:    runners.world,
		cache:    emulator.NewCache[kvblock.BlockKey](runners.profile.MemoryTokens * 3 / 4),
		reports:  reportHistory{lag: int(runners.profile.ReportLag / batchReportPeriod)},
	}
	runners.added++
	runners.byID[runner.id] = runner
	runners.list = append(runners.list, runner)
	runners.listing = append(runners.listing, &wire.Runner{
		RunnerId: runner.id,
		Zone:     zone,
		Service:  runnerService,
		State:    runnerReady,
		Slots:    uint32(runners.profile.Slots),
	})
}

// available returns the runner with an ID, or nil if it was removed or has crashed.
func (runners *runnerSet) available(id string) *batchRunner {
	if runner := runners.byID[id]; runner != nil && !runner.crashed {
		return runner
	}
	return nil
}

// drain sets a runner's state in the list to draining.
func (runners *runnerSet) drain(runner *batchRunner) {
	for _, line := range runners.listing {
		if line.RunnerId == runner.id {
			line.State = runnerDraining
		}
	}
}

// remove stops a runner and removes it from the list.
func (runners *runnerSet) remove(removed *batchRunner) {
	delete(runners.byID, removed.id)
	runners.listing = slices.DeleteFunc(slices.Clone(runners.listing),
		func(line *wire.Runner) bool { return line.RunnerId == removed.id })
	runners.list = slices.DeleteFunc(slices.Clone(runners.list),
		func(runner *batchRunner) bool { return runner == removed })
	removed.crash()
}

// copyListing returns a copy of the list for a daemon, which later changes don't modify.
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

// recordReports records a load report of each runner, now and after each batchReportPeriod.
func (runners *runnerSet) recordReports() {
	for _, runner := range runners.list {
		runner.reports.record(runner.report())
	}
	runners.world.After(batchReportPeriod, runners.recordReports)
}
