package histories

import (
	"math"
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
	for _, run := range history.Runs {
		worst.Draining = max(worst.Draining, checker.drainingFor(run))
		worst.Ignored = max(
			worst.Ignored,
			checker.specs.outdatedFor(run.At,
				func(catalog *config.Catalog) bool { return serves(catalog, run) && allows(catalog, run) }),
		)
		worst.Closed = max(worst.Closed,
			checker.specs.outdatedFor(run.At, func(catalog *config.Catalog) bool { return catalog.IsOpen(run.Zone) }))
		if run.WarmingUp {
			worst.Concurrent = max(worst.Concurrent, run.Concurrent)
		}
		if run.Started {
			checker.runs[run.Request] = append(checker.runs[run.Request], run)
		}
	}
	for _, answer := range history.Answers {
		if !answer.ConnectionLost && !answer.Done && !answer.HungUp && !answer.Resent &&
			!checker.history.excusedByFault(answer.Daemon, answer.Sent, answer.Got) {
			worst.Overdue = max(worst.Overdue, checker.overdue(answer))
		}
	}
	for _, back := range history.Returns {
		worst.Return = max(worst.Return, history.firstAnswerAfter(back.At))
	}
	for backend := range history.backends() {
		worst.addRetries(findRetryPeak(history, backend).worst)
	}
	return worst
}

// firstAnswerAfter returns how long after a moment the first complete answer to a request sent since then was there;
// the greatest time where there is none.
func (history *History) firstAnswerAfter(at time.Time) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, answer := range history.Answers {
		if answer.Done && answer.Sent.After(at) {
			first = min(first, answer.Got.Sub(at))
		}
	}
	return first
}

// addRetries keeps the worse of two windows.
func (worst *WorstCases) addRetries(window retryCount) {
	if window.used() > (retryCount{worst.Retried, worst.Requests}).used() {
		worst.Retried, worst.Requests = window.retries, window.requests
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
	worst.addRetries(retryCount{other.Retried, other.Requests})
}
