package retrybudget

import "time"

const (
	// windowCells is the number of cells that a window is counted in.
	windowCells = 40
	// recentCells is the most recent part of the window, which must give credit of its own.
	recentCells = windowCells / 4
)

// cell counts what was sent during one stretch of time.
type cell struct {
	// number is the index of the stretch since the first use; a cell of the ring is reused for a later stretch.
	number            int64
	requests, retries int
}

// slidingWindow counts requests and retries over the last windowCells stretches of time, and the one in progress.
type slidingWindow struct {
	cellLength time.Duration
	cells      [windowCells + 1]cell
}

// cell returns the cell in progress, emptied if it still held the counts of an earlier stretch.
func (window *slidingWindow) cell(elapsed time.Duration) *cell {
	number := window.number(elapsed)
	current := &window.cells[number%int64(len(window.cells))]
	if current.number != number {
		*current = cell{number: number}
	}
	return current
}

// totals adds up the last length cells.
func (window *slidingWindow) totals(elapsed time.Duration, length int64) (requests, retries int) {
	oldest := window.number(elapsed) - length
	for index := range window.cells {
		counted := &window.cells[index]
		// The cell that is leaving the window counts for retries but not for requests, so that no window, wherever it
		// begins, exceeds the bound.
		if counted.number >= oldest {
			retries += counted.retries
		}
		if counted.number > oldest {
			requests += counted.requests
		}
	}
	return requests, retries
}

func (window *slidingWindow) number(elapsed time.Duration) int64 {
	return int64(elapsed / window.cellLength)
}
