package histories

import (
	"slices"
	"time"
)

// answerRules are checked whenever a client has received its complete answer.
var answerRules = map[string]func(checker *Checker, attempt *ClientAttempt, report reportFunc){
	"ran-after-refusal": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		for _, run := range checker.runs[attempt.Request] {
			if attempt.Ran == didNotRun && run.At.Before(attempt.Got) && !checker.retriedAfter(attempt) {
				report("%s was refused with %q as not executed, but runner %s ran it", attempt.Request, attempt.Kind,
					run.Runner)
			}
		}
	},
	"not-whole": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		complete := !attempt.Done
		for _, run := range checker.runs[attempt.Request] {
			complete = complete || run.Complete && run.Events == len(attempt.IDs)-1
		}
		if !complete {
			report("%s: a complete answer of %d events that no run produced", attempt.Request, len(attempt.IDs))
		}
	},
	"spliced": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		for index, id := range attempt.IDs {
			if id != index+1 {
				report("%s: event %d in place %d", attempt.Request, id, index+1)
				break
			}
		}
		for index := range attempt.Runs {
			if attempt.Runs[index] != attempt.Runs[0] && !attempt.Resumable {
				report("%s mixes events of runs %s and %s", attempt.Request, attempt.Runs[0], attempt.Runs[index])
				break
			}
			// In a resumable stream another run must continue directly after the last relayed event.
			if index > 0 && attempt.Runs[index] != attempt.Runs[index-1] &&
				!checker.startedAfter(attempt.Request, attempt.Runs[index], attempt.IDs[index-1]) {
				report("%s: run %s continues after event %d, but did not begin there", attempt.Request, attempt.Runs[index],
					attempt.IDs[index-1])
				break
			}
		}
	},
	"dropped": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		if !attempt.ConnectionLost || !attempt.RequestSent || attempt.ClientDisconnected {
			return
		}
		for _, fault := range checker.history.Faults {
			if fault.LosesRequests && fault.Daemon == attempt.Daemon && !attempt.Got.Before(fault.At) &&
				!attempt.Sent.After(fault.Until) {
				return
			}
		}
		report("%s, sent to %s, got no answer, and no fault excuses it", attempt.Request, attempt.Daemon)
	},
	"turned-away": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		if checker.isNeedlesslyInDoubt(attempt) {
			report("%s was refused as possibly executed (%s) by %s, though no daemon had a recent fault", attempt.Request,
				attempt.Detail, attempt.Daemon)
		}
		if attempt.Resent && attempt.Kind == "already_taken" && checker.surelyNotRun(attempt) {
			report("%s was refused as a duplicate by %s, though it had surely not run", attempt.Request, attempt.Daemon)
		}
		// A request whose deadline has passed may be refused for that reason.
		if attempt.ConnectionLost || attempt.ClientDisconnected || attempt.Done || attempt.Resent ||
			checker.isInDoubt(attempt) ||
			attempt.Deadline > 0 &&
				!attempt.lastEventAt().Before(attempt.Started.Add(attempt.Deadline-attempt.Deadline/ClockErrorDivisor)) {
			return
		}
		check := wrongfulRefusals[attempt.Kind]
		if check == nil {
			report("%s was refused with %d %q by %s", attempt.Request, attempt.Status, attempt.Kind, attempt.Daemon)
			return
		}
		if checker.history.excusedByFault(attempt.Daemon, attempt.Sent, attempt.Got) {
			return
		}
		if why := check(checker, attempt); why != "" {
			report("%s of %s, sent to %s, was refused with %q (%s) after %v, but %s", attempt.Request, attempt.Route,
				attempt.Daemon, attempt.Kind, attempt.Detail, attempt.Got.Sub(attempt.Sent), why)
		}
	},
	"no-return-time": func(_ *Checker, attempt *ClientAttempt, report reportFunc) {
		if retryable[attempt.Kind] && !attempt.RetryAfter && attempt.Status != 200 {
			report("%s was refused with %q without a retry time", attempt.Request, attempt.Kind)
		}
	},
	"held-back": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		// A retry may be refused at any time because of the outcome of the first attempt.
		if attempt.ConnectionLost || attempt.Done || attempt.ClientDisconnected || attempt.Resent ||
			checker.history.excusedByFault(attempt.Daemon, attempt.Sent, attempt.Got) {
			return
		}
		if late := checker.overdue(attempt); late > OverdueBound {
			report("%s got its final answer %q %v after its cause could be known", attempt.Request, attempt.Kind, late)
		}
	},
	"ended-early": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		if !attempt.AtMostOnce || attempt.ConnectionLost || attempt.Done || attempt.ClientDisconnected || attempt.Resent {
			return
		}
		if run := checker.endedEarly(attempt); run != nil {
			report("%s was given up as %q %v after it had reached %s, which was still at work on it", attempt.Request,
				attempt.Kind, run.Canceled.Sub(run.At), run.Runner)
		}
	},
	"resumed": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		for _, run := range checker.runs[attempt.Request] {
			if run.After > 0 && !attempt.Resumable {
				report("%s was resumed after event %d, which its route does not allow", attempt.Request, run.After)
			}
			if len(attempt.Runs) > 0 && run.Name == attempt.Runs[0] &&
				attempt.HeaderRunner != "" && run.Runner != attempt.HeaderRunner {
				report("%s began at %s; its head names %s", attempt.Request, run.Runner, attempt.HeaderRunner)
			}
		}
	},
	"past-deadline": func(checker *Checker, attempt *ClientAttempt, report reportFunc) {
		if attempt.Deadline == 0 || attempt.Started.IsZero() || attempt.ConnectionLost || attempt.ClientDisconnected ||
			checker.history.excusedByFault(attempt.Daemon, attempt.Sent, attempt.Got) {
			return
		}
		late := attempt.lastEventAt().Sub(attempt.Started.Add(attempt.Deadline))
		if late > DeadlineAllowance+attempt.Deadline/ClockErrorDivisor {
			report("%s of %s was answered with %d %q (%s) %v after its deadline of %v", attempt.Request, attempt.Route,
				attempt.Status, attempt.Kind, attempt.Detail, late, attempt.Deadline)
		}
	},
}

// sentInSilence reports whether a request that can't be repeated may have been sent to a silent runner that never began
// to work on it, a frozen one for example, so that no run is recorded.
func (checker *Checker) sentInSilence(attempt *ClientAttempt) bool {
	if !attempt.AtMostOnce || attempt.Kind != "outcome_unknown" || len(checker.runs[attempt.Request]) > 0 {
		return false
	}
	return slices.ContainsFunc(checker.history.Faults, func(fault Fault) bool {
		return fault.isSilent() && fault.overlaps(attempt.Sent, attempt.Got)
	})
}

// waitLimit returns the time until which a daemon has to wait for the first event of a silent run that began at a
// moment: the deadline of the request or, if it has none, the time that the daemon grants a run that can't be repeated.
func (attempt *ClientAttempt) waitLimit(began time.Time) time.Time {
	if attempt.Deadline > 0 && !attempt.Started.IsZero() {
		return attempt.Started.Add(attempt.Deadline)
	}
	return began.Add(2 * attempt.LatencyTarget)
}

// endedEarly returns the run of a request whose connection the daemon closed while the runner was at work and the
// request still had time; nil if there is none. Only silent runners, or runners without a fault, are judged: anything
// else may have shown the daemon that the run had failed.
func (checker *Checker) endedEarly(attempt *ClientAttempt) *Run {
	for _, fault := range checker.history.Faults {
		if !fault.isSilent() && fault.excuses(attempt.Sent, attempt.Got) {
			return nil
		}
	}
	for _, run := range checker.runs[attempt.Request] {
		atWork := run.Started && (run.Finished.IsZero() || run.Finished.After(run.Canceled))
		allowance := attempt.waitLimit(run.At).Sub(run.At) / ClockErrorDivisor
		if !run.Canceled.IsZero() && atWork && run.Canceled.Before(attempt.waitLimit(run.At).Add(-allowance)) {
			return run
		}
	}
	return nil
}

// lastEventAt returns the time at which the last event of an answer, or the answer itself, was received.
func (attempt *ClientAttempt) lastEventAt() time.Time {
	if attempt.Last.IsZero() {
		return attempt.Got
	}
	return attempt.Last
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
func (checker *Checker) isInDoubt(attempt *ClientAttempt) bool {
	mayBeRepeated := attempt.Resent || attempt.Undeclared && attempt.AtMostOnce ||
		attempt.AtMostOnce && checker.recordsWereLost(attempt)
	return mayBeRepeated && attempt.Kind == "outcome_unknown" && len(checker.runs[attempt.Request]) == 0
}

// recordsWereLost reports whether daemons of every zone were killed before the answer to a request: none earlier than
// DoubtBound before the request was sent, and the last one no earlier than FirstDoubtBound before it was sent.
func (checker *Checker) recordsWereLost(attempt *ClientAttempt) bool {
	killed, isRecent := map[string]bool{}, false
	for _, fault := range checker.history.Faults {
		if fault.Daemon == "" || !fault.LosesRequests || !fault.overlaps(attempt.Sent.Add(-DoubtBound), attempt.Got) {
			continue
		}
		killed[checker.history.ZoneOf[fault.Daemon]] = true
		isRecent = isRecent || attempt.Sent.Before(fault.Until.Add(FirstDoubtBound))
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
func (checker *Checker) isNeedlesslyInDoubt(attempt *ClientAttempt) bool {
	return !attempt.MinorityLeft && checker.isInDoubt(attempt) && faultlessRunner(checker, attempt) != "" &&
		!checker.history.anyDaemonFaulty(attempt.Sent.Add(-DoubtBound), attempt.Got)
}

// surelyNotRun reports whether every earlier attempt of a request was refused as not executed, and no daemon had a
// fault meanwhile that could have kept the others from learning that.
func (checker *Checker) surelyNotRun(attempt *ClientAttempt) bool {
	before := 0
	for _, other := range checker.answers[attempt.Request] {
		if other != attempt && !other.Got.After(attempt.Sent) {
			if other.Ran != didNotRun || checker.history.anyDaemonFaulty(other.Sent, attempt.Got) {
				return false
			}
			before++
		}
	}
	return before > 0 && before == len(checker.requests[attempt.Request])-1 && len(checker.runs[attempt.Request]) == 0
}

// retryable are the kinds of refusals after which a retry can succeed.
var retryable = map[string]bool{
	"purse_spent":    true,
	"patience_short": true,
	"waitlist_full":  true,
	"no_fit_runner":  true,
	"not_serving":    true,
}

// overdue returns the delay of a request's final answer: the time between the moment at which the loss that caused it
// could be known and the answer.
func (checker *Checker) overdue(attempt *ClientAttempt) time.Duration {
	known := attempt.Sent.Add(attempt.LatencyTarget)
	if checker.sentInSilence(attempt) {
		known = attempt.waitLimit(attempt.Sent)
	}
	for _, run := range checker.runs[attempt.Request] {
		fault, found := checker.history.runnerFault(run.Runner, run.At, attempt.Got)
		if !found {
			// A runner without a fault is only slow and may still answer, so no loss can be known.
			return 0
		}
		begin := fault.At
		if begin.Before(run.At) {
			begin = run.At
		}
		at := begin.Add(fault.DetectionTime)
		if fault.Until.Sub(begin) < fault.DetectionTime {
			// A fault that ended before it could be detected shows only by the missing answer.
			at = run.At.Add(2 * attempt.LatencyTarget)
		}
		// The silence of a runner does not show that it has stopped working, so the request waits until its time is
		// over.
		if limit := attempt.waitLimit(run.At); fault.isSilent() && limit.After(at) {
			at = limit
		}
		// An idempotent request is retried at other runners within its latency target.
		if at.After(known) || attempt.AtMostOnce {
			known = at
		}
	}
	return attempt.Got.Sub(known)
}
