// Package budget bounds how many requests to a backend are sent again, over all daemons together. Each
// keeps its own part of the bound, so that the sum over all daemons keeps the whole.
package retrybudget

import "time"

// Settings are the bound over all daemons: within any window, what is sent again is at most Ratio times
// the requests, and Slack beside.
type Settings struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Default holds where nothing else is set.
var Default = Settings{Window: 10 * time.Second, Ratio: 0.15}

const (
	cells = 40
	// lately is the part of the window that gives credit of its own.
	lately = cells / 4
	// slackPart is the part of the slack that is given out at all.
	slackPart = 0.8
	// remembered is for how many windows a daemon that is no longer seen still has its part of the slack.
	remembered = 3
)

// Budget is one daemon's for one backend. It is not safe for several goroutines at once.
type Budget struct {
	settings Settings
	daemons  func() int
	cell     time.Duration
	started  time.Time
	requests [cells + 1]int
	retries  [cells + 1]int
	numbers  [cells + 1]int64
	// most holds the greatest number of daemons seen in each of the last windows.
	most        [remembered + 1]int
	mostNumbers [remembered + 1]int64
}

// New makes a budget; the zero value of settings stands for Default. daemons tells how many share the
// slack; without it there is one.
func New(settings Settings, daemons func() int) *Budget {
	if settings == (Settings{}) {
		settings = Default
	}
	if daemons == nil {
		daemons = func() int { return 1 }
	}
	return &Budget{settings: settings, daemons: daemons, cell: settings.Window / cells}
}

// since gives the nanoseconds since this budget was first used.
//
// Why not the time of day: it jumps by seconds, and a window would count twice or not at all.
func (budget *Budget) since(now time.Time) int64 {
	if budget.started.IsZero() {
		budget.started = now
	}
	return int64(now.Sub(budget.started))
}

func (budget *Budget) place(now time.Time) int {
	number := budget.since(now) / int64(budget.cell)
	place := int(number % (cells + 1))
	if budget.numbers[place] != number {
		budget.numbers[place], budget.requests[place], budget.retries[place] = number, 0, 0
	}
	return place
}

// sums counts what lies in the last so many cells.
func (budget *Budget) sums(now time.Time, length int64) (requests, retries int) {
	oldest := budget.since(now)/int64(budget.cell) - length
	for place, number := range budget.numbers {
		// The cell that is leaving the window counts for repeats but not for requests, so that no window, however it lies, breaks the bound.
		if number >= oldest {
			retries += budget.retries[place]
		}
		if number > oldest {
			requests += budget.requests[place]
		}
	}
	return requests, retries
}

// sharers gives the most daemons that were seen within the last few windows.
//
// Why the most: one that has just gone may have spent its part, and one that is cut off sees nobody.
func (budget *Budget) sharers(now time.Time) int {
	number := budget.since(now) / int64(budget.settings.Window)
	place := int(number % (remembered + 1))
	if budget.mostNumbers[place] != number {
		budget.mostNumbers[place], budget.most[place] = number, 0
	}
	budget.most[place] = max(budget.most[place], budget.daemons())
	most := 1
	for place, seen := range budget.mostNumbers {
		if seen >= number-remembered {
			most = max(most, budget.most[place])
		}
	}
	return most
}

// slack is this daemon's part of the slack.
func (budget *Budget) slack(now time.Time) float64 {
	if budget.settings.Slack == 0 {
		return 0
	}
	sharers := budget.sharers(now)
	// An earlier life of this process may have spent its part within the window.
	if now.Sub(budget.started) <= budget.settings.Window {
		return 0
	}
	return slackPart * budget.settings.Slack / float64(sharers)
}

// Request counts a first send.
func (budget *Budget) Request(now time.Time) {
	budget.requests[budget.place(now)]++
	budget.sharers(now)
}

// Repeat takes one repeat out of the budget, if there is one. What a runner turns away has been sent all
// the same.
func (budget *Budget) Repeat(now time.Time) bool {
	place := budget.place(now)
	slack := budget.slack(now)
	requests, retries := budget.sums(now, cells)
	if float64(retries+1) > budget.settings.Ratio*float64(requests)+slack {
		return false
	}
	// Where requests cease, as when a whole backend puts back, the credit of the window before would be
	// spent in a window that has hardly any. Most of it must be of late.
	requests, retries = budget.sums(now, lately)
	if float64(retries+1) > max(1, budget.settings.Ratio*float64(requests))+slack {
		return false
	}
	budget.retries[place]++
	return true
}
