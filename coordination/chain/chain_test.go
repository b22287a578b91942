package chain

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

// row is a chain whose members are stepped by hand.
type row struct {
	now     time.Time
	chains  map[string]*Chain
	outbox  map[string]*statemachine.Outbox
	writes  map[string][]statemachine.Write
	mail    []letter
	commits map[string]uint64
}

type letter struct {
	from, to string
	envelope *wire.Envelope
}

func newRow(names ...string) *row {
	made := &row{now: started, chains: map[string]*Chain{}, outbox: map[string]*statemachine.Outbox{}, writes: map[string][]statemachine.Write{}, commits: map[string]uint64{}}
	for _, name := range names {
		made.add(name)
	}
	made.adopt(1, names...)
	return made
}

func (row *row) add(name string) {
	row.outbox[name] = statemachine.NewOutbox()
	row.chains[name] = New(name, nil, nil, row.outbox[name], func(member *wire.Member) string { return member.Id },
		func(_ time.Time, sequence uint64) { row.commits[name] = sequence })
}

// adopt tells all members a view.
func (row *row) adopt(epoch uint64, names ...string) {
	view := &wire.View{Epoch: epoch, MinReplicas: 1}
	for _, name := range names {
		view.Chain = append(view.Chain, &wire.Member{Id: name, Address: name})
	}
	for _, chain := range row.chains {
		chain.Adopt(row.now, view)
	}
}

// gather takes what a member sent and wants written.
func (row *row) gather() {
	for name, outbox := range row.outbox {
		parcels, writes := outbox.Drain()
		for _, parcel := range parcels {
			row.mail = append(row.mail, letter{name, parcel.To, proto.Clone(parcel.Envelope).(*wire.Envelope)})
		}
		row.writes[name] = append(row.writes[name], writes...)
	}
}

func (row *row) sync(name string) {
	row.gather()
	for _, write := range row.writes[name] {
		row.outbox[name].Done(row.now, write.Sequence)
	}
	row.writes[name] = nil
	row.gather()
}

// deliver carries all mail until there is none.
func (row *row) deliver() {
	row.gather()
	for len(row.mail) > 0 {
		letter := row.mail[0]
		row.mail = row.mail[1:]
		row.hand(letter)
		row.gather()
	}
}

func (row *row) hand(letter letter) {
	chain, envelope := row.chains[letter.to], letter.envelope
	if pass := envelope.GetChainForward(); pass != nil {
		chain.Pass(row.now, letter.from, pass)
	}
	if hold := envelope.GetChainAck(); hold != nil {
		chain.Hold(row.now, letter.from, hold)
		chain.Aligned(row.now, letter.from, hold)
	}
	if ask := envelope.GetLearnRequest(); ask != nil {
		chain.Teach(letter.from, ask)
	}
	if answer := envelope.GetLearnResponse(); answer != nil {
		chain.Learned(row.now, answer)
	}
}

func change(number int) *wire.Entry {
	return &wire.Entry{ChangesSpec: true, Operation: fmt.Sprint("o", number), SpecEpoch: uint64(number), Spec: []byte(fmt.Sprint(number))}
}

// Nothing is committed before every disk of the chain has synced it, one after the other.
func TestNoCommitBeforeEverySync(t *testing.T) {
	row := newRow("a", "b", "c")
	row.deliver()
	if err := row.chains["a"].Enter(row.now, change(1)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b", "c"} {
		row.deliver()
		for member, sequence := range row.commits {
			if sequence > 0 {
				t.Fatalf("%s committed before the disk of %s", member, name)
			}
		}
		row.sync(name)
	}
	row.deliver()
	for _, name := range []string{"a", "b", "c"} {
		if row.commits[name] != 1 {
			t.Errorf("%s did not commit", name)
		}
	}
}

// A member that was out with a change nobody else has gives it up when it comes back.
func TestWhatWasLeftBehindIsGivenUp(t *testing.T) {
	row := newRow("a", "b", "c")
	row.deliver()
	if err := row.chains["a"].Enter(row.now, change(1)); err != nil {
		t.Fatal(err)
	}
	row.sync("a")
	row.mail = nil
	row.adopt(2, "b", "c")
	row.deliver()
	if err := row.chains["b"].Enter(row.now, change(2)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		row.sync("b")
		row.deliver()
		row.sync("c")
		row.deliver()
	}
	if err := row.chains["a"].Enter(row.now, change(3)); err == nil {
		t.Fatal("a member outside the chain took a change")
	}
	row.chains["a"].AskToLearn("c")
	row.deliver()
	if row.chains["a"].LearnedView() == 2 {
		t.Fatal("learned before its disk had it")
	}
	row.sync("a")
	row.adopt(3, "b", "c", "a")
	for range 5 {
		row.now = row.now.Add(time.Second)
		for _, chain := range row.chains {
			chain.Tick(row.now)
		}
		row.deliver()
	}
	for name, chain := range row.chains {
		if got := chain.Latest(); got.SpecEpoch != 2 || len(got.Outcomes) != 1 || got.Outcomes[0].Operation != "o2" {
			t.Errorf("%s holds %v", name, got)
		}
	}
}

// disorder plays a chain in which messages and syncs come in any order, are lost and come twice.
type disorder struct {
	*row
	random  *rand.Rand
	names   []string
	entered int
}

// enter lets the head take a change.
func (disorder *disorder) enter() {
	if disorder.chains["a"].Enter(disorder.now, change(disorder.entered+1)) == nil {
		disorder.entered++
	}
}

// handOne hands over any letter of the mail, which may come again; in calm none is lost.
func (disorder *disorder) handOne(calm bool) {
	if len(disorder.mail) == 0 {
		return
	}
	place := disorder.random.Intn(len(disorder.mail))
	letter := disorder.mail[place]
	if disorder.random.Intn(4) > 0 {
		disorder.mail = append(disorder.mail[:place], disorder.mail[place+1:]...)
	}
	if calm || disorder.random.Intn(5) > 0 {
		disorder.hand(letter)
	}
}

func (disorder *disorder) drawn() string { return disorder.names[disorder.random.Intn(4)] }

// step does one thing by chance; changes are entered only outside of calm.
func (disorder *disorder) step(calm bool) {
	disorder.now = disorder.now.Add(10 * time.Millisecond)
	disorder.gather()
	choices := []func(){
		func() {
			if !calm {
				disorder.enter()
			}
		},
		func() { disorder.sync(disorder.drawn()) },
		func() { disorder.chains[disorder.drawn()].Tick(disorder.now) },
		func() { disorder.handOne(calm) },
	}
	choices[disorder.random.Intn(len(choices))]()
}

// settle lets time pass until all has been said.
func (disorder *disorder) settle() {
	for range 30 {
		disorder.now = disorder.now.Add(time.Second)
		for _, name := range disorder.names {
			disorder.chains[name].Tick(disorder.now)
			disorder.sync(name)
		}
		disorder.deliver()
	}
}

// Losses, repeats and any order of messages and syncs: histories never differ, each holds what its
// successor holds, and all of it arrives in the end.
func TestAnyOrderGivesOneHistory(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		names := []string{"a", "b", "c", "d"}
		disorder := &disorder{row: newRow(names...), random: rand.New(rand.NewSource(seed)), names: names}
		for step := range 3000 {
			disorder.step(step > 2000)
			for place := range names[:3] {
				if disorder.chains[names[place+1]].Synced() > disorder.chains[names[place]].Synced() {
					t.Fatalf("seed %d: %s has more than %s", seed, names[place+1], names[place])
				}
			}
			if excess := len(disorder.mail) - 200; excess > 0 {
				disorder.mail = disorder.mail[excess:]
			}
		}
		disorder.settle()
		for _, name := range names {
			if got := disorder.chains[name].Committed(); got.SpecEpoch != uint64(disorder.entered) || disorder.entered == 0 {
				t.Fatalf("seed %d: %s committed %d of %d", seed, name, got.SpecEpoch, disorder.entered)
			}
		}
	}
}
