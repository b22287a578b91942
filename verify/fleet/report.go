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

// mostViolations is how many violations a report prints.
const mostViolations = 40

// Report is the result of one proof.
type Report struct {
	Figures Figures
	// CacheShare is the part of the prompt tokens that runners found in their caches.
	CacheShare float64
	Worst      histories.WorstCases
	// Started is when the history began, to which the faults' times are related.
	Started    time.Time
	Orders     []histories.Order
	Faults     []histories.Fault
	Violations []histories.Violation
	// Judged is the verdict on the whole histories of operators and clients.
	Judged linearizability.Verdict
}

// newReport takes a report from a history that has ended.
func newReport(history *histories.History, cacheShare float64, violations []histories.Violation) Report {
	report := Report{
		Figures:    measure(history),
		CacheShare: cacheShare,
		Worst:      histories.Worst(history),
		Violations: violations,
	}
	history.Change(func(history *histories.History) {
		report.Started, report.Faults = history.Started, slices.Clone(history.Faults)
		for _, order := range history.Orders {
			report.Orders = append(report.Orders, *order)
		}
	})
	return report
}

// Clean reports whether every rule held.
func (report Report) Clean() bool { return len(report.Violations) == 0 }

// Print writes the report as text.
func (report Report) Print(output io.Writer) {
	printer := printer{output}
	report.printRequests(printer)
	report.printRoutes(printer)
	report.printEvents(printer)
	report.printVerdict(printer)
}

// printer writes lines.
type printer struct {
	output io.Writer
}

func (printer printer) printf(format string, values ...any) {
	// Whoever reads the report sees where it ends; an output that takes no more says nothing about the fleet.
	_, _ = fmt.Fprintf(printer.output, format, values...)
}

func (report Report) printRequests(printer printer) {
	figures, worst := report.Figures, report.Worst
	printer.printf("requests %d: done %d, refused %d, unknown %d, broken off %d, lost with a killed daemon %d\n",
		figures.Requests, figures.Done, figures.Refused, figures.Unknown, figures.Broken, figures.Lost)
	printer.printf("prompt tokens found in runners' caches: %.0f%%; repeats: %d\n",
		100*report.CacheShare, figures.Retries)
	printer.printf("worst cases: a change ignored %v after its acknowledgement (2 s), work to a leaving runner %v (3 s), "+
		"to a closed zone %v (5 s), first answer after return %v (12 s), %d repeats to %d requests in 10 s\n",
		milliseconds(worst.Ignored), milliseconds(worst.Draining), milliseconds(worst.Closed),
		milliseconds(worst.Return), worst.Retried, worst.Requests)
}

func (report Report) printRoutes(printer printer) {
	first := report.Figures.First
	for _, route := range slices.Sorted(maps.Keys(first)) {
		lengths := first[route]
		printer.printf("  %-10s done %5d   first event: median %v, 95%% %v, worst %v\n", route, len(lengths),
			milliseconds(quantile(lengths, 0.5)), milliseconds(quantile(lengths, 0.95)), milliseconds(quantile(lengths, 1)))
	}
	kinds := report.Figures.Kinds
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		printer.printf("  refused or unknown: %-28s %d\n", kind, kinds[kind])
	}
}

func (report Report) printEvents(printer printer) {
	for _, order := range report.Orders {
		printer.printf("  order %-12s %-6s %-10s epoch %d in %v\n",
			order.Operation, order.Verb, order.Outcome, order.Epoch, milliseconds(order.Got.Sub(order.Sent)))
	}
	for _, fault := range report.Faults {
		printer.printf("  at %6.2fs %s\n", fault.At.Sub(report.Started).Seconds(), fault.What)
	}
}

func (report Report) printVerdict(printer printer) {
	printer.printf("histories: %d calls of operators and %d requests that run at most once judged in %v\n",
		report.Judged.Calls, report.Judged.Requests, milliseconds(report.Judged.Took))
	if report.Clean() {
		printer.printf("verdict: clean, all %d rules held\n", len(histories.Rules))
		return
	}
	for _, violation := range report.Violations[:min(len(report.Violations), mostViolations)] {
		printer.printf("BROKEN %s: %s\n", violation.Rule, violation.Detail)
	}
	printer.printf("verdict: %d violations\n", len(report.Violations))
}

func milliseconds(length time.Duration) time.Duration { return length.Round(time.Millisecond) }
