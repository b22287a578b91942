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

// Worst gives the margins of a history.
func Worst(history *History) WorstCases {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	margins := WorstCases{}
	checker := NewChecker(history, history.Final.Known)
	checker.refresh()
	backends := map[string]bool{}
	for _, run := range history.Runs {
		backends[run.Pool] = true
		margins.Draining = max(margins.Draining, checker.drainingFor(run))
		margins.Ignored = max(margins.Ignored, checker.outdatedFor(run.At, func(catalog *config.Catalog) bool { return serves(catalog, run) && allows(catalog, run) }))
		margins.Closed = max(margins.Closed, checker.outdatedFor(run.At, func(catalog *config.Catalog) bool { return catalog.Open(run.Zone) }))
		if run.WarmingUp {
			margins.Concurrent = max(margins.Concurrent, run.Concurrent)
		}
		if run.Started {
			checker.runs[run.Request] = append(checker.runs[run.Request], run)
		}
	}
	for _, answer := range history.Answers {
		if !answer.ConnectionLost && !answer.Done && !answer.HungUp && !answer.Resent && !checker.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			margins.Overdue = max(margins.Overdue, checker.overdue(answer))
		}
	}
	for _, back := range history.Returns {
		first := time.Duration(1<<63 - 1)
		for _, answer := range history.Answers {
			if answer.Done && answer.Sent.After(back.At) {
				first = min(first, answer.Got.Sub(back.At))
			}
		}
		margins.Return = max(margins.Return, first)
	}
	for backend := range backends {
		_, retried, requests := RetryPeak(history, backend)
		margins.retries(retried, requests)
	}
	return margins
}

// retries keeps the worse of two windows.
func (margins *WorstCases) retries(retried, requests int) {
	used := func(retried, requests int) float64 {
		return float64(retried) / (RetryShare*float64(requests) + RetryAllowance)
	}
	if used(retried, requests) > used(margins.Retried, margins.Requests) {
		margins.Retried, margins.Requests = retried, requests
	}
}

// Add keeps the worse of each case.
func (margins *WorstCases) Add(other WorstCases) {
	for mine, others := range map[*time.Duration]time.Duration{&margins.Ignored: other.Ignored, &margins.Draining: other.Draining,
		&margins.Closed: other.Closed, &margins.Return: other.Return, &margins.Overdue: other.Overdue} {
		*mine = max(*mine, others)
	}
	margins.Concurrent = max(margins.Concurrent, other.Concurrent)
	margins.retries(other.Retried, other.Requests)
}
