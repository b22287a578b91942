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

// Changes go on, one each 100 ms, while members are away for hundreds of them, restart, and have disks that are
// full or stalled. Every leader has all that was acknowledged, no order is refused, and in the end all hold the same.
func TestMembersCatchUpWhileChangesGoOn(t *testing.T) {
	t.Parallel()
	changes := uint64(500)
	if testing.Short() {
		changes = 150
	}
	for seed := int64(1); seed <= 3; seed++ {
		fleet := newTestFleet(t, seed)
		operator := &testOperator{fleet: fleet, name: "o", routes: 10}
		trial := &catchUpTrial{fleet: fleet, operator: operator, every: changes / 5, moved: fleet.now}
		for operator.number < changes {
			trial.step()
			if fleet.now.Sub(trial.moved) > 30*time.Second {
				fleet.describe()
				t.Fatalf("seed %d: %d of %d changes, and no more", seed, operator.number, changes)
			}
		}
		fleet.run(3 * time.Second)
		fleet.wantAlike(operator.number)
	}
}

// catchUpTrial injects a fault into one machine after the other while changes go on. Each fault lasts for most of a
// span of changes; before the next, all come back.
type catchUpTrial struct {
	fleet    *testFleet
	operator *testOperator
	// every is how many changes a span has.
	every uint64
	// seen is the number of the change that was looked at last, which came at moved; turns is how many faults there
	// were.
	seen   uint64
	moved  time.Time
	turns  int
	faulty *testMember
}

// faults are what may happen to a machine, in turn.
var faults = []func(fleet *testFleet, member *testMember){
	func(fleet *testFleet, member *testMember) { fleet.kill(member) },
	func(_ *testFleet, member *testMember) { member.disk.full = true },
	func(_ *testFleet, member *testMember) { member.disk.stalled = true },
	func(fleet *testFleet, member *testMember) { fleet.kill(member); fleet.start(member) },
}

// step sends the next change when it is due, and begins or ends a fault when its change has come.
func (trial *catchUpTrial) step() {
	trial.operator.tick()
	trial.fleet.step()
	if trial.operator.number == trial.seen {
		return
	}
	trial.seen, trial.moved = trial.operator.number, trial.fleet.now
	if trial.seen%trial.every == 1 {
		trial.injectFault()
	} else if trial.faulty != nil && trial.seen%trial.every == trial.every-30 {
		trial.repair()
	}
}

// injectFault lets the next fault happen to a machine that is drawn.
func (trial *catchUpTrial) injectFault() {
	trial.faulty = trial.fleet.members[trial.fleet.random.Intn(len(trial.fleet.members))]
	faults[trial.turns%len(faults)](trial.fleet, trial.faulty)
	trial.turns++
}

// repair ends the fault of the machine and waits until it is in the chain.
func (trial *catchUpTrial) repair() {
	fleet := trial.fleet
	trial.faulty.disk.full, trial.faulty.disk.stalled = false, false
	if !trial.faulty.up() {
		fleet.start(trial.faulty)
	}
	trial.faulty = nil
	fleet.until("the member that was away to be in the chain", 10*time.Second, func() bool {
		trial.operator.tick()
		leader := fleet.leader()
		return leader != nil && len(leader.node.View().Chain) == len(fleet.members)
	})
}

// wantAlike wants all members to hold the same document of an epoch, byte for byte.
func (fleet *testFleet) wantAlike(epoch uint64) {
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

// A disk that takes longer than the time between two questions for the document, while changes go on: each answer
// brings a newer document, and the member still has to come in.
func TestSlowDiskLearnsWhileChangesGoOn(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 4)
	operator := &testOperator{fleet: fleet, name: "o"}
	away := fleet.members[2]
	fleet.kill(away)
	fleet.until("changes without it", 30*time.Second, func() bool { operator.tick(); return operator.number >= 20 })
	away.disk = newTestDisk()
	away.identity, away.founding = "id99", false
	fleet.start(away)
	away.disk.stalled = true
	// The disk takes what waits and has it synced a while later; what comes meanwhile waits for the next turn.
	const delay = 340 * time.Millisecond
	var taken []statemachine.Write
	due := fleet.now
	fleet.until("the member with the slow disk to be in the chain", 15*time.Second, func() bool {
		operator.tick()
		if !fleet.now.Before(due) {
			storage.WriteBatch(away.store, taken, func(sequence uint64) { away.node.Synced(fleet.now, sequence) },
				func(err error) { t.Fatal(err) })
			taken, away.writes = away.writes, nil
			due = fleet.now.Add(delay)
		}
		return away.node.Chain().IsMember()
	})
}

// A machine that restarts again and again still begins a new slot before its log is long, with any size of
// configuration, and what its disk holds stays bounded.
func TestLogStaysBoundedOverRestarts(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5)
	operator := &testOperator{fleet: fleet, name: "o", routes: 800}
	restarted := fleet.members[1]
	for incarnation := range uint64(12) {
		fleet.until("changes", 30*time.Second, func() bool { operator.tick(); return operator.number >= 4*(incarnation+1) })
		fleet.kill(restarted)
		fleet.start(restarted)
		fleet.until("its return", 10*time.Second,
			func() bool { return len(restarted.node.Chain().Pending()) == 0 && restarted.node.Chain().IsMember() })
	}
	for _, member := range fleet.members {
		t.Logf("%s wrote %d bytes and held %d at most", member.address, member.disk.written, member.disk.greatest)
		if member.disk.greatest > 6<<20 {
			t.Errorf("%s held %d bytes", member.address, member.disk.greatest)
		}
	}
}

// A large configuration is held five times at most: in the slot in use and in the one that is being written, each time
// with the change that is pending, and in the log.
func TestDiskHoldsFiveLargeConfigurationsAtMost(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5)
	operator := &testOperator{fleet: fleet, name: "o", routes: 20000}
	restarted := fleet.members[1]
	var rounds uint64 = max(1, 2/slowness)
	for incarnation := range rounds {
		fleet.until("changes", time.Minute, func() bool { operator.tick(); return operator.number >= 4*(incarnation+1) })
		fleet.kill(restarted)
		fleet.start(restarted)
		fleet.until("its return", 20*time.Second,
			func() bool { return len(restarted.node.Chain().Pending()) == 0 && restarted.node.Chain().IsMember() })
	}
	size := int64(len(fleet.members[0].node.Chain().Committed().Spec))
	for _, member := range fleet.members {
		t.Logf("%s held %d bytes at most, %.2f times the configuration", member.address, member.disk.greatest,
			float64(member.disk.greatest)/float64(size))
		if int64(member.disk.greatest) > 5*size+size/100 {
			t.Errorf("%s held %d bytes, of a configuration of %d", member.address, member.disk.greatest, size)
		}
	}
}

// All lose their power just after a member has joined the chain, before it was sent what was committed since it
// learned the document; it comes back first, with an acceptor outside the chain. It must not lead with its old state.
func TestJoinerDoesNotLeadAlone(t *testing.T) {
	t.Parallel()
	for _, wiped := range []bool{false, true} {
		fleet := &testFleet{t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(9))}
		lines := make([]*wire.Member, 0, 3)
		for number, name := range []string{"head", "joiner", "keeper"} {
			address := fmt.Sprintf("127.0.0.%d:1", number+1)
			fleet.seeds = append(fleet.seeds, address)
			lines = append(lines, &wire.Member{Id: name, Address: address, Zone: address})
		}
		view := &wire.View{Epoch: 5, Fleet: "f", MinReplicas: 1, HeadTerm: 1, Chain: lines[:2], Acceptors: lines}
		document := func(epoch uint64) *wire.Document {
			return &wire.Document{Sequence: epoch, SpecEpoch: epoch, Spec: whole("a")}
		}
		for _, memory := range []*wire.DurableState{
			{Document: document(10)},
			{Document: document(4), Incomplete: true},
			{Document: document(3)},
		} {
			line := lines[len(fleet.members)]
			memory.Id, memory.View = line.Id, view
			member := &testMember{address: line.Address, identity: line.Id, disk: newTestDisk()}
			content, err := proto.Marshal(memory)
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
			t.Fatal("somebody leads without the head")
		}
		if wiped {
			// Nothing brings back what only a lost disk held; the fleet goes on with what there is.
			fleet.acknowledged = 4
			fleet.members[0].disk, fleet.members[0].identity = newTestDisk(), "another"
		}
		fleet.start(fleet.members[0])
		fleet.until("a leader", 10*time.Second, func() bool { return fleet.leader() != nil })
		fleet.run(5 * time.Second)
		fleet.wantAlike(fleet.acknowledged)
	}
}
