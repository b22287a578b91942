package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// noCutFaults are faults that partition neither control machines nor daemons, isolatingFaults those that isolate
// daemons from the control machines only. While these faults last, daemons must keep every runner that repeats its
// registration.
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
	// knownBound is the time within which a new runner must be known, knownBoundWithCuts the bound where successive
	// partitions may last for 8.2 s each.
	knownBound         = 2 * time.Second
	knownBoundWithCuts = 20 * time.Second
)

// registryFaults returns all faults of the control plane and the data daemons but the one that concerns the platform's
// list.
func registryFaults() []string {
	return slices.DeleteFunc(FaultNames(), func(name string) bool { return name == "runner replaced" })
}

func runRegistrationScenario(t *testing.T, shape Shape, names []string, atOnce int, knownWithin time.Duration) {
	t.Helper()
	t.Parallel()
	for number := range seedCount(t) * 6 {
		seed := int64(number + 1)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			world := RunRegistrationScenario(seed, shape, names, atOnce, knownWithin)
			for _, violation := range world.Check.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				t.Log(world.Log)
			}
			t.Log(world.RegisteringRunners.Acknowledged, "acknowledged,", world.RegisteringRunners.Rejected, "rejected,",
				len(world.RegisteringRunners.Incarnations), "incarnations", world.Check.WorstCases)
		})
	}
}

func TestRunnersThatCallAreKeptThroughFaults(t *testing.T) {
	runRegistrationScenario(t, Guild, noCutFaults, 1, knownBound)
}

func TestRunnersThatCallAreKeptWithoutControl(t *testing.T) {
	runRegistrationScenario(t, Ferries, isolatingFaults, 1, knownBoundWithCuts)
}

func TestRunnersThatLeaveAreNotUsed(t *testing.T) {
	runRegistrationScenario(t, Ferries, registryFaults(), 1, 0)
}

func TestRunnersThatLeaveAreNotUsedWithManyFaults(t *testing.T) {
	runRegistrationScenario(t, Guild, registryFaults(), 3, 0)
}

// Runners that only repeat their registrations cause no updates: the number of messages between processes does not grow
// with the number of runners.
func TestCallsAloneCostNoMessages(t *testing.T) {
	t.Parallel()
	counts := map[int]uint64{}
	for _, count := range []int{0, 60} {
		world := NewDeployment(1, Guild, func(world *World) { startRegisteringRunners(world, count, Guild.Zones) })
		world.Run(20 * time.Second)
		before := world.network.Messages
		world.Run(20 * time.Second)
		counts[count] = world.network.Messages - before
	}
	// The control machines exchange the newest calls twice per heartbeat.
	if allowed := counts[0] + 20*2*6*2; counts[60] > allowed {
		t.Fatal(counts)
	}
}

// In a large fleet the registry's traffic is small compared with 10 Mbit/s, also while runners are replaced.
func TestReleaseInALargeFleetCostsLittle(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("not run under the race detector")
	}
	const bytesOfLink = 10_000_000 / 8
	none, _ := MeasureRegistry(1, 72, 0, time.Hour)
	idle, replacing := MeasureRegistry(1, 72, 112, 500*time.Millisecond)
	t.Logf("without runners %+v, without changes %+v, while runners are replaced %+v", none, idle, replacing)
	if idle.Core-none.Core > bytesOfLink/200 || idle.Daemon-none.Daemon > bytesOfLink/1000 {
		t.Error("bytes a second added by unchanged runners:", idle.Core-none.Core, idle.Daemon-none.Daemon)
	}
	if replacing.Core-none.Core > bytesOfLink/10 || replacing.Daemon-none.Daemon > bytesOfLink/100 {
		t.Error("bytes a second added by replaced runners:", replacing.Core-none.Core, replacing.Daemon-none.Daemon)
	}
}
