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

func (controller *Controller) askTicks(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address == controller.settings.Address {
			continue
		}
		controller.counters.TickAsks++
		nonce := controller.ask(now)
		controller.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: &wire.DaemonLeaseRequest{
			Nonce: nonce, Quota: controller.quotaReport(now, address, nonce), Sequence: controller.sequence, Zone: controller.settings.Zone, Draining: controller.leaving, Http: controller.settings.HTTP,
			View: controller.view.Epoch, Incarnation: controller.incarnation}}})
	}
}

func (controller *Controller) ask(now time.Time) uint64 {
	controller.nonce++
	controller.asks[controller.nonce] = now
	return controller.nonce
}

func (controller *Controller) learnView(newer *wire.View) {
	if newer.GetEpoch() > controller.view.Epoch {
		// The acceptors of the former view make up no majority of this one's; what they have let this daemon do by now
		// counts to its end, which the head of the next view waits for.
		controller.tickUntil = controller.leasedUntil()
		controller.view, controller.silent, controller.confirmed = newer, false, map[string]confirmation{}
		// Its head and its acceptors are asked at once: a new head may not lead for a while yet.
		controller.lastAsk, controller.lastAskAll, controller.tickHeard = time.Time{}, time.Time{}, time.Time{}
	}
}

// Refused takes in that nobody listened at an address when it was tried.
func (controller *Controller) Refused(now time.Time, address string, _ time.Time) {
	if len(controller.view.Chain) > 0 && controller.view.Chain[0].Address == address && !controller.silent {
		// The next head is among the others, and may be there before the last tick has run out.
		controller.silent, controller.lastAsk = true, time.Time{}
		controller.tendTicks(now)
	}
}

// onTickCall answers a head that waits to hear what this daemon knows.
func (controller *Controller) onTickCall(now time.Time, from string, message *wire.DaemonLeasePrompt) {
	if message.Sequence > controller.sequence {
		controller.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentRequest{DocumentRequest: &wire.DocumentRequest{Sequence: controller.sequence}}})
		return
	}
	controller.askTicks(now, []string{from})
}

// Until tells up to when this daemon may award work; a moment in the past means that it may not.
func (controller *Controller) Until(now time.Time) time.Time {
	if !controller.ready {
		return time.Time{}
	}
	until := controller.leasedUntil()
	if now.Before(until) || !controller.alone(now) {
		return until
	}
	return earlier(now.Add(aloneStep), controller.aloneUntil())
}

// leasedUntil gives up to when this daemon holds a lease, by the head or by the acceptors.
func (controller *Controller) leasedUntil() time.Time {
	return later(controller.tickUntil, controller.confirmedUntil())
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

// confirmedUntil gives up to when a majority of the acceptors stands for the document that this daemon has.
func (controller *Controller) confirmedUntil() time.Time {
	asked := make([]time.Time, 0, len(controller.confirmed))
	for _, confirmation := range controller.confirmed {
		if confirmation.sequence <= controller.sequence {
			asked = append(asked, confirmation.asked)
		}
	}
	needed := view.Majority(len(controller.view.Acceptors))
	if len(controller.view.Acceptors) == 0 || len(asked) < needed {
		return time.Time{}
	}
	sort.Slice(asked, func(left, right int) bool { return asked[left].After(asked[right]) })
	return asked[needed-1].Add(controller.settings.Staleness)
}

// alone tells whether this daemon goes on with what it has because no core machine is to be reached: none answered
// several rounds of questions, and none has told of anything newer. A machine that has just begun can't tell whether
// there is a head, so its answer changes nothing. A daemon that was frozen has asked nobody meanwhile and so is not alone.
func (controller *Controller) alone(now time.Time) bool {
	return controller.unanswered >= aloneRounds && now.Sub(controller.lastTick) < frozenAfter && controller.sequence >= controller.newest && now.Before(controller.aloneUntil())
}

// aloneUntil gives up to when this daemon may go on without any core machine, counted from its last lease.
func (controller *Controller) aloneUntil() time.Time {
	return controller.leaseEnd.Add(controller.settings.WithoutCore)
}

// tendTicks asks the head for a lease and, where it does not answer, the acceptors and everybody who may know who is
// head now.
func (controller *Controller) tendTicks(now time.Time) {
	controller.leaseEnd = later(controller.leaseEnd, controller.leasedUntil())
	if now.Sub(controller.lastAsk) < controller.askPace(now) {
		return
	}
	controller.lastAsk = now
	for nonce, asked := range controller.asks {
		if now.Sub(asked) > controller.settings.Staleness {
			delete(controller.asks, nonce)
		}
	}
	targets := map[string]bool{}
	if len(controller.view.Chain) > 0 {
		targets[controller.view.Chain[0].Address] = true
	}
	if (controller.silent || now.Sub(controller.tickHeard) > askAllAfter) && now.Sub(controller.lastAskAll) >= controller.askAllPace(now) {
		controller.lastAskAll = now
		controller.unanswered++
		controller.addCores(targets)
	}
	controller.askTicks(now, slices.Sorted(maps.Keys(targets)))
}

// askPace is how often the head, or all who may know it, are asked.
func (controller *Controller) askPace(now time.Time) time.Duration {
	if controller.silent || !now.Before(controller.Until(now)) {
		return askAgain
	}
	if now.Sub(controller.tickHeard) > askAllAfter {
		return controller.askAllPace(now)
	}
	return askEvery
}

// askAllPace is how often every core machine is asked: less often while the acceptors' word stands for the head's.
func (controller *Controller) askAllPace(now time.Time) time.Duration {
	if now.Add(askAllAfter).Before(controller.confirmedUntil()) {
		return askEvery
	}
	return askAllEvery
}

// addCores adds every core machine that this daemon knows of: the acceptors and the chain alone while they answer.
func (controller *Controller) addCores(targets map[string]bool) {
	for _, member := range append(append([]*wire.Member{}, controller.view.Chain...), controller.view.Acceptors...) {
		targets[member.Address] = true
	}
	if controller.unanswered < aloneRounds && controller.confirmedUntil().After(controller.lastAskAll) {
		return
	}
	for _, seed := range controller.settings.Seeds {
		targets[seed] = true
	}
	for _, line := range controller.partialView.Peers() {
		if line.Core {
			targets[line.Address] = true
		}
	}
}

// onTickGrant takes in a core machine's answer: the head's lease, a acceptor's confirmation, or neither.
func (controller *Controller) onTickGrant(now time.Time, from, sender string, message *wire.DaemonLeaseGrant) {
	controller.learnView(message.View)
	controller.compareRunners(now, from, message.RunnersChecksum)
	asked, found := controller.asks[message.Nonce]
	delete(controller.asks, message.Nonce)
	if !found {
		return
	}
	controller.onQuotaGrant(now, message)
	if message.Granted || !message.Starting {
		controller.unanswered = 0
	}
	// A head of an older view may have been left behind by changes that it never heard of, and acceptors of an older
	// view make up no majority of this one's.
	if max(message.ViewEpoch, message.View.GetEpoch()) < controller.view.Epoch {
		return
	}
	if message.Granted {
		controller.tickHeard, controller.silent = now, false
	}
	if message.Sequence > controller.sequence {
		controller.newest = max(controller.newest, message.Sequence)
		controller.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentRequest{DocumentRequest: &wire.DocumentRequest{Sequence: controller.sequence}}})
		return
	}
	if message.Granted {
		controller.onLease(now, from, asked, message)
	}
	if message.Confirmed {
		controller.onConfirmation(now, from, sender, asked, message)
	}
}

// onLease takes in a lease of the head's, counted from the question.
func (controller *Controller) onLease(now time.Time, from string, asked time.Time, message *wire.DaemonLeaseGrant) {
	controller.counters.Ticks++
	controller.ready = true
	if !controller.agrees(now, from, message.RunnersChecksum, &controller.byTick) {
		return
	}
	length := controller.settings.Staleness
	if message.Milliseconds > 0 {
		length = min(length, time.Duration(message.Milliseconds)*time.Millisecond)
	}
	controller.tickUntil = later(controller.tickUntil, asked.Add(length))
}

// onConfirmation takes in a acceptor's word that it knows of nothing newer. A daemon that has begun without a head is
// ready once a majority of them has given theirs.
func (controller *Controller) onConfirmation(now time.Time, from, acceptor string, asked time.Time, message *wire.DaemonLeaseGrant) {
	if message.ViewEpoch != controller.view.Epoch || !holds(controller.view.Acceptors, acceptor) {
		return
	}
	controller.counters.Confirmations++
	if !controller.agrees(now, from, message.RunnersChecksum, &controller.byOthers) {
		return
	}
	if asked.After(controller.confirmed[acceptor].asked) {
		controller.confirmed[acceptor] = confirmation{asked: asked, sequence: message.Sequence}
	}
	if until := controller.confirmedUntil(); controller.sequence > 0 && now.Before(until) {
		controller.ready = true
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

// confirmation is a acceptor's last word: when it was asked, and up to which sequence it knew of changes.
type confirmation struct {
	asked    time.Time
	sequence uint64
}
