package kvblock

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The score is the number of leading blocks held without a gap, for any combination of stored blocks.
func TestScoreCountsLeadingBlocks(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("score", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		indexer := newIndexer(t, 10_000, 16)
		keys := indexer.Processor.BlockKeys([]string{"a", "b", "c", "d", "e", "f"}, Extra{})
		stored := map[string]map[int]bool{}
		runners := map[string]bool{}
		for number := range 5 {
			runner := fmt.Sprint("r", number)
			stored[runner], runners[runner] = map[int]bool{}, random.Intn(4) > 0
			for index := range keys {
				if random.Intn(3) > 0 {
					indexer.Index.Add(started, keys[index:index+1], runner)
					stored[runner][index] = true
				}
			}
		}
		scores := indexer.Score(keys, runners)
		for runner := range stored {
			want := 0
			for runners[runner] && stored[runner][want] {
				want++
			}
			if scores[runner] != want {
				return false
			}
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}
