package failuredetector

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"wardtray/control/membership/membertest"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

const (
	suspicion = 700 * time.Millisecond
	pause     = 500 * time.Millisecond
)

func newDetector() *Detector { return New(start, membertest.Member("a"), suspicion, pause) }

// hear delivers a heartbeat of a peer that lists the processes that it hears.
func hear(t *testing.T, detector *Detector, now time.Time, id string, reachable ...string) {
	t.Helper()
	heartbeat := &wire.Heartbeat{Member: membertest.Member(id), Reachable: reachable}
	if accepted, _ := detector.HandleHeartbeat(now, "", heartbeat); !accepted {
		t.Fatalf("the heartbeat of %s was dropped", id)
	}
}

func TestIsAlive(t *testing.T) {
	t.Parallel()
	detector := newDetector()
	hear(t, detector, start, "b")
	for _, test := range []struct {
		id    string
		after time.Duration
		want  bool
	}{{"a", time.Hour, true}, {"b", suspicion - 1, true}, {"b", suspicion, false}, {"c", 0, false}} {
		if got := detector.IsAlive(start.Add(test.after), test.id); got != test.want {
			t.Errorf("%s after %v: alive %v", test.id, test.after, got)
		}
	}
	if got := detector.Reachable(start); !reflect.DeepEqual(got, []string{"a", "b"}) {
		t.Errorf("reachable: %v", got)
	}
}

func TestTick(t *testing.T) {
	t.Parallel()
	detector := newDetector()
	hear(t, detector, start, "b")
	hear(t, detector, start, "c")
	detector.ConnectionRefused("c:1", start.Add(1))
	if detector.Tick(start.Add(pause)) {
		t.Error("reports a pause although the time between ticks only equals the bound")
	}
	later := start.Add(time.Minute)
	if !detector.Tick(later) || !detector.IsAlive(later, "b") || detector.IsAlive(later, "c") {
		t.Errorf("after a pause: b alive %v, c alive %v", detector.IsAlive(later, "b"), detector.IsAlive(later, "c"))
	}
}

func TestConnectionRefused(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		address string
		tried   time.Time
		// heard is the time at which the peer is heard again; zero if it is not.
		heard                       time.Time
		wantAlive, wantHeartbeatDue bool
	}{
		"heard at the time of the attempt": {"b:1", start, time.Time{}, true, false},
		"refused after it was heard":       {"b:1", start.Add(1), time.Time{}, false, true},
		"heard again":                      {"b:1", start.Add(1), start.Add(2), true, true},
		"another address":                  {"c:1", start.Add(1), time.Time{}, true, false},
	} {
		detector := newDetector()
		hear(t, detector, start, "b")
		detector.TakeHeartbeat(start)
		detector.ConnectionRefused(test.address, test.tried)
		if !test.heard.IsZero() {
			hear(t, detector, test.heard, "b")
		}
		now := start.Add(2)
		if got := detector.IsAlive(now, "b"); got != test.wantAlive {
			t.Errorf("%s: alive %v", name, got)
		}
		if !detector.WasSeenRecently(now, detector.Peer("b")) {
			t.Errorf("%s: not seen recently", name)
		}
		// The other processes must be notified at once.
		if got := detector.TakeHeartbeat(now); got != test.wantHeartbeatDue {
			t.Errorf("%s: heartbeat due %v", name, got)
		}
	}
}

func TestHandleHeartbeatDropsStrangers(t *testing.T) {
	t.Parallel()
	detector := newDetector()
	for name, heartbeat := range map[string]*wire.Heartbeat{
		"no member": {}, "no id": {Member: &wire.Member{}}, "itself": {Member: membertest.Member("a")},
		"another fleet": {Member: membertest.Member("b"), Fleet: "other"},
	} {
		if accepted, _ := detector.HandleHeartbeat(start, "fleet", heartbeat); accepted {
			t.Errorf("%s: accepted", name)
		}
	}
	for number := range MaximumPeers {
		hear(t, detector, start, fmt.Sprint("peer", number))
	}
	if accepted, _ := detector.HandleHeartbeat(start, "", &wire.Heartbeat{Member: membertest.Member("more")}); accepted {
		t.Error("accepted a peer beyond MaximumPeers")
	}
	hear(t, detector, start, "peer0")
	detector.Forget(start.Add(forgetAfter + 1))
	if len(detector.Peers()) != 0 {
		t.Error("peers without a heartbeat for longer than forgetAfter are kept")
	}
}

func TestHandleHeartbeatReportsChanges(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		next *wire.Heartbeat
		want bool
	}{
		"same":             {&wire.Heartbeat{Reachable: []string{"a"}, Synced: 5}, false},
		"hears more peers": {&wire.Heartbeat{Reachable: []string{"a", "b"}}, true},
		"unhealthy":        {&wire.Heartbeat{Reachable: []string{"a"}, Unhealthy: true}, true},
		"decommissioning":  {&wire.Heartbeat{Reachable: []string{"a"}, Decommissioning: true}, true},
	} {
		detector := newDetector()
		hear(t, detector, start, "b", "a")
		test.next.Member = membertest.Member("b")
		if _, changed := detector.HandleHeartbeat(start, "", test.next); changed != test.want {
			t.Errorf("%s: changed %v", name, changed)
		}
	}
}

func TestIsReplaced(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		heard *wire.Member
		want  bool
	}{
		"by itself":                          {membertest.Member("b"), false},
		"by a process at another address":    {membertest.Member("c"), false},
		"by another identity at its address": {&wire.Member{Id: "z", Address: "b:1"}, true},
	} {
		detector := newDetector()
		hear(t, detector, start, "b")
		detector.HandleHeartbeat(start, "", &wire.Heartbeat{Member: test.heard})
		if got := detector.IsReplaced(membertest.Member("b")); got != test.want {
			t.Errorf("%s: replaced %v", name, got)
		}
		if isKnown := detector.Peer("b") != nil; isKnown == test.want {
			t.Errorf("%s: known %v", name, isKnown)
		}
	}
}

func TestHandleHeartbeatKeepsInitialSynced(t *testing.T) {
	t.Parallel()
	detector := newDetector()
	for _, test := range []struct{ view, synced, want uint64 }{{1, 3, 3}, {1, 7, 3}, {2, 8, 8}, {2, 9, 8}} {
		heartbeat := &wire.Heartbeat{Member: membertest.Member("b"), View: test.view, Synced: test.synced}
		detector.HandleHeartbeat(start, "", heartbeat)
		if got := detector.Peer("b").InitialSynced; got != test.want {
			t.Errorf("view %d, synced %d: initial sequence %d", test.view, test.synced, got)
		}
	}
}

func TestIsUnreachable(t *testing.T) {
	t.Parallel()
	acceptors := membertest.Members("abc")
	for name, test := range map[string]struct {
		heard map[string][]string
		want  bool
	}{
		"two of three don't hear it":     {map[string][]string{"b": {"a", "b"}}, true},
		"one hears it":                   {map[string][]string{"b": {"a", "b", "c"}}, false},
		"only this one does not hear it": {nil, false},
		"only this one hears it":         {map[string][]string{"b": {"a", "b"}, "c": {"a", "c"}}, false},
	} {
		detector := newDetector()
		for id, reachable := range test.heard {
			hear(t, detector, start, id, reachable...)
		}
		if got := detector.IsUnreachable(start, "c", acceptors); got != test.want {
			t.Errorf("%s: unreachable %v", name, got)
		}
	}
}

func TestTakeHeartbeat(t *testing.T) {
	t.Parallel()
	detector := newDetector()
	for _, test := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {HeartbeatInterval - 1, false}, {HeartbeatInterval, true}} {
		if got := detector.TakeHeartbeat(start.Add(test.after)); got != test.want {
			t.Errorf("after %v: heartbeat due %v", test.after, got)
		}
	}
}

func TestAddressOf(t *testing.T) {
	t.Parallel()
	detector := newDetector()
	detector.HandleHeartbeat(start, "", &wire.Heartbeat{Member: &wire.Member{Id: "b", Address: "moved:1"}})
	for id, want := range map[string]string{"a": "a:1", "b": "moved:1", "c": "c:1"} {
		if got := detector.AddressOf(membertest.Member(id)); got != want {
			t.Errorf("%s: address %s", id, got)
		}
	}
}
