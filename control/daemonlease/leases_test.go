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
	leaseDuration = time.Second
	leaseLength   = leaseDuration + ClockMargin
)

func threeMembers() *wire.View {
	members := membertest.Members("abc")
	return &wire.View{Epoch: 3, HeadTerm: 3, Chain: members, Acceptors: members, MinReplicas: 2}
}

// newLeases returns the leases of a head that has committed sequence 5; each letter of directory is a daemon's address.
func newLeases(directory string) (*Leases, *statemachine.Outbox) {
	outbox := statemachine.NewOutbox()
	document := &wire.Document{Sequence: 5, SpecEpoch: 5, Directory: membertest.Daemons(directory)}
	history := chain.New("a", document, nil, outbox, func(member *wire.Member) string { return member.Address },
		func(time.Time, uint64) {})
	return NewLeases(history, outbox, leaseDuration, threeMembers(), 0), outbox
}

// grant has daemon d request a lease as one that has a sequence, and grants it.
func grant(leases *Leases, now time.Time, sequence uint64) {
	leases.HandleRequest(now, "d", &wire.DaemonLeaseRequest{Sequence: sequence})
	leases.Grant(now, "d", &wire.DaemonLeaseGrant{})
}

// A daemon counts as unleased only if no lease of this head or of the previous one can run; otherwise runners would not
// be announced to a daemon that still serves requests.
func TestLeasesDaemonsWithoutLease(t *testing.T) {
	t.Parallel()
	longAgo := start.Add(-time.Hour)
	for name, test := range map[string]struct {
		prepare     func(leases *Leases)
		leaderSince time.Time
		now         time.Time
		want        []string
	}{
		"before any lease": {func(*Leases) {}, longAgo, start, []string{"d"}},
		"with a lease":     {func(leases *Leases) { grant(leases, start, 5) }, longAgo, start, nil},
		"with a lease that is about to expire": {func(leases *Leases) { grant(leases, start, 5) }, longAgo,
			start.Add(leaseLength - 1), nil},
		"with an expired lease": {func(leases *Leases) { grant(leases, start, 5) }, longAgo, start.Add(leaseLength),
			[]string{"d"}},
		"a new incarnation": {func(leases *Leases) {
			grant(leases, start, 5)
			leases.HandleRequest(start, "d", &wire.DaemonLeaseRequest{Incarnation: 9, Sequence: 5})
		}, longAgo, start, []string{"d"}},
		"a process that has ended": {func(leases *Leases) {
			grant(leases, start, 5)
			leases.ConnectionRefused("d", start.Add(1))
		}, longAgo, start.Add(1), []string{"d"}},
		"a head that is younger than a lease": {func(*Leases) {}, start.Add(-leaseLength + 1), start, nil},
	} {
		leases, _ := newLeases("d")
		test.prepare(leases)
		if got := leases.DaemonsWithoutLease(test.now, test.leaderSince); !slices.Equal(got, test.want) {
			t.Errorf("%s: daemons without a lease %v", name, got)
		}
	}
}

func TestLeasesHandleRequestIsBounded(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("")
	for number := range MaximumDaemons {
		leases.HandleRequest(start, string(rune(number+1000)), &wire.DaemonLeaseRequest{})
	}
	if leases.HandleRequest(start, "more", &wire.DaemonLeaseRequest{}) {
		t.Error("a daemon beyond MaximumDaemons was accepted")
	}
	if !leases.HandleRequest(start, string(rune(1000)), &wire.DaemonLeaseRequest{}) {
		t.Error("a request of a known daemon was rejected while the table is full")
	}
	leases.Reset()
	if len(leases.Active(start)) != 0 || !leases.FirstRequest().IsZero() {
		t.Error("daemons of the previous term remain after Reset")
	}
}

// A refused connection shows that a process has ended only if nothing was granted to it or heard from it since the
// attempt; later messages may come from a new process at the same address.
func TestLeasesConnectionRefused(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		address string
		tried   time.Time
		want    bool
	}{
		"a daemon that was heard since":          {"d", start, false},
		"a daemon that was not heard since":      {"d", start.Add(1), true},
		"a daemon of the directory, never heard": {"e", start.Add(1), true},
		"a process that is not of the directory": {"stranger", start.Add(1), false},
	} {
		leases, _ := newLeases("de")
		grant(leases, start, 5)
		if got := leases.ConnectionRefused(test.address, test.tried); got != test.want {
			t.Errorf("%s: ConnectionRefused returned %v", name, got)
		}
	}
}

func TestLeasesPrompt(t *testing.T) {
	t.Parallel()
	leases, outbox := newLeases("de")
	leases.ObserveCommit(start, 5)
	grant(leases, start, 5)
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{promptDelay - 1, 0}, {promptDelay, 1}} {
		leases.Prompt(leaderAt(start.Add(test.after)))
		messages, _ := outbox.Drain()
		if len(messages) != test.want || test.want == 1 && messages[0].To != "e" {
			t.Errorf("after %v: sent prompts %v", test.after, messages)
		}
	}
	if leases.IsPromptDue(start.Add(promptDelay + promptInterval - 1)) {
		t.Error("the next prompts are due before promptInterval has passed")
	}
}

func TestLeasesJoiningDaemons(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("d")
	request := &wire.DaemonLeaseRequest{Zone: "z"}
	for range joinRequests {
		leases.HandleRequest(start, "d", request)
		leases.HandleRequest(start, "new", request)
		leases.HandleRequest(start, "draining", &wire.DaemonLeaseRequest{Draining: true})
	}
	leases.HandleRequest(start, "once", request)
	joining := leases.JoiningDaemons(start, membertest.Daemons("d"))
	if len(joining) != 1 || joining[0].Address != "new" || joining[0].Zone != "z" {
		t.Errorf("joining %v, want only \"new\" in zone z", joining)
	}
	if got := leases.JoiningDaemons(start.Add(leaseDuration), nil); len(got) != 0 {
		t.Errorf("daemons that stopped making requests are listed: %v", got)
	}
}

// Silent daemons are removed from the directory, but never all of them: an empty directory would admit any daemon.
func TestLeasesExcludeMissing(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("")
	leases.HandleRequest(start.Add(time.Second), "e", &wire.DaemonLeaseRequest{})
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{missingAfter, 2}, {missingAfter + 1, 1}, {missingAfter + time.Minute, 2}} {
		if got := leases.ExcludeMissing(start.Add(test.after), start, membertest.Daemons("de")); len(got) != test.want {
			t.Errorf("after %v: remaining daemons %v", test.after, got)
		}
	}
}
