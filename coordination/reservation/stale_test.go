package reservation

import (
	"testing"
	"time"

	"wardtray/wire"
)

// replaceMembership has the head agree on a change, and no daemon learn of it yet.
func (fleet *testFleet) replaceMembership() {
	fleet.t.Helper()
	before := fleet.membership
	fleet.now = fleet.now.Add(testSyncWait)
	for _, process := range fleet.all {
		process.ended = process.ended || !process.isUp
	}
	if fleet.plan(); fleet.membership == before {
		fleet.t.Fatal("the membership stays as it is")
	}
}

// deliverAll delivers everything that is on its way, in order.
func (fleet *testFleet) deliverAll() {
	for len(fleet.mail) > 0 {
		fleet.deliver(0)
	}
}

// restart replaces a daemon's process.
func (fleet *testFleet) restart(index int) *testDaemon {
	fleet.kill(fleet.daemons[index])
	return fleet.start(fleet.daemons[index].identity.Address, fleet.daemons[index].zone)
}

// A replica that acts in a later epoch than the daemon that asks grants nothing to it: the group may be another.
func TestReplicaRefusesAnOlderEpoch(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 3)
	lagging, key := fleet.daemons[0], testKey(1)
	fleet.restart(2)
	fleet.replaceMembership()
	for _, daemon := range fleet.daemons[1:] {
		daemon.adopt()
	}
	request := &wire.ReservationRequest{Epoch: lagging.replica.zone.Epoch, Key: key[:], Token: 1}
	for _, daemon := range fleet.daemons[1:] {
		got := daemon.replica.Reserve(fleet.now, request)
		if got.Outcome != wire.ReservationOutcome_RESERVATION_UNAVAILABLE || got.Epoch != fleet.membership.Epoch {
			t.Errorf("%s: %v", daemon.identity.Address, got)
		}
	}
}

// A new replica answers only once it has learned from as many of the former group as hold everything between them.
func TestNewReplicaWaitsForEnoughSources(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 3)
	sending := fleet.daemons[0].first()
	fleet.reserve(fleet.daemons[0], testKey(1), sending)
	fresh := fleet.restart(2)
	fleet.replaceMembership()
	for _, daemon := range []*testDaemon{fresh, fleet.daemons[0]} {
		daemon.adopt()
	}
	// The other one has not left the former epoch, so that it says nothing.
	fleet.tick(fresh)
	fleet.asReceived = func(*wire.Envelope) {}
	for range len(fleet.mail) {
		fleet.deliver(0)
	}
	key := testKey(2)
	request := &wire.ReservationRequest{Epoch: fresh.replica.zone.Epoch, Key: key[:], Token: 1}
	if got := fresh.replica.Reserve(fleet.now, request).Outcome; got != wire.ReservationOutcome_RESERVATION_UNAVAILABLE {
		t.Fatalf("after one of two sources: %v", got)
	}
	fleet.settle()
	if got := fleet.reserve(fresh, testKey(1), again(sending)).Outcome(); got != Taken {
		t.Errorf("after both: %s", got)
	}
	if !fresh.replica.IsSynced() {
		t.Error("not synced")
	}
}

// A replica that has missed an epoch learns anew: what was granted in it it can't know.
func TestReplicaThatMissedAnEpochLearnsAnew(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 3, 4)
	lagging := fleet.daemons[0]
	lagging.cutAt = fleet.now
	for index := range 2 {
		fleet.restart(2 + index)
		fleet.replaceMembership()
		for range 3 {
			for _, daemon := range fleet.daemons {
				daemon.adopt()
				fleet.tick(daemon)
			}
			fleet.deliverAll()
		}
		for _, daemon := range fleet.daemons {
			daemon.report()
		}
	}
	lagging.cutAt = time.Time{}
	lagging.adopt()
	if lagging.replica.IsSynced() {
		t.Error("synced without having asked anybody")
	}
	fleet.settle()
	if !lagging.replica.IsSynced() {
		t.Error("not synced in the end")
	}
}

// The first sending may arrive after a later one has run and all who remembered that have restarted.
func TestLateFirstSendingIsInDoubt(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 4, 3)
	survivor := fleet.daemons[0]
	late := survivor.first()
	if got := fleet.reserve(fleet.daemons[1], testKey(1), again(late)).Outcome(); got != Granted {
		t.Fatalf("the second sending: %s", got)
	}
	fleet.restart(1)
	fleet.restart(2)
	fleet.settle()
	if got := fleet.reserve(survivor, testKey(1), late).Outcome(); got != InDoubt && got != Taken {
		t.Errorf("the first, long after: %s", got)
	}
	if got := fleet.reserve(survivor, testKey(2), late).Outcome(); got != InDoubt {
		t.Errorf("another that was first sent before the loss: %s", got)
	}
	late.NotBefore = survivor.coordinator.Term()
	if got := fleet.reserve(survivor, testKey(2), late).Outcome(); got != Granted {
		t.Errorf("one that came over a connection that was made after the loss: %s", got)
	}
}

// A daemon that lacks the term that a caller has heard of may not know of all zones.
func TestDaemonBehindItsCallersTermWaits(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5, 3)
	lagging := fleet.daemons[0]
	fleet.start("b0:1", "b")
	fleet.replaceMembership()
	inNewZone := fleet.daemons[3]
	inNewZone.adopt()
	sending := Sending{Number: 1, Term: inNewZone.coordinator.Term()}
	if got := fleet.reserve(inNewZone, testKey(1), sending).Outcome(); got != Granted {
		t.Fatalf("in the new zone: %s", got)
	}
	made := lagging.coordinator.Reserve(fleet.now, testKey(1), again(sending))
	for _, daemon := range fleet.daemons[:3] {
		fleet.collect(daemon)
	}
	if fleet.deliverAll(); made.Outcome() != Pending {
		t.Errorf("sent again to a daemon that does not know of the new zone: %s", made.Outcome())
	}
	fleet.settle()
	if got := made.Outcome(); got != Taken {
		t.Errorf("when it does: %s", got)
	}
}

// A zone that is new holds nothing that was first sent before: daemons that lack it would not ask it.
func TestNewZoneHoldsNothingOfBefore(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 6, 3)
	before := fleet.daemons[0].first()
	fleet.start("b0:1", "b")
	fleet.replaceMembership()
	fleet.daemons[3].adopt()
	if got := fleet.reserve(fleet.daemons[3], testKey(1), before).Outcome(); got == Granted {
		if fleet.daemons[3].coordinator.Counters().OtherZone != 1 {
			t.Fatal("granted by the new zone")
		}
	}
	if got := fleet.reserve(fleet.daemons[0], testKey(1), again(before)).Outcome(); got == Granted {
		t.Error("granted twice")
	}
}

// When the caller was told that a sending does not run, neither does an earlier one that comes later.
func TestEarlierSendingsOfARefusedOneStayRefused(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 7, 3, 3)
	first := fleet.daemons[0].first()
	second := again(first)
	made := fleet.reserve(fleet.daemons[3], testKey(1), second)
	fleet.daemons[3].coordinator.Release(fleet.now, made)
	fleet.collect(fleet.daemons[3])
	fleet.deliverAll()
	if got := fleet.reserve(fleet.daemons[0], testKey(1), first).Outcome(); got != Taken {
		t.Errorf("the first, after the second was refused: %s", got)
	}
	if got := fleet.reserve(fleet.daemons[1], testKey(1), again(second)).Outcome(); got != Granted {
		t.Errorf("the third: %s", got)
	}
}

// A request for a reservation that its release has overtaken does not bring it back.
func TestOvertakenRequestDoesNotBringBackAReservation(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 8, 1, 1)
	daemon, key := fleet.daemons[0], testKey(1)
	request := &wire.ReservationRequest{Epoch: daemon.replica.zone.Epoch, Key: key[:], Token: 5, Number: 1}
	daemon.replica.Release(fleet.now, &wire.ReservationRelease{Key: key[:], Token: 5, Number: 1})
	if got := daemon.replica.Reserve(fleet.now, request).Outcome; got != wire.ReservationOutcome_RESERVATION_UNAVAILABLE {
		t.Errorf("%v", got)
	}
	request.Token = 6
	if got := daemon.replica.Reserve(fleet.now, request).Outcome; got != wire.ReservationOutcome_RESERVATION_GRANTED {
		t.Errorf("another: %v", got)
	}
}

// Of two reservations of one key at different replicas a release of one does not remove the other.
func TestContestedKeysStayTaken(t *testing.T) {
	t.Parallel()
	now, key := time.Unix(1_700_000_000, 0), testKey(1)
	held := &shard{table: newTable()}
	held.put(record{key: key, token: 1, until: now.Add(time.Minute)})
	held.learn(now, []*wire.ReservationRecord{{Key: key[:], Token: 2, Milliseconds: 120_000}})
	for _, token := range []uint64{1, 2} {
		if held.remove(key, token) {
			t.Errorf("token %d removed it", token)
		}
	}
	found, isHeld := held.get(key)
	if !isHeld || found.token != contested || !found.until.Equal(now.Add(2*time.Minute)) {
		t.Errorf("%+v, %v", found, isHeld)
	}
}

// A replica that may not serve grants nothing, so that it is known when one that was cut off is harmless.
func TestReplicaThatMayNotServeGrantsNothing(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 9, 3)
	sending := fleet.daemons[0].first()
	for _, daemon := range fleet.daemons[1:] {
		daemon.fenced = true
	}
	if got := fleet.reserve(fleet.daemons[0], testKey(1), sending).Outcome(); got != Unreachable {
		t.Errorf("%s", got)
	}
}

func TestPlanKeepsWhoMayStillGrant(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 10, 3)
	fleet.kill(fleet.daemons[2])
	fleet.plan()
	if replicas := fleet.membership.Zones[0].Replicas; len(replicas) != 3 {
		t.Errorf("a replica that is only silent was removed: %v", replicas)
	}
}
