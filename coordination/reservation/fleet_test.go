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
	// testIsolation is for how long a daemon of a test that is cut off from the head serves on.
	testIsolation = 3 * time.Second
	// testSyncWait is for how long the head of a test waits for replicas that are not synced.
	testSyncWait = 500 * time.Millisecond
)

// testDaemon is one daemon's process in a testFleet.
type testDaemon struct {
	fleet       *testFleet
	identity    Identity
	zone        string
	outbox      *statemachine.Outbox
	replica     *Replica
	coordinator *Coordinator
	isUp        bool
	// cutAt is when it was cut off from the head; zero: it is not.
	cutAt time.Time
	// fenced is set once it may not serve, until it has the newest membership.
	fenced bool
	// known is the newest membership that it has adopted, birth the epoch of the first.
	known *wire.ReservationMembership
	birth uint64
	// reported is the epoch in which the head heard that it is synced, ended whether the head knows that it has ended.
	reported uint64
	ended    bool
}

func (daemon *testDaemon) mayServe(now time.Time) bool {
	if !daemon.cutAt.IsZero() && now.Sub(daemon.cutAt) >= testIsolation {
		daemon.fenced = true
	}
	return !daemon.fenced
}

// adopt has the daemon learn the newest membership.
func (daemon *testDaemon) adopt() {
	fleet := daemon.fleet
	if fleet.membership == nil || !daemon.isUp || !daemon.cutAt.IsZero() {
		return
	}
	daemon.fenced = false
	if daemon.known.GetEpoch() < fleet.membership.Epoch {
		if daemon.known = fleet.membership; daemon.birth == 0 {
			daemon.birth = daemon.known.Epoch
		}
		daemon.replica.Adopt(fleet.now, NewMembership(fleet.membership))
		daemon.coordinator.Adopt(fleet.now, NewMembership(fleet.membership))
		fleet.collect(daemon)
	}
}

// isReported reports whether the head knows that the daemon is synced in the present epoch.
func (daemon *testDaemon) isReported() bool {
	return daemon.fleet.membership != nil && daemon.reported == daemon.fleet.membership.Epoch
}

// report tells the head whether the daemon is synced.
func (daemon *testDaemon) report() {
	if daemon.isUp && daemon.cutAt.IsZero() && daemon.known != nil && daemon.replica.IsSynced() {
		daemon.reported = daemon.known.Epoch
	}
}

// testFleet steps the replicas and coordinators of some daemons, the messages between them, and a head that plans.
type testFleet struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	daemons []*testDaemon
	// all has every process that there ever was.
	all  map[Identity]*testDaemon
	mail []testMail
	// cut zones reach nobody else, and are not reached.
	cut map[string]bool
	// membership is the agreed one, since planned.
	membership *wire.ReservationMembership
	planned    time.Time
	isFounded  bool
	// memberships are all that there were, for the trace of a failure.
	memberships []*wire.ReservationMembership
	// asReceived has every message changed before it is handled; nil: none is.
	asReceived func(envelope *wire.Envelope)
}

type testMail struct {
	from, to string
	envelope *wire.Envelope
}

// newTestFleet starts so many daemons in each of some zones, and has them agree on their first membership.
func newTestFleet(tb testing.TB, seed int64, zones ...int) *testFleet {
	tb.Helper()
	fleet := &testFleet{t: tb, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(seed)),
		all: map[Identity]*testDaemon{}, cut: map[string]bool{}}
	for number, count := range zones {
		for place := range count {
			fleet.start(fmt.Sprintf("%c%d:1", 'a'+number, place), string(rune('a'+number)))
		}
	}
	fleet.plan()
	fleet.settle()
	return fleet
}

// start starts a process at an address, in place of the one that was there.
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

// adoptLater has the newest membership come as a message.
func (daemon *testDaemon) adoptLater() {
	daemon.fleet.mail = append(daemon.fleet.mail, testMail{to: daemon.identity.Address})
}

func (fleet *testFleet) kill(daemon *testDaemon) { daemon.isUp = false }

func (fleet *testFleet) at(address string) *testDaemon {
	for _, daemon := range fleet.daemons {
		if daemon.identity.Address == address && daemon.isUp {
			return daemon
		}
	}
	return nil
}

// collect takes what a daemon sends.
func (fleet *testFleet) collect(daemon *testDaemon) {
	messages, _ := daemon.outbox.Drain()
	for _, message := range messages {
		fleet.mail = append(fleet.mail, testMail{from: daemon.identity.Address, to: message.To,
			envelope: proto.CloneOf(message.Envelope)})
	}
}

// passes reports whether a message can go from one address to another.
func (fleet *testFleet) passes(from, to string) bool {
	left, right := from[:1], to[:1]
	return left == right || !fleet.cut[left] && !fleet.cut[right]
}

// deliver hands the message at an index to whom it is for.
func (fleet *testFleet) deliver(index int) {
	mail := fleet.mail[index]
	fleet.mail = slices.Delete(fleet.mail, index, index+1)
	daemon := fleet.at(mail.to)
	if daemon == nil {
		return
	}
	if mail.envelope == nil {
		daemon.adopt()
		return
	}
	if !fleet.passes(mail.from, mail.to) {
		return
	}
	if fleet.asReceived != nil {
		fleet.asReceived(mail.envelope)
	}
	daemon.receive(mail.from, mail.envelope)
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

// plan has the head change the membership, if it would.
func (fleet *testFleet) plan() {
	facts := Facts{InForce: true, IsFounding: !fleet.isFounded, IsFormed: true,
		MayLose: fleet.now.Sub(fleet.planned) >= testSyncWait,
		HasEnded: func(replica *wire.ReservationReplica) bool {
			process := fleet.all[identityOf(replica)]
			return process.ended || !process.cutAt.IsZero() && !process.mayServe(fleet.now)
		},
		IsSynced: func(replica Identity) bool { return fleet.all[replica].isReported() },
	}
	for _, daemon := range fleet.daemons {
		if daemon.isUp && daemon.cutAt.IsZero() {
			facts.Candidates = append(facts.Candidates, Candidate{Identity: daemon.identity, Zone: daemon.zone})
		}
	}
	if next := Plan(fleet.membership, facts); next != nil {
		fleet.membership, fleet.planned, fleet.isFounded = next, fleet.now, true
		fleet.memberships = append(fleet.memberships, next)
	}
}

// settle lets everything that is on its way arrive, in order, until the membership stays and everybody is synced.
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
		for len(fleet.mail) > 0 {
			fleet.deliver(0)
		}
		for _, daemon := range fleet.daemons {
			daemon.report()
		}
		fleet.plan()
	}
}

// reserve has a daemon reserve a key and waits for the outcome.
func (fleet *testFleet) reserve(daemon *testDaemon, key Key, sending Sending) *Reservation {
	made := daemon.coordinator.Reserve(fleet.now, key, sending)
	fleet.collect(daemon)
	for end := fleet.now.Add(reserveTimeout + time.Second); made.Outcome() == Pending && fleet.now.Before(end); {
		for count := len(fleet.mail); count > 0; count-- {
			fleet.deliver(0)
		}
		fleet.now = fleet.now.Add(10 * time.Millisecond)
		for _, daemon := range fleet.daemons {
			fleet.tick(daemon)
		}
	}
	return made
}

// testKey returns the key of a number, of any shard.
func testKey(number int) Key {
	var key Key
	copy(key[:], fmt.Appendf(nil, "%c-%08d", number%ShardCount, number))
	return key
}

// first and again are sendings under a daemon's present term.
func (daemon *testDaemon) first() Sending {
	return Sending{Number: 1, Term: daemon.coordinator.Term()}
}

func again(sending Sending) Sending { return Sending{Number: sending.Number + 1, Term: sending.Term} }
