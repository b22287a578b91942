package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
	"wardtray/verify/simulation"
)

// summary collects the results of many runs. It is safe for concurrent use.
type summary struct {
	printer
	mutex sync.Mutex
	clean bool
	// decisions counts the checks in which a data daemon would have scheduled a request; acknowledged counts the
	// operators' accepted changes.
	decisions, acknowledged int
	// calls and requests count the operators' calls and the at-most-once requests whose histories were checked for
	// linearizability; checkTime is the total time of these checks.
	calls, requests int
	checkTime       time.Duration
	worst           *worstCases
}

func newSummary(output io.Writer) *summary {
	return &summary{printer: printer{output}, clean: true, worst: newWorstCases()}
}

// add adds the results of a finished run, and prints the rules that it broke.
func (summary *summary) add(world *simulation.World) {
	summary.mutex.Lock()
	defer summary.mutex.Unlock()
	for _, line := range world.Check.Violations {
		summary.clean = false
		summary.println("BROKEN", line)
	}
	if len(world.Check.Violations) > 0 {
		summary.println("  harm done before:", strings.Join(world.Log[max(0, len(world.Log)-6):], "; "))
	}
	summary.decisions += world.Check.Decisions
	summary.calls += world.Check.Verdict.Calls
	summary.requests += world.Check.Verdict.Requests
	summary.checkTime += world.Check.Verdict.Took
	if world.Traffic != nil {
		summary.worst.add(histories.Worst(world.Traffic.History))
		summary.worst.count(world.Traffic.Counts())
	}
	for _, order := range world.Check.Orders {
		if order.Outcome == proposal.OutcomeAccepted {
			summary.acknowledged++
		}
	}
	for rule, length := range world.Check.WorstCases {
		summary.worst.lengths[rule] = max(summary.worst.lengths[rule], length)
	}
}

// print writes the results of all runs; seeds is the number of runs.
func (summary *summary) print(seeds int64) {
	summary.printf("%d seeds, %d changes acknowledged, %d awards checked\n",
		seeds, summary.acknowledged, summary.decisions)
	if summary.calls+summary.requests > 0 {
		summary.printf("histories: %d calls of operators and %d requests that run at most once judged in %v\n", summary.calls,
			summary.requests, summary.checkTime.Round(time.Millisecond))
	}
	summary.worst.print(summary.printer)
	if summary.clean {
		summary.println("verdict: clean")
		return
	}
	summary.println("verdict: rules broken; run again with --from SEED --seeds 1")
}

// printer writes to the terminal. It ignores write errors, which say nothing about the fleet under test.
type printer struct {
	output io.Writer
}

func (printer printer) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(printer.output, format, values...)
}

func (printer printer) println(values ...any) { _, _ = fmt.Fprintln(printer.output, values...) }
