package fleet

import (
	"net/http"
	"slices"
	"time"

	"wardtray/verify/histories"
)

// Figures are what a report says of the requests.
type Figures struct {
	// Requests is how many clients sent; each is counted once below.
	Requests int
	// Done were answered completely, Refused not run; of Unknown ones nobody knows whether they ran. Broken ended with
	// an error event, Lost without an end.
	Done, Refused, Unknown, Broken, Lost int
	// Kinds counts the error codes by route and code.
	Kinds map[string]int
	// First are the times to the first event of those done, by route.
	First map[string][]time.Duration
	// Retries is how many runs there were beyond the first of each request.
	Retries int
}

// measure takes the figures from a history.
func measure(history *histories.History) Figures {
	figures := Figures{Kinds: map[string]int{}, First: map[string][]time.Duration{}}
	history.Change(func(history *histories.History) {
		for _, answer := range history.Answers {
			figures.addAnswer(answer)
		}
		seen := map[string]bool{}
		for _, run := range history.Runs {
			if seen[run.Request] {
				figures.Retries++
			}
			seen[run.Request] = true
		}
	})
	return figures
}

// addAnswer counts one answer by how it ended.
func (figures *Figures) addAnswer(answer *histories.Answer) {
	figures.Requests++
	switch {
	case answer.Done:
		figures.Done++
		figures.First[answer.Route] = append(figures.First[answer.Route], answer.First)
	case answer.ConnectionLost:
		figures.Lost++
	case answer.Error:
		figures.Broken++
	case answer.Status == http.StatusGatewayTimeout:
		figures.Unknown++
	default:
		figures.Refused++
	}
	if answer.Kind != "" {
		figures.Kinds[answer.Route+" "+answer.Kind]++
	}
}

// quantile returns the value below which such a part of the lengths lies; 0 where there are none.
func quantile(lengths []time.Duration, part float64) time.Duration {
	if len(lengths) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(lengths))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
