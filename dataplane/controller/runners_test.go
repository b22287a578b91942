package controller

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/lease"
	"wardtray/wire"
)

// grant lets the head at an address grant the last tick that was asked of it, with the sum of its runners.
func grant(controller *Controller, now time.Time, head string, sum uint64) {
	controller.Tick(now)
	var nonce uint64
	for _, parcel := range controller.Drain() {
		if ask := parcel.Envelope.GetDaemonLeaseRequest(); ask != nil && parcel.To == head {
			nonce = ask.Nonce
		}
	}
	controller.Receive(now, &wire.Envelope{From: head, Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: &wire.DaemonLeaseGrant{Nonce: nonce, Granted: true, Sequence: 7,
		View: &wire.View{Epoch: 1, Chain: []*wire.Member{{Address: head}}}, RunnersChecksum: sum}}})
}

func awards(controller *Controller, now time.Time) bool { return now.Before(controller.Until(now)) }

// A daemon that has just begun, or was cut off, relies on no tick of a head that knows other runners before it
// has learned them; one that awards goes on and learns beside that.
func TestTicksCountOnceTheRunnersAreLearned(t *testing.T) {
	begin := func() (*Controller, time.Time) {
		controller := New(started, Settings{Address: "d0", Zone: "a", Seeds: []string{"seed"}, Registered: true}, rand.New(rand.NewSource(1)))
		controller.Receive(started, document(t, 7))
		controller.Receive(started, &wire.Envelope{Body: &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: &wire.View{Epoch: 1, Chain: []*wire.Member{{Address: "head"}}}}}})
		now := started.Add(time.Second)
		grant(controller, now, "head", 99)
		if awards(controller, now) {
			t.Fatal("awards without the runners that the head knows")
		}
		return controller, now
	}
	controller, now := begin()
	asked := false
	for _, parcel := range controller.Drain() {
		asked = asked || parcel.To == "head" && parcel.Envelope.GetRunnerDigest().GetResponseWanted()
	}
	if !asked {
		t.Fatal("the head was not asked for its runners")
	}
	line := &wire.Runner{RunnerId: "r", State: "ready", Call: 1, Address: "x"}
	controller.Receive(now, &wire.Envelope{From: "head", Body: &wire.Envelope_RunnerUpdate{RunnerUpdate: &wire.RunnerUpdate{Runners: []*wire.Runner{line}, Response: true}}})
	again := false
	for _, parcel := range controller.Drain() {
		again = again || parcel.To == "head" && parcel.Envelope.GetDaemonLeaseRequest() != nil
	}
	if !again {
		t.Fatal("no tick was asked for once the runners were learned")
	}
	now = now.Add(400 * time.Millisecond)
	grant(controller, now, "head", 99)
	if !awards(controller, now) || len(controller.Snapshot(now).Runners) != 1 {
		t.Fatal("does not award with what it has learned")
	}
	now = now.Add(lease.DaemonTerm / 2)
	grant(controller, now, "head", 123)
	if until := controller.Until(now); until.Sub(now) < lease.DaemonTerm {
		t.Fatal("a daemon that awards was stopped by a runner that came")
	}
	// An old list is better than none where nobody gives a newer one.
	controller, now = begin()
	for range 7 {
		now = now.Add(310 * time.Millisecond)
		grant(controller, now, "head", 99)
	}
	if !awards(controller, now) {
		t.Fatal("never awards")
	}
	// After a cut it begins anew.
	now = now.Add(10 * time.Second)
	grant(controller, now, "head", 99)
	if awards(controller, now) {
		t.Fatal("awards by an old list after a cut")
	}
}
