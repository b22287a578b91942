package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"wardtray/verify/histories"
)

// Figures are what a proof prints besides its verdict.
type Figures struct {
	Requests, Done, Refused, Unknown, Broken, Lost int
	Kinds                                          map[string]int
	First                                          map[string][]time.Duration
	CacheShare                                     float64
	Retries                                        int
}

// Measure takes figures from a record.
func (fleet *Fleet) Measure() Figures {
	figures := Figures{Kinds: map[string]int{}, First: map[string][]time.Duration{}}
	fleet.Record.Change(func(record *histories.History) {
		for _, answer := range record.Answers {
			figures.addAnswer(answer)
		}
		seen := map[string]bool{}
		for _, run := range record.Runs {
			if seen[run.Request] {
				figures.Retries++
			}
			seen[run.Request] = true
		}
	})
	figures.CacheShare = fleet.cacheShare()
	return figures
}

// addAnswer counts one answer by how it ended.
func (figures *Figures) addAnswer(answer *histories.Answer) {
	figures.Requests++
	ends := []struct {
		holds bool
		count *int
	}{{answer.Done, &figures.Done}, {answer.ConnectionLost, &figures.Lost}, {answer.Error, &figures.Broken},
		{answer.Status == http.StatusGatewayTimeout, &figures.Unknown}, {true, &figures.Refused}}
	for _, end := range ends {
		if end.holds {
			*end.count++
			break
		}
	}
	if answer.Kind != "" {
		figures.Kinds[answer.Route+" "+answer.Kind]++
	}
	if answer.Done {
		figures.First[answer.Route] = append(figures.First[answer.Route], answer.First)
	}
}

// cacheShare returns the part of all prompt tokens that runners found in their caches.
func (fleet *Fleet) cacheShare() float64 {
	cached, prompted := int64(0), int64(0)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, runner := range fleet.Runners {
		if runner != nil {
			cachedHere, promptedHere := runner.CacheUse()
			cached += cachedHere
			prompted += promptedHere
		}
	}
	if prompted == 0 {
		return 0
	}
	return float64(cached) / float64(prompted)
}

// Quantile returns the value below which such a part of the lengths lies.
func Quantile(lengths []time.Duration, part float64) time.Duration {
	if len(lengths) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, lengths...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left] < sorted[right] })
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// Print writes figures, orders and verdict, and reports whether every rule held.
func (fleet *Fleet) Print(output io.Writer, violations []histories.Violation) bool {
	// Whoever reads the report sees where it ends; an output that takes no more says nothing about the fleet.
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(output, format, values...) }
	figures := fleet.Measure()
	printf("requests %d: done %d, refused %d, unknown %d, broken off %d, lost with a killed daemon %d\n",
		figures.Requests, figures.Done, figures.Refused, figures.Unknown, figures.Broken, figures.Lost)
	printf("prompt tokens found in runners' caches: %.0f%%; repeats: %d\n",
		100*figures.CacheShare,
		figures.Retries,
	)
	worstCases := histories.Worst(fleet.Record)
	printf("worst cases: a change ignored %v after its acknowledgement (2 s), work to a leaving runner %v (3 s), "+
		"to a closed zone %v (5 s), first answer after return %v (12 s), %d repeats to %d requests in 10 s\n",
		worstCases.Ignored.Round(time.Millisecond),
		worstCases.Draining.Round(time.Millisecond),
		worstCases.Closed.Round(time.Millisecond),
		worstCases.Return.Round(time.Millisecond),
		worstCases.Retried,
		worstCases.Requests,
	)
	routes := make([]string, 0, len(figures.First))
	for route := range figures.First {
		routes = append(routes, route)
	}
	sort.Strings(routes)
	for _, route := range routes {
		lengths := figures.First[route]
		printf("  %-10s done %5d   first event: median %v, 95%% %v, worst %v\n",
			route,
			len(lengths),
			Quantile(lengths, 0.5).Round(time.Millisecond),
			Quantile(lengths, 0.95).Round(time.Millisecond),
			Quantile(lengths, 1).Round(time.Millisecond),
		)
	}
	kinds := make([]string, 0, len(figures.Kinds))
	for kind := range figures.Kinds {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		printf("  refused or unknown: %-28s %d\n", kind, figures.Kinds[kind])
	}
	fleet.Record.Change(func(record *histories.History) {
		for _, order := range record.Orders {
			printf("  order %-12s %-6s %-10s epoch %d in %v\n",
				order.Operation,
				order.Verb,
				order.Outcome,
				order.Epoch,
				order.Got.Sub(order.Sent).Round(time.Millisecond),
			)
		}
		for _, fault := range record.Faults {
			printf("  at %6.2fs %s\n", fault.At.Sub(record.Started).Seconds(), fault.What)
		}
	})
	if len(violations) == 0 {
		printf("verdict: clean, all %d rules held\n", len(histories.Rules))
		return true
	}
	for _, violation := range violations[:min(len(violations), 40)] {
		printf("BROKEN %s: %s\n", violation.Rule, violation.Detail)
	}
	printf("verdict: %d violations\n", len(violations))
	return false
}
