package fleet

import (
	"net/http"
	"slices"
	"time"

	"wardtray/verify/histories"
)

// Statistics summarizes the requests of a history.
type Statistics struct {
	// Requests is the number of requests that clients sent. Each is counted in exactly one field of the next group.
	Requests int
	// Done counts requests with a complete response, Refused those that did not run, Unknown those that may or may not
	// have run, Broken those whose stream ended with an error event, and Lost those whose connection was lost.
	Done, Refused, Unknown, Broken, Lost int
	// ErrorCodes counts error responses by route and error code, separated by a space.
	ErrorCodes map[string]int
	// FirstEventTimes holds the times to the first event of the requests in Done, by route.
	FirstEventTimes map[string][]time.Duration
	// Retries is the number of runs beyond the first of each request.
	Retries int
}

// newStatistics computes the statistics of a history.
func newStatistics(history *histories.History) Statistics {
	statistics := Statistics{ErrorCodes: map[string]int{}, FirstEventTimes: map[string][]time.Duration{}}
	history.Change(func(history *histories.History) {
		for _, attempt := range history.Answers {
			statistics.addAnswer(attempt)
		}
		seen := map[string]bool{}
		for _, run := range history.Runs {
			if seen[run.Request] {
				statistics.Retries++
			}
			seen[run.Request] = true
		}
	})
	return statistics
}

// addAnswer counts one answer.
func (statistics *Statistics) addAnswer(attempt *histories.ClientAttempt) {
	statistics.Requests++
	switch {
	case attempt.Done:
		statistics.Done++
		statistics.FirstEventTimes[attempt.Route] = append(statistics.FirstEventTimes[attempt.Route], attempt.First)
	case attempt.ConnectionLost:
		statistics.Lost++
	case attempt.Error:
		statistics.Broken++
	case attempt.Status == http.StatusGatewayTimeout:
		statistics.Unknown++
	default:
		statistics.Refused++
	}
	if attempt.Kind != "" {
		statistics.ErrorCodes[attempt.Route+" "+attempt.Kind]++
	}
}

// quantile returns the value below which a fraction of the durations lies, or 0 if there are none.
func quantile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
