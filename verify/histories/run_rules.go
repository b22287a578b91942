package histories

import (
	"time"

	"wardtray/config"
)

// runRules are checked whenever a runner has received a request.
var runRules = map[string]func(checker *Checker, run *Run, report reportFunc){
	"run-twice": func(checker *Checker, run *Run, report reportFunc) {
		if runs := checker.runs[run.Request]; run.Started && checker.atMostOnce[run.Request] && len(runs) > 1 {
			report("%s ran %d times, at %s by %s and at %s by %s", run.Request, len(runs), runs[0].Runner,
				runs[0].Daemon, run.Runner, run.Daemon)
		}
	},
	"ran-after-refusal": func(checker *Checker, run *Run, report reportFunc) {
		for _, attempt := range checker.answers[run.Request] {
			// A client that retries its request after this refusal asks for another run.
			if run.Started && attempt.Ran == didNotRun && !checker.retriedAfter(attempt) {
				report("%s ran at %s after it was refused with %q as not executed", run.Request, run.Runner,
					attempt.Kind)
			}
		}
	},
	"not-allowed": func(checker *Checker, run *Run, report reportFunc) {
		if !checker.permittedBySomeSpec(run.Daemon, run.At, SpecBound,
			func(catalog *config.Catalog) bool { return allows(catalog, run) }) {
			report("%s went to service %q of runner %s, which no spec in force allows", run.Request, run.Service,
				run.Runner)
		}
	},
	"wrong-runner": func(_ *Checker, run *Run, report reportFunc) {
		if run.IntendedRunner != run.Runner {
			report("%s was sent to %s and reached %s", run.Request, run.IntendedRunner, run.Runner)
		}
	},
	"leaving": func(checker *Checker, run *Run, report reportFunc) {
		if late := checker.drainingFor(run); late > DrainingBound {
			report("%s reached %s %v after it was listed as draining", run.Request, run.Runner, late)
		}
	},
	"change-ignored": func(checker *Checker, run *Run, report reportFunc) {
		if !checker.permittedBySomeSpec(run.Daemon, run.At, SpecBound,
			func(catalog *config.Catalog) bool { return serves(catalog, run) }) {
			report("%s of route %q was sent to weights %q by %s, %v after a spec without this was acknowledged",
				run.Request, run.Route, run.Weights, run.Daemon,
				checker.specs.outdatedFor(run.At, func(catalog *config.Catalog) bool { return serves(catalog, run) }))
		}
	},
	"slipped-back": func(checker *Checker, run *Run, report reportFunc) {
		// Requests of one daemon may overtake each other in transit, so only a lasting return to an older epoch counts.
		greatest := checker.epochs[run.Daemon]
		if run.Epoch < greatest.epoch && run.At.Sub(greatest.since) > transitTime {
			report("%s went from epoch %d back to %d", run.Daemon, greatest.epoch, run.Epoch)
		}
		if run.Epoch > greatest.epoch {
			checker.epochs[run.Daemon] = workedEpoch{epoch: run.Epoch, since: run.At}
		}
	},
	"closed-zone": func(checker *Checker, run *Run, report reportFunc) {
		open := func(catalog *config.Catalog) bool { return catalog.IsOpen(run.Zone) }
		if !checker.permittedBySomeSpec(run.Daemon, run.At, ZoneBound, open) {
			report("%s was sent to zone %s %v after its closing was acknowledged", run.Request, run.Zone,
				checker.specs.outdatedFor(run.At, open))
		}
	},
	"left-requester": func(checker *Checker, run *Run, report reportFunc) {
		for _, attempt := range checker.requests[run.Request] {
			if late := checker.sentAfterDisconnect(run, attempt); late > DisconnectBound {
				report("%s reached %s %v after its client had disconnected from %s", run.Request, run.Runner, late, run.Daemon)
			}
		}
	},
	"cold-flooded": func(_ *Checker, run *Run, report reportFunc) {
		if run.WarmingUp && run.Concurrent >= run.Capacity+WarmUpAllowance {
			report("%s reached %s, still cold with capacity %d, beside %d others", run.Request, run.Runner,
				run.Capacity, run.Concurrent)
		}
	},
}

// didNotRun is the statement in an answer that neither this attempt nor an earlier one runs.
const didNotRun = "did not run"

// retriedAfter reports whether the client retried a request after an answer, so that another run is allowed. An answer
// covers its own attempt and those with a smaller number; an answer to an attempt without a number covers the attempts
// that ended before it.
func (checker *Checker) retriedAfter(attempt *ClientAttempt) bool {
	for _, other := range checker.requests[attempt.Request] {
		if other == attempt {
			continue
		}
		isLater := other.Attempt > attempt.Attempt
		if attempt.Attempt == 0 {
			isLater = other.Got.IsZero() || !other.Got.Before(attempt.Got)
		}
		if isLater || !attempt.AtMostOnce {
			return true
		}
	}
	return false
}

func allows(catalog *config.Catalog, run *Run) bool {
	for _, backend := range catalog.Backends {
		if backend.AllowsService(run.Service) {
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
	backend := catalog.Backends[route.Backend]
	return backend != nil && backend.Model == run.Model && backend.Weights == run.Weights
}

// drainingFor returns the time from the listing of a run's runner as draining until the run; 0 if it was not listed so.
func (checker *Checker) drainingFor(run *Run) time.Duration {
	longest := time.Duration(0)
	for _, drain := range checker.drains[run.Runner] {
		if drain.At.Before(run.At) && (drain.Back.IsZero() || run.At.Before(drain.Back)) {
			longest = max(longest, run.At.Sub(drain.At))
		}
	}
	return longest
}
