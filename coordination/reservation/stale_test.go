package reservation

import (
	"testing"
	"time"

	"wardtray/wire"
)

// replaceMembership lets the head of the chain agree on a new membership that no daemon has adopted yet.
func (fleet *testFleet) replaceMembership() {
	fleet.t.Helper()
	before := fleet.membership
	fleet.now = fleet.now.Add(testSyncWait)
	for _, process := range fleet.all {
		process.ended = process.ended || !process.isUp
	}
	if fleet.plan(); fleet.membership == before {
		fleet.t.Fatal("the membership has not changed")
	}
}

// deliverAll delivers all queued messages in order.
func (fleet *testFleet) deliverAll() {
	for len(fleet.messages) > 0 {
		fleet.deliver(0)
	}
}

// restart kills a daemon's process and starts another at its address.
func (fleet *testFleet) restart(index int) *testDaemon {
	fleet.kill(fleet.daemons[index])
	return fleet.start(fleet.daemons[index].identity.Address, fleet.daemons[index].zone)
}

// A replica must not grant a request of an older epoch: the group of the shard may have changed since, and the new one
// could grant the key again.
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

// A new replica must learn from a read quorum of the previous group before it answers: with fewer sources it may lack a
// reservation and grant its key again.
func TestNewReplicaWaitsForEnoughSources(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 3)
	attempt := fleet.daemons[0].firstAttempt()
	fleet.reserve(fleet.daemons[0], testKey(1), attempt)
	fresh := fleet.restart(2)
	fleet.replaceMembership()
	for _, daemon := range []*testDaemon{fresh, fleet.daemons[0]} {
		daemon.adopt()
	}
	// The other source has not left the previous epoch, so that it doesn't answer.
	fleet.tick(fresh)
	fleet.onReceive = func(*wire.Envelope) {}
	for range len(fleet.messages) {
		fleet.deliver(0)
	}
	key := testKey(2)
	request := &wire.ReservationRequest{Epoch: fresh.replica.zone.Epoch, Key: key[:], Token: 1}
	if got := fresh.replica.Reserve(fleet.now, request).Outcome; got != wire.ReservationOutcome_RESERVATION_UNAVAILABLE {
		t.Fatalf("after one of two sources: %v", got)
	}
	fleet.settle()
	if got := fleet.reserve(fresh, testKey(1), retryOf(attempt)).Outcome(); got != Taken {
		t.Errorf("after both sources: %s", got)
	}
	if !fresh.replica.IsSynced() {
		t.Error("the new replica is not synced")
	}
}

// A replica that has missed an epoch must synchronize again, since it lacks the reservations granted in that epoch.
func TestReplicaThatMissedAnEpochLearnsAnew(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 3, 4)
	lagging := fleet.daemons[0]
	lagging.cutOffAt = fleet.now
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
	lagging.cutOffAt = time.Time{}
	lagging.adopt()
	if lagging.replica.IsSynced() {
		t.Error("synced without having asked any source")
	}
	fleet.settle()
	if !lagging.replica.IsSynced() {
		t.Error("not synced after synchronization")
	}
}

// A first attempt may arrive after a retry has run and all replicas that held its reservation have restarted. It must
// not be taken for a new request.
func TestLateFirstSendingIsInDoubt(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 4, 3)
	survivor := fleet.daemons[0]
	late := survivor.firstAttempt()
	if got := fleet.reserve(fleet.daemons[1], testKey(1), retryOf(late)).Outcome(); got != Granted {
		t.Fatalf("second attempt: %s", got)
	}
	fleet.restart(1)
	fleet.restart(2)
	fleet.settle()
	if got := fleet.reserve(survivor, testKey(1), late).Outcome(); got != InDoubt && got != Taken {
		t.Errorf("late first attempt: %s", got)
	}
	if got := fleet.reserve(survivor, testKey(2), late).Outcome(); got != InDoubt {
		t.Errorf("another request that was first sent before the loss: %s", got)
	}
	late.NotBefore = survivor.coordinator.Term()
	if got := fleet.reserve(survivor, testKey(2), late).Outcome(); got != Granted {
		t.Errorf("first attempt over a connection accepted after the loss: %s", got)
	}
}

// A daemon whose membership is older than the client's term may lack a zone that has reserved the request. It must wait
// for the newer membership before it grants a retry.
func TestDaemonBehindItsCallersTermWaits(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5, 3)
	lagging := fleet.daemons[0]
	fleet.start("b0:1", "b")
	fleet.replaceMembership()
	inNewZone := fleet.daemons[3]
	inNewZone.adopt()
	attempt := ClientAttempt{Number: 1, Term: inNewZone.coordinator.Term()}
	if got := fleet.reserve(inNewZone, testKey(1), attempt).Outcome(); got != Granted {
		t.Fatalf("in the new zone: %s", got)
	}
	reservation := lagging.coordinator.Reserve(fleet.now, testKey(1), retryOf(attempt))
	for _, daemon := range fleet.daemons[:3] {
		fleet.collect(daemon)
	}
	if fleet.deliverAll(); reservation.Outcome() != Pending {
		t.Errorf("retry at a daemon that does not know of the new zone: %s", reservation.Outcome())
	}
	fleet.settle()
	if got := reservation.Outcome(); got != Taken {
		t.Errorf("after it has adopted the new membership: %s", got)
	}
}

// A new zone must not reserve requests that were first sent before it existed: daemons with an older membership would
// not ask it about their retries.
func TestNewZoneHoldsNothingOfBefore(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 6, 3)
	before := fleet.daemons[0].firstAttempt()
	fleet.start("b0:1", "b")
	fleet.replaceMembership()
	fleet.daemons[3].adopt()
	if got := fleet.reserve(fleet.daemons[3], testKey(1), before).Outcome(); got == Granted {
		if fleet.daemons[3].coordinator.Counters().OtherZone != 1 {
			t.Fatal("granted by the new zone")
		}
	}
	if got := fleet.reserve(fleet.daemons[0], testKey(1), retryOf(before)).Outcome(); got == Granted {
		t.Error("the retry was granted as well")
	}
}

// Once the client was notified that an attempt does not run, an earlier attempt that arrives later must not run either.
func TestEarlierSendingsOfARefusedOneStayRefused(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 7, 3, 3)
	first := fleet.daemons[0].firstAttempt()
	second := retryOf(first)
	reservation := fleet.reserve(fleet.daemons[3], testKey(1), second)
	fleet.daemons[3].coordinator.Release(fleet.now, reservation)
	fleet.collect(fleet.daemons[3])
	fleet.deliverAll()
	if got := fleet.reserve(fleet.daemons[0], testKey(1), first).Outcome(); got != Taken {
		t.Errorf("first attempt, after the second was refused: %s", got)
	}
	if got := fleet.reserve(fleet.daemons[1], testKey(1), retryOf(second)).Outcome(); got != Granted {
		t.Errorf("third attempt: %s", got)
	}
}

// A request that arrives after the release of its reservation must not restore the reservation, which would block later
// attempts.
func TestOvertakenRequestDoesNotBringBackAReservation(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 8, 1, 1)
	daemon, key := fleet.daemons[0], testKey(1)
	request := &wire.ReservationRequest{Epoch: daemon.replica.zone.Epoch, Key: key[:], Token: 5, Number: 1}
	daemon.replica.Release(fleet.now, &wire.ReservationRelease{Key: key[:], Token: 5, Number: 1})
	if got := daemon.replica.Reserve(fleet.now, request).Outcome; got != wire.ReservationOutcome_RESERVATION_UNAVAILABLE {
		t.Errorf("request after its release: %v", got)
	}
	request.Token = 6
	if got := daemon.replica.Reserve(fleet.now, request).Outcome; got != wire.ReservationOutcome_RESERVATION_GRANTED {
		t.Errorf("request with another token: %v", got)
	}
}

// When two reservations of one key, held by different replicas, meet at a new replica, the release of one must not
// remove the other.
func TestContestedKeysStayTaken(t *testing.T) {
	t.Parallel()
	now, key := time.Unix(1_700_000_000, 0), testKey(1)
	held := &shard{table: newTable()}
	held.put(record{key: key, token: 1, until: now.Add(time.Minute)})
	held.learn(now, []*wire.ReservationRecord{{Key: key[:], Token: 2, Milliseconds: 120_000}})
	for _, token := range []uint64{1, 2} {
		if held.remove(key, token) {
			t.Errorf("the release of token %d removed it", token)
		}
	}
	found, isHeld := held.get(key)
	if !isHeld || found.token != contested || !found.until.Equal(now.Add(2*time.Minute)) {
		t.Errorf("record %+v, held %v; want a contested one with the later expiry", found, isHeld)
	}
}

// A replica that may not serve must grant nothing: Plan relies on this when it removes an isolated replica.
func TestReplicaThatMayNotServeGrantsNothing(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 9, 3)
	attempt := fleet.daemons[0].firstAttempt()
	for _, daemon := range fleet.daemons[1:] {
		daemon.fenced = true
	}
	if got := fleet.reserve(fleet.daemons[0], testKey(1), attempt).Outcome(); got != Unreachable {
		t.Errorf("outcome while the replicas may not serve: %s", got)
	}
}

// Plan must keep a replica that is silent but may still grant, for example one that is cut off from the head.
func TestPlanKeepsWhoMayStillGrant(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 10, 3)
	fleet.kill(fleet.daemons[2])
	fleet.plan()
	if replicas := fleet.membership.Zones[0].Replicas; len(replicas) != 3 {
		t.Errorf("a replica that may still grant was removed: %v", replicas)
	}
}
