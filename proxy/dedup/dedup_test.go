package dedup

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var started = time.Unix(1_700_000_000, 0)

// Whatever is done in whatever order, a key is taken at most once between two words that it did not run.
func TestTakenOnceUntilDropped(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("at most once", prop.ForAll(func(steps []int) bool {
		memory, now, taken := New(), started, map[Key]bool{}
		for _, step := range steps {
			key := KeyOf("lane", string(rune('a'+step%3)))
			now = now.Add(time.Second)
			actions := []func() bool{
				func() bool {
					_, fresh := memory.Begin(now, key)
					fine := fresh != taken[key]
					taken[key] = true
					return fine
				},
				func() bool {
					if taken[key] {
						memory.End(now, key, []State{Ran, Unknown}[step%2])
					}
					return true
				},
				func() bool { memory.Drop(key); taken[key] = false; return true },
			}
			if !actions[step/3%len(actions)]() {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}

func TestOthersWordAndBounds(t *testing.T) {
	memory, key := New(), KeyOf("ruling", "r1")
	memory.Heard(started, key, false)
	if known, fresh := memory.Begin(started, key); fresh || known != Elsewhere {
		t.Fatalf("taken by another: %q, %v", known, fresh)
	}
	memory.Heard(started, key, true)
	if _, fresh := memory.Begin(started, key); !fresh {
		t.Fatal("dropped by the other and still taken")
	}
	memory.Heard(started, key, true)
	if known, fresh := memory.Begin(started, key); fresh || known != Running {
		t.Fatalf("another's word took away our own: %q, %v", known, fresh)
	}
	if KeyOf("ruling", "r1") == KeyOf("rulin", "gr1") {
		t.Fatal("two requests share a key")
	}
	memory.End(started, key, Unknown)
	if _, fresh := memory.Begin(started.Add(Keep+time.Second), key); !fresh {
		t.Fatal("remembered for longer than said")
	}
	for number := range 2 * Limit * shardCount {
		memory.Begin(started, KeyOf("lane", string(rune(number))))
	}
	if memory.Count() > Limit*shardCount {
		t.Fatalf("%d remembered", memory.Count())
	}
}
