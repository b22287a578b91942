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

// Begin must report a key as new at most once until Forget removes it, in any sequence of operations: otherwise a
// request runs twice.
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

// An announcement of another daemon must not overwrite the state of a request that this daemon has accepted.
func TestOwnStateTakesPrecedenceOverAnnouncements(t *testing.T) {
	table, key := New(), KeyOf("ruling", "r1")
	table.RecordAnnounced(started, key, false)
	if known, isNew := table.Begin(started, key); isNew || known != TakenElsewhere {
		t.Fatalf("after another daemon announced the request: state %q, new %v", known, isNew)
	}
	table.RecordAnnounced(started, key, true)
	if _, isNew := table.Begin(started, key); !isNew {
		t.Fatal("the other daemon announced that the request did not run, but it is still refused")
	}
	table.RecordAnnounced(started, key, true)
	if known, isNew := table.Begin(started, key); isNew || known != Running {
		t.Fatalf("an announcement removed the entry of an own request: state %q, new %v", known, isNew)
	}
	table.RecordAnnounced(started, key, false)
	if known := table.Lookup(key); known != Running {
		t.Fatalf("an announcement changed the state of an own request to %q", known)
	}
}

// If routes and ids were concatenated without a separator, two different requests could share a key, and one of them
// would be refused as a duplicate.
func TestKeySeparatesRouteFromID(t *testing.T) {
	if KeyOf("ruling", "r1") == KeyOf("rulin", "gr1") {
		t.Fatal("two different requests have the same key")
	}
}

// An entry that expires early lets a retry run a second time; one that never expires fills the table.
func TestEntriesExpire(t *testing.T) {
	table, key := New(), KeyOf("ruling", "r1")
	table.Begin(started, key)
	table.Finish(started, key, Unknown)
	if known, isNew := table.Begin(started.Add(retentionPeriod), key); isNew || known != Unknown {
		t.Fatalf("at the end of the retention period: state %q, new %v", known, isNew)
	}
	if _, isNew := table.Begin(started.Add(retentionPeriod+time.Second), key); !isNew {
		t.Fatal("the entry is kept longer than the retention period")
	}
}

// A full table must refuse new requests and never evict an entry to make room: the evicted request could run twice.
func TestTableIsBounded(t *testing.T) {
	table, accepted := New(), []Key{}
	var refused Key
	for number := range 2 * shardCapacity * shardCount {
		key := KeyOf("lane", strconv.Itoa(number))
		if _, isNew := table.Begin(started, key); isNew {
			accepted = append(accepted, key)
			continue
		}
		refused = key
	}
	if len(accepted) != shardCapacity*shardCount || table.Len() != len(accepted) {
		t.Fatalf("%d requests accepted, %d entries", len(accepted), table.Len())
	}
	for _, key := range accepted {
		if table.Lookup(key) != Running {
			t.Fatal("the entry of an accepted request was evicted")
		}
		table.Finish(started, key, Ran)
	}
	if after := table.RoomAfter(started.Add(time.Minute), refused); after != retentionPeriod-time.Minute {
		t.Errorf("RoomAfter returned %v", after)
	}
	if _, isNew := table.Begin(started.Add(retentionPeriod+1), refused); !isNew {
		t.Error("a request is refused although the other entries have expired")
	}
}

// The entry of a request that runs longer than the retention period must not expire while the request runs.
func TestRunningRequestsDoNotExpire(t *testing.T) {
	table, key := New(), KeyOf("ruling", "r1")
	table.Begin(started, key)
	for hour := range 3 {
		now := started.Add(time.Duration(hour) * time.Hour)
		if known, _ := table.Begin(now, key); known != Running {
			t.Fatalf("after %d hours: state %q", hour, known)
		}
	}
	table.Finish(started.Add(3*time.Hour), key, Ran)
	if known := table.Lookup(key); known != Ran {
		t.Fatalf("after Finish: state %q", known)
	}
}
