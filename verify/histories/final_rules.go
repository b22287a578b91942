package histories

import (
	"net/http"
	"slices"
	"sort"
	"time"
)

// finalRules are checked over the complete history.
var finalRules = map[string]func(checker *Checker, report reportFunc){
	"refused-in-effect": checkRefusals,
	"two-on-one-base":   checkBases,
	"repeats":           checkRetries,
	"forgotten":         checkDurability,
	"down":              checkReturns,
}

// accepted returns the acknowledged changes, ordered by the time of their acknowledgement.
func (history *History) accepted() []*Order {
	var accepted []*Order
	for _, order := range history.Orders {
		if order.Outcome == outcomeAccepted && order.changesSpec() {
			accepted = append(accepted, order)
		}
	}
	sort.SliceStable(accepted, func(left, right int) bool { return accepted[left].Got.Before(accepted[right].Got) })
	return accepted
}

// checkRefusals checks that no refused change took effect.
func checkRefusals(checker *Checker, report reportFunc) {
	history, routes := checker.history, map[string]bool{}
	for _, route := range history.Final.Routes {
		routes[route] = true
	}
	for _, order := range history.Orders {
		if order.Outcome != outcomeRefused || !isBinding(history.Orders, order) {
			continue
		}
		if order.Marker != "" && routes[order.Marker] {
			report("%s was refused and its route %q is in effect", order.Operation, order.Marker)
		}
		if epoch, known := history.Final.Known[order.Operation]; known {
			report("%s was refused and is recorded as epoch %d", order.Operation, epoch)
		}
	}
}

// isBinding reports whether a refusal means that its operation never takes effect. A refusal of the change itself
// always does. A refusal because there is no head, disk or capacity (503) applies only to the attempt that it answers:
// the operator may send the operation again, and another attempt that was not refused may take effect.
func isBinding(orders []*Order, refused *Order) bool {
	if refused.HTTPStatus != http.StatusServiceUnavailable {
		return true
	}
	return !slices.ContainsFunc(orders, func(other *Order) bool {
		return other != refused && other.Operation == refused.Operation && other.Outcome != outcomeRefused
	})
}

// checkBases checks that each epoch is assigned to at most one change, and is the base of at most one.
func checkBases(checker *Checker, report reportFunc) {
	bases, epochs := map[uint64]string{}, map[uint64]string{}
	for _, order := range checker.history.accepted() {
		if (order.Verb == verbApply || order.Verb == verbChange) && order.HasBase {
			if other, found := bases[order.Base]; found && other != order.Operation {
				report("%s and %s were both accepted on base %d", other, order.Operation, order.Base)
			}
			bases[order.Base] = order.Operation
		}
		if other, found := epochs[order.Epoch]; found && other != order.Operation {
			report("%s and %s were both accepted as epoch %d", other, order.Operation, order.Epoch)
		}
		epochs[order.Epoch] = order.Operation
	}
}

// checkDurability checks that the fleet has every acknowledged change at the end.
func checkDurability(checker *Checker, report reportFunc) {
	history := checker.history
	if !history.Final.Asked {
		report("the final state was not read")
		return
	}
	for _, order := range history.accepted() {
		if history.Final.Epoch < order.Epoch {
			report("%s was acknowledged as epoch %d; the final epoch is %d", order.Operation, order.Epoch,
				history.Final.Epoch)
		}
		if epoch, known := history.Final.Known[order.Operation]; !known || epoch != order.Epoch {
			report("%s was acknowledged as epoch %d; the fleet records epoch %d", order.Operation, order.Epoch, epoch)
		}
	}
}

// returnInterrupted reports whether a daemon had another fault within ReturnBound after a return, so that the return
// can't be checked.
func returnInterrupted(history *History, back Return) bool {
	for _, fault := range history.Faults {
		if fault.Daemon != "" && fault.At.After(back.At) && fault.At.Sub(back.At) <= ReturnBound {
			return true
		}
	}
	return false
}

// checkReturns checks that within ReturnBound after each return of all machines every zone gives a complete answer and
// a change is accepted.
func checkReturns(checker *Checker, report reportFunc) {
	history := checker.history
	for _, back := range history.Returns {
		if returnInterrupted(history, back) {
			continue
		}
		within := func(at time.Time) bool { return !at.Before(back.At) && at.Sub(back.At) <= ReturnBound }
		for _, zone := range history.Zones {
			if !slices.ContainsFunc(history.Answers, func(answer *Answer) bool {
				return answer.Zone == zone && answer.Done && within(answer.Sent) && within(answer.Got)
			}) {
				report("no request of zone %s was served within %v of the machines' return", zone, ReturnBound)
			}
		}
		if !slices.ContainsFunc(history.accepted(),
			func(order *Order) bool { return within(order.Sent) && within(order.Got) }) {
			report("no change was accepted within %v of the machines' return", ReturnBound)
		}
	}
}
