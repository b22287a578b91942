package gossip_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/gossip"
	"wardtray/coordination/machine"
	"wardtray/wire"
)

func Example() {
	now, outbox := time.Unix(0, 0), machine.NewOutbox()
	store := gossip.New("here", outbox, rand.New(rand.NewSource(1)), func() []gossip.Partner { return []gossip.Partner{{Address: "127.0.0.2:1", Zone: "here"}} },
		func(_ time.Time, register *wire.Register) { fmt.Printf("%s is now %s\n", register.Key, register.Value) })
	store.Put(now, &wire.Register{Key: "document", Epoch: 2, Value: []byte("new")}, gossip.Hops)
	store.Put(now, &wire.Register{Key: "document", Epoch: 1, Value: []byte("old")}, gossip.Hops)
	store.Tick(now)
	parcels, _ := outbox.Drain()
	fmt.Println("first message to", parcels[0].To)
	// Output:
	// document is now new
	// first message to 127.0.0.2:1
}

// Thirty stores in three zones, half of the messages lost, half of the partners unknown to each: all
// end with the greatest of every register, zone registers never leave their zone, and nobody goes back.
func TestDigestsMendWhatRumorsMiss(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		random, now := rand.New(rand.NewSource(seed)), time.Unix(0, 0)
		type place struct {
			name, zone string
			store      *gossip.Store
			outbox     *machine.Outbox
		}
		places := map[string]*place{}
		var names []string
		for number := range 30 {
			made := &place{name: fmt.Sprint("p", number), zone: fmt.Sprint("z", number%3), outbox: machine.NewOutbox()}
			greatest := map[string]uint64{}
			var partners []gossip.Partner
			for range 15 {
				other := random.Intn(30)
				if other != number {
					partners = append(partners, gossip.Partner{Address: fmt.Sprint("p", other), Zone: fmt.Sprint("z", other%3)})
				}
			}
			made.store = gossip.New(made.zone, made.outbox, rand.New(rand.NewSource(seed+int64(number))), func() []gossip.Partner { return partners },
				func(_ time.Time, register *wire.Register) {
					if register.Epoch < greatest[register.Key] {
						t.Fatalf("seed %d: %s went back on %s", seed, made.name, register.Key)
					}
					greatest[register.Key] = register.Epoch
					if register.Key == "z/z0/list" && made.zone != "z0" {
						t.Fatalf("seed %d: a register of z0 reached %s", seed, made.zone)
					}
				})
			places[made.name] = made
			names = append(names, made.name)
		}
		for step := range 600 {
			now = now.Add(50 * time.Millisecond)
			if step < 200 && step%10 == 0 {
				places["p0"].store.Put(now, &wire.Register{Key: "document", Epoch: uint64(step + 1)}, gossip.Hops)
				places["p3"].store.Put(now, &wire.Register{Key: "z/z0/list", Epoch: uint64(step + 1)}, gossip.Hops)
			}
			for _, name := range names {
				places[name].store.Tick(now)
			}
			for _, name := range names {
				parcels, _ := places[name].outbox.Drain()
				for _, parcel := range parcels {
					if random.Intn(2) == 0 {
						continue
					}
					to := places[parcel.To]
					if message := parcel.Envelope.GetRumor(); message != nil {
						to.store.Rumor(now, message)
					}
					if message := parcel.Envelope.GetDigest(); message != nil {
						to.store.Digest(now, name, places[name].zone, message)
					}
				}
			}
		}
		for _, name := range names {
			if held := places[name].store.Get("document"); held == nil || held.Epoch != 191 {
				t.Fatalf("seed %d: %s ends with %v", seed, name, held)
			}
			if held := places[name].store.Get("z/z0/list"); places[name].zone == "z0" && (held == nil || held.Epoch != 191) {
				t.Fatalf("seed %d: %s ends with list %v", seed, name, held)
			}
		}
	}
}
