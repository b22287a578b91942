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
	// wipeDowntime is the time for which a machine is down when its disk is wiped.
	wipeDowntime = 500 * time.Millisecond
	// servingBound is the time within which a fleet must serve again after a loss that it must tolerate.
	servingBound = 4 * time.Second
)

// newestView returns the newest view under which a running machine acts.
func (fleet *fleet) newestView() *wire.View {
	newest := &wire.View{}
	for _, machine := range fleet.machines {
		if machine.node != nil && machine.node.View().Epoch > newest.Epoch {
			newest = machine.node.View()
		}
	}
	return newest
}

// pick returns a running machine by its role in the newest view: the first of the chain, or an acceptor other than the
// head. It skips the excluded machines.
func (fleet *fleet) pick(role string, excluded ...*controlMachine) *controlMachine {
	newest := fleet.newestView()
	members := newest.Chain
	if role == "other" {
		members = membership.Without(newest.Acceptors, newest.Chain[0].Id)
	}
	for _, member := range members {
		if machine := fleet.machine(member.Id); machine != nil && !slices.Contains(excluded, machine) {
			return machine
		}
	}
	fleet.t.Fatalf("no running machine with role %s: %s", role, fleet.state())
	return nil
}

func (fleet *fleet) otherAcceptor() *controlMachine { return fleet.pick("other") }

// acceptorsWithout returns the number of acceptors whose view does not contain a machine.
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

// Guards against an acceptor that is decommissioned and ends before the remaining acceptors know a view without it.
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
			// A remaining acceptor with a slow disk adopts the new view late.
			slow := fleet.pick("other", leaver)
			if role == "other" {
				slow.diskTime = 600 * time.Millisecond
			}
			fleet.longestGap = 0
			fleet.stop(leaver)
			took := fleet.runUntil(fleetGrace, "end of the decommissioned machine", func() bool { return leaver.node == nil })
			if took >= fleetGrace-time.Second {
				t.Fatalf("it ended only after %v", took)
			}
			updated := fleet.acceptorsWithout(id)
			if updated < 2*fleet.faults+1 {
				t.Fatalf("%d acceptors know a view without it: %s", updated, fleet.state())
			}
			slow.diskTime = 0
			fleet.requireServing(servingBound)
			if fleet.longestGap > maximumLeadershipGap {
				t.Fatalf("nobody led for %v", fleet.longestGap)
			}
		})
	}
}

// maximumLeadershipGap is the longest time without a leader while the leader is decommissioned.
const maximumLeadershipGap = 150 * time.Millisecond

// Guards against the loss of service or of acknowledged changes when a second machine loses its disk. With three
// machines and one lost, an acceptor slot is vacant until a successor starts; Bounds.AcceptorRepair later the fleet
// must tolerate a second loss. Before that it need not serve, but must keep every acknowledged change.
func TestASecondWipeAfterAnUnplannedRemoval(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ machines, first int }{{3, 0}, {3, 1}, {5, 0}, {5, 1}} {
		t.Run(fmt.Sprintf("%d cores, loss of %d", test.machines, test.first), func(t *testing.T) {
			for delay := time.Duration(0); delay <= fleetCatchUp; delay += momentStep {
				for _, second := range []string{"head", "other"} {
					testSecondWipe(t, test.machines, test.first, delay, second)
				}
			}
		})
	}
}

// testSecondWipe wipes a second machine after a delay from the start of the successor of the first.
func testSecondWipe(t *testing.T, machines, first int, delay time.Duration, second string) {
	t.Helper()
	fleet := newFleet(t, 1, machines)
	lost := fleet.leader()
	if first > 0 {
		lost = fleet.otherAcceptor()
	}
	fleet.remove(lost)
	fleet.run(time.Second)
	fleet.add(false)
	fleet.run(delay)
	// A fleet of three tolerates a second loss only once the successor has the acceptor slot. One of five does once
	// the first loss is detected and a new view agreed on.
	bounds := timing.BoundsFor(timing.Limits{})
	toleratesLoss := time.Second+delay >= bounds.AcceptorRepair() ||
		machines > 3 && time.Second+delay >= bounds.Detection()+bounds.ViewChange()
	fleet.wipe(fleet.pick(second), wipeDowntime)
	if toleratesLoss {
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

// Guards against a planned replacement that leaves the fleet unable to tolerate the loss of a disk at some point in
// time. The successor starts before its predecessor is ordered to stop, here only by half of the catch-up limit.
func TestASecondWipeDuringAPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		machines int
		role     string
	}{{3, "head"}, {3, "other"}, {5, "head"}, {5, "other"}} {
		t.Run(fmt.Sprintf("%d cores, %s leaves", test.machines, test.role), func(t *testing.T) {
			for delay := time.Duration(0); delay <= 1500*time.Millisecond; delay += momentStep {
				for _, second := range []string{"head", "other"} {
					fleet := newFleet(t, 1, test.machines)
					fleet.add(false)
					fleet.run(fleetCatchUp / 2)
					leaver := fleet.leader()
					if test.role == "other" {
						leaver = fleet.otherAcceptor()
					}
					fleet.stop(leaver)
					fleet.run(delay)
					fleet.wipe(fleet.pick(second, leaver), wipeDowntime)
					fleet.requireServing(servingBound)
				}
			}
		})
	}
}

// Guards against the loss of acknowledged changes when the only replica is decommissioned: it must not end until a
// successor with a slow disk holds everything, whenever the order to stop comes.
func TestTheOnlyHolderStaysUntilASuccessorHasItsCopy(t *testing.T) {
	t.Parallel()
	for delay := time.Duration(0); delay <= time.Second; delay += momentStep {
		fleet := newFleet(t, 0, 1)
		leaver := fleet.leader()
		// The changes at risk are those that are acknowledged while the successor's disk lags behind.
		fleet.changeInterval = 4 * fleetStep
		successor := fleet.add(false)
		fleet.run(delay)
		fleet.stop(leaver)
		fleet.runUntil(servingBound, "successor in the chain",
			func() bool { return membership.Contains(fleet.newestView().Chain, successor.node.Self().Id) })
		successor.diskTime = 550 * time.Millisecond
		fleet.runUntil(fleetGrace, "end of the decommissioned machine", func() bool { return leaver.node == nil })
		fleet.runUntil(servingBound, "leader", func() bool { return fleet.leader() != nil })
		fleet.requireKept(fleet.leader())
		// If the chain has had two members, a change needs two replicas again.
		successor.diskTime, fleet.changeInterval = 0, changeInterval
		fleet.add(false)
		fleet.requireServing(servingBound)
	}
}

// Guards against the loss of the only replica when the successor starts after the order to stop: the machine must wait.
func TestTheOnlyHolderWaitsForASuccessor(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 0, 1)
	leaver := fleet.leader()
	fleet.stop(leaver)
	fleet.run(2 * time.Second)
	fleet.add(false)
	fleet.runUntil(fleetGrace, "end of the decommissioned machine", func() bool { return leaver.node == nil })
	fleet.requireServing(servingBound)
}

// Guards against losing service, or excluding other members, when an acceptor is silent for a short time. It may lose
// its slot to another machine, but the fleet must keep serving.
func TestAnAcceptorThatIsSilentForAMomentDoesNoHarm(t *testing.T) {
	t.Parallel()
	for silence := 300 * time.Millisecond; silence <= 1500*time.Millisecond; silence += momentStep {
		fleet := newFleet(t, 1, 5)
		fleet.longestGap = 0
		for range 5 {
			machine := fleet.otherAcceptor()
			machine.unreachable = true
			fleet.run(silence)
			machine.unreachable = false
			returned := fleet.now
			fleet.runUntil(servingBound, "return of the silent machine", func() bool {
				if newest := fleet.newestView(); len(newest.Chain) < len(fleet.machines)-1 {
					t.Fatalf("after a silence of %v of one machine others were excluded too: %s", silence, fleet.state())
				}
				return fleet.now.Sub(returned) >= 300*time.Millisecond && fleet.complete() &&
					len(fleet.newestView().Chain) == len(fleet.machines)
			})
			fleet.run(300 * time.Millisecond)
		}
		if fleet.longestGap > maximumLeadershipGap {
			t.Fatalf("silences of %v: nobody led for %v", silence, fleet.longestGap)
		}
		fleet.requireServing(servingBound)
		fleet.runUntil(servingBound, "complete fleet", fleet.complete)
	}
}

// Guards against a fleet with Faults = 2 that does not tolerate two simultaneous losses out of eight machines, and two
// more at any time after the successors have started.
func TestTwoFaultsAmongEightCores(t *testing.T) {
	t.Parallel()
	for delay := time.Duration(0); delay <= fleetCatchUp; delay += 4 * momentStep {
		fleet := newFleet(t, 2, 8)
		if acceptors := len(fleet.leader().node.View().Acceptors); acceptors != 5 {
			t.Fatalf("%d acceptors, want 5", acceptors)
		}
		first, second := fleet.leader(), fleet.otherAcceptor()
		fleet.remove(first)
		fleet.remove(second)
		fleet.run(time.Second)
		fleet.add(false)
		fleet.add(false)
		fleet.run(delay)
		head := fleet.pick("head")
		fleet.remove(fleet.pick("other", head))
		fleet.wipe(head, wipeDowntime)
		fleet.requireServing(servingBound)
	}
}
