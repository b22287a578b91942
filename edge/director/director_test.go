package director

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/core"
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
	return &wire.Envelope{From: "x", Body: &wire.Envelope_Rumor{Rumor: &wire.Rumor{Registers: []*wire.Register{{Key: core.DocumentKey, Epoch: sequence, Value: value}}}}}
}

// answer has a daemon answer the last contact question that was sent to it.
func answer(director *Director, now time.Time, questions map[string]uint64, from string, ready bool, sequence uint64) {
	director.Receive(now, &wire.Envelope{From: from, Body: &wire.Envelope_ContactAnswer{ContactAnswer: &wire.ContactAnswer{
		Nonce: questions[from], Ready: ready, Sequence: sequence}}})
}

// ask lets the director tick with a silent head and gives the nonces of its contact questions.
func ask(director *Director, now time.Time) map[string]uint64 {
	director.Tick(now)
	questions := map[string]uint64{}
	for _, parcel := range director.Drain() {
		if question := parcel.Envelope.GetContactAsk(); question != nil {
			questions[parcel.To] = question.Nonce
		}
	}
	return questions
}

// A daemon that begins without a control plane forgot what it had confirmed, so that its own word may
// not make up the majority; nor may that of others that have just begun, or of those who know more.
func TestReadyOnlyByMostOfTheOthers(t *testing.T) {
	director := New(begun, Startup{Address: "d0", Zone: "a"}, rand.New(rand.NewSource(1)))
	director.Receive(begun, document(t, 7))
	now := begun.Add(2 * time.Second)
	questions := ask(director, now)
	if len(questions) != 4 {
		t.Fatalf("asked %v", questions)
	}
	serves := func() bool { return now.Before(director.Until(now)) }
	answer(director, now, questions, "d1", true, 7)
	answer(director, now, questions, "d2", true, 7)
	if serves() {
		t.Fatal("serves by two of five and its own word")
	}
	answer(director, now, questions, "d3", false, 0)
	answer(director, now, questions, "d4", true, 8)
	if serves() {
		t.Fatal("serves by one that is not ready and one that knows more")
	}
	director.Receive(now, document(t, 8))
	now = now.Add(time.Second)
	questions = ask(director, now)
	for _, name := range []string{"d1", "d2", "d3"} {
		answer(director, now, questions, name, true, 8)
	}
	if !serves() {
		t.Fatal("does not serve with most of the others behind it")
	}
	if now = now.Add(Staleness); serves() {
		t.Fatal("serves beyond what was asked for")
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
