package histories

import (
	"time"
)

// answerRules are checked whenever a client has received its complete answer.
var answerRules = map[string]func(checker *Checker, answer *Answer, report reportFunc){
	"ran-after-refusal": func(checker *Checker, answer *Answer, report reportFunc) {
		for _, run := range checker.runs[answer.Request] {
			if answer.Ran == didNotRun && run.At.Before(answer.Got) && !checker.retriedAfter(answer) {
				report("%s was refused with %q as not executed, but runner %s ran it", answer.Request, answer.Kind,
					run.Runner)
			}
		}
	},
	"not-whole": func(checker *Checker, answer *Answer, report reportFunc) {
		complete := !answer.Done
		for _, run := range checker.runs[answer.Request] {
			complete = complete || run.Complete && run.Events == len(answer.IDs)-1
		}
		if !complete {
			report("%s: a complete answer of %d events that no run produced", answer.Request, len(answer.IDs))
		}
	},
	"spliced": func(checker *Checker, answer *Answer, report reportFunc) {
		for index, id := range answer.IDs {
			if id != index+1 {
				report("%s: event %d in place %d", answer.Request, id, index+1)
				break
			}
		}
		for index := range answer.Runs {
			if answer.Runs[index] != answer.Runs[0] && !answer.Resumable {
				report("%s mixes events of runs %s and %s", answer.Request, answer.Runs[0], answer.Runs[index])
				break
			}
			// In a resumable stream another run must continue directly after the last relayed event.
			if index > 0 && answer.Runs[index] != answer.Runs[index-1] &&
				!checker.startedAfter(answer.Request, answer.Runs[index], answer.IDs[index-1]) {
				report("%s: run %s continues after event %d, but did not begin there", answer.Request, answer.Runs[index],
					answer.IDs[index-1])
				break
			}
		}
	},
	"dropped": func(checker *Checker, answer *Answer, report reportFunc) {
		if !answer.ConnectionLost || !answer.RequestSent || answer.HungUp {
			return
		}
		for _, fault := range checker.history.Faults {
			if fault.Kills && fault.Daemon == answer.Daemon && !answer.Got.Before(fault.At) &&
				!answer.Sent.After(fault.Until) {
				return
			}
		}
		report("%s, sent to %s, got no answer, and no fault excuses it", answer.Request, answer.Daemon)
	},
	"turned-away": func(checker *Checker, answer *Answer, report reportFunc) {
		if checker.isNeedlesslyInDoubt(answer) {
			report("%s was refused as possibly executed (%s) by %s, though no daemon had a recent fault", answer.Request,
				answer.Detail, answer.Daemon)
		}
		if answer.Resent && answer.Kind == "already_taken" && checker.surelyNotRun(answer) {
			report("%s was refused as a duplicate by %s, though it had surely not run", answer.Request, answer.Daemon)
		}
		// A request whose deadline has passed may be refused for that reason.
		if answer.ConnectionLost || answer.HungUp || answer.Done || answer.Resent || checker.isInDoubt(answer) ||
			answer.Bound > 0 &&
				!answer.lastEventAt().Before(answer.Started.Add(answer.Bound-answer.Bound/ClockErrorDivisor)) {
			return
		}
		check := wrongfulRefusals[answer.Kind]
		if check == nil {
			report("%s was refused with %d %q by %s", answer.Request, answer.Status, answer.Kind, answer.Daemon)
			return
		}
		if checker.history.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			return
		}
		if why := check(checker, answer); why != "" {
			report("%s of %s, sent to %s, was refused with %q (%s) after %v, but %s", answer.Request, answer.Route,
				answer.Daemon, answer.Kind, answer.Detail, answer.Got.Sub(answer.Sent), why)
		}
	},
	"no-return-time": func(_ *Checker, answer *Answer, report reportFunc) {
		if retryable[answer.Kind] && !answer.RetryAfter && answer.Status != 200 {
			report("%s was refused with %q without a retry time", answer.Request, answer.Kind)
		}
	},
	"held-back": func(checker *Checker, answer *Answer, report reportFunc) {
		// A retry may be refused at any time for the outcome of the first attempt.
		if answer.ConnectionLost || answer.Done || answer.HungUp || answer.Resent ||
			checker.history.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			return
		}
		if late := checker.overdue(answer); late > OverdueBound {
			report("%s got its final answer %q %v after its cause could be known", answer.Request, answer.Kind, late)
		}
	},
	"resumed": func(checker *Checker, answer *Answer, report reportFunc) {
		for _, run := range checker.runs[answer.Request] {
			if run.After > 0 && !answer.Resumable {
				report("%s was resumed after event %d, which its route does not allow", answer.Request, run.After)
			}
			if len(answer.Runs) > 0 && run.Name == answer.Runs[0] && answer.Head != "" && run.Runner != answer.Head {
				report("%s began at %s; its head names %s", answer.Request, run.Runner, answer.Head)
			}
		}
	},
	"past-deadline": func(checker *Checker, answer *Answer, report reportFunc) {
		if answer.Bound == 0 || answer.Started.IsZero() || answer.ConnectionLost || answer.HungUp ||
			checker.history.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			return
		}
		late := answer.lastEventAt().Sub(answer.Started.Add(answer.Bound))
		if late > DeadlineAllowance+answer.Bound/ClockErrorDivisor {
			report("%s of %s was answered with %d %q (%s) %v after its deadline of %v", answer.Request, answer.Route,
				answer.Status, answer.Kind, answer.Detail, late, answer.Bound)
		}
	},
}

// lastEventAt returns when the last event of an answer, or the answer itself, was received.
func (answer *Answer) lastEventAt() time.Time {
	if answer.Last.IsZero() {
		return answer.Got
	}
	return answer.Last
}

// startedAfter reports whether a run of a request began after an event.
func (checker *Checker) startedAfter(request, name string, after int) bool {
	for _, run := range checker.runs[request] {
		if run.Name == name {
			return run.After == after
		}
	}
	return false
}

// isInDoubt reports whether an at-most-once request was refused, rightly, because an earlier attempt may have run: its
// client did not declare this attempt the first one, or daemons of every zone were killed recently, together with their
// records of other attempts.
func (checker *Checker) isInDoubt(answer *Answer) bool {
	mayBeRepeated := answer.Resent || answer.Undeclared && answer.Once || answer.Once && checker.recordsWereLost(answer)
	return mayBeRepeated && answer.Kind == "outcome_unknown" && len(checker.runs[answer.Request]) == 0
}

// recordsWereLost reports whether daemons of every zone were killed, none earlier than DoubtBound and the last one at
// most FirstDoubtBound before a request was sent.
func (checker *Checker) recordsWereLost(answer *Answer) bool {
	killed, isRecent := map[string]bool{}, false
	for _, fault := range checker.history.Faults {
		if fault.Daemon == "" || !fault.Kills || !fault.overlaps(answer.Sent.Add(-DoubtBound), answer.Got) {
			continue
		}
		killed[checker.history.ZoneOf[fault.Daemon]] = true
		isRecent = isRecent || answer.Sent.Before(fault.Until.Add(FirstDoubtBound))
	}
	for _, zone := range checker.history.Zones {
		if !killed[zone] {
			return false
		}
	}
	return isRecent
}

// isNeedlesslyInDoubt reports whether a request was refused as possibly executed although the daemons had records of
// every attempt that could have run. While only a minority of the control machines is left, daemons may neither serve
// nor state outcomes, and such a refusal is allowed.
func (checker *Checker) isNeedlesslyInDoubt(answer *Answer) bool {
	return !answer.MinorityLeft && checker.isInDoubt(answer) && faultlessRunner(checker, answer) != "" &&
		!checker.history.anyDaemonFaulty(answer.Sent.Add(-DoubtBound), answer.Got)
}

// surelyNotRun reports whether every earlier attempt of a request was refused as not executed, and no daemon had a
// fault meanwhile that could have kept the others from learning that.
func (checker *Checker) surelyNotRun(answer *Answer) bool {
	before := 0
	for _, other := range checker.answers[answer.Request] {
		if other != answer && !other.Got.After(answer.Sent) {
			if other.Ran != didNotRun || checker.history.anyDaemonFaulty(other.Sent, answer.Got) {
				return false
			}
			before++
		}
	}
	return before > 0 && before == len(checker.requests[answer.Request])-1 && len(checker.runs[answer.Request]) == 0
}

// retryable are the kinds of refusals after which a retry can succeed.
var retryable = map[string]bool{
	"purse_spent":    true,
	"patience_short": true,
	"waitlist_full":  true,
	"no_fit_runner":  true,
	"not_serving":    true,
}

// overdue returns the time from when the cause of a request's final answer could be known to the answer.
func (checker *Checker) overdue(answer *Answer) time.Duration {
	known := answer.Sent.Add(answer.LatencyTarget)
	for _, run := range checker.runs[answer.Request] {
		fault, found := checker.history.runnerFault(run.Runner, run.At, answer.Got)
		if !found {
			// A runner without a fault is only slow and may still answer, so no loss can be known.
			return 0
		}
		begin := fault.At
		if begin.Before(run.At) {
			begin = run.At
		}
		at := begin.Add(fault.Knowable)
		if fault.Until.Sub(begin) < fault.Knowable {
			// A fault that ended before it could be detected shows only by the missing answer.
			at = run.At.Add(2 * answer.LatencyTarget)
		}
		// A repeatable request is retried at other runners within its latency target.
		if at.After(known) || answer.Once {
			known = at
		}
	}
	return answer.Got.Sub(known)
}
