package placement

import "wardtray/balancer/load"

// reportHistory holds a runner's last load reports, so that daemons read them with a lag.
type reportHistory struct {
	// lag is the number of reports recorded after the one that read returns.
	lag     int
	reports []load.Report
}

// record adds a report and removes those older than the lag.
func (history *reportHistory) record(report load.Report) {
	history.reports = append(history.reports, report)
	if len(history.reports) > history.lag+1 {
		history.reports = history.reports[1:]
	}
}

// read returns the oldest report held, or false if there is none.
func (history *reportHistory) read() (load.Report, bool) {
	if len(history.reports) == 0 {
		return load.Report{}, false
	}
	return history.reports[0], true
}
