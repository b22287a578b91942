package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

// maximumViolations is the maximum number of violations that a report prints.
const maximumViolations = 40

// Report is the result of one scenario run.
type Report struct {
	Statistics Statistics
	// CacheShare is the fraction of the prompt tokens that runners found in their caches.
	CacheShare float64
	Worst      histories.WorstCases
	// Started is the start of the history; the faults' times are printed relative to it.
	Started    time.Time
	Orders     []histories.OperatorRequest
	Faults     []histories.Fault
	Violations []histories.Violation
	// Linearizability is the verdict on the complete histories of operators and clients.
	Linearizability linearizability.Verdict
}

// newReport creates the report on a completed history.
func newReport(history *histories.History, cacheShare float64, violations []histories.Violation) Report {
	report := Report{
		Statistics: newStatistics(history),
		CacheShare: cacheShare,
		Worst:      histories.Worst(history),
		Violations: violations,
	}
	history.Change(func(history *histories.History) {
		report.Started, report.Faults = history.Started, slices.Clone(history.Faults)
		for _, request := range history.Orders {
			report.Orders = append(report.Orders, *request)
		}
	})
	return report
}

// Clean reports whether every rule held.
func (report Report) Clean() bool { return len(report.Violations) == 0 }

// Print writes the report as text and ignores write errors.
func (report Report) Print(output io.Writer) {
	printer := printer{output}
	report.printRequests(printer)
	report.printRoutes(printer)
	report.printEvents(printer)
	report.printVerdict(printer)
}

// printer writes formatted text to output and ignores write errors.
type printer struct {
	output io.Writer
}

func (printer printer) printf(format string, values ...any) {
	// An error of the output is irrelevant to the result, and a truncated report is recognizable.
	_, _ = fmt.Fprintf(printer.output, format, values...)
}

func (report Report) printRequests(printer printer) {
	statistics, worst := report.Statistics, report.Worst
	printer.printf("requests %d: done %d, refused %d, unknown %d, broken off %d, lost with a killed daemon %d\n",
		statistics.Requests, statistics.Done, statistics.Refused, statistics.Unknown, statistics.Broken, statistics.Lost)
	printer.printf("prompt tokens found in runners' caches: %.0f%%; repeats: %d\n",
		100*report.CacheShare, statistics.Retries)
	printer.printf("worst cases: a change ignored %v after its acknowledgement (2 s), work to a leaving runner %v (3 s), "+
		"to a closed zone %v (5 s), first answer after return %v (12 s), %d repeats to %d requests in 10 s\n",
		milliseconds(worst.OutdatedSpec), milliseconds(worst.Draining), milliseconds(worst.Closed),
		milliseconds(worst.Return), worst.Retried, worst.Requests)
}

func (report Report) printRoutes(printer printer) {
	first := report.Statistics.FirstEventTimes
	for _, route := range slices.Sorted(maps.Keys(first)) {
		durations := first[route]
		printer.printf("  %-10s done %5d   first event: median %v, 95%% %v, worst %v\n", route, len(durations),
			milliseconds(quantile(durations, 0.5)), milliseconds(quantile(durations, 0.95)),
			milliseconds(quantile(durations, 1)))
	}
	codes := report.Statistics.ErrorCodes
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		printer.printf("  refused or unknown: %-28s %d\n", code, codes[code])
	}
}

func (report Report) printEvents(printer printer) {
	for _, request := range report.Orders {
		printer.printf("  order %-12s %-6s %-10s epoch %d in %v\n",
			request.Operation, request.Verb, request.Outcome, request.Epoch, milliseconds(request.Got.Sub(request.Sent)))
	}
	for _, fault := range report.Faults {
		printer.printf("  at %6.2fs %s\n", fault.At.Sub(report.Started).Seconds(), fault.What)
	}
}

func (report Report) printVerdict(printer printer) {
	printer.printf("histories: %d calls of operators and %d requests that run at most once judged in %v\n",
		report.Linearizability.Calls, report.Linearizability.Requests, milliseconds(report.Linearizability.Took))
	if report.Clean() {
		printer.printf("verdict: clean, all %d rules held\n", len(histories.Rules))
		return
	}
	for _, violation := range report.Violations[:min(len(report.Violations), maximumViolations)] {
		printer.printf("BROKEN %s: %s\n", violation.Rule, violation.Detail)
	}
	printer.printf("verdict: %d violations\n", len(report.Violations))
}

func milliseconds(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }
