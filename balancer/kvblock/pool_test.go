package kvblock

import (
	"fmt"
	"testing"
)

// The events of each runner are applied in the order in which they were added, although several workers run
// concurrently.
func TestEventsOfOneRunnerKeepTheirOrder(t *testing.T) {
	indexer, err := NewIndexer(DefaultSeed, 10_000, 16, 4)
	if err != nil {
		t.Fatal(err)
	}
	keys := indexer.Processor.BlockKeys([]string{"a", "b"}, Extra{})
	runners := map[string]bool{}
	for range 50 {
		for number := range 12 {
			runner := fmt.Sprint("r", number)
			runners[runner] = true
			indexer.Pool.Add(BlockRemoved{Runner: runner, Keys: keys})
			indexer.Pool.Add(BlockStored{Runner: runner, Now: started, Keys: keys, Tokens: []int{1, 1}})
		}
	}
	indexer.Pool.Close()
	if indexer.Pool.Dropped.Load() > 0 {
		t.Fatal("events were dropped")
	}
	for runner, score := range indexer.Score(keys, runners) {
		if score != 2 {
			t.Errorf("%s ends with score %d, want 2", runner, score)
		}
	}
	if len(indexer.Score(keys, runners)) != 12 {
		t.Fatal("runners are missing")
	}
}
