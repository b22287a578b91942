package controller

import (
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/election"
	"wardtray/coordination/gossip"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// newTestList returns the list of the first of two daemons of a zone.
func newTestList(address string) *runnerList {
	noPeers := func() []gossip.Peer { return nil }
	ignore := func(_ time.Time, _ *wire.GossipEntry) {}
	store := gossip.New("a", statemachine.NewOutbox(), rand.New(rand.NewSource(1)), noPeers, ignore)
	list := newRunnerList("a", address, election.New(started, address), store)
	list.setOrder([]string{"d0", "d1"})
	return list
}

// listEntry returns a list of one runner, written under an epoch.
func listEntry(t *testing.T, epoch uint64) *wire.GossipEntry {
	t.Helper()
	value, err := proto.Marshal(&wire.RunnerList{Runners: []*wire.Runner{{RunnerId: "r"}}})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.GossipEntry{Key: "z/a/runners", Epoch: epoch, Writer: "d0", Value: value}
}

// The elected daemon polls and spreads the list; a poll is requested once until its result arrives.
func TestElectedDaemonPolls(t *testing.T) {
	list := newTestList("d0")
	list.tick(started)
	if !list.takePollRequest() || list.takePollRequest() {
		t.Fatal("not requested exactly once")
	}
	list.tick(started.Add(pollInterval))
	if list.takePollRequest() {
		t.Error("requested beside a poll under way")
	}
	list.polled(started, []*wire.Runner{{RunnerId: "r"}}, false)
	if entry := list.gossip.Get(list.listKey()); entry.GetWriter() != "d0" || entry.GetCount() != 1 {
		t.Errorf("%v is spread", entry)
	}
	list.tick(started.Add(pollInterval))
	if !list.takePollRequest() {
		t.Error("not requested again")
	}
}

// Another daemon polls only for itself, and only if no list arrives.
func TestOtherDaemonsPollForThemselves(t *testing.T) {
	list := newTestList("d1")
	if outdated := list.onGossipEntry(started, listEntry(t, 2)); outdated || len(list.runners) != 1 {
		t.Fatalf("%v, outdated is %v", list.runners, outdated)
	}
	list.onGossipEntry(started.Add(listTimeout-time.Millisecond), &wire.GossipEntry{Key: "z/a/beat/d0"})
	list.tick(started.Add(listTimeout))
	if list.takePollRequest() {
		t.Error("polls beside the elected daemon")
	}
	now := started.Add(listTimeout + 1)
	list.tick(now)
	if !list.takePollRequest() {
		t.Error("does not poll without a list")
	}
	list.polled(now, nil, true)
	if len(list.runners) != 1 {
		t.Error("a failed poll changed the list")
	}
	list.polled(now, []*wire.Runner{{RunnerId: "r"}, {RunnerId: "s"}}, false)
	if len(list.runners) != 2 || list.gossip.Get(list.listKey()) != nil {
		t.Errorf("%v; spread: %v", list.runners, list.gossip.Get(list.listKey()))
	}
}

// A list of a previous holder of the duty is outdated and changes nothing.
func TestOutdatedListsAreIgnored(t *testing.T) {
	list := newTestList("d1")
	list.onGossipEntry(started, listEntry(t, 2))
	adopted := list.runners
	if outdated := list.onGossipEntry(started, listEntry(t, 1)); !outdated || &list.runners[0] != &adopted[0] {
		t.Errorf("outdated is %v", outdated)
	}
	unreadable := &wire.GossipEntry{Key: "z/a/runners", Epoch: 3, Writer: "d0", Value: []byte{0xff}}
	if outdated := list.onGossipEntry(started, unreadable); outdated || &list.runners[0] != &adopted[0] {
		t.Error("an unreadable list was adopted, or counts as outdated")
	}
}

// The heartbeats of a restarted daemon exceed those of its previous incarnation.
func TestHeartbeatsExceedThePreviousIncarnation(t *testing.T) {
	list := newTestList("d0")
	previous := &wire.GossipEntry{Key: "z/a/beat/d0", Epoch: 4, Count: 99, Writer: "d0"}
	list.gossip.Put(started, previous, 1)
	list.tick(started.Add(heartbeatInterval))
	if entry := list.gossip.Get("z/a/beat/d0"); entry.Epoch != 5 || entry.Count != 1 {
		t.Errorf("%v", entry)
	}
}
