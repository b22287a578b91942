// Package kvblock is the KV-cache index of one daemon, after llm-d-kv-cache: which runner probably still holds which
// blocks of a prompt. It is a hint for the scheduler: a wrong entry costs a prefill, never a request.
//
// Kept from the source: the module names, the chained FNV-64a keys over CBOR of [parent, part, extra], the two-level
// LRU, the ordered worker queues sharded by FNV-1a of the runner, and the count of consecutive hits as score. Changed:
// keys run over the prompt's declared prefix parts, stored blocks are inferred from the daemon's own sends, and
// removals from age, from an estimate of each runner's cache capacity, from first tokens that came as late as on a
// runner without the blocks, and from requests that runners rejected. See docs/indexer.md.
package kvblock

import "time"

// Defaults of the source's in-memory index; docs/indexer.md says what was taken over.
const (
	// DefaultKeys is the number of block keys that an index holds.
	DefaultKeys = 1_000_000
	// DefaultRunners is the number of runners that are remembered for each key.
	DefaultRunners = 16
	// DefaultWorkers is the number of workers that apply events.
	DefaultWorkers = 4
	// DefaultSeed is what chains of keys begin with; daemons with different seeds have different keys.
	DefaultSeed = "wardtray"
)

// CachedPrefix is what a runner probably holds of a prompt.
type CachedPrefix struct {
	// Blocks is the number of leading blocks without a gap.
	Blocks int
	// LastUsed is when the last of these blocks was last sent.
	LastUsed time.Time
}

// Indexer composes the package: it computes scores on the read path and applies events on the write path.
type Indexer struct {
	Processor *TokenProcessor
	Index     *Index
	Pool      *Pool
	scorer    Scorer
}

// NewIndexer returns an indexer of so many keys, runners a key and workers. With no workers events are applied at once,
// in the caller's own goroutine. The error is that of an LRU of an impossible size.
func NewIndexer(seed string, keys, runners, workers int) (*Indexer, error) {
	index, err := NewIndex(keys, runners)
	if err != nil {
		return nil, err
	}
	return &Indexer{Processor: NewTokenProcessor(seed), Index: index, Pool: NewPool(index, workers)}, nil
}

// CachedPrefixes returns what each runner of a set probably holds of the prompt with these keys.
func (indexer *Indexer) CachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return indexer.Index.CachedPrefixes(keys, runners)
}

// Score returns the score of each runner of a set for the prompt with these keys.
func (indexer *Indexer) Score(keys []BlockKey, runners map[string]bool) map[string]int {
	return indexer.scorer.Score(indexer.Index.Lookup(keys, runners))
}

// PeekCachedPrefixes is CachedPrefixes for a dry run: the blocks do not count as used.
func (indexer *Indexer) PeekCachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return indexer.Index.PeekCachedPrefixes(keys, runners)
}
