package simulation

import (
	"testing"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/linearizability"
	"wardtray/wire"
)

// historian sends changes, reads a moment after them, and sends changes again that were sent any time before.
type historian struct {
	*Operators
	sent    []sentChange
	stopped bool
}

// sentChange is a change as it was sent for the first time.
type sentChange struct {
	order   *Order
	request *wire.OperatorRequest
}

// historyInterval is about how often a historian does something.
const historyInterval = 80 * time.Millisecond

func (historian *historian) step() {
	if historian.stopped {
		return
	}
	world, cores := historian.world, historian.world.Cores()
	actions := []func(){historian.changeAndRead, historian.changeAndRead, historian.sendAnyAgain}
	actions[world.random.Intn(len(actions))]()
	world.Check.Send(world.pick(cores), &wire.OperatorRequest{Verb: proposal.VerbGet})
	world.After(time.Duration(1+world.random.Int63n(int64(2*historyInterval))), historian.step)
}

// changeAndRead sends a change, and reads from every core while it is on its way.
func (historian *historian) changeAndRead() {
	world := historian.world
	order := historian.applyNewest()
	historian.sent = append(historian.sent, sentChange{order, historian.last})
	for _, core := range world.Cores() {
		world.After(time.Duration(world.random.Int63n(int64(20*time.Millisecond))), func() {
			world.Check.Send(core, &wire.OperatorRequest{Verb: proposal.VerbGet})
		})
	}
}

// sendAnyAgain sends a change again, through any core.
func (historian *historian) sendAnyAgain() {
	world := historian.world
	if len(historian.sent) == 0 {
		return
	}
	again := historian.sent[world.random.Intn(len(historian.sent))]
	world.Check.Resend(world.pick(world.Cores()), again.order, again.request)
}

// playHistories plays operators who change, send again and read, through heads that are cut off, killed and replaced,
// and has nothing but what they saw judged.
func playHistories(seed int64, shape Shape, faults []string) *World {
	world := Found(seed, shape)
	defer world.Close()
	world.Check.onlyHistories = true
	world.Run(foundingTime)
	historian := &historian{Operators: newOperators(world, 0)}
	historian.step()
	scheduleFaults(world, 30*time.Second, faults, 2)
	world.Run(30*time.Second + time.Millisecond)
	historian.stopped = true
	world.Run(returnBound)
	readBack(world)
	world.Check.judge()
	return world
}

// What callers saw can be explained by a single machine, whatever happens to the heads.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	faults := []string{"core cut off", "core halved", "core link cut one way", "core mute", "core frozen", "head killed",
		"core wiped", "core replaced", "disk slow", "lossy network"}
	calls := 0
	for index := range 3 * seedCount(t) {
		world := playHistories(int64(index+1), []Shape{Guild, Ferries}[index%2], faults)
		for _, violation := range world.Check.Violations {
			t.Error(violation)
		}
		calls += world.Check.Verdict.Calls
	}
	t.Logf("%d calls judged", calls)
	if calls < 100 {
		t.Error("too few calls were judged")
	}
}

// A world's recording has its calls and sendings, and a history that can't be is noticed.
func TestWorldIsJudged(t *testing.T) {
	t.Parallel()
	world := playHistories(1, Guild, []string{"core killed"})
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
	world.Check.judge()
	if len(world.Check.Verdict.Broken) != 1 || len(world.Check.Violations) != 1 {
		t.Errorf("a history with a wrong epoch: %v, %v", world.Check.Verdict, world.Check.Violations)
	}
}
