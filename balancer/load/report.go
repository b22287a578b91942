package load

import (
	"time"

	"wardtray/apierror"
)

// maxFailedReports is how many reports in a row may fail before a runner counts as failed.
const maxFailedReports = 3

// RecordReport takes in a runner's report of its load.
func (table *Table) RecordReport(now time.Time, runner string, report Report) {
	table.update(runner, func(entry *entry) {
		// A runner that registered told its slots then, and its reports need not repeat them.
		if report.Slots == 0 {
			report.Slots = max(entry.estimate.report.Slots, int(entry.listing.Slots))
		}
		if !report.valid() {
			return
		}
		entry.estimate.add(now, report, entry.requests)
		entry.failedReports = 0
	})
}

// RecordPolledReport takes in a report that a runner gave because it was asked for one.
func (table *Table) RecordPolledReport(now time.Time, runner string, report Report) {
	table.services.reportGiven(table.service(runner))
	table.RecordReport(now, runner, report)
}

// RecordResponseReport takes in the load that a runner reported in the response to a request.
//
// Its service is then no longer asked for reports: a report says little of a moment later, among many daemons less than
// the responses do, and each report request costs something; docs/decisions.md has the measurements.
func (table *Table) RecordResponseReport(now time.Time, runner string, report Report) {
	table.services.markReportsInResponses(table.service(runner))
	table.RecordReport(now, runner, report)
}

// ReportRefused records that a runner refused to give a report. That is no sign of its being unhealthy: a service whose
// runners give no reports is not asked again for a while.
func (table *Table) ReportRefused(now time.Time, runner string) {
	service := ""
	table.update(runner, func(entry *entry) {
		service = entry.listing.Service
		entry.failedReports, entry.estimate.reported = 0, now
	})
	table.services.reportRefused(now, service)
}

// ReportFailed records that a runner gave no report, and ejects it for a while. It reports whether the runner is to be
// treated as failed: another one answers at its address, it is no longer listed either, or several reports in a row
// have failed.
func (table *Table) ReportFailed(now time.Time, runner string, why apierror.Code) (failed bool) {
	table.update(runner, func(entry *entry) {
		entry.failedReports++
		table.eject(now, entry, string(why))
		failed = why == apierror.WrongIdentity || !entry.listed || entry.failedReports >= maxFailedReports
	})
	return failed
}

// RunnersToPoll returns the runners to ask for a report, ordered by ID: those whose newest report is older than
// maxAge, be it an answer to a report request or a response's head, as far as their service needs polling. They are the
// listed ones, and those no longer listed that still have requests of ours, whose failure must be noticed as well.
// reportsOnly says that nothing but a report tells a load.
func (table *Table) RunnersToPoll(now time.Time, maxAge time.Duration, reportsOnly bool) []Runner {
	return table.runners(now, nil, func(entry *entry) bool {
		return (entry.listed || entry.requests.total > 0) &&
			now.Sub(entry.estimate.reported) >= maxAge &&
			table.services.needsPolling(now, entry.listing.Service, reportsOnly)
	})
}

// service returns the service of a runner, or "" if the runner is not known.
func (table *Table) service(runner string) (name string) {
	table.update(runner, func(entry *entry) { name = entry.listing.Service })
	return name
}
