package simulation

import (
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

const (
	// repeatedWithin is the longest time after which an operator sends a change again, unchanged.
	repeatedWithin = 2 * time.Second
	// returnRetryInterval is the interval at which an operator tries again after the machines' return.
	returnRetryInterval = time.Second
)

// operatorWorkload sends operators' requests at random times: pairs of changes with the same base, complete
// configurations and changes of named entries, closed and opened zones, reads, invalid changes, and changes sent again
// unchanged.
type operatorWorkload struct {
	operators *Operators
	// every is the mean interval between two requests.
	every   time.Duration
	stopped bool
	// cores are the control machines that the current requests are sent to.
	cores []*Host
}

// startOperators starts a workload with this mean interval.
func startOperators(world *World, every time.Duration) *operatorWorkload {
	workload := &operatorWorkload{operators: newOperators(world, 0), every: every}
	workload.step()
	return workload
}

// Stop ends the workload.
func (workload *operatorWorkload) Stop() { workload.stopped = true }

// step sends one random kind of request, and schedules the next step.
func (workload *operatorWorkload) step() {
	if workload.stopped {
		return
	}
	world := workload.operators.world
	workload.cores = world.Cores()
	workload.operators.readNewest()
	kinds := []func(){
		workload.changeTwice,
		workload.change,
		workload.changeEntries,
		workload.changeEntriesAndResend,
		workload.applyAndResendLater,
		workload.closeOrOpenZone,
		workload.read,
		workload.sendInvalid,
	}
	kinds[world.random.Intn(len(kinds))]()
	world.After(workload.every/2+time.Duration(world.random.Int63n(int64(workload.every))), workload.step)
}

// pick returns a random control machine.
func (workload *operatorWorkload) pick() *Host { return workload.operators.world.pick(workload.cores) }

// changeTwice sends two changes with the same base.
func (workload *operatorWorkload) changeTwice() {
	workload.change()
	workload.change()
}

func (workload *operatorWorkload) change() { workload.operators.change(workload.pick()) }

func (workload *operatorWorkload) changeEntries() { workload.operators.changeEntries(workload.pick()) }

func (workload *operatorWorkload) changeEntriesAndResend() {
	workload.changeEntries()
	workload.operators.resend(workload.pick())
}

func (workload *operatorWorkload) applyAndResendLater() {
	operators, cores := workload.operators, workload.cores
	world := operators.world
	operators.apply(workload.pick())
	world.After(time.Duration(world.random.Int63n(int64(repeatedWithin))),
		func() { operators.resend(world.pick(cores)) })
}

// closeOrOpenZone closes or opens one of the zones that all deployments of more than two zones have.
func (workload *operatorWorkload) closeOrOpenZone() {
	random, operation := workload.operators.world.random, workload.operators.nextOperation()
	verb := []string{proposal.VerbClose, proposal.VerbOpen}[random.Intn(2)]
	host, zones := workload.pick(), []string{"a", "b", "c"}
	workload.operators.world.Check.Send(host,
		&wire.OperatorRequest{Verb: verb, Zone: zones[random.Intn(len(zones))], Operation: operation})
}

func (workload *operatorWorkload) read() {
	workload.operators.world.Check.Send(workload.pick(), &wire.OperatorRequest{Verb: proposal.VerbGet})
}

// sendInvalid sends a change that must be refused.
func (workload *operatorWorkload) sendInvalid() {
	world, operation := workload.operators.world, workload.operators.nextOperation()
	world.Check.outcomes.expectRefusal(operation)
	requests := invalidRequests(workload.operators.base, SpecText(workload.operators.number))
	invalid := requests[world.random.Intn(len(requests))]
	invalid.Operation = operation
	world.Check.Send(workload.pick(), invalid)
}

// invalidRequests returns changes that must be refused: an incomplete configuration, one that is no JSON, an unknown
// zone, an epoch that is not above the base, an entry with an unknown pool, and entries that are no JSON.
func invalidRequests(base uint64, valid []byte) []*wire.OperatorRequest {
	return []*wire.OperatorRequest{
		{Verb: proposal.VerbApply, Spec: []byte(`{"zones":[{"name":"a","closed":false}],"pools":[],"lanes":[]}`),
			Base: base, HasBase: true},
		{Verb: proposal.VerbApply, Spec: []byte(`{"zones":`), Base: base, HasBase: true},
		{Verb: proposal.VerbClose, Zone: "nowhere"},
		{Verb: proposal.VerbApply, Spec: valid, Base: base, HasBase: true, Epoch: base, HasEpoch: true},
		{Verb: proposal.VerbChange,
			Spec: []byte(`{"upsert":{"lanes":[{"name":"lost","pool":"nowhere","patience":"1s"}]}}`),
			Base: base, HasBase: true},
		{Verb: proposal.VerbChange, Spec: []byte(`{"remove":{"lanes":["l"]`), Base: base, HasBase: true},
	}
}

// retryChange sends changes until one is accepted or the deadline has passed, so that the check of the recovery after
// the machines' return has a change to examine.
func (operators *Operators) retryChange(until time.Time) {
	world := operators.world
	var order *Order
	var retry func()
	retry = func() {
		if order != nil && order.isAccepted() || !world.Now.Before(until) {
			return
		}
		order = operators.applyNewest()
		world.After(returnRetryInterval, retry)
	}
	world.After(returnRetryInterval, retry)
}

// changePeriodically sends a change at a fixed interval, each based on the newest version known by then.
func (operators *Operators) changePeriodically(every time.Duration, until time.Time) {
	if !operators.world.Now.Before(until) {
		return
	}
	operators.applyNewest()
	operators.world.After(every, func() { operators.changePeriodically(every, until) })
}

// sendRequiringAnswers sends a change at a fixed interval, each based on the newest version, and requires that each is
// answered within acknowledgementBound.
func (operators *Operators) sendRequiringAnswers(every time.Duration, until time.Time) {
	world := operators.world
	if !world.Now.Before(until) {
		return
	}
	order := operators.applyNewest()
	world.After(acknowledgementBound, func() { operators.requireAnswer(order) })
	world.After(every, func() { operators.sendRequiringAnswers(every, until) })
}

// requireAnswer checks that a change has been answered by now, acknowledgementBound after it was sent.
func (operators *Operators) requireAnswer(order *Order) {
	check, took := operators.world.Check, acknowledgementBound
	if order.isAnswered() {
		took = order.Got.Sub(order.Sent)
	}
	check.recordWorstCase("answer to a change while most daemons are gone", took)
	if !order.isAnswered() {
		check.violation("no-ack: %s had no answer within %v, though all control machines are healthy", order.Operation,
			acknowledgementBound)
	}
}
