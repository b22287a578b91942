package histories

import (
	"math"
	"time"
)

// retryCount counts what a backend's runners got within RetryWindow.
type retryCount struct{ retries, requests int }

// allowed is how many retries the rule allows beside the requests.
func (count retryCount) allowed() float64 { return RetryShare*float64(count.requests) + RetryAllowance }

// used is the part of the allowed retries that there were; over 1, the rule is broken.
func (count retryCount) used() float64 { return float64(count.retries) / count.allowed() }

// add counts a send, or takes it away again.
func (count *retryCount) add(sent send, times int) {
	if sent.retry {
		count.retries += times
	} else {
		count.requests += times
	}
}

// retryPeak is what the worst windows of a history had.
type retryPeak struct {
	// over is the most retries beyond those allowed in any window; negative where all were allowed.
	over float64
	// worst is the window that used up most of its allowance.
	worst retryCount
}

// send is one request that reached a runner.
type send struct {
	at    time.Time
	retry bool
}

// sendsTo returns what reached the runners of a backend. What a client itself sends again is another request, not a
// retry of ours.
func sendsTo(history *History, backend string) []send {
	var sends []send
	seen, asked := map[string]int{}, map[string][]time.Time{}
	for _, answer := range history.Answers {
		asked[answer.Request] = append(asked[answer.Request], answer.Sent)
	}
	for _, run := range history.Runs {
		if run.Pool != backend {
			continue
		}
		asks := 0
		for _, at := range asked[run.Request] {
			if !at.After(run.At) {
				asks++
			}
		}
		sends = append(sends, send{run.At, seen[run.Request] >= max(1, asks)})
		seen[run.Request]++
	}
	return sends
}

// findRetryPeak looks at every window of RetryWindow that ends with a send to a backend.
func findRetryPeak(history *History, backend string) retryPeak {
	peak, used := retryPeak{over: math.Inf(-1)}, -1.0
	sends := sendsTo(history, backend)
	first, window := 0, retryCount{}
	for _, last := range sends {
		window.add(last, 1)
		for last.at.Sub(sends[first].at) > RetryWindow {
			window.add(sends[first], -1)
			first++
		}
		peak.over = max(peak.over, float64(window.retries)-window.allowed())
		if window.used() > used {
			used, peak.worst = window.used(), window
		}
	}
	return peak
}

// retries wants that retries stay within their share of the requests, in each window of time.
func retries(checker *Checker, broken reportFunc) {
	for backend := range checker.history.backends() {
		if peak := findRetryPeak(checker.history, backend); peak.over > 0 {
			broken("pool %s: %d repeats to %d requests within ten seconds", backend, peak.worst.retries,
				peak.worst.requests)
		}
	}
}

// backends returns the names of all backends whose runners got requests.
func (history *History) backends() map[string]bool {
	backends := map[string]bool{}
	for _, run := range history.Runs {
		backends[run.Pool] = true
	}
	return backends
}
