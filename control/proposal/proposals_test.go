package proposal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/control/membership/membertest"
	"wardtray/coordination/chain"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

// fixture is the requests and proposals of one process, with their dependencies, in view 3. The test sets the state of
// the process on which they depend.
type fixture struct {
	requests  *Requests
	proposals *Proposals
	chain     *chain.Chain
	outbox    *statemachine.Outbox

	leading, delivered, unhealthy bool
	// headIncarnation is the incarnation that the head states.
	headIncarnation uint64
	// status and reply are the last response to a request that was submitted here; replies counts the responses.
	status  int
	reply   Reply
	replies int
}

func newFixture(self, chainIDs string) *fixture {
	fixture := &fixture{outbox: statemachine.NewOutbox(), leading: true, delivered: true}
	current := &wire.View{Epoch: 3, MinReplicas: 1,
		Chain: membertest.Members(chainIDs), Acceptors: membertest.Members("abc")}
	addressOf := func(member *wire.Member) string { return member.Address }
	member := membertest.Members(self)[0]
	fixture.chain = chain.New(self, &wire.Document{}, nil, fixture.outbox, addressOf, func(time.Time, uint64) {})
	agent := view.NewAgent(start, self, current, nil, fixture.outbox, func(string) string { return "" },
		func(time.Time, *wire.View) {})
	peers := Peers{AddressOf: addressOf,
		Incarnation: func(id string) (uint64, bool) { return fixture.headIncarnation, id != "" }}
	fixture.requests = NewRequests(7, member, agent, fixture.chain, fixture.outbox, peers,
		func(now time.Time, message *wire.OperatorRequest) { fixture.proposals.Serve(now, message) })
	fixture.proposals = NewProposals(member.Address, fixture.chain, fixture.outbox, fixture.requests, Environment{
		IsLeading: func(time.Time) bool { return fixture.leading && fixture.chain.IsHead() },
		IsDelivered: func(_ time.Time, sequence uint64) bool {
			return fixture.delivered && fixture.chain.Committed().Sequence >= sequence
		},
		IsUnhealthy: func(time.Time) bool { return fixture.unhealthy },
	})
	fixture.chain.Adopt(start, current)
	fixture.outbox.Drain()
	return fixture
}

// submit submits a request to this process and returns its token.
func (fixture *fixture) submit(now time.Time, message *wire.OperatorRequest) string {
	return fixture.requests.Submit(now, message, func(status int, body []byte) {
		fixture.replies++
		fixture.status, fixture.reply = status, Reply{}
		if err := json.Unmarshal(body, &fixture.reply); err != nil {
			panic(err)
		}
	})
}

// sync reports every write as synced, until there are none left.
func (fixture *fixture) sync(now time.Time) {
	for {
		_, writes := fixture.outbox.Drain()
		if len(writes) == 0 {
			return
		}
		fixture.outbox.Done(now, writes[len(writes)-1].Sequence)
	}
}

// responses returns the responses that were sent to other processes.
func (fixture *fixture) responses() []*wire.OperatorResponse {
	messages, _ := fixture.outbox.Drain()
	var responses []*wire.OperatorResponse
	for _, message := range messages {
		if response := message.Envelope.GetOperatorResponse(); response != nil {
			responses = append(responses, response)
		}
	}
	return responses
}

// spec returns a valid configuration with one pool of a name.
func spec(name string) []byte {
	return fmt.Appendf(nil, `{"zones":[],"pools":[{"name":%q,"services":["s"]}],"lanes":[]}`, name)
}

func apply(operation string) *wire.OperatorRequest {
	return &wire.OperatorRequest{Verb: VerbApply, Operation: operation, Spec: spec("p")}
}

// A change is acknowledged once, and only after it is delivered.
func TestProposalsAcknowledge(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	fixture.delivered = false
	fixture.submit(start, apply("o"))
	fixture.sync(start)
	fixture.proposals.Acknowledge(start)
	if fixture.replies != 0 || fixture.chain.Committed().SpecEpoch != 1 {
		t.Fatalf("before delivery: %d replies, committed epoch %d", fixture.replies, fixture.chain.Committed().SpecEpoch)
	}
	fixture.delivered = true
	fixture.proposals.Acknowledge(start)
	fixture.proposals.Acknowledge(start)
	if fixture.replies != 1 || fixture.status != http.StatusOK || fixture.reply.Outcome != OutcomeAccepted {
		t.Fatalf("after delivery: %d replies, status %d, %+v", fixture.replies, fixture.status, fixture.reply)
	}
	if got := fixture.proposals.Counters(); got.Accepted != 1 || fixture.requests.Count() != 0 {
		t.Errorf("a request is open, or the counters are wrong: %+v", got)
	}
}

// A change that is submitted twice under one operation id is applied once, and both requests get its outcome.
func TestProposalsServeOneOperationOnce(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	for range 2 {
		fixture.submit(start, apply("o"))
		fixture.sync(start)
		fixture.proposals.Acknowledge(start)
	}
	if fixture.replies != 2 || fixture.reply.Epoch != 1 || fixture.chain.Committed().SpecEpoch != 1 {
		t.Fatalf("one operation submitted twice: %d replies, the last %+v", fixture.replies, fixture.reply)
	}
}

func TestProposalsAcknowledgeTimesOut(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	fixture.delivered = false
	fixture.submit(start, apply("o"))
	fixture.proposals.Acknowledge(start.Add(acknowledgeTimeout))
	if fixture.replies != 0 {
		t.Fatal("replied before the timeout")
	}
	fixture.proposals.Acknowledge(start.Add(acknowledgeTimeout + 1))
	if fixture.status != http.StatusGatewayTimeout || fixture.reply.Outcome != OutcomeUnknown {
		t.Fatalf("after the timeout: status %d, reply %+v", fixture.status, fixture.reply)
	}
	if fixture.proposals.Counters().Unknown != 1 {
		t.Error("the unknown outcome is not counted")
	}
}

func TestProposalsServeRefuses(t *testing.T) {
	t.Parallel()
	staleBase := &wire.OperatorRequest{Verb: VerbApply, Operation: "o", Spec: spec("p"), HasBase: true, Base: 4}
	for name, test := range map[string]struct {
		message   *wire.OperatorRequest
		unhealthy bool
		want      int
	}{
		"stale base":   {staleBase, false, 409},
		"no JSON":      {&wire.OperatorRequest{Verb: VerbApply, Operation: "o", Spec: []byte("{")}, false, 400},
		"stale epoch":  {&wire.OperatorRequest{Verb: VerbApply, Operation: "o", Spec: spec("p"), HasEpoch: true}, false, 422},
		"no spec yet":  {&wire.OperatorRequest{Verb: VerbClose, Operation: "o", Zone: "z"}, false, 422},
		"failing disk": {apply("o"), true, 503},
		"no such id":   {&wire.OperatorRequest{Verb: VerbOperation, Operation: "o"}, false, 404},
	} {
		fixture := newFixture("a", "a")
		fixture.unhealthy = test.unhealthy
		fixture.submit(start, test.message)
		if fixture.status != test.want || fixture.reply.Outcome != OutcomeRefused {
			t.Errorf("%s: status %d, reply %+v", name, fixture.status, fixture.reply)
		}
		if len(fixture.chain.Pending()) != 0 {
			t.Errorf("%s: the refused change was submitted to the chain", name)
		}
	}
}

// A refusal because of an uncommitted change is deferred until that change is committed. The change may be lost with
// this head, and the next head might then accept a copy of the refused request.
func TestProposalsServePostponesARefusal(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	fixture.submit(start, apply("first"))
	stale := &wire.OperatorRequest{Verb: VerbApply, Operation: "second", Spec: spec("q"), HasBase: true}
	fixture.submit(start, stale)
	if fixture.replies != 0 {
		t.Fatal("refused because of a change that is not committed yet")
	}
	fixture.sync(start)
	fixture.proposals.RetryDeferred(start)
	if fixture.status != http.StatusConflict {
		t.Fatalf("after the commit: status %d, reply %+v", fixture.status, fixture.reply)
	}
}

func TestProposalsRetryDeferred(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		after time.Duration
		want  int
	}{"in time": {deferTimeout, 1}, "too late": {deferTimeout + 1, 0}} {
		fixture := newFixture("a", "a")
		fixture.leading = false
		get := &wire.OperatorRequest{Verb: VerbGet, Token: "b/1/1", Origin: "b:1"}
		fixture.proposals.HandleRequest(start, get)
		fixture.proposals.HandleRequest(start, get)
		if len(fixture.responses()) != 0 {
			t.Fatalf("%s: replied without leading", name)
		}
		fixture.leading = true
		fixture.proposals.RetryDeferred(start.Add(test.after))
		if got := len(fixture.responses()); got != test.want {
			t.Errorf("%s: %d responses", name, got)
		}
	}
}

// A process that is no longer head does not reply to waiting requests, since the new head decides on them.
func TestProposalsAdopt(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "ab")
	fixture.proposals.HandleRequest(
		start,
		&wire.OperatorRequest{Verb: VerbApply, Operation: "o", Spec: spec("p"), Token: "b/1/1", Origin: "b:1"},
	)
	if len(fixture.proposals.waiters) != 1 {
		t.Fatal("no request waits, so the test checks nothing")
	}
	fixture.chain.Adopt(start, &wire.View{Epoch: 4, Chain: membertest.Members("ba")})
	fixture.proposals.Adopt()
	fixture.proposals.Acknowledge(start.Add(time.Hour))
	if got := fixture.responses(); len(got) != 0 {
		t.Errorf("a former head sent %v", got)
	}
}

// An operation id that was accepted for one change is refused for another. A repetition of the same change is
// recognized even if it states another epoch at which it was first sent.
func TestProposalsServeTellsChangesOfOneOperationApart(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	fixture.submit(start, apply("o"))
	fixture.sync(start)
	fixture.proposals.Acknowledge(start)
	other := apply("o")
	other.Spec = spec("q")
	fixture.submit(start, other)
	if fixture.status != http.StatusConflict || fixture.reply.Code != string(apierror.DuplicateRequest) {
		t.Errorf("another change: status %d, reply %+v", fixture.status, fixture.reply)
	}
	same := apply("o")
	same.Since, same.HasSince = 7, true
	fixture.submit(start, same)
	fixture.proposals.Acknowledge(start)
	if fixture.status != http.StatusOK || fixture.reply.Epoch != 1 {
		t.Errorf("the same change: status %d, reply %+v", fixture.status, fixture.reply)
	}
}

// Outcomes stored by earlier versions have no digest; a request with such an operation id counts as the same change.
func TestProposalsServeKnowsOutcomesWithoutADigest(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	entry := &wire.Entry{Operation: "o", ChangesSpec: true, SpecEpoch: 1, Spec: spec("p")}
	if err := fixture.chain.Submit(start, entry); err != nil {
		t.Fatal(err)
	}
	fixture.sync(start)
	fixture.submit(start, apply("o"))
	fixture.proposals.Acknowledge(start)
	if fixture.status != http.StatusOK {
		t.Errorf("status %d, reply %+v", fixture.status, fixture.reply)
	}
}

// A request without a base may be a repetition of a change whose outcome is no longer kept. If it states the epoch at
// which it was first sent, and outcomes since then were dropped, it is refused rather than applied again.
func TestProposalsServeRefusesWhatMayBeForgotten(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "a")
	for epoch := range uint64(chain.MaximumOutcomes + 1) {
		entry := &wire.Entry{Operation: fmt.Sprint("o", epoch), ChangesSpec: true, SpecEpoch: epoch + 1, Spec: spec("p")}
		if err := fixture.chain.Submit(start, entry); err != nil {
			t.Fatal(err)
		}
		fixture.sync(start)
	}
	for name, test := range map[string]struct {
		since uint64
		has   bool
		want  int
	}{
		"before the oldest outcome": {1, true, http.StatusConflict},
		"since a known outcome":     {chain.MaximumOutcomes, true, http.StatusOK},
		"not stated":                {0, false, http.StatusOK},
	} {
		request := apply(name)
		request.Since, request.HasSince = test.since, test.has
		fixture.submit(start, request)
		fixture.sync(start)
		fixture.proposals.Acknowledge(start)
		if fixture.status != test.want {
			t.Errorf("%s: status %d, reply %+v", name, fixture.status, fixture.reply)
		}
	}
}
