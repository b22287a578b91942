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

// fixture is a proposer with its dependencies; everything that it sends stays in the outbox.
type fixture struct {
	proposer *Proposer
	detector *failuredetector.Detector
	agent    *view.Agent
	outbox   *statemachine.Outbox
	self     *wire.Member
}

func newFixture(self string, current *wire.View, vote *wire.AcceptorState, founders ...string) *fixture {
	fixture := &fixture{self: membertest.Member(self), outbox: statemachine.NewOutbox()}
	fixture.detector = failuredetector.New(start, fixture.self, suspicion, time.Hour)
	fixture.agent = view.NewAgent(start, self, current, vote, fixture.outbox, fixture.detector.Resolve,
		func(time.Time, *wire.View) {})
	settings := Settings{Founders: founders, Founding: len(founders) > 0, Suspicion: suspicion, Stagger: stagger}
	fixture.proposer = New(start, settings, fixture.self, fixture.agent, reconfiguration.NewPlanner(suspicion),
		rand.New(rand.NewSource(1)))
	return fixture
}

// hear delivers the heartbeat to the proposer's process once from each peer in ids, which holds one letter per peer.
func (fixture *fixture) hear(now time.Time, ids string, heartbeat *wire.Heartbeat) {
	for _, id := range ids {
		fixture.detector.HandleHeartbeat(now, "", &wire.Heartbeat{Member: membertest.Member(string(id)), View: heartbeat.View,
			Blank: heartbeat.Blank, Reachable: heartbeat.Reachable})
	}
}

// proposes ticks the proposer and reports whether it started a proposal.
func (fixture *fixture) proposes(now time.Time) bool {
	fixture.proposer.Tick(&reconfiguration.Facts{Now: now, View: fixture.agent.Current(), Detector: fixture.detector,
		Local: reconfiguration.Local{Member: fixture.self}, Faults: 1})
	messages, writes := fixture.outbox.Drain()
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
		"no change is needed":              {"a", "bc", complete, time.Minute, false},
		"the first acceptor, just started": {"a", "b", failed, suspicion - 1, false},
		"the first acceptor":               {"a", "b", failed, suspicion, true},
		"the second acceptor":              {"b", "a", failed, suspicion, false},
		"no acceptor":                      {"d", "ab", failed, suspicion, false},
	} {
		fixture := newFixture(test.self, threeMembers(), nil)
		fixture.hear(start.Add(test.after), test.peers, test.heartbeat)
		if got := fixture.proposes(start.Add(test.after)); got != test.want {
			t.Errorf("%s: proposes %v", name, got)
		}
	}
	second := newFixture("b", threeMembers(), nil)
	second.hear(start.Add(suspicion), "a", failed)
	second.proposes(start.Add(suspicion))
	second.hear(start.Add(suspicion+stagger), "a", failed)
	if !second.proposes(start.Add(suspicion + stagger)) {
		t.Error("the second acceptor does not propose after its delay")
	}
}

func TestTickFinishesAnOpenVote(t *testing.T) {
	t.Parallel()
	voted := &wire.View{Epoch: 4, Chain: membertest.Members("ab"), Acceptors: membertest.Members("abc")}
	vote := &wire.AcceptorState{Instance: 4, Value: voted}
	for self, delay := range map[string]time.Duration{"a": stagger, "b": 2 * stagger, "c": 3 * stagger} {
		fixture := newFixture(self, threeMembers(), vote)
		if !fixture.agent.Voted() {
			t.Fatal("the agent has no open vote, so the test checks nothing")
		}
		for _, test := range []struct {
			after time.Duration
			want  bool
		}{{0, false}, {delay - 1, false}, {delay, true}} {
			fixture.hear(start.Add(test.after), "abc", &wire.Heartbeat{View: 3, Reachable: []string{"a", "b", "c"}})
			if got := fixture.proposes(start.Add(test.after)); got != test.want {
				t.Errorf("%s after %v: proposes %v", self, test.after, got)
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
		"one founder is missing":           {"a", "b", true, now, false},
		"one founder is not blank":         {"a", "bc", false, now, false},
		"all founders are up":              {"a", "bc", true, now, true},
		"not the first founder":            {"b", "ac", true, now, false},
		"another founder, after the delay": {"b", "ac", true, start.Add(foundingDelay), true},
		"not a founder":                    {"d", "abc", true, now, false},
	} {
		fixture := newFixture(test.self, nil, nil, "a:1", "b:1", "c:1")
		fixture.hear(test.now, test.peers, &wire.Heartbeat{Blank: test.blank})
		if got := fixture.proposes(test.now); got != test.want {
			t.Errorf("%s: proposes %v", name, got)
		}
	}
}

func TestMayVote(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		fixture *fixture
		want    bool
	}{
		"an acceptor":            {newFixture("a", threeMembers(), nil), true},
		"no acceptor":            {newFixture("d", threeMembers(), nil), false},
		"a founder":              {newFixture("a", nil, nil, "a:1"), true},
		"not permitted to found": {newFixture("a", nil, nil), false},
		"founded by others":      {newFixture("a", nil, nil, "b:1"), false},
	} {
		if got := test.fixture.proposer.MayVote(); got != test.want {
			t.Errorf("%s: may vote %v", name, got)
		}
	}
}
