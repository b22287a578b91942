package gossip_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/gossip"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	store := gossip.New("here", outbox, rand.New(rand.NewSource(1)), func() []gossip.Peer { return []gossip.Peer{{Address: "127.0.0.2:1", Zone: "here"}} },
		func(_ time.Time, register *wire.GossipEntry) {
			fmt.Printf("%s is now %s\n", register.Key, register.Value)
		})
	store.Put(now, &wire.GossipEntry{Key: "document", Epoch: 2, Value: []byte("new")}, gossip.Hops)
	store.Put(now, &wire.GossipEntry{Key: "document", Epoch: 1, Value: []byte("old")}, gossip.Hops)
	store.Tick(now)
	parcels, _ := outbox.Drain()
	fmt.Println("first message to", parcels[0].To)
	// Output:
	// document is now new
	// first message to 127.0.0.2:1
}

// place is one store with what it sends.
type place struct {
	name, zone string
	store      *gossip.Store
	outbox     *statemachine.Outbox
}

// network is thirty stores in three zones, of which each knows some of the others.
type network struct {
	random *rand.Rand
	now    time.Time
	names  []string
	places map[string]*place
}

const (
	storeCount   = 30
	zoneCount    = 3
	partnerCount = 15
)

func newNetwork(t *testing.T, seed int64) *network {
	t.Helper()
	made := &network{random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), places: map[string]*place{}}
	for number := range storeCount {
		made.add(number, rand.New(rand.NewSource(seed+int64(number))), func(format string, values ...any) {
			t.Fatalf("seed %d: "+format, append([]any{seed}, values...)...)
		})
	}
	return made
}

// add makes a store that fails the test when a register goes back or leaves its zone.
func (network *network) add(number int, random *rand.Rand, fail func(format string, values ...any)) {
	made := &place{name: fmt.Sprint("p", number), zone: zoneOf(number), outbox: statemachine.NewOutbox()}
	var partners []gossip.Peer
	for range partnerCount {
		if other := network.random.Intn(storeCount); other != number {
			partners = append(partners, gossip.Peer{Address: fmt.Sprint("p", other), Zone: zoneOf(other)})
		}
	}
	greatest := map[string]uint64{}
	made.store = gossip.New(made.zone, made.outbox, random, func() []gossip.Peer { return partners },
		func(_ time.Time, register *wire.GossipEntry) {
			if register.Epoch < greatest[register.Key] {
				fail("%s went back on %s", made.name, register.Key)
			}
			greatest[register.Key] = register.Epoch
			if register.Key == "z/z0/list" && made.zone != "z0" {
				fail("a register of z0 reached %s", made.zone)
			}
		})
	network.places[made.name] = made
	network.names = append(network.names, made.name)
}

func zoneOf(number int) string { return fmt.Sprint("z", number%zoneCount) }

// deliver carries what a store has sent; half of the messages are lost.
func (network *network) deliver(name string) {
	parcels, _ := network.places[name].outbox.Drain()
	for _, parcel := range parcels {
		if network.random.Intn(2) == 0 {
			continue
		}
		to := network.places[parcel.To]
		if message := parcel.Envelope.GetGossipMessage(); message != nil {
			to.store.Rumor(network.now, message)
		}
		if message := parcel.Envelope.GetDigest(); message != nil {
			to.store.Digest(network.now, name, network.places[name].zone, message)
		}
	}
}

// run writes two registers for a while and lets the stores talk for longer.
func (network *network) run() {
	for step := range 600 {
		network.now = network.now.Add(50 * time.Millisecond)
		if step < 200 && step%10 == 0 {
			network.places["p0"].store.Put(network.now, &wire.GossipEntry{Key: "document", Epoch: uint64(step + 1)}, gossip.Hops)
			network.places["p3"].store.Put(network.now, &wire.GossipEntry{Key: "z/z0/list", Epoch: uint64(step + 1)}, gossip.Hops)
		}
		for _, name := range network.names {
			network.places[name].store.Tick(network.now)
		}
		for _, name := range network.names {
			network.deliver(name)
		}
	}
}

// Thirty stores in three zones, half of the messages lost, half of the partners unknown to each: all
// end with the greatest of every register, zone registers never leave their zone, and nobody goes back.
func TestDigestsRepairWhatGossipMisses(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		network := newNetwork(t, seed)
		network.run()
		for _, name := range network.names {
			place := network.places[name]
			if held := place.store.Get("document"); held == nil || held.Epoch != 191 {
				t.Fatalf("seed %d: %s ends with %v", seed, name, held)
			}
			if held := place.store.Get("z/z0/list"); place.zone == "z0" && (held == nil || held.Epoch != 191) {
				t.Fatalf("seed %d: %s ends with list %v", seed, name, held)
			}
		}
	}
}
