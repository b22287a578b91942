package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/coordination/gossip"
	"wardtray/coordination/lease"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

const text = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

// document is a gossip message that carries a document of a sequence, with five daemons in its directory.
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
	return &wire.Envelope{From: "x", Body: &wire.Envelope_GossipMessage{GossipMessage: &wire.GossipMessage{Entries: []*wire.GossipEntry{{Key: gossip.DocumentKey, Epoch: sequence, Value: value}}}}}
}

// acceptors are the members of the views of these tests.
var acceptors = []*wire.Member{{Id: "k0", Address: "c0"}, {Id: "k1", Address: "c1"}, {Id: "k2", Address: "c2"}}

// viewOf gives a view whose head is the first acceptor.
func viewOf(epoch uint64) *wire.View {
	return &wire.View{Epoch: epoch, Chain: acceptors, Acceptors: acceptors}
}

// ask lets the controller tick and gives the nonces of its questions to core machines, by address.
func ask(controller *Controller, now time.Time) map[string]uint64 {
	controller.Tick(now)
	questions := map[string]uint64{}
	for _, parcel := range controller.Drain() {
		if question := parcel.Envelope.GetDaemonLeaseRequest(); question != nil {
			questions[parcel.To] = question.Nonce
		}
	}
	return questions
}

// answer has a acceptor answer the question that was sent to it.
func answer(controller *Controller, now time.Time, questions map[string]uint64, acceptor int, grant *wire.DaemonLeaseGrant) {
	grant.Nonce = questions[acceptors[acceptor].Address]
	controller.Receive(now, &wire.Envelope{From: acceptors[acceptor].Address, Sender: acceptors[acceptor].Id, Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: grant}})
}

func confirms(sequence, epoch uint64) *wire.DaemonLeaseGrant {
	return &wire.DaemonLeaseGrant{ViewEpoch: epoch, Sequence: sequence, Confirmed: true}
}

// withDocument makes a controller that has a document and knows a view, but holds no lease.
func withDocument(t *testing.T, settings Settings) *Controller {
	settings.Address, settings.Zone = "d0", "a"
	controller := New(started, settings, rand.New(rand.NewSource(1)))
	controller.Receive(started, document(t, 7))
	controller.Receive(started, &wire.Envelope{From: "c0", Sender: "k0", Body: &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: viewOf(3)}}})
	controller.Drain()
	return controller
}

// A daemon that begins without a head forgot what it knew. A majority of the acceptors lets it serve; one acceptor does
// not, nor do those that know more, that go by another view, that refuse, or that say the same twice.
func TestServesByAMajorityOfTheAcceptors(t *testing.T) {
	controller := withDocument(t, Settings{})
	now := started.Add(2 * time.Second)
	questions := ask(controller, now)
	if len(questions) != len(acceptors) {
		t.Fatalf("asked %v", questions)
	}
	serves := func() bool { return now.Before(controller.Until(now)) }
	answer(controller, now, questions, 0, confirms(7, 3))
	answer(controller, now, questions, 0, confirms(7, 3))
	if serves() {
		t.Fatal("serves by one of three keepers")
	}
	answer(controller, now, questions, 1, confirms(8, 3))
	answer(controller, now, questions, 2, &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 7})
	if serves() {
		t.Fatal("serves by a keeper that knows more and one that confirms nothing")
	}
	controller.Receive(now, document(t, 8))
	controller.Drain()
	now = now.Add(time.Second)
	questions = ask(controller, now)
	answer(controller, now, questions, 1, confirms(8, 2))
	answer(controller, now, questions, 0, confirms(8, 3))
	if serves() {
		t.Fatal("serves by a keeper of an older view")
	}
	answer(controller, now, questions, 2, confirms(8, 3))
	if !serves() {
		t.Fatal("does not serve with a majority of the keepers behind it")
	}
	if now = now.Add(lease.DaemonTerm); serves() {
		t.Fatal("serves beyond what was asked for")
	}
}

// The acceptors of one view make up no majority of the next one's.
func TestANewViewEndsItsAcceptorsWords(t *testing.T) {
	controller := withDocument(t, Settings{})
	now := started.Add(2 * time.Second)
	questions := ask(controller, now)
	answer(controller, now, questions, 0, confirms(7, 3))
	controller.Receive(now, &wire.Envelope{From: "c0", Sender: "k0", Body: &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: viewOf(4)}}})
	answer(controller, now, questions, 1, confirms(7, 4))
	if now.Before(controller.Until(now)) {
		t.Fatal("serves by one keeper of each of two views")
	}
}

// lead gives the controller a lease of the head's, asked for at a moment.
func lead(controller *Controller, now time.Time) {
	questions := ask(controller, now)
	answer(controller, now, questions, 0, &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 7, Granted: true})
}

// A daemon that reaches no core machine goes on for as long as it was told, and not a moment longer; one that reaches
// a machine that neither grants nor confirms, or hears of something newer, stops with its lease.
func TestGoesOnWithoutAnyCore(t *testing.T) {
	const without = 10 * time.Second
	cases := map[string]struct {
		without  time.Duration
		answer   *wire.DaemonLeaseGrant
		from, to time.Duration
	}{
		"no core answers":                   {without: without, from: 0, to: lease.DaemonTerm + without},
		"not allowed":                       {from: 0, to: lease.DaemonTerm},
		"a minority answers":                {without: without, answer: &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 7}, from: 0, to: lease.DaemonTerm},
		"a machine that begins answers":     {without: without, answer: &wire.DaemonLeaseGrant{ViewEpoch: 3, Starting: true}, from: 0, to: lease.DaemonTerm + without},
		"a machine that begins knows newer": {without: without, answer: &wire.DaemonLeaseGrant{ViewEpoch: 3, Sequence: 8, Starting: true}, from: 0, to: lease.DaemonTerm},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := withDocument(t, Settings{WithoutCore: test.without})
			start := started.Add(time.Second)
			lead(controller, start)
			for now := start; now.Before(start.Add(2*lease.DaemonTerm + without)); now = now.Add(50 * time.Millisecond) {
				questions := ask(controller, now)
				if _, asked := questions["c1"]; asked && test.answer != nil {
					answer(controller, now, questions, 1, proto.Clone(test.answer).(*wire.DaemonLeaseGrant))
				}
				since := now.Sub(start)
				if serves := now.Before(controller.Until(now)); serves != (since >= test.from && since < test.to) {
					t.Fatalf("%v after the question: serves %v", since, serves)
				}
			}
		})
	}
}

// Whoever was frozen has asked nobody meanwhile, so that silence says nothing.
func TestAFrozenDaemonIsNotAlone(t *testing.T) {
	controller := withDocument(t, Settings{WithoutCore: time.Minute})
	lead(controller, started.Add(time.Second))
	now := started.Add(8 * time.Second)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves when it wakes")
	}
	ask(controller, now)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves after one question")
	}
}

// Found by verify/simulation: a daemon that was alone already was frozen, and went on as alone when it woke.
func TestADaemonFrozenWhileAloneIsNotAlone(t *testing.T) {
	controller := withDocument(t, Settings{WithoutCore: time.Minute})
	start := started.Add(time.Second)
	lead(controller, start)
	now := start
	for now.Before(start.Add(2 * lease.DaemonTerm)) {
		now = now.Add(50 * time.Millisecond)
		ask(controller, now)
	}
	if !now.Before(controller.Until(now)) {
		t.Fatal("is not alone, so that nothing is put to the test")
	}
	now = now.Add(5 * time.Second)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves when it wakes")
	}
	ask(controller, now)
	if now.Before(controller.Until(now)) {
		t.Fatal("serves after one question")
	}
}

// A daemon that has begun anew has no document of its own life to go on with.
func TestARestartedDaemonIsNotAlone(t *testing.T) {
	controller := withDocument(t, Settings{WithoutCore: time.Minute})
	for now := started; now.Before(started.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
		ask(controller, now)
		if now.Before(controller.Until(now)) {
			t.Fatal("serves without ever having held a lease")
		}
	}
}

// A tick counts from its question, only with the document it speaks of, and not from an older view.
func TestTicksCountFromTheQuestion(t *testing.T) {
	controller := New(started, Settings{Address: "d0", Zone: "a", Seeds: []string{"c0"}}, rand.New(rand.NewSource(1)))
	controller.Receive(started, document(t, 7))
	question := func(now time.Time) uint64 {
		controller.Tick(now)
		for _, parcel := range controller.Drain() {
			if asked := parcel.Envelope.GetDaemonLeaseRequest(); asked != nil {
				return asked.Nonce
			}
		}
		t.Fatal("no question")
		return 0
	}
	grant := func(now time.Time, nonce, sequence, view uint64) {
		controller.Receive(now, &wire.Envelope{From: "c0", Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: &wire.DaemonLeaseGrant{Nonce: nonce, Granted: true, Sequence: sequence,
			View: &wire.View{Epoch: view, Chain: []*wire.Member{{Id: "c", Address: "c0"}}}}}})
	}
	first := question(started)
	grant(started.Add(time.Second), first, 8, 3)
	if now := started.Add(time.Second); now.Before(controller.Until(now)) {
		t.Fatal("serves without the document that the head has")
	}
	second := question(started.Add(time.Second))
	late := started.Add(2 * time.Second)
	grant(late, second, 7, 2)
	if late.Before(controller.Until(late)) {
		t.Fatal("serves by a head of an older view")
	}
	third := question(late)
	late = late.Add(time.Second)
	grant(late, third, 7, 3)
	if until := controller.Until(late); !until.Equal(started.Add(2*time.Second + lease.DaemonTerm)) {
		t.Fatalf("serves until %v", until.Sub(started))
	}
	grant(late.Add(time.Second), third, 7, 3)
	if until := controller.Until(late); !until.Equal(started.Add(2*time.Second + lease.DaemonTerm)) {
		t.Fatal("an answer counted twice")
	}
}
