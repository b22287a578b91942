package kvblock

import (
	"fmt"
	"testing"
	"time"
)

var started = time.Unix(1_700_000_000, 0)

// newIndexer returns an indexer that applies events synchronously.
func newIndexer(t *testing.T, keys, runners int) *Indexer {
	t.Helper()
	indexer, err := NewIndexer(DefaultSeed, keys, runners, 0)
	if err != nil {
		t.Fatal(err)
	}
	return indexer
}

// benchmarkParts are the parts of the prompt that the benchmarks look up.
var benchmarkParts = []string{"system", "b", "c", "d", "e", "f"}

// benchmarkIndexer returns an indexer in which 18 runners hold one to six leading blocks of benchmarkParts with an
// empty Extra, and the set of these runners.
func benchmarkIndexer(b *testing.B) (indexer *Indexer, runners map[string]bool) {
	b.Helper()
	indexer, err := NewIndexer(DefaultSeed, DefaultKeys, DefaultRunners, 0)
	if err != nil {
		b.Fatal(err)
	}
	runners = map[string]bool{}
	for number := range 18 {
		runner := fmt.Sprint("r", number)
		runners[runner] = true
		parts := benchmarkParts[:1+number%len(benchmarkParts)]
		indexer.Index.Add(started, indexer.Processor.BlockKeys(parts, Extra{}), runner)
	}
	return indexer, runners
}

// BenchmarkScore computes the keys and the scores of a prompt that no runner holds.
func BenchmarkScore(b *testing.B) {
	indexer, runners := benchmarkIndexer(b)
	b.ReportAllocs()
	for b.Loop() {
		indexer.Score(indexer.Processor.BlockKeys(benchmarkParts, Extra{Model: "m"}), runners)
	}
}

// BenchmarkCachedPrefixes looks up a prompt that the runners hold partly, as the scheduler does.
func BenchmarkCachedPrefixes(b *testing.B) {
	indexer, runners := benchmarkIndexer(b)
	keys := indexer.Processor.BlockKeys(benchmarkParts, Extra{})
	b.ReportAllocs()
	for b.Loop() {
		indexer.CachedPrefixes(keys, runners)
	}
}
