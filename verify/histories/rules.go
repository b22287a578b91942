package histories

import (
	"slices"
	"sort"
	"time"

	"wardtray/config"
)

// The bounds of the brief, each with what belongs to measuring rather than to the fleet.
const (
	DrainingBound = 3 * time.Second
	SpecBound     = 2 * time.Second
	ZoneBound     = 5 * time.Second
	ReturnBound   = 12 * time.Second
	RetryWindow   = 10 * time.Second
	RetryShare    = 0.2
	// RetryAllowance is the brief's "plus a little": one unlucky request at each of a few daemons.
	RetryAllowance = 3
	// WarmUpAllowance is how much more than its true room a cold runner may get: daemons that have not heard of
	// one another yet may each send one.
	WarmUpAllowance = 2
	// OverdueBound is how long after a loss could be known a final answer may come.
	OverdueBound = 2 * time.Second
	// DeadlineAllowance is how much after its deadline an answer may come: a daemon's own work and the way. ClockPart
	// is the part by which a daemon's clock may go wrong.
	DeadlineAllowance = 100 * time.Millisecond
	ClockErrorDivisor = 50
	faultShadow       = 12 * time.Second
	// transitTime is for how long bytes may be on their way.
	transitTime = 1500 * time.Millisecond
	// resetTransitTime is how long news of a reset may be on its way.
	resetTransitTime = 100 * time.Millisecond
	// DepartureBound is how long after its client has left a request may reach a runner, or be worked on.
	DepartureBound = 500 * time.Millisecond
	// ReportStaleness is how old a daemon's knowledge of runners may be: reports 0.7 s old, read four times a second
	// and smoothed.
	ReportStaleness = 2 * time.Second
	// AmpleShare is the free part of a backend beside which no request can be refused for want of room. It is
	// the slack in which routes may go beyond their concurrency limit.
	AmpleShare = 0.25
)

// Rules names every check, in the order of the brief.
var Rules = []string{
	"run-twice",
	"ran-after-refusal",
	"not-whole",
	"spliced",
	"not-allowed",
	"wrong-runner",
	"leaving",
	"change-ignored",
	"slipped-back",
	"refused-in-effect",
	"two-on-one-base",
	"closed-zone",
	"repeats",
	"cold-flooded",
	"dropped",
	"forgotten",
	"down",
	"turned-away",
	"no-return-time",
	"held-back",
	"resumed",
	"past-deadline",
	"left-requester",
}

// timed are the rules with a bound in seconds, which a machine that stands still for a while can break.
var timed = map[string]bool{
	"leaving":        true,
	"change-ignored": true,
	"slipped-back":   true,
	"closed-zone":    true,
	"cold-flooded":   true,
	"dropped":        true,
	"down":           true,
	"turned-away":    true,
	"held-back":      true,
	"past-deadline":  true,
	"left-requester": true,
}

// Timeless leaves out the violations of rules that are measured in seconds.
func Timeless(violations []Violation) []Violation {
	var kept []Violation
	for _, violation := range violations {
		if !timed[violation.Rule] {
			kept = append(kept, violation)
		}
	}
	return kept
}

// onRun is checked whenever a runner has read a request.
var onRun = map[string]func(checker *Checker, run *Run, broken reportFunc){
	"run-twice": func(checker *Checker, run *Run, broken reportFunc) {
		if runs := checker.runs[run.Request]; run.Started && checker.once[run.Request] && len(runs) > 1 {
			broken("%s ran %d times, at %s by %s and at %s by %s", run.Request, len(runs), runs[0].Runner,
				runs[0].Daemon, run.Runner, run.Daemon)
		}
	},
	"ran-after-refusal": func(checker *Checker, run *Run, broken reportFunc) {
		for _, answer := range checker.answers[run.Request] {
			// A client that sends its request anew after this word asks for another run.
			if run.Started && answer.Ran == didNotRun && !checker.sentAgain(answer) {
				broken("%s ran at %s after its requester was told %q that it did not run", run.Request, run.Runner,
					answer.Kind)
			}
		}
	},
	"not-allowed": func(checker *Checker, run *Run, broken reportFunc) {
		if !checker.permittedBySomeSpec(run.Daemon, run.At, SpecBound,
			func(catalog *config.Catalog) bool { return allows(catalog, run) }) {
			broken("%s went to service %q of runner %s, which no spec in force allows", run.Request, run.Service,
				run.Runner)
		}
	},
	"wrong-runner": func(_ *Checker, run *Run, broken reportFunc) {
		if run.Wanted != run.Runner {
			broken("%s was meant for %s and reached %s", run.Request, run.Wanted, run.Runner)
		}
	},
	"leaving": func(checker *Checker, run *Run, broken reportFunc) {
		if late := checker.drainingFor(run); late > DrainingBound {
			broken("%s went to %s %v after it began to leave", run.Request, run.Runner, late)
		}
	},
	"change-ignored": func(checker *Checker, run *Run, broken reportFunc) {
		if !checker.permittedBySomeSpec(run.Daemon, run.At, SpecBound,
			func(catalog *config.Catalog) bool { return serves(catalog, run) }) {
			broken("%s of lane %q went to weights %q by %s, %v after this was no longer so by an acknowledged spec",
				run.Request, run.Route, run.Weights, run.Daemon,
				checker.outdatedFor(run.At, func(catalog *config.Catalog) bool { return serves(catalog, run) }))
		}
	},
	"slipped-back": func(checker *Checker, run *Run, broken reportFunc) {
		// Requests of one daemon overtake each other while bytes are on their way; a slip back lasts.
		if run.Epoch < checker.greatest[run.Daemon] && run.At.Sub(checker.greatestSince[run.Daemon]) > transitTime {
			broken("%s went from epoch %d back to %d", run.Daemon, checker.greatest[run.Daemon], run.Epoch)
		}
		if run.Epoch > checker.greatest[run.Daemon] {
			checker.greatest[run.Daemon], checker.greatestSince[run.Daemon] = run.Epoch, run.At
		}
	},
	"closed-zone": func(checker *Checker, run *Run, broken reportFunc) {
		open := func(catalog *config.Catalog) bool { return catalog.Open(run.Zone) }
		if !checker.permittedBySomeSpec(run.Daemon, run.At, ZoneBound, open) {
			broken("%s went into zone %s %v after its closing was acknowledged", run.Request, run.Zone,
				checker.outdatedFor(run.At, open))
		}
	},
	"left-requester": func(checker *Checker, run *Run, broken reportFunc) {
		for _, answer := range checker.requests[run.Request] {
			if late := checker.sentAfterDeparture(run, answer); late > DepartureBound {
				broken("%s reached %s %v after its requester had left %s", run.Request, run.Runner, late, run.Daemon)
			}
		}
	},
	"cold-flooded": func(_ *Checker, run *Run, broken reportFunc) {
		if run.WarmingUp && run.Concurrent >= run.Capacity+WarmUpAllowance {
			broken("%s came to %s, still cold with room for %d, beside %d others", run.Request, run.Runner,
				run.Capacity, run.Concurrent)
		}
	},
}

const didNotRun = "did not run"

// sentAgain reports whether a request was sent anew after an answer.
func (checker *Checker) sentAgain(answer *Answer) bool {
	for _, other := range checker.requests[answer.Request] {
		if other != answer && (!other.Sent.Before(answer.Got) || !answer.Once) {
			return true
		}
	}
	return false
}

func allows(catalog *config.Catalog, run *Run) bool {
	for _, backend := range catalog.Backends {
		if backend.Allows(run.Service) {
			return true
		}
	}
	return false
}

func serves(catalog *config.Catalog, run *Run) bool {
	route := catalog.Routes[run.Route]
	if route == nil {
		return false
	}
	backend := catalog.Backends[route.Pool]
	return backend != nil && backend.Model == run.Model && backend.Weights == run.Weights
}

// drainingFor returns how long before a run its runner was known to leave.
func (checker *Checker) drainingFor(run *Run) time.Duration {
	longest := time.Duration(0)
	for _, drain := range checker.drains[run.Runner] {
		if drain.At.Before(run.At) && (drain.Back.IsZero() || run.At.Before(drain.Back)) {
			longest = max(longest, run.At.Sub(drain.At))
		}
	}
	return longest
}

// onAnswer is checked whenever a client has its whole answer.
var onAnswer = map[string]func(checker *Checker, answer *Answer, broken reportFunc){
	"ran-after-refusal": func(checker *Checker, answer *Answer, broken reportFunc) {
		for _, run := range checker.runs[answer.Request] {
			if answer.Ran == didNotRun && run.At.Before(answer.Got) && !checker.sentAgain(answer) {
				broken("%s: its requester was told %q that it did not run, but %s ran it", answer.Request, answer.Kind,
					run.Runner)
			}
		}
	},
	"not-whole": func(checker *Checker, answer *Answer, broken reportFunc) {
		complete := !answer.Done
		for _, run := range checker.runs[answer.Request] {
			complete = complete || run.Complete && run.Events == len(answer.IDs)-1
		}
		if !complete {
			broken("%s: a success of %d events that no run gave", answer.Request, len(answer.IDs))
		}
	},
	"spliced": func(checker *Checker, answer *Answer, broken reportFunc) {
		for index, id := range answer.IDs {
			if id != index+1 {
				broken("%s: event %d in place %d", answer.Request, id, index+1)
				break
			}
		}
		for index := range answer.Runs {
			if answer.Runs[index] != answer.Runs[0] && !answer.Resumable {
				broken("%s: events of runs %s and %s", answer.Request, answer.Runs[0], answer.Runs[index])
				break
			}
			// Where a stream may be resumed, another run goes on exactly behind what was relayed.
			if index > 0 && answer.Runs[index] != answer.Runs[index-1] &&
				!checker.startedAfter(answer.Request, answer.Runs[index], answer.IDs[index-1]) {
				broken("%s: run %s goes on behind event %d, where it did not begin", answer.Request, answer.Runs[index],
					answer.IDs[index-1])
				break
			}
		}
	},
	"dropped": func(checker *Checker, answer *Answer, broken reportFunc) {
		if !answer.ConnectionLost || !answer.RequestSent || answer.HungUp {
			return
		}
		for _, fault := range checker.history.Faults {
			if fault.Kills && fault.Daemon == answer.Daemon && !answer.Got.Before(fault.At) &&
				!answer.Sent.After(fault.Until) {
				return
			}
		}
		broken("%s, sent to %s, was never answered", answer.Request, answer.Daemon)
	},
	"turned-away": func(checker *Checker, answer *Answer, broken reportFunc) {
		if answer.Resent && answer.Kind == "already_taken" && checker.surelyNotRun(answer) {
			broken("%s was refused as taken already by %s, though it had surely not run", answer.Request, answer.Daemon)
		}
		// Whose time has passed is refused for that.
		if answer.ConnectionLost || answer.HungUp || answer.Done || answer.Resent ||
			answer.Bound > 0 &&
				!answer.lastEventAt().Before(answer.Started.Add(answer.Bound-answer.Bound/ClockErrorDivisor)) {
			return
		}
		check := wrongfulRejections[answer.Kind]
		if check == nil {
			broken("%s was refused with %d %q by %s", answer.Request, answer.Status, answer.Kind, answer.Daemon)
			return
		}
		if checker.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			return
		}
		if why := check(checker, answer); why != "" {
			broken("%s of %s, sent to %s, was refused with %q (%s) after %v, but %s", answer.Request, answer.Route,
				answer.Daemon, answer.Kind, answer.Detail, answer.Got.Sub(answer.Sent), why)
		}
	},
	"no-return-time": func(_ *Checker, answer *Answer, broken reportFunc) {
		if retryable[answer.Kind] && !answer.RetryAfter && answer.Status != 200 {
			broken("%s was refused with %q and not told when to come back", answer.Request, answer.Kind)
		}
	},
	"held-back": func(checker *Checker, answer *Answer, broken reportFunc) {
		// What is sent again is refused for what became of the first, at any time.
		if answer.ConnectionLost || answer.Done || answer.HungUp || answer.Resent ||
			checker.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			return
		}
		if late := checker.overdue(answer); late > OverdueBound {
			broken("%s got its final %q %v after it could be known", answer.Request, answer.Kind, late)
		}
	},
	"resumed": func(checker *Checker, answer *Answer, broken reportFunc) {
		for _, run := range checker.runs[answer.Request] {
			if run.After > 0 && !answer.Resumable {
				broken("%s was resumed behind event %d, which its lane does not allow", answer.Request, run.After)
			}
			if len(answer.Runs) > 0 && run.Name == answer.Runs[0] && answer.Head != "" && run.Runner != answer.Head {
				broken("%s began at %s; its head names %s", answer.Request, run.Runner, answer.Head)
			}
		}
	},
	"past-deadline": func(checker *Checker, answer *Answer, broken reportFunc) {
		if answer.Bound == 0 || answer.Started.IsZero() || answer.ConnectionLost || answer.HungUp ||
			checker.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			return
		}
		late := answer.lastEventAt().Sub(answer.Started.Add(answer.Bound))
		if late > DeadlineAllowance+answer.Bound/ClockErrorDivisor {
			broken("%s of %s was answered with %d %q (%s) %v after its %v had passed", answer.Request, answer.Route,
				answer.Status, answer.Kind, answer.Detail, late, answer.Bound)
		}
	},
}

// lastEventAt is when the last of an answer was there.
func (answer *Answer) lastEventAt() time.Time {
	if answer.Last.IsZero() {
		return answer.Got
	}
	return answer.Last
}

// startedAfter reports whether a run of a request began behind an event.
func (checker *Checker) startedAfter(request, name string, after int) bool {
	for _, run := range checker.runs[request] {
		if run.Name == name {
			return run.After == after
		}
	}
	return false
}

// surelyNotRun reports whether everybody who sent a request before was told that it did not run.
func (checker *Checker) surelyNotRun(answer *Answer) bool {
	before := 0
	for _, other := range checker.answers[answer.Request] {
		if other != answer && !other.Got.After(answer.Sent) {
			if other.Ran != didNotRun {
				return false
			}
			before++
		}
	}
	return before > 0 && before == len(checker.requests[answer.Request])-1 && len(checker.runs[answer.Request]) == 0
}

// retryable are the refusals that another try can help.
var retryable = map[string]bool{
	"purse_spent":    true,
	"patience_short": true,
	"waitlist_full":  true,
	"no_fit_runner":  true,
	"not_serving":    true,
}

// overdue returns how long after its cause could be known a request got its final answer.
func (checker *Checker) overdue(answer *Answer) time.Duration {
	known := answer.Sent.Add(answer.LatencyTarget)
	for _, run := range checker.runs[answer.Request] {
		fault, found := checker.runnerFault(run.Runner, run.At, answer.Got)
		if !found {
			// A runner that is only slow may yet answer, so there is nothing to be known.
			return 0
		}
		begin := fault.At
		if begin.Before(run.At) {
			begin = run.At
		}
		at := begin.Add(fault.Knowable)
		if fault.Until.Sub(begin) < fault.Knowable {
			// What was over before anybody could know of it shows only by the answer that does not come.
			at = run.At.Add(2 * answer.LatencyTarget)
		}
		// A request that may be repeated is still being tried while its patience lasts.
		if at.After(known) || answer.Once {
			known = at
		}
	}
	return answer.Got.Sub(known)
}

// wrongfulRejections tell for each kind of refusal why it was our own mistake; "" where it was not.
var wrongfulRejections = map[string]func(checker *Checker, answer *Answer) string{
	"patience_short":  ampleCapacity,
	"purse_spent":     ampleCapacity,
	"waitlist_full":   ampleCapacity,
	"no_fit_runner":   ampleCapacity,
	"not_serving":     lonelyDaemon,
	"outcome_unknown": soundRunner,
	"run_failed":      soundRunner,
	"unknown_lane":    inSpec,
	"unknown_model":   inSpec,
	"already_taken":   func(*Checker, *Answer) string { return "it was sent only once" },
}

// ampleCapacity finds a refusal for want of room beside a backend that had plenty all the while.
func ampleCapacity(checker *Checker, answer *Answer) string {
	if room := checker.leastFreeShare(answer.Sent.Add(-ReportStaleness), answer.Got); room >= AmpleShare {
		return "a good part of the pool was free all the while"
	}
	return ""
}

// lonelyDaemon finds a daemon that did not serve although nothing was done to it and most others were there:
// it could be sure of its spec by the head or by them.
func lonelyDaemon(checker *Checker, answer *Answer) string {
	touched := map[string]bool{}
	for _, fault := range checker.history.Faults {
		if fault.Daemon != "" && !answer.Got.Before(fault.At) && answer.Sent.Before(fault.Until.Add(faultShadow)) {
			touched[fault.Daemon] = true
		}
	}
	if 2*len(touched) >= checker.history.Daemons {
		return ""
	}
	return "no fault touched it, nor half of the others"
}

// soundRunner finds a run given up although nothing was done to its runner.
func soundRunner(checker *Checker, answer *Answer) string {
	for _, run := range checker.runs[answer.Request] {
		if _, found := checker.runnerFault(run.Runner, run.At, answer.Got); found {
			return ""
		}
	}
	// Bytes may be lost on the way to a runner that never saw them, as long as its loss could not be known.
	if len(checker.runs[answer.Request]) == 0 && answer.Kind == "outcome_unknown" {
		for _, fault := range checker.history.Faults {
			if fault.Runner != "" && !answer.Got.Before(fault.At) &&
				answer.Sent.Before(fault.At.Add(fault.Knowable+resetTransitTime)) {
				return ""
			}
		}
	}
	return "nothing was done to its runner"
}

// inSpec finds a request refused as unknown although every spec that could be in force has its route.
func inSpec(checker *Checker, answer *Answer) string {
	for _, version := range checker.specsInForce(answer.Daemon, answer.Got, SpecBound) {
		if version.catalog.Routes[answer.Route] == nil {
			return ""
		}
	}
	return "every spec in force has its lane"
}

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
