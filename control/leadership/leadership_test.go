package leadership

import (
	"testing"
	"time"

	"wardtray/control/membership/membertest"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

// fixture is a process of a chain of three in view 3 and term 2, with its leadership.
type fixture struct {
	leadership *Leadership
	agent      *view.Agent
	chain      *chain.Chain
	outbox     *statemachine.Outbox
	// starts counts the calls of onStart.
	starts int
}

func newFixture(self string, pending ...*wire.Entry) *fixture {
	fixture := &fixture{outbox: statemachine.NewOutbox()}
	members := membertest.Members("abc")
	current := &wire.View{Epoch: 3, HeadTerm: 2, Chain: members, Acceptors: members, MinReplicas: 2}
	addressOf := func(member *wire.Member) string { return member.Address }
	fixture.chain = chain.New(self, &wire.Document{Sequence: 4, SpecEpoch: 4}, pending, fixture.outbox, addressOf,
		func(time.Time, uint64) {})
	fixture.agent = view.NewAgent(start, self, current, nil, fixture.outbox, func(string) string { return "" },
		func(time.Time, *wire.View) {})
	fixture.leadership = New(1, fixture.agent, fixture.chain, fixture.outbox, addressOf, func() { fixture.starts++ })
	fixture.leadership.Adopt(current)
	fixture.chain.Adopt(start, current)
	fixture.outbox.Drain()
	return fixture
}

// requests ticks the leadership, and returns the requests that it sent.
func (fixture *fixture) requests(now time.Time) []*wire.LeaderLeaseRequest {
	fixture.leadership.Tick(now)
	messages, _ := fixture.outbox.Drain()
	var requests []*wire.LeaderLeaseRequest
	for _, message := range messages {
		if request := message.Envelope.GetLeaderLeaseRequest(); request != nil {
			requests = append(requests, request)
		}
	}
	return requests
}

// lead delivers the grants of a majority.
func (fixture *fixture) lead(t *testing.T, now time.Time) {
	t.Helper()
	requests := fixture.requests(now)
	if len(requests) == 0 {
		t.Fatal("no lease request was sent")
	}
	for _, acceptor := range []string{"a", "b"} {
		fixture.leadership.HandleGrant(now, acceptor, &wire.LeaderLeaseGrant{View: 3, Nonce: requests[0].Nonce})
	}
}

func TestLeadershipTickRequestsAsHead(t *testing.T) {
	t.Parallel()
	for self, want := range map[string]int{"a": 3, "b": 0, "d": 0} {
		if got := len(newFixture(self).requests(start)); got != want {
			t.Errorf("%s sends %d requests", self, got)
		}
	}
}

func TestLeadershipTickIntervals(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a")
	fixture.requests(start)
	if len(fixture.requests(start.Add(RetryInterval-1))) != 0 {
		t.Error("requests again before the retry interval is over")
	}
	fixture.lead(t, start.Add(RetryInterval))
	held := start.Add(RetryInterval)
	if len(fixture.requests(held.Add(RenewInterval-1))) != 0 || len(fixture.requests(held.Add(RenewInterval))) != 3 {
		t.Error("does not renew exactly at the renew interval")
	}
	fixture.leadership.ExpediteRequest()
	if len(fixture.requests(held.Add(RenewInterval))) != 3 {
		t.Error("an expedited request is not sent")
	}
}

func TestLeadershipHandleGrant(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		senders    []string
		view       uint64
		nonceAfter uint64
		leads      bool
	}{
		"by one of three":           {[]string{"a"}, 3, 0, false},
		"by one of three, twice":    {[]string{"a", "a"}, 3, 0, false},
		"by an acceptor and others": {[]string{"a", "stranger"}, 3, 0, false},
		"by a majority":             {[]string{"a", "c"}, 3, 0, true},
		"by all":                    {[]string{"a", "b", "c"}, 3, 0, true},
		"for another view":          {[]string{"a", "c"}, 2, 0, false},
		"for another request":       {[]string{"a", "c"}, 3, 1, false},
	} {
		fixture := newFixture("a")
		nonce := fixture.requests(start)[0].Nonce + test.nonceAfter
		for _, sender := range test.senders {
			grant := &wire.LeaderLeaseGrant{View: test.view, Nonce: nonce}
			isAcceptor := sender != "stranger"
			if got := fixture.leadership.HandleGrant(start, sender, grant); got != isAcceptor {
				t.Errorf("%s: %s is an acceptor: %v", name, sender, got)
			}
		}
		starts, started := 0, time.Time{}
		if test.leads {
			starts, started = 1, start
		}
		got := fixture.leadership.IsLeading(start)
		if got != test.leads || fixture.starts != starts || !fixture.leadership.Started().Equal(started) {
			t.Errorf("%s: leads %v, %d starts, started %v", name, got, fixture.starts, fixture.leadership.Started())
		}
		if fixture.leadership.IsLeading(start.Add(lease.LesseeTTL)) {
			t.Errorf("%s: leads after the lease has expired", name)
		}
	}
}

// Guards against a query that changes the state: a term starts with the grant that completes a majority, not when
// IsLeading is called.
func TestLeadershipIsLeadingOnlyReads(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a")
	fixture.lead(t, start)
	later := start.Add(time.Millisecond)
	if fixture.starts != 1 || !fixture.leadership.Started().Equal(start) {
		t.Fatalf("after the grants: started %v, %d starts", fixture.leadership.Started(), fixture.starts)
	}
	if !fixture.leadership.IsLeading(later) || fixture.starts != 1 || !fixture.leadership.Started().Equal(start) {
		t.Errorf("after a query: started %v, %d starts", fixture.leadership.Started(), fixture.starts)
	}
}

func TestLeadershipAdopt(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a")
	fixture.lead(t, start)
	later := start.Add(time.Minute)
	fixture.lead(t, later)
	if !fixture.leadership.IsLeading(later) || fixture.starts != 1 || !fixture.leadership.Started().Equal(start) {
		t.Error("renewing an expired lease started another term")
	}
	fixture.leadership.Adopt(&wire.View{Epoch: 4, HeadTerm: 2})
	if fixture.leadership.Started().IsZero() {
		t.Error("another view of the same term reset the start of the term")
	}
	fixture.leadership.Adopt(&wire.View{Epoch: 5, HeadTerm: 5})
	if !fixture.leadership.Started().IsZero() {
		t.Error("another term kept the start of the previous one")
	}
}

func TestLeadershipIsLeadingWaitsForItsHistory(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", &wire.Entry{Sequence: 5, ChangesSpec: true, SpecEpoch: 5})
	fixture.lead(t, start)
	if fixture.leadership.IsLeading(start) || !fixture.leadership.HoldsLease(start) {
		t.Error("leads before its history is committed")
	}
	if request := fixture.requests(start.Add(RenewInterval))[0]; request.Committed != 0 {
		t.Errorf("the request reports %d as committed, want 0", request.Committed)
	}
	fixture.chain.HandleAck(start, "b", &wire.ChainAck{View: 3, Synced: 5, Committed: 5})
	if fixture.chain.Committed().Sequence != 5 || !fixture.leadership.IsLeading(start) {
		t.Error("does not lead once its history is committed")
	}
}

// Guards against a head that never leads because its chain has become shorter than its minimum: entries that are then
// pending were not acknowledged, and stay pending until the chain is long enough again.
func TestLeadershipIsLeadingWithAShortChain(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a")
	if err := fixture.chain.Submit(start, &wire.Entry{ChangesSpec: true, SpecEpoch: 5}); err != nil {
		t.Fatal(err)
	}
	fixture.lead(t, start)
	if fixture.leadership.IsLeading(start) {
		t.Error("leads before its history is committed")
	}
	fixture.chain.Adopt(start, &wire.View{Epoch: 4, HeadTerm: 2, Chain: membertest.Members("a"), MinReplicas: 2})
	if pending := len(fixture.chain.Pending()); pending != 1 {
		t.Fatalf("%d changes are pending, want 1", pending)
	}
	if !fixture.leadership.IsLeading(start) {
		t.Error("does not lead although no pending entry can have been acknowledged")
	}
}
