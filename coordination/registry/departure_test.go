package registry

import (
	"slices"
	"testing"
	"time"

	"wardtray/wire"
)

// Without losses: the call is accepted at once when the last daemon acknowledges.
func TestDrainingIsAcceptedOnceAllAcknowledge(t *testing.T) {
	core := newCore(t)
	core.register(ready("r1", 1))
	core.advance(50 * time.Millisecond)
	core.updates()
	got := core.register(draining(2))
	updates := core.updates()
	if *got != "" || len(updates["d0"]) != 1 || len(updates["d1"]) != 1 || updates["c1"][0].Nonce != 0 {
		t.Fatal(*got, updates)
	}
	nonce := updates["d0"][0].Nonce
	core.acknowledge("d0", nonce)
	core.acknowledge("d0", nonce)
	core.acknowledge("stranger", nonce)
	if *got != "" {
		t.Fatal("acknowledged before d1 knew")
	}
	core.acknowledge("d1", nonce)
	if *got != Accepted || core.registrar.Counters().Unconfirmed != 0 {
		t.Fatal(*got)
	}
	// Its later calls are answered at once.
	if again := core.register(draining(3)); *again != Accepted || len(core.updates()) != 0 {
		t.Fatal(*again)
	}
}

// No call of a leaving runner, whether it drains or is removed, is accepted while a daemon that might acknowledge has
// not.
func TestLeavingIsNotAcceptedBeforeTheDaemonsKnow(t *testing.T) {
	for name, leave := range map[string]func(core *core, answer func(outcome Outcome)){
		"draining": func(core *core, answer func(outcome Outcome)) {
			core.registrar.Register(core.now, draining(2), answer)
		},
		"removed": func(core *core, answer func(outcome Outcome)) {
			core.registrar.Deregister(core.now, "r1", answer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			core := newCore(t)
			core.daemons = []string{"d0", "d1", "d2"}
			core.register(ready("r1", 1))
			core.advance(50 * time.Millisecond)
			core.updates()
			var outcomes []Outcome
			leave(core, func(outcome Outcome) { outcomes = append(outcomes, outcome) })
			nonce := core.updates()["d0"][0].Nonce
			for _, daemon := range core.daemons {
				if core.advance(50 * time.Millisecond); len(outcomes) != 0 {
					t.Fatalf("%q before %s knew", outcomes, daemon)
				}
				core.acknowledge(daemon, nonce)
			}
			if !slices.Equal(outcomes, []Outcome{Accepted}) {
				t.Errorf("%q once all knew", outcomes)
			}
		})
	}
}

// A daemon that does not acknowledge is sent the update again and again; the runner does not wait for it.
func TestDrainingIsSentAgainUntilAcknowledged(t *testing.T) {
	core := newCore(t)
	got := core.register(draining(1))
	again := core.register(draining(2))
	nonce := core.updates()["d0"][0].Nonce
	core.acknowledge("d0", nonce)
	core.advance(confirmTimeout - 50*time.Millisecond)
	if updates := core.updates(); *got != "" || len(updates["d0"]) != 0 || len(updates["d1"]) < 3 {
		t.Fatal(*got, updates)
	}
	core.advance(100 * time.Millisecond)
	if *got != Accepted || *again != Accepted || core.registrar.Counters().Unconfirmed != 1 {
		t.Fatal(*got, *again)
	}
	core.updates()
	core.advance(retryTimeout)
	if sent := len(core.updates()["d1"]); sent < 4 || len(core.registrar.broadcasts.inProgress) != 0 {
		t.Fatal(sent, len(core.registrar.broadcasts.inProgress))
	}
}

// Nothing is promised that this core can't keep: where no daemon acknowledges, or few do, whoever else is heard.
func TestLeavingIsRejectedWithoutHalfOfTheDaemons(t *testing.T) {
	for name, test := range map[string]struct {
		joined  bool
		acks    int
		outcome Outcome
	}{
		"none":          {true, 0, Unreachable},
		"few, cut off":  {false, 1, Unreachable},
		"few":           {true, 1, Unreachable},
		"most, cut off": {false, 2, Accepted},
	} {
		core := newCore(t)
		core.daemons, core.joined = []string{"d0", "d1", "d2"}, test.joined
		got := core.register(draining(1))
		nonce := core.updates()["d0"][0].Nonce
		for _, daemon := range core.daemons[:test.acks] {
			core.acknowledge(daemon, nonce)
		}
		core.advance(900 * time.Millisecond)
		if *got != test.outcome {
			t.Errorf("%s: %q", name, *got)
		}
		// Found by the simulator: the call after a refused one was acknowledged at once, without an update to any daemon.
		if test.outcome == Unreachable {
			again := core.register(draining(2))
			core.advance(confirmTimeout)
			if *again != "" {
				t.Errorf("%s, again: %q", name, *again)
			}
		}
	}
}

// A core that knows only by another's update that a runner drains broadcasts it itself before it accepts the call: the
// other may have crashed in between.
func TestDrainingLearnedFromAnotherCoreIsBroadcast(t *testing.T) {
	core := newCore(t)
	core.registrar.HandleUpdate(core.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{draining(3)}})
	got := core.register(draining(4))
	nonce := core.updates()["d0"][0].Nonce
	if *got != "" {
		t.Fatal("accepted on another's update")
	}
	core.acknowledge("d0", nonce)
	core.acknowledge("d1", nonce)
	if *got != Accepted {
		t.Fatal(*got)
	}
}
