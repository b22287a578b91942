package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// noCutFaults are the faults that part no cores and no daemons from them, apart those that part daemons from the
// cores: while they last no daemon may lose a runner that calls.
var (
	noCutFaults = []string{
		"core killed",
		"core wiped",
		"core without power",
		"core frozen",
		"control lost",
		"data killed",
		"data frozen",
		"disk stalled",
		"lossy network",
	}
	isolatingFaults = []string{"control cut from data", "data cut from control", "control lost"}
)

const (
	// knownBound is when a new runner must be known, knownBoundWithCuts where cuts may last for 8.2 s, one after the
	// other.
	knownBound         = 2 * time.Second
	knownBoundWithCuts = 20 * time.Second
)

// registryFaults are all faults of the control plane and its daemons but the one that concerns the platform's list.
func registryFaults() []string {
	return slices.DeleteFunc(FaultNames(), func(name string) bool { return name == "runner replaced" })
}

func playRegisteringRunners(t *testing.T, shape Shape, names []string, atOnce int, kept time.Duration) {
	t.Helper()
	t.Parallel()
	for number := range seedCount(t) * 6 {
		seed := int64(number + 1)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			world := PlayRegisteringRunners(seed, shape, names, atOnce, kept)
			for _, violation := range world.Check.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				t.Log(world.Log)
			}
			t.Log(world.RegisteringRunners.Acknowledged, "acknowledged,", world.RegisteringRunners.Rejected, "refused,",
				len(world.RegisteringRunners.Incarnations), "lives", world.Check.WorstCases)
		})
	}
}

func TestRunnersThatCallAreKeptThroughFaults(t *testing.T) {
	playRegisteringRunners(t, Guild, noCutFaults, 1, knownBound)
}

func TestRunnersThatCallAreKeptWithoutControl(t *testing.T) {
	playRegisteringRunners(t, Ferries, isolatingFaults, 1, knownBoundWithCuts)
}

func TestRunnersThatLeaveAreNotUsed(t *testing.T) {
	playRegisteringRunners(t, Ferries, registryFaults(), 1, 0)
}

func TestRunnersThatLeaveAreNotUsedWithManyFaults(t *testing.T) {
	playRegisteringRunners(t, Guild, registryFaults(), 3, 0)
}

// In a calm time nothing is told of runners that only call on: what the processes say to each other does
// not grow with their number.
func TestCallsAloneCostNoMessages(t *testing.T) {
	t.Parallel()
	counts := map[int]uint64{}
	for _, count := range []int{0, 60} {
		world := Found(1, Guild, func(world *World) { startRegisteringRunners(world, count, Guild.Zones) })
		world.Run(20 * time.Second)
		before := world.network.Messages
		world.Run(20 * time.Second)
		counts[count] = world.network.Messages - before
	}
	// The cores tell each other twice a beat who has called.
	if allowed := counts[0] + 20*2*6*2; counts[60] > allowed {
		t.Fatal(counts)
	}
}

// A large fleet: what the registry adds must be small beside 10 Mbit/s, also while runners are replaced.
func TestReleaseInALargeFleetCostsLittle(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("played without the race detector")
	}
	const bytesOfLink = 10_000_000 / 8
	none, _ := MeasureRegistry(1, 72, 0, time.Hour)
	calm, release := MeasureRegistry(1, 72, 112, 500*time.Millisecond)
	t.Logf("none %+v, calm %+v, release %+v", none, calm, release)
	if calm.Core-none.Core > bytesOfLink/200 || calm.Daemon-none.Daemon > bytesOfLink/1000 {
		t.Error("calm", calm.Core-none.Core, calm.Daemon-none.Daemon)
	}
	if release.Core-none.Core > bytesOfLink/10 || release.Daemon-none.Daemon > bytesOfLink/100 {
		t.Error("release", release.Core-none.Core, release.Daemon-none.Daemon)
	}
}
