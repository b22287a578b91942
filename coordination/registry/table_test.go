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

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

var states = []string{Ready, Cold, Draining, Gone, Silent}

// anyLine gives a line of one of few runners; many collide.
func anyLine(random *rand.Rand) *wire.Runner {
	return &wire.Runner{RunnerId: fmt.Sprint("r", random.Intn(4)), State: states[random.Intn(len(states))], Call: uint64(random.Intn(4)),
		Address: fmt.Sprintf("10.0.0.%d:1", random.Intn(3)), Zone: "a", Service: "s", Slots: uint32(random.Intn(2))}
}

func anyLines(random *rand.Rand) []*wire.Runner {
	lines := make([]*wire.Runner, random.Intn(30))
	for place := range lines {
		lines[place] = anyLine(random)
	}
	return lines
}

func same(left, right *Table) bool {
	if left.Checksum() != right.Checksum() || len(left.entries) != len(right.entries) {
		return false
	}
	for id := range left.entries {
		if !proto.Equal(left.Line(id), right.Line(id)) {
			return false
		}
	}
	return true
}

func joined(groups ...[]*wire.Runner) *Table {
	book := NewTable()
	for _, group := range groups {
		book.Take(started, group)
	}
	return book
}

func TestJoinIsTheSameInEveryOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("commutative, associative, idempotent", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		one, two, three := anyLines(random), anyLines(random), anyLines(random)
		whole := joined(one, two, three)
		all := append(append(append([]*wire.Runner{}, three...), one...), two...)
		random.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
		// What two others joined first comes as their result, as it does in a mesh.
		var pair []*wire.Runner
		other := joined(three, two)
		for _, id := range other.ids() {
			pair = append(pair, other.Line(id))
		}
		return same(whole, joined(three, two, one)) && same(whole, joined(all)) && same(whole, joined(all, one, all)) && same(whole, joined(one, pair))
	}, gen.Int64()))
	properties.Property("the order is total and a line is newer than itself by nothing", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		one, two, three := anyLine(random), anyLine(random), anyLine(random)
		ordered := Compare(one, two) == -Compare(two, one) && Compare(one, one) == 0
		return ordered && !(Compare(one, two) >= 0 && Compare(two, three) >= 0 && Compare(one, three) < 0)
	}, gen.Int64()))
	properties.Property("gone and draining are for good", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		book := NewTable()
		reached := map[string]int{}
		for _, line := range anyLines(random) {
			book.Take(started, []*wire.Runner{line})
			stage := stages[book.Line(line.RunnerId).State]
			if stage < reached[line.RunnerId] {
				return false
			}
			reached[line.RunnerId] = stage
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}

// pair are two exchanges whose messages reach each other.
type pair struct {
	boxes     [2]*statemachine.Outbox
	exchanges [2]*Exchange
}

func newPair() *pair {
	made := &pair{}
	for place := range made.boxes {
		made.boxes[place] = statemachine.NewOutbox()
		made.exchanges[place] = NewExchange(made.boxes[place])
	}
	return made
}

// carry delivers until nobody sends any more; it gives how many messages there were.
func (pair *pair) carry(now time.Time) int {
	count := 0
	for moved := true; moved; {
		moved = false
		for place, box := range pair.boxes {
			parcels, _ := box.Drain()
			for _, parcel := range parcels {
				count, moved = count+1, true
				to := pair.exchanges[1-place]
				if news := parcel.Envelope.GetRunnerUpdate(); news != nil {
					to.News(now, "other", news)
				}
				if digest := parcel.Envelope.GetRunnerDigest(); digest != nil {
					to.Digest(now, "other", digest)
				}
			}
			if count > 100 {
				return count
			}
		}
	}
	return count
}

// Whatever two processes missed, one comparison of their sums makes their live runners the same, and then
// they say nothing more.
func TestSumsThatDifferAreMended(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("one round", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		pair := newPair()
		for _, exchange := range pair.exchanges {
			exchange.Take(started, anyLines(random))
		}
		left, right := pair.exchanges[0], pair.exchanges[1]
		left.Compare(started, "other", right.Checksum())
		if pair.carry(started) > 6 {
			return false
		}
		right.Compare(started, "other", left.Checksum())
		return pair.carry(started) <= 6 && left.Checksum() == right.Checksum() && func() bool {
			left.Compare(started.Add(time.Minute), "other", right.Checksum())
			return pair.carry(started) == 0
		}()
	}, gen.Int64()))
	properties.TestingRun(t)
}

func TestListIsAnotherOneOnlyWhenSomethingChanged(t *testing.T) {
	book := NewTable()
	cold := &wire.Runner{RunnerId: "b", State: Cold, SlowStartMilliseconds: 2000, Call: 1, Address: "x"}
	book.Take(started, []*wire.Runner{{RunnerId: "a", State: Ready, Call: 1, Address: "y"}, cold})
	first := book.Runners(started)
	if len(first) != 2 || first[1].State != Cold {
		t.Fatal(first)
	}
	book.Take(started.Add(time.Second), []*wire.Runner{cold})
	if again := book.Runners(started.Add(1999 * time.Millisecond)); &again[0] != &first[0] {
		t.Fatal("another list without a change")
	}
	warm := book.Runners(started.Add(2 * time.Second))
	if &warm[0] == &first[0] || warm[1].State != Ready || first[1].State != Cold {
		t.Fatal(warm)
	}
	// What is told to others later is what is left then.
	if told := book.All(started.Add(500 * time.Millisecond))[1]; told.State != Cold || told.SlowStartMilliseconds != 1500 {
		t.Fatal(told)
	}
	book.Take(started, []*wire.Runner{{RunnerId: "a", State: Draining, Call: 2}, {RunnerId: "b", State: Silent, Call: 2}})
	if left := book.Runners(started.Add(3 * time.Second)); len(left) != 1 || left[0].State != Draining {
		t.Fatal(left)
	}
	book.Take(started, []*wire.Runner{{RunnerId: "a", State: Gone, Call: 2}})
	if left := book.Runners(started.Add(3 * time.Second)); left == nil || len(left) != 0 {
		t.Fatal(left)
	}
	book.Prune(started.Add(remembered - time.Second))
	if book.Line("a") == nil {
		t.Fatal("forgotten too early")
	}
	book.Prune(started.Add(remembered + time.Second))
	if book.Line("a") != nil || book.Line("b") != nil {
		t.Fatal("never forgotten")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	book := NewTable()
	for number := range MaximumRunners + 10 {
		book.Take(started.Add(time.Duration(number)), []*wire.Runner{{RunnerId: fmt.Sprint("g", number), State: Gone}})
	}
	if len(book.entries) != MaximumRunners || book.Line("g0") != nil || book.Line(fmt.Sprint("g", MaximumRunners+9)) == nil {
		t.Fatal(len(book.entries))
	}
	for number := range MaximumRunners + 10 {
		book.Take(started, []*wire.Runner{{RunnerId: fmt.Sprint("r", number), State: Ready}})
	}
	if len(book.entries) != MaximumRunners || len(book.Runners(started)) != MaximumRunners {
		t.Fatal(len(book.entries))
	}
	book.Take(started, []*wire.Runner{{RunnerId: "", State: Ready}, {RunnerId: "odd", State: "odd"}})
	if book.Line("odd") != nil {
		t.Fatal("an odd line was taken")
	}
}
