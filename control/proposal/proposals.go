package proposal

import (
	"net/http"
	"time"

	"wardtray/apierror"
	"wardtray/coordination/chain"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Environment provides the state of the process on which decisions about proposals depend.
type Environment struct {
	// IsLeading reports whether this process may act as head.
	IsLeading func(now time.Time) bool
	// IsDelivered reports whether the change with a sequence may be acknowledged.
	IsDelivered func(now time.Time, sequence uint64) bool
	// IsUnhealthy reports whether the disk of this process has failed or cannot keep up.
	IsUnhealthy func(now time.Time) bool
}

// waiter is an operator's request that waits for the delivery of its change.
type waiter struct {
	message  *wire.OperatorRequest
	sequence uint64
	epoch    uint64
	deadline time.Time
}

// deferred is a request that this process must answer as head, but cannot answer yet.
type deferred struct {
	message  *wire.OperatorRequest
	deadline time.Time
}

// Proposals handles operators' requests at the head.
type Proposals struct {
	self string
	// incarnation is that of this process. It identifies requests that were sent to an earlier incarnation, whose refusals
	// are lost.
	incarnation uint64
	chain       *chain.Chain
	outbox      *statemachine.Outbox
	requests    *Requests
	environment Environment

	waiters  []*waiter
	deferred []deferred
	refusals refusals
	counters Counters
}

// NewProposals returns the proposals of the process at an address. requests are those that this process receives from
// operators; they also provide the incarnation of the process.
func NewProposals(self string, history *chain.Chain, outbox *statemachine.Outbox, requests *Requests,
	environment Environment) *Proposals {
	return &Proposals{self: self, incarnation: requests.incarnation, chain: history, outbox: outbox, requests: requests,
		environment: environment}
}

// Counters returns the counters of this process as head.
func (proposals *Proposals) Counters() Counters { return proposals.counters }

// HandleRequest handles a request that another process forwarded. A request that was sent to an earlier incarnation of
// this process is dropped: that incarnation may have refused it, and the origin resends it.
func (proposals *Proposals) HandleRequest(now time.Time, message *wire.OperatorRequest) {
	isForEarlierIncarnation := message.HeadIncarnation != 0 && message.HeadIncarnation != proposals.incarnation
	if message.Origin != proposals.self && !isForEarlierIncarnation {
		proposals.Serve(now, message)
	}
}

// Serve answers a request as head. A head without a lease defers the request; any other process drops it, and the
// origin resends it.
func (proposals *Proposals) Serve(now time.Time, message *wire.OperatorRequest) {
	handlers := map[string]func(now time.Time, message *wire.OperatorRequest){
		VerbGet: proposals.serveGet, VerbOperation: proposals.serveOperation, VerbApply: proposals.serveChange,
		VerbChange: proposals.serveChange, VerbClose: proposals.serveChange, VerbOpen: proposals.serveChange,
	}
	if handler := handlers[message.Verb]; handler != nil {
		handler(now, message)
	}
}

// Adopt handles a newly agreed view. A process that is not the view's head drops its waiting requests. Each of them is
// still open at its origin, which sends it to the new head; that head finds the change in its history or decides on it
// again.
func (proposals *Proposals) Adopt() {
	if !proposals.chain.IsHead() {
		proposals.waiters = nil
	}
}

// Acknowledge replies to every waiting operator whose change is delivered (Environment.IsDelivered) or has timed out.
func (proposals *Proposals) Acknowledge(now time.Time) {
	if len(proposals.waiters) == 0 {
		return
	}
	isLeading := proposals.environment.IsLeading(now)
	remaining := proposals.waiters[:0]
	for _, waiter := range proposals.waiters {
		if isLeading && proposals.environment.IsDelivered(now, waiter.sequence) {
			proposals.accept(waiter.message, waiter.epoch)
			continue
		}
		if now.After(waiter.deadline) {
			proposals.timeOut(waiter)
			continue
		}
		remaining = append(remaining, waiter)
	}
	proposals.waiters = remaining
}

func (proposals *Proposals) accept(message *wire.OperatorRequest, epoch uint64) {
	proposals.reply(message, http.StatusOK,
		Reply{Operation: message.Operation, Outcome: OutcomeAccepted, Epoch: epoch})
}

func (proposals *Proposals) timeOut(waiter *waiter) {
	proposals.counters.Unknown++
	operation := waiter.message.Operation
	reply := unknownOutcome(operation, "on its way; ask with: wtctl operation "+operation)
	proposals.reply(waiter.message, http.StatusGatewayTimeout, reply)
}

// await keeps a request until its change is delivered or acknowledgeTimeout is over.
func (proposals *Proposals) await(now time.Time, message *wire.OperatorRequest, sequence, epoch uint64) {
	for _, waiter := range proposals.waiters {
		if waiter.message.Token == message.Token {
			return
		}
	}
	proposals.waiters = append(proposals.waiters, &waiter{message: message, sequence: sequence, epoch: epoch,
		deadline: now.Add(acknowledgeTimeout)})
	proposals.Acknowledge(now)
}

// reply sends a reply to the origin of a request.
func (proposals *Proposals) reply(message *wire.OperatorRequest, status int, reply Reply) {
	if message.Origin == proposals.self {
		proposals.requests.finish(message.Token, status, reply)
		return
	}
	response := &wire.OperatorResponse{Token: message.Token, Status: uint32(status), Body: reply.Encode()}
	proposals.outbox.Send(message.Origin,
		&wire.Envelope{Body: &wire.Envelope_OperatorResponse{OperatorResponse: response}})
}

// deferRequest keeps a request until this process can answer it, so that it need not wait until its origin resends it.
func (proposals *Proposals) deferRequest(now time.Time, message *wire.OperatorRequest) {
	for _, deferred := range proposals.deferred {
		if deferred.message.Token == message.Token {
			return
		}
	}
	if len(proposals.deferred) < maximumRequests {
		proposals.deferred = append(proposals.deferred, deferred{message: message, deadline: now.Add(deferTimeout)})
	}
}

// RetryDeferred serves the deferred requests again if this process leads. A request that still cannot be answered is
// deferred again, with its first deadline.
func (proposals *Proposals) RetryDeferred(now time.Time) {
	if len(proposals.deferred) == 0 || !proposals.environment.IsLeading(now) {
		return
	}
	retried := proposals.deferred
	proposals.deferred = nil
	for _, deferred := range retried {
		if now.After(deferred.deadline) {
			continue
		}
		proposals.Serve(now, deferred.message)
		last := len(proposals.deferred) - 1
		if last >= 0 && proposals.deferred[last].message == deferred.message {
			proposals.deferred[last].deadline = deferred.deadline
		}
	}
}

// admit reports whether this process may answer a request as head. A head that may not do so yet defers the request.
func (proposals *Proposals) admit(now time.Time, message *wire.OperatorRequest) bool {
	isLeading := proposals.environment.IsLeading(now)
	if !isLeading && proposals.chain.IsHead() {
		proposals.deferRequest(now, message)
	}
	return isLeading
}

func (proposals *Proposals) serveGet(now time.Time, message *wire.OperatorRequest) {
	if !proposals.admit(now, message) {
		return
	}
	document := proposals.chain.Committed()
	reply := Reply{Outcome: OutcomeFound, Epoch: document.SpecEpoch, Spec: document.Spec}
	if len(document.Spec) == 0 {
		reply = Reply{Outcome: OutcomeEmpty}
	}
	proposals.reply(message, http.StatusOK, reply)
}

func (proposals *Proposals) serveOperation(now time.Time, message *wire.OperatorRequest) {
	if !proposals.admit(now, message) {
		return
	}
	outcome := proposals.chain.Outcome(message.Operation)
	if outcome == nil {
		proposals.reply(message, http.StatusNotFound,
			refusal(apierror.NotFound, 0, message.Operation, "no accepted change has this id so far"))
		return
	}
	if proposals.environment.IsDelivered(now, outcome.Sequence) {
		proposals.accept(message, outcome.SpecEpoch)
		return
	}
	proposals.reply(message, http.StatusOK,
		Reply{Operation: message.Operation, Outcome: OutcomePending, Epoch: outcome.SpecEpoch})
}
