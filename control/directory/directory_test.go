package directory

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/membership/membertest"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

var start = time.Unix(1_700_000_000, 0)

// fixture is the directory and the learner of one process, with their dependencies. The chain consists of a and b.
type fixture struct {
	directory *Directory
	learner   *Learner
	agent     *view.Agent
	chain     *chain.Chain
	outbox    *statemachine.Outbox
}

func newFixture(self, directory string) *fixture {
	fixture := &fixture{outbox: statemachine.NewOutbox()}
	members := membertest.Members("ab")
	current := &wire.View{Epoch: 3, Chain: members, Acceptors: members, MinReplicas: 1}
	addressOf := func(member *wire.Member) string { return member.Address }
	fixture.chain = chain.New(self,
		&wire.Document{Sequence: 5, SpecEpoch: 5, Directory: membertest.Daemons(directory)}, nil, fixture.outbox, addressOf,
		func(time.Time, uint64) {})
	fixture.agent = view.NewAgent(start, self, current, nil, fixture.outbox, func(string) string { return "" },
		func(time.Time, *wire.View) {})
	random := rand.New(rand.NewSource(1))
	member := membertest.Member(self)
	partialView := peersampling.New(&wire.PeerDescriptor{Address: member.Address, Core: true}, nil, fixture.outbox, random)
	fixture.directory = New(member, fixture.agent, fixture.chain, fixture.outbox, random, partialView, addressOf)
	fixture.learner = NewLearner(fixture.agent, fixture.chain, addressOf)
	fixture.chain.Adopt(start, current)
	fixture.outbox.Drain()
	return fixture
}

// receiveGossip has the process receive a document by gossip.
func (fixture *fixture) receiveGossip(t *testing.T, document *wire.Document) {
	t.Helper()
	value, err := proto.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	entry := &wire.GossipEntry{Key: gossip.DocumentKey, Epoch: document.Sequence, Value: value}
	fixture.directory.Gossip().Put(start, entry, gossip.Hops)
}

func TestDirectoryNewestDocument(t *testing.T) {
	t.Parallel()
	for sequence, want := range map[uint64]uint64{4: 5, 5: 5, 6: 6} {
		fixture := newFixture("a", "d")
		fixture.receiveGossip(t, &wire.Document{Sequence: sequence, Directory: membertest.Daemons("de")})
		got := fixture.directory.NewestDocument()
		if got.Sequence != want || len(got.Directory) != int(want)-4 {
			t.Errorf("gossip of sequence %d: the newest document is %v", sequence, got)
		}
		if !fixture.directory.Contains(got, "d") || fixture.directory.Contains(got, "e") != (want == 6) {
			t.Errorf("gossip of sequence %d: Contains is wrong for d or e", sequence)
		}
	}
}

func TestDirectoryServingDaemons(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "de")
	got := fixture.directory.ServingDaemons([]string{"f", "d"}, []string{"e"})
	if !slices.Equal(got, []string{"d", "f"}) {
		t.Errorf("serving daemons %v, want d and f", got)
	}
}

func TestDirectoryHandleRequest(t *testing.T) {
	t.Parallel()
	fixture := newFixture("a", "d")
	fixture.directory.Publish(start)
	fixture.outbox.Drain()
	for sequence, want := range map[uint64]int{4: 1, 5: 0} {
		fixture.directory.HandleRequest("d", &wire.DocumentRequest{Sequence: sequence})
		messages, _ := fixture.outbox.Drain()
		if len(messages) != want {
			t.Errorf("a request of a daemon with sequence %d: sent %v", sequence, messages)
		}
	}
}

func TestDirectoryPartners(t *testing.T) {
	t.Parallel()
	partners := newFixture("a", "ed").directory.partners()
	addresses := make([]string, 0, len(partners))
	for _, partner := range partners {
		addresses = append(addresses, partner.Address)
	}
	if !slices.Equal(addresses, []string{"b:1", "d", "e"}) {
		t.Errorf("gossip partners %v, want b:1, d and e", addresses)
	}
}
