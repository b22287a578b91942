package core

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/drive"
	"wardtray/coordination/machine"
	"wardtray/coordination/snapshot"
	"wardtray/wire"
)

// Changes go on, one each 100 ms, while members are away for hundreds of them, restart, and have disks that are
// full or stalled. Every leader has all that was acknowledged, no order is refused, and in the end all hold the same.
func TestMembersCatchUpWhileChangesGoOn(t *testing.T) {
	changes := uint64(500)
	if testing.Short() {
		changes = 150
	}
	for seed := int64(1); seed <= 3; seed++ {
		fleet := newTestFleet(t, seed, 3)
		operator := &testOperator{fleet: fleet, name: "o", lanes: 10}
		trouble := map[int]func(member *testMember){
			0: func(member *testMember) { fleet.kill(member) },
			1: func(member *testMember) { member.disk.full = true },
			2: func(member *testMember) { member.disk.stalled = true },
			3: func(member *testMember) { fleet.kill(member); fleet.start(member) },
		}
		// Each trouble strikes one machine and lasts for a fifth of the changes; between two, all come back.
		struck, since, turns, moved := (*testMember)(nil), uint64(0), 0, fleet.now
		for operator.number < changes {
			operator.tend(100 * time.Millisecond)
			fleet.step()
			if operator.number == since {
				if fleet.now.Sub(moved) > 30*time.Second {
					fleet.describe()
					t.Fatalf("seed %d: %d of %d changes, and no more", seed, operator.number, changes)
				}
				continue
			}
			moved = fleet.now
			switch since = operator.number; {
			case since%(changes/5) == 1:
				struck = fleet.members[fleet.random.Intn(len(fleet.members))]
				trouble[turns%len(trouble)](struck)
				turns++
			case struck != nil && since%(changes/5) == changes/5-30:
				struck.disk.full, struck.disk.stalled = false, false
				if !struck.up() {
					fleet.start(struck)
				}
				struck = nil
				fleet.until("the member that was away to be in the chain", 10*time.Second, func() bool {
					operator.tend(100 * time.Millisecond)
					leader := fleet.leader()
					return leader != nil && len(leader.node.View().Chain) == len(fleet.members)
				})
			}
		}
		fleet.run(3 * time.Second)
		fleet.wantAlike(operator.number)
	}
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
	fleet := newTestFleet(t, 4, 3)
	operator := &testOperator{fleet: fleet, name: "o"}
	away := fleet.members[2]
	fleet.kill(away)
	fleet.until("changes without it", 30*time.Second, func() bool { operator.tend(100 * time.Millisecond); return operator.number >= 20 })
	away.disk = newTestDisk()
	away.identity, away.founding = "id99", false
	fleet.start(away)
	away.disk.stalled = true
	// The disk takes what waits and has it synced a while later; what comes meanwhile waits for the next turn.
	const delay = 340 * time.Millisecond
	var taken []machine.Write
	due := fleet.now
	fleet.until("the member with the slow disk to be in the chain", 15*time.Second, func() bool {
		operator.tend(100 * time.Millisecond)
		if !fleet.now.Before(due) {
			drive.Carry(away.store, taken, func(sequence uint64) { away.node.Synced(fleet.now, sequence) }, func(err error) { t.Fatal(err) })
			taken, away.writes = away.writes, nil
			due = fleet.now.Add(delay)
		}
		return away.node.Chain().Inside()
	})
}

// A machine that restarts again and again still begins a new slot before its log is long, with any size of
// configuration, and what its disk holds stays bounded.
func TestLogStaysBoundedOverRestarts(t *testing.T) {
	fleet := newTestFleet(t, 5, 3)
	operator := &testOperator{fleet: fleet, name: "o", lanes: 800}
	restarted := fleet.members[1]
	for life := range uint64(12) {
		fleet.until("changes", 30*time.Second, func() bool { operator.tend(100 * time.Millisecond); return operator.number >= 4*(life+1) })
		fleet.kill(restarted)
		fleet.start(restarted)
		fleet.until("its return", 10*time.Second, func() bool { return len(restarted.node.Chain().Pending()) == 0 && restarted.node.Chain().Inside() })
	}
	for _, member := range fleet.members {
		t.Logf("%s wrote %d bytes and held %d at most", member.address, member.disk.written, member.disk.greatest)
		if member.disk.greatest > 6<<20 {
			t.Errorf("%s held %d bytes", member.address, member.disk.greatest)
		}
	}
}

// All lose their power just after a member has joined the chain, before it was sent what was committed since it
// learned the document; it comes back first, with a keeper outside the chain. It must not lead with its old state.
func TestJoinerDoesNotLeadAlone(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		fleet := &testFleet{t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(9))}
		var lines []*wire.Member
		for number, name := range []string{"head", "joiner", "keeper"} {
			address := fmt.Sprintf("127.0.0.%d:1", number+1)
			fleet.seeds = append(fleet.seeds, address)
			lines = append(lines, &wire.Member{Id: name, Address: address, Zone: address})
		}
		view := &wire.View{Epoch: 5, Fleet: "f", Floor: 1, HeadSince: 1, Chain: lines[:2], Keepers: lines}
		document := func(epoch uint64) *wire.Document {
			return &wire.Document{Sequence: epoch, SpecEpoch: epoch, Spec: whole("a")}
		}
		for _, memory := range []*wire.Memory{{Document: document(10)}, {Document: document(4), Incomplete: true}, {Document: document(3)}} {
			line := lines[len(fleet.members)]
			memory.Id, memory.View = line.Id, view
			member := &testMember{address: line.Address, identity: line.Id, disk: newTestDisk()}
			content, err := proto.Marshal(memory)
			if err != nil {
				t.Fatal(err)
			}
			store, _, err := snapshot.Open(member.disk)
			if err != nil || store.Replace(content) != nil {
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
