package load

import "time"

const (
	// reportLifetime is the age at which a load report is no longer used.
	reportLifetime = 3 * time.Second
	// reportSmoothing is the weight of one report in the exponentially smoothed load from other daemons.
	reportSmoothing = 0.05
	// maxSlots is the largest number of slots accepted in a report.
	maxSlots = 4096
)

// Report is a runner's report of its own load.
type Report struct {
	// Running is the number of requests from all daemons that its engine processes, Waiting the number that wait for it.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that its engine processes concurrently; 0 if not reported.
	Slots int `json:"slots"`
	// UsedTokens is the size of the memory in use that can't be evicted, in tokens.
	UsedTokens int `json:"tokens,omitempty"`
	// MemoryTokens is the size of its memory in tokens; 0 if not reported.
	MemoryTokens int `json:"room,omitempty"`
}

func (report *Report) valid() bool {
	return report.Slots >= 1 && report.Slots <= maxSlots && report.Running >= 0 && report.Waiting >= 0
}

// loadEstimate estimates a runner's load from its reports.
type loadEstimate struct {
	// report is the newest report, received at reported.
	report   Report
	reported time.Time
	// others is the number of requests from other daemons on the runner according to the newest report, smoothedOthers
	// the exponential moving average of it.
	others, smoothedOthers float64
	// othersWaiting is the number of waiting requests from other daemons according to the newest report.
	othersWaiting int
}

// add records a report; own counts the requests that this daemon has on the runner.
func (estimate *loadEstimate) add(now time.Time, report Report, own inFlightRequests) {
	// All daemons read the same outdated report. If each trusted it fully, all of them would send their requests to the
	// same recently idle runner. The smoothed value shows which runners are busy without causing such a herd.
	others := max(0, float64(report.Running+report.Waiting-own.total))
	if now.Sub(estimate.reported) >= reportLifetime {
		estimate.smoothedOthers = others
	}
	estimate.smoothedOthers += reportSmoothing * (others - estimate.smoothedOthers)
	ownWaiting := own.unanswered
	if report.MemoryTokens == 0 && ownWaiting > 0 {
		// A report in the headers of a response no longer counts the request that is being answered.
		ownWaiting--
	}
	estimate.othersWaiting = max(0, report.Waiting-ownWaiting)
	// Response headers do not report memory, so the values of the previous report are kept.
	if report.MemoryTokens == 0 {
		report.UsedTokens, report.MemoryTokens = estimate.report.UsedTokens, estimate.report.MemoryTokens
	}
	estimate.report, estimate.reported, estimate.others = report, now, others
}

// load returns two estimates of the number of requests on a runner on which inFlight requests of this daemon run:
// smoothed uses the smoothed reports. latest is lower if the newest report alone shows fewer requests of other daemons,
// and these are at most half of the slots.
func (estimate *loadEstimate) load(now time.Time, inFlight, slots int) (smoothed, latest float64) {
	smoothed = float64(inFlight)
	if now.Sub(estimate.reported) >= reportLifetime {
		return smoothed, smoothed
	}
	smoothed += estimate.smoothedOthers
	latest = smoothed
	// The smoothed value stays high for seconds after an overload has ended, so a report of low load replaces it. A
	// report of a nearly full runner is outdated on arrival: if it were trusted, all daemons would send to it at once.
	if estimate.others <= float64(slots)/2 {
		latest += min(0, estimate.others-estimate.smoothedOthers)
	}
	return smoothed, latest
}
