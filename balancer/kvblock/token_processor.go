package kvblock

import (
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
)

// BlockKey is the chained hash of a block and all blocks before it.
type BlockKey uint64

// Extra distinguishes prompt parts with the same text for which an engine computes different KV blocks. It is part of
// every key.
type Extra struct {
	Model   string `cbor:"model"`
	Weights string `cbor:"weights"`
	Adapter string `cbor:"adapter"`
}

// TokenProcessor computes the keys of prompt parts. The processor of llm-d-kv-cache first tokenizes the text and splits
// it into chunks; a daemon has no tokens, so the client's prompt parts take the place of the chunks.
type TokenProcessor struct {
	root uint64
	mode cbor.EncMode
}

// NewTokenProcessor returns a processor whose key chains start from the hash of a seed.
func NewTokenProcessor(seed string) *TokenProcessor {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // Can't happen: the options are the library's own constants.
	}
	return &TokenProcessor{root: fnv64a([]byte(seed)), mode: mode}
}

// BlockKeys returns the chained keys of a prompt's parts in order. If a part can't be encoded, it returns the keys of
// the parts before it.
func (processor *TokenProcessor) BlockKeys(parts []string, extra Extra) []BlockKey {
	keys := make([]BlockKey, 0, len(parts))
	parent := processor.root
	for _, part := range parts {
		content, err := processor.mode.Marshal([]any{parent, part, extra})
		if err != nil {
			// The index is only a hint, and the keys up to here are valid.
			return keys
		}
		parent = fnv64a(content)
		keys = append(keys, BlockKey(parent))
	}
	return keys
}

func fnv64a(content []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content) // Writing to a hash can't fail.
	return hash.Sum64()
}
