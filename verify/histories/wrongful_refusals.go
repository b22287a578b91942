package histories

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
	"already_taken":   sentOnce,
}

// sentOnce finds a request refused because of another sending, where there was none.
func sentOnce(checker *Checker, answer *Answer) string {
	for _, other := range checker.requests[answer.Request] {
		if other != answer && other.Sent.Before(answer.Got) {
			return ""
		}
	}
	return "it was sent only once"
}

// ampleCapacity finds a refusal for want of room beside a backend that had plenty all the while.
func ampleCapacity(checker *Checker, answer *Answer) string {
	if room := checker.leastFreeShare(answer.Daemon, answer.Sent.Add(-ReportStaleness), answer.Got); room >= AmpleShare {
		return "a good part of the pool was free all the while"
	}
	return ""
}

// lonelyDaemon finds a daemon that did not serve although nothing was done to it and most others were there: it could
// be sure of its spec by the head or by them. Where only a minority of the control machines is left, it can't be: the
// others may go on elsewhere. Where none is left, it goes by what it has.
func lonelyDaemon(checker *Checker, answer *Answer) string {
	touched := map[string]bool{}
	for _, fault := range checker.history.Faults {
		if fault.Daemon != "" && fault.shadows(answer.Sent, answer.Got) {
			touched[fault.Daemon] = true
		}
	}
	if 2*len(touched) >= checker.history.Daemons || answer.MinorityLeft {
		return ""
	}
	return "no fault touched it, nor half of the others"
}

// soundRunner finds a run given up although nothing was done to its runner.
func soundRunner(checker *Checker, answer *Answer) string {
	for _, run := range checker.runs[answer.Request] {
		if _, found := checker.history.runnerFault(run.Runner, run.At, answer.Got); found {
			return ""
		}
	}
	// Bytes may be lost on the way to a runner that never saw them, as long as its loss could not be known. Where a
	// request was sent more than once, its runs may all be of other sendings.
	if len(checker.runs[answer.Request]) < len(checker.requests[answer.Request]) && answer.Kind == "outcome_unknown" {
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
