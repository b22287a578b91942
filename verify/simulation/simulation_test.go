package simulation

import (
	"fmt"
	"testing"
)

func runFaults(t *testing.T, seed int64, shape Shape, names []string, atOnce int) *World {
	t.Helper()
	world := RunFaults(seed, shape, names, atOnce)
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
	return world
}

func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	first, second := runFaults(t, 5, Guild, FaultNames(), 1), runFaults(t, 5, Guild, FaultNames(), 1)
	if first.Trace() != second.Trace() {
		t.Fatal("one seed gave two different runs")
	}
	if third := runFaults(t, 6, Guild, FaultNames(), 1); third.Trace() == first.Trace() {
		t.Fatal("two seeds gave the same run")
	}
}

// runSeeds runs many seeds in parallel.
func runSeeds(t *testing.T, shape Shape, count int64, names []string, atOnce int) {
	t.Helper()
	t.Parallel()
	for seed := int64(1); seed <= count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runFaults(t, seed, shape, names, atOnce)
		})
	}
}

// A deployment tolerates one fault at a time if each is repaired before the next: service is not interrupted for longer
// than the users' requirements allow.
func TestSingleFaultsOnTheGuild(t *testing.T)   { runSeeds(t, Guild, 16, FaultNames(), 1) }
func TestSingleFaultsOnTheFerries(t *testing.T) { runSeeds(t, Ferries, 16, FaultNames(), 1) }

// No acknowledged change is lost if, right after its acknowledgement, as many control machines as may lose their disks
// lose them and all other machines lose their power.
func TestDisksLostInTheDark(t *testing.T) {
	t.Parallel()
	for name, shape := range map[string]Shape{"guild": Guild, "ferries": Ferries, "grown": Grown, "narrow": Narrow} {
		t.Run(name, func(t *testing.T) { runSeeds(t, shape, 6, []string{"disks lost in the dark"}, 1) })
	}
}

// Deployments with fewer disks than the recommended number of seeds, or with many disks in one zone, recover from each
// of these faults.
func TestFewDisksAndFewZones(t *testing.T) {
	t.Parallel()
	kinds := []string{
		"core killed",
		"core without power",
		"core frozen",
		"data killed",
		"data frozen",
		"disk stalled",
		"all down",
	}
	for name, shape := range map[string]Shape{"single": Single, "pair": Pair, "narrow": Narrow} {
		t.Run(name, func(t *testing.T) { runSeeds(t, shape, 4, kinds, 1) })
	}
}

func TestSingleFaultsOnTheGrown(t *testing.T) { runSeeds(t, Grown, 6, FaultNames(), 1) }

// Several faults at once may interrupt service, but must violate no rule, and service comes back.
func TestManyFaultsAtOnce(t *testing.T) { runSeeds(t, Guild, 12, FaultNames(), 3) }

// Guards against a machine that stays unhealthy after its full disk has space again: each record that could not be
// written postponed the rewrite of the state (found by seed 6 of the single faults).
func TestFullDiskComesBack(t *testing.T) { runSeeds(t, Guild, 4, []string{"disk full"}, 1) }

// Guards against a chain that is never complete again: a machine was away, the head's disk was wiped before that
// machine had rejoined the chain, and the remaining machine waited forever for the lost one (found by seed 16).
func TestLastOfTheChainTeachesTheOthers(t *testing.T) {
	runSeeds(t, Guild, 6, []string{"core wiped", "core link cut one way"}, 2)
}

// A bit is flipped on one disk after another while machines restart. The scrub finds the damage and the complete state
// is written anew, or the machine starts with a new identity; no change is lost.
func TestSweepMendsDamagedDisks(t *testing.T) {
	runSeeds(t, Guild, 6, []string{"disk damaged", "core killed", "disk damaged"}, 1)
}
