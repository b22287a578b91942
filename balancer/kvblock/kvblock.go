// Package kvblock is the KV-cache index of one daemon, after llm-d-kv-cache: which runner probably
// still holds which blocks of a prompt. It is a hint; it decides nothing.
//
// Kept from the source: the module names, the chained FNV-64a keys over CBOR of [parent, part,
// extra], the two-level LRU, the ordered worker queues sharded by FNV-1a of the runner, and the
// count of consecutive hits as score. Changed: keys run over the prompt's declared prefix parts,
// stored blocks are inferred from the daemon's own sends, and removals from age, from an estimate
// of each runner's room, from first tokens that came as late as on a cold runner, and from
// requests that runners put back. See docs/indexer.md.
package kvblock

import (
	"hash/fnv"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Defaults of the source's in-memory index; the numbers are ours to tune.
const (
	DefaultKeys    = 1_000_000
	DefaultRunners = 16
	DefaultWorkers = 4
	DefaultSeed    = "wardtray"
	shards         = 16
)

// BlockKey is the chained hash of a block and all before it.
type BlockKey uint64

// Extra sets apart equal parts that are not the same to an engine.
type Extra struct {
	Model   string `cbor:"model"`
	Weights string `cbor:"weights"`
	Adapter string `cbor:"adapter"`
}

// TokenProcessor turns prompt parts into keys. The source's one first turns text into tokens; a
// daemon sees no tokens, so that the client's parts stand in for the chunks.
type TokenProcessor struct {
	root uint64
	mode cbor.EncMode
}

// NewTokenProcessor makes one whose chains begin at a seed.
func NewTokenProcessor(seed string) *TokenProcessor {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are the library's own constants.
	}
	return &TokenProcessor{root: sum64a([]byte(seed)), mode: mode}
}

func sum64a(content []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content) // Writing to a hash can't fail.
	return hash.Sum64()
}

// BlockKeys gives the chained keys of a prompt's parts, in order.
func (processor *TokenProcessor) BlockKeys(parts []string, extra Extra) []BlockKey {
	keys := make([]BlockKey, 0, len(parts))
	parent := processor.root
	for _, part := range parts {
		content, err := processor.mode.Marshal([]any{parent, part, extra})
		if err != nil {
			return keys
		}
		parent = sum64a(content)
		keys = append(keys, BlockKey(parent))
	}
	return keys
}

// Index is the two-level LRU: a key leads to the runners that probably hold its block.
type Index struct {
	shards  [shards]*lru.Cache[BlockKey, *lru.Cache[string, time.Time]]
	runners int
}

// NewIndex makes an index of so many keys and runners a key.
func NewIndex(keys, runners int) (*Index, error) {
	index := &Index{runners: runners}
	for place := range index.shards {
		cache, err := lru.New[BlockKey, *lru.Cache[string, time.Time]](max(1, keys/shards))
		if err != nil {
			return nil, err
		}
		index.shards[place] = cache
	}
	return index, nil
}

func (index *Index) shard(key BlockKey) *lru.Cache[BlockKey, *lru.Cache[string, time.Time]] {
	return index.shards[uint64(key)%shards]
}

// Add notes that a runner stored blocks at a time.
func (index *Index) Add(now time.Time, keys []BlockKey, runner string) {
	for _, key := range keys {
		shard := index.shard(key)
		holders, found := shard.Get(key)
		if !found {
			made, err := lru.New[string, time.Time](index.runners)
			if err != nil {
				return
			}
			holders = made
			if previous, had, _ := shard.PeekOrAdd(key, made); had {
				holders = previous
			}
		}
		holders.Add(runner, now)
	}
}

// Evict takes a runner off a key.
func (index *Index) Evict(key BlockKey, runner string) {
	shard := index.shard(key)
	if holders, found := shard.Peek(key); found {
		holders.Remove(runner)
		if holders.Len() == 0 {
			shard.Remove(key)
		}
	}
}

// Lookup walks the keys from the first and gives, for each key until the first that nobody of the
// set holds, those of the set that hold it.
func (index *Index) Lookup(keys []BlockKey, runners map[string]bool) [][]string {
	var found [][]string
	for _, key := range keys {
		holders, there := index.shard(key).Get(key)
		if !there {
			return found
		}
		var here []string
		for _, runner := range holders.Keys() {
			if runners[runner] {
				here = append(here, runner)
			}
		}
		if len(here) == 0 {
			return found
		}
		found = append(found, here)
	}
	return found
}

// Hold is what a runner is taken to hold of a prompt.
type Hold struct {
	// Blocks is how many leading ones without a gap, Used when the last of these was last sent.
	Blocks int
	Used   time.Time
}

// Held gives what each runner of a set holds of a prompt's opening.
func (index *Index) Held(keys []BlockKey, runners map[string]bool) map[string]Hold {
	held := map[string]Hold{}
	for place, key := range keys {
		holders, there := index.shard(key).Get(key)
		if !there {
			return held
		}
		for _, runner := range holders.Keys() {
			if runners[runner] && held[runner].Blocks == place {
				used, _ := holders.Peek(runner)
				held[runner] = Hold{Blocks: place + 1, Used: used}
			}
		}
	}
	return held
}

// Keys tells how many keys the index holds.
func (index *Index) Keys() int {
	count := 0
	for _, shard := range index.shards {
		count += shard.Len()
	}
	return count
}

// Scorer counts consecutive hits from the first block.
type Scorer struct{}

// Score gives each runner the number of leading blocks that it holds without a gap.
func (Scorer) Score(found [][]string) map[string]int {
	scores := map[string]int{}
	for place, holders := range found {
		for _, runner := range holders {
			if scores[runner] == place {
				scores[runner] = place + 1
			}
		}
	}
	return scores
}

// Indexer is the whole: it scores on the read path and takes events on the write path.
type Indexer struct {
	Processor *TokenProcessor
	Index     *Index
	Pool      *Pool
	scorer    Scorer
}

// NewIndexer makes an indexer; with no workers events apply at once, in the caller's own thread.
func NewIndexer(seed string, keys, runners, workers int) (*Indexer, error) {
	index, err := NewIndex(keys, runners)
	if err != nil {
		return nil, err
	}
	return &Indexer{Processor: NewTokenProcessor(seed), Index: index, Pool: NewPool(index, workers)}, nil
}

// Held gives what each runner of a set holds of a prompt's opening.
func (indexer *Indexer) Held(keys []BlockKey, runners map[string]bool) map[string]Hold {
	return indexer.Index.Held(keys, runners)
}

// Score gives the runners of a set their scores for a prompt's keys.
func (indexer *Indexer) Score(keys []BlockKey, runners map[string]bool) map[string]int {
	return indexer.scorer.Score(indexer.Index.Lookup(keys, runners))
}
