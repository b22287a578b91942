package peersampling_test

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// network is a network of 200 processes in four zones that know only one seed, p000.
type network struct {
	random   *rand.Rand
	now      time.Time
	names    []string
	views    map[string]*peersampling.PartialView
	outboxes map[string]*statemachine.Outbox
	stopped  map[string]bool
}

func newNetwork() *network {
	network := &network{
		random: rand.New(rand.NewSource(4)), now: time.Unix(0, 0), views: map[string]*peersampling.PartialView{},
		outboxes: map[string]*statemachine.Outbox{}, stopped: map[string]bool{},
	}
	for number := range 200 {
		name := fmt.Sprintf("p%03d", number)
		network.outboxes[name] = statemachine.NewOutbox()
		self := &wire.PeerDescriptor{Address: name, Zone: strconv.Itoa(number % 4)}
		random := rand.New(rand.NewSource(int64(number)))
		network.views[name] = peersampling.New(self, []string{"p000"}, network.outboxes[name], random)
		network.names = append(network.names, name)
	}
	return network
}

// run lets the processes exchange messages for some seconds.
func (network *network) run(seconds int) {
	for range seconds {
		network.now = network.now.Add(time.Second)
		for _, name := range network.names {
			if !network.stopped[name] {
				network.views[name].Tick(network.now)
			}
		}
		for range 2 {
			for _, name := range network.names {
				network.deliver(name)
			}
		}
	}
}

// deliver delivers the messages that a process has sent, and loses a tenth of them.
func (network *network) deliver(name string) {
	messages, _ := network.outboxes[name].Drain()
	for _, message := range messages {
		if !network.stopped[message.To] && network.random.Intn(10) > 0 {
			network.views[message.To].HandleShuffle(network.now, name, message.Envelope.GetShuffle())
		}
	}
}

// reached returns the number of processes that can be reached from p000 by following the views.
func (network *network) reached() int {
	seen, queue := map[string]bool{"p000": true}, []string{"p000"}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, peer := range network.views[next].Peers() {
			if !seen[peer.Address] && !network.stopped[peer.Address] {
				seen[peer.Address] = true
				queue = append(queue, peer.Address)
			}
		}
	}
	return len(seen)
}

// The views must connect all live processes although a tenth of the messages is lost, stay within their size, and drop
// the descriptors of stopped processes. This fails if stopped processes are passed on for ever or if the views split.
func TestViewsConnectAndForget(t *testing.T) {
	network := newNetwork()
	network.run(60)
	if count := network.reached(); count != 200 {
		t.Fatalf("%d of 200 processes are connected", count)
	}
	for number := 100; number < 200; number++ {
		network.stopped[network.names[number]] = true
	}
	network.run(120)
	if count := network.reached(); count != 100 {
		t.Fatalf("%d of 100 processes are connected after the others were stopped", count)
	}
	stale := 0
	for _, name := range network.names[:100] {
		if peers := network.views[name].Peers(); len(peers) > peersampling.Size {
			t.Fatalf("the view of %s has %d descriptors", name, len(peers))
		}
		for _, peer := range network.views[name].Peers() {
			if network.stopped[peer.Address] {
				stale++
			}
		}
	}
	if stale > 100*peersampling.Size/10 {
		t.Fatalf("%d descriptors of stopped processes remain", stale)
	}
}
