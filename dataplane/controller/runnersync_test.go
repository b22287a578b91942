package controller

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/lease"
	"wardtray/coordination/registry"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const head = "head"

// grantAt lets the controller tick and the head grant the lease that was requested last, with a checksum of its
// runners.
func grantAt(controller *Controller, now time.Time, checksum uint64) {
	controller.Tick(now)
	var nonce uint64
	for _, message := range controller.Ready() {
		if sent := message.Envelope.GetDaemonLeaseRequest(); sent != nil && message.To == head {
			nonce = sent.Nonce
		}
	}
	response := &wire.DaemonLeaseGrant{
		Nonce:           nonce,
		Granted:         true,
		Sequence:        7,
		View:            &wire.View{Epoch: 1, Chain: []*wire.Member{{Address: head}}},
		RunnersChecksum: checksum,
	}
	body := &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: response}
	controller.Receive(now, &wire.Envelope{From: head, Body: body})
}

// serves reports whether a daemon may dispatch at a time.
func serves(controller *Controller, now time.Time) bool { return now.Before(controller.Until(now)) }

// startRegistered returns a daemon with registered runners that has a document and a view, and the current time. The
// head has just granted it a lease with a checksum of other runners, which does not count.
func startRegistered(t *testing.T) (*Controller, time.Time) {
	t.Helper()
	settings := Settings{Address: "d0", Zone: "a", Seeds: []string{"seed"}, Registered: true}
	controller := New(started, settings, rand.New(rand.NewSource(1)))
	controller.Receive(started, document(t, 7))
	controller.Receive(started, viewUpdate(&wire.View{Epoch: 1, Chain: []*wire.Member{{Address: head}}}))
	now := started.Add(time.Second)
	grantAt(controller, now, 99)
	if serves(controller, now) {
		t.Fatal("serves without the runners of the head")
	}
	return controller, now
}

// A daemon that has just started, or was partitioned, must not rely on a lease of a head that has other runners before
// it has received them, or it would dispatch by an outdated list. A daemon that serves continues to serve meanwhile.
func TestLeasesCountOnceTheRunnersAreLearned(t *testing.T) {
	controller, now := startRegistered(t)
	requested := false
	for _, message := range controller.Ready() {
		requested = requested || message.To == head && message.Envelope.GetRunnerDigest().GetResponseWanted()
	}
	if !requested {
		t.Fatal("the runners were not requested from the head")
	}
	runner := &wire.Runner{RunnerId: "r", State: "ready", Call: 1, Address: "x"}
	update := &wire.RunnerUpdate{Runners: []*wire.Runner{runner}, Response: true}
	body := &wire.Envelope_RunnerUpdate{RunnerUpdate: update}
	controller.Receive(now, &wire.Envelope{From: head, Body: body})
	again := false
	for _, message := range controller.Ready() {
		again = again || message.To == head && message.Envelope.GetDaemonLeaseRequest() != nil
	}
	if !again {
		t.Fatal("no lease was requested once the runners had arrived")
	}
	now = now.Add(400 * time.Millisecond)
	grantAt(controller, now, 99)
	if !serves(controller, now) || len(controller.Snapshot(now).Runners) != 1 {
		t.Fatal("does not serve with the runners of the head")
	}
	now = now.Add(lease.DaemonTTL / 2)
	grantAt(controller, now, 123)
	if until := controller.Until(now); until.Sub(now) < lease.DaemonTTL {
		t.Fatal("a new runner ended the lease of a daemon that serves")
	}
	// If no process sends a newer list, the daemon serves with the old one after disagreementTimeout.
	controller, now = startRegistered(t)
	for range 7 {
		now = now.Add(310 * time.Millisecond)
		grantAt(controller, now, 99)
	}
	if !serves(controller, now) {
		t.Fatal("does not serve after disagreementTimeout")
	}
	// After a partition it has to synchronize again.
	now = now.Add(10 * time.Second)
	grantAt(controller, now, 99)
	if serves(controller, now) {
		t.Fatal("serves with an old list after a partition")
	}
}

// A disagreement ends disagreementTimeout after its first lease. After a pause in the leases a new disagreement begins:
// otherwise a daemon that returns from a partition would serve at once with outdated runners.
func TestDisagreementObserve(t *testing.T) {
	tested := &disagreement{}
	now := started
	for now.Before(started.Add(disagreementTimeout)) {
		if tested.observe(now) {
			t.Fatalf("timed out after %v, before disagreementTimeout", now.Sub(started))
		}
		now = now.Add(disagreementGap)
	}
	if !tested.observe(now) {
		t.Error("does not time out")
	}
	if tested.observe(now.Add(disagreementGap + 1)) {
		t.Error("a disagreement that began after a pause has timed out at once")
	}
}

// A lease of a process with other runners counts only if that process has just sent all of its runners, or if this
// daemon already has a lease.
func TestCompareWithHead(t *testing.T) {
	const otherChecksum = 99
	for name, test := range map[string]struct {
		registered bool
		change     func(runnerSync *runnerSync)
		accepted   bool
	}{
		"other runners":     {true, func(_ *runnerSync) {}, false},
		"no registry":       {false, func(_ *runnerSync) {}, true},
		"lease held":        {true, func(sync *runnerSync) { sync.leases.grant(started, lease.DaemonTTL) }, true},
		"sent just now":     {true, func(sync *runnerSync) { updateAll(sync, started, head) }, true},
		"sent by another":   {true, func(sync *runnerSync) { updateAll(sync, started, "other") }, false},
		"sent too long ago": {true, func(sync *runnerSync) { updateAll(sync, started.Add(-syncWindow), head) }, false},
	} {
		exchange := registry.NewExchange(statemachine.NewOutbox())
		random := rand.New(rand.NewSource(1))
		sync := newRunnerSync(test.registered, nil, exchange, newTestLeases(), random)
		test.change(sync)
		if accepted := sync.compareWithHead(started, head, otherChecksum); accepted != test.accepted {
			t.Errorf("%s: the lease counts: %v", name, accepted)
		}
	}
}

// updateAll passes an update of a process that has no runners.
func updateAll(sync *runnerSync, now time.Time, from string) {
	sync.handleUpdate(now, from, &wire.RunnerUpdate{Response: true})
}
