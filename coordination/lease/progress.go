package lease

import "time"

// maximumReports bounds the reports kept of one acceptor; the oldest are dropped first.
const maximumReports = 64

// ProgressTracker is what the head knows of the acceptors as witnesses: which sequence each of them
// knows to be committed, and from when on no daemon relies on its confirmation of an older one.
type ProgressTracker struct {
	reports map[string][]progressReport
}

// progressReport is what one acceptor has reported.
type progressReport struct {
	committed uint64
	// fencedFrom is from when on no daemon relies on the acceptor's confirmation of anything older
	// than committed.
	fencedFrom time.Time
}

// NewProgressTracker returns an empty tracker.
func NewProgressTracker() *ProgressTracker {
	return &ProgressTracker{reports: map[string][]progressReport{}}
}

// Report records that an acceptor knows a sequence to be committed, and from when on its
// confirmations of older ones are no longer relied on.
func (tracker *ProgressTracker) Report(acceptor string, committed uint64, fencedFrom time.Time) {
	reports := tracker.reports[acceptor]
	// A report that is fenced no later and reaches as far makes an earlier one redundant.
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

// Fenced reports whether an acceptor knows that a sequence is committed and no daemon relies on its
// confirmation of an older one any more.
func (tracker *ProgressTracker) Fenced(now time.Time, acceptor string, sequence uint64) bool {
	for _, report := range tracker.reports[acceptor] {
		if report.committed >= sequence && !now.Before(report.fencedFrom) {
			return true
		}
	}
	return false
}
