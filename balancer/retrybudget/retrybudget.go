// Package retrybudget limits the retries to a backend over all daemons together. Each daemon enforces its own share
// without exchanging messages, and the shares add up to at most the limit.
package retrybudget

import "time"

// Settings define the limit over all daemons: within any window, the retries are at most Ratio times the requests, plus
// Slack.
type Settings struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Slack is the number of retries per window that all daemons together may send regardless of the number of requests.
	Slack float64
}

// DefaultSettings replaces the zero value of Settings.
var DefaultSettings = Settings{Window: 10 * time.Second, Ratio: 0.15}

// grantedSlackRatio is the fraction of the slack that is granted; the rest is a margin for daemons that see different
// numbers of daemons.
const grantedSlackRatio = 0.8

// Budget is one daemon's retry budget for one backend. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	// daemons returns the number of daemons that share the slack, as this one sees them now.
	daemons func() int
	// firstUse is the time when the budget was first used; zero before that.
	firstUse time.Time
	counts   slidingWindow
	peak     daemonPeak
}

// New returns a budget; the zero value of settings stands for DefaultSettings. daemons returns the number of daemons
// that share the slack; nil stands for one.
func New(settings Settings, daemons func() int) *Budget {
	if settings == (Settings{}) {
		settings = DefaultSettings
	}
	if daemons == nil {
		daemons = func() int { return 1 }
	}
	return &Budget{
		settings: settings,
		daemons:  daemons,
		counts:   slidingWindow{cellLength: settings.Window / windowCells},
		peak:     daemonPeak{window: settings.Window},
	}
}

// RecordRequest counts the first attempt of a request.
func (budget *Budget) RecordRequest(now time.Time) {
	elapsed := budget.elapsed(now)
	budget.counts.cell(elapsed).requests++
	budget.peak.observe(elapsed, budget.daemons())
}

// AllowRetry takes one retry out of the budget and reports whether one was available. A retry that the runner rejects
// is not returned to the budget, since it was sent.
func (budget *Budget) AllowRetry(now time.Time) bool {
	elapsed := budget.elapsed(now)
	current := budget.counts.cell(elapsed)
	slack := budget.slack(now)
	requests, retries := budget.counts.totals(elapsed, windowCells)
	if float64(retries+1) > budget.settings.Ratio*float64(requests)+slack {
		return false
	}
	// When requests stop, for example because all runners of a backend reject them, the credit earned before would be
	// spent in a window with hardly any requests. So the most recent cells must give enough credit on their own.
	requests, retries = budget.counts.totals(elapsed, recentCells)
	if float64(retries+1) > max(1, budget.settings.Ratio*float64(requests))+slack {
		return false
	}
	current.retries++
	return true
}

// elapsed returns the time since the first use of the budget. It uses the monotonic clock: the wall clock can jump by
// seconds, and a window would then count twice or not at all.
func (budget *Budget) elapsed(now time.Time) time.Duration {
	if budget.firstUse.IsZero() {
		budget.firstUse = now
	}
	return now.Sub(budget.firstUse)
}

// slack returns this daemon's share of the slack, in retries per window.
func (budget *Budget) slack(now time.Time) float64 {
	if budget.settings.Slack == 0 {
		return 0
	}
	elapsed := budget.elapsed(now)
	daemons := budget.peak.observe(elapsed, budget.daemons())
	// A previous incarnation of this process may have spent its share within the window.
	if elapsed <= budget.settings.Window {
		return 0
	}
	return grantedSlackRatio * budget.settings.Slack / float64(daemons)
}
