package reservation

import (
	"testing"
	"time"
)

func TestFirstSendingIsGrantedOnceInItsZone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 4, 4, 4)
	daemon := fleet.daemons[0]
	sending := daemon.first()
	if got := fleet.reserve(daemon, testKey(1), sending).Outcome(); got != Granted {
		t.Fatalf("the first sending: %s", got)
	}
	if got := daemon.coordinator.Counters().OtherZone; got != 0 {
		t.Errorf("%d went to other zones", got)
	}
	for _, other := range fleet.daemons {
		if got := fleet.reserve(other, testKey(1), again(sending)).Outcome(); got != Taken {
			t.Errorf("%s: sent again: %s", other.identity.Address, got)
		}
	}
	if got := fleet.reserve(fleet.daemons[7], testKey(2), again(sending)).Outcome(); got != Granted {
		t.Errorf("sent again, of which nothing arrived: %s", got)
	}
}

func TestReleasedRequestsMayBeSentAgain(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 4, 4)
	daemon, other := fleet.daemons[0], fleet.daemons[6]
	sending := daemon.first()
	made := fleet.reserve(daemon, testKey(1), sending)
	daemon.coordinator.Release(fleet.now, made)
	fleet.collect(daemon)
	fleet.settle()
	if got := fleet.reserve(other, testKey(1), again(sending)).Outcome(); got != Granted {
		t.Errorf("after its release: %s", got)
	}
	if count := len(daemon.coordinator.releases); count != 0 {
		t.Errorf("%d releases are not acknowledged", count)
	}
}

// What a zone held outlives the replacement of its replicas one after the other.
func TestReservationsOutliveRollingRestarts(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 3, 5, 3)
	sending := fleet.daemons[0].first()
	const keys = 200
	for number := range keys {
		fleet.reserve(fleet.daemons[number%5], testKey(number), sending)
	}
	for _, daemon := range append([]*testDaemon{}, fleet.daemons...) {
		fleet.kill(daemon)
		fleet.start(daemon.identity.Address, daemon.zone)
		fleet.settle()
	}
	for number := range keys {
		if got := fleet.reserve(fleet.daemons[number%8], testKey(number), again(sending)).Outcome(); got != Taken {
			t.Fatalf("key %d after all have restarted in turn: %s", number, got)
		}
	}
	if got := fleet.reserve(fleet.daemons[0], testKey(keys), again(sending)).Outcome(); got != Granted {
		t.Errorf("a request that nobody has seen: %s", got)
	}
}

// When all replicas of a zone restart at once, what was first sent before is in doubt, and nothing else.
func TestLossOfAZoneIsADoubt(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]int{"one zone": 4, "all zones": 12} {
		fleet := newTestFleet(t, 4, 4, 4, 4)
		before := fleet.daemons[0].first()
		fleet.reserve(fleet.daemons[0], testKey(1), before)
		for _, daemon := range append([]*testDaemon{}, fleet.daemons[:lost]...) {
			fleet.kill(daemon)
			fleet.start(daemon.identity.Address, daemon.zone)
		}
		fleet.settle()
		for number, daemon := range fleet.daemons {
			if got := fleet.reserve(daemon, testKey(1), again(before)).Outcome(); got != InDoubt {
				t.Errorf("%s: %s: sent again: %s", name, daemon.identity.Address, got)
			}
			after := daemon.first()
			if got := fleet.reserve(daemon, testKey(100+number), after).Outcome(); got != Granted {
				t.Errorf("%s: %s: a new request: %s", name, daemon.identity.Address, got)
			}
			if got := fleet.reserve(fleet.daemons[0], testKey(200+number), again(after)).Outcome(); got != Granted {
				t.Errorf("%s: %s: a new request that was lost on its way: %s", name, daemon.identity.Address, got)
			}
		}
		fleet.now = fleet.now.Add(heldFor)
		if got := fleet.reserve(fleet.daemons[0], testKey(3), Sending{}).Outcome(); got != Granted {
			t.Errorf("%s: after the time that reservations are kept: %s", name, got)
		}
	}
}

// A daemon that is cut off with its zone reserves what is sent for the first time, and nothing else.
func TestPartitionedZone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 5, 4, 4)
	inside, outside := fleet.daemons[0], fleet.daemons[4]
	fleet.cut["a"] = true
	sending := inside.first()
	for name, test := range map[string]struct {
		daemon  *testDaemon
		sending Sending
		want    Outcome
	}{
		"first inside":  {inside, sending, Granted},
		"first outside": {outside, sending, Granted},
		"again inside":  {inside, again(sending), Unreachable},
		"again outside": {outside, again(sending), Unreachable},
	} {
		key := testKey(len(name) * int(name[0]))
		if got := fleet.reserve(test.daemon, key, test.sending).Outcome(); got != test.want {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// Where most replicas of a daemon's own zone are gone another zone holds what is sent for the first time.
func TestFirstSendingTurnsToAnotherZone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 6, 3, 3)
	daemon := fleet.daemons[0]
	fleet.kill(fleet.daemons[1])
	fleet.kill(fleet.daemons[2])
	sending := daemon.first()
	if got := fleet.reserve(daemon, testKey(1), sending).Outcome(); got != Granted {
		t.Fatalf("with most of its zone gone: %s", got)
	}
	if got := daemon.coordinator.Counters().OtherZone; got != 1 {
		t.Errorf("%d from another zone", got)
	}
	if got := fleet.reserve(fleet.daemons[4], testKey(1), again(sending)).Outcome(); got == Granted {
		t.Error("granted twice")
	}
}

func TestFullReplicasRefuseAndForgetNothing(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 7, 1)
	daemon := fleet.daemons[0]
	sending := daemon.first()
	fleet.reserve(daemon, testKey(1), sending)
	shard := daemon.replica.shards[2]
	for number := daemon.replica.Len(); number < Limit; number++ {
		shard.put(record{key: Key{2, byte(number), byte(number >> 8), byte(number >> 16)}, until: fleet.now.Add(time.Minute)})
	}
	made := fleet.reserve(daemon, testKey(5), sending)
	if made.Outcome() != Full || made.RoomAfter() <= 0 || made.RoomAfter() > time.Minute {
		t.Errorf("%s, room after %v", made.Outcome(), made.RoomAfter())
	}
	if got := fleet.reserve(daemon, testKey(1), again(sending)).Outcome(); got != Taken {
		t.Errorf("what was there before: %s", got)
	}
	fleet.now = fleet.now.Add(time.Minute)
	fleet.tick(daemon)
	if got := fleet.reserve(daemon, testKey(5), sending).Outcome(); got != Granted {
		t.Errorf("when there is room again: %s", got)
	}
}

// A reservation is known for as long as its request goes on, and for Keep from its end.
func TestReservationsAreRenewed(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 8, 3, 3)
	daemon := fleet.daemons[0]
	sending := daemon.first()
	made := fleet.reserve(daemon, testKey(1), sending)
	pass := func(length time.Duration) {
		for end := fleet.now.Add(length); fleet.now.Before(end); {
			fleet.now = fleet.now.Add(10 * time.Second)
			for _, other := range fleet.daemons {
				fleet.tick(other)
			}
			for len(fleet.mail) > 0 {
				fleet.deliver(0)
			}
		}
	}
	outcome := func() Outcome { return fleet.reserve(fleet.daemons[4], testKey(1), again(sending)).Outcome() }
	pass(3 * Keep)
	if got := outcome(); got != Taken {
		t.Fatalf("while it goes on: %s", got)
	}
	daemon.coordinator.Finish(made)
	pass(Keep)
	if got := outcome(); got != Taken {
		t.Errorf("ten minutes after its end: %s", got)
	}
	pass(2 * RenewInterval)
	if got := outcome(); got != Granted {
		t.Errorf("long after its end: %s", got)
	}
}

func TestNothingIsReservedWithoutAMembership(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 9)
	daemon := fleet.start("a0:1", "a")
	if got := daemon.coordinator.Reserve(fleet.now, testKey(1), Sending{Number: 1}).Outcome(); got != NotInForce {
		t.Errorf("%s", got)
	}
	if daemon.coordinator.Term() != 0 {
		t.Error("a term without a membership")
	}
}
