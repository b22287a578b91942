package kvblock

import (
	"encoding/hex"
	"fmt"
	"testing"
)

// The hash matches the published test vectors of 64-bit FNV-1a, which llm-d-kv-cache calls FNV-64a.
func TestPublishedVectorsOfTheHash(t *testing.T) {
	for text, want := range map[string]uint64{
		"":       0xcbf29ce484222325,
		"a":      0xaf63dc4c8601ec8c,
		"b":      0xaf63df4c8601f1a5,
		"foobar": 0x85944171f73967e8,
	} {
		if got := fnv64a([]byte(text)); got != want {
			t.Errorf("%q: %x, want %x", text, got, want)
		}
	}
}

const fixedKeys = "3dbdfa2eef99b695 4878291ec4f94206"

// The encoded bytes and the keys are fixed. If they changed, daemons of two versions would compute different keys for
// the same prompt. Also, keys of prompts that differ in any input are different.
func TestFixedKeys(t *testing.T) {
	processor := NewTokenProcessor(DefaultSeed)
	extra := Extra{Model: "m", Weights: "w", Adapter: "a"}
	content, err := processor.mode.Marshal([]any{uint64(5), "part", extra})
	if err != nil {
		t.Fatal(err)
	}
	// The CBOR array [5, "part", extra], where extra is a map with its keys in bytewise order.
	const want = "83056470617274a3656d6f64656c616d6761646170746572616167776569676874736177"
	if got := hex.EncodeToString(content); got != want {
		t.Fatalf("CBOR %s, want %s", got, want)
	}
	parts := []string{"system", "rheolau"}
	keys := processor.BlockKeys(parts, extra)
	if got := fmt.Sprintf("%x %x", uint64(keys[0]), uint64(keys[1])); got != fixedKeys {
		t.Fatalf("keys %s, want %s", got, fixedKeys)
	}
	different := map[BlockKey]string{}
	for name, other := range map[string][]BlockKey{
		"same":          keys,
		"other order":   processor.BlockKeys([]string{"rheolau", "system"}, extra),
		"other model":   processor.BlockKeys(parts, Extra{Model: "n", Weights: "w", Adapter: "a"}),
		"other weights": processor.BlockKeys(parts, Extra{Model: "m", Weights: "v", Adapter: "a"}),
		"other adapter": processor.BlockKeys(parts, Extra{Model: "m", Weights: "w"}),
		"other seed":    NewTokenProcessor("x").BlockKeys(parts, extra),
	} {
		last := other[len(other)-1]
		if previous, found := different[last]; found {
			t.Errorf("%s and %s share a key", previous, name)
		}
		different[last] = name
	}
}
