package load

import (
	"time"

	"wardtray/apierror"
)

// maxFailedReports is the number of consecutive failed report requests after which a runner is treated as unresponsive.
const maxFailedReports = 3

// RecordReport records a runner's report of its load. It ignores an invalid one.
func (table *Table) RecordReport(now time.Time, runner string, report Report) {
	table.update(runner, func(entry *entry) {
		// A runner that registered itself gave its slots then, and its reports need not repeat them.
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

// RecordPolledReport records a report that a runner sent in response to a report request.
func (table *Table) RecordPolledReport(now time.Time, runner string, report Report) {
	table.services.reportGiven(table.service(runner))
	table.RecordReport(now, runner, report)
}

// RecordResponseReport records the load that a runner reported in the response to a request.
//
// The runners of its service are no longer polled for reports after that: a polled report is outdated within moments,
// with many daemons it says less than the responses do, and each report request has a cost. See docs/decisions.md.
func (table *Table) RecordResponseReport(now time.Time, runner string, report Report) {
	table.services.markReportsInResponses(table.service(runner))
	table.RecordReport(now, runner, report)
}

// ReportRefused records that a runner answered a report request but does not provide reports. It is not a sign of bad
// health. After maxRefusals of them in a row the service is not polled again for refusedRetryInterval.
func (table *Table) ReportRefused(now time.Time, runner string) {
	service := ""
	table.update(runner, func(entry *entry) {
		service = entry.listing.Service
		entry.failedReports, entry.estimate.reported = 0, now
	})
	table.services.reportRefused(now, service)
}

// ReportFailed records that a report request failed, and ejects the runner. It reports whether the runner is to be
// treated as unresponsive: it is no longer listed, or maxFailedReports consecutive report requests have failed. An
// unresponsive runner may still be working on its requests.
func (table *Table) ReportFailed(now time.Time, runner string, why apierror.Code) (unresponsive bool) {
	table.update(runner, func(entry *entry) {
		entry.failedReports++
		table.eject(now, entry, string(why))
		unresponsive = !entry.listed || entry.failedReports >= maxFailedReports
	})
	return unresponsive
}

// RunnersToPoll returns the runners to poll for a report, ordered by ID: those whose service needs polling and whose
// newest report, polled or from response headers, is at least maxAge old. Runners that are no longer listed but still
// have requests of this daemon are included, so that their failure is detected too. reportsOnly says that polled
// reports are the only source of load information.
func (table *Table) RunnersToPoll(now time.Time, maxAge time.Duration, reportsOnly bool) []Runner {
	return table.runners(now, nil, func(entry *entry) bool {
		return (entry.listed || entry.requests.total > 0) &&
			now.Sub(entry.estimate.reported) >= maxAge &&
			table.services.needsPolling(now, entry.listing.Service, reportsOnly)
	})
}

// service returns the name of a runner's service, or "" if the runner is not known.
func (table *Table) service(runner string) (name string) {
	table.update(runner, func(entry *entry) { name = entry.listing.Service })
	return name
}
