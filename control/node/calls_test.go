package node

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/proposal"
	"wardtray/coordination/chain"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// A caller that hears nothing sends the same order through another machine, while others change what it was built
// on, heads die, and messages are lost. Of all copies of an order either none is refused, or the order is never in
// effect; and of orders built on one epoch one at most is confirmed.
func TestOneNumberOneChange(t *testing.T) {
	t.Parallel()
	seeds := int64(40)
	if testing.Short() {
		seeds = 8
	}
	confirmed, refused, retried := 0, 0, 0
	for seed := int64(1); seed <= seeds; seed++ {
		fleet := newTestFleet(t, seed)
		loss := fleet.random.Float64() * 0.2
		fleet.lost = func(statemachine.Message) bool { return fleet.random.Float64() < loss }
		trial := &callTrial{testFleet: fleet}
		for round := range 12 {
			trial.round(round)
		}
		for _, call := range trial.calls {
			accepted, turnedAway := call.answers()
			confirmed += min(1, accepted)
			refused += min(1, turnedAway)
			retried += accepted - min(1, accepted)
		}
	}
	t.Logf("%d orders confirmed, %d refused, %d confirmed again", confirmed, refused, retried)
	if confirmed < 20 || refused < 20 || retried < 20 {
		t.Error("too little was put to the test")
	}
}

// callTrial plays callers that send their orders again while heads die.
type callTrial struct {
	*testFleet
	calls []*retriedCall
	// epoch is the one that orders are built on, dead the machine that is down.
	epoch uint64
	dead  *testMember
}

// round sends two to four orders that are built on the same epoch and name the same next one.
func (trial *callTrial) round(round int) {
	for number := range 2 + trial.random.Intn(3) {
		name := fmt.Sprintf("o%d.%d", round, number)
		trial.calls = append(trial.calls, &retriedCall{order: apply(name, trial.epoch, trial.epoch+1, "lane"+name)})
	}
	for range 400 {
		trial.injectFaults()
		// Orders of earlier rounds come again too, though their callers have their answers.
		if trial.random.Intn(8) == 0 {
			call := trial.calls[max(0, len(trial.calls)-1-trial.random.Intn(8))]
			call.copies = append(call.copies, trial.send(trial.members[trial.random.Intn(3)], call.order))
		}
		trial.step()
		trial.wantOneOutcome(trial.calls)
	}
	trial.restart()
	trial.until("a leader", 20*time.Second, func() bool { return trial.leader() != nil })
	trial.epoch = trial.leader().node.Chain().Committed().SpecEpoch
}

// injectFaults kills the leader now and then, and starts it again later.
func (trial *callTrial) injectFaults() {
	if trial.random.Intn(150) == 0 && trial.dead == nil {
		if trial.dead = trial.leader(); trial.dead != nil {
			trial.kill(trial.dead)
		}
	}
	if trial.dead != nil && trial.random.Intn(100) == 0 {
		trial.restart()
	}
}

// restart starts the machine that is down, if one is.
func (trial *callTrial) restart() {
	if trial.dead != nil {
		trial.start(trial.dead)
		trial.dead = nil
	}
}

// retriedCall is an order with the answers to its copies.
type retriedCall struct {
	order  *wire.OperatorRequest
	copies []*given
}

func (call *retriedCall) answers() (accepted, refused int) {
	for _, answer := range call.copies {
		switch {
		case answer.status == 200:
			accepted++
		case answer.status >= 400 && answer.status < 500:
			refused++
		}
	}
	return accepted, refused
}

// wantOneOutcome wants no order both confirmed or in effect and refused, and none confirmed beside another on its base.
func (fleet *testFleet) wantOneOutcome(calls []*retriedCall) {
	byBase := map[uint64]string{}
	for _, call := range calls {
		accepted, refused := call.answers()
		inEffect := false
		for _, member := range fleet.members {
			if member.up() {
				outcome := member.node.Chain().Outcome(call.order.Operation)
				inEffect = inEffect || outcome != nil && outcome.Sequence <= member.node.Chain().Committed().Sequence
			}
		}
		if refused > 0 && (accepted > 0 || inEffect) {
			fleet.describe()
			fleet.t.Fatalf("%s: of %d copies %d were confirmed and %d refused, in effect %v", call.order.Operation,
				len(call.copies), accepted, refused, inEffect)
		}
		if accepted == 0 {
			continue
		}
		if other := byBase[call.order.Base]; other != "" {
			fleet.t.Fatalf("%s and %s were both confirmed on epoch %d", other, call.order.Operation, call.order.Base)
		}
		byBase[call.order.Base] = call.order.Operation
	}
}

// An order that was acknowledged is acknowledged again after every machine of the core was replaced by another, with
// an empty disk at another address, and after other changes.
func TestOutcomesOutliveTheWholeCore(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 7)
	first := apply("first", 0, 7, "a")
	fleet.wantAccepted(fleet.members[0], first, 7)
	for number := range 3 {
		fresh := fleet.add(fmt.Sprintf("127.0.1.%d:1", number), 10+number, false)
		fleet.until(
			"the new machine to be in the chain",
			10*time.Second,
			func() bool { return fresh.node.Chain().IsMember() },
		)
		old := fleet.members[0]
		old.node.Decommission(fleet.now)
		fleet.until(
			"the old machine to be out of the chain",
			10*time.Second,
			func() bool { return old.node.IsDecommissioned(fleet.now) },
		)
		fleet.kill(old)
		fleet.members = fleet.members[1:]
		fleet.seeds = append(fleet.seeds[1:], fresh.address)
		fleet.until("a leader", 10*time.Second,
			func() bool { return fleet.leader() != nil && len(fleet.leader().node.View().Chain) == 3 })
		fleet.run(4 * time.Second)
		fleet.wantAccepted(fleet.members[number%3],
			apply(fmt.Sprint("then", number), 7+uint64(number), 8+uint64(number), "b"), 8+uint64(number))
	}
	for _, member := range fleet.members {
		fleet.wantAccepted(member, first, 7)
	}
}

// wantAccepted sends an order until it is acknowledged; no copy may be refused.
func (fleet *testFleet) wantAccepted(member *testMember, order *wire.OperatorRequest, epoch uint64) {
	fleet.t.Helper()
	answer := fleet.send(member, order)
	fleet.until("an acknowledgement", 20*time.Second, func() bool {
		if answer.status >= 500 {
			answer = fleet.send(member, order)
		}
		return answer.status != 0 && answer.status < 500
	})
	if answer.status != 200 || answer.reply.Epoch != epoch {
		fleet.t.Fatalf("%s: %d %+v", order.Operation, answer.status, answer.reply)
	}
}

// A copy that comes in elsewhere while the first is on its way is acknowledged with the first one's outcome, also
// where only a later head commits it.
func TestCopyMeetsTheFirstOnItsWay(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 8)
	head := fleet.leader()
	others := []*testMember{}
	for _, member := range fleet.members {
		if member != head {
			others = append(others, member)
		}
	}
	// The last of the chain is silent to those before it, so that nothing is committed.
	tail := fleet.at(head.node.View().Chain[2].Address)
	fleet.lost = func(message statemachine.Message) bool {
		return message.Envelope.GetChainAck() != nil && message.Envelope.From == tail.address
	}
	order := apply("first", 0, 5, "a")
	first := fleet.send(others[0], order)
	fleet.run(300 * time.Millisecond)
	second := fleet.send(others[1], order)
	fleet.run(300 * time.Millisecond)
	if head.node.Chain().Committed().SpecEpoch != 0 || len(head.node.Chain().Pending()) != 1 || first.status != 0 ||
		second.status != 0 {
		t.Fatalf("committed %d, pending %d, told %d and %d", head.node.Chain().Committed().SpecEpoch,
			len(head.node.Chain().Pending()), first.status, second.status)
	}
	fleet.kill(head)
	fleet.lost = nil
	third := fleet.send(others[0], order)
	fleet.until("the acknowledgement by a later head", 10*time.Second, func() bool { return third.status == 200 })
	fleet.wantAccepted(others[1], order, 5)
	fleet.wantAccepted(others[0], apply("on top", 5, 6, "b"), 6)
	fleet.wantAccepted(others[1], order, 5)
	for name, copy := range map[string]*given{"first": first, "second": second} {
		if copy.status != 0 && copy.status != 200 && copy.status < 500 {
			t.Errorf("the %s copy: %d %+v", name, copy.status, copy.reply)
		}
	}
}

// What is forgotten is refused, and never taken a second time: its base is gone for good.
func TestForgottenIsNotTakenTwice(t *testing.T) {
	t.Parallel()
	lone := newLone()
	first := apply("first", 0, 1, "a")
	if got := lone.send(first); got.status != 200 {
		t.Fatalf("%d %+v", got.status, got.reply)
	}
	for number := range uint64(chain.MaximumOutcomes + 3) {
		if got := lone.send(apply(fmt.Sprint("o", number), number+1, number+2, "b")); got.status != 200 {
			t.Fatalf("%d: %d %+v", number, got.status, got.reply)
		}
		// The claim has to be renewed now and then.
		if number%4 == 0 {
			lone.run(50 * time.Millisecond)
		}
	}
	document := lone.node.Chain().Committed()
	if len(document.Outcomes) != chain.MaximumOutcomes || lone.node.Chain().Outcome("first") != nil {
		t.Fatalf("%d outcomes are remembered", len(document.Outcomes))
	}
	if got := lone.send(apply("o3", 4, 5, "b")); got.status != 200 || got.reply.Epoch != 5 {
		t.Errorf("one that is remembered: %d %+v", got.status, got.reply)
	}
	if got := lone.send(first); got.status != 409 || lone.node.Chain().Latest() != document {
		t.Errorf("the forgotten one: %d %+v", got.status, got.reply)
	}
}

// A late copy of an order that was refused is never taken, however many were refused meanwhile, also where what made
// it wrong is mended by then. The order names no base, so that nothing else holds it back.
func TestLateCopyOfARefusedOrder(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 1, "a"))
	refused := &wire.OperatorRequest{
		Verb:      "change",
		Operation: "refused",
		Spec:      []byte(`{"upsert":{"lanes":[{"name":"b","pool":"q","patience":"1s"}]}}`),
	}
	if got := lone.send(refused); got.status != 422 {
		t.Fatalf("%d %+v", got.status, got.reply)
	}
	late := &wire.OperatorRequest{}
	*late = wire.OperatorRequest{
		Verb:      refused.Verb,
		Operation: refused.Operation,
		Spec:      refused.Spec,
		Token:     refused.Token,
		Origin:    refused.Origin,
	}
	for number := range 3 * proposal.RefusalWindow {
		if got := lone.send(apply(fmt.Sprint("stale", number), 0, 9, "c")); got.status != 409 {
			t.Fatalf("%d %+v", got.status, got.reply)
		}
		if number%4 == 0 {
			lone.run(50 * time.Millisecond)
		}
		if number == proposal.RefusalWindow/2 {
			if got := lone.send(change("mended", 1, 2, `{"upsert":{"pools":[{"name":"q","services":["t"]}]}}`)); got.status != 200 {
				t.Fatalf("%d %+v", got.status, got.reply)
			}
		}
		if number%100 != 0 {
			continue
		}
		lone.node.proposals.Serve(lone.now, late)
		lone.settle()
		if lone.node.Chain().Outcome("refused") != nil {
			t.Fatalf("taken late, after %d other refusals", number)
		}
	}
	// The same order as a question of its own is another matter.
	again := &wire.OperatorRequest{Verb: refused.Verb, Operation: "again", Spec: refused.Spec}
	if got := lone.send(again); got.status != 200 {
		t.Fatalf("%d %+v", got.status, got.reply)
	}
}

// A head that has restarted has forgotten what it refused. A copy that was sent to its earlier incarnation is not
// accepted by the present one.
func TestLateCopyAfterTheHeadHasRestarted(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	head := fleet.leader()
	origin := fleet.members[0]
	if origin == head {
		origin = fleet.members[1]
	}
	answered := func(answer *given) func() bool { return func() bool { return answer.status != 0 } }
	first := fleet.send(origin, apply("first", 0, 1, "a"))
	fleet.until("an answer", 5*time.Second, answered(first))
	refused := &wire.OperatorRequest{
		Verb:      "change",
		Operation: "refused",
		Spec:      []byte(`{"upsert":{"lanes":[{"name":"b","pool":"q","patience":"1s"}]}}`),
	}
	var late *wire.Envelope
	fleet.lost = func(message statemachine.Message) bool {
		if request := message.Envelope.GetOperatorRequest(); request != nil && request.Operation == "refused" {
			late = proto.CloneOf(message.Envelope)
		}
		return false
	}
	refusal := fleet.send(origin, refused)
	fleet.until("a refusal", 5*time.Second, answered(refusal))
	if refusal.status != 422 || late == nil {
		t.Fatalf("%d %+v", refusal.status, refusal.reply)
	}
	fleet.kill(head)
	fleet.start(head)
	fleet.until("the head again", 10*time.Second, func() bool { return fleet.leader() == head })
	mended := fleet.send(origin, change("mended", 1, 2, `{"upsert":{"pools":[{"name":"q","services":["t"]}]}}`))
	fleet.until("an answer", 5*time.Second, answered(mended))
	if mended.status != 200 {
		t.Fatalf("%d %+v", mended.status, mended.reply)
	}
	head.node.Receive(fleet.now, late)
	fleet.run(time.Second)
	if head.node.Chain().Outcome("refused") != nil {
		t.Error("a copy of a refused request took effect")
	}
}

// A refusal whose answer was lost is told again.
func TestRefusalIsToldAgain(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 1, "a"))
	stale := apply("stale", 0, 2, "b")
	if got := lone.send(stale); got.status != 409 {
		t.Fatalf("%d %+v", got.status, got.reply)
	}
	lone.node.Ready()
	// The copy comes from another machine, so that the reply goes through the outbox.
	stale.Origin = "elsewhere"
	lone.node.proposals.Serve(lone.now, stale)
	again := uint32(0)
	messages, _ := lone.node.Ready()
	for _, message := range messages {
		if response := message.Envelope.GetOperatorResponse(); message.To == "elsewhere" &&
			response.GetToken() == stale.Token {
			again = response.Status
		}
	}
	if again != 409 || lone.node.Counters().Refused != 1 {
		t.Fatalf("told %d, counted %d", again, lone.node.Counters().Refused)
	}
}
