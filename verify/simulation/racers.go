package simulation

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/proposal"
	"wardtray/wire"
)

const (
	// maximumInFlight is how many orders may be under way at once.
	maximumInFlight = 8
	racerEvery      = 100 * time.Millisecond
	// answerTimeout is how long an operator waits for an answer before it sends the same order again, to another core
	// machine, and retryGrowth by how much more at each further try.
	answerTimeout  = time.Second
	retryGrowth    = 200 * time.Millisecond
	maximumRetries = 12
)

// Racers are operators who build on the same versions at once, read, and send the same order again, unchanged, where
// they got no answer. They ask any core machine that is not gone, whatever stands between it and the others.
type Racers struct {
	world    *World
	inFlight []*racedOrder
	number   int
	stopped  bool
	// LostAnswers is the part of the answers that never reach the operator.
	LostAnswers float64
	// Every is after what time a new race begins; 0: as soon as there is room for two more orders.
	Every   time.Duration
	started time.Time
	// Sent and Resent count orders and their repeats.
	Sent, Resent int
}

// racedOrder is an order whose operator waits for its answer.
type racedOrder struct {
	request *wire.OperatorRequest
	order   *Order
	tries   int
}

// startRacers has operators begin a race every so often, of whose answers a part is lost, from now on.
func startRacers(world *World, every time.Duration, lostAnswers float64) *Racers {
	racers := &Racers{world: world, number: 3_000_000, Every: every, LostAnswers: lostAnswers}
	racers.step()
	return racers
}

// Stop ends new races and repeats.
func (racers *Racers) Stop() { racers.stopped = true }

func (racers *Racers) step() {
	if racers.stopped {
		return
	}
	racers.followUp()
	world := racers.world
	if len(racers.inFlight) <= maximumInFlight-2 && world.Now.Sub(racers.started) >= racers.Every {
		racers.started = world.Now
		racers.race()
	}
	if world.random.Intn(3) == 0 {
		world.Check.Send(world.pick(world.Cores()), &wire.OperatorRequest{Verb: proposal.VerbGet})
	}
	world.After(racerEvery, racers.step)
}

// race sends two changes that build on one version.
func (racers *Racers) race() {
	base := racers.world.Check.outcomes.greatestCommitted()
	epoch := base + 1 + uint64(racers.world.random.Intn(3))
	for range 2 {
		racers.number++
		racers.Sent++
		ask := &wire.OperatorRequest{
			Verb:      proposal.VerbApply,
			Spec:      SpecText(racers.number),
			Operation: fmt.Sprintf("o%d", racers.number),
			Base:      base,
			HasBase:   true,
			Epoch:     epoch,
			HasEpoch:  true,
		}
		order := racers.world.Check.Send(racers.world.pick(racers.world.Cores()), proto.CloneOf(ask))
		racers.inFlight = append(racers.inFlight, &racedOrder{request: ask, order: order})
	}
}

// followUp drops the orders whose answer came, and sends again those whose operator has heard nothing.
func (racers *Racers) followUp() {
	var waiting []*racedOrder
	for _, raced := range racers.inFlight {
		if !racers.finished(raced) {
			waiting = append(waiting, raced)
		}
	}
	racers.inFlight = waiting
}

// finished reports whether nothing more is done about an order.
func (racers *Racers) finished(raced *racedOrder) bool {
	world := racers.world
	answered := raced.order.isAnswered()
	if answered && world.random.Float64() >= racers.LostAnswers {
		return true
	}
	if answered {
		// The answer is lost: the operator hears nothing, now or later, of this try.
		raced.order = &Order{Operation: raced.order.Operation, Outcome: proposal.OutcomeUnknown, Sent: raced.order.Sent}
	}
	if world.Now.Sub(raced.order.Sent) < answerTimeout+time.Duration(raced.tries)*retryGrowth {
		return false
	}
	if raced.tries >= maximumRetries {
		return true
	}
	raced.tries++
	racers.Resent++
	raced.order = world.Check.Resend(world.pick(world.Cores()), raced.order, raced.request)
	return false
}
