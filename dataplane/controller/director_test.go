package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/node"
	"wardtray/wire"
)

var begun = time.Unix(1_700_000_000, 0)

const text = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

// document is a rumor that carries a document of a sequence, with five daemons in its directory.
func document(t *testing.T, sequence uint64) *wire.Envelope {
	made := &wire.Document{Sequence: sequence, SpecEpoch: sequence, PackedSpec: config.Pack([]byte(text))}
	for number := range 5 {
		name := fmt.Sprint("d", number)
		made.Directory = append(made.Directory, &wire.Member{Id: name, Address: name, Zone: "a"})
	}
	value, err := proto.Marshal(made)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.Envelope{From: "x", Body: &wire.Envelope_Rumor{Rumor: &wire.Rumor{Registers: []*wire.Register{{Key: node.DocumentKey, Epoch: sequence, Value: value}}}}}
}

// keepers are the members of the views of these tests.
var keepers = []*wire.Member{{Id: "k0", Address: "c0"}, {Id: "k1", Address: "c1"}, {Id: "k2", Address: "c2"}}

// viewOf gives a view whose head is the first keeper.
func viewOf(epoch uint64) *wire.View {
	return &wire.View{Epoch: epoch, Chain: keepers, Keepers: keepers}
}

// ask lets the director tick and gives the nonces of its questions to core machines, by address.
func ask(director *Director, now time.Time) map[string]uint64 {
	director.Tick(now)
	questions := map[string]uint64{}
	for _, parcel := range director.Drain() {
		if question := parcel.Envelope.GetTickAsk(); question != nil {
			questions[parcel.To] = question.Nonce
		}
	}
	return questions
}

// answer has a keeper answer the question that was sent to it.
func answer(director *Director, now time.Time, questions map[string]uint64, keeper int, grant *wire.TickGrant) {
	grant.Nonce = questions[keepers[keeper].Address]
	director.Receive(now, &wire.Envelope{From: keepers[keeper].Address, Sender: keepers[keeper].Id, Body: &wire.Envelope_TickGrant{TickGrant: grant}})
}

func confirms(sequence, epoch uint64) *wire.TickGrant {
	return &wire.TickGrant{ViewEpoch: epoch, Sequence: sequence, Confirmed: true}
}

// withDocument makes a director that has a document and knows a view, but holds no lease.
func withDocument(t *testing.T, startup Startup) *Director {
	startup.Address, startup.Zone = "d0", "a"
	director := New(begun, startup, rand.New(rand.NewSource(1)))
	director.Receive(begun, document(t, 7))
	director.Receive(begun, &wire.Envelope{From: "c0", Sender: "k0", Body: &wire.Envelope_ViewNews{ViewNews: &wire.ViewNews{View: viewOf(3)}}})
	director.Drain()
	return director
}

// A daemon that begins without a head forgot what it knew. A majority of the keepers lets it serve; one keeper does
// not, nor do those that know more, that go by another view, that refuse, or that say the same twice.
func TestServesByAMajorityOfTheKeepers(t *testing.T) {
	director := withDocument(t, Startup{})
	now := begun.Add(2 * time.Second)
	questions := ask(director, now)
	if len(questions) != len(keepers) {
		t.Fatalf("asked %v", questions)
	}
	serves := func() bool { return now.Before(director.Until(now)) }
	answer(director, now, questions, 0, confirms(7, 3))
	answer(director, now, questions, 0, confirms(7, 3))
	if serves() {
		t.Fatal("serves by one of three keepers")
	}
	answer(director, now, questions, 1, confirms(8, 3))
	answer(director, now, questions, 2, &wire.TickGrant{ViewEpoch: 3, Sequence: 7})
	if serves() {
		t.Fatal("serves by a keeper that knows more and one that confirms nothing")
	}
	director.Receive(now, document(t, 8))
	director.Drain()
	now = now.Add(time.Second)
	questions = ask(director, now)
	answer(director, now, questions, 1, confirms(8, 2))
	answer(director, now, questions, 0, confirms(8, 3))
	if serves() {
		t.Fatal("serves by a keeper of an older view")
	}
	answer(director, now, questions, 2, confirms(8, 3))
	if !serves() {
		t.Fatal("does not serve with a majority of the keepers behind it")
	}
	if now = now.Add(Staleness); serves() {
		t.Fatal("serves beyond what was asked for")
	}
}

// The keepers of one view make up no majority of the next one's.
func TestANewViewEndsItsKeepersWords(t *testing.T) {
	director := withDocument(t, Startup{})
	now := begun.Add(2 * time.Second)
	questions := ask(director, now)
	answer(director, now, questions, 0, confirms(7, 3))
	director.Receive(now, &wire.Envelope{From: "c0", Sender: "k0", Body: &wire.Envelope_ViewNews{ViewNews: &wire.ViewNews{View: viewOf(4)}}})
	answer(director, now, questions, 1, confirms(7, 4))
	if now.Before(director.Until(now)) {
		t.Fatal("serves by one keeper of each of two views")
	}
}

// lead gives the director a lease of the head's, asked for at a moment.
func lead(director *Director, now time.Time) {
	questions := ask(director, now)
	answer(director, now, questions, 0, &wire.TickGrant{ViewEpoch: 3, Sequence: 7, Granted: true})
}

// A daemon that reaches no core machine goes on for as long as it was told, and not a moment longer; one that reaches
// a machine that neither grants nor confirms, or hears of something newer, stops with its lease.
func TestGoesOnWithoutAnyCore(t *testing.T) {
	const without = 10 * time.Second
	cases := map[string]struct {
		without  time.Duration
		answer   *wire.TickGrant
		from, to time.Duration
	}{
		"no core answers":                   {without: without, from: 0, to: Staleness + without},
		"not allowed":                       {from: 0, to: Staleness},
		"a minority answers":                {without: without, answer: &wire.TickGrant{ViewEpoch: 3, Sequence: 7}, from: 0, to: Staleness},
		"a machine that begins answers":     {without: without, answer: &wire.TickGrant{ViewEpoch: 3, Starting: true}, from: 0, to: Staleness + without},
		"a machine that begins knows newer": {without: without, answer: &wire.TickGrant{ViewEpoch: 3, Sequence: 8, Starting: true}, from: 0, to: Staleness},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			director := withDocument(t, Startup{WithoutCore: test.without})
			start := begun.Add(time.Second)
			lead(director, start)
			for now := start; now.Before(start.Add(2*Staleness + without)); now = now.Add(50 * time.Millisecond) {
				questions := ask(director, now)
				if _, asked := questions["c1"]; asked && test.answer != nil {
					answer(director, now, questions, 1, proto.Clone(test.answer).(*wire.TickGrant))
				}
				since := now.Sub(start)
				if serves := now.Before(director.Until(now)); serves != (since >= test.from && since < test.to) {
					t.Fatalf("%v after the question: serves %v", since, serves)
				}
			}
		})
	}
}

// Whoever was frozen has asked nobody meanwhile, so that silence says nothing.
func TestAFrozenDaemonIsNotAlone(t *testing.T) {
	director := withDocument(t, Startup{WithoutCore: time.Minute})
	lead(director, begun.Add(time.Second))
	now := begun.Add(8 * time.Second)
	if now.Before(director.Until(now)) {
		t.Fatal("serves when it wakes")
	}
	ask(director, now)
	if now.Before(director.Until(now)) {
		t.Fatal("serves after one question")
	}
}

// Found by verify/simulation: a daemon that was alone already was frozen, and went on as alone when it woke.
func TestADaemonFrozenWhileAloneIsNotAlone(t *testing.T) {
	director := withDocument(t, Startup{WithoutCore: time.Minute})
	start := begun.Add(time.Second)
	lead(director, start)
	now := start
	for now.Before(start.Add(2 * Staleness)) {
		now = now.Add(50 * time.Millisecond)
		ask(director, now)
	}
	if !now.Before(director.Until(now)) {
		t.Fatal("is not alone, so that nothing is put to the test")
	}
	now = now.Add(5 * time.Second)
	if now.Before(director.Until(now)) {
		t.Fatal("serves when it wakes")
	}
	ask(director, now)
	if now.Before(director.Until(now)) {
		t.Fatal("serves after one question")
	}
}

// A daemon that has begun anew has no document of its own life to go on with.
func TestARestartedDaemonIsNotAlone(t *testing.T) {
	director := withDocument(t, Startup{WithoutCore: time.Minute})
	for now := begun; now.Before(begun.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
		ask(director, now)
		if now.Before(director.Until(now)) {
			t.Fatal("serves without ever having held a lease")
		}
	}
}

// A tick counts from its question, only with the document it speaks of, and not from an older view.
func TestTicksCountFromTheQuestion(t *testing.T) {
	director := New(begun, Startup{Address: "d0", Zone: "a", Seeds: []string{"c0"}}, rand.New(rand.NewSource(1)))
	director.Receive(begun, document(t, 7))
	question := func(now time.Time) uint64 {
		director.Tick(now)
		for _, parcel := range director.Drain() {
			if asked := parcel.Envelope.GetTickAsk(); asked != nil {
				return asked.Nonce
			}
		}
		t.Fatal("no question")
		return 0
	}
	grant := func(now time.Time, nonce, sequence, view uint64) {
		director.Receive(now, &wire.Envelope{From: "c0", Body: &wire.Envelope_TickGrant{TickGrant: &wire.TickGrant{Nonce: nonce, Granted: true, Sequence: sequence,
			View: &wire.View{Epoch: view, Chain: []*wire.Member{{Id: "c", Address: "c0"}}}}}})
	}
	first := question(begun)
	grant(begun.Add(time.Second), first, 8, 3)
	if now := begun.Add(time.Second); now.Before(director.Until(now)) {
		t.Fatal("serves without the document that the head has")
	}
	second := question(begun.Add(time.Second))
	late := begun.Add(2 * time.Second)
	grant(late, second, 7, 2)
	if late.Before(director.Until(late)) {
		t.Fatal("serves by a head of an older view")
	}
	third := question(late)
	late = late.Add(time.Second)
	grant(late, third, 7, 3)
	if until := director.Until(late); !until.Equal(begun.Add(2*time.Second + Staleness)) {
		t.Fatalf("serves until %v", until.Sub(begun))
	}
	grant(late.Add(time.Second), third, 7, 3)
	if until := director.Until(late); !until.Equal(begun.Add(2*time.Second + Staleness)) {
		t.Fatal("an answer counted twice")
	}
}
