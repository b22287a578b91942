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

// bench is a process with its requests and proposals, of a chain in view 3; what they ask of the process around them is
// set by the test.
type bench struct {
	requests  *Requests
	proposals *Proposals
	chain     *chain.Chain
	outbox    *statemachine.Outbox

	leading, delivered, unhealthy bool
	// headIncarnation is the one that the head states.
	headIncarnation uint64
	// status and reply are what the last request that came in at this process got; replies counts them.
	status  int
	reply   Reply
	replies int
}

func newBench(self, chainIDs string) *bench {
	bench := &bench{outbox: statemachine.NewOutbox(), leading: true, delivered: true}
	current := &wire.View{Epoch: 3, MinReplicas: 1,
		Chain: membertest.Members(chainIDs), Acceptors: membertest.Members("abc")}
	addressOf := func(member *wire.Member) string { return member.Address }
	member := membertest.Members(self)[0]
	bench.chain = chain.New(self, &wire.Document{}, nil, bench.outbox, addressOf, func(time.Time, uint64) {})
	agent := view.NewAgent(start, self, current, nil, bench.outbox, func(string) string { return "" },
		func(time.Time, *wire.View) {})
	peers := Peers{AddressOf: addressOf,
		Incarnation: func(id string) (uint64, bool) { return bench.headIncarnation, id != "" }}
	bench.requests = NewRequests(7, member, agent, bench.chain, bench.outbox, peers,
		func(now time.Time, message *wire.OperatorRequest) { bench.proposals.Serve(now, message) })
	bench.proposals = NewProposals(member.Address, bench.chain, bench.outbox, bench.requests, Environment{
		IsLeading: func(time.Time) bool { return bench.leading && bench.chain.IsHead() },
		IsDelivered: func(_ time.Time, sequence uint64) bool {
			return bench.delivered && bench.chain.Committed().Sequence >= sequence
		},
		IsUnhealthy: func(time.Time) bool { return bench.unhealthy },
	})
	bench.chain.Adopt(start, current)
	bench.outbox.Drain()
	return bench
}

// submit makes a request at this process, and returns its token.
func (bench *bench) submit(now time.Time, message *wire.OperatorRequest) string {
	return bench.requests.Submit(now, message, func(status int, body []byte) {
		bench.replies++
		bench.status, bench.reply = status, Reply{}
		if err := json.Unmarshal(body, &bench.reply); err != nil {
			panic(err)
		}
	})
}

// sync completes every write.
func (bench *bench) sync(now time.Time) {
	for {
		_, writes := bench.outbox.Drain()
		if len(writes) == 0 {
			return
		}
		bench.outbox.Done(now, writes[len(writes)-1].Sequence)
	}
}

// responses returns what was sent to other processes whose requests came here.
func (bench *bench) responses() []*wire.OperatorResponse {
	messages, _ := bench.outbox.Drain()
	var responses []*wire.OperatorResponse
	for _, message := range messages {
		if response := message.Envelope.GetOperatorResponse(); response != nil {
			responses = append(responses, response)
		}
	}
	return responses
}

// spec is a spec that passes its checks; two of different names differ.
func spec(name string) []byte {
	return fmt.Appendf(nil, `{"zones":[],"pools":[{"name":%q,"services":["s"]}],"lanes":[]}`, name)
}

func apply(operation string) *wire.OperatorRequest {
	return &wire.OperatorRequest{Verb: VerbApply, Operation: operation, Spec: spec("p")}
}

func TestProposalsAcknowledge(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	bench.delivered = false
	bench.submit(start, apply("o"))
	bench.sync(start)
	bench.proposals.Acknowledge(start)
	if bench.replies != 0 || bench.chain.Committed().SpecEpoch != 1 {
		t.Fatalf("before the delivery: %d replies, epoch %d", bench.replies, bench.chain.Committed().SpecEpoch)
	}
	bench.delivered = true
	bench.proposals.Acknowledge(start)
	bench.proposals.Acknowledge(start)
	if bench.replies != 1 || bench.status != http.StatusOK || bench.reply.Outcome != OutcomeAccepted {
		t.Fatalf("%d replies, %d %+v", bench.replies, bench.status, bench.reply)
	}
	if got := bench.proposals.Counters(); got.Accepted != 1 || bench.requests.Count() != 0 {
		t.Errorf("%+v", got)
	}
}

func TestProposalsServeOneOperationOnce(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	for range 2 {
		bench.submit(start, apply("o"))
		bench.sync(start)
		bench.proposals.Acknowledge(start)
	}
	if bench.replies != 2 || bench.reply.Epoch != 1 || bench.chain.Committed().SpecEpoch != 1 {
		t.Fatalf("%d replies, the last %+v", bench.replies, bench.reply)
	}
}

func TestProposalsAcknowledgeTimesOut(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	bench.delivered = false
	bench.submit(start, apply("o"))
	bench.proposals.Acknowledge(start.Add(acknowledgeTimeout))
	if bench.replies != 0 {
		t.Fatal("answered before the timeout")
	}
	bench.proposals.Acknowledge(start.Add(acknowledgeTimeout + 1))
	if bench.status != http.StatusGatewayTimeout || bench.reply.Outcome != OutcomeUnknown {
		t.Fatalf("%d %+v", bench.status, bench.reply)
	}
	if bench.proposals.Counters().Unknown != 1 {
		t.Error("not counted")
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
		bench := newBench("a", "a")
		bench.unhealthy = test.unhealthy
		bench.submit(start, test.message)
		if bench.status != test.want || bench.reply.Outcome != OutcomeRefused {
			t.Errorf("%s: %d %+v", name, bench.status, bench.reply)
		}
		if len(bench.chain.Pending()) != 0 {
			t.Errorf("%s: entered", name)
		}
	}
}

func TestProposalsServePostponesARefusal(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	bench.submit(start, apply("first"))
	stale := &wire.OperatorRequest{Verb: VerbApply, Operation: "second", Spec: spec("q"), HasBase: true}
	bench.submit(start, stale)
	if bench.replies != 0 {
		t.Fatal("refused before the change that it rests on is committed")
	}
	bench.sync(start)
	bench.proposals.RetryDeferred(start)
	if bench.status != http.StatusConflict {
		t.Fatalf("%d %+v", bench.status, bench.reply)
	}
}

func TestProposalsRetryDeferred(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		after time.Duration
		want  int
	}{"in time": {deferTimeout, 1}, "too late": {deferTimeout + 1, 0}} {
		bench := newBench("a", "a")
		bench.leading = false
		get := &wire.OperatorRequest{Verb: VerbGet, Token: "b/1/1", Origin: "b:1"}
		bench.proposals.HandleRequest(start, get)
		bench.proposals.HandleRequest(start, get)
		if len(bench.responses()) != 0 {
			t.Fatalf("%s: answered without leading", name)
		}
		bench.leading = true
		bench.proposals.RetryDeferred(start.Add(test.after))
		if got := len(bench.responses()); got != test.want {
			t.Errorf("%s: %d responses", name, got)
		}
	}
}

func TestProposalsAdopt(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "ab")
	bench.proposals.HandleRequest(
		start,
		&wire.OperatorRequest{Verb: VerbApply, Operation: "o", Spec: spec("p"), Token: "b/1/1", Origin: "b:1"},
	)
	if len(bench.proposals.waiters) != 1 {
		t.Fatal("nobody waits, so that nothing is tested")
	}
	bench.chain.Adopt(start, &wire.View{Epoch: 4, Chain: membertest.Members("ba")})
	bench.proposals.Adopt()
	bench.proposals.Acknowledge(start.Add(time.Hour))
	if got := bench.responses(); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

// An operation id that was used for one change is refused for another, and known for the same one however it is sent.
func TestProposalsServeTellsChangesOfOneOperationApart(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	bench.submit(start, apply("o"))
	bench.sync(start)
	bench.proposals.Acknowledge(start)
	other := apply("o")
	other.Spec = spec("q")
	bench.submit(start, other)
	if bench.status != http.StatusConflict || bench.reply.Code != string(apierror.DuplicateRequest) {
		t.Errorf("another change: %d %+v", bench.status, bench.reply)
	}
	same := apply("o")
	same.Since, same.HasSince = 7, true
	bench.submit(start, same)
	bench.proposals.Acknowledge(start)
	if bench.status != http.StatusOK || bench.reply.Epoch != 1 {
		t.Errorf("the same change: %d %+v", bench.status, bench.reply)
	}
}

// What an earlier version accepted has no digest, and counts as the same change.
func TestProposalsServeKnowsOutcomesWithoutADigest(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	entry := &wire.Entry{Operation: "o", ChangesSpec: true, SpecEpoch: 1, Spec: spec("p")}
	if err := bench.chain.Submit(start, entry); err != nil {
		t.Fatal(err)
	}
	bench.sync(start)
	bench.submit(start, apply("o"))
	bench.proposals.Acknowledge(start)
	if bench.status != http.StatusOK {
		t.Errorf("%d %+v", bench.status, bench.reply)
	}
}

// A call without a base that says since when it is sent is refused where its outcome may have been forgotten.
func TestProposalsServeRefusesWhatMayBeForgotten(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "a")
	for epoch := range uint64(chain.MaximumOutcomes + 1) {
		entry := &wire.Entry{Operation: fmt.Sprint("o", epoch), ChangesSpec: true, SpecEpoch: epoch + 1, Spec: spec("p")}
		if err := bench.chain.Submit(start, entry); err != nil {
			t.Fatal(err)
		}
		bench.sync(start)
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
		call := apply(name)
		call.Since, call.HasSince = test.since, test.has
		bench.submit(start, call)
		bench.sync(start)
		bench.proposals.Acknowledge(start)
		if bench.status != test.want {
			t.Errorf("%s: %d %+v", name, bench.status, bench.reply)
		}
	}
}
