package histories

import (
	"math"
	"time"

	"wardtray/config"
)

// WorstCases holds the worst observed value for each rule with a numeric bound.
type WorstCases struct {
	// OutdatedSpec is the longest time after the acknowledgement of a spec at which work was sent that it does not permit.
	OutdatedSpec time.Duration
	// Draining is the longest time after a runner was listed as draining at which it still received work.
	Draining time.Duration
	// Closed is the longest time after the closing of a zone was acknowledged at which it still received work.
	Closed time.Duration
	// Return is the longest time from the machines' return to the first complete answer.
	Return time.Duration
	// Overdue is the longest time between the moment at which a loss could be known and the final answer of a request.
	Overdue time.Duration
	// Concurrent is the greatest number of requests at a cold runner when it received another.
	Concurrent int
	// Retried and Requests are the counts of the RetryWindow that used the greatest part of its allowed retries.
	Retried, Requests int
}

// Worst returns the worst cases of a history.
func Worst(history *History) WorstCases {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	worst := WorstCases{}
	checker := NewChecker(history, history.Final.Known)
	checker.refresh()
	for _, run := range history.Runs {
		worst.Draining = max(worst.Draining, checker.drainingFor(run))
		worst.OutdatedSpec = max(
			worst.OutdatedSpec,
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
	for _, attempt := range history.Answers {
		if !attempt.ConnectionLost && !attempt.Done && !attempt.ClientDisconnected && !attempt.Resent &&
			!checker.history.excusedByFault(attempt.Daemon, attempt.Sent, attempt.Got) {
			worst.Overdue = max(worst.Overdue, checker.overdue(attempt))
		}
	}
	for _, back := range history.OutageEnds {
		worst.Return = max(worst.Return, history.firstAnswerAfter(back.At))
	}
	for backend := range history.backends() {
		worst.addRetries(findRetryPeak(history, backend).worst)
	}
	return worst
}

// firstAnswerAfter returns the time from a moment to the first complete answer to a request sent after it, or the
// maximum duration if there is none.
func (history *History) firstAnswerAfter(at time.Time) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, attempt := range history.Answers {
		if attempt.Done && attempt.Sent.After(at) {
			first = min(first, attempt.Got.Sub(at))
		}
	}
	return first
}

// addRetries keeps the worse of the recorded window and another.
func (worst *WorstCases) addRetries(window retryCount) {
	if window.used() > (retryCount{worst.Retried, worst.Requests}).used() {
		worst.Retried, worst.Requests = window.retries, window.requests
	}
}

// Add keeps the worse value of each case.
func (worst *WorstCases) Add(other WorstCases) {
	worst.OutdatedSpec = max(worst.OutdatedSpec, other.OutdatedSpec)
	worst.Draining = max(worst.Draining, other.Draining)
	worst.Closed = max(worst.Closed, other.Closed)
	worst.Return = max(worst.Return, other.Return)
	worst.Overdue = max(worst.Overdue, other.Overdue)
	worst.Concurrent = max(worst.Concurrent, other.Concurrent)
	worst.addRetries(retryCount{other.Retried, other.Requests})
}
