package simulation

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/proposal"
	"wardtray/wire"
)

const (
	// maximumInFlight is the number of changes that may be in flight at once.
	maximumInFlight = 8
	writerInterval  = 100 * time.Millisecond
	// answerTimeout is the time for which an operator waits for an answer before it sends the same change again, to
	// another control machine; retryGrowth is added to that time with each further retry.
	answerTimeout  = time.Second
	retryGrowth    = 200 * time.Millisecond
	maximumRetries = 12
)

// ConcurrentWriters are operators who send conflicting changes, read, and send a change again, unchanged, if they got
// no answer. They send to any control machine that was not removed, whether it reaches the others or not.
type ConcurrentWriters struct {
	world    *World
	inFlight []*unansweredOrder
	number   int
	stopped  bool
	// LostAnswers is the fraction of the answers that never reach the operator.
	LostAnswers float64
	// Every is the interval between two pairs of conflicting changes; 0: as soon as two more changes may be in flight.
	Every   time.Duration
	started time.Time
	// Sent and Resent count changes and their retries.
	Sent, Resent int
}

// unansweredOrder is a change whose operator waits for its answer.
type unansweredOrder struct {
	request *wire.OperatorRequest
	order   *Order
	retries int
}

// startConcurrentWriters starts writers with this interval between conflicting changes and this fraction of lost
// answers.
func startConcurrentWriters(world *World, every time.Duration, lostAnswers float64) *ConcurrentWriters {
	writers := &ConcurrentWriters{world: world, number: 3_000_000, Every: every, LostAnswers: lostAnswers}
	writers.step()
	return writers
}

// Stop ends new changes and retries.
func (writers *ConcurrentWriters) Stop() { writers.stopped = true }

func (writers *ConcurrentWriters) step() {
	if writers.stopped {
		return
	}
	writers.retryUnanswered()
	world := writers.world
	if len(writers.inFlight) <= maximumInFlight-2 && world.Now.Sub(writers.started) >= writers.Every {
		writers.started = world.Now
		writers.sendConflicting()
	}
	if world.random.Intn(3) == 0 {
		world.Check.Send(world.pick(world.Cores()), &wire.OperatorRequest{Verb: proposal.VerbGet})
	}
	world.After(writerInterval, writers.step)
}

// sendConflicting sends two changes with the same base.
func (writers *ConcurrentWriters) sendConflicting() {
	base := writers.world.Check.outcomes.greatestCommitted()
	epoch := base + 1 + uint64(writers.world.random.Intn(3))
	for range 2 {
		writers.number++
		writers.Sent++
		request := &wire.OperatorRequest{
			Verb:      proposal.VerbApply,
			Spec:      SpecText(writers.number),
			Operation: fmt.Sprintf("o%d", writers.number),
			Base:      base,
			HasBase:   true,
			Epoch:     epoch,
			HasEpoch:  true,
		}
		order := writers.world.Check.Send(writers.world.pick(writers.world.Cores()), proto.CloneOf(request))
		writers.inFlight = append(writers.inFlight, &unansweredOrder{request: request, order: order})
	}
}

// retryUnanswered drops the changes whose answer has arrived, and retries those whose operator has waited long enough.
func (writers *ConcurrentWriters) retryUnanswered() {
	var waiting []*unansweredOrder
	for _, pending := range writers.inFlight {
		if !writers.isFinished(pending) {
			waiting = append(waiting, pending)
		}
	}
	writers.inFlight = waiting
}

// isFinished reports whether a change needs no further action; it retries an unanswered change whose timeout has
// passed.
func (writers *ConcurrentWriters) isFinished(pending *unansweredOrder) bool {
	world := writers.world
	answered := pending.order.isAnswered()
	if answered && world.random.Float64() >= writers.LostAnswers {
		return true
	}
	if answered {
		// The answer is lost: the operator never learns the result of this attempt.
		pending.order = &Order{Operation: pending.order.Operation, Outcome: proposal.OutcomeUnknown, Sent: pending.order.Sent}
	}
	if world.Now.Sub(pending.order.Sent) < answerTimeout+time.Duration(pending.retries)*retryGrowth {
		return false
	}
	if pending.retries >= maximumRetries {
		return true
	}
	pending.retries++
	writers.Resent++
	pending.order = world.Check.Resend(world.pick(world.Cores()), pending.order, pending.request)
	return false
}
