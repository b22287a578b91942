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

var started = time.Unix(1_700_000_000, 0)

var states = []string{Ready, Cold, Draining, Gone, Silent}

// anyRecord returns a record of one of few runners; many collide.
func anyRecord(random *rand.Rand) *wire.Runner {
	return &wire.Runner{
		RunnerId: fmt.Sprint("r", random.Intn(4)), State: states[random.Intn(len(states))],
		Call: uint64(random.Intn(4)), Address: fmt.Sprintf("10.0.0.%d:1", random.Intn(3)),
		Zone: "a", Service: "s", Slots: uint32(random.Intn(2)),
	}
}

func anyRecords(random *rand.Rand) []*wire.Runner {
	records := make([]*wire.Runner, random.Intn(30))
	for index := range records {
		records[index] = anyRecord(random)
	}
	return records
}

func same(left, right *Table) bool {
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
		table.Merge(started, group)
	}
	return table
}

func TestMergeIsTheSameInEveryOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("commutative, associative, idempotent", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		one, two, three := anyRecords(random), anyRecords(random), anyRecords(random)
		merged := mergedTable(one, two, three)
		all := append(append(append([]*wire.Runner{}, three...), one...), two...)
		random.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
		// What two others merged first arrives as their result, as it does in a mesh.
		other := mergedTable(three, two)
		pair := make([]*wire.Runner, 0, len(other.entries))
		for _, id := range other.ids() {
			pair = append(pair, other.Record(id))
		}
		return same(merged, mergedTable(three, two, one)) && same(merged, mergedTable(all)) &&
			same(merged, mergedTable(all, one, all)) && same(merged, mergedTable(one, pair))
	}, gen.Int64()))
	properties.Property("the order is total, and a record equals itself", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		one, two, three := anyRecord(random), anyRecord(random), anyRecord(random)
		ordered := Compare(one, two) == -Compare(two, one) && Compare(one, one) == 0
		return ordered && !(Compare(one, two) >= 0 && Compare(two, three) >= 0 && Compare(one, three) < 0)
	}, gen.Int64()))
	properties.Property("gone and draining are for good", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		table := NewTable()
		reached := map[string]int{}
		for _, record := range anyRecords(random) {
			table.Merge(started, []*wire.Runner{record})
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

func TestListChangesOnlyWithTheTable(t *testing.T) {
	table := NewTable()
	cold := &wire.Runner{RunnerId: "b", State: Cold, SlowStartMilliseconds: 2000, Call: 1, Address: "x"}
	table.Merge(started, []*wire.Runner{{RunnerId: "a", State: Ready, Call: 1, Address: "y"}, cold})
	first := table.Runners(started)
	if len(first) != 2 || first[1].State != Cold {
		t.Fatal(first)
	}
	table.Merge(started.Add(time.Second), []*wire.Runner{cold})
	if again := table.Runners(started.Add(1999 * time.Millisecond)); &again[0] != &first[0] {
		t.Fatal("another list without a change")
	}
	warm := table.Runners(started.Add(2 * time.Second))
	if &warm[0] == &first[0] || warm[1].State != Ready || first[1].State != Cold {
		t.Fatal(warm)
	}
	// What is sent to others later is what is left then.
	sent := table.All(started.Add(500 * time.Millisecond))[1]
	if sent.State != Cold || sent.SlowStartMilliseconds != 1500 {
		t.Fatal(sent)
	}
	table.Merge(started, []*wire.Runner{
		{RunnerId: "a", State: Draining, Call: 2},
		{RunnerId: "b", State: Silent, Call: 2},
	})
	if runners := table.Runners(started.Add(3 * time.Second)); len(runners) != 1 || runners[0].State != Draining {
		t.Fatal(runners)
	}
	table.Merge(started, []*wire.Runner{{RunnerId: "a", State: Gone, Call: 2}})
	if runners := table.Runners(started.Add(3 * time.Second)); runners == nil || len(runners) != 0 {
		t.Fatal(runners)
	}
	table.Prune(started.Add(retention - time.Second))
	if table.Record("a") == nil {
		t.Fatal("removed too early")
	}
	table.Prune(started.Add(retention + time.Second))
	if table.Record("a") != nil || table.Record("b") != nil {
		t.Fatal("never removed")
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for number := range MaximumRunners + 10 {
		table.Merge(started.Add(time.Duration(number)), []*wire.Runner{{RunnerId: fmt.Sprint("g", number), State: Gone}})
	}
	oldest, newest := table.Record("g0"), table.Record(fmt.Sprint("g", MaximumRunners+9))
	if len(table.entries) != MaximumRunners || oldest != nil || newest == nil {
		t.Fatal(len(table.entries))
	}
	for number := range MaximumRunners + 10 {
		table.Merge(started, []*wire.Runner{{RunnerId: fmt.Sprint("r", number), State: Ready}})
	}
	if len(table.entries) != MaximumRunners || len(table.Runners(started)) != MaximumRunners {
		t.Fatal(len(table.entries))
	}
	table.Merge(started, []*wire.Runner{{RunnerId: "", State: Ready}, {RunnerId: "odd", State: "odd"}})
	if table.Record("odd") != nil {
		t.Fatal("an odd record was merged")
	}
}
