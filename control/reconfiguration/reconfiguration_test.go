package reconfiguration

import (
	"strings"
	"testing"
	"time"

	"wardtray/control/failuredetector"
	"wardtray/control/membership/membertest"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

const suspicion = 700 * time.Millisecond

// scenario describes the state that process a knows in view 3. Every process is a letter and alone in its zone; each
// one in alive hears all of alive and a, unless heartbeats says otherwise.
type scenario struct {
	chain, acceptors, alive string
	minReplicas             uint32
	lastWritable            string
	// heartbeats overrides the heartbeats of peers, by id.
	heartbeats map[string]*wire.Heartbeat
	local      Local
}

func (scenario scenario) facts(t *testing.T) *Facts {
	t.Helper()
	detector := failuredetector.New(start, membertest.Member("a"), suspicion, suspicion)
	for _, letter := range scenario.alive {
		id := string(letter)
		heartbeat := &wire.Heartbeat{View: 3, LearnedView: 3}
		if given := scenario.heartbeats[id]; given != nil {
			heartbeat = given
		}
		if heartbeat.Member == nil {
			heartbeat.Member = membertest.Member(id)
		}
		if heartbeat.Reachable == nil {
			heartbeat.Reachable = strings.Split(scenario.alive+"a", "")
		}
		if accepted, _ := detector.HandleHeartbeat(start, "", heartbeat); !accepted {
			t.Fatalf("the heartbeat of %s was dropped", id)
		}
	}
	local := scenario.local
	local.Member = membertest.Member("a")
	view := &wire.View{Epoch: 3, Chain: membertest.Members(scenario.chain),
		Acceptors: membertest.Members(scenario.acceptors), MinReplicas: scenario.minReplicas,
		LastWritableChain: membertest.Members(scenario.lastWritable), HeadTerm: 2}
	return &Facts{Now: start, View: view, Detector: detector, Local: local, Faults: 1}
}

func TestPlan(t *testing.T) {
	t.Parallel()
	identity := func(id, address string) *wire.Heartbeat {
		return &wire.Heartbeat{Member: &wire.Member{Id: id, Address: address, Zone: id}, View: 3}
	}
	for name, test := range map[string]struct {
		scenario         scenario
		chain, acceptors string
	}{
		"no fault": {scenario{chain: "abc", acceptors: "abc", alive: "bc", minReplicas: 2}, "", ""},
		"a member that no acceptor hears is excluded": {
			scenario{chain: "abc", acceptors: "abc", alive: "b", minReplicas: 2}, "ab", "abc"},
		"a member with an unhealthy disk is excluded": {scenario{chain: "abc", acceptors: "abc", alive: "bc", minReplicas: 2,
			heartbeats: map[string]*wire.Heartbeat{"c": {View: 3, Unhealthy: true}}}, "ab", "abc"},
		"the head's own disk is unhealthy": {scenario{chain: "abc", acceptors: "abc", alive: "bc", minReplicas: 2,
			local: Local{Unhealthy: true}}, "bc", "abc"},
		"silent members stay if no majority confirms it": {
			scenario{chain: "abc", acceptors: "abc", minReplicas: 2}, "", ""},
		"a process that learned the document joins and takes the slot": {
			scenario{chain: "abc", acceptors: "abc", alive: "bd", minReplicas: 2}, "abd", "abd"},
		"a process without the document takes the slot only": {
			scenario{chain: "abc", acceptors: "abc", alive: "bd", minReplicas: 2,
				heartbeats: map[string]*wire.Heartbeat{"d": {View: 3, LearnedView: 2}}}, "ab", "abd"},
		"a process without the view takes no slot": {scenario{chain: "abc", acceptors: "abc", alive: "bd", minReplicas: 2,
			heartbeats: map[string]*wire.Heartbeat{"d": {View: 2, LearnedView: 2}}}, "ab", "abc"},
		"a decommissioning member is excluded once its successor is in the chain": {
			scenario{chain: "abc", acceptors: "abc", alive: "bcd", minReplicas: 2,
				heartbeats: map[string]*wire.Heartbeat{"c": {View: 3, Decommissioning: true}}}, "abd", "abd"},
		"a decommissioning head stays until those behind it have caught up": {
			scenario{chain: "abc", acceptors: "abc", alive: "bcd", minReplicas: 2, local: Local{Decommissioning: true,
				InitialSynced: 9}, heartbeats: map[string]*wire.Heartbeat{"d": {View: 3}}}, "abc", "dbc"},
		"a member that has just joined is not left alone": {
			scenario{chain: "ab", acceptors: "abc", alive: "c", minReplicas: 2,
				local: Local{Incomplete: true}}, "", ""},
		"the last chain that accepted changes takes over": {
			scenario{chain: "d", acceptors: "abc", alive: "bce", minReplicas: 2, lastWritable: "abd",
				heartbeats: map[string]*wire.Heartbeat{"e": identity("e", "d:1")}}, "ab", "abc"},
		"a silent last member may return": {
			scenario{chain: "d", acceptors: "abc", alive: "bc", minReplicas: 2, lastWritable: "abd"}, "", ""},
	} {
		facts := test.scenario.facts(t)
		next := NewPlanner(suspicion).Plan(facts)
		if next == nil {
			next = &wire.View{}
		}
		if got := membertest.IDs(next.Chain); got != test.chain {
			t.Errorf("%s: chain %q, want %q", name, got, test.chain)
		}
		if got := membertest.IDs(next.Acceptors); got != test.acceptors {
			t.Errorf("%s: acceptors %q, want %q", name, got, test.acceptors)
		}
	}
}

func TestPlanBeginsATermWithAnotherHead(t *testing.T) {
	t.Parallel()
	same := NewPlanner(suspicion).Plan(scenario{chain: "abc", acceptors: "abc", alive: "b", minReplicas: 2}.facts(t))
	if same.HeadTerm != 2 || same.PreviousHead != nil {
		t.Errorf("the same head: next view %v", same)
	}
	other := NewPlanner(suspicion).Plan(scenario{chain: "cab", acceptors: "abc", alive: "b", minReplicas: 2}.facts(t))
	if other.HeadTerm != 4 || other.PreviousHead.GetId() != "c" || other.PreviousTerm != 2 {
		t.Errorf("another head: next view %v", other)
	}
}

func TestLastWritableChain(t *testing.T) {
	t.Parallel()
	notLearned := map[string]*wire.Heartbeat{"b": {View: 3}}
	for name, test := range map[string]struct {
		scenario scenario
		want     string
	}{
		"long enough":             {scenario{chain: "abc", acceptors: "abc", alive: "b", minReplicas: 2}, ""},
		"falls below its minimum": {scenario{chain: "ac", acceptors: "abc", alive: "b", minReplicas: 2}, "ac"},
		"was below its minimum and stays so": {
			scenario{chain: "a", acceptors: "abc", alive: "bd", minReplicas: 3, lastWritable: "abc"}, "abc"},
	} {
		test.scenario.heartbeats = notLearned
		next := NewPlanner(suspicion).Plan(test.scenario.facts(t))
		if got := membertest.IDs(next.GetLastWritableChain()); got != test.want {
			t.Errorf("%s: last writable chain %q, want %q", name, got, test.want)
		}
	}
}

func TestPlanExcludesABrokenLink(t *testing.T) {
	t.Parallel()
	const timeout = suspicion / 2
	planner := NewPlanner(timeout)
	facts := scenario{chain: "abc", acceptors: "abc", alive: "bc", minReplicas: 2, heartbeats: map[string]*wire.Heartbeat{
		"b": {View: 3, Reachable: []string{"a", "b"}}, "c": {View: 3, Reachable: []string{"a", "b", "c"}}}}.facts(t)
	for _, test := range []struct {
		after time.Duration
		want  string
	}{{0, ""}, {timeout - 1, ""}, {timeout, "ab"}} {
		facts.Now = start.Add(test.after)
		next := planner.Plan(facts)
		if got := membertest.IDs(next.GetChain()); got != test.want {
			t.Errorf("after %v: chain %q, want %q", test.after, got, test.want)
		}
	}
	planner.Reset()
	if planner.Plan(facts) != nil {
		t.Error("Reset kept the time since which the link has been broken")
	}
}

func TestJoiner(t *testing.T) {
	t.Parallel()
	inZone := func(id, zone string) *wire.Heartbeat {
		return &wire.Heartbeat{Member: &wire.Member{Id: id, Address: id + ":1", Zone: zone}, View: 3, LearnedView: 3}
	}
	facts := scenario{chain: "ab", acceptors: "ab", alive: "bcd", minReplicas: 2,
		heartbeats: map[string]*wire.Heartbeat{"c": inZone("c", "a"), "d": inZone("d", "z")}}.facts(t)
	if joiner := facts.joiner(facts.View.Chain); joiner.GetId() != "d" {
		t.Errorf("joiner %v, want d", joiner)
	}
}

func TestSpreadAcceptors(t *testing.T) {
	t.Parallel()
	acceptors := membertest.Members("abcd")
	acceptors[1].Zone, acceptors[2].Zone = "a", "x"
	if isSpread(acceptors[:3]) || !isSpread(acceptors[:2]) || !isSpread(membertest.Members("abc")) {
		t.Error("isSpread is wrong for two of three, two of two or one of three in one zone")
	}
	if got := membertest.IDs(spreadAcceptors(acceptors[:3], acceptors[3:])); got != "acd" {
		t.Errorf("acceptors %q, want acd", got)
	}
	if got := spreadAcceptors(acceptors[:3], nil); got != nil {
		t.Errorf("exchanged without a candidate: %v", got)
	}
}

func TestMinReplicas(t *testing.T) {
	t.Parallel()
	facts := &Facts{Faults: 1}
	for _, test := range []struct {
		present uint32
		members int
		want    uint32
	}{{0, 1, 1}, {0, 3, 2}, {2, 1, 2}, {1, 2, 2}} {
		if got := facts.MinReplicas(test.present, test.members); got != test.want {
			t.Errorf("%+v: MinReplicas returned %d", test, got)
		}
	}
}

func TestIsGrowing(t *testing.T) {
	t.Parallel()
	decommissioning := map[string]*wire.Heartbeat{"c": {View: 3, Decommissioning: true}}
	for name, test := range map[string]struct {
		scenario scenario
		want     bool
	}{
		"enough acceptors":         {scenario{chain: "abc", acceptors: "abc", alive: "bcd"}, false},
		"one candidate":            {scenario{chain: "ab", acceptors: "ab", alive: "bc"}, true},
		"no candidate":             {scenario{chain: "ab", acceptors: "ab", alive: "b"}, false},
		"the candidate is to stop": {scenario{chain: "ab", acceptors: "ab", alive: "bc", heartbeats: decommissioning}, false},
	} {
		if got := test.scenario.facts(t).IsGrowing(); got != test.want {
			t.Errorf("%s: growing %v", name, got)
		}
	}
}

func TestDecommissionIsComplete(t *testing.T) {
	t.Parallel()
	behind := map[string]*wire.Heartbeat{"b": {View: 3, Synced: 9}, "c": {View: 2, Synced: 9}, "d": {View: 3, Synced: 9}}
	unsynced := map[string]*wire.Heartbeat{"b": {View: 3, Synced: 9}, "c": {View: 3, Synced: 8}, "d": {View: 3}}
	synced := map[string]*wire.Heartbeat{"b": {View: 3, Synced: 9}, "c": {View: 3, Synced: 9}, "d": {View: 3}}
	for name, test := range map[string]struct {
		scenario scenario
		want     bool
	}{
		"in the chain":                  {scenario{chain: "abc", acceptors: "bcd", alive: "bcd", heartbeats: synced}, false},
		"an acceptor with a successor":  {scenario{chain: "bc", acceptors: "abc", alive: "bcd", heartbeats: synced}, false},
		"an acceptor without successor": {scenario{chain: "bc", acceptors: "abc", alive: "bc", heartbeats: synced}, true},
		"an acceptor, no others alive":  {scenario{chain: "bc", acceptors: "abc"}, true},
		"another is in an older view":   {scenario{chain: "bc", acceptors: "bcd", alive: "bcd", heartbeats: behind}, false},
		"too few copies":                {scenario{chain: "bc", acceptors: "bcd", alive: "bcd", heartbeats: unsynced}, false},
		"handed over":                   {scenario{chain: "bc", acceptors: "bcd", alive: "bcd", heartbeats: synced}, true},
	} {
		test.scenario.local.Decommissioning = true
		test.scenario.minReplicas = 2
		facts := test.scenario.facts(t)
		decommission := &Decommission{}
		if decommission.IsComplete(facts, 9) {
			t.Errorf("%s: complete without an order", name)
		}
		if !decommission.Start(start.Add(-decommissionDelay)) || decommission.Start(start) {
			t.Errorf("%s: only the first order must be accepted", name)
		}
		if got := decommission.IsComplete(facts, 9); got != test.want {
			t.Errorf("%s: complete %v", name, got)
		}
		facts.Now = start.Add(-1)
		if decommission.IsComplete(facts, 9) {
			t.Errorf("%s: complete before decommissionDelay is over", name)
		}
	}
}

func TestWarnings(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		scenario scenario
		want     []string
	}{
		"no fault": {scenario{chain: "abc", acceptors: "abc", alive: "bc", minReplicas: 2}, nil},
		"no spare replica": {
			scenario{chain: "ab", acceptors: "abc", alive: "bc", minReplicas: 2}, []string{"no copy to spare"}},
		"one replica": {scenario{chain: "a", acceptors: "abc", alive: "b", minReplicas: 1},
			[]string{"not all keepers", "one live copy"}},
	} {
		got := test.scenario.facts(t).Warnings()
		if len(got) != len(test.want) {
			t.Errorf("%s: warnings %q", name, got)
			continue
		}
		for index, part := range test.want {
			if !strings.Contains(got[index], part) {
				t.Errorf("%s: warning %q lacks %q", name, got[index], part)
			}
		}
	}
	if got := (&Facts{View: &wire.View{}}).Warnings(); len(got) != 1 {
		t.Errorf("without a view: warnings %q, want one", got)
	}
}

func TestHearsMajority(t *testing.T) {
	t.Parallel()
	for alive, want := range map[string]bool{"": false, "b": true, "bc": true} {
		if got := (scenario{chain: "abc", acceptors: "abc", alive: alive}).facts(t).HearsMajority(); got != want {
			t.Errorf("alive %q: hears a majority %v", alive, got)
		}
	}
}
