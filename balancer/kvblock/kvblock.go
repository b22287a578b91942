// Package kvblock implements the KV-cache index of one daemon, modelled on llm-d-kv-cache: it estimates which runners
// still hold which blocks of a prompt. The index is a hint for the scheduler: a wrong entry costs a prefill, but never
// fails a request.
//
// The following are as in llm-d-kv-cache: the module names, the chained FNV-64a keys over CBOR of [parent, part,
// extra], the two-level LRU, the ordered worker queues sharded by FNV-1a of the runner, and the count of consecutive
// hits as score. Two things differ: keys are computed over the prompt's declared prefix parts, and stored and removed
// blocks are inferred. A block is taken as stored when this daemon sends it, and as removed because of its age, the
// estimated cache capacity of the runner, a first token that came as late as on a runner without the blocks, or a
// rejected request. See docs/indexer.md.
package kvblock

import "time"

// Defaults of the in-memory index of llm-d-kv-cache; docs/indexer.md lists those that apply here.
const (
	// DefaultKeys is the number of block keys that an index holds.
	DefaultKeys = 1_000_000
	// DefaultRunners is the number of runners that an index holds for each key.
	DefaultRunners = 16
	// DefaultWorkers is the number of workers that apply events.
	DefaultWorkers = 4
	// DefaultSeed is the seed of the key chains; daemons with different seeds compute different keys.
	DefaultSeed = "wardtray"
)

// CachedPrefix is the leading part of a prompt that a runner probably has cached.
type CachedPrefix struct {
	// Blocks is the number of leading blocks without a gap.
	Blocks int
	// LastUsed is the time when the last of these blocks was last sent to the runner.
	LastUsed time.Time
}

// Indexer combines the parts of the package: it computes scores on the read path and applies events on the write path.
type Indexer struct {
	Processor *TokenProcessor
	Index     *Index
	Pool      *Pool
	scorer    Scorer
}

// NewIndexer returns an indexer with room for that many keys, runners for each key, and with that many workers. With no
// workers, events are applied synchronously in the caller's goroutine. It returns an error if an LRU size is invalid.
func NewIndexer(seed string, keys, runners, workers int) (*Indexer, error) {
	index, err := NewIndex(keys, runners)
	if err != nil {
		return nil, err
	}
	return &Indexer{Processor: NewTokenProcessor(seed), Index: index, Pool: NewPool(index, workers)}, nil
}

// CachedPrefixes returns the leading part of the prompt with these keys that each of the given runners probably holds.
func (indexer *Indexer) CachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return indexer.Index.CachedPrefixes(keys, runners)
}

// Score returns the score of each of the given runners for the prompt with these keys.
func (indexer *Indexer) Score(keys []BlockKey, runners map[string]bool) map[string]int {
	return indexer.scorer.Score(indexer.Index.Lookup(keys, runners))
}

// PeekCachedPrefixes is like CachedPrefixes but does not count as a use of the blocks, for dry runs.
func (indexer *Indexer) PeekCachedPrefixes(keys []BlockKey, runners map[string]bool) map[string]CachedPrefix {
	return indexer.Index.PeekCachedPrefixes(keys, runners)
}
