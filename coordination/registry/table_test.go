package registry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

var startTime = time.Unix(1_700_000_000, 0)

var states = []string{Ready, Cold, Draining, Gone, Silent}

// randomRecord returns a record of one of four runners, with few values of each field, so that many records conflict.
func randomRecord(random *rand.Rand) *wire.Runner {
	return &wire.Runner{
		RunnerId: fmt.Sprint("r", random.Intn(4)), State: states[random.Intn(len(states))],
		Call: uint64(random.Intn(4)), Address: fmt.Sprintf("10.0.0.%d:1", random.Intn(3)),
		Zone: "a", Service: "s", Slots: uint32(random.Intn(2)),
	}
}

func randomRecords(random *rand.Rand) []*wire.Runner {
	records := make([]*wire.Runner, random.Intn(30))
	for index := range records {
		records[index] = randomRecord(random)
	}
	return records
}

func equalTables(left, right *Table) bool {
	if left.Checksum() != right.Checksum() || len(left.entries) != len(right.entries) {
		return false
	}
	for id := range left.entries {
		if !proto.Equal(left.Record(id), right.Record(id)) {
			return false
		}
	}
	return true
}

func mergedTable(groups ...[]*wire.Runner) *Table {
	table := NewTable()
	for _, group := range groups {
		table.Merge(startTime, group)
	}
	return table
}

// Tables that received the same records in any order, repeated or merged by other processes, must become equal:
// otherwise processes would disagree on the runners permanently.
func TestMergeIsTheSameInEveryOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("commutative, associative, idempotent", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		one, two, three := randomRecords(random), randomRecords(random), randomRecords(random)
		merged := mergedTable(one, two, three)
		all := append(append(append([]*wire.Runner{}, three...), one...), two...)
		random.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
		// Records that other processes have merged arrive as their result.
		other := mergedTable(three, two)
		pair := make([]*wire.Runner, 0, len(other.entries))
		for _, id := range other.ids() {
			pair = append(pair, other.Record(id))
		}
		return equalTables(merged, mergedTable(three, two, one)) && equalTables(merged, mergedTable(all)) &&
			equalTables(merged, mergedTable(all, one, all)) && equalTables(merged, mergedTable(one, pair))
	}, gen.Int64()))
	properties.Property("the order is total, and a record equals itself", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		one, two, three := randomRecord(random), randomRecord(random), randomRecord(random)
		ordered := Compare(one, two) == -Compare(two, one) && Compare(one, one) == 0
		return ordered && !(Compare(one, two) >= 0 && Compare(two, three) >= 0 && Compare(one, three) < 0)
	}, gen.Int64()))
	properties.Property("no record returns to a lower stage", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		table := NewTable()
		reached := map[string]int{}
		for _, record := range randomRecords(random) {
			table.Merge(startTime, []*wire.Runner{record})
			stage := stages[table.Record(record.RunnerId).State]
			if stage < reached[record.RunnerId] {
				return false
			}
			reached[record.RunnerId] = stage
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}

// The list of live runners must be replaced exactly when a record or the end of a slow start changes it, since its
// readers keep it.
func TestListChangesOnlyWithTheTable(t *testing.T) {
	table := NewTable()
	cold := &wire.Runner{RunnerId: "b", State: Cold, SlowStartMilliseconds: 2000, Call: 1, Address: "x"}
	table.Merge(startTime, []*wire.Runner{{RunnerId: "a", State: Ready, Call: 1, Address: "y"}, cold})
	first := table.Runners(startTime)
	if len(first) != 2 || first[1].State != Cold {
		t.Fatal(first)
	}
	table.Merge(startTime.Add(time.Second), []*wire.Runner{cold})
	if again := table.Runners(startTime.Add(1999 * time.Millisecond)); &again[0] != &first[0] {
		t.Fatal("the list was replaced without a change")
	}
	warm := table.Runners(startTime.Add(2 * time.Second))
	if &warm[0] == &first[0] || warm[1].State != Ready || first[1].State != Cold {
		t.Fatal(warm)
	}
	// A record that is sent later has the slow start that remains then.
	sent := table.All(startTime.Add(500 * time.Millisecond))[1]
	if sent.State != Cold || sent.SlowStartMilliseconds != 1500 {
		t.Fatal(sent)
	}
	table.Merge(startTime, []*wire.Runner{
		{RunnerId: "a", State: Draining, Call: 2},
		{RunnerId: "b", State: Silent, Call: 2},
	})
	if runners := table.Runners(startTime.Add(3 * time.Second)); len(runners) != 1 || runners[0].State != Draining {
		t.Fatal(runners)
	}
	table.Merge(startTime, []*wire.Runner{{RunnerId: "a", State: Gone, Call: 2}})
	if runners := table.Runners(startTime.Add(3 * time.Second)); runners == nil || len(runners) != 0 {
		t.Fatal(runners)
	}
	table.Prune(startTime.Add(retention - time.Second))
	if table.Record("a") == nil {
		t.Fatal("removed before the retention period")
	}
	table.Prune(startTime.Add(retention + time.Second))
	if table.Record("a") != nil || table.Record("b") != nil {
		t.Fatal("not removed after the retention period")
	}
}

// Other processes must not be able to fill the table beyond MaximumRunners, nor add records with unknown states.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for number := range MaximumRunners + 10 {
		table.Merge(startTime.Add(time.Duration(number)), []*wire.Runner{{RunnerId: fmt.Sprint("g", number), State: Gone}})
	}
	oldest, newest := table.Record("g0"), table.Record(fmt.Sprint("g", MaximumRunners+9))
	if len(table.entries) != MaximumRunners || oldest != nil || newest == nil {
		t.Fatal(len(table.entries))
	}
	for number := range MaximumRunners + 10 {
		table.Merge(startTime, []*wire.Runner{{RunnerId: fmt.Sprint("r", number), State: Ready}})
	}
	if len(table.entries) != MaximumRunners || len(table.Runners(startTime)) != MaximumRunners {
		t.Fatal(len(table.entries))
	}
	table.Merge(startTime, []*wire.Runner{{RunnerId: "", State: Ready}, {RunnerId: "odd", State: "odd"}})
	if table.Record("odd") != nil {
		t.Fatal("a record with an unknown state was merged")
	}
}
