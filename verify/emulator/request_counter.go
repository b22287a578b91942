package emulator

import (
	"sync"
	"time"
)

const (
	// reportInterval is the interval between a runner's load reports.
	reportInterval = 100 * time.Millisecond
	// maximumReports is the number of load reports that a runner keeps; RunnerProfile.ReportAge must not exceed the time
	// that they cover.
	maximumReports = 64
)

// loadReport is a runner's load at a time.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// requestCounter counts a runner's requests and keeps reports of its load. It is safe for concurrent use.
type requestCounter struct {
	mutex sync.Mutex
	slots int
	// active is the number of requests that run or wait, admitted the number of requests admitted since the start.
	active, admitted int
	reports          []loadReport
}

// admit admits a request unless limit requests run or wait already. It returns the number of those requests, and the
// number of the admitted request in order of admission, from 1.
func (counter *requestCounter) admit(limit int) (concurrent, number int, admitted bool) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	concurrent = counter.active
	if concurrent >= limit {
		return concurrent, 0, false
	}
	counter.active++
	counter.admitted++
	return concurrent, counter.admitted, true
}

// release ends an admitted request.
func (counter *requestCounter) release() {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.active--
}

// count returns the number of requests that run or wait.
func (counter *requestCounter) count() int {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.active
}

// recordReport adds a report of the current load and evicts the oldest beyond maximumReports.
func (counter *requestCounter) recordReport(now time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	running := min(counter.active, counter.slots)
	report := loadReport{at: now, running: running, waiting: counter.active - running}
	counter.reports = append(counter.reports, report)
	if surplus := len(counter.reports) - maximumReports; surplus > 0 {
		counter.reports = counter.reports[surplus:]
	}
}

// reportBefore returns the newest report recorded at or before a moment, or a report without load if there is none.
func (counter *requestCounter) reportBefore(moment time.Time) loadReport {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	newest := loadReport{}
	for _, report := range counter.reports {
		if !report.at.After(moment) {
			newest = report
		}
	}
	return newest
}
