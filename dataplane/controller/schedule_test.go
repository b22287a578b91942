package controller

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"wardtray/coordination/lease"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// newTestSchedule returns the schedule of a daemon that has view 3 and one seed.
func newTestSchedule() *requestSchedule {
	current := newTestLeases()
	random := rand.New(rand.NewSource(1))
	seeds := []string{"seed"}
	self := &wire.PeerDescriptor{Address: "d0", Zone: "a"}
	partialView := peersampling.New(self, nil, statemachine.NewOutbox(), random)
	return newRequestSchedule(seeds, partialView, current, newPermission(0, current.configuration, current))
}

// Leases are requested only from the head while it grants them, and from every control machine once it does not.
func TestTakeAddressesOnceTheHeadFails(t *testing.T) {
	schedule := newTestSchedule()
	schedule.leases.ready = true
	schedule.leases.grant(started, lease.DaemonTTL)
	schedule.onGrant(started)
	if addresses, due := schedule.takeAddresses(started); !due || !slices.Equal(addresses, []string{"c0"}) {
		t.Errorf("addresses %v, due is %v; want only the head", addresses, due)
	}
	if _, due := schedule.takeAddresses(started.Add(renewInterval - 1)); due {
		t.Error("a request is due before the interval has passed")
	}
	now := started.Add(renewInterval + headTimeout)
	everyMachine := []string{"c0", "c1", "c2", "seed"}
	if addresses, due := schedule.takeAddresses(now); !due || !slices.Equal(addresses, everyMachine) {
		t.Errorf("addresses %v, due is %v; want every control machine", addresses, due)
	}
	if rounds := schedule.permission.unansweredRounds; rounds != 1 {
		t.Errorf("%d unanswered rounds, want 1", rounds)
	}
}

// The first refused connection to the head makes requests to every control machine due at once.
func TestOnRefused(t *testing.T) {
	schedule := newTestSchedule()
	schedule.onGrant(started)
	schedule.takeAddresses(started)
	if schedule.onRefused("c1") || !schedule.onRefused("c0") || schedule.onRefused("c0") {
		t.Error("onRefused is not true exactly for the first refused connection to the head")
	}
	if addresses, due := schedule.takeAddresses(started); !due || len(addresses) != 4 {
		t.Errorf("addresses %v, due is %v; want every control machine", addresses, due)
	}
	schedule.onNewView()
	if schedule.headUnreachable {
		t.Error("the head of a new view counts as unreachable")
	}
}

// While a majority of the acceptors confirms, no requests are sent to seeds, and requests are less frequent.
func TestTakeAddressesWhileAcceptorsConfirm(t *testing.T) {
	schedule := newTestSchedule()
	for _, acceptor := range acceptors {
		schedule.leases.confirm(started, acceptor.Id, confirmation{requested: started, sequence: 7})
	}
	now := started.Add(time.Millisecond)
	if addresses, due := schedule.takeAddresses(now); !due || !slices.Equal(addresses, []string{"c0", "c1", "c2"}) {
		t.Errorf("addresses %v, due is %v; want only the acceptors", addresses, due)
	}
	if interval := schedule.broadcastInterval(now); interval != renewInterval {
		t.Errorf("broadcast interval %v, want renewInterval", interval)
	}
}

// A request can be taken once, and not after it has expired, so that a duplicate or late response does not count.
func TestPendingRequestsCountOnce(t *testing.T) {
	pending := newPendingRequests(40)
	first, second := pending.add(started), pending.add(started.Add(time.Second))
	if first != 41 || second != 42 {
		t.Errorf("nonces %d and %d, want 41 and 42", first, second)
	}
	pending.expire(started.Add(lease.DaemonTTL+1), lease.DaemonTTL)
	if _, found := pending.take(first); found {
		t.Error("an expired request was found")
	}
	if requested, found := pending.take(second); !found || !requested.Equal(started.Add(time.Second)) {
		t.Errorf("second request: time %v, found is %v", requested, found)
	}
	if _, found := pending.take(second); found {
		t.Error("a request was found twice")
	}
}
