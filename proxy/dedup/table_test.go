package dedup

import (
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var started = time.Unix(1_700_000_000, 0)

// Whatever is done in whatever order, a key is new at most once between two times that it is forgotten.
func TestKeyIsNewOnceUntilForgotten(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("at most once", prop.ForAll(func(steps []int) bool {
		table, now, taken := New(), started, map[Key]bool{}
		for _, step := range steps {
			key := KeyOf("lane", string(rune('a'+step%3)))
			now = now.Add(time.Second)
			actions := []func() bool{
				func() bool {
					_, isNew := table.Begin(now, key)
					correct := isNew != taken[key]
					taken[key] = true
					return correct
				},
				func() bool {
					if taken[key] {
						table.Finish(now, key, []State{Ran, Unknown}[step%2])
					}
					return true
				},
				func() bool {
					table.Forget(key)
					taken[key] = false
					return true
				},
			}
			if !actions[step/3%len(actions)]() {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}

func TestHeardIsOverruledByOwnRequests(t *testing.T) {
	table, key := New(), KeyOf("ruling", "r1")
	table.RecordAnnounced(started, key, false)
	if known, isNew := table.Begin(started, key); isNew || known != TakenElsewhere {
		t.Fatalf("taken by another: %q, %v", known, isNew)
	}
	table.RecordAnnounced(started, key, true)
	if _, isNew := table.Begin(started, key); !isNew {
		t.Fatal("dropped by the other and still taken")
	}
	table.RecordAnnounced(started, key, true)
	if known, isNew := table.Begin(started, key); isNew || known != Running {
		t.Fatalf("another's announcement removed our own request: %q, %v", known, isNew)
	}
	table.RecordAnnounced(started, key, false)
	if known := table.Lookup(key); known != Running {
		t.Fatalf("another's announcement replaced our own state by %q", known)
	}
}

func TestKeySeparatesRouteFromID(t *testing.T) {
	if KeyOf("ruling", "r1") == KeyOf("rulin", "gr1") {
		t.Fatal("two requests share a key")
	}
}

func TestEntriesExpire(t *testing.T) {
	table, key := New(), KeyOf("ruling", "r1")
	table.Begin(started, key)
	table.Finish(started, key, Unknown)
	if known, isNew := table.Begin(started.Add(Keep), key); isNew || known != Unknown {
		t.Fatalf("forgotten too soon: %q, %v", known, isNew)
	}
	if _, isNew := table.Begin(started.Add(Keep+time.Second), key); !isNew {
		t.Fatal("remembered for longer than said")
	}
}

// A full table takes no more requests, and forgets none of those that it has.
func TestTableIsBounded(t *testing.T) {
	table, accepted := New(), []Key{}
	var refused Key
	for number := range 2 * Limit * shardCount {
		key := KeyOf("lane", strconv.Itoa(number))
		if _, isNew := table.Begin(started, key); isNew {
			accepted = append(accepted, key)
			continue
		}
		refused = key
	}
	if len(accepted) != Limit*shardCount || table.Len() != len(accepted) {
		t.Fatalf("%d accepted, %d remembered", len(accepted), table.Len())
	}
	for _, key := range accepted {
		if table.Lookup(key) != Running {
			t.Fatal("forgotten to make room")
		}
		table.Finish(started, key, Ran)
	}
	if after := table.RoomAfter(started.Add(time.Minute), refused); after != Keep-time.Minute {
		t.Errorf("room after %v", after)
	}
	if _, isNew := table.Begin(started.Add(Keep+1), refused); !isNew {
		t.Error("no room when the others were forgotten")
	}
}

// A request that runs for longer than ended ones are kept is known for as long as it runs.
func TestRunningRequestsDoNotExpire(t *testing.T) {
	table, key := New(), KeyOf("ruling", "r1")
	table.Begin(started, key)
	for hour := range 3 {
		now := started.Add(time.Duration(hour) * time.Hour)
		if known, _ := table.Begin(now, key); known != Running {
			t.Fatalf("after %d hours: %q", hour, known)
		}
	}
	table.Finish(started.Add(3*time.Hour), key, Ran)
	if known := table.Lookup(key); known != Ran {
		t.Fatalf("at its end: %q", known)
	}
}
