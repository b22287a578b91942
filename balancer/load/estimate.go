package load

import "time"

const (
	// reportLifetime is how long a report says anything of a runner's load.
	reportLifetime = 3 * time.Second
	// reportSmoothing is how far one report moves the smoothed load of others.
	reportSmoothing = 0.05
	// maxSlots bounds the slots that a report may claim.
	maxSlots = 4096
)

// Report is what a runner last said of itself.
type Report struct {
	// Running and Waiting are the requests of all daemons that its engine processes and that wait for it.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is how many requests its engine processes at once; 0: not told.
	Slots int `json:"slots"`
	// UsedTokens is how much of its memory is in use and can't be evicted, in tokens.
	UsedTokens int `json:"tokens,omitempty"`
	// MemoryTokens is the size of its memory in tokens; 0: not told.
	MemoryTokens int `json:"room,omitempty"`
}

func (report *Report) valid() bool {
	return report.Slots >= 1 && report.Slots <= maxSlots && report.Running >= 0 && report.Waiting >= 0
}

// loadEstimate is what a runner's reports say of its load.
type loadEstimate struct {
	// report is the newest report, which came at reported.
	report   Report
	reported time.Time
	// others is how many requests of other daemons the runner has by the newest report, smoothedOthers the same
	// smoothed over reports.
	others, smoothedOthers float64
	// othersWaiting is how many requests of other daemons wait by the newest report.
	othersWaiting int
}

// add takes in a report, while this daemon has so many requests on the runner.
func (estimate *loadEstimate) add(now time.Time, report Report, own inFlightRequests) {
	// Every daemon reads the same old report. Whoever believed it fully would send, with all others, to wherever a runner
	// was idle a moment ago; smoothed, it shows who is busy without attracting all of them.
	others := max(0, float64(report.Running+report.Waiting-own.total))
	if now.Sub(estimate.reported) >= reportLifetime {
		estimate.smoothedOthers = others
	}
	estimate.smoothedOthers += reportSmoothing * (others - estimate.smoothedOthers)
	ownWaiting := own.unanswered
	if report.MemoryTokens == 0 && ownWaiting > 0 {
		// What a response's head reports no longer counts the request that is being answered.
		ownWaiting--
	}
	estimate.othersWaiting = max(0, report.Waiting-ownWaiting)
	// A response's head says nothing of memory; what an earlier report said of it stays.
	if report.MemoryTokens == 0 {
		report.UsedTokens, report.MemoryTokens = estimate.report.UsedTokens, estimate.report.MemoryTokens
	}
	estimate.report, estimate.reported, estimate.others = report, now, others
}

// load returns the requests on a runner that has so many of ours: by the smoothed reports, and by the latest alone
// where that says that the runner is less than half full.
func (estimate *loadEstimate) load(now time.Time, inFlight, slots int) (smoothed, latest float64) {
	smoothed = float64(inFlight)
	if now.Sub(estimate.reported) >= reportLifetime {
		return smoothed, smoothed
	}
	smoothed += estimate.smoothedOthers
	latest = smoothed
	// Smoothed reports stay high for seconds after an overload has ended. A report of a runner that is nearly full is too
	// old to be believed, or all daemons would send to it at once.
	if estimate.others <= float64(slots)/2 {
		latest += min(0, estimate.others-estimate.smoothedOthers)
	}
	return smoothed, latest
}
