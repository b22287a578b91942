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

// Order is one operator's change in the simulation.
type Order struct {
	Operation string
	Verb      string
	// Base is the epoch that it is built on, AskedEpoch the one that it is to have, where it names them.
	Base, AskedEpoch  uint64
	HasBase, HasEpoch bool
	Sent, Got         time.Time
	Outcome           string
	Epoch             uint64
	Status            int
	// Resent means that the same operation was sent more than once.
	Resent bool
}

// isAnswered reports whether it is known what became of the change.
func (order *Order) isAnswered() bool { return order.Outcome != proposal.OutcomeUnknown }

// isAccepted reports whether the change was acknowledged.
func (order *Order) isAccepted() bool { return order.Outcome == proposal.OutcomeAccepted }

// isRefused reports whether the operator was told that the change is refused.
func (order *Order) isRefused() bool { return order.Outcome == proposal.OutcomeRefused }

// namesBase names the verbs that name the epoch they are built on.
var namesBase = map[string]bool{proposal.VerbApply: true, proposal.VerbChange: true}

// Resend has an operator send a change that was sent before, unchanged, through another core.
func (checker *Checker) Resend(host *Host, order *Order, ask *wire.OperatorRequest) *Order {
	order.Resent = true
	// A way to the head that was not found is no word on the change, which may be sent again.
	if order.Status == http.StatusServiceUnavailable {
		checker.outcomes.withdrawRefusal(order.Operation)
	}
	return checker.send(host, proto.CloneOf(ask), true)
}

// Send has an operator send a change through a core; what comes back is checked.
func (checker *Checker) Send(host *Host, ask *wire.OperatorRequest) *Order {
	return checker.send(host, ask, false)
}

func (checker *Checker) send(host *Host, ask *wire.OperatorRequest, again bool) *Order {
	world := checker.world
	order := &Order{
		Operation:  ask.Operation,
		Verb:       ask.Verb,
		Base:       ask.Base,
		HasBase:    ask.HasBase,
		AskedEpoch: ask.Epoch,
		HasEpoch:   ask.HasEpoch,
		Sent:       world.Now,
		Outcome:    proposal.OutcomeUnknown,
		Resent:     again,
	}
	checker.Orders = append(checker.Orders, order)
	recorded := checker.record(order, ask)
	if !host.up || host.frozen {
		return order
	}
	least := checker.outcomes.greatestAcknowledged()
	host.on(host.incarnation, func() {
		host.core.node.Submit(host.local(), ask, func(status int, body []byte) {
			reply := proposal.Reply{}
			if err := json.Unmarshal(body, &reply); err != nil {
				checker.violation("an answer that is no JSON: %s", body)
				return
			}
			order.Got, order.Outcome, order.Epoch, order.Status = world.Now, reply.Outcome, reply.Epoch, status
			// Of an operation that was sent twice, one copy may find no way to the head while the other does.
			if status == http.StatusGatewayTimeout || order.Resent && status == http.StatusServiceUnavailable {
				order.Outcome = proposal.OutcomeUnknown
			}
			recorded.Got, recorded.Outcome = world.Now, order.Outcome
			recorded.Epoch, recorded.HTTPStatus = order.Epoch, status
			checker.checkReply(order, ask, least)
		})
	})
	return order
}

// record records a change for the checker of the request path, where there is one.
func (checker *Checker) record(order *Order, ask *wire.OperatorRequest) *histories.Order {
	recorded := &histories.Order{
		Operation: ask.Operation,
		Verb:      ask.Verb,
		Zone:      ask.Zone,
		Base:      ask.Base,
		HasBase:   ask.HasBase,
		Sent:      order.Sent,
		Outcome:   proposal.OutcomeUnknown,
	}
	if traffic := checker.world.Traffic; traffic != nil && ask.Verb != proposal.VerbGet {
		recorded.Spec = traffic.drafter.specs[ask.Operation]
		if change, err := config.ParseChange(ask.Spec); ask.Verb == proposal.VerbChange && err == nil {
			recorded.Change = change
		}
		traffic.History.Orders = append(traffic.History.Orders, recorded)
	}
	return recorded
}

// checkReply checks the answer to an operator's question.
func (checker *Checker) checkReply(order *Order, ask *wire.OperatorRequest, least uint64) {
	if ask.Verb == proposal.VerbGet {
		if order.Status == http.StatusOK && order.Epoch < least {
			checker.violation("a read gave epoch %d after %d had been acknowledged", order.Epoch, least)
		}
		return
	}
	if ask.Verb == proposal.VerbOperation {
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
