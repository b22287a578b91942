package retrybudget

import "time"

const (
	// windowCells is the number of cells in a window.
	windowCells = 40
	// recentCells is the number of most recent cells that must give enough credit on their own; see AllowRetry.
	recentCells = windowCells / 4
)

// cell counts the requests and retries sent during one interval.
type cell struct {
	// number is the number of the interval since the first use, from 0; the cells form a ring and are reused.
	number            int64
	requests, retries int
}

// slidingWindow counts requests and retries in the current interval of cellLength and the windowCells intervals before
// it.
type slidingWindow struct {
	cellLength time.Duration
	cells      [windowCells + 1]cell
}

// cell returns the cell of the current interval, after resetting it if it still held the counts of an earlier one.
func (window *slidingWindow) cell(elapsed time.Duration) *cell {
	number := window.number(elapsed)
	current := &window.cells[number%int64(len(window.cells))]
	if current.number != number {
		*current = cell{number: number}
	}
	return current
}

// totals returns the sums over the last length cells, the current one included.
func (window *slidingWindow) totals(elapsed time.Duration, length int64) (requests, retries int) {
	oldest := window.number(elapsed) - length
	for index := range window.cells {
		counted := &window.cells[index]
		// The oldest cell overlaps the window only partly. It counts for retries but not for requests, so that no
		// window exceeds the limit, wherever it begins.
		if counted.number >= oldest {
			retries += counted.retries
		}
		if counted.number > oldest {
			requests += counted.requests
		}
	}
	return requests, retries
}

// number returns the number of the interval in progress, from 0.
func (window *slidingWindow) number(elapsed time.Duration) int64 {
	return int64(elapsed / window.cellLength)
}
