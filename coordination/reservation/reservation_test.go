package reservation

import (
	"testing"
	"time"
)

// A first attempt needs only the replicas of its own zone; every retry, at any daemon of any zone, must find it taken.
func TestFirstAttemptIsGrantedOnceInItsZone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 4, 4, 4)
	daemon := fleet.daemons[0]
	attempt := daemon.firstAttempt()
	if got := fleet.reserve(daemon, testKey(1), attempt).Outcome(); got != Granted {
		t.Fatalf("first attempt: %s", got)
	}
	if got := daemon.coordinator.Counters().OtherZone; got != 0 {
		t.Errorf("%d reservations were granted by other zones, want 0", got)
	}
	for _, other := range fleet.daemons {
		if got := fleet.reserve(other, testKey(1), retryOf(attempt)).Outcome(); got != Taken {
			t.Errorf("%s: retry: %s", other.identity.Address, got)
		}
	}
	if got := fleet.reserve(fleet.daemons[7], testKey(2), retryOf(attempt)).Outcome(); got != Granted {
		t.Errorf("retry of a request whose first attempt was lost: %s", got)
	}
}

// A request whose reservation was released did not run, so that its retry must be granted.
func TestReleasedRequestsMayBeSentAgain(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 4, 4)
	daemon, other := fleet.daemons[0], fleet.daemons[6]
	attempt := daemon.firstAttempt()
	reservation := fleet.reserve(daemon, testKey(1), attempt)
	daemon.coordinator.Release(fleet.now, reservation)
	fleet.collect(daemon)
	fleet.settle()
	if got := fleet.reserve(other, testKey(1), retryOf(attempt)).Outcome(); got != Granted {
		t.Errorf("retry after the release: %s", got)
	}
	if count := len(daemon.coordinator.releases); count != 0 {
		t.Errorf("%d releases are not acknowledged, want 0", count)
	}
}

// Reservations must survive a rolling restart of all replicas, since each new replica learns them from the others.
func TestReservationsOutliveRollingRestarts(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 3, 5, 3)
	attempt := fleet.daemons[0].firstAttempt()
	const keys = 200
	for number := range keys {
		fleet.reserve(fleet.daemons[number%5], testKey(number), attempt)
	}
	for _, daemon := range append([]*testDaemon{}, fleet.daemons...) {
		fleet.kill(daemon)
		fleet.start(daemon.identity.Address, daemon.zone)
		fleet.settle()
	}
	for number := range keys {
		if got := fleet.reserve(fleet.daemons[number%8], testKey(number), retryOf(attempt)).Outcome(); got != Taken {
			t.Fatalf("key %d after a rolling restart: %s", number, got)
		}
	}
	if got := fleet.reserve(fleet.daemons[0], testKey(keys), retryOf(attempt)).Outcome(); got != Granted {
		t.Errorf("retry of a request whose first attempt was lost: %s", got)
	}
}

// When all replicas of a zone restart at once, its reservations are lost. Requests first sent before are then in doubt,
// and no others.
func TestLossOfAZoneIsADoubt(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]int{"one zone": 4, "all zones": 12} {
		fleet := newTestFleet(t, 4, 4, 4, 4)
		before := fleet.daemons[0].firstAttempt()
		fleet.reserve(fleet.daemons[0], testKey(1), before)
		for _, daemon := range append([]*testDaemon{}, fleet.daemons[:lost]...) {
			fleet.kill(daemon)
			fleet.start(daemon.identity.Address, daemon.zone)
		}
		fleet.settle()
		for number, daemon := range fleet.daemons {
			if got := fleet.reserve(daemon, testKey(1), retryOf(before)).Outcome(); got != InDoubt {
				t.Errorf("%s: %s: retry: %s", name, daemon.identity.Address, got)
			}
			after := daemon.firstAttempt()
			if got := fleet.reserve(daemon, testKey(100+number), after).Outcome(); got != Granted {
				t.Errorf("%s: %s: a new request: %s", name, daemon.identity.Address, got)
			}
			if got := fleet.reserve(fleet.daemons[0], testKey(200+number), retryOf(after)).Outcome(); got != Granted {
				t.Errorf("%s: %s: retry of a new request whose first attempt was lost: %s", name, daemon.identity.Address, got)
			}
		}
		fleet.now = fleet.now.Add(replicaRetention)
		if got := fleet.reserve(fleet.daemons[0], testKey(3), ClientAttempt{}).Outcome(); got != Granted {
			t.Errorf("%s: after the retention period of reservations: %s", name, got)
		}
	}
}

// In a partition between zones, first attempts are granted on both sides. Retries need all zones and must not be
// granted.
func TestPartitionedZone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5, 4, 4)
	inside, outside := fleet.daemons[0], fleet.daemons[4]
	fleet.isolatedZones["a"] = true
	attempt := inside.firstAttempt()
	for name, test := range map[string]struct {
		daemon  *testDaemon
		attempt ClientAttempt
		want    Outcome
	}{
		"first inside":  {inside, attempt, Granted},
		"first outside": {outside, attempt, Granted},
		"again inside":  {inside, retryOf(attempt), Unreachable},
		"again outside": {outside, retryOf(attempt), Unreachable},
	} {
		key := testKey(len(name) * int(name[0]))
		if got := fleet.reserve(test.daemon, key, test.attempt).Outcome(); got != test.want {
			t.Errorf("%s: unexpected outcome %s", name, got)
		}
	}
}

// When a majority of a group of the daemon's own zone is gone, another zone grants first attempts, and a retry must not
// be granted as well.
func TestFirstAttemptTurnsToAnotherZone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 6, 3, 3)
	daemon := fleet.daemons[0]
	fleet.kill(fleet.daemons[1])
	fleet.kill(fleet.daemons[2])
	attempt := daemon.firstAttempt()
	if got := fleet.reserve(daemon, testKey(1), attempt).Outcome(); got != Granted {
		t.Fatalf("without a majority in its own zone: %s", got)
	}
	if got := daemon.coordinator.Counters().OtherZone; got != 1 {
		t.Errorf("%d reservations were granted by another zone, want 1", got)
	}
	if got := fleet.reserve(fleet.daemons[4], testKey(1), retryOf(attempt)).Outcome(); got == Granted {
		t.Error("the retry was granted as well")
	}
}

// A full replica must refuse new reservations and keep those that it holds: an evicted one would let its request run
// twice.
func TestFullReplicasRefuseAndForgetNothing(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 7, 1)
	daemon := fleet.daemons[0]
	attempt := daemon.firstAttempt()
	fleet.reserve(daemon, testKey(1), attempt)
	shard := daemon.replica.shards[2]
	for number := daemon.replica.Len(); number < MaximumReservations; number++ {
		shard.put(record{key: Key{2, byte(number), byte(number >> 8), byte(number >> 16)}, until: fleet.now.Add(time.Minute)})
	}
	reservation := fleet.reserve(daemon, testKey(5), attempt)
	if reservation.Outcome() != Full || reservation.RetryAfter() <= 0 || reservation.RetryAfter() > time.Minute {
		t.Errorf("%s, room after %v", reservation.Outcome(), reservation.RetryAfter())
	}
	if got := fleet.reserve(daemon, testKey(1), retryOf(attempt)).Outcome(); got != Taken {
		t.Errorf("retry of a request reserved before the replica was full: %s", got)
	}
	fleet.now = fleet.now.Add(time.Minute)
	fleet.tick(daemon)
	if got := fleet.reserve(daemon, testKey(5), attempt).Outcome(); got != Granted {
		t.Errorf("after reservations have expired: %s", got)
	}
}

// A reservation must be kept while its request is in progress, and for MinimumRetention after the end of the request.
// Otherwise a retry would run the request a second time.
func TestReservationsAreRenewed(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 8, 3, 3)
	daemon := fleet.daemons[0]
	attempt := daemon.firstAttempt()
	reservation := fleet.reserve(daemon, testKey(1), attempt)
	advance := func(length time.Duration) {
		for end := fleet.now.Add(length); fleet.now.Before(end); {
			fleet.now = fleet.now.Add(10 * time.Second)
			for _, other := range fleet.daemons {
				fleet.tick(other)
			}
			for len(fleet.messages) > 0 {
				fleet.deliver(0)
			}
		}
	}
	outcome := func() Outcome { return fleet.reserve(fleet.daemons[4], testKey(1), retryOf(attempt)).Outcome() }
	advance(3 * MinimumRetention)
	if got := outcome(); got != Taken {
		t.Fatalf("while the request is in progress: %s", got)
	}
	daemon.coordinator.Finish(reservation)
	advance(MinimumRetention)
	if got := outcome(); got != Taken {
		t.Errorf("within MinimumRetention after the end of the request: %s", got)
	}
	advance(2 * RenewInterval)
	if got := outcome(); got != Granted {
		t.Errorf("after the retention period: %s", got)
	}
}

// Without a membership no replica exists, so that nothing may be granted and clients get no term.
func TestNothingIsReservedWithoutAMembership(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 9)
	daemon := fleet.start("a0:1", "a")
	if got := daemon.coordinator.Reserve(fleet.now, testKey(1), ClientAttempt{Number: 1}).Outcome(); got != NotInForce {
		t.Errorf("outcome without a membership: %s", got)
	}
	if daemon.coordinator.Term() != 0 {
		t.Error("the term is not 0 without a membership")
	}
}
