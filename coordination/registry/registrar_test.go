package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const heartbeat = time.Second

// core is a registrar with what it sends and what its environment says.
type core struct {
	t         *testing.T
	outbox    *statemachine.Outbox
	registrar *Registrar
	daemons   []string
	joined    bool
	isolated  bool
	now       time.Time
}

func newCore(t *testing.T) *core {
	t.Helper()
	core := &core{
		t: t, outbox: statemachine.NewOutbox(), daemons: []string{"d0", "d1"}, joined: true, now: started,
	}
	core.registrar = NewRegistrar(started, heartbeat, 7, core.outbox, Environment{
		Daemons:        func(time.Time) []string { return core.daemons },
		Cores:          func() []string { return []string{"c1"} },
		HearsMostCores: func(time.Time) bool { return core.joined },
		HearsNobody:    func(time.Time) bool { return core.isolated },
	})
	return core
}

func ready(id string, call uint64) *wire.Runner {
	return &wire.Runner{
		RunnerId: id, Address: "10.0.0.1:" + id[1:], Zone: "a", Service: "s", Slots: 4, State: Ready, Call: call,
	}
}

// draining is the record of the runner r1 that drains.
func draining(call uint64) *wire.Runner {
	record := ready("r1", call)
	record.State = Draining
	return record
}

// register makes a call; what it returns is set to the outcome once there is one.
func (core *core) register(record *wire.Runner) *Outcome {
	got := new(Outcome)
	core.registrar.Register(core.now, record, func(outcome Outcome) {
		if *got != "" {
			core.t.Error("answered twice")
		}
		*got = outcome
	})
	return got
}

// advance lets time pass, with ticks; what is sent stays in the outbox.
func (core *core) advance(duration time.Duration) {
	for end := core.now.Add(duration); core.now.Before(end); {
		core.now = core.now.Add(50 * time.Millisecond)
		core.registrar.Tick(core.now)
	}
}

// updates returns what was sent to each address since it was last called.
func (core *core) updates() map[string][]*wire.RunnerUpdate {
	updates := map[string][]*wire.RunnerUpdate{}
	messages, _ := core.outbox.Drain()
	for _, message := range messages {
		if update := message.Envelope.GetRunnerUpdate(); update != nil {
			updates[message.To] = append(updates[message.To], update)
		}
	}
	return updates
}

func (core *core) acknowledge(from string, nonce uint64) {
	core.registrar.HandleAck(core.now, from, &wire.RunnerUpdateAck{Nonce: nonce})
}

func (core *core) state(id string) string { return core.registrar.Record(id).GetState() }

func TestRetriedCallsSendNothing(t *testing.T) {
	core := newCore(t)
	got := core.register(ready("r1", 1))
	if *got != "" {
		t.Fatal("acknowledged before any update was sent")
	}
	core.advance(50 * time.Millisecond)
	updates := core.updates()
	for _, address := range []string{"d0", "d1", "c1"} {
		if *got != Accepted || len(updates[address]) != 1 {
			t.Fatal(address, *got, updates)
		}
	}
	for number := range 10 {
		core.advance(heartbeat)
		core.register(ready("r1", uint64(number+2)))
	}
	if updates := core.updates(); len(updates) != 0 {
		t.Fatal(updates)
	}
	moved := ready("r1", 20)
	moved.Slots = 9
	core.register(moved)
	core.advance(50 * time.Millisecond)
	if updates := core.updates(); len(updates["d0"]) != 1 || updates["d0"][0].Runners[0].Slots != 9 {
		t.Fatal(updates)
	}
}

func TestLateCallsChangeNothing(t *testing.T) {
	core := newCore(t)
	core.register(ready("r1", 5))
	late := ready("r1", 5)
	late.Address = "10.0.0.9:9"
	if got := core.register(late); *got != Outdated || core.registrar.Record("r1").Address == late.Address {
		t.Fatal(*got)
	}
	core.daemons = nil
	core.register(draining(6))
	for call := uint64(4); call < 9; call++ {
		if got := core.register(ready("r1", call)); *got == "" || core.state("r1") != Draining {
			t.Fatal(call, *got, core.state("r1"))
		}
	}
	core.registrar.Deregister(core.now, "r1", func(Outcome) {})
	if got := core.register(ready("r1", 100)); *got != Outdated || core.state("r1") != Gone {
		t.Fatal(*got, core.state("r1"))
	}
}

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

func TestIsolatedCoreRejectsCalls(t *testing.T) {
	core := newCore(t)
	core.isolated = true
	if got := core.register(ready("r1", 1)); *got != Unreachable || core.registrar.Record("r1") != nil {
		t.Fatal(*got)
	}
	core.registrar.Deregister(core.now, "r1", func(outcome Outcome) {
		if outcome != Unreachable {
			t.Error(outcome)
		}
	})
	core.isolated = false
	got := core.register(ready("r1", 1))
	core.advance(50 * time.Millisecond)
	if *got != Accepted {
		t.Fatal(*got)
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

// registerFor lets some runners call for some time.
func (core *core) registerFor(duration time.Duration, call *uint64, ids ...string) {
	for end := core.now.Add(duration); core.now.Before(end); {
		*call++
		for _, id := range ids {
			core.register(ready(id, *call))
		}
		core.advance(heartbeat)
	}
}

func TestRunnerTurnsSilentAndReadyAgain(t *testing.T) {
	core, call := newCore(t), uint64(0)
	core.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	core.registerFor(2*time.Second, &call, "r1", "r2")
	if core.state("r3") != Ready {
		t.Fatal("silent too early")
	}
	core.registerFor(2*time.Second, &call, "r1", "r2")
	if core.state("r3") != Silent || core.state("r1") != Ready || core.registrar.Counters().Silent != 1 {
		t.Fatal(core.state("r3"), core.state("r1"))
	}
	core.registerFor(time.Second, &call, "r1", "r2", "r3")
	if core.state("r3") != Ready || core.registrar.Counters().Revived != 1 {
		t.Fatal(core.state("r3"))
	}
}

// Nobody is called silent by a core that has just begun, that was frozen, or that hears neither the other
// cores nor most runners; nor most runners at once before long.
func TestCoreThatCannotKnowCallsNobodySilent(t *testing.T) {
	records := []*wire.Runner{ready("r1", 1), ready("r2", 1), ready("r3", 1)}
	fresh := newCore(t)
	fresh.registrar.HandleUpdate(fresh.now, "c1", &wire.RunnerUpdate{Runners: records})
	fresh.advance(graceHeartbeats*heartbeat - 100*time.Millisecond)
	if fresh.state("r1") != Ready {
		t.Error("silent by a core that has just begun")
	}
	frozen, call := newCore(t), uint64(0)
	frozen.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	frozen.now = frozen.now.Add(time.Minute)
	frozen.registrar.Resume(frozen.now)
	frozen.advance(3 * time.Second)
	if frozen.state("r1") != Ready {
		t.Error("silent by a core that was frozen")
	}
	alone, call := newCore(t), uint64(0)
	alone.registerFor(8*time.Second, &call, "r1", "r2", "r3")
	alone.joined = false
	alone.advance(time.Minute)
	if alone.state("r1") != Ready {
		t.Error("silent by a core that is cut off")
	}
	most, call := newCore(t), uint64(0)
	ids := make([]string, 8)
	for number := range ids {
		ids[number] = fmt.Sprint("r", number)
	}
	most.registerFor(8*time.Second, &call, ids...)
	most.registerFor(8*time.Second, &call, ids[:2]...)
	if most.state("r7") != Ready {
		t.Error("most are silent at once")
	}
	most.registerFor(6*time.Second, &call, ids[:2]...)
	if most.state("r7") != Silent || most.state("r0") != Ready {
		t.Error("never silent", most.state("r7"))
	}
}

// A core that no runner calls learns from the others who calls them; and where one of them was wrong, who
// hears the runner says so at once.
func TestOtherCoresHeartbeatsCount(t *testing.T) {
	core := newCore(t)
	both := &wire.RunnerUpdate{Runners: []*wire.Runner{ready("r1", 1), ready("r2", 1)}}
	core.registrar.HandleUpdate(core.now, "c1", both)
	for call := uint64(2); call < 14; call++ {
		heartbeats := &wire.RunnerHeartbeats{Calls: []*wire.RunnerVersion{{RunnerId: "r1", Call: call}}}
		core.registrar.HandleHeartbeats(core.now, heartbeats)
		core.advance(heartbeat)
	}
	if core.state("r1") != Ready || core.state("r2") != Silent {
		t.Fatal(core.state("r1"), core.state("r2"))
	}
	core.updates()
	silent := withState(ready("r1", 1), Silent, 10)
	core.registrar.HandleUpdate(core.now, "c1", &wire.RunnerUpdate{Runners: []*wire.Runner{silent}})
	core.advance(50 * time.Millisecond)
	updates := core.updates()["d0"]
	if core.state("r1") != Ready || len(updates) != 1 || updates[0].Runners[0].Call != 13 {
		t.Fatal(core.state("r1"), updates)
	}
}

func TestAddressBelongsToTheLastCaller(t *testing.T) {
	core := newCore(t)
	core.register(ready("r1", 5))
	taker := ready("r2", 1)
	taker.Address = ready("r1", 1).Address
	core.register(taker)
	if core.state("r1") != Silent || core.state("r2") != Ready {
		t.Fatal(core.state("r1"), core.state("r2"))
	}
	// A call of the former one that was long on its way displaces the present one until that calls again.
	core.register(ready("r1", 6))
	again := ready("r2", 2)
	again.Address = taker.Address
	core.register(again)
	if core.state("r1") != Silent || core.state("r2") != Ready {
		t.Fatal(core.state("r1"), core.state("r2"))
	}
}
