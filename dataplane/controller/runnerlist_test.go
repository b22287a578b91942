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

// newTestList returns the runner list of a daemon in a zone of two, d0 and d1, of which d0 comes first in the election.
func newTestList(address string) *runnerList {
	noPeers := func() []gossip.Peer { return nil }
	ignore := func(_ time.Time, _ *wire.GossipEntry) {}
	store := gossip.New("a", statemachine.NewOutbox(), rand.New(rand.NewSource(1)), noPeers, ignore)
	list := newRunnerList("a", address, election.New(started, address), store)
	list.setOrder([]string{"d0", "d1"})
	return list
}

// listEntry returns the gossip entry of a list of one runner, written by d0 with an epoch.
func listEntry(t *testing.T, epoch uint64) *wire.GossipEntry {
	t.Helper()
	value, err := proto.Marshal(&wire.RunnerList{Runners: []*wire.Runner{{RunnerId: "r"}}})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.GossipEntry{Key: "z/a/runners", Epoch: epoch, Writer: "d0", Value: value}
}

// The elected daemon polls and distributes the list. No second poll is requested before the result of the first.
func TestElectedDaemonPolls(t *testing.T) {
	list := newTestList("d0")
	list.tick(started)
	if !list.takePollRequest() || list.takePollRequest() {
		t.Fatal("the poll was not requested exactly once")
	}
	list.tick(started.Add(pollInterval))
	if list.takePollRequest() {
		t.Error("a poll was requested while another was in progress")
	}
	list.polled(started, []*wire.Runner{{RunnerId: "r"}}, false)
	if entry := list.gossip.Get(list.listKey()); entry.GetWriter() != "d0" || entry.GetCount() != 1 {
		t.Errorf("distributed entry: %v, want the first one of d0", entry)
	}
	list.tick(started.Add(pollInterval))
	if !list.takePollRequest() {
		t.Error("no poll was requested after the result of the first")
	}
}

// A daemon that is not elected polls only if no list arrives, and does not distribute the result.
func TestOtherDaemonsPollForThemselves(t *testing.T) {
	list := newTestList("d1")
	if outdated := list.onGossipEntry(started, listEntry(t, 2)); outdated || len(list.runners) != 1 {
		t.Fatalf("runners %v, outdated is %v", list.runners, outdated)
	}
	list.onGossipEntry(started.Add(listTimeout-time.Millisecond), &wire.GossipEntry{Key: "z/a/beat/d0"})
	list.tick(started.Add(listTimeout))
	if list.takePollRequest() {
		t.Error("polls although the elected daemon does")
	}
	now := started.Add(listTimeout + 1)
	list.tick(now)
	if !list.takePollRequest() {
		t.Error("does not poll although no list has arrived for longer than listTimeout")
	}
	list.polled(now, nil, true)
	if len(list.runners) != 1 {
		t.Error("a failed poll changed the list")
	}
	list.polled(now, []*wire.Runner{{RunnerId: "r"}, {RunnerId: "s"}}, false)
	if len(list.runners) != 2 || list.gossip.Get(list.listKey()) != nil {
		t.Errorf("runners %v; distributed entry: %v, want none", list.runners, list.gossip.Get(list.listKey()))
	}
}

// A delayed list of a previously elected daemon is outdated and must not replace a newer one. An undecodable list
// changes nothing either.
func TestOutdatedListsAreIgnored(t *testing.T) {
	list := newTestList("d1")
	list.onGossipEntry(started, listEntry(t, 2))
	adopted := list.runners
	if outdated := list.onGossipEntry(started, listEntry(t, 1)); !outdated || &list.runners[0] != &adopted[0] {
		t.Errorf("an older list: outdated is %v, or the list was adopted", outdated)
	}
	unreadable := &wire.GossipEntry{Key: "z/a/runners", Epoch: 3, Writer: "d0", Value: []byte{0xff}}
	if outdated := list.onGossipEntry(started, unreadable); outdated || &list.runners[0] != &adopted[0] {
		t.Error("an undecodable list was adopted, or counts as outdated")
	}
}

// The heartbeats of a restarted daemon follow those of its previous incarnation. Otherwise other daemons would ignore
// them and consider the daemon dead.
func TestHeartbeatsExceedThePreviousIncarnation(t *testing.T) {
	list := newTestList("d0")
	previous := &wire.GossipEntry{Key: "z/a/beat/d0", Epoch: 4, Count: 99, Writer: "d0"}
	list.gossip.Put(started, previous, 1)
	list.tick(started.Add(heartbeatInterval))
	if entry := list.gossip.Get("z/a/beat/d0"); entry.Epoch != 5 || entry.Count != 1 {
		t.Errorf("heartbeat %v, want epoch 5 and count 1", entry)
	}
}
