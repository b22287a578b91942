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

// Guards against a change request that is both refused and in effect, and against two confirmed changes of the same
// base epoch. Operators retry requests through other machines while concurrent writers change the base, heads are
// killed and messages are lost.
func TestOneNumberOneChange(t *testing.T) {
	t.Parallel()
	seeds := int64(40)
	if testing.Short() {
		seeds = 8
	}
	confirmed, refused, reconfirmed := 0, 0, 0
	for seed := int64(1); seed <= seeds; seed++ {
		fleet := newTestFleet(t, seed)
		loss := fleet.random.Float64() * 0.2
		fleet.isLost = func(statemachine.Message) bool { return fleet.random.Float64() < loss }
		scenario := &retryScenario{testFleet: fleet}
		for round := range 12 {
			scenario.round(round)
		}
		for _, retried := range scenario.requests {
			accepted, rejected := retried.answers()
			confirmed += min(1, accepted)
			refused += min(1, rejected)
			reconfirmed += accepted - min(1, accepted)
		}
	}
	t.Logf("%d requests confirmed, %d refused, %d confirmed again", confirmed, refused, reconfirmed)
	if confirmed < 20 || refused < 20 || reconfirmed < 20 {
		t.Error("too few requests were confirmed, refused or confirmed again for the test to be significant")
	}
}

// retryScenario runs operators that retry their requests while heads are killed.
type retryScenario struct {
	*testFleet
	requests []*retriedRequest
	// epoch is the base of the requests of the current round, and down the machine that is down; nil if none is.
	epoch uint64
	down  *testMember
}

// round sends two to four requests that have the same base epoch and name the same next one.
func (scenario *retryScenario) round(round int) {
	for number := range 2 + scenario.random.Intn(3) {
		name := fmt.Sprintf("o%d.%d", round, number)
		scenario.requests = append(scenario.requests,
			&retriedRequest{request: apply(name, scenario.epoch, scenario.epoch+1, "lane"+name)})
	}
	for range 400 {
		scenario.injectFaults()
		// Requests of earlier rounds are retried too, although their operators have received the answers.
		if scenario.random.Intn(8) == 0 {
			retried := scenario.requests[max(0, len(scenario.requests)-1-scenario.random.Intn(8))]
			retried.copies = append(retried.copies, scenario.send(scenario.members[scenario.random.Intn(3)], retried.request))
		}
		scenario.step()
		scenario.wantOneOutcome(scenario.requests)
	}
	scenario.restart()
	scenario.until("a leader", 20*time.Second, func() bool { return scenario.leader() != nil })
	scenario.epoch = scenario.leader().node.Chain().Committed().SpecEpoch
}

// injectFaults kills the leader at random times, and restarts it later.
func (scenario *retryScenario) injectFaults() {
	if scenario.random.Intn(150) == 0 && scenario.down == nil {
		if scenario.down = scenario.leader(); scenario.down != nil {
			scenario.kill(scenario.down)
		}
	}
	if scenario.down != nil && scenario.random.Intn(100) == 0 {
		scenario.restart()
	}
}

// restart starts the machine that is down, if there is one.
func (scenario *retryScenario) restart() {
	if scenario.down != nil {
		scenario.start(scenario.down)
		scenario.down = nil
	}
}

// retriedRequest is a change request with the answers to its copies.
type retriedRequest struct {
	request *wire.OperatorRequest
	copies  []*response
}

func (retried *retriedRequest) answers() (accepted, refused int) {
	for _, answer := range retried.copies {
		switch {
		case answer.status == 200:
			accepted++
		case answer.status >= 400 && answer.status < 500:
			refused++
		}
	}
	return accepted, refused
}

// wantOneOutcome checks that no refused request is confirmed or in effect, and that at most one request is confirmed
// for each base epoch.
func (fleet *testFleet) wantOneOutcome(requests []*retriedRequest) {
	byBase := map[uint64]string{}
	for _, retried := range requests {
		accepted, refused := retried.answers()
		inEffect := false
		for _, member := range fleet.members {
			if member.up() {
				outcome := member.node.Chain().Outcome(retried.request.Operation)
				inEffect = inEffect || outcome != nil && outcome.Sequence <= member.node.Chain().Committed().Sequence
			}
		}
		if refused > 0 && (accepted > 0 || inEffect) {
			fleet.describe()
			fleet.t.Fatalf("%s: of %d copies %d were confirmed and %d refused, in effect %v", retried.request.Operation,
				len(retried.copies), accepted, refused, inEffect)
		}
		if accepted == 0 {
			continue
		}
		if other := byBase[retried.request.Base]; other != "" {
			fleet.t.Fatalf("%s and %s were both confirmed on epoch %d", other, retried.request.Operation, retried.request.Base)
		}
		byBase[retried.request.Base] = retried.request.Operation
	}
}

// Guards against outcomes that are lost when every control machine is replaced, one by one, by a machine with an empty
// disk at another address: a retry of an acknowledged change must be acknowledged again, also after other changes.
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

// wantAccepted sends a request until it is acknowledged; no copy may be refused.
func (fleet *testFleet) wantAccepted(member *testMember, request *wire.OperatorRequest, epoch uint64) {
	fleet.t.Helper()
	answer := fleet.send(member, request)
	fleet.until("an acknowledgement", 20*time.Second, func() bool {
		if answer.status >= 500 {
			answer = fleet.send(member, request)
		}
		return answer.status != 0 && answer.status < 500
	})
	if answer.status != 200 || answer.reply.Epoch != epoch {
		fleet.t.Fatalf("%s: status %d, reply %+v", request.Operation, answer.status, answer.reply)
	}
}

// Guards against two outcomes of one request: a copy that another machine receives while the first is pending must be
// acknowledged with the first one's outcome, also if only a later head commits it.
func TestCopyOfAPendingRequest(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 8)
	head := fleet.leader()
	others := []*testMember{}
	for _, member := range fleet.members {
		if member != head {
			others = append(others, member)
		}
	}
	// The tail's acknowledgements are lost, so that nothing is committed.
	tail := fleet.at(head.node.View().Chain[2].Address)
	fleet.isLost = func(message statemachine.Message) bool {
		return message.Envelope.GetChainAck() != nil && message.Envelope.From == tail.address
	}
	request := apply("first", 0, 5, "a")
	first := fleet.send(others[0], request)
	fleet.run(300 * time.Millisecond)
	second := fleet.send(others[1], request)
	fleet.run(300 * time.Millisecond)
	if head.node.Chain().Committed().SpecEpoch != 0 || len(head.node.Chain().Pending()) != 1 || first.status != 0 ||
		second.status != 0 {
		t.Fatalf("committed %d, pending %d, answered with status %d and %d", head.node.Chain().Committed().SpecEpoch,
			len(head.node.Chain().Pending()), first.status, second.status)
	}
	fleet.kill(head)
	fleet.isLost = nil
	third := fleet.send(others[0], request)
	fleet.until("the acknowledgement by a later head", 10*time.Second, func() bool { return third.status == 200 })
	fleet.wantAccepted(others[1], request, 5)
	fleet.wantAccepted(others[0], apply("on top", 5, 6, "b"), 6)
	fleet.wantAccepted(others[1], request, 5)
	for name, copy := range map[string]*response{"first": first, "second": second} {
		if copy.status != 0 && copy.status != 200 && copy.status < 500 {
			t.Errorf("the %s copy: status %d, reply %+v", name, copy.status, copy.reply)
		}
	}
}

// Guards against a change that is accepted twice: after its outcome was discarded, a copy must be refused, since its
// base epoch is older than the current one.
func TestChangeWithDiscardedOutcomeIsNotAcceptedAgain(t *testing.T) {
	t.Parallel()
	lone := newLone()
	first := apply("first", 0, 1, "a")
	if got := lone.send(first); got.status != 200 {
		t.Fatalf("status %d, reply %+v", got.status, got.reply)
	}
	for number := range uint64(chain.MaximumOutcomes + 3) {
		if got := lone.send(apply(fmt.Sprint("o", number), number+1, number+2, "b")); got.status != 200 {
			t.Fatalf("request %d: status %d, reply %+v", number, got.status, got.reply)
		}
		// The lease has to be renewed from time to time.
		if number%4 == 0 {
			lone.run(50 * time.Millisecond)
		}
	}
	document := lone.node.Chain().Committed()
	if len(document.Outcomes) != chain.MaximumOutcomes || lone.node.Chain().Outcome("first") != nil {
		t.Fatalf("%d outcomes are retained, or the first one still is", len(document.Outcomes))
	}
	if got := lone.send(apply("o3", 4, 5, "b")); got.status != 200 || got.reply.Epoch != 5 {
		t.Errorf("a copy of a request with a retained outcome: status %d, reply %+v", got.status, got.reply)
	}
	if got := lone.send(first); got.status != 409 || lone.node.Chain().Latest() != document {
		t.Errorf("a copy of a request with a discarded outcome: status %d, reply %+v", got.status, got.reply)
	}
}

// Guards against a late copy of a refused request that is accepted, also after many other refusals and once the reason
// of the refusal no longer exists. The request names no base epoch, so that no other check refuses it.
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
		t.Fatalf("status %d, reply %+v", got.status, got.reply)
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
			t.Fatalf("status %d, reply %+v", got.status, got.reply)
		}
		if number%4 == 0 {
			lone.run(50 * time.Millisecond)
		}
		if number == proposal.RefusalWindow/2 {
			if got := lone.send(change("mended", 1, 2, `{"upsert":{"pools":[{"name":"q","services":["t"]}]}}`)); got.status != 200 {
				t.Fatalf("status %d, reply %+v", got.status, got.reply)
			}
		}
		if number%100 != 0 {
			continue
		}
		lone.node.proposals.Serve(lone.now, late)
		lone.settle()
		if lone.node.Chain().Outcome("refused") != nil {
			t.Fatalf("the late copy was accepted, after %d other refusals", number)
		}
	}
	// The same change under another operation id is a new request.
	again := &wire.OperatorRequest{Verb: refused.Verb, Operation: "again", Spec: refused.Spec}
	if got := lone.send(again); got.status != 200 {
		t.Fatalf("status %d, reply %+v", got.status, got.reply)
	}
}

// Guards against a late copy of a refused request that a restarted head accepts: the head has lost its record of
// refusals, so it must ignore copies that were sent to its earlier incarnation.
func TestLateCopyAfterTheHeadHasRestarted(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	head := fleet.leader()
	origin := fleet.members[0]
	if origin == head {
		origin = fleet.members[1]
	}
	answered := func(answer *response) func() bool { return func() bool { return answer.status != 0 } }
	first := fleet.send(origin, apply("first", 0, 1, "a"))
	fleet.until("an answer", 5*time.Second, answered(first))
	refused := &wire.OperatorRequest{
		Verb:      "change",
		Operation: "refused",
		Spec:      []byte(`{"upsert":{"lanes":[{"name":"b","pool":"q","patience":"1s"}]}}`),
	}
	var late *wire.Envelope
	fleet.isLost = func(message statemachine.Message) bool {
		if request := message.Envelope.GetOperatorRequest(); request != nil && request.Operation == "refused" {
			late = proto.CloneOf(message.Envelope)
		}
		return false
	}
	refusal := fleet.send(origin, refused)
	fleet.until("a refusal", 5*time.Second, answered(refusal))
	if refusal.status != 422 || late == nil {
		t.Fatalf("status %d, reply %+v", refusal.status, refusal.reply)
	}
	fleet.kill(head)
	fleet.start(head)
	fleet.until("the same head", 10*time.Second, func() bool { return fleet.leader() == head })
	mended := fleet.send(origin, change("mended", 1, 2, `{"upsert":{"pools":[{"name":"q","services":["t"]}]}}`))
	fleet.until("an answer", 5*time.Second, answered(mended))
	if mended.status != 200 {
		t.Fatalf("status %d, reply %+v", mended.status, mended.reply)
	}
	head.node.Receive(fleet.now, late)
	fleet.run(time.Second)
	if head.node.Chain().Outcome("refused") != nil {
		t.Error("a copy of a refused request took effect")
	}
}

// Guards against a refused request that stays without an answer because the first answer was lost.
func TestRefusalIsRepeated(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 1, "a"))
	stale := apply("stale", 0, 2, "b")
	if got := lone.send(stale); got.status != 409 {
		t.Fatalf("status %d, reply %+v", got.status, got.reply)
	}
	lone.node.Ready()
	// The copy has another origin, so that the response is sent through the outbox.
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
		t.Fatalf("the copy was answered with status %d, refusals counted %d", again, lone.node.Counters().Refused)
	}
}
