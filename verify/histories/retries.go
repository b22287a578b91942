package histories

import (
	"math"
	"time"
)

// retryCount counts the retries and first attempts that reached a backend's runners within RetryWindow.
type retryCount struct{ retries, requests int }

// allowed returns the number of retries that the rule allows for the counted requests.
func (count retryCount) allowed() float64 { return RetryShare*float64(count.requests) + RetryAllowance }

// used returns the ratio of the retries to the allowed ones; above 1 the rule is violated.
func (count retryCount) used() float64 { return float64(count.retries) / count.allowed() }

// add counts an attempt, with weight -1 to remove it again.
func (count *retryCount) add(counted attempt, weight int) {
	if counted.isRetry {
		count.retries += weight
	} else {
		count.requests += weight
	}
}

// retryPeak describes the worst windows of a history.
type retryPeak struct {
	// excess is the greatest number of retries beyond the allowed ones in any window; negative if all were allowed.
	excess float64
	// worst is the window that used the greatest part of its allowance.
	worst retryCount
}

// attempt is one arrival of a request at a runner.
type attempt struct {
	at      time.Time
	isRetry bool
}

// attemptsAt returns the attempts at the runners of a backend. A client's own retry counts as another request, not as a
// retry of the fleet.
func attemptsAt(history *History, backend string) []attempt {
	var attempts []attempt
	seen, clientAttempts := map[string]int{}, map[string][]time.Time{}
	for _, answer := range history.Answers {
		clientAttempts[answer.Request] = append(clientAttempts[answer.Request], answer.Sent)
	}
	for _, run := range history.Runs {
		if run.Backend != backend {
			continue
		}
		sent := 0
		for _, at := range clientAttempts[run.Request] {
			if !at.After(run.At) {
				sent++
			}
		}
		attempts = append(attempts, attempt{run.At, seen[run.Request] >= max(1, sent)})
		seen[run.Request]++
	}
	return attempts
}

// findRetryPeak evaluates every window of RetryWindow that ends with an attempt at a backend.
func findRetryPeak(history *History, backend string) retryPeak {
	peak, used := retryPeak{excess: math.Inf(-1)}, -1.0
	attempts := attemptsAt(history, backend)
	first, window := 0, retryCount{}
	for _, last := range attempts {
		window.add(last, 1)
		for last.at.Sub(attempts[first].at) > RetryWindow {
			window.add(attempts[first], -1)
			first++
		}
		peak.excess = max(peak.excess, float64(window.retries)-window.allowed())
		if window.used() > used {
			used, peak.worst = window.used(), window
		}
	}
	return peak
}

// checkRetries checks that in each window of RetryWindow the retries stay within their share of the requests.
func checkRetries(checker *Checker, report reportFunc) {
	for backend := range checker.history.backends() {
		if peak := findRetryPeak(checker.history, backend); peak.excess > 0 {
			report("backend %s: %d retries for %d requests within ten seconds", backend, peak.worst.retries,
				peak.worst.requests)
		}
	}
}

// backends returns the names of all backends whose runners received requests.
func (history *History) backends() map[string]bool {
	backends := map[string]bool{}
	for _, run := range history.Runs {
		backends[run.Backend] = true
	}
	return backends
}
