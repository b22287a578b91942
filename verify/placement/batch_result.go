package placement

import (
	"time"
)

const (
	// windowLength is the length of the time windows for which values are summed.
	windowLength = 3 * time.Second
	// windowsPerSeed exceeds the number of windows of a run, so that windows of different seeds have different numbers.
	windowsPerSeed = 1000
)

// Costs that NetShare subtracts, in units of value.
const (
	// rereadCost is the cost of prefilling a thousand tokens again.
	rereadCost = 0.62
	// pollCost is the cost of a poll for a load report.
	pollCost = 0.019
	// crossZoneCost is the cost of a gigabyte of traffic between zones.
	crossZoneCost = 3300
)

// BatchResult holds the results of one route, or of all routes together, on batch runners.
type BatchResult struct {
	// Requests counts arrivals. InTime counts complete answers within the latency target and the maximum pause, Late the
	// other complete answers, Refused refusals, and Failed requests that were neither refused nor completely answered.
	Requests, InTime, Late, Refused, Failed int
	// Sends counts attempts at runners, CrossZone first events from a runner in another zone than the daemon's.
	Sends, CrossZone int
	// MaximumValue is the value of all requests if they are answered in time, Value the value of the actual answers.
	MaximumValue, Value float64
	// Large counts requests among the largest tenth of their route, LargeServed those that were completely answered.
	Large, LargeServed int
	// SharedTokens counts the tokens of shared prompt parts, RereadTokens those that were prefilled although some runner
	// had prefilled them before.
	SharedTokens, RereadTokens int
	// Polls counts polls for load reports; CrossZoneBytes is the traffic between zones.
	Polls          int
	CrossZoneBytes float64
	// FirstEventTimes holds the times from arrival to first event.
	FirstEventTimes []time.Duration
	// Windows holds the values of requests by the window of their arrival.
	Windows map[int]windowValue
}

// windowValue holds the maximum value of the requests that arrived in a window, and the value of their answers.
type windowValue struct{ maximum, actual float64 }

func newBatchResult() *BatchResult { return &BatchResult{Windows: map[int]windowValue{}} }

// ValueShare returns Value as a share (0 to 1) of MaximumValue.
func (result *BatchResult) ValueShare() float64 { return result.Value / max(1e-9, result.MaximumValue) }

// NetShare returns Value less the costs, as a share of MaximumValue; it may be negative.
func (result *BatchResult) NetShare() float64 {
	net := result.Value - rereadCost*float64(result.RereadTokens)/1000 - pollCost*float64(result.Polls) -
		crossZoneCost*result.CrossZoneBytes/1e9
	return net / max(1e-9, result.MaximumValue)
}

// WorstWindowShare returns the lowest share of its maximum value that a window reached. Windows with at most half of
// the mean maximum value don't count.
func (result *BatchResult) WorstWindowShare() float64 {
	worst, mean := 1.0, result.MaximumValue/float64(max(1, len(result.Windows)))
	for _, window := range result.Windows {
		if window.maximum > mean/2 {
			worst = min(worst, window.actual/window.maximum)
		}
	}
	return worst
}

// Quantile returns the time within which a fraction (0 to 1) of the first events arrived.
func (result *BatchResult) Quantile(fraction float64) time.Duration {
	return quantile(result.FirstEventTimes, fraction)
}

// recordArrival records the arrival of a request.
func (result *BatchResult) recordArrival(request *batchRequest) {
	result.Requests++
	result.MaximumValue += request.value
	result.SharedTokens += request.sharedTokens
	if request.large {
		result.Large++
	}
	window := result.Windows[request.window]
	window.maximum += request.value
	result.Windows[request.window] = window
}

// recordEnd records the end of a request at a runner.
func (result *BatchResult) recordEnd(request *batchRequest, complete, inTime bool) {
	if !complete {
		result.Failed++
		return
	}
	if request.large {
		result.LargeServed++
	}
	value := request.late
	if inTime {
		result.InTime++
		value = request.value
	} else {
		result.Late++
	}
	result.Value += value
	window := result.Windows[request.window]
	window.actual += value
	result.Windows[request.window] = window
}

// add adds the results of a run with another seed; seed is the index of the seed among those that are added.
func (result *BatchResult) add(seed int, other *BatchResult) {
	result.Requests += other.Requests
	result.InTime += other.InTime
	result.Late += other.Late
	result.Refused += other.Refused
	result.Failed += other.Failed
	result.Sends += other.Sends
	result.CrossZone += other.CrossZone
	result.MaximumValue += other.MaximumValue
	result.Value += other.Value
	result.Large += other.Large
	result.LargeServed += other.LargeServed
	result.SharedTokens += other.SharedTokens
	result.RereadTokens += other.RereadTokens
	result.Polls += other.Polls
	result.CrossZoneBytes += other.CrossZoneBytes
	result.FirstEventTimes = append(result.FirstEventTimes, other.FirstEventTimes...)
	for window, value := range other.Windows {
		result.Windows[seed*windowsPerSeed+window] = value
	}
}
