package histories

import (
	"time"

	"wardtray/config"
)

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
				checker.specs.outdatedFor(run.At, func(catalog *config.Catalog) bool { return serves(catalog, run) }))
		}
	},
	"slipped-back": func(checker *Checker, run *Run, broken reportFunc) {
		// Requests of one daemon overtake each other while bytes are on their way; a slip back lasts.
		greatest := checker.epochs[run.Daemon]
		if run.Epoch < greatest.epoch && run.At.Sub(greatest.since) > transitTime {
			broken("%s went from epoch %d back to %d", run.Daemon, greatest.epoch, run.Epoch)
		}
		if run.Epoch > greatest.epoch {
			checker.epochs[run.Daemon] = workedEpoch{epoch: run.Epoch, since: run.At}
		}
	},
	"closed-zone": func(checker *Checker, run *Run, broken reportFunc) {
		open := func(catalog *config.Catalog) bool { return catalog.IsOpen(run.Zone) }
		if !checker.permittedBySomeSpec(run.Daemon, run.At, ZoneBound, open) {
			broken("%s went into zone %s %v after its closing was acknowledged", run.Request, run.Zone,
				checker.specs.outdatedFor(run.At, open))
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

// sentAgain reports whether a request was sent anew after an answer, so that another run of it is wanted. What an
// answer says of a request speaks for its own sending and for those with a smaller number; one without a number speaks
// for those that are over.
func (checker *Checker) sentAgain(answer *Answer) bool {
	for _, other := range checker.requests[answer.Request] {
		if other == answer {
			continue
		}
		isLater := other.Attempt > answer.Attempt
		if answer.Attempt == 0 {
			isLater = other.Got.IsZero() || !other.Got.Before(answer.Got)
		}
		if isLater || !answer.Once {
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
