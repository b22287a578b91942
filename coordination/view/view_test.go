package view

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// cluster simulates three acceptors that make competing proposals over a network that loses, repeats and reorders
// messages, while any of them may crash between two writes.
type cluster struct {
	random    *rand.Rand
	now       time.Time
	acceptors []*wire.Member
	agents    map[string]*Agent
	outbox    map[string]*statemachine.Outbox
	disks     map[string]*disk
	messages  []message
	// learned holds the learned view of each epoch.
	learned map[uint64]*wire.View
	t       *testing.T
	seed    int64
	// lossThreshold sets the loss rate: on average lossThreshold+1 of 6 messages are lost.
	lossThreshold int
}

// disk holds the synced records of an acceptor.
type disk struct {
	view *wire.View
	vote *wire.AcceptorState
}

// message is a message in flight.
type message struct {
	from, to string
	envelope *wire.Envelope
}

func newCluster(t *testing.T, seed int64) *cluster {
	t.Helper()
	cluster := &cluster{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), acceptors: threeMembers(),
		agents: map[string]*Agent{}, outbox: map[string]*statemachine.Outbox{}, disks: map[string]*disk{},
		learned: map[uint64]*wire.View{}, t: t, seed: seed, lossThreshold: int(seed % 4),
	}
	first := &wire.View{Epoch: 1, Fleet: "f", Acceptors: cluster.acceptors, Chain: cluster.acceptors}
	for _, acceptor := range cluster.acceptors {
		cluster.disks[acceptor.Id] = &disk{view: first}
		cluster.boot(acceptor.Id)
	}
	return cluster
}

func threeMembers() []*wire.Member {
	members := make([]*wire.Member, 3)
	for number := range members {
		name := fmt.Sprint("k", number)
		members[number] = &wire.Member{Id: name, Address: name}
	}
	return members
}

// addressOfID returns the address of a member, which in these tests is its id.
func addressOfID(id string) string { return id }

// boot starts or restarts an acceptor from the records on its disk.
func (cluster *cluster) boot(name string) {
	cluster.outbox[name] = statemachine.NewOutbox()
	stored := cluster.disks[name]
	cluster.agents[name] = NewAgent(cluster.now, name, stored.view, stored.vote, cluster.outbox[name], addressOfID,
		func(_ time.Time, view *wire.View) { cluster.learn(name, view) })
}

func (cluster *cluster) learn(name string, view *wire.View) {
	if other := cluster.learned[view.Epoch]; other != nil && !proto.Equal(other, view) {
		cluster.t.Fatalf("seed %d: %s learned a view of epoch %d that differs from another acceptor's",
			cluster.seed, name, view.Epoch)
	}
	cluster.learned[view.Epoch] = view
}

// drain sends an acceptor's messages and executes its writes; a crash at random drops the remaining ones.
func (cluster *cluster) drain(name string) {
	outbox := cluster.outbox[name]
	for {
		sent, writes := outbox.Drain()
		for _, outgoing := range sent {
			cluster.send(name, outgoing)
		}
		for _, write := range writes {
			if cluster.random.Intn(25) == 0 {
				cluster.boot(name)
				return
			}
			cluster.disks[name].store(write.Record)
			outbox.Done(cluster.now, write.Sequence)
		}
		if len(sent)+len(writes) == 0 {
			return
		}
	}
}

// send sends one or two copies of a message, each of which may be lost.
func (cluster *cluster) send(from string, outgoing statemachine.Message) {
	for range 1 + cluster.random.Intn(2) {
		if cluster.random.Intn(6) > cluster.lossThreshold {
			cluster.messages = append(cluster.messages, message{from: from, to: outgoing.To, envelope: outgoing.Envelope})
		}
	}
}

// store stores a record.
func (disk *disk) store(record *wire.Record) {
	if vote := record.GetAcceptorState(); vote != nil {
		disk.vote = vote
	}
	if view := record.GetView(); view != nil {
		disk.view = view
	}
}

func (cluster *cluster) deliver(message message) {
	// Views also contain chain members that are no acceptors; nothing listens at their addresses.
	if cluster.agents[message.to] == nil {
		return
	}
	dispatch(cluster, message)
	cluster.drain(message.to)
}

// kindOf returns the index of an envelope's handler in dispatch.
func kindOf(envelope *wire.Envelope) int {
	matches := []bool{
		envelope.GetViewPrepare() != nil, envelope.GetViewPromise() != nil,
		envelope.GetViewAccept() != nil, envelope.GetViewAccepted() != nil,
		envelope.GetViewRejected() != nil, envelope.GetViewUpdate() != nil, envelope.GetViewRequest() != nil,
	}
	for kind, is := range matches {
		if is {
			return kind
		}
	}
	return len(matches) - 1
}

// No two of three acceptors learn different views of one epoch, while they make competing proposals, crash and restart.
func TestAcceptorsNeverDisagree(t *testing.T) {
	views := 0
	for seed := int64(1); seed <= 600; seed++ {
		cluster := newCluster(t, seed)
		for step := range 1500 {
			cluster.now = cluster.now.Add(time.Millisecond)
			if cluster.random.Intn(30) == 0 {
				name := cluster.acceptors[cluster.random.Intn(3)].Id
				current := cluster.agents[name].Current()
				cluster.agents[name].Propose(cluster.now, &wire.View{
					Epoch: current.Epoch + 1, Fleet: "f", Acceptors: cluster.acceptors,
					Chain: []*wire.Member{{Id: fmt.Sprint(name, "-", step)}},
				})
				cluster.drain(name)
				continue
			}
			if cluster.random.Intn(30) == 0 {
				cluster.boot(cluster.acceptors[cluster.random.Intn(3)].Id)
			}
			if len(cluster.messages) > 0 {
				index := cluster.random.Intn(len(cluster.messages))
				message := cluster.messages[index]
				cluster.messages = append(cluster.messages[:index], cluster.messages[index+1:]...)
				cluster.deliver(message)
			}
		}
		views += len(cluster.learned)
	}
	if views < 1200 {
		t.Fatalf("%d views were chosen over all seeds, want at least 1200", views)
	}
}

// newFounders returns three agents without a view; onLearned is called for each view that one of them learns.
func newFounders(onLearned func()) (*cluster, []*wire.Member) {
	cluster := &cluster{
		now: time.Unix(0, 0), random: rand.New(rand.NewSource(1)), agents: map[string]*Agent{},
		outbox: map[string]*statemachine.Outbox{}, disks: map[string]*disk{},
	}
	founders := threeMembers()
	for _, founder := range founders {
		outbox := statemachine.NewOutbox()
		cluster.outbox[founder.Id] = outbox
		cluster.agents[founder.Id] = NewAgent(cluster.now, founder.Id, nil, nil, outbox, addressOfID,
			func(time.Time, *wire.View) { onLearned() })
	}
	return cluster, founders
}

// exchange executes all writes and delivers all messages but those to the unreachable agent.
func (cluster *cluster) exchange(founders []*wire.Member, unreachable string) {
	for _, founder := range founders {
		sent, writes := cluster.outbox[founder.Id].Drain()
		for _, write := range writes {
			cluster.outbox[founder.Id].Done(cluster.now, write.Sequence)
		}
		for _, outgoing := range sent {
			sent := message{from: founder.Id, to: outgoing.To, envelope: outgoing.Envelope}
			cluster.messages = append(cluster.messages, sent)
		}
	}
	messages := cluster.messages
	cluster.messages = nil
	for _, message := range messages {
		if message.to != unreachable {
			dispatch(cluster, message)
		}
	}
}

// The first view needs the votes of all founders: with one of them unreachable none is chosen. Otherwise two subsets of
// the founders could found two fleets. No founder has the number 3, so in that case all are reachable.
func TestFoundingNeedsEveryFounder(t *testing.T) {
	for unreachable := range 4 {
		learned := 0
		cluster, founders := newFounders(func() { learned++ })
		first := &wire.View{Epoch: 1, Fleet: "f", Chain: founders, Acceptors: founders}
		cluster.agents["k0"].Bootstrap(cluster.now, first, founders)
		for range 20 {
			cluster.exchange(founders, fmt.Sprint("k", unreachable))
		}
		if want := map[bool]int{true: 0, false: 3}[unreachable < 3]; learned != want {
			t.Errorf("founder %d unreachable: %d agents learned a view, want %d", unreachable, learned, want)
		}
	}
}

// dispatch passes a message to the handler of its kind.
func dispatch(cluster *cluster, message message) {
	agent, envelope := cluster.agents[message.to], message.envelope
	handlers := []func(){
		func() { agent.HandlePrepare(cluster.now, message.from, envelope.GetViewPrepare()) },
		func() { agent.HandlePromise(cluster.now, message.from, envelope.GetViewPromise()) },
		func() { agent.HandleAccept(cluster.now, message.from, envelope.GetViewAccept()) },
		func() { agent.HandleAccepted(cluster.now, message.from, envelope.GetViewAccepted()) },
		func() { agent.HandleRejected(envelope.GetViewRejected()) },
		func() { agent.Learn(cluster.now, envelope.GetViewUpdate().GetView()) },
		func() { agent.SendView(message.from) },
	}
	handlers[kindOf(envelope)]()
}

// An acceptor syncs each promise and vote before it sends it. Otherwise it could send a contradicting one after a
// crash.
func TestNothingIsSentBeforeItIsSynced(t *testing.T) {
	cluster := newCluster(t, 1)
	agent, outbox, proposal := cluster.agents["k0"], cluster.outbox["k0"], &wire.ProposalNumber{Round: 1, Proposer: "k1"}
	for name, receive := range map[string]func(){
		"promise": func() { agent.HandlePrepare(cluster.now, "k1", &wire.ViewPrepare{Instance: 2, Proposal: proposal}) },
		"vote": func() {
			value := &wire.View{Epoch: 2, Fleet: "f"}
			agent.HandleAccept(cluster.now, "k1", &wire.ViewAccept{Instance: 2, Proposal: proposal, Value: value})
		},
	} {
		receive()
		sent, writes := outbox.Drain()
		if len(sent) > 0 || len(writes) != 1 {
			t.Fatalf("%s: %d messages sent before %d requested writes are synced, want 0 and 1", name, len(sent), len(writes))
		}
		outbox.Done(cluster.now, writes[0].Sequence)
		if sent, _ := outbox.Drain(); len(sent) != 1 {
			t.Fatalf("%s: %d messages sent after the sync, want 1", name, len(sent))
		}
	}
}
