package kvblock

import (
	"encoding/hex"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var started = time.Unix(1_700_000_000, 0)

// The published test vectors of FNV-1a with 64 bits, which Go's fnv.New64a computes; the source calls it FNV-64a.
func TestPublishedVectorsOfTheHash(t *testing.T) {
	for text, want := range map[string]uint64{"": 0xcbf29ce484222325, "a": 0xaf63dc4c8601ec8c, "b": 0xaf63df4c8601f1a5, "foobar": 0x85944171f73967e8} {
		if got := sum64a([]byte(text)); got != want {
			t.Errorf("%q: %x", text, got)
		}
	}
}

// Fixed vectors: these bytes are hashed, and these keys come out. They must never change by accident,
// or daemons of two versions would not agree on what a key means.
func TestFixedKeys(t *testing.T) {
	processor := NewTokenProcessor(DefaultSeed)
	extra := Extra{Model: "m", Weights: "w", Adapter: "a"}
	content, err := processor.mode.Marshal([]any{uint64(5), "part", extra})
	if err != nil {
		t.Fatal(err)
	}
	// An array of three: 5, "part", and a map whose names stand in bytewise order.
	if got := hex.EncodeToString(content); got != "83056470617274a3656d6f64656c616d6761646170746572616167776569676874736177" {
		t.Fatalf("CBOR %s", got)
	}
	keys := processor.BlockKeys([]string{"system", "rheolau"}, extra)
	if got := fmt.Sprintf("%x %x", uint64(keys[0]), uint64(keys[1])); got != fixedKeys {
		t.Fatalf("keys %s", got)
	}
	different := map[BlockKey]string{}
	for name, other := range map[string][]BlockKey{
		"same": keys, "other order": processor.BlockKeys([]string{"rheolau", "system"}, extra),
		"other model":   processor.BlockKeys([]string{"system", "rheolau"}, Extra{Model: "n", Weights: "w", Adapter: "a"}),
		"other weights": processor.BlockKeys([]string{"system", "rheolau"}, Extra{Model: "m", Weights: "v", Adapter: "a"}),
		"other adapter": processor.BlockKeys([]string{"system", "rheolau"}, Extra{Model: "m", Weights: "w"}),
		"other seed":    NewTokenProcessor("x").BlockKeys([]string{"system", "rheolau"}, extra),
	} {
		last := other[len(other)-1]
		if previous, found := different[last]; found {
			t.Errorf("%s and %s share a key", previous, name)
		}
		different[last] = name
	}
}

func indexer(t *testing.T, keys, runners int) *Indexer {
	made, err := NewIndexer(DefaultSeed, keys, runners, 0)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// The score is the number of leading blocks held without a gap, whatever was stored in whatever order.
func TestScoreIsTheLeadingRun(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("score", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		made := indexer(t, 10_000, 16)
		keys := made.Processor.BlockKeys([]string{"a", "b", "c", "d", "e", "f"}, Extra{})
		holds := map[string]map[int]bool{}
		set := map[string]bool{}
		for number := range 5 {
			runner := fmt.Sprint("r", number)
			holds[runner], set[runner] = map[int]bool{}, random.Intn(4) > 0
			for place := range keys {
				if random.Intn(3) > 0 {
					made.Index.Add(started, keys[place:place+1], runner)
					holds[runner][place] = true
				}
			}
		}
		scores := made.Score(keys, set)
		for runner := range holds {
			want := 0
			for set[runner] && holds[runner][want] {
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

func TestBoundsOfTheTwoLevels(t *testing.T) {
	made := indexer(t, 64, 2)
	for number := range 1000 {
		made.Index.Add(started, made.Processor.BlockKeys([]string{fmt.Sprint(number)}, Extra{}), "r")
	}
	if held := made.Index.Keys(); held > 64 {
		t.Fatalf("%d keys", held)
	}
	key := made.Processor.BlockKeys([]string{"x"}, Extra{})
	for number := range 5 {
		made.Index.Add(started, key, fmt.Sprint("r", number))
	}
	if holders := made.Index.Lookup(key, map[string]bool{"r0": true, "r3": true, "r4": true}); len(holders) != 1 || len(holders[0]) != 2 {
		t.Fatalf("holders %v", holders)
	}
}

func TestRemovalsAreInferred(t *testing.T) {
	made := indexer(t, 100_000, 16)
	set := map[string]bool{"r": true, "s": true}
	prompt := func(number int) []BlockKey {
		return made.Processor.BlockKeys([]string{"system", fmt.Sprint(number)}, Extra{})
	}
	score := func(number int) int { return made.Score(prompt(number), set)["r"] }
	store := func(at time.Time, number int) {
		made.Pool.Add(BlockStored{Runner: "r", Now: at, Keys: prompt(number), Tokens: []int{1000, 9000}})
	}
	for number := range 60 {
		store(started, number)
	}
	if score(0) != 1 || score(59) != 2 {
		t.Fatalf("room: the oldest scores %d, the newest %d", score(0), score(59))
	}
	made.Pool.Add(ReuseSeen{Runner: "r", Keys: prompt(40), Held: false})
	if score(24) != 1 || score(59) != 2 {
		t.Fatalf("a cold first token: block 24 scores %d, the newest %d", score(24), score(59))
	}
	made.Pool.Add(BlockRemoved{Runner: "r", Keys: prompt(59)})
	if score(59) != 0 {
		t.Fatal("a request that was put back still counts")
	}
	store(started.Add(IdleAge), 70)
	made.Pool.Add(Aged{Runner: "r", Now: started.Add(IdleAge + time.Minute)})
	if score(58) != 1 || score(70) != 2 {
		t.Fatalf("age: an old one scores %d, a fresh one %d", score(58), score(70))
	}
	made.Pool.Add(AllBlocksCleared{Runner: "r"})
	if score(70) != 2 {
		t.Fatal("AllBlocksCleared must do nothing")
	}
	made.Pool.Add(RunnerGone{Runner: "r"})
	if score(70) != 0 || made.Index.Keys() != 0 {
		t.Fatalf("a runner that is gone leaves %d keys", made.Index.Keys())
	}
}

// Each runner's events apply in the order they were added, with workers side by side.
func TestEventsOfOneRunnerKeepTheirOrder(t *testing.T) {
	made, err := NewIndexer(DefaultSeed, 10_000, 16, 4)
	if err != nil {
		t.Fatal(err)
	}
	keys := made.Processor.BlockKeys([]string{"a", "b"}, Extra{})
	set := map[string]bool{}
	for range 50 {
		for number := range 12 {
			runner := fmt.Sprint("r", number)
			set[runner] = true
			made.Pool.Add(BlockRemoved{Runner: runner, Keys: keys})
			made.Pool.Add(BlockStored{Runner: runner, Now: started, Keys: keys, Tokens: []int{1, 1}})
		}
	}
	made.Pool.Close()
	if made.Pool.Dropped.Load() > 0 {
		t.Fatal("events were dropped")
	}
	for runner, score := range made.Score(keys, set) {
		if score != 2 {
			t.Errorf("%s ends with %d", runner, score)
		}
	}
	if len(made.Score(keys, set)) != 12 {
		t.Fatal("runners are missing")
	}
}

func BenchmarkScore(bench *testing.B) {
	made, err := NewIndexer(DefaultSeed, DefaultKeys, DefaultRunners, 0)
	if err != nil {
		bench.Fatal(err)
	}
	set := map[string]bool{}
	parts := []string{"system", "b", "c", "d", "e", "f"}
	for number := range 18 {
		runner := fmt.Sprint("r", number)
		set[runner] = true
		made.Index.Add(started, made.Processor.BlockKeys(parts[:1+number%6], Extra{}), runner)
	}
	bench.ReportAllocs()
	for bench.Loop() {
		made.Score(made.Processor.BlockKeys(parts, Extra{Model: "m"}), set)
	}
}

const fixedKeys = "3dbdfa2eef99b695 4878291ec4f94206"
