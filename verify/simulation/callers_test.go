package simulation

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

func playCallers(t *testing.T, shape Shape, names []string, atOnce int, kept time.Duration) {
	t.Parallel()
	for number := range seedCount(t) * 6 {
		seed := int64(number + 1)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			world := PlayCallers(seed, shape, names, atOnce, kept)
			for _, line := range world.Check.Broken {
				t.Error(line)
			}
			if t.Failed() {
				t.Log(world.Log)
			}
			t.Log(world.Callers.Acks, "acknowledged,", world.Callers.Refusals, "refused,", len(world.Callers.Incarnations), "lives", world.Check.Margins)
		})
	}
}

func TestRunnersThatCallAreKeptThroughFaults(t *testing.T) {
	playCallers(t, Guild, whole, 1, arrives)
}

func TestRunnersThatCallAreKeptWithoutControl(t *testing.T) {
	playCallers(t, Ferries, apart, 1, arrivesApart)
}

func TestRunnersThatLeaveAreNotUsed(t *testing.T) {
	playCallers(t, Ferries, registryFaults(), 1, 0)
}

func TestRunnersThatLeaveAreNotUsedWithManyFaults(t *testing.T) {
	playCallers(t, Guild, registryFaults(), 3, 0)
}

// In a calm time nothing is told of runners that only call on: what the processes say to each other does
// not grow with their number.
func TestCallsAloneCostNoMessages(t *testing.T) {
	t.Parallel()
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
	none, _ := MeasureCallers(1, 72, 0, time.Hour)
	calm, release := MeasureCallers(1, 72, 112, 500*time.Millisecond)
	t.Logf("none %+v, calm %+v, release %+v", none, calm, release)
	if calm.Core-none.Core > bytesOfLink/200 || calm.Daemon-none.Daemon > bytesOfLink/1000 {
		t.Error("calm", calm.Core-none.Core, calm.Daemon-none.Daemon)
	}
	if release.Core-none.Core > bytesOfLink/10 || release.Daemon-none.Daemon > bytesOfLink/100 {
		t.Error("release", release.Core-none.Core, release.Daemon-none.Daemon)
	}
}
