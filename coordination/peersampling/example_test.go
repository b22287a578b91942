package peersampling_test

import (
	"fmt"
	"math/rand"
	"time"

	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	self, seeds := &wire.PeerDescriptor{Address: "127.0.0.1:1", Zone: "a"}, []string{"127.0.0.9:1"}
	view := peersampling.New(self, seeds, outbox, rand.New(rand.NewSource(1)))
	view.Tick(now)
	messages, _ := outbox.Drain()
	fmt.Println("contacts its seed:", messages[0].To)
	view.HandleShuffle(now, "127.0.0.9:1", &wire.Shuffle{Response: true, Peers: []*wire.PeerDescriptor{
		{Address: "127.0.0.9:1", Zone: "b"},
		{Address: "127.0.0.2:1", Zone: "a"},
	}})
	fmt.Println("knows", len(view.Peers()), "neighbours")
	// Output:
	// contacts its seed: 127.0.0.9:1
	// knows 2 neighbours
}
