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

// Cohort is the partial view of one process.
type Cohort struct {
	self     *wire.CohortLine
	seeds    []string
	outbox   *statemachine.Outbox
	random   *rand.Rand
	lines    map[string]*wire.CohortLine
	asked    string
	askedAt  time.Time
	shuffled time.Time
	heard    map[string]time.Time
}

// New makes a view that knows only its seeds.
func New(self *wire.CohortLine, seeds []string, outbox *statemachine.Outbox, random *rand.Rand) *Cohort {
	return &Cohort{self: self, seeds: seeds, outbox: outbox, random: random, lines: map[string]*wire.CohortLine{}, heard: map[string]time.Time{}}
}

// Lines gives the present partial view, ordered by address.
func (cohort *Cohort) Lines() []*wire.CohortLine {
	lines := make([]*wire.CohortLine, 0, len(cohort.lines))
	for _, line := range cohort.lines {
		lines = append(lines, line)
	}
	sort.Slice(lines, func(left, right int) bool { return lines[left].Address < lines[right].Address })
	return lines
}

// Tick ages the view and begins a shuffle when it is time.
func (cohort *Cohort) Tick(now time.Time) {
	if now.Sub(cohort.shuffled) < every || len(cohort.lines) >= Size/2 && now.Sub(cohort.shuffled) < everyFull {
		return
	}
	cohort.shuffled = now
	// A neighbour that let a whole round pass without an answer makes room for others.
	if cohort.asked != "" && cohort.heard[cohort.asked].Before(cohort.askedAt) {
		delete(cohort.lines, cohort.asked)
	}
	cohort.asked = ""
	oldest := ""
	for _, line := range cohort.Lines() {
		line.Age++
		if oldest == "" || line.Age > cohort.lines[oldest].Age {
			oldest = line.Address
		}
	}
	if oldest != "" {
		cohort.asked, cohort.askedAt = oldest, now
		cohort.send(oldest, false)
	}
	// Seeds are the only way back for a process whose neighbours are all gone, so a small view keeps asking them.
	if len(cohort.lines) < 3 || cohort.random.Intn(8) == 0 {
		for _, seed := range cohort.seeds {
			if seed != cohort.self.Address && cohort.lines[seed] == nil {
				cohort.send(seed, false)
			}
		}
	}
}

func (cohort *Cohort) send(address string, answer bool) {
	lines := cohort.Lines()
	cohort.random.Shuffle(len(lines), func(left, right int) { lines[left], lines[right] = lines[right], lines[left] })
	sent := []*wire.CohortLine{{Address: cohort.self.Address, Zone: cohort.self.Zone, Core: cohort.self.Core}}
	for _, line := range lines {
		if line.Address != address && len(sent) < Exchange {
			sent = append(sent, &wire.CohortLine{Address: line.Address, Zone: line.Zone, Core: line.Core, Age: line.Age})
		}
	}
	cohort.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Shuffle{Shuffle: &wire.Shuffle{Lines: sent, Answer: answer}}})
}

// Shuffle takes a neighbour's lines and, where it is a question, answers with some of ours.
func (cohort *Cohort) Shuffle(now time.Time, from string, message *wire.Shuffle) {
	cohort.heard[from] = now
	if !message.Answer {
		cohort.send(from, true)
	}
	for _, line := range message.Lines[:min(len(message.Lines), Exchange)] {
		held := cohort.lines[line.Address]
		if line.Address != cohort.self.Address && line.Address != "" && (held == nil || line.Age < held.Age) {
			cohort.lines[line.Address] = &wire.CohortLine{Address: line.Address, Zone: line.Zone, Core: line.Core, Age: line.Age}
		}
	}
	for len(cohort.lines) > Size {
		cohort.evict()
	}
	if len(cohort.heard) > 4*Size {
		cohort.heard = map[string]time.Time{from: now}
	}
}

// evict drops the oldest line, but of a zone that has more than one.
func (cohort *Cohort) evict() {
	zones := map[string]int{}
	for _, line := range cohort.lines {
		zones[line.Zone]++
	}
	victim := ""
	for _, line := range cohort.Lines() {
		if zones[line.Zone] > 1 && (victim == "" || line.Age > cohort.lines[victim].Age) {
			victim = line.Address
		}
	}
	if victim == "" {
		victim = cohort.Lines()[0].Address
	}
	delete(cohort.lines, victim)
}
