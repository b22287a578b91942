package lease

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wardtray/wire"
)

// one is one of five machines, each of which may be head, and a keeper as well.
type one struct {
	id      string
	holder  *Lessee
	keeper  *Lessor
	view    uint64
	voted   bool
	cleared uint64
	up      bool
	// slow is how much later than others this machine's messages arrive; deaf tells that it learns no views.
	slow time.Duration
	deaf bool
}

type note struct {
	at   time.Time
	take func(now time.Time)
}

// heads and lists give the head and the keepers of each view. Heads stay for a while, go, and come back.
var (
	heads = []int{0, 0, 0, 1, 1, 2, 0, 0, 3, 1, 4, 4, 0, 2, 2}
	lists = [][]int{{0, 1, 2}, {0, 1, 2}, {0, 1, 3}, {0, 2, 3}, {1, 2, 3}, {1, 2, 4}, {0, 2, 4}}
)

func member(place int) *wire.Member {
	return &wire.Member{Id: fmt.Sprint("m", place), Address: fmt.Sprint("m", place)}
}

// made gives a view with its terms.
func made(epoch uint64) *wire.View {
	view := &wire.View{Epoch: 1, HeadTerm: 1, Chain: []*wire.Member{member(heads[0])}}
	for next := uint64(2); next <= epoch; next++ {
		head := member(heads[int(next-1)%len(heads)])
		if head.Id != view.Chain[0].Id {
			view.PreviousHead, view.PreviousTerm, view.HeadTerm = view.Chain[0], view.HeadTerm, next
		}
		view.Epoch, view.Chain = next, []*wire.Member{head}
	}
	return view
}

func keepersOf(epoch uint64) []int { return lists[int(epoch-1)%len(lists)] }

// step is how much time passes between two moments of a trial.
const step = 4 * time.Millisecond

// trial is five machines that ask for claims while keepers vote, learn, skip views, die and start again, messages take any
// time, and proof comes that a head has moved on or is dead.
type trial struct {
	random   *rand.Rand
	now      time.Time
	machines []*one
	notes    []note
	// newest is the newest view that was chosen.
	newest uint64
	// last held the claim last, at lastAt; -1 if nobody did.
	last   int
	lastAt time.Time
	// votes is the number of moments in which a keeper votes once, by chance: between calm spans, in which claims are held,
	// come spans in which one view follows another.
	votes int
	// turns counts how often the claim changed hands, quick how often it did within half a Term.
	turns, quick int
}

func newTrial(seed int64) *trial {
	started := time.Unix(1_700_000_000, 0)
	trial := &trial{random: rand.New(rand.NewSource(seed)), now: started, newest: 1, last: -1, lastAt: started, votes: 40}
	for place := range 5 {
		trial.machines = append(trial.machines, &one{id: member(place).Id, holder: NewLessee(0), keeper: Restore(started, made(1), 0), view: 1, up: true})
	}
	return trial
}

// later lets something happen when a message of a machine's arrives, late by what the machine sleeps now and then.
func (trial *trial) later(from *one, take func(now time.Time)) {
	trial.notes = append(trial.notes, note{trial.now.Add(from.slow + time.Duration(trial.random.Int63n(int64(20*time.Millisecond)))), take})
}

// deliver lets every message arrive whose time has come.
func (trial *trial) deliver() {
	due := trial.notes
	trial.notes = nil
	for _, pending := range due {
		if pending.at.After(trial.now) {
			trial.notes = append(trial.notes, pending)
			continue
		}
		pending.take(trial.now)
	}
}

// learn lets a machine learn a view and tell the others that it has moved on.
func (trial *trial) learn(machine *one, epoch uint64) {
	if epoch <= machine.view {
		return
	}
	machine.view, machine.voted = epoch, false
	machine.keeper.Learn(trial.now, made(epoch))
	for _, other := range trial.machines {
		trial.later(machine, func(at time.Time) {
			if other.up {
				other.keeper.Heard(at, machine.id, epoch)
			}
		})
	}
}

// upset ends a calm span now and then: the present head hears nothing for a while, and the others move on without it.
func (trial *trial) upset() {
	if trial.random.Intn(60) == 0 {
		trial.votes = 400
	}
	if trial.last >= 0 && trial.now.Equal(trial.lastAt.Add(step)) && trial.random.Intn(40) == 0 {
		trial.machines[trial.last].deaf, trial.votes = true, 4
		if trial.random.Intn(3) == 0 {
			trial.machines[trial.last].up = false
		}
	}
}

// act lets a machine start, die or slow down by chance, and do its work.
func (trial *trial) act(place int, machine *one) {
	if !machine.up {
		if trial.random.Intn(20) == 0 {
			machine.up, machine.holder, machine.keeper = true, NewLessee(trial.random.Uint64()), Restore(trial.now, made(machine.view), machine.cleared)
		}
		return
	}
	if trial.random.Intn(800) == 0 {
		machine.up = false
		return
	}
	if trial.random.Intn(200) == 0 {
		machine.slow = time.Duration(trial.random.Int63n(int64(200*time.Millisecond))) * time.Duration(trial.random.Intn(2))
		machine.deaf = false
	}
	if machine.keeper.Allows(trial.now, false) {
		machine.cleared = machine.keeper.Term()
	}
	trial.tryOther(machine)
	if machine.heads(place) && trial.random.Intn(4) == 0 {
		trial.ask(machine)
	}
}

// heads tells whether the machine at a place is head of the view that it knows.
func (machine *one) heads(place int) bool {
	return heads[int(machine.view-1)%len(heads)] == place
}

// tryOther tries another machine's address at this moment; the answer comes later.
func (trial *trial) tryOther(machine *one) {
	other, tried := trial.machines[trial.random.Intn(5)], trial.now
	if other.up {
		return
	}
	trial.later(machine, func(at time.Time) {
		if machine.up {
			machine.keeper.Refused(at, other.id, tried)
		}
	})
}

// ask asks the keepers of a head's view for the claim.
func (trial *trial) ask(machine *one) {
	holder, view := machine.holder, machine.view
	nonce := holder.Ask(trial.now, view)
	for _, seat := range keepersOf(view) {
		keeper := trial.machines[seat]
		trial.later(machine, func(then time.Time) {
			if keeper.up && keeper.view == view && keeper.keeper.Allows(then, keeper.voted) {
				trial.later(keeper, func(at time.Time) { holder.Grant(at, keeper.id, view, nonce, 2) })
			}
		})
	}
}

// choose lets keepers vote; once most of the newest view have, the next one is chosen, and whoever hears of it learns it.
func (trial *trial) choose() {
	voted := 0
	for _, seat := range keepersOf(trial.newest) {
		if trial.machines[seat].voted && trial.machines[seat].view == trial.newest {
			voted++
		}
	}
	if voted >= 2 {
		trial.newest++
	}
	for place, machine := range trial.machines {
		if machine.up && !machine.deaf && trial.random.Intn(8) == 0 {
			trial.learn(machine, trial.newest)
		}
		for _, seat := range keepersOf(machine.view) {
			if machine.up && seat == place && machine.view == trial.newest && trial.random.Intn(trial.votes) == 0 {
				machine.voted = true
			}
		}
	}
}

// holders gives the machines that hold a valid claim now.
func (trial *trial) holders() (places []int) {
	for place, machine := range trial.machines {
		if machine.up && machine.heads(place) && machine.holder.Valid(trial.now, machine.view) {
			places = append(places, place)
		}
	}
	return places
}

// count takes down who holds the claim.
func (trial *trial) count(acting int) {
	if acting != trial.last {
		trial.turns++
		if trial.now.Sub(trial.lastAt) < Term/2 {
			trial.quick++
		}
		trial.last = acting
	}
	trial.lastAt = trial.now
}

// run tells whether never two machines held the claim at once.
func (trial *trial) run() bool {
	for range 3000 {
		trial.now = trial.now.Add(step)
		trial.upset()
		trial.deliver()
		for place, machine := range trial.machines {
			trial.act(place, machine)
		}
		trial.choose()
		holders := trial.holders()
		if len(holders) > 1 {
			return false
		}
		for _, acting := range holders {
			trial.count(acting)
		}
	}
	return true
}

// No two machines ever hold valid claims at once.
func TestHoldersOfTwoReignsNeverOverlap(t *testing.T) {
	turns, quick := 0, 0
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("exclusive", prop.ForAll(func(seed int64) bool {
		trial := newTrial(seed)
		exclusive := trial.run()
		turns, quick = turns+trial.turns, quick+trial.quick
		return exclusive
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("the claim changed hands %d times, %d of them quickly", turns, quick)
	if turns < 100 || quick < 20 {
		t.Fatalf("the claim changed hands only %d times, %d of them quickly", turns, quick)
	}
}

func TestGrantsOfOtherRoundsDoNotCount(t *testing.T) {
	holder, now := NewLessee(7), time.Unix(1_700_000_000, 0)
	first := holder.Ask(now, 1)
	second := holder.Ask(now, 1)
	holder.Grant(now, "b", 1, first, 2)
	holder.Grant(now, "a", 1, second, 2)
	holder.Grant(now, "a", 1, second, 2)
	if holder.Valid(now, 1) {
		t.Fatal("one keeper counted as two")
	}
	holder.Grant(now, "b", 1, second, 2)
	if !holder.Valid(now, 1) || holder.Valid(now.Add(Held), 1) || holder.Valid(now, 2) {
		t.Fatal("a claim is valid for its view, until Held after it was asked for")
	}
}

// A keeper grants in a new term before its Term is over only with proof of every head that may still act.
func TestWhatProvesThatAHeadActsNoMore(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	term := func(epoch, since uint64, head string, previous string, previousSince uint64) *wire.View {
		return &wire.View{Epoch: epoch, HeadTerm: since, Chain: []*wire.Member{{Id: head, Address: head}}, PreviousHead: &wire.Member{Id: previous, Address: previous}, PreviousTerm: previousSince}
	}
	first, second, third := term(5, 5, "a", "z", 1), term(6, 6, "b", "a", 5), term(7, 7, "c", "b", 6)
	long, moment := started.Add(time.Hour), time.Millisecond
	for name, one := range map[string]struct {
		do     func(keeper *Lessor)
		allows bool
	}{
		"nothing":                         {func(keeper *Lessor) { keeper.Learn(long, second) }, false},
		"the former head moved on":        {func(keeper *Lessor) { keeper.Learn(long, second); keeper.Heard(long, "a", 6) }, true},
		"the former head is where it was": {func(keeper *Lessor) { keeper.Learn(long, second); keeper.Heard(long, "a", 5) }, false},
		"another moved on":                {func(keeper *Lessor) { keeper.Learn(long, second); keeper.Heard(long, "x", 6) }, false},
		"nobody listens":                  {func(keeper *Lessor) { keeper.Learn(long, second); keeper.Refused(long, "a", long.Add(moment)) }, true},
		"nobody listened before":          {func(keeper *Lessor) { keeper.Learn(long, second); keeper.Refused(long, "a", long.Add(-moment)) }, false},
		"a reign was missed":              {func(keeper *Lessor) { keeper.Learn(long, third); keeper.Heard(long, "b", 7) }, false},
		"two reigns, one head moved on": {func(keeper *Lessor) {
			keeper.Learn(long, second)
			keeper.Learn(long, third)
			keeper.Heard(long, "b", 7)
		}, false},
		"two reigns, both moved on": {func(keeper *Lessor) {
			keeper.Learn(long, second)
			keeper.Learn(long, third)
			keeper.Heard(long, "b", 7)
			keeper.Heard(long, "a", 7)
		}, true},
		"one known, then one missed": {func(keeper *Lessor) {
			keeper.Learn(long, second)
			keeper.Learn(long, term(8, 8, "d", "c", 7))
			keeper.Heard(long, "a", 8)
		}, false},
		"the same head, but a reign later": {func(keeper *Lessor) { keeper.Learn(long, term(9, 9, "b", "a", 8)); keeper.Heard(long, "a", 9) }, false},
		"a reign missed, then the next": {func(keeper *Lessor) {
			keeper.Learn(long, third)
			keeper.Learn(long, term(8, 8, "d", "c", 7))
			keeper.Heard(long, "c", 8)
		}, false},
		"one more view of the same reign":      {func(keeper *Lessor) { keeper.Learn(long, term(6, 5, "a", "z", 1)) }, true},
		"a start with another reign on disk":   {func(keeper *Lessor) { *keeper = *Restore(long, second, 5) }, false},
		"a start with the same reign on disk":  {func(keeper *Lessor) { *keeper = *Restore(long, second, 6) }, true},
		"a start without anything on the disk": {func(keeper *Lessor) { *keeper = *Restore(long, second, 0) }, false},
	} {
		keeper := Restore(started, first, 0)
		if keeper.Allows(started.Add(Term-moment), false) || !keeper.Allows(started.Add(Term), false) {
			t.Fatal("a Term after the start, and not before")
		}
		if one.do(keeper); keeper.Allows(long, false) != one.allows || keeper.Allows(long, true) {
			t.Errorf("%s: allows %v", name, keeper.Allows(long, false))
		}
		if !keeper.Allows(long.Add(Term), false) {
			t.Errorf("%s: not a Term later", name)
		}
	}
}
