package chain

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

var startTime = time.Unix(1_700_000_000, 0)

// cluster is a chain whose messages and disk writes the test delivers and completes explicitly.
type cluster struct {
	now      time.Time
	chains   map[string]*Chain
	outbox   map[string]*statemachine.Outbox
	writes   map[string][]statemachine.Write
	messages []message
	commits  map[string]uint64
}

// message is a message in flight.
type message struct {
	from, to string
	envelope *wire.Envelope
}

func newCluster(names ...string) *cluster {
	cluster := newEmptyCluster()
	for _, name := range names {
		cluster.add(name)
	}
	cluster.adopt(1, names...)
	return cluster
}

func newEmptyCluster() *cluster {
	return &cluster{
		now: startTime, chains: map[string]*Chain{}, outbox: map[string]*statemachine.Outbox{},
		writes: map[string][]statemachine.Write{}, commits: map[string]uint64{},
	}
}

func (cluster *cluster) add(name string) { cluster.addWith(name, nil) }

// addWith adds a member that is restored from a document and the pending entries after it.
func (cluster *cluster) addWith(name string, document *wire.Document, pending ...*wire.Entry) {
	cluster.outbox[name] = statemachine.NewOutbox()
	address := func(member *wire.Member) string { return member.Id }
	cluster.chains[name] = New(name, document, pending, cluster.outbox[name], address,
		func(_ time.Time, sequence uint64) { cluster.commits[name] = sequence })
}

// adopt makes all members adopt a view in which a change needs a single replica.
func (cluster *cluster) adopt(epoch uint64, names ...string) { cluster.adoptWith(1, epoch, names...) }

// adoptWith makes all members adopt a view in which a change needs minReplicas replicas.
func (cluster *cluster) adoptWith(minReplicas uint32, epoch uint64, names ...string) {
	view := &wire.View{Epoch: epoch, MinReplicas: minReplicas}
	for _, name := range names {
		view.Chain = append(view.Chain, &wire.Member{Id: name, Address: name})
	}
	for _, chain := range cluster.chains {
		chain.Adopt(cluster.now, view)
	}
}

// gather collects the messages and disk writes from the members' outboxes.
func (cluster *cluster) gather() {
	for name, outbox := range cluster.outbox {
		sent, writes := outbox.Drain()
		for _, outgoing := range sent {
			received := message{name, outgoing.To, proto.CloneOf(outgoing.Envelope)}
			cluster.messages = append(cluster.messages, received)
		}
		cluster.writes[name] = append(cluster.writes[name], writes...)
	}
}

// sync completes all of a member's outstanding disk writes.
func (cluster *cluster) sync(name string) {
	cluster.gather()
	for _, write := range cluster.writes[name] {
		cluster.outbox[name].Done(cluster.now, write.Sequence)
	}
	cluster.writes[name] = nil
	cluster.gather()
}

// deliver delivers messages, and those sent in response, until none is in flight.
func (cluster *cluster) deliver() {
	cluster.gather()
	for len(cluster.messages) > 0 {
		message := cluster.messages[0]
		cluster.messages = cluster.messages[1:]
		cluster.handle(message)
		cluster.gather()
	}
}

func (cluster *cluster) handle(message message) {
	chain, envelope := cluster.chains[message.to], message.envelope
	if forward := envelope.GetChainForward(); forward != nil {
		chain.HandleForward(cluster.now, message.from, forward)
	}
	if ack := envelope.GetChainAck(); ack != nil {
		chain.HandleAck(cluster.now, message.from, ack)
		chain.HandleAlignment(cluster.now, message.from, ack)
	}
	if request := envelope.GetLearnRequest(); request != nil {
		chain.HandleLearnRequest(message.from, request)
	}
	if response := envelope.GetLearnResponse(); response != nil {
		chain.HandleLearnResponse(cluster.now, response)
	}
}

func change(number int) *wire.Entry {
	return &wire.Entry{
		ChangesSpec: true, Operation: fmt.Sprint("o", number),
		SpecEpoch: uint64(number), Spec: []byte(strconv.Itoa(number)),
	}
}

// newSingle returns a chain of one member, which is restored from a document if one is given.
func newSingle(documents ...*wire.Document) *cluster {
	cluster := newEmptyCluster()
	cluster.add("a")
	if len(documents) > 0 {
		cluster.addWith("a", documents[0])
	}
	cluster.adopt(1, "a")
	return cluster
}

// newSingleWith returns a chain of one member that has committed a number of changes.
func newSingleWith(changes int) *cluster {
	document := &wire.Document{}
	for number := 1; number <= changes; number++ {
		outcome := outcomeOf(change(number))
		outcome.Sequence = uint64(number)
		document.Outcomes = append(document.Outcomes, outcome)
	}
	document.Sequence, document.SpecEpoch = uint64(changes), uint64(changes)
	return newSingle(document)
}

// submitOperation looks up and submits a change at the only member "a", as an operator's request does, and syncs it.
func submitOperation(tb testing.TB, cluster *cluster, number int) {
	tb.Helper()
	chain := cluster.chains["a"]
	if chain.Latest() == nil || chain.Outcome(fmt.Sprint("o", number)) != nil {
		tb.Fatalf("operation o%d has an outcome already", number)
	}
	if err := chain.Submit(cluster.now, change(number)); err != nil {
		tb.Fatal(err)
	}
	cluster.sync("a")
	cluster.messages = nil
}

// submitAndSync submits a change at the head "a" and syncs it there.
func submitAndSync(t *testing.T, cluster *cluster, number int) {
	t.Helper()
	if err := cluster.chains["a"].Submit(cluster.now, change(number)); err != nil {
		t.Fatal(err)
	}
	cluster.sync("a")
}
