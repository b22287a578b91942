package histories

import (
	"slices"
	"sort"
	"time"
)

// atEnd is checked over the whole history.
var atEnd = map[string]func(checker *Checker, broken reportFunc){
	"refused-in-effect": refusedInEffect,
	"two-on-one-base":   twoOnOneBase,
	"repeats":           retries,
	"forgotten":         forgotten,
	"down":              down,
}

// accepted returns the acknowledged orders by the time of their acknowledgement.
func (history *History) accepted() []*Order {
	var accepted []*Order
	for _, order := range history.Orders {
		if order.Outcome == "accepted" && order.Verb != "get" && order.Verb != "operation" {
			accepted = append(accepted, order)
		}
	}
	sort.SliceStable(accepted, func(left, right int) bool { return accepted[left].Got.Before(accepted[right].Got) })
	return accepted
}

func refusedInEffect(checker *Checker, broken reportFunc) {
	history, routes := checker.history, map[string]bool{}
	for _, route := range history.Final.Routes {
		routes[route] = true
	}
	for _, order := range history.Orders {
		if order.Outcome != "refused" {
			continue
		}
		if order.Marker != "" && routes[order.Marker] {
			broken("%s was refused and its lane %q is in effect", order.Operation, order.Marker)
		}
		if epoch, known := history.Final.Known[order.Operation]; known {
			broken("%s was refused and is recorded as epoch %d", order.Operation, epoch)
		}
	}
}

func twoOnOneBase(checker *Checker, broken reportFunc) {
	bases, epochs := map[uint64]string{}, map[uint64]string{}
	for _, order := range checker.history.accepted() {
		if (order.Verb == "apply" || order.Verb == "change") && order.HasBase {
			if other, found := bases[order.Base]; found && other != order.Operation {
				broken("%s and %s were both accepted on epoch %d", other, order.Operation, order.Base)
			}
			bases[order.Base] = order.Operation
		}
		if other, found := epochs[order.Epoch]; found && other != order.Operation {
			broken("%s and %s were both given epoch %d", other, order.Operation, order.Epoch)
		}
		epochs[order.Epoch] = order.Operation
	}
}

// RetryPeak looks at every window. It returns the most repeats beyond what the rule allows anywhere, and
// both counts of the window that used up most of its allowance.
func RetryPeak(history *History, backend string) (over float64, retried, requests int) {
	used := -1.0
	type send struct {
		at    time.Time
		retry bool
	}
	var sends []send
	seen, asked := map[string]int{}, map[string][]time.Time{}
	for _, answer := range history.Answers {
		asked[answer.Request] = append(asked[answer.Request], answer.Sent)
	}
	for _, run := range history.Runs {
		if run.Pool != backend {
			continue
		}
		// What a client itself sends again is another request, not a repeat of ours.
		asks := 0
		for _, at := range asked[run.Request] {
			if !at.After(run.At) {
				asks++
			}
		}
		sends = append(sends, send{run.At, seen[run.Request] >= max(1, asks)})
		seen[run.Request]++
	}
	over = -1e9
	start, windowRetries, windowRequests := 0, 0, 0
	for _, last := range sends {
		if last.retry {
			windowRetries++
		} else {
			windowRequests++
		}
		for last.at.Sub(sends[start].at) > RetryWindow {
			if sends[start].retry {
				windowRetries--
			} else {
				windowRequests--
			}
			start++
		}
		allowed := RetryShare*float64(windowRequests) + RetryAllowance
		over = max(over, float64(windowRetries)-allowed)
		if part := float64(windowRetries) / allowed; part > used {
			used, retried, requests = part, windowRetries, windowRequests
		}
	}
	return over, retried, requests
}

func retries(checker *Checker, broken reportFunc) {
	backends := map[string]bool{}
	for _, run := range checker.history.Runs {
		backends[run.Pool] = true
	}
	for backend := range backends {
		if over, retried, requests := RetryPeak(checker.history, backend); over > 0 {
			broken("pool %s: %d repeats to %d requests within ten seconds", backend, retried, requests)
		}
	}
}

func forgotten(checker *Checker, broken reportFunc) {
	history := checker.history
	if !history.Final.Asked {
		broken("nobody asked for the state at the end")
		return
	}
	for _, order := range history.accepted() {
		if history.Final.Epoch < order.Epoch {
			broken("%s was acknowledged as epoch %d; the fleet ended at %d", order.Operation, order.Epoch,
				history.Final.Epoch)
		}
		if epoch, known := history.Final.Known[order.Operation]; !known || epoch != order.Epoch {
			broken("%s was acknowledged as epoch %d; the fleet knows %d", order.Operation, order.Epoch, epoch)
		}
	}
}

// returnInterrupted reports whether machines were taken again before a return could be checked.
func returnInterrupted(history *History, back Return) bool {
	for _, fault := range history.Faults {
		if fault.Daemon != "" && fault.At.After(back.At) && fault.At.Sub(back.At) <= ReturnBound {
			return true
		}
	}
	return false
}

// down wants, after every return of the machines, whole answers in each zone and an accepted change.
func down(checker *Checker, broken reportFunc) {
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
				broken("no request of zone %s was served within %v of the machines' return", zone, ReturnBound)
			}
		}
		if !slices.ContainsFunc(history.accepted(),
			func(order *Order) bool { return within(order.Sent) && within(order.Got) }) {
			broken("no change was accepted within %v of the machines' return", ReturnBound)
		}
	}
}
