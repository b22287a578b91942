package controller

import (
	"maps"
	"slices"
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// AskEvery is how often the head is asked for a tick.
const AskEvery = askEvery

func (director *Director) askTicks(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address == director.startup.Address {
			continue
		}
		director.counters.TickAsks++
		nonce := director.ask(now)
		director.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_TickAsk{TickAsk: &wire.TickAsk{
			Nonce: nonce, Quota: director.quotaReport(now, address, nonce), Sequence: director.sequence, Zone: director.startup.Zone, Leaving: director.leaving, Http: director.startup.HTTP,
			View: director.view.Epoch, Life: director.life}}})
	}
}

func (director *Director) ask(now time.Time) uint64 {
	director.nonce++
	director.asks[director.nonce] = now
	return director.nonce
}

func (director *Director) learnView(newer *wire.View) {
	if newer.GetEpoch() > director.view.Epoch {
		// The keepers of the former view make up no majority of this one's; what they have let this daemon do by now
		// counts to its end, which the head of the next view waits for.
		director.tickUntil = director.leasedUntil()
		director.view, director.silent, director.confirmed = newer, false, map[string]confirmation{}
		// Its head and its keepers are asked at once: a new head may not lead for a while yet.
		director.lastAsk, director.lastAskAll, director.tickHeard = time.Time{}, time.Time{}, time.Time{}
	}
}

// Refused takes in that nobody listened at an address when it was tried.
func (director *Director) Refused(now time.Time, address string, _ time.Time) {
	if len(director.view.Chain) > 0 && director.view.Chain[0].Address == address && !director.silent {
		// The next head is among the others, and may be there before the last tick has run out.
		director.silent, director.lastAsk = true, time.Time{}
		director.tendTicks(now)
	}
}

// onTickCall answers a head that waits to hear what this daemon knows.
func (director *Director) onTickCall(now time.Time, from string, message *wire.TickCall) {
	if message.Sequence > director.sequence {
		director.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentAsk{DocumentAsk: &wire.DocumentAsk{Sequence: director.sequence}}})
		return
	}
	director.askTicks(now, []string{from})
}

// Until tells up to when this daemon may award work; a moment in the past means that it may not.
func (director *Director) Until(now time.Time) time.Time {
	if !director.ready {
		return time.Time{}
	}
	until := director.leasedUntil()
	if now.Before(until) || !director.alone(now) {
		return until
	}
	return earlier(now.Add(aloneStep), director.aloneUntil())
}

// leasedUntil gives up to when this daemon holds a lease, by the head or by the keepers.
func (director *Director) leasedUntil() time.Time {
	return later(director.tickUntil, director.confirmedUntil())
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// confirmedUntil gives up to when a majority of the keepers stands for the document that this daemon has.
func (director *Director) confirmedUntil() time.Time {
	asked := make([]time.Time, 0, len(director.confirmed))
	for _, confirmation := range director.confirmed {
		if confirmation.sequence <= director.sequence {
			asked = append(asked, confirmation.asked)
		}
	}
	needed := view.Majority(len(director.view.Keepers))
	if len(director.view.Keepers) == 0 || len(asked) < needed {
		return time.Time{}
	}
	sort.Slice(asked, func(left, right int) bool { return asked[left].After(asked[right]) })
	return asked[needed-1].Add(director.startup.Staleness)
}

// alone tells whether this daemon goes on with what it has because no core machine is to be reached: none answered
// several rounds of questions, and none has told of anything newer. A machine that has just begun can't tell whether
// there is a head, so its answer changes nothing. A daemon that was frozen has asked nobody meanwhile and so is not alone.
func (director *Director) alone(now time.Time) bool {
	return director.unanswered >= aloneRounds && now.Sub(director.lastTick) < frozenAfter && director.sequence >= director.newest && now.Before(director.aloneUntil())
}

// aloneUntil gives up to when this daemon may go on without any core machine, counted from its last lease.
func (director *Director) aloneUntil() time.Time {
	return director.leaseEnd.Add(director.startup.WithoutCore)
}

// tendTicks asks the head for a lease and, where it does not answer, the keepers and everybody who may know who is
// head now.
func (director *Director) tendTicks(now time.Time) {
	director.leaseEnd = later(director.leaseEnd, director.leasedUntil())
	if now.Sub(director.lastAsk) < director.askPace(now) {
		return
	}
	director.lastAsk = now
	for nonce, asked := range director.asks {
		if now.Sub(asked) > director.startup.Staleness {
			delete(director.asks, nonce)
		}
	}
	targets := map[string]bool{}
	if len(director.view.Chain) > 0 {
		targets[director.view.Chain[0].Address] = true
	}
	if (director.silent || now.Sub(director.tickHeard) > askAllAfter) && now.Sub(director.lastAskAll) >= director.askAllPace(now) {
		director.lastAskAll = now
		director.unanswered++
		director.addCores(targets)
	}
	director.askTicks(now, slices.Sorted(maps.Keys(targets)))
}

// askPace is how often the head, or all who may know it, are asked.
func (director *Director) askPace(now time.Time) time.Duration {
	if director.silent || !now.Before(director.Until(now)) {
		return askAgain
	}
	if now.Sub(director.tickHeard) > askAllAfter {
		return director.askAllPace(now)
	}
	return askEvery
}

// askAllPace is how often every core machine is asked: less often while the keepers' word stands for the head's.
func (director *Director) askAllPace(now time.Time) time.Duration {
	if now.Add(askAllAfter).Before(director.confirmedUntil()) {
		return askEvery
	}
	return askAllEvery
}

// addCores adds every core machine that this daemon knows of: the keepers and the chain alone while they answer.
func (director *Director) addCores(targets map[string]bool) {
	for _, member := range append(append([]*wire.Member{}, director.view.Chain...), director.view.Keepers...) {
		targets[member.Address] = true
	}
	if director.unanswered < aloneRounds && director.confirmedUntil().After(director.lastAskAll) {
		return
	}
	for _, seed := range director.startup.Seeds {
		targets[seed] = true
	}
	for _, line := range director.cohort.Lines() {
		if line.Core {
			targets[line.Address] = true
		}
	}
}

// onTickGrant takes in a core machine's answer: the head's lease, a keeper's confirmation, or neither.
func (director *Director) onTickGrant(now time.Time, from, sender string, message *wire.TickGrant) {
	director.learnView(message.View)
	director.compareRunners(now, from, message.Runners)
	asked, found := director.asks[message.Nonce]
	delete(director.asks, message.Nonce)
	if !found {
		return
	}
	director.onQuotaGrant(now, message)
	if message.Granted || !message.Starting {
		director.unanswered = 0
	}
	// A head of an older view may have been left behind by changes that it never heard of, and keepers of an older
	// view make up no majority of this one's.
	if max(message.ViewEpoch, message.View.GetEpoch()) < director.view.Epoch {
		return
	}
	if message.Granted {
		director.tickHeard, director.silent = now, false
	}
	if message.Sequence > director.sequence {
		director.newest = max(director.newest, message.Sequence)
		director.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentAsk{DocumentAsk: &wire.DocumentAsk{Sequence: director.sequence}}})
		return
	}
	if message.Granted {
		director.onLease(now, from, asked, message)
	}
	if message.Confirmed {
		director.onConfirmation(now, from, sender, asked, message)
	}
}

// onLease takes in a lease of the head's, counted from the question.
func (director *Director) onLease(now time.Time, from string, asked time.Time, message *wire.TickGrant) {
	director.counters.Ticks++
	director.ready = true
	if !director.agrees(now, from, message.Runners, &director.byTick) {
		return
	}
	length := director.startup.Staleness
	if message.Milliseconds > 0 {
		length = min(length, time.Duration(message.Milliseconds)*time.Millisecond)
	}
	director.tickUntil = later(director.tickUntil, asked.Add(length))
}

// onConfirmation takes in a keeper's word that it knows of nothing newer. A daemon that has begun without a head is
// ready once a majority of them has given theirs.
func (director *Director) onConfirmation(now time.Time, from, keeper string, asked time.Time, message *wire.TickGrant) {
	if message.ViewEpoch != director.view.Epoch || !holds(director.view.Keepers, keeper) {
		return
	}
	director.counters.Confirmations++
	if !director.agrees(now, from, message.Runners, &director.byOthers) {
		return
	}
	if asked.After(director.confirmed[keeper].asked) {
		director.confirmed[keeper] = confirmation{asked: asked, sequence: message.Sequence}
	}
	if until := director.confirmedUntil(); director.sequence > 0 && now.Before(until) {
		director.ready = true
	}
}

func holds(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}

// confirmation is a keeper's last word: when it was asked, and up to which sequence it knew of changes.
type confirmation struct {
	asked    time.Time
	sequence uint64
}
