package lease

import "time"

// maximumReports is the maximum number of reports kept of each acceptor; the oldest are dropped first.
const maximumReports = 64

// ProgressTracker tracks, at the head, the reports of the acceptors as witnesses: up to which sequence each of them
// knows the history to be committed, and from which moment no daemon relies on its confirmations of older sequences.
type ProgressTracker struct {
	reports map[string][]progressReport
}

// progressReport is a report of one acceptor.
type progressReport struct {
	committed uint64
	// fencedFrom is the moment from which no daemon relies on the acceptor's confirmation of a sequence below committed.
	fencedFrom time.Time
}

// NewProgressTracker returns an empty tracker.
func NewProgressTracker() *ProgressTracker {
	return &ProgressTracker{reports: map[string][]progressReport{}}
}

// Report records that an acceptor knows a sequence to be committed, and that no daemon relies on its confirmations of
// older sequences from the moment fencedFrom.
func (tracker *ProgressTracker) Report(acceptor string, committed uint64, fencedFrom time.Time) {
	reports := tracker.reports[acceptor]
	// An earlier report is redundant if this one covers its sequence and is fenced no later.
	for len(reports) > 0 {
		last := reports[len(reports)-1]
		if last.committed > committed || fencedFrom.After(last.fencedFrom) {
			break
		}
		reports = reports[:len(reports)-1]
	}
	reports = append(reports, progressReport{committed: committed, fencedFrom: fencedFrom})
	if len(reports) > maximumReports {
		reports = reports[len(reports)-maximumReports:]
	}
	tracker.reports[acceptor] = reports
}

// HasCommitted reports whether an acceptor knows that a sequence is committed.
func (tracker *ProgressTracker) HasCommitted(acceptor string, sequence uint64) bool {
	for _, report := range tracker.reports[acceptor] {
		if report.committed >= sequence {
			return true
		}
	}
	return false
}

// Fenced reports whether an acceptor knows that a sequence is committed and no daemon relies on its confirmations of
// older sequences any more.
func (tracker *ProgressTracker) Fenced(now time.Time, acceptor string, sequence uint64) bool {
	for _, report := range tracker.reports[acceptor] {
		if report.committed >= sequence && !now.Before(report.fencedFrom) {
			return true
		}
	}
	return false
}
