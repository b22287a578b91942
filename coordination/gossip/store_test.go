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

// process is a process with its store and outbox.
type process struct {
	name, zone string
	store      *gossip.Store
	outbox     *statemachine.Outbox
}

// network holds storeCount stores in zoneCount zones. Each store knows some of the others.
type network struct {
	random    *rand.Rand
	now       time.Time
	names     []string
	processes map[string]*process
}

const (
	storeCount   = 30
	zoneCount    = 3
	partnerCount = 15
)

func newNetwork(t *testing.T, seed int64) *network {
	t.Helper()
	network := &network{random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), processes: map[string]*process{}}
	for number := range storeCount {
		network.add(number, rand.New(rand.NewSource(seed+int64(number))), func(format string, values ...any) {
			t.Fatalf("seed %d: "+format, append([]any{seed}, values...)...)
		})
	}
	return network
}

// add adds a store that fails the test when an entry is replaced by an older version or leaves its zone.
func (network *network) add(number int, random *rand.Rand, fail func(format string, values ...any)) {
	added := &process{name: fmt.Sprint("p", number), zone: zoneOf(number), outbox: statemachine.NewOutbox()}
	var partners []gossip.Peer
	for range partnerCount {
		if other := network.random.Intn(storeCount); other != number {
			partners = append(partners, gossip.Peer{Address: fmt.Sprint("p", other), Zone: zoneOf(other)})
		}
	}
	greatest := map[string]uint64{}
	added.store = gossip.New(added.zone, added.outbox, random, func() []gossip.Peer { return partners },
		func(_ time.Time, entry *wire.GossipEntry) {
			if entry.Epoch < greatest[entry.Key] {
				fail("%s returned to an older version of %s", added.name, entry.Key)
			}
			greatest[entry.Key] = entry.Epoch
			if entry.Key == "z/z0/list" && added.zone != "z0" {
				fail("an entry of zone z0 reached zone %s", added.zone)
			}
		})
	network.processes[added.name] = added
	network.names = append(network.names, added.name)
}

func zoneOf(number int) string { return fmt.Sprint("z", number%zoneCount) }

// deliver delivers the messages that a store has sent, and loses half of them.
func (network *network) deliver(name string) {
	sent, _ := network.processes[name].outbox.Drain()
	for _, outgoing := range sent {
		if network.random.Intn(2) == 0 {
			continue
		}
		to := network.processes[outgoing.To]
		if message := outgoing.Envelope.GetGossipMessage(); message != nil {
			to.store.HandleMessage(network.now, message)
		}
		if message := outgoing.Envelope.GetDigest(); message != nil {
			to.store.HandleDigest(network.now, name, network.processes[name].zone, message)
		}
	}
}

// run lets the stores exchange messages for 600 steps of 50 ms. During the first 200 steps it repeatedly writes two
// entries.
func (network *network) run() {
	for step := range 600 {
		network.now = network.now.Add(50 * time.Millisecond)
		if step < 200 && step%10 == 0 {
			epoch := uint64(step + 1)
			document := &wire.GossipEntry{Key: "document", Epoch: epoch}
			network.processes["p0"].store.Put(network.now, document, gossip.Hops)
			list := &wire.GossipEntry{Key: "z/z0/list", Epoch: epoch}
			network.processes["p3"].store.Put(network.now, list, gossip.Hops)
		}
		for _, name := range network.names {
			network.processes[name].store.Tick(network.now)
		}
		for _, name := range network.names {
			network.deliver(name)
		}
	}
}

// With half of the messages lost and half of the partners unknown to each store, every store must end with the newest
// version of every entry, entries of a zone must not leave it, and no store may return to an older version.
func TestDigestsRepairWhatGossipMisses(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		network := newNetwork(t, seed)
		network.run()
		for _, name := range network.names {
			process := network.processes[name]
			if entry := process.store.Get("document"); entry == nil || entry.Epoch != 191 {
				t.Fatalf("seed %d: %s ends with document %v, want epoch 191", seed, name, entry)
			}
			if entry := process.store.Get("z/z0/list"); process.zone == "z0" && (entry == nil || entry.Epoch != 191) {
				t.Fatalf("seed %d: %s ends with list %v, want epoch 191", seed, name, entry)
			}
		}
	}
}
