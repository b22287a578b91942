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
func (history *History) accepted() []*OperatorRequest {
	var accepted []*OperatorRequest
	for _, request := range history.Orders {
		if request.Outcome == outcomeAccepted && request.changesSpec() {
			accepted = append(accepted, request)
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
	for _, request := range history.Orders {
		if request.Outcome != outcomeRefused || !isBinding(history.Orders, request) {
			continue
		}
		if request.Marker != "" && routes[request.Marker] {
			report("%s was refused and its route %q is in effect", request.Operation, request.Marker)
		}
		if epoch, known := history.Final.Known[request.Operation]; known {
			report("%s was refused and is recorded as epoch %d", request.Operation, epoch)
		}
	}
}

// isBinding reports whether a refusal means that its operation never takes effect. A refusal of the change itself
// always does. A refusal because there is no head, disk or capacity (503) applies only to the attempt that it answers:
// the operator may send the operation again, and another attempt that was not refused may take effect.
func isBinding(requests []*OperatorRequest, refused *OperatorRequest) bool {
	if refused.HTTPStatus != http.StatusServiceUnavailable {
		return true
	}
	return !slices.ContainsFunc(requests, func(other *OperatorRequest) bool {
		return other != refused && other.Operation == refused.Operation && other.Outcome != outcomeRefused
	})
}

// checkBases checks that each epoch is assigned to at most one change, and is the base of at most one.
func checkBases(checker *Checker, report reportFunc) {
	bases, epochs := map[uint64]string{}, map[uint64]string{}
	for _, request := range checker.history.accepted() {
		if (request.Verb == verbApply || request.Verb == verbChange) && request.HasBase {
			if other, found := bases[request.Base]; found && other != request.Operation {
				report("%s and %s were both accepted on base %d", other, request.Operation, request.Base)
			}
			bases[request.Base] = request.Operation
		}
		if other, found := epochs[request.Epoch]; found && other != request.Operation {
			report("%s and %s were both accepted as epoch %d", other, request.Operation, request.Epoch)
		}
		epochs[request.Epoch] = request.Operation
	}
}

// checkDurability checks that the fleet has every acknowledged change at the end.
func checkDurability(checker *Checker, report reportFunc) {
	history := checker.history
	if !history.Final.WasRead {
		report("the final state was not read")
		return
	}
	for _, request := range history.accepted() {
		if history.Final.Epoch < request.Epoch {
			report("%s was acknowledged as epoch %d; the final epoch is %d", request.Operation, request.Epoch,
				history.Final.Epoch)
		}
		if epoch, known := history.Final.Known[request.Operation]; !known || epoch != request.Epoch {
			report("%s was acknowledged as epoch %d; the fleet records epoch %d", request.Operation, request.Epoch, epoch)
		}
	}
}

// returnInterrupted reports whether a daemon had another fault within RecoveryBound after a return, so that the return
// can't be checked.
func returnInterrupted(history *History, back OutageEnd) bool {
	for _, fault := range history.Faults {
		if fault.Daemon != "" && fault.At.After(back.At) && fault.At.Sub(back.At) <= RecoveryBound {
			return true
		}
	}
	return false
}

// checkReturns checks that within RecoveryBound after each return of all machines every zone gives a complete answer
// and a change is accepted.
func checkReturns(checker *Checker, report reportFunc) {
	history := checker.history
	for _, back := range history.OutageEnds {
		if returnInterrupted(history, back) {
			continue
		}
		within := func(at time.Time) bool { return !at.Before(back.At) && at.Sub(back.At) <= RecoveryBound }
		for _, zone := range history.Zones {
			if !slices.ContainsFunc(history.Answers, func(attempt *ClientAttempt) bool {
				return attempt.Zone == zone && attempt.Done && within(attempt.Sent) && within(attempt.Got)
			}) {
				report("no request of zone %s was served within %v of the machines' return", zone, RecoveryBound)
			}
		}
		if !slices.ContainsFunc(history.accepted(),
			func(request *OperatorRequest) bool { return within(request.Sent) && within(request.Got) }) {
			report("no change was accepted within %v of the machines' return", RecoveryBound)
		}
	}
}
