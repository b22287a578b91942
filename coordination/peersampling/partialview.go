// Package peersampling maintains a process's partial view of the others: a bounded set of descriptors (address, zone,
// age), some of which are periodically exchanged with the oldest neighbour (a shuffle, as in Cyclon). The descriptor of
// a process that has stopped is never renewed: it becomes the oldest, its process doesn't respond to a shuffle, and it
// is dropped.
//
// # Contract
//
// A PartialView is one process's instance, a pure state machine. Its caller calls Tick often, passes it received
// shuffles by HandleShuffle, and after each call drains the outbox (see package statemachine). Messages may be lost,
// repeated and reordered. As long as every process reaches a seed or some neighbour, the views connect all live
// processes and drop stopped ones within some rounds. A view has at most Size descriptors: at most one of each process,
// and none of its own process. A PartialView is not safe for concurrent use.
package peersampling

import (
	"math/rand"
	"sort"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// Size bounds the partial view.
	Size = 12
	// ShuffleSize is the number of descriptors in one shuffle, including the sender's own.
	ShuffleSize = 5
	// shuffleInterval is the interval between shuffles of a view that is less than half full, and
	// filledShuffleInterval of one that is at least half full.
	shuffleInterval       = time.Second
	filledShuffleInterval = 3 * time.Second
	// A view with fewer than smallSize descriptors contacts the seeds in every round: they are the only way to rejoin
	// for a process whose neighbours have all stopped.
	smallSize = 3
	// A larger view contacts the seeds in one of seedContactOneIn rounds, on average.
	seedContactOneIn = 8
	// maximumSenders bounds the processes in lastSeen.
	maximumSenders = 4 * Size
)

// PartialView is the partial view of one process.
type PartialView struct {
	self        *wire.PeerDescriptor
	seeds       []string
	outbox      *statemachine.Outbox
	random      *rand.Rand
	descriptors map[string]*wire.PeerDescriptor
	lastShuffle time.Time
	// contacted is the address of the neighbour that was contacted in the last round, at contactedAt; "" if none was.
	contacted   string
	contactedAt time.Time
	// lastSeen holds, by address, the time of each process's last shuffle.
	lastSeen map[string]time.Time
}

// New returns the view of a process that knows only its seeds.
func New(self *wire.PeerDescriptor, seeds []string, outbox *statemachine.Outbox, random *rand.Rand) *PartialView {
	return &PartialView{
		self: self, seeds: seeds, outbox: outbox, random: random,
		descriptors: map[string]*wire.PeerDescriptor{}, lastSeen: map[string]time.Time{},
	}
}

// Peers returns the descriptors of the current partial view, ordered by address.
func (view *PartialView) Peers() []*wire.PeerDescriptor {
	peers := make([]*wire.PeerDescriptor, 0, len(view.descriptors))
	for _, descriptor := range view.descriptors {
		peers = append(peers, descriptor)
	}
	sort.Slice(peers, func(left, right int) bool { return peers[left].Address < peers[right].Address })
	return peers
}

// Tick ages the view and starts a shuffle if the interval has passed since the last one.
func (view *PartialView) Tick(now time.Time) {
	if !view.shuffleDue(now) {
		return
	}
	view.lastShuffle = now
	view.dropUnresponsive()
	if oldest := view.age(); oldest != "" {
		view.contacted, view.contactedAt = oldest, now
		view.send(oldest, false)
	}
	if len(view.descriptors) < smallSize || view.random.Intn(seedContactOneIn) == 0 {
		view.contactSeeds()
	}
}

func (view *PartialView) shuffleDue(now time.Time) bool {
	interval := shuffleInterval
	if len(view.descriptors) >= Size/2 {
		interval = filledShuffleInterval
	}
	return now.Sub(view.lastShuffle) >= interval
}

// dropUnresponsive drops the neighbour that was contacted in the last round if it has sent no shuffle since.
func (view *PartialView) dropUnresponsive() {
	if view.contacted != "" && view.lastSeen[view.contacted].Before(view.contactedAt) {
		delete(view.descriptors, view.contacted)
	}
	view.contacted = ""
}

// age makes every descriptor one round older and returns the address of the oldest, or "" if the view is empty.
func (view *PartialView) age() (oldest string) {
	for _, peer := range view.Peers() {
		peer.Age++
		if oldest == "" || peer.Age > view.descriptors[oldest].Age {
			oldest = peer.Address
		}
	}
	return oldest
}

func (view *PartialView) contactSeeds() {
	for _, seed := range view.seeds {
		if seed != view.self.Address && view.descriptors[seed] == nil {
			view.send(seed, false)
		}
	}
}

// send sends our own descriptor and others chosen at random, up to ShuffleSize in all.
func (view *PartialView) send(address string, response bool) {
	peers := view.Peers()
	view.random.Shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	sent := []*wire.PeerDescriptor{copyWithAge(view.self, 0)}
	for _, peer := range peers {
		if peer.Address != address && len(sent) < ShuffleSize {
			sent = append(sent, copyWithAge(peer, peer.Age))
		}
	}
	message := &wire.Shuffle{Peers: sent, Response: response}
	view.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Shuffle{Shuffle: message}})
}

func copyWithAge(peer *wire.PeerDescriptor, age uint32) *wire.PeerDescriptor {
	return &wire.PeerDescriptor{Address: peer.Address, Zone: peer.Zone, Core: peer.Core, Age: age}
}

// HandleShuffle adds the descriptors of a shuffle to the view and, if the shuffle is a request, responds with some of
// ours.
func (view *PartialView) HandleShuffle(now time.Time, from string, message *wire.Shuffle) {
	view.lastSeen[from] = now
	if !message.Response {
		view.send(from, true)
	}
	for _, received := range message.Peers[:min(len(message.Peers), ShuffleSize)] {
		view.add(received)
	}
	for len(view.descriptors) > Size {
		view.evict()
	}
	if len(view.lastSeen) > maximumSenders {
		view.lastSeen = map[string]time.Time{from: now}
	}
}

// add adds a descriptor, unless it is our own or the view has a descriptor of the same process that is no older.
func (view *PartialView) add(received *wire.PeerDescriptor) {
	if received.Address == view.self.Address || received.Address == "" {
		return
	}
	if present := view.descriptors[received.Address]; present == nil || received.Age < present.Age {
		view.descriptors[received.Address] = copyWithAge(received, received.Age)
	}
}

// evict drops the oldest descriptor of those whose zone has more than one. If each zone has only one, it drops the
// first by address.
func (view *PartialView) evict() {
	peersOfZone := map[string]int{}
	for _, descriptor := range view.descriptors {
		peersOfZone[descriptor.Zone]++
	}
	victim := ""
	for _, peer := range view.Peers() {
		if peersOfZone[peer.Zone] > 1 && (victim == "" || peer.Age > view.descriptors[victim].Age) {
			victim = peer.Address
		}
	}
	if victim == "" {
		victim = view.Peers()[0].Address
	}
	delete(view.descriptors, victim)
}
