package histories

// wrongfulRefusals holds for each kind of refusal a function that returns why the refusal was wrong; "" if it was
// right.
var wrongfulRefusals = map[string]func(checker *Checker, attempt *ClientAttempt) string{
	"patience_short":  ampleCapacity,
	"purse_spent":     ampleCapacity,
	"waitlist_full":   ampleCapacity,
	"no_fit_runner":   ampleCapacity,
	"not_serving":     faultlessDaemon,
	"outcome_unknown": faultlessRunner,
	"run_failed":      faultlessRunner,
	"unknown_lane":    routeInSpec,
	"unknown_model":   routeInSpec,
	"already_taken":   singleAttempt,
}

// singleAttempt detects a request that was refused as a duplicate although it was sent only once.
func singleAttempt(checker *Checker, attempt *ClientAttempt) string {
	for _, other := range checker.requests[attempt.Request] {
		if other != attempt && other.Sent.Before(attempt.Got) {
			return ""
		}
	}
	return "it was sent only once"
}

// ampleCapacity detects a refusal for lack of capacity while the backend had AmpleShare free throughout.
func ampleCapacity(checker *Checker, attempt *ClientAttempt) string {
	if free := checker.leastFreeShare(attempt.Daemon, attempt.Sent.Add(-ReportStaleness),
		attempt.Got); free >= AmpleShare {
		return "an ample share of the backend was free throughout"
	}
	return ""
}

// faultlessDaemon detects a daemon that did not serve although neither it nor half of the daemons had a fault, so that
// the head or the other daemons could confirm its spec. While only a minority of the control machines is left, the spec
// can't be confirmed, since the majority may have changed it elsewhere. While none is left, a daemon serves under the
// spec that it has.
func faultlessDaemon(checker *Checker, attempt *ClientAttempt) string {
	faulty := map[string]bool{}
	for _, fault := range checker.history.Faults {
		if fault.Daemon != "" && fault.excuses(attempt.Sent, attempt.Got) {
			faulty[fault.Daemon] = true
		}
	}
	if 2*len(faulty) >= checker.history.Daemons || attempt.MinorityLeft {
		return ""
	}
	return "neither it nor half of the daemons had a fault"
}

// faultlessRunner detects a failed run, or one of unknown outcome, whose runner had no fault.
func faultlessRunner(checker *Checker, attempt *ClientAttempt) string {
	for _, run := range checker.runs[attempt.Request] {
		if _, found := checker.history.runnerFault(run.Runner, run.At, attempt.Got); found {
			return ""
		}
	}
	// A request may be lost on its way to a failed runner before the failure could be known; no run is recorded then. If a
	// request was sent more than once, all its recorded runs may belong to other attempts.
	if len(checker.runs[attempt.Request]) < len(checker.requests[attempt.Request]) && attempt.Kind == "outcome_unknown" {
		for _, fault := range checker.history.Faults {
			if fault.Runner != "" && !attempt.Got.Before(fault.At) &&
				attempt.Sent.Before(fault.At.Add(fault.DetectionTime+resetTransitTime)) {
				return ""
			}
		}
	}
	return "its runner had no fault"
}

// routeInSpec detects a request that was refused for an unknown route or model although every spec in force has its
// route.
func routeInSpec(checker *Checker, attempt *ClientAttempt) string {
	for _, version := range checker.specsInForce(attempt.Daemon, attempt.Got, SpecBound) {
		if version.catalog.Routes[attempt.Route] == nil {
			return ""
		}
	}
	return "every spec in force has its route"
}
