package node

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/storage"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Guards against members that lose changes or never catch up. Changes continue, one each 100 ms, while members are down
// for hundreds of them, restart, and have full or stalled disks. Every leader must have all acknowledged changes, no
// request may be refused, and in the end all members must hold the same document.
func TestMembersCatchUpWhileChangesGoOn(t *testing.T) {
	t.Parallel()
	changes := uint64(500)
	if testing.Short() {
		changes = 150
	}
	for seed := int64(1); seed <= 3; seed++ {
		fleet := newTestFleet(t, seed)
		operator := &testOperator{fleet: fleet, name: "o", routes: 10}
		scenario := &catchUpScenario{fleet: fleet, operator: operator, span: changes / 5, lastChangeAt: fleet.now}
		for operator.number < changes {
			scenario.step()
			if fleet.now.Sub(scenario.lastChangeAt) > 30*time.Second {
				fleet.describe()
				t.Fatalf("seed %d: no further change after %d of %d", seed, operator.number, changes)
			}
		}
		fleet.run(3 * time.Second)
		fleet.wantSameDocument(operator.number)
	}
}

// catchUpScenario injects a fault into one machine after the other while changes continue. Each fault lasts for most of
// a span of changes and ends before the next one begins.
type catchUpScenario struct {
	fleet    *testFleet
	operator *testOperator
	// span is the number of changes from the beginning of a fault to that of the next.
	span uint64
	// lastChange is the number of the last acknowledged change, lastChangeAt the time of its acknowledgement, and
	// injected the number of faults so far.
	lastChange   uint64
	lastChangeAt time.Time
	injected     int
	faulty       *testMember
}

// faults holds the faults of machines in the order of their injection.
var faults = []func(fleet *testFleet, member *testMember){
	func(fleet *testFleet, member *testMember) { fleet.kill(member) },
	func(_ *testFleet, member *testMember) { member.disk.full = true },
	func(_ *testFleet, member *testMember) { member.disk.stalled = true },
	func(fleet *testFleet, member *testMember) { fleet.kill(member); fleet.start(member) },
}

// step sends the next change if it is due, and begins or ends a fault at the changes that are fixed for that.
func (scenario *catchUpScenario) step() {
	scenario.operator.tick()
	scenario.fleet.step()
	if scenario.operator.number == scenario.lastChange {
		return
	}
	scenario.lastChange, scenario.lastChangeAt = scenario.operator.number, scenario.fleet.now
	if scenario.lastChange%scenario.span == 1 {
		scenario.injectFault()
	} else if scenario.faulty != nil && scenario.lastChange%scenario.span == scenario.span-30 {
		scenario.repair()
	}
}

// injectFault injects the next fault into a random machine.
func (scenario *catchUpScenario) injectFault() {
	scenario.faulty = scenario.fleet.members[scenario.fleet.random.Intn(len(scenario.fleet.members))]
	faults[scenario.injected%len(faults)](scenario.fleet, scenario.faulty)
	scenario.injected++
}

// repair ends the fault and waits until the machine is in the chain.
func (scenario *catchUpScenario) repair() {
	fleet := scenario.fleet
	scenario.faulty.disk.full, scenario.faulty.disk.stalled = false, false
	if !scenario.faulty.up() {
		fleet.start(scenario.faulty)
	}
	scenario.faulty = nil
	fleet.until("all members in the chain after a repair", 10*time.Second, func() bool {
		scenario.operator.tick()
		leader := fleet.leader()
		return leader != nil && len(leader.node.View().Chain) == len(fleet.members)
	})
}

// wantSameDocument checks that all running members hold the same document of an epoch, byte for byte.
func (fleet *testFleet) wantSameDocument(epoch uint64) {
	fleet.t.Helper()
	first := ""
	for _, member := range fleet.members {
		if !member.up() {
			continue
		}
		document := member.node.Chain().Committed()
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(document)
		if err != nil {
			fleet.t.Fatal(err)
		}
		if first == "" {
			first = string(content)
		}
		if document.SpecEpoch != epoch || string(content) != first || member.node.Chain().Latest() != document {
			fleet.describe()
			fleet.t.Fatalf("%s holds another document", member.address)
		}
	}
}

// Guards against a member that never joins the chain because its disk is slow: while changes continue, each answer
// holds a newer document, and syncing one takes longer than the interval between two requests for it.
func TestSlowDiskLearnsWhileChangesGoOn(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 4)
	operator := &testOperator{fleet: fleet, name: "o"}
	joining := fleet.members[2]
	fleet.kill(joining)
	fleet.until("20 changes without the member", 30*time.Second,
		func() bool { operator.tick(); return operator.number >= 20 })
	joining.disk = newTestDisk()
	joining.identity, joining.founding = "id99", false
	fleet.start(joining)
	joining.disk.stalled = true
	// The disk takes all pending writes at once and has synced them after the delay. Later writes wait until then.
	const delay = 340 * time.Millisecond
	var taken []statemachine.Write
	due := fleet.now
	fleet.until("the join of the member with the slow disk", 15*time.Second, func() bool {
		operator.tick()
		if !fleet.now.Before(due) {
			storage.WriteBatch(joining.store, taken, func(sequence uint64) { joining.node.Synced(fleet.now, sequence) },
				func(err error) { t.Fatal(err) })
			taken, joining.writes = joining.writes, nil
			due = fleet.now.Add(delay)
		}
		return joining.node.Chain().IsMember()
	})
}

// Guards against a log that grows without a bound on a machine that restarts often: the machine must write a snapshot
// to a new slot before its log is long, with any size of configuration.
func TestLogStaysBoundedOverRestarts(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5)
	operator := &testOperator{fleet: fleet, name: "o", routes: 800}
	restarted := fleet.members[1]
	for incarnation := range uint64(12) {
		fleet.until("changes", 30*time.Second, func() bool { operator.tick(); return operator.number >= 4*(incarnation+1) })
		fleet.kill(restarted)
		fleet.start(restarted)
		fleet.until("the return of the restarted machine", 10*time.Second,
			func() bool { return len(restarted.node.Chain().Pending()) == 0 && restarted.node.Chain().IsMember() })
	}
	for _, member := range fleet.members {
		t.Logf("%s wrote %d bytes and held %d at most", member.address, member.disk.written, member.disk.peak)
		if member.disk.peak > 6<<20 {
			t.Errorf("%s held %d bytes", member.address, member.disk.peak)
		}
	}
}

// Guards against disk usage of more than five times a large configuration: the slot in use and the slot that is being
// written hold it with one pending change each, and the log holds it once.
func TestDiskHoldsFiveLargeConfigurationsAtMost(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5)
	operator := &testOperator{fleet: fleet, name: "o", routes: 20000}
	restarted := fleet.members[1]
	var rounds uint64 = max(1, 2/intervalFactor)
	for incarnation := range rounds {
		fleet.until("changes", time.Minute, func() bool { operator.tick(); return operator.number >= 4*(incarnation+1) })
		fleet.kill(restarted)
		fleet.start(restarted)
		fleet.until("the return of the restarted machine", 20*time.Second,
			func() bool { return len(restarted.node.Chain().Pending()) == 0 && restarted.node.Chain().IsMember() })
	}
	size := int64(len(fleet.members[0].node.Chain().Committed().Spec))
	for _, member := range fleet.members {
		t.Logf("%s held %d bytes at most, %.2f times the configuration", member.address, member.disk.peak,
			float64(member.disk.peak)/float64(size))
		if int64(member.disk.peak) > 5*size+size/100 {
			t.Errorf("%s held %d bytes, of a configuration of %d", member.address, member.disk.peak, size)
		}
	}
}

// Guards against the loss of acknowledged changes when a member that has just joined leads alone: all machines lose
// power after it joined the chain and before it received the changes committed since it learned the document, and it
// returns first, together with an acceptor outside the chain.
func TestJoinerDoesNotLeadAlone(t *testing.T) {
	t.Parallel()
	for _, wiped := range []bool{false, true} {
		fleet := &testFleet{t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(9))}
		members := make([]*wire.Member, 0, 3)
		for number, name := range []string{"head", "joiner", "voter"} {
			address := fmt.Sprintf("127.0.0.%d:1", number+1)
			fleet.seeds = append(fleet.seeds, address)
			members = append(members, &wire.Member{Id: name, Address: address, Zone: address})
		}
		view := &wire.View{Epoch: 5, Fleet: "f", MinReplicas: 1, HeadTerm: 1, Chain: members[:2], Acceptors: members}
		document := func(epoch uint64) *wire.Document {
			return &wire.Document{Sequence: epoch, SpecEpoch: epoch, Spec: configuration("a")}
		}
		for _, state := range []*wire.DurableState{
			{Document: document(10)},
			{Document: document(4), Incomplete: true},
			{Document: document(3)},
		} {
			record := members[len(fleet.members)]
			state.Id, state.View = record.Id, view
			member := &testMember{address: record.Address, identity: record.Id, disk: newTestDisk()}
			content, err := proto.Marshal(state)
			if err != nil {
				t.Fatal(err)
			}
			store, _, err := snapshot.Open(member.disk)
			if err != nil || store.SaveSnapshot(content) != nil {
				t.Fatal(err)
			}
			fleet.members = append(fleet.members, member)
		}
		fleet.acknowledged = 10
		fleet.start(fleet.members[1])
		fleet.start(fleet.members[2])
		fleet.run(5 * time.Second)
		if fleet.leader() != nil {
			t.Fatal("a machine leads without the former head")
		}
		if wiped {
			// Changes that only the lost disk held cannot be recovered; the fleet continues with the remaining history.
			fleet.acknowledged = 4
			fleet.members[0].disk, fleet.members[0].identity = newTestDisk(), "another"
		}
		fleet.start(fleet.members[0])
		fleet.until("a leader", 10*time.Second, func() bool { return fleet.leader() != nil })
		fleet.run(5 * time.Second)
		fleet.wantSameDocument(fleet.acknowledged)
	}
}
