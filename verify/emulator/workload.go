package emulator

import (
	"sync"
	"time"
)

const (
	// reportInterval is how often a runner takes a load report.
	reportInterval = 100 * time.Millisecond
	// keptReports is how many reports a runner keeps; ReportAge must not exceed the time that they cover.
	keptReports = 64
)

// loadReport is a runner's load at a moment.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// workload counts the requests that a runner has, and remembers what it counted. It is safe for concurrent use.
type workload struct {
	mutex sync.Mutex
	slots int
	// active is how many requests run or wait, admitted how many there were since the start.
	active, admitted int
	reports          []loadReport
}

// admit takes in one more request unless there are limit already. It returns how many there were beside it, and the
// request's number, from 1.
func (workload *workload) admit(limit int) (concurrent, number int, admitted bool) {
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	concurrent = workload.active
	if concurrent >= limit {
		return concurrent, 0, false
	}
	workload.active++
	workload.admitted++
	return concurrent, workload.admitted, true
}

// release lets go of a request that was admitted.
func (workload *workload) release() {
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	workload.active--
}

// count returns how many requests run or wait.
func (workload *workload) count() int {
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	return workload.active
}

// observe takes a report.
func (workload *workload) observe(now time.Time) {
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	running := min(workload.active, workload.slots)
	report := loadReport{at: now, running: running, waiting: workload.active - running}
	workload.reports = append(workload.reports, report)
	if surplus := len(workload.reports) - keptReports; surplus > 0 {
		workload.reports = workload.reports[surplus:]
	}
}

// reportBefore returns the newest report that was taken at a moment or before; where there is none, that of a runner
// without any load.
func (workload *workload) reportBefore(moment time.Time) loadReport {
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	found := loadReport{}
	for _, report := range workload.reports {
		if !report.at.After(moment) {
			found = report
		}
	}
	return found
}
