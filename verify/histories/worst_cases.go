package histories

import (
	"time"

	"wardtray/config"
)

// WorstCases are the worst cases seen of the rules with a figure.
type WorstCases struct {
	// Ignored is the longest time after an acknowledgement at which work went out against the spec.
	Ignored time.Duration
	// Draining is the longest time after the list said that a runner leaves at which it still got work.
	Draining time.Duration
	// Closed is the longest time after a closing was acknowledged at which the zone still got work.
	Closed time.Duration
	// Return is the longest time from the machines' return to the first whole answer.
	Return time.Duration
	// Overdue is the longest time from when a loss could be known to the final answer.
	Overdue time.Duration
	// Concurrent is the most work beside which a cold runner got more.
	Concurrent int
	// Retried and Requests are of the ten seconds that were worst for the rule of repeats.
	Retried, Requests int
}

// Worst returns the worst of a history.
func Worst(history *History) WorstCases {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	worst := WorstCases{}
	checker := NewChecker(history, history.Final.Known)
	checker.refresh()
	backends := map[string]bool{}
	for _, run := range history.Runs {
		backends[run.Pool] = true
		worst.Draining = max(worst.Draining, checker.drainingFor(run))
		worst.Ignored = max(
			worst.Ignored,
			checker.outdatedFor(run.At,
				func(catalog *config.Catalog) bool { return serves(catalog, run) && allows(catalog, run) }),
		)
		worst.Closed = max(worst.Closed,
			checker.outdatedFor(run.At, func(catalog *config.Catalog) bool { return catalog.IsOpen(run.Zone) }))
		if run.WarmingUp {
			worst.Concurrent = max(worst.Concurrent, run.Concurrent)
		}
		if run.Started {
			checker.runs[run.Request] = append(checker.runs[run.Request], run)
		}
	}
	for _, answer := range history.Answers {
		if !answer.ConnectionLost && !answer.Done && !answer.HungUp && !answer.Resent &&
			!checker.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			worst.Overdue = max(worst.Overdue, checker.overdue(answer))
		}
	}
	for _, back := range history.Returns {
		first := time.Duration(1<<63 - 1)
		for _, answer := range history.Answers {
			if answer.Done && answer.Sent.After(back.At) {
				first = min(first, answer.Got.Sub(back.At))
			}
		}
		worst.Return = max(worst.Return, first)
	}
	for backend := range backends {
		_, retried, requests := RetryPeak(history, backend)
		worst.retries(retried, requests)
	}
	return worst
}

// retries keeps the worse of two windows.
func (worst *WorstCases) retries(retried, requests int) {
	used := func(retried, requests int) float64 {
		return float64(retried) / (RetryShare*float64(requests) + RetryAllowance)
	}
	if used(retried, requests) > used(worst.Retried, worst.Requests) {
		worst.Retried, worst.Requests = retried, requests
	}
}

// Add keeps the worse of each case.
func (worst *WorstCases) Add(other WorstCases) {
	worst.Ignored = max(worst.Ignored, other.Ignored)
	worst.Draining = max(worst.Draining, other.Draining)
	worst.Closed = max(worst.Closed, other.Closed)
	worst.Return = max(worst.Return, other.Return)
	worst.Overdue = max(worst.Overdue, other.Overdue)
	worst.Concurrent = max(worst.Concurrent, other.Concurrent)
	worst.retries(other.Retried, other.Requests)
}
