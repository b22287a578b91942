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
	clusterStep    = 5 * time.Millisecond
	fleetTick      = 50 * time.Millisecond
	fleetGrace     = 8 * time.Second
	fleetCatchUp   = 4 * time.Second
	changeInterval = 200 * time.Millisecond
)

// momentStep is the interval between the times at which tests inject a second fault. It is longer under the race
// detector, which cannot find anything in a single goroutine.
var momentStep = 50 * time.Millisecond * intervalFactor

// fleet simulates several control machines under one clock. Messages and writes take one step each, so a run is
// deterministic.
type fleet struct {
	t        *testing.T
	now      time.Time
	steps    int
	faults   int
	seeds    []string
	machines []*controlMachine
	messages []*wire.Envelope
	targets  []string
	// changing enables an operator that sends a change in each changeInterval, each through the next machine.
	changing       bool
	changeInterval time.Duration
	changes        int
	acked          map[string]uint64
	lastAck        time.Time
	// longestGap is the longest time without a leader since a test reset it, and gap the current one.
	longestGap, gap time.Duration
}

// controlMachine is one machine of a fleet: its disk, and its process if one runs.
type controlMachine struct {
	address, zone string
	incarnation   int
	node          *Node
	writes        []write
	// diskTime is the additional time that a write takes beyond one step.
	diskTime time.Duration
	state    *wire.DurableState
	records  []*wire.Record
	// unreachable is set while the machine is down or cut off, so that nothing refuses connections to it.
	unreachable bool
	finishedAt  time.Time
	// stopDeadline is the time at which a decommissioning process ends in any case; zero if it was not ordered to stop.
	stopDeadline time.Time
}

// write is a write that the disk has not completed yet.
type write struct {
	sequence uint64
	done     time.Time
}

// newFleet starts a fleet with at most three founders, and runs it until there are a leader, all acceptors and an
// acknowledged change.
func newFleet(t *testing.T, faults, count int) *fleet {
	t.Helper()
	fleet := &fleet{t: t, now: time.Unix(1_700_000_000, 0), faults: faults, changeInterval: changeInterval,
		acked: map[string]uint64{}}
	for index := range min(3, count) {
		fleet.seeds = append(fleet.seeds, addressAt(index))
	}
	for range count {
		fleet.add(true)
	}
	fleet.runUntil(10*time.Second, "complete fleet", fleet.complete)
	fleet.changing = true
	fleet.run(2 * changeInterval)
	if len(fleet.acked) == 0 {
		t.Fatal("no change was acknowledged without a fault")
	}
	return fleet
}

func addressAt(index int) string { return fmt.Sprintf("10.0.%d.1:7000", index) }

// add starts a machine with an empty disk at a new address.
func (fleet *fleet) add(founding bool) *controlMachine {
	index := len(fleet.machines)
	machine := &controlMachine{address: addressAt(index), zone: string(rune('a' + index%3))}
	fleet.machines = append(fleet.machines, machine)
	fleet.start(machine, founding)
	return machine
}

// start starts the process of a machine with the state on its disk.
func (fleet *fleet) start(machine *controlMachine, founding bool) {
	machine.incarnation++
	if machine.state == nil {
		machine.state = &wire.DurableState{Id: fmt.Sprintf("%s#%d", machine.address, machine.incarnation)}
	}
	seed := int64(len(machine.address)) + int64(slices.Index(fleet.machines, machine))*100 + int64(machine.incarnation)
	settings := Settings{Address: machine.address, Zone: machine.zone, Seeds: fleet.running(), Faults: fleet.faults}
	if founding {
		settings.Founding, settings.Seeds, settings.Founders = true, fleet.seeds, fleet.seeds
	}
	machine.node = New(fleet.now, settings, machine.state, machine.records, rand.New(rand.NewSource(seed)))
	machine.writes = nil
}

// running returns the addresses of the first three running machines, as an operator would list them as seeds.
func (fleet *fleet) running() []string {
	var running []string
	for _, machine := range fleet.machines {
		if machine.node != nil && len(running) < 3 {
			running = append(running, machine.address)
		}
	}
	return running
}

// end ends the process of a machine immediately.
func (fleet *fleet) end(machine *controlMachine) {
	machine.node, machine.writes, machine.finishedAt, machine.stopDeadline = nil, nil, fleet.now, time.Time{}
}

// remove ends a process and makes its machine unreachable, as a power failure does.
func (fleet *fleet) remove(machine *controlMachine) {
	fleet.end(machine)
	machine.unreachable = true
}

// wipe ends a process, erases its disk, and restarts it with an empty one after a time.
func (fleet *fleet) wipe(machine *controlMachine, down time.Duration) {
	fleet.end(machine)
	machine.unreachable, machine.state, machine.records = true, nil, nil
	fleet.run(down)
	machine.unreachable = false
	fleet.start(machine, false)
}

// stop orders a machine to stop, as SIGTERM does. It ends once it may, or when the grace period is over.
func (fleet *fleet) stop(machine *controlMachine) {
	machine.node.Decommission(fleet.now)
	machine.stopDeadline = fleet.now.Add(fleetGrace)
}

// machine returns the machine whose process has the id, or nil.
func (fleet *fleet) machine(id string) *controlMachine {
	for _, machine := range fleet.machines {
		if machine.node != nil && machine.node.Self().Id == id {
			return machine
		}
	}
	return nil
}

func (fleet *fleet) at(address string) *controlMachine {
	for _, machine := range fleet.machines {
		if machine.address == address {
			return machine
		}
	}
	return nil
}

// leader returns the machine that leads, or nil. It fails the test if two lead at the same time.
func (fleet *fleet) leader() *controlMachine {
	var leader *controlMachine
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

// complete reports whether there is a leader whose view has enough replicas and all acceptors, each of them running
// under this view.
func (fleet *fleet) complete() bool {
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

// runUntil runs until a condition holds, and returns the elapsed time. It fails the test after the timeout.
func (fleet *fleet) runUntil(timeout time.Duration, event string, holds func() bool) time.Duration {
	fleet.t.Helper()
	started := fleet.now
	for !holds() {
		if fleet.now.Sub(started) >= timeout {
			fleet.t.Fatalf("no %s after %v: %s", event, timeout, fleet.state())
		}
		fleet.step()
	}
	return fleet.now.Sub(started)
}

// state describes every machine, for failure messages.
func (fleet *fleet) state() string {
	var text strings.Builder
	for _, machine := range fleet.machines {
		if machine.node == nil {
			fmt.Fprintf(&text, "\n  %s down", machine.address)
			continue
		}
		current := machine.node.View()
		fmt.Fprintf(&text, "\n  %s leads %v decommissioning %v view %d chain %v acceptors %v", machine.address,
			machine.node.IsLeading(fleet.now), !machine.stopDeadline.IsZero(), current.Epoch, ids(current.Chain),
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

// step advances the time by one step: messages of the last step arrive, completed writes are reported, and machines
// whose tick is due are ticked.
func (fleet *fleet) step() {
	fleet.now = fleet.now.Add(clusterStep)
	fleet.steps++
	messages, targets := fleet.messages, fleet.targets
	fleet.messages, fleet.targets = nil, nil
	for index, envelope := range messages {
		fleet.deliver(targets[index], envelope)
	}
	for index, machine := range fleet.machines {
		if machine.node == nil {
			continue
		}
		for len(machine.writes) > 0 && !machine.writes[0].done.After(fleet.now) {
			done := machine.writes[0]
			machine.writes = machine.writes[1:]
			machine.node.Synced(fleet.now, done.sequence)
		}
		if (fleet.steps+index)%int(fleetTick/clusterStep) == 0 {
			machine.node.Tick(fleet.now)
			fleet.endIfDecommissioned(machine)
		}
	}
	if fleet.changing && fleet.steps%int(fleet.changeInterval/clusterStep) == 0 {
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

func (fleet *fleet) endIfDecommissioned(machine *controlMachine) {
	if !machine.stopDeadline.IsZero() &&
		(machine.node.IsDecommissioned(fleet.now) || fleet.now.After(machine.stopDeadline)) {
		fleet.end(machine)
	}
}

// drain collects the messages of a machine, and applies its writes to its disk.
func (fleet *fleet) drain(machine *controlMachine) {
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
			machine.state, machine.records = proto.CloneOf(write.Snapshot), nil
		}
		if write.Record != nil {
			machine.records = append(machine.records, proto.CloneOf(write.Record))
		}
		machine.writes = append(machine.writes, fleet.beginWrite(machine, write.Sequence))
	}
}

func (fleet *fleet) beginWrite(machine *controlMachine, sequence uint64) write {
	return write{sequence: sequence, done: fleet.now.Add(clusterStep + machine.diskTime)}
}

// change sends a change through the next running machine.
func (fleet *fleet) change() {
	fleet.changes++
	var running []*controlMachine
	for _, machine := range fleet.machines {
		if machine.node != nil {
			running = append(running, machine)
		}
	}
	if len(running) == 0 {
		return
	}
	operation := fmt.Sprintf("change-%d", fleet.changes)
	request := &wire.OperatorRequest{Verb: "apply", Operation: operation, Spec: configuration("l")}
	running[fleet.changes%len(running)].node.Submit(fleet.now, request, func(status int, body []byte) {
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
		fleet.gap = 0
		return
	}
	fleet.gap += clusterStep
	fleet.longestGap = max(fleet.longestGap, fleet.gap)
}

// requireKept checks that the outcome of every acknowledged change is in a machine's document.
func (fleet *fleet) requireKept(machine *controlMachine) {
	fleet.t.Helper()
	for operation, epoch := range fleet.acked {
		if outcome := machine.node.Chain().Outcome(operation); outcome == nil || outcome.SpecEpoch != epoch {
			fleet.t.Fatalf("%s was acknowledged as epoch %d, and %s holds %v: %s", operation, epoch, machine.address, outcome,
				fleet.state())
		}
	}
}

// requireServing checks that within the timeout there is a leader with all acknowledged changes, and that within
// another one a change is acknowledged.
func (fleet *fleet) requireServing(timeout time.Duration) {
	fleet.t.Helper()
	fleet.runUntil(timeout, "leader", func() bool { return fleet.leader() != nil })
	since := fleet.now
	fleet.runUntil(timeout, "acknowledgement", func() bool { return fleet.lastAck.After(since) })
	fleet.requireKept(fleet.leader())
}
