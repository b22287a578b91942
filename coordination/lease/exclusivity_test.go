package lease

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wardtray/wire"
)

// machine is one of five machines, each of which may be head and acceptor.
type machine struct {
	id      string
	lessee  *Lessee
	lessor  *Lessor
	view    uint64
	voted   bool
	cleared uint64
	up      bool
	// delay is added to the latency of this machine's messages. An isolated machine learns no views.
	delay    time.Duration
	isolated bool
}

// message is a message in flight, with the function that handles its arrival.
type message struct {
	arrivesAt time.Time
	handle    func(now time.Time)
}

// heads and acceptorSets hold the head and the acceptors of successive views, cyclically. A head may stay for several
// views, be replaced and become head again.
var (
	heads        = []int{0, 0, 0, 1, 1, 2, 0, 0, 3, 1, 4, 4, 0, 2, 2}
	acceptorSets = [][]int{{0, 1, 2}, {0, 1, 2}, {0, 1, 3}, {0, 2, 3}, {1, 2, 3}, {1, 2, 4}, {0, 2, 4}}
)

func member(index int) *wire.Member {
	return &wire.Member{Id: fmt.Sprint("m", index), Address: fmt.Sprint("m", index)}
}

// viewAt returns the view of an epoch, with its leadership terms.
func viewAt(epoch uint64) *wire.View {
	view := &wire.View{Epoch: 1, HeadTerm: 1, Chain: []*wire.Member{member(heads[0])}}
	for next := uint64(2); next <= epoch; next++ {
		head := member(heads[int(next-1)%len(heads)])
		if head.Id != view.Chain[0].Id {
			view.PreviousHead, view.PreviousTerm, view.HeadTerm = view.Chain[0], view.HeadTerm, next
		}
		view.Epoch, view.Chain = next, []*wire.Member{head}
	}
	return view
}

func acceptorsOf(epoch uint64) []int { return acceptorSets[int(epoch-1)%len(acceptorSets)] }

// step is the simulated time between two steps of a run.
const step = 4 * time.Millisecond

// simulation simulates five machines that request leases while acceptors vote, learn and skip views, machines crash and
// restart, messages are delayed, and acceptors receive proof that a previous head has adopted the new term or is down.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	machines []*machine
	messages []message
	// newest is the epoch of the newest view that was chosen.
	newest uint64
	// lastHolder is the index of the machine that held the lease last, at lastHeldAt; -1 if none did.
	lastHolder int
	lastHeldAt time.Time
	// stepsPerVote is the average number of steps between two votes of one acceptor. Stable periods, in which leases are
	// held, alternate with periods in which views change quickly.
	stepsPerVote int
	// handovers counts the changes of the lease holder, quickHandovers those within LessorTTL/2 of the previous holder's
	// lease.
	handovers, quickHandovers int
}

func newSimulation(seed int64) *simulation {
	started := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewSource(seed))
	simulation := &simulation{
		random: random, now: started, newest: 1, lastHolder: -1, lastHeldAt: started, stepsPerVote: 40,
	}
	for index := range 5 {
		lessor := NewLessor(started, viewAt(1), 0)
		machine := &machine{id: member(index).Id, lessee: NewLessee(0), lessor: lessor, view: 1, up: true}
		simulation.machines = append(simulation.machines, machine)
	}
	return simulation
}

// send calls handle when a message of a machine arrives, after a random latency and the machine's delay.
func (simulation *simulation) send(from *machine, handle func(now time.Time)) {
	latency := time.Duration(simulation.random.Int63n(int64(20 * time.Millisecond)))
	simulation.messages = append(simulation.messages, message{simulation.now.Add(from.delay + latency), handle})
}

// deliver handles every message whose arrival time has passed.
func (simulation *simulation) deliver() {
	due := simulation.messages
	simulation.messages = nil
	for _, pending := range due {
		if pending.arrivesAt.After(simulation.now) {
			simulation.messages = append(simulation.messages, pending)
			continue
		}
		pending.handle(simulation.now)
	}
}

// learn makes a machine adopt a view and announce to the others that it acts under it.
func (simulation *simulation) learn(machine *machine, epoch uint64) {
	if epoch <= machine.view {
		return
	}
	machine.view, machine.voted = epoch, false
	machine.lessor.AdoptView(simulation.now, viewAt(epoch))
	for _, other := range simulation.machines {
		simulation.send(machine, func(at time.Time) {
			if other.up {
				other.lessor.ObserveEpoch(at, machine.id, epoch)
			}
		})
	}
}

// disrupt starts stable periods at random, and ends some: it isolates the lease holder, which may also crash, so that
// the others choose new views without it.
func (simulation *simulation) disrupt() {
	if simulation.random.Intn(60) == 0 {
		simulation.stepsPerVote = 400
	}
	if simulation.lastHolder >= 0 && simulation.now.Equal(simulation.lastHeldAt.Add(step)) &&
		simulation.random.Intn(40) == 0 {
		simulation.machines[simulation.lastHolder].isolated, simulation.stepsPerVote = true, 4
		if simulation.random.Intn(3) == 0 {
			simulation.machines[simulation.lastHolder].up = false
		}
	}
}

// stepMachine restarts, crashes or delays a machine at random; a running machine also tries a connection and requests
// the lease.
func (simulation *simulation) stepMachine(index int, machine *machine) {
	if !machine.up {
		if simulation.random.Intn(20) == 0 {
			machine.up, machine.lessee = true, NewLessee(simulation.random.Uint64())
			machine.lessor = NewLessor(simulation.now, viewAt(machine.view), machine.cleared)
		}
		return
	}
	if simulation.random.Intn(800) == 0 {
		machine.up = false
		return
	}
	if simulation.random.Intn(200) == 0 {
		delay := time.Duration(simulation.random.Int63n(int64(200 * time.Millisecond)))
		machine.delay = delay * time.Duration(simulation.random.Intn(2))
		machine.isolated = false
	}
	if machine.lessor.CanGrant(simulation.now, false) {
		machine.cleared = machine.lessor.Term()
	}
	simulation.tryConnection(machine)
	if machine.isHead(index) && simulation.random.Intn(4) == 0 {
		simulation.requestLease(machine)
	}
}

// isHead reports whether the machine, which has this index, is head of the view that it knows.
func (machine *machine) isHead(index int) bool {
	return heads[int(machine.view-1)%len(heads)] == index
}

// tryConnection tries to connect to another machine at this moment; the result arrives later.
func (simulation *simulation) tryConnection(machine *machine) {
	other, tried := simulation.machines[simulation.random.Intn(5)], simulation.now
	if other.up {
		return
	}
	simulation.send(machine, func(at time.Time) {
		if machine.up {
			machine.lessor.ObserveConnectionRefused(at, other.id, tried)
		}
	})
}

// requestLease requests the lease from the acceptors of a head's view.
func (simulation *simulation) requestLease(machine *machine) {
	lessee, view := machine.lessee, machine.view
	nonce := lessee.Request(simulation.now, view)
	for _, index := range acceptorsOf(view) {
		acceptor := simulation.machines[index]
		simulation.send(machine, func(then time.Time) {
			if acceptor.up && acceptor.view == view && acceptor.lessor.CanGrant(then, acceptor.voted) {
				simulation.send(acceptor, func(at time.Time) { lessee.AddGrant(at, acceptor.id, view, nonce, 2) })
			}
		})
	}
}

// chooseView makes acceptors vote at random. Once a majority of the newest view has voted, the next view is chosen, and
// some machines learn it.
func (simulation *simulation) chooseView() {
	voted := 0
	for _, index := range acceptorsOf(simulation.newest) {
		if simulation.machines[index].voted && simulation.machines[index].view == simulation.newest {
			voted++
		}
	}
	if voted >= 2 {
		simulation.newest++
	}
	for index, machine := range simulation.machines {
		if machine.up && !machine.isolated && simulation.random.Intn(8) == 0 {
			simulation.learn(machine, simulation.newest)
		}
		for _, acceptor := range acceptorsOf(machine.view) {
			if machine.up && acceptor == index && machine.view == simulation.newest &&
				simulation.random.Intn(simulation.stepsPerVote) == 0 {
				machine.voted = true
			}
		}
	}
}

// holders returns the machines that hold a valid lease now.
func (simulation *simulation) holders() (indexes []int) {
	for index, machine := range simulation.machines {
		if machine.up && machine.isHead(index) && machine.lessee.Valid(simulation.now, machine.view) {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// countHandover counts a handover if the lease holder is another machine than before.
func (simulation *simulation) countHandover(holder int) {
	if holder != simulation.lastHolder {
		simulation.handovers++
		if simulation.now.Sub(simulation.lastHeldAt) < LessorTTL/2 {
			simulation.quickHandovers++
		}
		simulation.lastHolder = holder
	}
	simulation.lastHeldAt = simulation.now
}

// run simulates 3000 steps. It returns false if two machines hold valid leases at the same time, and true otherwise.
func (simulation *simulation) run() bool {
	for range 3000 {
		simulation.now = simulation.now.Add(step)
		simulation.disrupt()
		simulation.deliver()
		for index, machine := range simulation.machines {
			simulation.stepMachine(index, machine)
		}
		simulation.chooseView()
		holders := simulation.holders()
		if len(holders) > 1 {
			return false
		}
		for _, holder := range holders {
			simulation.countHandover(holder)
		}
	}
	return true
}

// No two machines ever hold valid leases at once, while views change, machines crash, miss views and restart,
// and messages are delayed. Two heads could otherwise both commit changes.
func TestLeasesOfTwoTermsNeverOverlap(t *testing.T) {
	handovers, quickHandovers := 0, 0
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("exclusive", prop.ForAll(func(seed int64) bool {
		simulation := newSimulation(seed)
		exclusive := simulation.run()
		handovers, quickHandovers = handovers+simulation.handovers, quickHandovers+simulation.quickHandovers
		return exclusive
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("%d lease handovers, %d of them quick", handovers, quickHandovers)
	if handovers < 100 || quickHandovers < 20 {
		t.Fatalf("%d lease handovers, %d of them quick, want at least 100 and 20", handovers, quickHandovers)
	}
}
