package kvblock

import (
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
)

// BlockKey is the chained hash of a block and all blocks before it.
type BlockKey uint64

// Extra distinguishes equal parts that are not the same to an engine. It is part of every key.
type Extra struct {
	Model   string `cbor:"model"`
	Weights string `cbor:"weights"`
	Adapter string `cbor:"adapter"`
}

// TokenProcessor turns prompt parts into keys. The source's processor first turns text into tokens; a daemon sees no
// tokens, so that the client's prompt parts take the place of the source's chunks.
type TokenProcessor struct {
	root uint64
	mode cbor.EncMode
}

// NewTokenProcessor returns a processor whose chains of keys begin with a seed.
func NewTokenProcessor(seed string) *TokenProcessor {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are the library's own constants.
	}
	return &TokenProcessor{root: fnv64a([]byte(seed)), mode: mode}
}

// BlockKeys returns the chained keys of a prompt's parts, in order.
func (processor *TokenProcessor) BlockKeys(parts []string, extra Extra) []BlockKey {
	keys := make([]BlockKey, 0, len(parts))
	parent := processor.root
	for _, part := range parts {
		content, err := processor.mode.Marshal([]any{parent, part, extra})
		if err != nil {
			// The index is a hint: the keys up to here are valid.
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
