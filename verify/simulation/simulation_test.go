package simulation

import (
	"fmt"
	"testing"
)

func play(t *testing.T, seed int64, shape Shape, names []string, atOnce int) *World {
	t.Helper()
	world := Play(seed, shape, names, atOnce)
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
	return world
}

func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	first, second := play(t, 5, Guild, FaultNames(), 1), play(t, 5, Guild, FaultNames(), 1)
	if first.Trace() != second.Trace() {
		t.Fatal("one seed gave two runs")
	}
	if third := play(t, 6, Guild, FaultNames(), 1); third.Trace() == first.Trace() {
		t.Fatal("two seeds gave one run")
	}
}

// seeds plays many seeds side by side.
func seeds(t *testing.T, shape Shape, count int64, names []string, atOnce int) {
	t.Helper()
	t.Parallel()
	for seed := int64(1); seed <= count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, shape, names, atOnce)
		})
	}
}

// One fault at a time, repaired before the next, is what a deployment must bear without a pause longer than the
// brief's.
func TestSingleFaultsOnTheGuild(t *testing.T)   { seeds(t, Guild, 16, FaultNames(), 1) }
func TestSingleFaultsOnTheFerries(t *testing.T) { seeds(t, Ferries, 16, FaultNames(), 1) }

// As many machines as may lose their disks lose them, a moment after a change was acknowledged, while all
// others lose their power.
func TestDisksLostInTheDark(t *testing.T) {
	t.Parallel()
	for name, shape := range map[string]Shape{"guild": Guild, "ferries": Ferries, "grown": Grown, "narrow": Narrow} {
		t.Run(name, func(t *testing.T) { seeds(t, shape, 6, []string{"disks lost in the dark"}, 1) })
	}
}

// Fewer disks than seeds should be, and many in one zone.
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
		t.Run(name, func(t *testing.T) { seeds(t, shape, 4, kinds, 1) })
	}
}

func TestSingleFaultsOnTheGrown(t *testing.T) { seeds(t, Grown, 6, FaultNames(), 1) }

// More at once may stop service, but must break no rule, and service comes back.
func TestManyFaultsAtOnce(t *testing.T) { seeds(t, Guild, 12, FaultNames(), 3) }

// Found by seed 6 of the single faults: records that failed on a full disk kept putting off the
// attempt to write the memory anew, so that the machine stayed sick when there was space again.
func TestFullDiskComesBack(t *testing.T) { seeds(t, Guild, 4, []string{"disk full"}, 1) }

// Found by seed 16: with the head wiped before a machine that had been out was back in the chain, the
// one left waited for the lost one for good.
func TestLastOfTheChainTeachesTheOthers(t *testing.T) {
	seeds(t, Guild, 6, []string{"core wiped", "core link cut one way"}, 2)
}

// A byte is damaged on one disk after another, and machines restart: the sweep finds it and a whole
// memory is written anew, or the machine starts as a new one; no change is lost.
func TestSweepMendsDamagedDisks(t *testing.T) {
	seeds(t, Guild, 6, []string{"disk damaged", "core killed", "disk damaged"}, 1)
}
