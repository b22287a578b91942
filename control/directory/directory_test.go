package directory

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/daemonlease"
	"wardtray/control/membership/membertest"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

// bench is a process of a chain of itself and b, with what a directory needs.
type bench struct {
	directory *Directory
	learner   *Learner
	agent     *view.Agent
	chain     *chain.Chain
	outbox    *statemachine.Outbox
}

func newBench(self, directory string) *bench {
	bench := &bench{outbox: statemachine.NewOutbox()}
	members := membertest.Members("ab")
	current := &wire.View{Epoch: 3, Chain: members, Acceptors: members, MinReplicas: 1}
	addressOf := func(member *wire.Member) string { return member.Address }
	bench.chain = chain.New(self, &wire.Document{Sequence: 5, SpecEpoch: 5, Directory: membertest.Daemons(directory)}, nil,
		bench.outbox, addressOf, func(time.Time, uint64) {})
	bench.agent = view.NewAgent(start, self, current, nil, bench.outbox, func(string) string { return "" },
		func(time.Time, *wire.View) {})
	random := rand.New(rand.NewSource(1))
	member := membertest.Member(self)
	partialView := peersampling.New(&wire.PeerDescriptor{Address: member.Address, Core: true}, nil, bench.outbox, random)
	bench.directory = New(member, bench.agent, bench.chain, bench.outbox, random, partialView, addressOf)
	bench.learner = NewLearner(bench.agent, bench.chain, addressOf)
	bench.chain.Adopt(start, current)
	bench.outbox.Drain()
	return bench
}

// gossiped lets gossip bring a document.
func (bench *bench) gossiped(t *testing.T, document *wire.Document) {
	t.Helper()
	value, err := proto.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	entry := &wire.GossipEntry{Key: gossip.DocumentKey, Epoch: document.Sequence, Value: value}
	bench.directory.Gossip().Put(start, entry, gossip.Hops)
}

func TestNewestIsOfHistoryOrGossip(t *testing.T) {
	t.Parallel()
	for sequence, want := range map[uint64]uint64{4: 5, 5: 5, 6: 6} {
		bench := newBench("a", "d")
		bench.gossiped(t, &wire.Document{Sequence: sequence, Directory: membertest.Daemons("de")})
		got := bench.directory.NewestDocument()
		if got.Sequence != want || len(got.Directory) != int(want)-4 {
			t.Errorf("gossip of %d: %v", sequence, got)
		}
		if !bench.directory.Contains(got, "d") || bench.directory.Contains(got, "e") != (want == 6) {
			t.Errorf("gossip of %d: contains", sequence)
		}
	}
}

func TestServingDaemons(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "de")
	got := bench.directory.ServingDaemons([]string{"f", "d"}, []string{"e"})
	if !slices.Equal(got, []string{"d", "f"}) {
		t.Errorf("%v", got)
	}
}

func TestRequestIsAnsweredWithANewerDocument(t *testing.T) {
	t.Parallel()
	bench := newBench("a", "d")
	bench.directory.Publish(start)
	bench.outbox.Drain()
	for sequence, want := range map[uint64]int{4: 1, 5: 0} {
		bench.directory.HandleRequest("d", &wire.DocumentRequest{Sequence: sequence})
		messages, _ := bench.outbox.Drain()
		if len(messages) != want {
			t.Errorf("a request of a daemon with %d: %v", sequence, messages)
		}
	}
}

func TestPartners(t *testing.T) {
	t.Parallel()
	partners := newBench("a", "ed").directory.partners()
	addresses := make([]string, 0, len(partners))
	for _, partner := range partners {
		addresses = append(addresses, partner.Address)
	}
	if !slices.Equal(addresses, []string{"b:1", "d", "e"}) {
		t.Errorf("%v", addresses)
	}
}

func TestLearnerAsksTheTail(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		self            string
		decommissioning bool
		want            int
	}{"outside": {"c", false, 1}, "inside": {"b", false, 0}, "decommissioned": {"c", true, 0}} {
		bench := newBench(test.self, "")
		bench.learner.Tick(start, test.decommissioning)
		bench.learner.Tick(start.Add(LearnInterval-1), test.decommissioning)
		messages, _ := bench.outbox.Drain()
		if len(messages) != test.want || test.want == 1 && messages[0].To != "b:1" {
			t.Errorf("%s: %v", name, messages)
		}
		bench.learner.Expedite()
		bench.learner.Tick(start.Add(LearnInterval-1), test.decommissioning)
		if messages, _ := bench.outbox.Drain(); len(messages) != test.want {
			t.Errorf("%s, expedited: %v", name, messages)
		}
	}
}

func TestUpdaterAddsAndRemoves(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		directory, requesting string
		acceptorsKnow         bool
		after                 time.Duration
		want                  string
	}{
		"a new daemon":                     {"d", "de", true, 0, "de"},
		"the last change is not delivered": {"d", "de", false, 0, ""},
		"nothing to change":                {"d", "d", true, 0, ""},
		"a missing daemon":                 {"df", "d", true, 2 * time.Minute, "d"},
		"the first, gathering":             {"", "d", true, firstDirectoryDelay - 1, ""},
		"the first":                        {"", "d", true, firstDirectoryDelay, "d"},
	} {
		bench := newBench("a", test.directory)
		leases := daemonlease.NewLeases(bench.chain, bench.outbox, time.Second, bench.agent.Current())
		now := start.Add(test.after)
		request := func(at time.Time) {
			for _, address := range test.requesting {
				leases.HandleRequest(at, string(address), &wire.DaemonLeaseRequest{Sequence: 5})
			}
		}
		request(start)
		request(now)
		if test.acceptorsKnow {
			leases.AcceptorReported("a", 5, start)
			leases.AcceptorReported("b", 5, start)
		}
		updater := NewUpdater(bench.chain, leases)
		updater.Tick(daemonlease.DeliveryContext{Now: now, Since: start, View: bench.agent.Current(),
			IsGrowing: func() bool { return false }})
		var addresses []string
		if pending := bench.chain.Pending(); len(pending) > 0 {
			for _, member := range pending[0].Directory {
				addresses = append(addresses, member.Address)
			}
		}
		if got := strings.Join(addresses, ""); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}
