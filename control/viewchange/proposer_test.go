package viewchange

import (
	"math/rand"
	"testing"
	"time"

	"wardtray/control/failuredetector"
	"wardtray/control/membership/membertest"
	"wardtray/control/reconfiguration"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

const (
	suspicion = 700 * time.Millisecond
	stagger   = 400 * time.Millisecond
)

// bench is a proposer with what it reads; everything that it sends stays in the outbox.
type bench struct {
	proposer *Proposer
	detector *failuredetector.Detector
	agent    *view.Agent
	outbox   *statemachine.Outbox
	self     *wire.Member
}

func newBench(self string, current *wire.View, vote *wire.AcceptorState, founders ...string) *bench {
	bench := &bench{self: membertest.Member(self), outbox: statemachine.NewOutbox()}
	bench.detector = failuredetector.New(start, bench.self, suspicion, time.Hour)
	bench.agent = view.NewAgent(start, self, current, vote, bench.outbox, bench.detector.Resolve,
		func(time.Time, *wire.View) {})
	settings := Settings{Founders: founders, Founding: len(founders) > 0, Suspicion: suspicion, Stagger: stagger}
	bench.proposer = New(start, settings, bench.self, bench.agent, reconfiguration.NewPlanner(suspicion),
		rand.New(rand.NewSource(1)))
	return bench
}

// hear lets the bench's process hear from peers that hear only those in reachable.
func (bench *bench) hear(now time.Time, ids string, heartbeat *wire.Heartbeat) {
	for _, id := range ids {
		bench.detector.HandleHeartbeat(now, "", &wire.Heartbeat{Member: membertest.Member(string(id)), View: heartbeat.View,
			Blank: heartbeat.Blank, Reachable: heartbeat.Reachable})
	}
}

// proposes ticks the proposer, and reports whether it began to propose.
func (bench *bench) proposes(now time.Time) bool {
	bench.proposer.Tick(&reconfiguration.Facts{Now: now, View: bench.agent.Current(), Detector: bench.detector,
		Local: reconfiguration.Local{Member: bench.self}, Faults: 1})
	messages, writes := bench.outbox.Drain()
	return len(messages)+len(writes) > 0
}

func threeMembers() *wire.View {
	members := membertest.Members("abc")
	return &wire.View{Epoch: 3, Fleet: "f", Chain: members, Acceptors: members, MinReplicas: 2}
}

func TestTickProposes(t *testing.T) {
	t.Parallel()
	failed := &wire.Heartbeat{View: 3, Reachable: []string{"a", "b"}}
	complete := &wire.Heartbeat{View: 3, Reachable: []string{"a", "b", "c"}}
	for name, test := range map[string]struct {
		self, peers string
		heartbeat   *wire.Heartbeat
		after       time.Duration
		want        bool
	}{
		"the view is right":                {"a", "bc", complete, time.Minute, false},
		"the first acceptor, just started": {"a", "b", failed, suspicion - 1, false},
		"the first acceptor":               {"a", "b", failed, suspicion, true},
		"the second acceptor":              {"b", "a", failed, suspicion, false},
		"no acceptor":                      {"d", "ab", failed, suspicion, false},
	} {
		bench := newBench(test.self, threeMembers(), nil)
		bench.hear(start.Add(test.after), test.peers, test.heartbeat)
		if got := bench.proposes(start.Add(test.after)); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	second := newBench("b", threeMembers(), nil)
	second.hear(start.Add(suspicion), "a", failed)
	second.proposes(start.Add(suspicion))
	second.hear(start.Add(suspicion+stagger), "a", failed)
	if !second.proposes(start.Add(suspicion + stagger)) {
		t.Error("the second acceptor proposes nothing after its delay")
	}
}

func TestTickFinishesAnOpenVote(t *testing.T) {
	t.Parallel()
	voted := &wire.View{Epoch: 4, Chain: membertest.Members("ab"), Acceptors: membertest.Members("abc")}
	vote := &wire.AcceptorState{Instance: 4, Value: voted}
	for self, delay := range map[string]time.Duration{"a": stagger, "b": 2 * stagger, "c": 3 * stagger} {
		bench := newBench(self, threeMembers(), vote)
		if !bench.agent.Voted() {
			t.Fatal("no open vote, so that nothing is tested")
		}
		for _, test := range []struct {
			after time.Duration
			want  bool
		}{{0, false}, {delay - 1, false}, {delay, true}} {
			bench.hear(start.Add(test.after), "abc", &wire.Heartbeat{View: 3, Reachable: []string{"a", "b", "c"}})
			if got := bench.proposes(start.Add(test.after)); got != test.want {
				t.Errorf("%s after %v: %v", self, test.after, got)
			}
		}
	}
}

func TestTickBootstraps(t *testing.T) {
	t.Parallel()
	now := start.Add(time.Second)
	for name, test := range map[string]struct {
		self, peers string
		blank       bool
		now         time.Time
		want        bool
	}{
		"one is missing":           {"a", "b", true, now, false},
		"one is not blank":         {"a", "bc", false, now, false},
		"all are there":            {"a", "bc", true, now, true},
		"the first one goes first": {"b", "ac", true, now, false},
		"another after its delay":  {"b", "ac", true, start.Add(foundingDelay), true},
		"no founder":               {"d", "abc", true, now, false},
	} {
		bench := newBench(test.self, nil, nil, "a:1", "b:1", "c:1")
		bench.hear(test.now, test.peers, &wire.Heartbeat{Blank: test.blank})
		if got := bench.proposes(test.now); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestMayVote(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		bench *bench
		want  bool
	}{
		"an acceptor":            {newBench("a", threeMembers(), nil), true},
		"no acceptor":            {newBench("d", threeMembers(), nil), false},
		"a founder":              {newBench("a", nil, nil, "a:1"), true},
		"not permitted to found": {newBench("a", nil, nil), false},
		"founded by others":      {newBench("a", nil, nil, "b:1"), false},
	} {
		if got := test.bench.proposer.MayVote(); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
