package placement

import (
	"testing"

	"wardtray/verify/simulation"
)

func newTestRunnerSet() *runnerSet {
	runners := &runnerSet{
		world:   simulation.NewWorld(1),
		profile: BatchProfile{Slots: 4, Queue: 4, Chunk: 100, Stride: 1, MemoryTokens: 1000},
		byID:    map[string]*batchRunner{},
	}
	runners.add("z0")
	runners.add("z1")
	return runners
}

func TestRemovedAndCrashedRunnersAreNotAvailable(t *testing.T) {
	runners := newTestRunnerSet()
	first, second := runners.list[0], runners.list[1]
	if runners.available("r000") != first || runners.available("r001") != second {
		t.Fatal("runners that were added are not available")
	}
	first.crash()
	runners.remove(second)
	if runners.available("r000") != nil || runners.available("r001") != nil {
		t.Error("a crashed or a removed runner is available")
	}
	if len(runners.listing) != 1 || runners.listing[0].RunnerId != "r000" {
		t.Errorf("listed %v, want r000", runners.listing)
	}
	runners.add("z1")
	if runners.available("r002") == nil {
		t.Error("a new runner has the ID of a removed one")
	}
}

func TestCopiedListingsDoNotChange(t *testing.T) {
	runners := newTestRunnerSet()
	copied := runners.copyListing()
	runners.drain(runners.list[0])
	if copied[0].State != runnerReady || runners.copyListing()[0].State != runnerDraining {
		t.Errorf("state %s in the copy, %s in a later copy", copied[0].State, runners.copyListing()[0].State)
	}
}

func TestReportsLagBehindTheRunners(t *testing.T) {
	runners := newTestRunnerSet()
	runners.recordReports()
	if report, found := runners.list[0].reports.read(); !found || report.Slots != 4 {
		t.Errorf("report %+v (found: %v), want 4 slots", report, found)
	}
}
