package simulation

import (
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/proposal"
	"wardtray/verify/histories"
	"wardtray/wire"
)

// Order is one operator's change with its outcome.
type Order struct {
	Operation string
	Verb      string
	// Base is the epoch that the change is based on, if HasBase is true; AskedEpoch is the epoch that it requests, if
	// HasEpoch is true.
	Base, AskedEpoch  uint64
	HasBase, HasEpoch bool
	Sent, Got         time.Time
	Outcome           string
	Epoch             uint64
	Status            int
	// Resent means that the operation was sent more than once.
	Resent bool
}

// isAnswered reports whether the change's outcome is known.
func (order *Order) isAnswered() bool { return order.Outcome != proposal.OutcomeUnknown }

// isAccepted reports whether the change was acknowledged.
func (order *Order) isAccepted() bool { return order.Outcome == proposal.OutcomeAccepted }

// isRefused reports whether the change was refused.
func (order *Order) isRefused() bool { return order.Outcome == proposal.OutcomeRefused }

// namesBase contains the verbs whose requests name the epoch that they are based on.
var namesBase = map[string]bool{proposal.VerbApply: true, proposal.VerbChange: true}

// Resend sends an operator's change again, unchanged, through another control machine.
func (checker *Checker) Resend(host *Host, order *Order, request *wire.OperatorRequest) *Order {
	order.Resent = true
	// 503 means that no path to the head was found: the change itself is not refused and may be sent again.
	if order.Status == http.StatusServiceUnavailable {
		checker.outcomes.withdrawRefusal(order.Operation)
	}
	return checker.send(host, proto.CloneOf(request), true)
}

// Send sends an operator's request through a control machine and checks the answer.
func (checker *Checker) Send(host *Host, request *wire.OperatorRequest) *Order {
	return checker.send(host, request, false)
}

func (checker *Checker) send(host *Host, request *wire.OperatorRequest, again bool) *Order {
	world := checker.world
	order := &Order{
		Operation:  request.Operation,
		Verb:       request.Verb,
		Base:       request.Base,
		HasBase:    request.HasBase,
		AskedEpoch: request.Epoch,
		HasEpoch:   request.HasEpoch,
		Sent:       world.Now,
		Outcome:    proposal.OutcomeUnknown,
		Resent:     again,
	}
	checker.Orders = append(checker.Orders, order)
	recorded := checker.record(order, request)
	if !host.up || host.frozen {
		return order
	}
	minimum := checker.outcomes.greatestAcknowledged()
	host.runInProcess(host.incarnation, func() {
		host.core.node.Submit(host.localTime(), request, func(status int, body []byte) {
			reply := proposal.Reply{}
			if err := json.Unmarshal(body, &reply); err != nil {
				checker.violation("an answer is not JSON: %s", body)
				return
			}
			order.Got, order.Outcome, order.Epoch, order.Status = world.Now, reply.Outcome, reply.Epoch, status
			// If an operation was sent twice, one attempt may reach the head although the other found no path to it.
			if status == http.StatusGatewayTimeout || order.Resent && status == http.StatusServiceUnavailable {
				order.Outcome = proposal.OutcomeUnknown
			}
			recorded.Got, recorded.Outcome = world.Now, order.Outcome
			recorded.Epoch, recorded.HTTPStatus = order.Epoch, status
			checker.checkReply(order, request, minimum)
		})
	})
	return order
}

// record records a change for the checker of the request path, where there is one.
func (checker *Checker) record(order *Order, request *wire.OperatorRequest) *histories.OperatorRequest {
	recorded := &histories.OperatorRequest{
		Operation: request.Operation,
		Verb:      request.Verb,
		Zone:      request.Zone,
		Base:      request.Base,
		HasBase:   request.HasBase,
		Sent:      order.Sent,
		Outcome:   proposal.OutcomeUnknown,
	}
	if traffic := checker.world.Traffic; traffic != nil && request.Verb != proposal.VerbGet {
		recorded.Spec = traffic.drafter.specs[request.Operation]
		if change, err := config.ParseChange(request.Spec); request.Verb == proposal.VerbChange && err == nil {
			recorded.Change = change
		}
		traffic.History.Orders = append(traffic.History.Orders, recorded)
	}
	return recorded
}

// checkReply checks the answer to an operator's request.
func (checker *Checker) checkReply(order *Order, request *wire.OperatorRequest, minimum uint64) {
	if request.Verb == proposal.VerbGet {
		if order.Status == http.StatusOK && order.Epoch < minimum {
			checker.violation("a read gave epoch %d after %d had been acknowledged", order.Epoch, minimum)
		}
		return
	}
	if request.Verb == proposal.VerbOperation {
		return
	}
	if order.isRefused() {
		checker.outcomes.recordRefusal(order)
	}
	if !order.isAccepted() {
		return
	}
	checker.outcomes.checkAccepted(order)
	checker.replicas.requireCopies(order)
	checker.outcomes.recordAccepted(order)
	if checker.OnAccepted != nil {
		checker.OnAccepted()
	}
}
