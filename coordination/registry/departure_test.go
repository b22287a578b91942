package registry

import (
	"slices"
	"testing"
	"time"

	"wardtray/wire"
)

// Without losses, the call of a draining runner is accepted as soon as the last daemon has acknowledged. Repeated
// acknowledgements and those of other processes do not count.
func TestDrainingIsAcceptedOnceAllAcknowledge(t *testing.T) {
	node := newTestNode(t)
	node.register(ready("r1", 1))
	node.advance(50 * time.Millisecond)
	node.drainUpdates()
	got := node.register(draining(2))
	updates := node.drainUpdates()
	if *got != "" || len(updates["d0"]) != 1 || len(updates["d1"]) != 1 || updates["c1"][0].Nonce != 0 {
		t.Fatal(*got, updates)
	}
	nonce := updates["d0"][0].Nonce
	node.acknowledge("d0", nonce)
	node.acknowledge("d0", nonce)
	node.acknowledge("stranger", nonce)
	if *got != "" {
		t.Fatal("accepted before d1 acknowledged")
	}
	node.acknowledge("d1", nonce)
	if *got != Accepted || node.registrar.Counters().Unconfirmed != 0 {
		t.Fatal(*got)
	}
	// Later calls of the runner are accepted at once.
	if again := node.register(draining(3)); *again != Accepted || len(node.drainUpdates()) != 0 {
		t.Fatal(*again)
	}
}

// The call of a leaving runner, which drains or is deregistered, must not be accepted while a daemon has not
// acknowledged and may still do so: the runner would stop while that daemon sends it requests.
func TestLeavingIsNotAcceptedBeforeTheDaemonsKnow(t *testing.T) {
	for name, leave := range map[string]func(node *testNode, answer func(outcome Outcome)){
		"draining": func(node *testNode, answer func(outcome Outcome)) {
			node.registrar.Register(node.now, draining(2), answer)
		},
		"removed": func(node *testNode, answer func(outcome Outcome)) {
			node.registrar.Deregister(node.now, "r1", answer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			node := newTestNode(t)
			node.daemons = []string{"d0", "d1", "d2"}
			node.register(ready("r1", 1))
			node.advance(50 * time.Millisecond)
			node.drainUpdates()
			var outcomes []Outcome
			leave(node, func(outcome Outcome) { outcomes = append(outcomes, outcome) })
			nonce := node.drainUpdates()["d0"][0].Nonce
			for _, daemon := range node.daemons {
				if node.advance(50 * time.Millisecond); len(outcomes) != 0 {
					t.Fatalf("%q before %s acknowledged", outcomes, daemon)
				}
				node.acknowledge(daemon, nonce)
			}
			if !slices.Equal(outcomes, []Outcome{Accepted}) {
				t.Errorf("%q after all daemons acknowledged", outcomes)
			}
		})
	}
}

// The update is sent again to a daemon that does not acknowledge it, until retryTimeout; the response to the runner
// waits only for confirmTimeout.
func TestDrainingIsSentAgainUntilAcknowledged(t *testing.T) {
	node := newTestNode(t)
	got := node.register(draining(1))
	again := node.register(draining(2))
	nonce := node.drainUpdates()["d0"][0].Nonce
	node.acknowledge("d0", nonce)
	node.advance(confirmTimeout - 50*time.Millisecond)
	if updates := node.drainUpdates(); *got != "" || len(updates["d0"]) != 0 || len(updates["d1"]) < 3 {
		t.Fatal(*got, updates)
	}
	node.advance(100 * time.Millisecond)
	if *got != Accepted || *again != Accepted || node.registrar.Counters().Unconfirmed != 1 {
		t.Fatal(*got, *again)
	}
	node.drainUpdates()
	node.advance(retryTimeout)
	if sent := len(node.drainUpdates()["d1"]); sent < 4 || len(node.registrar.broadcasts.inProgress) != 0 {
		t.Fatal(sent, len(node.registrar.broadcasts.inProgress))
	}
}

// A call must not be accepted if fewer than half of the daemons acknowledge, whichever control nodes this one receives
// messages from: the other daemons would continue to send requests to the runner.
func TestLeavingIsRejectedWithoutHalfOfTheDaemons(t *testing.T) {
	for name, test := range map[string]struct {
		hearsMost bool
		acks      int
		outcome   Outcome
	}{
		"none":          {true, 0, Unreachable},
		"few, cut off":  {false, 1, Unreachable},
		"few":           {true, 1, Unreachable},
		"most, cut off": {false, 2, Accepted},
	} {
		node := newTestNode(t)
		node.daemons, node.hearsMost = []string{"d0", "d1", "d2"}, test.hearsMost
		got := node.register(draining(1))
		nonce := node.drainUpdates()["d0"][0].Nonce
		for _, daemon := range node.daemons[:test.acks] {
			node.acknowledge(daemon, nonce)
		}
		node.advance(900 * time.Millisecond)
		if *got != test.outcome {
			t.Errorf("%s: %q", name, *got)
		}
		// After a rejected call, the next one must start another broadcast. Otherwise that call would be accepted at once,
		// without an update to any daemon.
		if test.outcome == Unreachable {
			again := node.register(draining(2))
			node.advance(confirmTimeout)
			if *again != "" {
				t.Errorf("%s, again: %q", name, *again)
			}
		}
	}
}

// A control node that learned only from another one that a runner drains must broadcast the record itself before it
// accepts the call: the other one may have crashed before it notified the daemons.
func TestDrainingLearnedFromAnotherCoreIsBroadcast(t *testing.T) {
	node := newTestNode(t)
	node.registrar.HandleUpdate(node.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{draining(3)}})
	got := node.register(draining(4))
	nonce := node.drainUpdates()["d0"][0].Nonce
	if *got != "" {
		t.Fatal("accepted on another control node's update")
	}
	node.acknowledge("d0", nonce)
	node.acknowledge("d1", nonce)
	if *got != Accepted {
		t.Fatal(*got)
	}
}
