package gossip_test

import (
	"fmt"
	"math/rand"
	"time"

	"wardtray/coordination/gossip"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	partners := func() []gossip.Peer { return []gossip.Peer{{Address: "127.0.0.2:1", Zone: "here"}} }
	changed := func(_ time.Time, entry *wire.GossipEntry) { fmt.Printf("%s is now %s\n", entry.Key, entry.Value) }
	store := gossip.New("here", outbox, rand.New(rand.NewSource(1)), partners, changed)
	store.Put(now, &wire.GossipEntry{Key: "document", Epoch: 2, Value: []byte("new")}, gossip.Hops)
	store.Put(now, &wire.GossipEntry{Key: "document", Epoch: 1, Value: []byte("old")}, gossip.Hops)
	store.Tick(now)
	messages, _ := outbox.Drain()
	fmt.Println("first message to", messages[0].To)
	// Output:
	// document is now new
	// first message to 127.0.0.2:1
}
