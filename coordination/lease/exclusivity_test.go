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

// machine is one of five, each of which may be head, and an acceptor as well.
type machine struct {
	id      string
	lessee  *Lessee
	lessor  *Lessor
	view    uint64
	voted   bool
	cleared uint64
	up      bool
	// delay is added to the latency of this machine's messages; isolated is whether it learns no views.
	delay    time.Duration
	isolated bool
}

// message is one on its way, with what its arrival does.
type message struct {
	arrivesAt time.Time
	handle    func(now time.Time)
}

// heads and acceptorSets are the head and the acceptors of each view, in a cycle. Heads stay, leave, and come back.
var (
	heads        = []int{0, 0, 0, 1, 1, 2, 0, 0, 3, 1, 4, 4, 0, 2, 2}
	acceptorSets = [][]int{{0, 1, 2}, {0, 1, 2}, {0, 1, 3}, {0, 2, 3}, {1, 2, 3}, {1, 2, 4}, {0, 2, 4}}
)

func member(index int) *wire.Member {
	return &wire.Member{Id: fmt.Sprint("m", index), Address: fmt.Sprint("m", index)}
}

// viewAt returns the view of an epoch, with its terms.
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

// step is how much time passes between two moments of a trial.
const step = 4 * time.Millisecond

// trial is five machines that request leases while acceptors vote, learn and skip views, crash and restart, messages
// are delayed, and proof arrives that a head has moved on or is dead.
type trial struct {
	random   *rand.Rand
	now      time.Time
	machines []*machine
	messages []message
	// newest is the newest view that was chosen.
	newest uint64
	// last is the machine that held the lease last, at lastAt; -1 if none did.
	last   int
	lastAt time.Time
	// stepsPerVote is the number of steps between two votes of one acceptor, on average: calm spans, in which leases
	// are held, alternate with spans in which one view follows another.
	stepsPerVote int
	// handovers counts how often the lease changed hands, quick how often it did within half a lease.LessorTTL.
	handovers, quick int
}

func newTrial(seed int64) *trial {
	started := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewSource(seed))
	trial := &trial{random: random, now: started, newest: 1, last: -1, lastAt: started, stepsPerVote: 40}
	for index := range 5 {
		lessor := NewLessor(started, viewAt(1), 0)
		machine := &machine{id: member(index).Id, lessee: NewLessee(0), lessor: lessor, view: 1, up: true}
		trial.machines = append(trial.machines, machine)
	}
	return trial
}

// send calls handle when a message of a machine arrives, after a random latency and the machine's delay.
func (trial *trial) send(from *machine, handle func(now time.Time)) {
	latency := time.Duration(trial.random.Int63n(int64(20 * time.Millisecond)))
	trial.messages = append(trial.messages, message{trial.now.Add(from.delay + latency), handle})
}

// deliver handles every message that has arrived by now.
func (trial *trial) deliver() {
	due := trial.messages
	trial.messages = nil
	for _, pending := range due {
		if pending.arrivesAt.After(trial.now) {
			trial.messages = append(trial.messages, pending)
			continue
		}
		pending.handle(trial.now)
	}
}

// learn lets a machine learn a view and announce to the others that it acts under it.
func (trial *trial) learn(machine *machine, epoch uint64) {
	if epoch <= machine.view {
		return
	}
	machine.view, machine.voted = epoch, false
	machine.lessor.AdoptView(trial.now, viewAt(epoch))
	for _, other := range trial.machines {
		trial.send(machine, func(at time.Time) {
			if other.up {
				other.lessor.ObserveEpoch(at, machine.id, epoch)
			}
		})
	}
}

// disturb ends a calm span now and then: the present head is isolated for a while, and the others move on without it.
func (trial *trial) disturb() {
	if trial.random.Intn(60) == 0 {
		trial.stepsPerVote = 400
	}
	if trial.last >= 0 && trial.now.Equal(trial.lastAt.Add(step)) && trial.random.Intn(40) == 0 {
		trial.machines[trial.last].isolated, trial.stepsPerVote = true, 4
		if trial.random.Intn(3) == 0 {
			trial.machines[trial.last].up = false
		}
	}
}

// act lets a machine start, crash or slow down by chance, and do its work.
func (trial *trial) act(index int, machine *machine) {
	if !machine.up {
		if trial.random.Intn(20) == 0 {
			machine.up, machine.lessee = true, NewLessee(trial.random.Uint64())
			machine.lessor = NewLessor(trial.now, viewAt(machine.view), machine.cleared)
		}
		return
	}
	if trial.random.Intn(800) == 0 {
		machine.up = false
		return
	}
	if trial.random.Intn(200) == 0 {
		delay := time.Duration(trial.random.Int63n(int64(200 * time.Millisecond)))
		machine.delay = delay * time.Duration(trial.random.Intn(2))
		machine.isolated = false
	}
	if machine.lessor.CanGrant(trial.now, false) {
		machine.cleared = machine.lessor.Term()
	}
	trial.tryConnection(machine)
	if machine.isHead(index) && trial.random.Intn(4) == 0 {
		trial.requestLease(machine)
	}
}

// isHead reports whether the machine of an index is head of the view that it knows.
func (machine *machine) isHead(index int) bool {
	return heads[int(machine.view-1)%len(heads)] == index
}

// tryConnection tries to connect to another machine at this moment; the result arrives later.
func (trial *trial) tryConnection(machine *machine) {
	other, tried := trial.machines[trial.random.Intn(5)], trial.now
	if other.up {
		return
	}
	trial.send(machine, func(at time.Time) {
		if machine.up {
			machine.lessor.ObserveRefusal(at, other.id, tried)
		}
	})
}

// requestLease requests the lease of the acceptors of a head's view.
func (trial *trial) requestLease(machine *machine) {
	lessee, view := machine.lessee, machine.view
	nonce := lessee.Request(trial.now, view)
	for _, index := range acceptorsOf(view) {
		acceptor := trial.machines[index]
		trial.send(machine, func(then time.Time) {
			if acceptor.up && acceptor.view == view && acceptor.lessor.CanGrant(then, acceptor.voted) {
				trial.send(acceptor, func(at time.Time) { lessee.AddGrant(at, acceptor.id, view, nonce, 2) })
			}
		})
	}
}

// choose lets acceptors vote; once most of the newest view have, the next one is chosen, and some machines learn it.
func (trial *trial) choose() {
	voted := 0
	for _, index := range acceptorsOf(trial.newest) {
		if trial.machines[index].voted && trial.machines[index].view == trial.newest {
			voted++
		}
	}
	if voted >= 2 {
		trial.newest++
	}
	for index, machine := range trial.machines {
		if machine.up && !machine.isolated && trial.random.Intn(8) == 0 {
			trial.learn(machine, trial.newest)
		}
		for _, acceptor := range acceptorsOf(machine.view) {
			if machine.up && acceptor == index && machine.view == trial.newest && trial.random.Intn(trial.stepsPerVote) == 0 {
				machine.voted = true
			}
		}
	}
}

// holders returns the machines that hold a valid lease now.
func (trial *trial) holders() (indexes []int) {
	for index, machine := range trial.machines {
		if machine.up && machine.isHead(index) && machine.lessee.Valid(trial.now, machine.view) {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// count counts a handover where another machine holds the lease than before.
func (trial *trial) count(acting int) {
	if acting != trial.last {
		trial.handovers++
		if trial.now.Sub(trial.lastAt) < LessorTTL/2 {
			trial.quick++
		}
		trial.last = acting
	}
	trial.lastAt = trial.now
}

// run reports whether no two machines ever held the lease at once.
func (trial *trial) run() bool {
	for range 3000 {
		trial.now = trial.now.Add(step)
		trial.disturb()
		trial.deliver()
		for index, machine := range trial.machines {
			trial.act(index, machine)
		}
		trial.choose()
		holders := trial.holders()
		if len(holders) > 1 {
			return false
		}
		for _, acting := range holders {
			trial.count(acting)
		}
	}
	return true
}

// No two machines ever hold valid leases at once.
func TestLeasesOfTwoTermsNeverOverlap(t *testing.T) {
	handovers, quick := 0, 0
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("exclusive", prop.ForAll(func(seed int64) bool {
		trial := newTrial(seed)
		exclusive := trial.run()
		handovers, quick = handovers+trial.handovers, quick+trial.quick
		return exclusive
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("the lease changed hands %d times, %d of them quickly", handovers, quick)
	if handovers < 100 || quick < 20 {
		t.Fatalf("the lease changed hands only %d times, %d of them quickly", handovers, quick)
	}
}
