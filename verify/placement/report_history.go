package placement

import "wardtray/balancer/load"

// reportHistory keeps the last reports of a runner, so that daemons read them with a lag.
type reportHistory struct {
	// lag is by how many reports the one that is read is older than the last.
	lag     int
	reports []load.Report
}

// record adds a report and forgets those older than the lag.
func (history *reportHistory) record(report load.Report) {
	history.reports = append(history.reports, report)
	if len(history.reports) > history.lag+1 {
		history.reports = history.reports[1:]
	}
}

// read returns the oldest report kept, and false where there is none yet.
func (history *reportHistory) read() (load.Report, bool) {
	if len(history.reports) == 0 {
		return load.Report{}, false
	}
	return history.reports[0], true
}
