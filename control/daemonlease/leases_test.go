package daemonlease

import (
	"slices"
	"testing"
	"time"

	"wardtray/control/membership/membertest"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/quota"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

const (
	term   = time.Second
	length = term + ClockMargin
)

func threeMembers() *wire.View {
	members := membertest.Members("abc")
	return &wire.View{Epoch: 3, HeadTerm: 3, Chain: members, Acceptors: members, MinReplicas: 2}
}

// newLeases returns the leases of a head whose committed document, of sequence 5, has a directory.
func newLeases(directory string) (*Leases, *statemachine.Outbox) {
	outbox := statemachine.NewOutbox()
	document := &wire.Document{Sequence: 5, SpecEpoch: 5, Directory: membertest.Daemons(directory)}
	history := chain.New("a", document, nil, outbox, func(member *wire.Member) string { return member.Address },
		func(time.Time, uint64) {})
	return NewLeases(history, outbox, term, threeMembers()), outbox
}

// grant lets daemon d, which has a sequence, request a lease and get it.
func grant(leases *Leases, now time.Time, sequence uint64) {
	leases.HandleRequest(now, "d", &wire.DaemonLeaseRequest{Sequence: sequence})
	leases.Grant(now, "d", &wire.DaemonLeaseGrant{})
}

// leaderAt is a leader for so long that no lease of the head before it can run.
func leaderAt(now time.Time) DeliveryContext {
	return DeliveryContext{
		Now:       now,
		Since:     start.Add(-time.Hour),
		View:      threeMembers(),
		IsGrowing: func() bool { return false },
	}
}

// acceptorsKnow lets acceptors report that they know sequence 5, with nothing older confirmed.
func acceptorsKnow(leases *Leases, ids ...string) {
	for _, id := range ids {
		leases.AcceptorReported(id, 5, start)
	}
}

func TestIsDelivered(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		directory string
		prepare   func(leases *Leases, leader *DeliveryContext)
		want      bool
	}{
		"a majority of the acceptors knows": {"", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
		}, true},
		"one acceptor knows": {"", func(leases *Leases, _ *DeliveryContext) { acceptorsKnow(leases, "a") }, false},
		"this process has not led": {"", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.Since = time.Time{}
		}, false},
		"the chain is too short": {"", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.View.Chain = membertest.Members("a")
		}, false},
		"the acceptors are still growing": {"", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.IsGrowing = func() bool { return true }
		}, false},
		"a lease runs at a daemon that has less": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			grant(leases, start, 4)
		}, false},
		"the daemon with less has ended": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			grant(leases, start.Add(-2), 4)
			leases.ConnectionRefused("d", start.Add(-1))
		}, true},
		"the lease with less has expired": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			grant(leases, start.Add(-length), 4)
		}, true},
		"the lease was granted before the commit, long ago": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leases.Committed(start.Add(-length), 5)
			grant(leases, start, 4)
		}, true},
		"every daemon knows": {"d", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leases.Committed(start, 5)
			leader.Since = start
			grant(leases, start, 5)
		}, true},
		"every daemon knows, a majority of the acceptors does not": {"d", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a")
			leases.Committed(start, 5)
			grant(leases, start, 5)
		}, false},
		"the head before may have granted a lease": {"d", func(leases *Leases, leader *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			leader.Since = start
		}, false},
		"an acceptor's older confirmation runs": {"", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a")
			leases.AcceptorReported("b", 5, start.Add(1))
		}, false},
		"acceptors of the view before may have confirmed less": {"", func(leases *Leases, _ *DeliveryContext) {
			acceptorsKnow(leases, "a", "b")
			next := threeMembers()
			next.Epoch, next.Acceptors = 4, membertest.Members("abd")
			leases.view = &wire.View{Epoch: 3, Acceptors: membertest.Members("ade")}
			leases.Adopt(start, next)
		}, false},
	} {
		leases, _ := newLeases(test.directory)
		leader := leaderAt(start)
		test.prepare(leases, &leader)
		if got := leases.IsDelivered(leader, 5); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
		if leases.IsDelivered(leader, 6) {
			t.Errorf("%s: a sequence that is not committed", name)
		}
	}
}

func TestAdoptRemembersAcceptorsForALease(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("")
	same := threeMembers()
	same.Epoch = 4
	leases.Adopt(start, same)
	if len(leases.previous) != 0 {
		t.Error("the same acceptors count twice")
	}
	skipped := threeMembers()
	skipped.Epoch = 6
	leases.Adopt(start, skipped)
	if len(leases.previous) != 1 || leases.previous[0].members != nil {
		t.Error("acceptors of a view that this process never heard of")
	}
	acceptorsKnow(leases, "a", "b", "c")
	if leases.IsDelivered(leaderAt(start.Add(length-1)), 5) || !leases.IsDelivered(leaderAt(start.Add(length)), 5) {
		t.Error("for another time than a lease")
	}
}

func TestRequestOfANewIncarnationEndsTheLease(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("d")
	leader := start.Add(-time.Hour)
	if got := leases.Unleased(start, leader); !slices.Equal(got, []string{"d"}) {
		t.Errorf("before any lease: %v", got)
	}
	grant(leases, start, 5)
	if got := leases.Unleased(start, leader); len(got) != 0 {
		t.Errorf("with a lease: %v", got)
	}
	leases.HandleRequest(start, "d", &wire.DaemonLeaseRequest{Incarnation: 9, Sequence: 5})
	if got := leases.Unleased(start, leader); !slices.Equal(got, []string{"d"}) {
		t.Errorf("a new incarnation: %v", got)
	}
	if got := leases.Unleased(start, start.Add(-length+1)); got != nil {
		t.Errorf("a head that is younger than a lease: %v", got)
	}
}

func TestRequestBoundsTheDaemons(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("")
	for number := range MaximumDaemons {
		leases.HandleRequest(start, string(rune(number+1000)), &wire.DaemonLeaseRequest{})
	}
	if leases.HandleRequest(start, "more", &wire.DaemonLeaseRequest{}) {
		t.Error("more daemons than the bound")
	}
	if !leases.HandleRequest(start, string(rune(1000)), &wire.DaemonLeaseRequest{}) {
		t.Error("a known daemon is turned down")
	}
	leases.Reset()
	if len(leases.Active(start)) != 0 || !leases.FirstRequest().IsZero() {
		t.Error("a new term knows the daemons of the one before")
	}
}

func TestConnectionRefusedAfterARequestSaysNothing(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("d")
	grant(leases, start, 5)
	if leases.ConnectionRefused("d", start) || leases.ConnectionRefused("stranger", start.Add(1)) {
		t.Error("a daemon that was heard since")
	}
	if !leases.ConnectionRefused("d", start.Add(1)) {
		t.Error("a daemon that was not heard since")
	}
}

func TestPromptWaitsForGossip(t *testing.T) {
	t.Parallel()
	leases, outbox := newLeases("de")
	leases.Committed(start, 5)
	grant(leases, start, 5)
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{promptDelay - 1, 0}, {promptDelay, 1}} {
		leases.Prompt(leaderAt(start.Add(test.after)))
		messages, _ := outbox.Drain()
		if len(messages) != test.want || test.want == 1 && messages[0].To != "e" {
			t.Errorf("after %v: %v", test.after, messages)
		}
	}
	if leases.IsPromptDue(start.Add(promptDelay + promptInterval - 1)) {
		t.Error("prompts again at once")
	}
}

func TestArrivals(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("d")
	request := &wire.DaemonLeaseRequest{Zone: "z"}
	for range joinRequests {
		leases.HandleRequest(start, "d", request)
		leases.HandleRequest(start, "new", request)
		leases.HandleRequest(start, "draining", &wire.DaemonLeaseRequest{Draining: true})
	}
	leases.HandleRequest(start, "once", request)
	arrivals := leases.Arrivals(start, membertest.Daemons("d"))
	if len(arrivals) != 1 || arrivals[0].Address != "new" || arrivals[0].Zone != "z" {
		t.Errorf("%v", arrivals)
	}
	if got := leases.Arrivals(start.Add(term), nil); len(got) != 0 {
		t.Errorf("daemons that fell silent: %v", got)
	}
}

func TestExcludeMissing(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("")
	leases.HandleRequest(start.Add(time.Second), "e", &wire.DaemonLeaseRequest{})
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{missingAfter, 2}, {missingAfter + 1, 1}, {missingAfter + time.Minute, 2}} {
		if got := leases.ExcludeMissing(start.Add(test.after), start, membertest.Daemons("de")); len(got) != test.want {
			t.Errorf("after %v: %v", test.after, got)
		}
	}
}

func TestConfirmer(t *testing.T) {
	t.Parallel()
	voted := &wire.AcceptorState{Instance: 4, Value: &wire.View{Epoch: 4}}
	for name, test := range map[string]struct {
		self     string
		told     bool
		isMember bool
		view     uint64
		sequence uint64
		vote     *wire.AcceptorState
		want     bool
	}{
		"up to date":              {"b", true, true, 3, 5, nil, true},
		"the head was not heard":  {"b", false, true, 3, 5, nil, false},
		"not in the directory":    {"b", true, false, 3, 5, nil, false},
		"of another view":         {"b", true, true, 2, 5, nil, false},
		"less than what is known": {"b", true, true, 3, 4, nil, false},
		"no acceptor":             {"d", true, true, 3, 5, nil, false},
		"voted for the next view": {"b", true, true, 3, 5, voted, false},
	} {
		leases, outbox := newLeases("e")
		agent := view.NewAgent(start, test.self, threeMembers(), test.vote, outbox, func(string) string { return "" },
			func(time.Time, *wire.View) {})
		witness := lease.NewWitness(length)
		if test.told {
			witness.ObserveHead(5)
		}
		confirmer := NewConfirmer(test.self, agent, leases.chain, witness)
		request := &wire.DaemonLeaseRequest{View: test.view, Sequence: test.sequence}
		if got := confirmer.Confirm(start, "e", request, test.isMember); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestQuotasNeedALease(t *testing.T) {
	t.Parallel()
	quotas := NewQuotas(quota.Tolerance{}, term)
	document := &wire.Document{}
	report := &wire.QuotaReport{Tenants: []*wire.QuotaTenantReport{{Tenant: "t"}}}
	if quotas.HandleReport(start, document, "d", report, false) != nil {
		t.Error("a share without a lease")
	}
	got := quotas.HandleReport(start, document, "d", report, true)
	if got == nil || got.Milliseconds != uint32(term.Milliseconds()) {
		t.Errorf("with a lease: %v", got)
	}
	if quotas.HandleReport(start, document, "d", &wire.QuotaReport{}, true) != nil {
		t.Error("an answer to an empty report")
	}
	quotas.Reset()
	quotas.Release(start, "d")
}
