package simulation

import (
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

const (
	// repeatedWithin is within what time an operator sends a change again, unchanged, that was sent before.
	repeatedWithin = 2 * time.Second
	// returnRetryInterval is how often an operator tries again after the machines' return.
	returnRetryInterval = time.Second
)

// operatorWorkload sends operators' requests now and then: two at once on one base, whole specs and named entries,
// closures, reads, invalid changes, and changes sent again unchanged.
type operatorWorkload struct {
	operators *Operators
	// every is about how often something is sent.
	every   time.Duration
	stopped bool
	// cores are those that are asked now.
	cores []*Host
}

// startOperators has operators send a request about every so often, from now on.
func startOperators(world *World, every time.Duration) *operatorWorkload {
	workload := &operatorWorkload{operators: newOperators(world, 0), every: every}
	workload.step()
	return workload
}

// Stop ends the workload.
func (workload *operatorWorkload) Stop() { workload.stopped = true }

// step sends one of the kinds of request, and comes back after a while.
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

// pick draws a core.
func (workload *operatorWorkload) pick() *Host { return workload.operators.world.pick(workload.cores) }

// changeTwice has two operators build on one base.
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

// closeOrOpenZone closes or opens one of the zones that all deployments of more than one zone have.
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

// sendInvalid sends a change that no fleet may accept.
func (workload *operatorWorkload) sendInvalid() {
	world, operation := workload.operators.world, workload.operators.nextOperation()
	world.Check.outcomes.expectRefusal(operation)
	requests := invalidRequests(workload.operators.base, SpecText(workload.operators.number))
	invalid := requests[world.random.Intn(len(requests))]
	invalid.Operation = operation
	world.Check.Send(workload.pick(), invalid)
}

// invalidRequests are changes that must be refused: incomplete specs, specs that are no JSON, a zone that is not there,
// an epoch that is not above the base, an entry that names nothing, and entries that are no JSON.
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

// retryChange has an operator send a change again and again until one is accepted or a moment has come, so that
// somebody asks for what the machines' return is checked by.
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

// changeSteadily has one operator send a change every so often, each on what is known by then.
func (operators *Operators) changeSteadily(every time.Duration, until time.Time) {
	if !operators.world.Now.Before(until) {
		return
	}
	operators.applyNewest()
	operators.world.After(every, func() { operators.changeSteadily(every, until) })
}

// wantAcknowledged sends a change every so often, on the newest version, and wants each acknowledged within the bound
// unless another one won the race.
func (operators *Operators) wantAcknowledged(every time.Duration, until time.Time) {
	world := operators.world
	if !world.Now.Before(until) {
		return
	}
	order := operators.applyNewest()
	world.After(acknowledgementBound, func() { operators.requireAnswer(order) })
	world.After(every, func() { operators.wantAcknowledged(every, until) })
}

// requireAnswer checks that a change has got its answer by now, acknowledgementBound after it was sent.
func (operators *Operators) requireAnswer(order *Order) {
	check, took := operators.world.Check, acknowledgementBound
	if order.isAnswered() {
		took = order.Got.Sub(order.Sent)
	}
	check.recordWorst("answer to a change while most daemons are gone", took)
	if !order.isAnswered() {
		check.violation("no-ack: %s had no answer within %v, though the core is whole", order.Operation,
			acknowledgementBound)
	}
}
