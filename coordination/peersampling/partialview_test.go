package peersampling_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func Example() {
	now, outbox := time.Unix(0, 0), statemachine.NewOutbox()
	view := peersampling.New(&wire.PeerDescriptor{Address: "127.0.0.1:1", Zone: "a"}, []string{"127.0.0.9:1"}, outbox, rand.New(rand.NewSource(1)))
	view.Tick(now)
	parcels, _ := outbox.Drain()
	fmt.Println("asks its seed:", parcels[0].To)
	view.Shuffle(now, "127.0.0.9:1", &wire.Shuffle{Response: true, Peers: []*wire.PeerDescriptor{{Address: "127.0.0.9:1", Zone: "b"}, {Address: "127.0.0.2:1", Zone: "a"}}})
	fmt.Println("knows", len(view.Peers()), "neighbours")
	// Output:
	// asks its seed: 127.0.0.9:1
	// knows 2 neighbours
}

// crowd is two hundred processes that know one seed.
type crowd struct {
	random   *rand.Rand
	now      time.Time
	names    []string
	views    map[string]*peersampling.PartialView
	outboxes map[string]*statemachine.Outbox
	gone     map[string]bool
}

func newCrowd() *crowd {
	made := &crowd{random: rand.New(rand.NewSource(4)), now: time.Unix(0, 0), views: map[string]*peersampling.PartialView{},
		outboxes: map[string]*statemachine.Outbox{}, gone: map[string]bool{}}
	for number := range 200 {
		name := fmt.Sprintf("p%03d", number)
		made.outboxes[name] = statemachine.NewOutbox()
		made.views[name] = peersampling.New(&wire.PeerDescriptor{Address: name, Zone: fmt.Sprint(number % 4)}, []string{"p000"}, made.outboxes[name], rand.New(rand.NewSource(int64(number))))
		made.names = append(made.names, name)
	}
	return made
}

// run lets the processes talk for some seconds.
func (crowd *crowd) run(seconds int) {
	for range seconds {
		crowd.now = crowd.now.Add(time.Second)
		for _, name := range crowd.names {
			if !crowd.gone[name] {
				crowd.views[name].Tick(crowd.now)
			}
		}
		for range 2 {
			for _, name := range crowd.names {
				crowd.deliver(name)
			}
		}
	}
}

// deliver carries what a process has sent; a tenth is lost.
func (crowd *crowd) deliver(name string) {
	parcels, _ := crowd.outboxes[name].Drain()
	for _, parcel := range parcels {
		if !crowd.gone[parcel.To] && crowd.random.Intn(10) > 0 {
			crowd.views[parcel.To].Shuffle(crowd.now, name, parcel.Envelope.GetShuffle())
		}
	}
}

// reached counts the processes to which a way of views leads from the first.
func (crowd *crowd) reached() int {
	seen, open := map[string]bool{"p000": true}, []string{"p000"}
	for len(open) > 0 {
		next := open[0]
		open = open[1:]
		for _, line := range crowd.views[next].Peers() {
			if !seen[line.Address] && !crowd.gone[line.Address] {
				seen[line.Address] = true
				open = append(open, line.Address)
			}
		}
	}
	return len(seen)
}

// After a while the views connect all processes, stay within their bound, hold nobody twice, and forget who is gone.
func TestViewsConnectAndForget(t *testing.T) {
	crowd := newCrowd()
	crowd.run(60)
	if count := crowd.reached(); count != 200 {
		t.Fatalf("%d of 200 are connected", count)
	}
	for number := 100; number < 200; number++ {
		crowd.gone[crowd.names[number]] = true
	}
	crowd.run(120)
	if count := crowd.reached(); count != 100 {
		t.Fatalf("%d of 100 are connected after the others went", count)
	}
	stale := 0
	for _, name := range crowd.names[:100] {
		if lines := crowd.views[name].Peers(); len(lines) > peersampling.Size {
			t.Fatalf("%s knows %d", name, len(lines))
		}
		for _, line := range crowd.views[name].Peers() {
			if crowd.gone[line.Address] {
				stale++
			}
		}
	}
	if stale > 100*peersampling.Size/10 {
		t.Fatalf("%d lines still name who is gone", stale)
	}
}
