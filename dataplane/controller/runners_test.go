package controller

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/wire"
)

// grant lets the head at an address grant the last tick that was asked of it, with the sum of its runners.
func grant(director *Director, now time.Time, head string, sum uint64) {
	director.Tick(now)
	var nonce uint64
	for _, parcel := range director.Drain() {
		if ask := parcel.Envelope.GetTickAsk(); ask != nil && parcel.To == head {
			nonce = ask.Nonce
		}
	}
	director.Receive(now, &wire.Envelope{From: head, Body: &wire.Envelope_TickGrant{TickGrant: &wire.TickGrant{Nonce: nonce, Granted: true, Sequence: 7,
		View: &wire.View{Epoch: 1, Chain: []*wire.Member{{Address: head}}}, Runners: sum}}})
}

func awards(director *Director, now time.Time) bool { return now.Before(director.Until(now)) }

// A daemon that has just begun, or was cut off, relies on no tick of a head that knows other runners before it
// has learned them; one that awards goes on and learns beside that.
func TestTicksCountOnceTheRunnersAreLearned(t *testing.T) {
	begin := func() (*Director, time.Time) {
		director := New(begun, Startup{Address: "d0", Zone: "a", Seeds: []string{"seed"}, Registered: true}, rand.New(rand.NewSource(1)))
		director.Receive(begun, document(t, 7))
		director.Receive(begun, &wire.Envelope{Body: &wire.Envelope_ViewNews{ViewNews: &wire.ViewNews{View: &wire.View{Epoch: 1, Chain: []*wire.Member{{Address: "head"}}}}}})
		now := begun.Add(time.Second)
		grant(director, now, "head", 99)
		if awards(director, now) {
			t.Fatal("awards without the runners that the head knows")
		}
		return director, now
	}
	director, now := begin()
	asked := false
	for _, parcel := range director.Drain() {
		asked = asked || parcel.To == "head" && parcel.Envelope.GetRunnerDigest().GetAnswerWanted()
	}
	if !asked {
		t.Fatal("the head was not asked for its runners")
	}
	line := &wire.Runner{RunnerId: "r", State: "ready", Call: 1, Address: "x"}
	director.Receive(now, &wire.Envelope{From: "head", Body: &wire.Envelope_RunnerNews{RunnerNews: &wire.RunnerNews{Runners: []*wire.Runner{line}, Answer: true}}})
	again := false
	for _, parcel := range director.Drain() {
		again = again || parcel.To == "head" && parcel.Envelope.GetTickAsk() != nil
	}
	if !again {
		t.Fatal("no tick was asked for once the runners were learned")
	}
	now = now.Add(400 * time.Millisecond)
	grant(director, now, "head", 99)
	if !awards(director, now) || len(director.Snapshot(now).Runners) != 1 {
		t.Fatal("does not award with what it has learned")
	}
	now = now.Add(Staleness / 2)
	grant(director, now, "head", 123)
	if until := director.Until(now); until.Sub(now) < Staleness {
		t.Fatal("a daemon that awards was stopped by a runner that came")
	}
	// An old list is better than none where nobody gives a newer one.
	director, now = begin()
	for range 7 {
		now = now.Add(310 * time.Millisecond)
		grant(director, now, "head", 99)
	}
	if !awards(director, now) {
		t.Fatal("never awards")
	}
	// After a cut it begins anew.
	now = now.Add(10 * time.Second)
	grant(director, now, "head", 99)
	if awards(director, now) {
		t.Fatal("awards by an old list after a cut")
	}
}
