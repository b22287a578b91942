package daemonlease

import (
	"slices"
	"testing"
	"time"

	"wardtray/control/membership/membertest"
	"wardtray/coordination/chain"
	"wardtray/coordination/statemachine"
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

func TestLeasesUnleased(t *testing.T) {
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

func TestLeasesHandleRequestIsBounded(t *testing.T) {
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

func TestLeasesConnectionRefused(t *testing.T) {
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

func TestLeasesPrompt(t *testing.T) {
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

func TestLeasesArrivals(t *testing.T) {
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

func TestLeasesExcludeMissing(t *testing.T) {
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
