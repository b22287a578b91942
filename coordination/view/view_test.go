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

// table is three acceptors that propose against each other over a network that loses, repeats and
// reorders, while any of them may lose its power between two writes.
type table struct {
	random    *rand.Rand
	now       time.Time
	acceptors []*wire.Member
	agents    map[string]*Agent
	outbox    map[string]*statemachine.Outbox
	disks     map[string]*disk
	mail      []mail
	learned   map[uint64]*wire.View
	t         *testing.T
	seed      int64
	// How many of six messages are lost.
	loss int
}

type disk struct {
	view *wire.View
	vote *wire.AcceptorState
}

type mail struct {
	from, to string
	envelope *wire.Envelope
}

func newTable(t *testing.T, seed int64) *table {
	made := &table{random: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), agents: map[string]*Agent{}, outbox: map[string]*statemachine.Outbox{},
		disks: map[string]*disk{}, learned: map[uint64]*wire.View{}, t: t, seed: seed, loss: int(seed % 4)}
	for number := range 3 {
		name := fmt.Sprint("k", number)
		made.acceptors = append(made.acceptors, &wire.Member{Id: name, Address: name})
	}
	first := &wire.View{Epoch: 1, Fleet: "f", Acceptors: made.acceptors, Chain: made.acceptors}
	for _, acceptor := range made.acceptors {
		made.disks[acceptor.Id] = &disk{view: first}
		made.boot(acceptor.Id)
	}
	return made
}

// boot starts a acceptor from what its disk holds.
func (table *table) boot(name string) {
	table.outbox[name] = statemachine.NewOutbox()
	held := table.disks[name]
	table.agents[name] = NewAgent(table.now, name, held.view, held.vote, table.outbox[name], func(id string) string { return id },
		func(_ time.Time, view *wire.View) { table.learn(name, view) })
}

func (table *table) learn(name string, view *wire.View) {
	if other := table.learned[view.Epoch]; other != nil && !proto.Equal(other, view) {
		table.t.Fatalf("seed %d: %s learned another view %d than others", table.seed, name, view.Epoch)
	}
	table.learned[view.Epoch] = view
}

// drain sends a acceptor's messages and carries out its writes, of which the power may cut off the rest.
func (table *table) drain(name string) {
	outbox := table.outbox[name]
	for {
		parcels, writes := outbox.Drain()
		for _, parcel := range parcels {
			table.send(name, parcel)
		}
		for _, write := range writes {
			if table.random.Intn(25) == 0 {
				table.boot(name)
				return
			}
			table.disks[name].store(write.Record)
			outbox.Done(table.now, write.Sequence)
		}
		if len(parcels)+len(writes) == 0 {
			return
		}
	}
}

// send puts a message into the mail once or twice, unless it is lost.
func (table *table) send(from string, parcel statemachine.Message) {
	for range 1 + table.random.Intn(2) {
		if table.random.Intn(6) > table.loss {
			table.mail = append(table.mail, mail{from: from, to: parcel.To, envelope: parcel.Envelope})
		}
	}
}

// store writes a record.
func (disk *disk) store(record *wire.Record) {
	if vote := record.GetAcceptorState(); vote != nil {
		disk.vote = vote
	}
	if view := record.GetView(); view != nil {
		disk.view = view
	}
}

func (table *table) deliver(mail mail) {
	// Views name chain members that are no acceptors; nobody stands behind those here.
	if table.agents[mail.to] == nil {
		return
	}
	deliverOnly(table, mail)
	table.drain(mail.to)
}

func kindOf(envelope *wire.Envelope) int {
	held := []bool{envelope.GetViewPrepare() != nil, envelope.GetViewPromise() != nil, envelope.GetViewAccept() != nil, envelope.GetViewAccepted() != nil,
		envelope.GetViewRejected() != nil, envelope.GetViewUpdate() != nil, envelope.GetViewRequest() != nil}
	for kind, is := range held {
		if is {
			return kind
		}
	}
	return len(held) - 1
}

// Whatever three acceptors propose against each other, no two learn different views of one epoch.
func TestAcceptorsNeverDisagree(t *testing.T) {
	views := 0
	for seed := int64(1); seed <= 600; seed++ {
		table := newTable(t, seed)
		for step := range 1500 {
			table.now = table.now.Add(time.Millisecond)
			if table.random.Intn(30) == 0 {
				name := table.acceptors[table.random.Intn(3)].Id
				current := table.agents[name].Current()
				table.agents[name].Propose(table.now, &wire.View{Epoch: current.Epoch + 1, Fleet: "f", Acceptors: table.acceptors,
					Chain: []*wire.Member{{Id: fmt.Sprint(name, "-", step)}}})
				table.drain(name)
				continue
			}
			if table.random.Intn(30) == 0 {
				table.boot(table.acceptors[table.random.Intn(3)].Id)
			}
			if len(table.mail) > 0 {
				place := table.random.Intn(len(table.mail))
				mail := table.mail[place]
				table.mail = append(table.mail[:place], table.mail[place+1:]...)
				table.deliver(mail)
			}
		}
		views += len(table.learned)
	}
	if views < 1200 {
		t.Fatalf("only %d views were agreed over all seeds; nothing was put to the test", views)
	}
}

// newFounders makes three agents without a view; found is called for each view that one of them learns.
func newFounders(found func()) (*table, []*wire.Member) {
	made := &table{now: time.Unix(0, 0), agents: map[string]*Agent{}, random: rand.New(rand.NewSource(1)), outbox: map[string]*statemachine.Outbox{}, disks: map[string]*disk{}}
	var founders []*wire.Member
	for number := range 3 {
		name := fmt.Sprint("k", number)
		founders = append(founders, &wire.Member{Id: name, Address: name})
		made.outbox[name] = statemachine.NewOutbox()
		made.agents[name] = NewAgent(made.now, name, nil, nil, made.outbox[name], func(id string) string { return id },
			func(time.Time, *wire.View) { found() })
	}
	return made, founders
}

// exchange carries out all writes and delivers all mail but that to one agent.
func (table *table) exchange(founders []*wire.Member, silent string) {
	for _, founder := range founders {
		parcels, writes := table.outbox[founder.Id].Drain()
		for _, write := range writes {
			table.outbox[founder.Id].Done(table.now, write.Sequence)
		}
		for _, parcel := range parcels {
			table.mail = append(table.mail, mail{from: founder.Id, to: parcel.To, envelope: parcel.Envelope})
		}
	}
	mails := table.mail
	table.mail = nil
	for _, mail := range mails {
		if mail.to != silent {
			deliverOnly(table, mail)
		}
	}
}

// The first view needs every founder: with one of them silent there is none. Nobody has the number 3.
func TestFoundingNeedsEveryFounder(t *testing.T) {
	for silent := range 4 {
		learned := 0
		table, founders := newFounders(func() { learned++ })
		table.agents["k0"].Found(table.now, &wire.View{Epoch: 1, Fleet: "f", Chain: founders, Acceptors: founders}, founders)
		for range 20 {
			table.exchange(founders, fmt.Sprint("k", silent))
		}
		if want := map[bool]int{true: 0, false: 3}[silent < 3]; learned != want {
			t.Errorf("founder %d silent: %d learned a view, not %d", silent, learned, want)
		}
	}
}

func deliverOnly(table *table, mail mail) {
	agent, envelope := table.agents[mail.to], mail.envelope
	takes := []func(){
		func() { agent.Prepare(table.now, mail.from, envelope.GetViewPrepare()) },
		func() { agent.Promise(table.now, mail.from, envelope.GetViewPromise()) },
		func() { agent.Accept(table.now, mail.from, envelope.GetViewAccept()) },
		func() { agent.Accepted(table.now, mail.from, envelope.GetViewAccepted()) },
		func() { agent.Refused(envelope.GetViewRejected()) },
		func() { agent.Learn(table.now, envelope.GetViewUpdate().GetView()) },
		func() { agent.Tell(mail.from) },
	}
	takes[kindOf(envelope)]()
}

// What a acceptor says must be on its disk first, or a power cut would let it say the contrary.
func TestNothingIsToldBeforeItIsSynced(t *testing.T) {
	table := newTable(t, 1)
	agent, outbox, ballot := table.agents["k0"], table.outbox["k0"], &wire.ProposalNumber{Round: 1, Proposer: "k1"}
	for name, ask := range map[string]func(){
		"promise": func() { agent.Prepare(table.now, "k1", &wire.ViewPrepare{Instance: 2, Proposal: ballot}) },
		"vote": func() {
			agent.Accept(table.now, "k1", &wire.ViewAccept{Instance: 2, Proposal: ballot, Value: &wire.View{Epoch: 2, Fleet: "f"}})
		},
	} {
		ask()
		parcels, writes := outbox.Drain()
		if len(parcels) > 0 || len(writes) != 1 {
			t.Fatalf("%s: %d messages before %d writes", name, len(parcels), len(writes))
		}
		outbox.Done(table.now, writes[0].Sequence)
		if parcels, _ := outbox.Drain(); len(parcels) != 1 {
			t.Fatalf("%s: %d messages after the sync", name, len(parcels))
		}
	}
}
