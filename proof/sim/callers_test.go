package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// whole are the faults that part no cores and no daemons from them, apart those that part daemons from the
// cores: while they last no daemon may lose a runner that calls.
var (
	whole = []string{"core killed", "core wiped", "core without power", "core frozen", "control lost", "data killed", "data frozen", "disk stalled", "lossy network"}
	apart = []string{"control cut from data", "data cut from control", "control lost"}
)

const (
	// arrives is when a new runner must be known, and arrivesApart where cuts may last for 8.2 s, one after the other.
	arrives      = 2 * time.Second
	arrivesApart = 20 * time.Second
)

// registryFaults are all faults of the control plane and its daemons but the one that concerns the platform's list.
func registryFaults() []string {
	return slices.DeleteFunc(FaultNames(), func(name string) bool { return name == "runner replaced" })
}

func playCallers(test *testing.T, shape Shape, names []string, atOnce int, kept time.Duration) {
	for number := range seedCount(test) * 6 {
		seed := int64(number + 1)
		test.Run(fmt.Sprint("seed ", seed), func(test *testing.T) {
			test.Parallel()
			world := PlayCallers(seed, shape, names, atOnce, kept)
			for _, line := range world.Check.Broken {
				test.Error(line)
			}
			if test.Failed() {
				test.Log(world.Log)
			}
			test.Log(world.Callers.Acks, "acknowledged,", world.Callers.Refusals, "refused,", len(world.Callers.Lives), "lives", world.Check.Margins)
		})
	}
}

func TestRunnersThatCallAreKeptThroughFaults(test *testing.T) {
	playCallers(test, Guild, whole, 1, arrives)
}

func TestRunnersThatCallAreKeptWithoutControl(test *testing.T) {
	playCallers(test, Ferries, apart, 1, arrivesApart)
}

func TestRunnersThatLeaveAreNotUsed(test *testing.T) {
	playCallers(test, Ferries, registryFaults(), 1, 0)
}

func TestRunnersThatLeaveAreNotUsedWithManyFaults(test *testing.T) {
	playCallers(test, Guild, registryFaults(), 3, 0)
}

// In a calm time nothing is told of runners that only call on: what the processes say to each other does
// not grow with their number.
func TestCallsAloneCostNoMessages(test *testing.T) {
	counts := map[int]uint64{}
	for _, count := range []int{0, 60} {
		world := Found(1, Guild, func(world *World) { world.StartCallers(count, Guild.Zones) })
		world.Run(20 * time.Second)
		before := world.Messages
		world.Run(20 * time.Second)
		counts[count] = world.Messages - before
	}
	// The cores tell each other twice a beat who has called.
	if allowed := counts[0] + 20*2*6*2; counts[60] > allowed {
		test.Fatal(counts)
	}
}

// A large fleet: what the registry adds must be small beside 10 Mbit/s, also while runners are replaced.
func TestReleaseInALargeFleetCostsLittle(test *testing.T) {
	if underRace {
		test.Skip("played without the race detector")
	}
	const bytesOfLink = 10_000_000 / 8
	none, _ := MeasureCallers(1, 72, 0, time.Hour)
	calm, release := MeasureCallers(1, 72, 112, 500*time.Millisecond)
	test.Logf("none %+v, calm %+v, release %+v", none, calm, release)
	if calm.Core-none.Core > bytesOfLink/200 || calm.Daemon-none.Daemon > bytesOfLink/1000 {
		test.Error("calm", calm.Core-none.Core, calm.Daemon-none.Daemon)
	}
	if release.Core-none.Core > bytesOfLink/10 || release.Daemon-none.Daemon > bytesOfLink/100 {
		test.Error("release", release.Core-none.Core, release.Daemon-none.Daemon)
	}
}
