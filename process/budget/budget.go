// Package budget bounds how many requests to a pool are sent again. Each daemon keeps the bound over
// its own last ten seconds, so that the sum over all daemons keeps it too.
package budget

import "time"

const (
	// Window is the length of time over which the bound holds.
	Window = 10 * time.Second
	// Share is the part of the requests that may be sent again.
	Share = 0.15
	cells = 40
	// lately is the part of the window that gives credit of its own.
	lately = cells / 4
	cell   = Window / cells
)

// Budget is one daemon's for one pool. It is not safe for several goroutines at once.
type Budget struct {
	requests [cells + 1]int
	repeats  [cells + 1]int
	numbers  [cells + 1]int64
}

func (budget *Budget) place(now time.Time) int {
	number := now.UnixNano() / int64(cell)
	place := int(number % (cells + 1))
	if budget.numbers[place] != number {
		budget.numbers[place], budget.requests[place], budget.repeats[place] = number, 0, 0
	}
	return place
}

// sums counts what lies in the last so many cells.
func (budget *Budget) sums(now time.Time, length int64) (requests, repeats int) {
	oldest := now.UnixNano()/int64(cell) - length
	for place, number := range budget.numbers {
		// Why: the cell that is leaving the window counts for repeats but not for requests, so that no window of ten seconds, however it lies, breaks the bound.
		if number >= oldest {
			repeats += budget.repeats[place]
		}
		if number > oldest {
			requests += budget.requests[place]
		}
	}
	return requests, repeats
}

// Request counts a first send.
func (budget *Budget) Request(now time.Time) { budget.requests[budget.place(now)]++ }

// Repeat takes one repeat out of the budget, if there is one.
func (budget *Budget) Repeat(now time.Time) bool {
	place := budget.place(now)
	requests, repeats := budget.sums(now, cells)
	if float64(repeats+1) > Share*float64(requests) {
		return false
	}
	// Why: where requests cease, as when a whole pool puts back, the credit of the ten seconds before would be
	// spent in ten seconds that have hardly any. Most of it must be of late.
	requests, repeats = budget.sums(now, lately)
	if float64(repeats+1) > max(1, Share*float64(requests)) {
		return false
	}
	budget.repeats[place]++
	return true
}
