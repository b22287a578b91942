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

// bench is a process with its leadership, of a chain of three in view 3 and term 2.
type bench struct {
	leadership *Leadership
	agent      *view.Agent
	chain      *chain.Chain
	outbox     *statemachine.Outbox
	// starts counts how often a term started.
	starts int
}

func newBench(self string, pending ...*wire.Entry) *bench {
	bench := &bench{outbox: statemachine.NewOutbox()}
	members := membertest.Members("abc")
	current := &wire.View{Epoch: 3, HeadTerm: 2, Chain: members, Acceptors: members, MinReplicas: 2}
	addressOf := func(member *wire.Member) string { return member.Address }
	bench.chain = chain.New(self, &wire.Document{Sequence: 4, SpecEpoch: 4}, pending, bench.outbox, addressOf,
		func(time.Time, uint64) {})
	bench.agent = view.NewAgent(start, self, current, nil, bench.outbox, func(string) string { return "" },
		func(time.Time, *wire.View) {})
	bench.leadership = New(1, bench.agent, bench.chain, bench.outbox, addressOf, func() { bench.starts++ })
	bench.leadership.Adopt(current)
	bench.chain.Adopt(start, current)
	bench.outbox.Drain()
	return bench
}

// requests ticks the leadership, and returns the requests that it sent.
func (bench *bench) requests(now time.Time) []*wire.LeaderLeaseRequest {
	bench.leadership.Tick(now)
	messages, _ := bench.outbox.Drain()
	var requests []*wire.LeaderLeaseRequest
	for _, message := range messages {
		if request := message.Envelope.GetLeaderLeaseRequest(); request != nil {
			requests = append(requests, request)
		}
	}
	return requests
}

// lead lets a majority grant the lease.
func (bench *bench) lead(t *testing.T, now time.Time) {
	t.Helper()
	requests := bench.requests(now)
	if len(requests) == 0 {
		t.Fatal("no request")
	}
	for _, acceptor := range []string{"a", "b"} {
		bench.leadership.HandleGrant(now, acceptor, &wire.LeaderLeaseGrant{View: 3, Nonce: requests[0].Nonce})
	}
}

func TestLeadershipTickRequestsAsHead(t *testing.T) {
	t.Parallel()
	for self, want := range map[string]int{"a": 3, "b": 0, "d": 0} {
		if got := len(newBench(self).requests(start)); got != want {
			t.Errorf("%s sends %d requests", self, got)
		}
	}
}

func TestLeadershipTickIntervals(t *testing.T) {
	t.Parallel()
	bench := newBench("a")
	bench.requests(start)
	if len(bench.requests(start.Add(RetryInterval-1))) != 0 {
		t.Error("requests again too soon")
	}
	bench.lead(t, start.Add(RetryInterval))
	held := start.Add(RetryInterval)
	if len(bench.requests(held.Add(RenewInterval-1))) != 0 || len(bench.requests(held.Add(RenewInterval))) != 3 {
		t.Error("renews at another moment than the interval says")
	}
	bench.leadership.ExpediteRequest()
	if len(bench.requests(held.Add(RenewInterval))) != 3 {
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
		bench := newBench("a")
		nonce := bench.requests(start)[0].Nonce + test.nonceAfter
		for _, sender := range test.senders {
			grant := &wire.LeaderLeaseGrant{View: test.view, Nonce: nonce}
			isAcceptor := sender != "stranger"
			if got := bench.leadership.HandleGrant(start, sender, grant); got != isAcceptor {
				t.Errorf("%s: %s is an acceptor: %v", name, sender, got)
			}
		}
		starts, started := 0, time.Time{}
		if test.leads {
			starts, started = 1, start
		}
		got := bench.leadership.IsLeading(start)
		if got != test.leads || bench.starts != starts || !bench.leadership.Started().Equal(started) {
			t.Errorf("%s: leads %v, %d starts, started %v", name, got, bench.starts, bench.leadership.Started())
		}
		if bench.leadership.IsLeading(start.Add(lease.LesseeTTL)) {
			t.Errorf("%s: leads after the lease has expired", name)
		}
	}
}

// A term starts with the grant that completes a majority, and not when somebody asks who leads.
func TestLeadershipIsLeadingOnlyReads(t *testing.T) {
	t.Parallel()
	bench := newBench("a")
	bench.lead(t, start)
	later := start.Add(time.Millisecond)
	if bench.starts != 1 || !bench.leadership.Started().Equal(start) {
		t.Fatalf("by the grants: started %v, %d starts", bench.leadership.Started(), bench.starts)
	}
	if !bench.leadership.IsLeading(later) || bench.starts != 1 || !bench.leadership.Started().Equal(start) {
		t.Errorf("by a look: started %v, %d starts", bench.leadership.Started(), bench.starts)
	}
}

func TestLeadershipAdopt(t *testing.T) {
	t.Parallel()
	bench := newBench("a")
	bench.lead(t, start)
	later := start.Add(time.Minute)
	bench.lead(t, later)
	if !bench.leadership.IsLeading(later) || bench.starts != 1 || !bench.leadership.Started().Equal(start) {
		t.Error("a lease that expired for a while starts another term")
	}
	bench.leadership.Adopt(&wire.View{Epoch: 4, HeadTerm: 2})
	if bench.leadership.Started().IsZero() {
		t.Error("another view of the same term")
	}
	bench.leadership.Adopt(&wire.View{Epoch: 5, HeadTerm: 5})
	if !bench.leadership.Started().IsZero() {
		t.Error("another term goes on as the one before")
	}
}

func TestLeadershipIsLeadingWaitsForItsHistory(t *testing.T) {
	t.Parallel()
	bench := newBench("a", &wire.Entry{Sequence: 5, ChangesSpec: true, SpecEpoch: 5})
	bench.lead(t, start)
	if bench.leadership.IsLeading(start) || !bench.leadership.HoldsLease(start) {
		t.Error("leads before its history is committed")
	}
	if request := bench.requests(start.Add(RenewInterval))[0]; request.Committed != 0 {
		t.Errorf("says that %d is committed", request.Committed)
	}
	bench.chain.HandleAck(start, "b", &wire.ChainAck{View: 3, Synced: 5, Committed: 5})
	if bench.chain.Committed().Sequence != 5 || !bench.leadership.IsLeading(start) {
		t.Error("does not lead once its history is committed")
	}
}

// What a chain that became too short for changes still holds pending was acknowledged by nobody, and waits until the
// chain is long enough again; its head leads meanwhile.
func TestLeadershipIsLeadingWithAShortChain(t *testing.T) {
	t.Parallel()
	bench := newBench("a")
	if err := bench.chain.Submit(start, &wire.Entry{ChangesSpec: true, SpecEpoch: 5}); err != nil {
		t.Fatal(err)
	}
	bench.lead(t, start)
	if bench.leadership.IsLeading(start) {
		t.Error("leads before its history is committed")
	}
	bench.chain.Adopt(start, &wire.View{Epoch: 4, HeadTerm: 2, Chain: membertest.Members("a"), MinReplicas: 2})
	if pending := len(bench.chain.Pending()); pending != 1 {
		t.Fatalf("%d changes are pending, want 1", pending)
	}
	if !bench.leadership.IsLeading(start) {
		t.Error("does not lead although nothing that may have been acknowledged is pending")
	}
}
