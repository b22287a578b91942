package core

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/drive"
	"wardtray/coordination/machine"
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
		struck, since, turns := (*testMember)(nil), uint64(0), 0
		for operator.number < changes {
			operator.tend(100 * time.Millisecond)
			fleet.step()
			if operator.number == since {
				continue
			}
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
			if fleet.now.Sub(operator.sent) > 30*time.Second {
				fleet.describe()
				t.Fatalf("seed %d: %d of %d changes, and no more", seed, operator.number, changes)
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
