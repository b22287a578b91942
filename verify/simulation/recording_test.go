package simulation

import (
	"testing"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/linearizability"
	"wardtray/wire"
)

// historyWriter sends changes, reads while they are in flight, and retries changes sent at any time before.
type historyWriter struct {
	*Operators
	sent    []sentChange
	stopped bool
}

// sentChange is the first attempt of a change.
type sentChange struct {
	order   *Order
	request *wire.OperatorRequest
}

// historyInterval is the mean interval between two actions of a writer.
const historyInterval = 80 * time.Millisecond

func (writer *historyWriter) step() {
	if writer.stopped {
		return
	}
	world, cores := writer.world, writer.world.Cores()
	actions := []func(){writer.changeAndRead, writer.changeAndRead, writer.sendAnyAgain}
	actions[world.random.Intn(len(actions))]()
	world.Check.Send(world.pick(cores), &wire.OperatorRequest{Verb: proposal.VerbGet})
	world.After(time.Duration(1+world.random.Int63n(int64(2*historyInterval))), writer.step)
}

// changeAndRead sends a change, and reads from every control machine while it is in flight.
func (writer *historyWriter) changeAndRead() {
	world := writer.world
	order := writer.applyNewest()
	writer.sent = append(writer.sent, sentChange{order, writer.last})
	for _, core := range world.Cores() {
		world.After(time.Duration(world.random.Int63n(int64(20*time.Millisecond))), func() {
			world.Check.Send(core, &wire.OperatorRequest{Verb: proposal.VerbGet})
		})
	}
}

// sendAnyAgain retries a random change through a random control machine.
func (writer *historyWriter) sendAnyAgain() {
	world := writer.world
	if len(writer.sent) == 0 {
		return
	}
	again := writer.sent[world.random.Intn(len(writer.sent))]
	world.Check.Resend(world.pick(world.Cores()), again.order, again.request)
}

// runHistories runs a historyWriter while heads are cut off, killed and replaced, and checks nothing but the callers'
// history.
func runHistories(seed int64, shape Shape, faults []string) *World {
	world := NewDeployment(seed, shape)
	defer world.Close()
	world.Check.onlyHistories = true
	world.Run(bootstrapTime)
	writer := &historyWriter{Operators: newOperators(world, 0)}
	writer.step()
	scheduleFaults(world, 30*time.Second, faults, 2)
	world.Run(30*time.Second + time.Millisecond)
	writer.stopped = true
	world.Run(recoveryBound)
	readBack(world)
	world.Check.checkHistory()
	return world
}

// The callers' history is linearizable while control machines are cut off, frozen, killed, wiped or replaced.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	faults := []string{"core cut off", "core halved", "core link cut one way", "core mute", "core frozen", "head killed",
		"core wiped", "core replaced", "disk slow", "lossy network"}
	calls := 0
	for index := range 3 * seedCount(t) {
		world := runHistories(int64(index+1), []Shape{Guild, Ferries}[index%2], faults)
		for _, violation := range world.Check.Violations {
			t.Error(violation)
		}
		calls += world.Check.Verdict.Calls
	}
	t.Logf("%d calls checked", calls)
	if calls < 100 {
		t.Error("too few calls were checked")
	}
}

// A world's recording contains its calls, and an impossible history is reported as a violation.
func TestWorldIsChecked(t *testing.T) {
	t.Parallel()
	world := runHistories(1, Guild, []string{"core killed"})
	recording := world.Recording()
	reads := 0
	for _, call := range recording.Calls {
		if call.Kind == linearizability.KindRead && call.Answer == linearizability.AnswerDone {
			reads++
		}
	}
	if reads == 0 || len(recording.Known) == 0 {
		t.Fatalf("%d reads, %d operations known", reads, len(recording.Known))
	}
	for _, order := range world.Check.Orders {
		if order.isAccepted() {
			order.Epoch++
			break
		}
	}
	world.Check.checkHistory()
	if len(world.Check.Verdict.Broken) != 1 || len(world.Check.Violations) != 1 {
		t.Errorf("a history with a wrong epoch: %v, %v", world.Check.Verdict, world.Check.Violations)
	}
}
