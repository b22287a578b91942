package node

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/proposal"
	"wardtray/wire"
)

const (
	clusterStep  = 5 * time.Millisecond
	fleetTick    = 50 * time.Millisecond
	fleetGrace   = 8 * time.Second
	fleetCatchUp = 4 * time.Second
	changeEvery  = 200 * time.Millisecond
)

// momentStep is how far apart the moments are at which a second loss is tried. Under the race detector, which finds
// nothing in a single goroutine, they are few.
var momentStep = 50 * time.Millisecond * slowness

// fleet steps several cores together under one clock. Messages and writes take one step each, so a run depends on
// nothing but what the test does.
type fleet struct {
	t        *testing.T
	now      time.Time
	steps    int
	faults   int
	seeds    []string
	machines []*coreMachine
	messages []*wire.Envelope
	targets  []string
	// changing says that an operator sends a change now and then, each through the next machine.
	changing bool
	every    time.Duration
	changes  int
	acked    map[string]uint64
	lastAck  time.Time
	// gap is the longest time without a leader since the last call of watch.
	gap, sinceLeader time.Duration
}

// coreMachine is one machine of a fleet: a process, where one runs, and its disk.
type coreMachine struct {
	address, zone string
	incarnation   int
	node          *Node
	writes        []write
	// diskTime is how long a write takes beyond a step.
	diskTime time.Duration
	memory   *wire.DurableState
	records  []*wire.Record
	// unreachable says that the machine is gone, so that nothing refuses a connection to it.
	unreachable bool
	finishedAt  time.Time
	leaveBy     time.Time
}

// write is one that the disk has under way.
type write struct {
	sequence uint64
	done     time.Time
}

// newFleet founds a fleet, the first three machines as founders, and runs it until it leads with all acceptors.
func newFleet(t *testing.T, faults, count int) *fleet {
	t.Helper()
	fleet := &fleet{t: t, now: time.Unix(1_700_000_000, 0), faults: faults, every: changeEvery, acked: map[string]uint64{}}
	for place := range min(3, count) {
		fleet.seeds = append(fleet.seeds, addressAt(place))
	}
	for range count {
		fleet.add(true)
	}
	fleet.runUntil(10*time.Second, "a whole fleet", fleet.whole)
	fleet.changing = true
	fleet.run(2 * changeEvery)
	if len(fleet.acked) == 0 {
		t.Fatal("nothing was acknowledged in a calm fleet")
	}
	return fleet
}

func addressAt(place int) string { return fmt.Sprintf("10.0.%d.1:7000", place) }

// add puts a machine with an empty disk at a new address.
func (fleet *fleet) add(founding bool) *coreMachine {
	place := len(fleet.machines)
	machine := &coreMachine{address: addressAt(place), zone: string(rune('a' + place%3))}
	fleet.machines = append(fleet.machines, machine)
	fleet.start(machine, founding)
	return machine
}

// start starts the process of a machine on what its disk holds.
func (fleet *fleet) start(machine *coreMachine, founding bool) {
	machine.incarnation++
	if machine.memory == nil {
		machine.memory = &wire.DurableState{Id: fmt.Sprintf("%s#%d", machine.address, machine.incarnation)}
	}
	seed := int64(len(machine.address)) + int64(slices.Index(fleet.machines, machine))*100 + int64(machine.incarnation)
	settings := Settings{Address: machine.address, Zone: machine.zone, Seeds: fleet.running(), Faults: fleet.faults}
	if founding {
		settings.Founding, settings.Seeds, settings.Founders = true, fleet.seeds, fleet.seeds
	}
	machine.node = New(fleet.now, settings, machine.memory, machine.records, rand.New(rand.NewSource(seed)))
	machine.writes = nil
}

// running gives the addresses of the first three machines that run, as the operator's list would.
func (fleet *fleet) running() []string {
	var running []string
	for _, machine := range fleet.machines {
		if machine.node != nil && len(running) < 3 {
			running = append(running, machine.address)
		}
	}
	return running
}

// end ends the process of a machine at once.
func (fleet *fleet) end(machine *coreMachine) {
	machine.node, machine.writes, machine.finishedAt, machine.leaveBy = nil, nil, fleet.now, time.Time{}
}

// remove takes a machine away for good, as a loss of power does.
func (fleet *fleet) remove(machine *coreMachine) {
	fleet.end(machine)
	machine.unreachable = true
}

// wipe ends a process whose disk is lost, and starts the machine again with an empty one after a time.
func (fleet *fleet) wipe(machine *coreMachine, down time.Duration) {
	fleet.end(machine)
	machine.unreachable, machine.memory, machine.records = true, nil, nil
	fleet.run(down)
	machine.unreachable = false
	fleet.start(machine, false)
}

// stop asks a machine to leave, as SIGTERM does. It ends when it may, or once its grace is over.
func (fleet *fleet) stop(machine *coreMachine) {
	machine.node.Decommission(fleet.now)
	machine.leaveBy = fleet.now.Add(fleetGrace)
}

// machine gives the machine whose process has an identity, or nil.
func (fleet *fleet) machine(id string) *coreMachine {
	for _, machine := range fleet.machines {
		if machine.node != nil && machine.node.Self().Id == id {
			return machine
		}
	}
	return nil
}

func (fleet *fleet) at(address string) *coreMachine {
	for _, machine := range fleet.machines {
		if machine.address == address {
			return machine
		}
	}
	return nil
}

// leader gives the machine that leads, or nil; two at once are a fault.
func (fleet *fleet) leader() *coreMachine {
	var leader *coreMachine
	for _, machine := range fleet.machines {
		if machine.node == nil || !machine.node.IsLeading(fleet.now) {
			continue
		}
		if leader != nil {
			fleet.t.Fatalf("%s and %s lead at the same time", leader.address, machine.address)
		}
		leader = machine
	}
	return leader
}

// whole tells whether somebody leads under a view of live members with all copies and all acceptors.
func (fleet *fleet) whole() bool {
	leader := fleet.leader()
	if leader == nil {
		return false
	}
	current := leader.node.View()
	for _, member := range append(append([]*wire.Member{}, current.Chain...), current.Acceptors...) {
		machine := fleet.machine(member.Id)
		if machine == nil || machine.node.View().Epoch != current.Epoch {
			return false
		}
	}
	return len(current.Acceptors) == 2*fleet.faults+1 && len(current.Chain) >= fleet.faults+1
}

func (fleet *fleet) run(length time.Duration) {
	for end := fleet.now.Add(length); fleet.now.Before(end); {
		fleet.step()
	}
}

// runUntil runs until a condition holds, and tells how long that took; too long is a fault.
func (fleet *fleet) runUntil(most time.Duration, what string, holds func() bool) time.Duration {
	fleet.t.Helper()
	started := fleet.now
	for !holds() {
		if fleet.now.Sub(started) >= most {
			fleet.t.Fatalf("no %s after %v: %s", what, most, fleet.state())
		}
		fleet.step()
	}
	return fleet.now.Sub(started)
}

// state describes every machine, for a failure.
func (fleet *fleet) state() string {
	var text strings.Builder
	for _, machine := range fleet.machines {
		if machine.node == nil {
			fmt.Fprintf(&text, "\n  %s down", machine.address)
			continue
		}
		current := machine.node.View()
		fmt.Fprintf(&text, "\n  %s leads %v leaving %v view %d chain %v acceptors %v", machine.address,
			machine.node.IsLeading(fleet.now), !machine.leaveBy.IsZero(), current.Epoch, ids(current.Chain),
			ids(current.Acceptors))
	}
	return text.String()
}

func ids(members []*wire.Member) []string {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.Id)
	}
	return ids
}

// step lets a step of time pass: what was sent arrives, what was written is synced, what is due is done.
func (fleet *fleet) step() {
	fleet.now = fleet.now.Add(clusterStep)
	fleet.steps++
	messages, targets := fleet.messages, fleet.targets
	fleet.messages, fleet.targets = nil, nil
	for place, envelope := range messages {
		fleet.deliver(targets[place], envelope)
	}
	for place, machine := range fleet.machines {
		if machine.node == nil {
			continue
		}
		for len(machine.writes) > 0 && !machine.writes[0].done.After(fleet.now) {
			done := machine.writes[0]
			machine.writes = machine.writes[1:]
			machine.node.Synced(fleet.now, done.sequence)
		}
		if (fleet.steps+place)%int(fleetTick/clusterStep) == 0 {
			machine.node.Tick(fleet.now)
			fleet.endIfLeft(machine)
		}
	}
	if fleet.changing && fleet.steps%int(fleet.every/clusterStep) == 0 {
		fleet.change()
	}
	for _, machine := range fleet.machines {
		fleet.drain(machine)
	}
	fleet.watchLeader()
}

func (fleet *fleet) deliver(target string, envelope *wire.Envelope) {
	machine := fleet.at(target)
	if machine == nil || machine.unreachable {
		return
	}
	if machine.node != nil {
		machine.node.Receive(fleet.now, envelope)
		return
	}
	if sender := fleet.at(envelope.From); sender != nil && sender.node != nil {
		sender.node.ConnectionRefused(fleet.now, target, fleet.now.Add(-clusterStep))
	}
}

func (fleet *fleet) endIfLeft(machine *coreMachine) {
	if !machine.leaveBy.IsZero() && (machine.node.IsDecommissioned(fleet.now) || fleet.now.After(machine.leaveBy)) {
		fleet.end(machine)
	}
}

// drain takes out what a machine sends and writes.
func (fleet *fleet) drain(machine *coreMachine) {
	if machine.node == nil {
		return
	}
	messages, writes := machine.node.Ready()
	if machine.unreachable {
		messages = nil
	}
	for _, message := range messages {
		fleet.messages = append(fleet.messages, proto.CloneOf(message.Envelope))
		fleet.targets = append(fleet.targets, message.To)
	}
	for _, write := range writes {
		if write.Snapshot != nil {
			machine.memory, machine.records = proto.CloneOf(write.Snapshot), nil
		}
		if write.Record != nil {
			machine.records = append(machine.records, proto.CloneOf(write.Record))
		}
		machine.writes = append(machine.writes, fleet.begin(machine, write.Sequence))
	}
}

func (fleet *fleet) begin(machine *coreMachine, sequence uint64) write {
	return write{sequence: sequence, done: fleet.now.Add(clusterStep + machine.diskTime)}
}

// change sends a change through the next machine that runs.
func (fleet *fleet) change() {
	fleet.changes++
	var running []*coreMachine
	for _, machine := range fleet.machines {
		if machine.node != nil {
			running = append(running, machine)
		}
	}
	if len(running) == 0 {
		return
	}
	operation := fmt.Sprintf("change-%d", fleet.changes)
	ask := &wire.OperatorRequest{Verb: "apply", Operation: operation, Spec: whole("l")}
	running[fleet.changes%len(running)].node.Submit(fleet.now, ask, func(status int, body []byte) {
		reply := proposal.Reply{}
		if err := json.Unmarshal(body, &reply); err != nil {
			fleet.t.Fatalf("answer %q: %v", body, err)
		}
		if status == 200 {
			fleet.acked[operation], fleet.lastAck = reply.Epoch, fleet.now
		}
	})
}

func (fleet *fleet) watchLeader() {
	if fleet.leader() != nil {
		fleet.sinceLeader = 0
		return
	}
	fleet.sinceLeader += clusterStep
	fleet.gap = max(fleet.gap, fleet.sinceLeader)
}

// requireKept wants every acknowledged change in a document.
func (fleet *fleet) requireKept(machine *coreMachine) {
	fleet.t.Helper()
	for operation, epoch := range fleet.acked {
		if outcome := machine.node.Chain().Outcome(operation); outcome == nil || outcome.SpecEpoch != epoch {
			fleet.t.Fatalf("%s was acknowledged as epoch %d, and %s holds %v: %s", operation, epoch, machine.address, outcome,
				fleet.state())
		}
	}
}

// requireServing wants a leader with all that was acknowledged, and a new acknowledgement, within a time.
func (fleet *fleet) requireServing(most time.Duration) {
	fleet.t.Helper()
	fleet.runUntil(most, "leader", func() bool { return fleet.leader() != nil })
	since := fleet.now
	fleet.runUntil(most, "acknowledgement", func() bool { return fleet.lastAck.After(since) })
	fleet.requireKept(fleet.leader())
}
