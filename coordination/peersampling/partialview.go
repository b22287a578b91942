// Package peersampling keeps a process's partial view of the others: a bounded set of addresses with
// ages, of which some are swapped with the oldest neighbour now and then. Whoever is gone is never
// renewed, grows oldest, is asked, does not answer and is dropped.
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
	// Exchange is how many lines one shuffle carries.
	Exchange = 5
	every    = time.Second
	// everyFull is how often a view that is full enough is shuffled.
	everyFull = 3 * time.Second
)

// PartialView is the partial view of one process.
type PartialView struct {
	self     *wire.PeerDescriptor
	seeds    []string
	outbox   *statemachine.Outbox
	random   *rand.Rand
	lines    map[string]*wire.PeerDescriptor
	asked    string
	askedAt  time.Time
	shuffled time.Time
	heard    map[string]time.Time
}

// New makes a view that knows only its seeds.
func New(self *wire.PeerDescriptor, seeds []string, outbox *statemachine.Outbox, random *rand.Rand) *PartialView {
	return &PartialView{self: self, seeds: seeds, outbox: outbox, random: random, lines: map[string]*wire.PeerDescriptor{}, heard: map[string]time.Time{}}
}

// Peers gives the present partial view, ordered by address.
func (partialView *PartialView) Peers() []*wire.PeerDescriptor {
	lines := make([]*wire.PeerDescriptor, 0, len(partialView.lines))
	for _, line := range partialView.lines {
		lines = append(lines, line)
	}
	sort.Slice(lines, func(left, right int) bool { return lines[left].Address < lines[right].Address })
	return lines
}

// Tick ages the view and begins a shuffle when it is time.
func (partialView *PartialView) Tick(now time.Time) {
	if now.Sub(partialView.shuffled) < every || len(partialView.lines) >= Size/2 && now.Sub(partialView.shuffled) < everyFull {
		return
	}
	partialView.shuffled = now
	// A neighbour that let a whole round pass without an answer makes room for others.
	if partialView.asked != "" && partialView.heard[partialView.asked].Before(partialView.askedAt) {
		delete(partialView.lines, partialView.asked)
	}
	partialView.asked = ""
	oldest := ""
	for _, line := range partialView.Peers() {
		line.Age++
		if oldest == "" || line.Age > partialView.lines[oldest].Age {
			oldest = line.Address
		}
	}
	if oldest != "" {
		partialView.asked, partialView.askedAt = oldest, now
		partialView.send(oldest, false)
	}
	// Seeds are the only way back for a process whose neighbours are all gone, so a small view keeps asking them.
	if len(partialView.lines) < 3 || partialView.random.Intn(8) == 0 {
		for _, seed := range partialView.seeds {
			if seed != partialView.self.Address && partialView.lines[seed] == nil {
				partialView.send(seed, false)
			}
		}
	}
}

func (partialView *PartialView) send(address string, answer bool) {
	lines := partialView.Peers()
	partialView.random.Shuffle(len(lines), func(left, right int) { lines[left], lines[right] = lines[right], lines[left] })
	sent := []*wire.PeerDescriptor{{Address: partialView.self.Address, Zone: partialView.self.Zone, Core: partialView.self.Core}}
	for _, line := range lines {
		if line.Address != address && len(sent) < Exchange {
			sent = append(sent, &wire.PeerDescriptor{Address: line.Address, Zone: line.Zone, Core: line.Core, Age: line.Age})
		}
	}
	partialView.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Shuffle{Shuffle: &wire.Shuffle{Peers: sent, Response: answer}}})
}

// Shuffle takes a neighbour's lines and, where it is a question, answers with some of ours.
func (partialView *PartialView) Shuffle(now time.Time, from string, message *wire.Shuffle) {
	partialView.heard[from] = now
	if !message.Response {
		partialView.send(from, true)
	}
	for _, line := range message.Peers[:min(len(message.Peers), Exchange)] {
		held := partialView.lines[line.Address]
		if line.Address != partialView.self.Address && line.Address != "" && (held == nil || line.Age < held.Age) {
			partialView.lines[line.Address] = &wire.PeerDescriptor{Address: line.Address, Zone: line.Zone, Core: line.Core, Age: line.Age}
		}
	}
	for len(partialView.lines) > Size {
		partialView.evict()
	}
	if len(partialView.heard) > 4*Size {
		partialView.heard = map[string]time.Time{from: now}
	}
}

// evict drops the oldest line, but of a zone that has more than one.
func (partialView *PartialView) evict() {
	zones := map[string]int{}
	for _, line := range partialView.lines {
		zones[line.Zone]++
	}
	victim := ""
	for _, line := range partialView.Peers() {
		if zones[line.Zone] > 1 && (victim == "" || line.Age > partialView.lines[victim].Age) {
			victim = line.Address
		}
	}
	if victim == "" {
		victim = partialView.Peers()[0].Address
	}
	delete(partialView.lines, victim)
}
