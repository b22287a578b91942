package registry

import (
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
