package reservation

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// testIsolation is the time for which a test daemon that is cut off from the head of the chain continues to serve.
	testIsolation = 3 * time.Second
	// testSyncWait is the time limit of the head's wait, in a test fleet, for replicas that are not synced.
	testSyncWait = 500 * time.Millisecond
)

// testDaemon is one daemon process in a testFleet.
type testDaemon struct {
	fleet       *testFleet
	identity    Identity
	zone        string
	outbox      *statemachine.Outbox
	replica     *Replica
	coordinator *Coordinator
	isUp        bool
	// cutOffAt is the time at which it was cut off from the head of the chain; zero: it is not cut off.
	cutOffAt time.Time
	// fenced is set once the daemon may not serve, until it has the newest membership.
	fenced bool
	// adopted is the newest membership that it has adopted, firstEpoch the epoch of the first one.
	adopted    *wire.ReservationMembership
	firstEpoch uint64
	// syncedEpoch is the newest epoch in which the daemon reported to the head that it is synced; ended is set once the
	// head knows that the process has ended.
	syncedEpoch uint64
	ended       bool
}

func (daemon *testDaemon) mayServe(now time.Time) bool {
	if !daemon.cutOffAt.IsZero() && now.Sub(daemon.cutOffAt) >= testIsolation {
		daemon.fenced = true
	}
	return !daemon.fenced
}

// adopt lets the daemon adopt the newest membership.
func (daemon *testDaemon) adopt() {
	fleet := daemon.fleet
	if fleet.membership == nil || !daemon.isUp || !daemon.cutOffAt.IsZero() {
		return
	}
	daemon.fenced = false
	if daemon.adopted.GetEpoch() < fleet.membership.Epoch {
		if daemon.adopted = fleet.membership; daemon.firstEpoch == 0 {
			daemon.firstEpoch = daemon.adopted.Epoch
		}
		daemon.replica.Adopt(fleet.now, NewMembership(fleet.membership))
		daemon.coordinator.Adopt(fleet.now, NewMembership(fleet.membership))
		fleet.collect(daemon)
	}
}

// isReported reports whether the head knows that the daemon is synced in the present epoch.
func (daemon *testDaemon) isReported() bool {
	return daemon.fleet.membership != nil && daemon.syncedEpoch == daemon.fleet.membership.Epoch
}

// report reports to the head that the daemon is synced, if it is.
func (daemon *testDaemon) report() {
	if daemon.isUp && daemon.cutOffAt.IsZero() && daemon.adopted != nil && daemon.replica.IsSynced() {
		daemon.syncedEpoch = daemon.adopted.Epoch
	}
}

// testFleet simulates the replicas and coordinators of some daemons, the messages between them, and a head of the chain
// that plans memberships.
type testFleet struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	daemons []*testDaemon
	// all holds every process that was ever started.
	all      map[Identity]*testDaemon
	messages []testMessage
	// isolatedZones can neither send to other zones nor receive from them.
	isolatedZones map[string]bool
	// membership is the newest agreed membership, plannedAt the time at which it was planned.
	membership *wire.ReservationMembership
	plannedAt  time.Time
	isFounded  bool
	// memberships holds all agreed memberships, for the trace of a failure.
	memberships []*wire.ReservationMembership
	// onReceive is called with every message before it is handled; nil: nothing is called.
	onReceive func(envelope *wire.Envelope)
}

type testMessage struct {
	from, to string
	envelope *wire.Envelope
}

// newTestFleet starts the given number of daemons in each zone and lets them agree on their first membership.
func newTestFleet(tb testing.TB, seed int64, zones ...int) *testFleet {
	tb.Helper()
	fleet := &testFleet{t: tb, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(seed)),
		all: map[Identity]*testDaemon{}, isolatedZones: map[string]bool{}}
	for number, count := range zones {
		for place := range count {
			fleet.start(fmt.Sprintf("%c%d:1", 'a'+number, place), string(rune('a'+number)))
		}
	}
	fleet.plan()
	fleet.settle()
	return fleet
}

// start starts a process at an address; it replaces the one that was there.
func (fleet *testFleet) start(address, zone string) *testDaemon {
	daemon := &testDaemon{fleet: fleet, identity: Identity{Address: address, Incarnation: fleet.random.Uint64()},
		zone: zone, outbox: statemachine.NewOutbox(), isUp: true}
	environment := Environment{MayServe: daemon.mayServe, RequestMembership: func(time.Time, string) {
		if fleet.random.Intn(2) == 0 {
			daemon.adoptLater()
		}
	}}
	daemon.replica = NewReplica(daemon.identity, zone, daemon.outbox, environment)
	daemon.coordinator = NewCoordinator(daemon.identity, zone, daemon.outbox,
		rand.New(rand.NewSource(fleet.random.Int63())), daemon.replica, environment)
	fleet.all[daemon.identity] = daemon
	for index, other := range fleet.daemons {
		if other.identity.Address == address {
			fleet.daemons[index] = daemon
			return daemon
		}
	}
	fleet.daemons = append(fleet.daemons, daemon)
	return daemon
}

// adoptLater queues the newest membership as a message to the daemon.
func (daemon *testDaemon) adoptLater() {
	daemon.fleet.messages = append(daemon.fleet.messages, testMessage{to: daemon.identity.Address})
}

func (fleet *testFleet) kill(daemon *testDaemon) { daemon.isUp = false }

func (fleet *testFleet) processAt(address string) *testDaemon {
	for _, daemon := range fleet.daemons {
		if daemon.identity.Address == address && daemon.isUp {
			return daemon
		}
	}
	return nil
}

// collect queues the messages in a daemon's outbox.
func (fleet *testFleet) collect(daemon *testDaemon) {
	messages, _ := daemon.outbox.Drain()
	for _, message := range messages {
		fleet.messages = append(fleet.messages, testMessage{from: daemon.identity.Address, to: message.To,
			envelope: proto.CloneOf(message.Envelope)})
	}
}

// canReach reports whether messages pass from one address to another.
func (fleet *testFleet) canReach(from, to string) bool {
	left, right := from[:1], to[:1]
	return left == right || !fleet.isolatedZones[left] && !fleet.isolatedZones[right]
}

// deliver delivers the queued message at an index.
func (fleet *testFleet) deliver(index int) {
	message := fleet.messages[index]
	fleet.messages = slices.Delete(fleet.messages, index, index+1)
	daemon := fleet.processAt(message.to)
	if daemon == nil {
		return
	}
	if message.envelope == nil {
		daemon.adopt()
		return
	}
	if !fleet.canReach(message.from, message.to) {
		return
	}
	if fleet.onReceive != nil {
		fleet.onReceive(message.envelope)
	}
	daemon.receive(message.from, message.envelope)
	fleet.collect(daemon)
}

func (daemon *testDaemon) receive(from string, envelope *wire.Envelope) {
	now := daemon.fleet.now
	switch body := envelope.Body.(type) {
	case *wire.Envelope_ReservationRequest:
		daemon.replica.HandleRequest(now, from, body.ReservationRequest)
	case *wire.Envelope_ReservationResponse:
		daemon.coordinator.HandleResponse(now, from, body.ReservationResponse)
	case *wire.Envelope_ReservationRelease:
		daemon.replica.HandleRelease(now, from, body.ReservationRelease)
	case *wire.Envelope_ReservationReleased:
		daemon.coordinator.HandleReleased(from, body.ReservationReleased)
	case *wire.Envelope_ReservationSyncRequest:
		daemon.replica.HandleSyncRequest(now, from, body.ReservationSyncRequest)
	case *wire.Envelope_ReservationSyncResponse:
		daemon.replica.HandleSyncResponse(now, from, body.ReservationSyncResponse)
	}
}

func (fleet *testFleet) tick(daemon *testDaemon) {
	if daemon.isUp {
		daemon.replica.Tick(fleet.now)
		daemon.coordinator.Tick(fleet.now)
		fleet.collect(daemon)
	}
}

// plan lets the head of the chain plan the next membership.
func (fleet *testFleet) plan() {
	input := PlanInput{InForce: true, IsFounding: !fleet.isFounded, EarlierEpochsEnded: true,
		AllowLoss: fleet.now.Sub(fleet.plannedAt) >= testSyncWait,
		HasEnded: func(replica *wire.ReservationReplica) bool {
			process := fleet.all[identityOf(replica)]
			return process.ended || !process.cutOffAt.IsZero() && !process.mayServe(fleet.now)
		},
		IsSynced: func(replica Identity) bool { return fleet.all[replica].isReported() },
	}
	for _, daemon := range fleet.daemons {
		if daemon.isUp && daemon.cutOffAt.IsZero() {
			input.Candidates = append(input.Candidates, Candidate{Identity: daemon.identity, Zone: daemon.zone})
		}
	}
	if next := Plan(fleet.membership, input); next != nil {
		fleet.membership, fleet.plannedAt, fleet.isFounded = next, fleet.now, true
		fleet.memberships = append(fleet.memberships, next)
	}
}

// settle delivers all messages in order, for long enough that the membership becomes stable and every replica synced.
func (fleet *testFleet) settle() {
	for range 40 {
		fleet.now = fleet.now.Add(100 * time.Millisecond)
		for _, process := range fleet.all {
			process.ended = process.ended || !process.isUp
		}
		for _, daemon := range fleet.daemons {
			daemon.adopt()
			fleet.tick(daemon)
		}
		for len(fleet.messages) > 0 {
			fleet.deliver(0)
		}
		for _, daemon := range fleet.daemons {
			daemon.report()
		}
		fleet.plan()
	}
}

// reserve reserves a key at a daemon and waits for the outcome.
func (fleet *testFleet) reserve(daemon *testDaemon, key Key, attempt ClientAttempt) *Reservation {
	reservation := daemon.coordinator.Reserve(fleet.now, key, attempt)
	fleet.collect(daemon)
	for end := fleet.now.Add(reserveTimeout + time.Second); reservation.Outcome() == Pending && fleet.now.Before(end); {
		for count := len(fleet.messages); count > 0; count-- {
			fleet.deliver(0)
		}
		fleet.now = fleet.now.Add(10 * time.Millisecond)
		for _, daemon := range fleet.daemons {
			fleet.tick(daemon)
		}
	}
	return reservation
}

// testKey returns a distinct key for each number; consecutive numbers are in different shards.
func testKey(number int) Key {
	var key Key
	copy(key[:], fmt.Appendf(nil, "%c-%08d", number%ShardCount, number))
	return key
}

// firstAttempt returns a first attempt with the daemon's present term.
func (daemon *testDaemon) firstAttempt() ClientAttempt {
	return ClientAttempt{Number: 1, Term: daemon.coordinator.Term()}
}

// retryOf returns the next attempt of the same request.
func retryOf(attempt ClientAttempt) ClientAttempt {
	return ClientAttempt{Number: attempt.Number + 1, Term: attempt.Term}
}
