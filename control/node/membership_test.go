package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wardtray/control/membership"
	"wardtray/control/timing"
	"wardtray/wire"
)

const (
	// wipedFor is how long a machine whose disk was lost is down.
	wipedFor = 500 * time.Millisecond
	// servingBound is within what time a fleet must serve again after a loss that it must bear.
	servingBound = 4 * time.Second
)

// newest gives the newest view under which a running machine acts.
func (fleet *fleet) newest() *wire.View {
	newest := &wire.View{}
	for _, machine := range fleet.machines {
		if machine.node != nil && machine.node.View().Epoch > newest.Epoch {
			newest = machine.node.View()
		}
	}
	return newest
}

// pick gives a running machine by its role in the newest view, the head of the chain or another acceptor, but none of
// some.
func (fleet *fleet) pick(role string, besides ...*coreMachine) *coreMachine {
	newest := fleet.newest()
	members := newest.Chain
	if role == "other" {
		members = membership.Without(newest.Acceptors, newest.Chain[0].Id)
	}
	for _, member := range members {
		if machine := fleet.machine(member.Id); machine != nil && !slices.Contains(besides, machine) {
			return machine
		}
	}
	fleet.t.Fatalf("no %s to pick: %s", role, fleet.state())
	return nil
}

func (fleet *fleet) otherAcceptor() *coreMachine { return fleet.pick("other") }

// acceptorsWithout counts the acceptors that know a view without a machine.
func (fleet *fleet) acceptorsWithout(id string) (count int) {
	for _, machine := range fleet.machines {
		if machine.node == nil {
			continue
		}
		current := machine.node.View()
		if membership.IsAcceptor(current, machine.node.Self().Id) && !membership.IsAcceptor(current, id) &&
			!membership.Contains(current.Chain, id) {
			count++
		}
	}
	return count
}

// An acceptor that leaves ends only once a view without it is known to those who stay.
func TestALeavingAcceptorPassesItsSeatOnBeforeItEnds(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"head", "other"} {
		t.Run(role, func(t *testing.T) {
			fleet := newFleet(t, 1, 4)
			leaver := fleet.leader()
			if role == "other" {
				leaver = fleet.otherAcceptor()
			}
			id := leaver.node.Self().Id
			// One that stays knows the new view only when its slow disk does.
			slow := fleet.pick("other", leaver)
			if role == "other" {
				slow.diskTime = 600 * time.Millisecond
			}
			fleet.gap = 0
			fleet.stop(leaver)
			took := fleet.runUntil(fleetGrace, "end of the leaving machine", func() bool { return leaver.node == nil })
			if took >= fleetGrace-time.Second {
				t.Fatalf("it ended only after %v", took)
			}
			knowing := fleet.acceptorsWithout(id)
			if knowing < 2*fleet.faults+1 {
				t.Fatalf("%d acceptors know a view without it: %s", knowing, fleet.state())
			}
			slow.diskTime = 0
			fleet.requireServing(servingBound)
			if fleet.gap > leadershipGap {
				t.Fatalf("nobody led for %v", fleet.gap)
			}
		})
	}
}

// leadershipGap bounds the time without a leader where one leaves in order.
const leadershipGap = 150 * time.Millisecond

// With three cores and one lost, the third seat is empty until a successor comes. From then on it takes seatBound
// until a second loss is borne; before that nothing acknowledged may be lost either.
func TestASecondWipeAfterAnUnplannedRemoval(t *testing.T) {
	t.Parallel()
	for _, shape := range []struct{ cores, first int }{{3, 0}, {3, 1}, {5, 0}, {5, 1}} {
		t.Run(fmt.Sprintf("%d cores, loss of %d", shape.cores, shape.first), func(t *testing.T) {
			for moment := time.Duration(0); moment <= fleetCatchUp; moment += momentStep {
				for _, second := range []string{"head", "other"} {
					testSecondWipe(t, shape.cores, shape.first, moment, second)
				}
			}
		})
	}
}

// testSecondWipe wipes a second machine some time after the successor of the first has started.
func testSecondWipe(t *testing.T, cores, first int, moment time.Duration, second string) {
	t.Helper()
	fleet := newFleet(t, 1, cores)
	lost := fleet.leader()
	if first > 0 {
		lost = fleet.otherAcceptor()
	}
	fleet.remove(lost)
	fleet.run(time.Second)
	fleet.add(false)
	fleet.run(moment)
	// What a fleet of three bears only once the successor has the seat, one of five bears once
	// the loss is known and a view agreed.
	bounds := timing.BoundsFor(timing.Limits{})
	bears := time.Second+moment >= bounds.AcceptorRepair() ||
		cores > 3 && time.Second+moment >= bounds.Detection()+bounds.ViewChange()
	fleet.wipe(fleet.pick(second), wipedFor)
	if bears {
		fleet.requireServing(servingBound)
		return
	}
	fleet.run(servingBound)
	for _, machine := range fleet.machines {
		if machine.node != nil && machine.node.Chain().IsMember() {
			fleet.requireKept(machine)
		}
	}
}

// A successor that started well before its predecessor is told to stop must make up for it at every moment; here it
// has half of the time that it would be given.
func TestASecondWipeDuringAPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, shape := range []struct {
		cores int
		role  string
	}{{3, "head"}, {3, "other"}, {5, "head"}, {5, "other"}} {
		t.Run(fmt.Sprintf("%d cores, %s leaves", shape.cores, shape.role), func(t *testing.T) {
			for moment := time.Duration(0); moment <= 1500*time.Millisecond; moment += momentStep {
				for _, second := range []string{"head", "other"} {
					fleet := newFleet(t, 1, shape.cores)
					fleet.add(false)
					fleet.run(fleetCatchUp / 2)
					leaver := fleet.leader()
					if shape.role == "other" {
						leaver = fleet.otherAcceptor()
					}
					fleet.stop(leaver)
					fleet.run(moment)
					fleet.wipe(fleet.pick(second, leaver), wipedFor)
					fleet.requireServing(servingBound)
				}
			}
		})
	}
}

// The only holder of a copy stays until a successor has everything, however it is called to leave.
func TestTheOnlyHolderStaysUntilASuccessorHasItsCopy(t *testing.T) {
	t.Parallel()
	for moment := time.Duration(0); moment <= time.Second; moment += momentStep {
		fleet := newFleet(t, 0, 1)
		leaver := fleet.leader()
		// Changes that are acknowledged while the successor's disk lags behind are the ones that could be lost.
		fleet.every = 4 * fleetStep
		successor := fleet.add(false)
		fleet.run(moment)
		fleet.stop(leaver)
		fleet.runUntil(servingBound, "successor in the chain",
			func() bool { return membership.Contains(fleet.newest().Chain, successor.node.Self().Id) })
		successor.diskTime = 550 * time.Millisecond
		fleet.runUntil(fleetGrace, "end of the leaving machine", func() bool { return leaver.node == nil })
		fleet.runUntil(servingBound, "leader", func() bool { return fleet.leader() != nil })
		fleet.requireKept(fleet.leader())
		// Where two machines were in the chain before, a change wants two copies again.
		successor.diskTime, fleet.every = 0, changeEvery
		fleet.add(false)
		fleet.requireServing(servingBound)
	}
}

// A machine that leaves as the only holder, and is followed only after that, waits for its successor.
func TestTheOnlyHolderWaitsForASuccessor(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 0, 1)
	leaver := fleet.leader()
	fleet.stop(leaver)
	fleet.run(2 * time.Second)
	fleet.add(false)
	fleet.runUntil(fleetGrace, "end of the leaving machine", func() bool { return leaver.node == nil })
	fleet.requireServing(servingBound)
}

// An acceptor that only falls silent for a moment may lose its seat to another machine; nobody stops for that.
func TestAnAcceptorThatIsSilentForAMomentDoesNoHarm(t *testing.T) {
	t.Parallel()
	for silence := 300 * time.Millisecond; silence <= 1500*time.Millisecond; silence += momentStep {
		fleet := newFleet(t, 1, 5)
		fleet.gap = 0
		for range 5 {
			machine := fleet.otherAcceptor()
			machine.unreachable = true
			fleet.run(silence)
			machine.unreachable = false
			back := fleet.now
			fleet.runUntil(servingBound, "return of the one that was silent", func() bool {
				if newest := fleet.newest(); len(newest.Chain) < len(fleet.machines)-1 {
					t.Fatalf("one was silent for %v and more were taken out: %s", silence, fleet.state())
				}
				return fleet.now.Sub(back) >= 300*time.Millisecond && fleet.whole() &&
					len(fleet.newest().Chain) == len(fleet.machines)
			})
			fleet.run(300 * time.Millisecond)
		}
		if fleet.gap > leadershipGap {
			t.Fatalf("silences of %v: nobody led for %v", silence, fleet.gap)
		}
		fleet.requireServing(servingBound)
		fleet.runUntil(servingBound, "whole fleet", fleet.whole)
	}
}

// Two losses at once out of eight, and two more once successors have had their time.
func TestTwoFaultsAmongEightCores(t *testing.T) {
	t.Parallel()
	for moment := time.Duration(0); moment <= fleetCatchUp; moment += 4 * momentStep {
		fleet := newFleet(t, 2, 8)
		if acceptors := len(fleet.leader().node.View().Acceptors); acceptors != 5 {
			t.Fatalf("%d keepers", acceptors)
		}
		first, second := fleet.leader(), fleet.otherAcceptor()
		fleet.remove(first)
		fleet.remove(second)
		fleet.run(time.Second)
		fleet.add(false)
		fleet.add(false)
		fleet.run(moment)
		head := fleet.pick("head")
		fleet.remove(fleet.pick("other", head))
		fleet.wipe(head, wipedFor)
		fleet.requireServing(servingBound)
	}
}
