package placement

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// column is a column of a table of outcomes: its title, and the function that formats a cell.
type column[Outcome any] struct {
	title string
	cell  func(outcome *Outcome) string
}

// table prints outcomes: a line for each run and route, which begins with the run's labels and the route.
type table[Outcome any] struct {
	writer  *tabwriter.Writer
	columns []column[Outcome]
}

// newTable returns a table with a header line; labels are the titles of the columns that distinguish runs.
func newTable[Outcome any](output io.Writer, labels []string, columns []column[Outcome]) *table[Outcome] {
	created := &table[Outcome]{writer: tabwriter.NewWriter(output, 0, 4, 2, ' ', 0), columns: columns}
	titles := append(slices.Clone(labels), "LANE")
	for _, column := range columns {
		titles = append(titles, column.title)
	}
	created.printLine(titles)
	return created
}

// printLine adds a line, which is buffered until flush.
func (table *table[Outcome]) printLine(cells []string) {
	_, _ = fmt.Fprintln(table.writer, strings.Join(cells, "\t"))
}

// printRun adds the lines of one run, sorted by route.
func (table *table[Outcome]) printRun(labels []string, outcomes map[string]*Outcome) {
	for _, route := range slices.Sorted(maps.Keys(outcomes)) {
		cells := append(slices.Clone(labels), routeTitle(route))
		for _, column := range table.columns {
			cells = append(cells, column.cell(outcomes[route]))
		}
		table.printLine(cells)
	}
}

// flush writes the table to the output and returns any error of the output.
func (table *table[Outcome]) flush() error { return table.writer.Flush() }

// count formats an integer.
func count(value int) string { return strconv.Itoa(value) }

// percent formats a count as a percentage of a whole without decimals, permille as a percentage with one decimal.
func percent(count, whole int) string  { return fmt.Sprintf("%.0f%%", percentage(count, whole)) }
func permille(count, whole int) string { return fmt.Sprintf("%.1f%%", percentage(count, whole)) }

// percentage multiplies before it divides, so that an exact tie remains one when the result is rounded.
func percentage(count, whole int) float64 { return 100 * float64(count) / float64(max(1, whole)) }

// thousandths formats a number with three decimals.
func thousandths(value float64) string { return fmt.Sprintf("%.3f", value) }

// latency formats a duration, rounded to milliseconds.
func latency(value time.Duration) string { return value.Round(time.Millisecond).String() }

// slotColumns are the columns of Table.
var slotColumns = []column[SlotResult]{
	{"REQUESTS", func(result *SlotResult) string { return count(result.Requests) }},
	{"DONE", func(result *SlotResult) string { return count(result.Done) }},
	{"EARLY", func(result *SlotResult) string { return count(result.RefusedEarly) }},
	{"LATE", func(result *SlotResult) string { return count(result.RefusedLate) }},
	{"PUT BACK", func(result *SlotResult) string { return count(result.Rejected) }},
	{"NO BUDGET", func(result *SlotResult) string { return count(result.RetriesDenied) }},
	{"CACHED", func(result *SlotResult) string { return fmt.Sprintf("%.0f%%", 100*result.CacheShare()) }},
	{"FIRST 50%", func(result *SlotResult) string { return latency(result.Quantile(0.5)) }},
	{"95%", func(result *SlotResult) string { return latency(result.Quantile(0.95)) }},
	{"99%", func(result *SlotResult) string { return latency(result.Quantile(0.99)) }},
	{"ACROSS ZONES", func(result *SlotResult) string { return percent(result.CrossZone, len(result.FirstEventTimes)) }},
	{"MOST AT ONCE", func(result *SlotResult) string { return count(result.MaximumActive) }},
}

// Table runs Measure with each of slotPolicies at each rate (in requests per second) and prints a line for each route.
// It returns any error of Measure or of the output.
func Table(output io.Writer, experiment SlotExperiment, rates []float64) error {
	printed := newTable(output, []string{"RATE", "WAY"}, slotColumns)
	for _, rate := range rates {
		for _, policy := range slotPolicies {
			experiment.Rate, experiment.Policy = rate, policy
			results, err := Measure(experiment)
			if err != nil {
				return err
			}
			printed.printRun([]string{fmt.Sprintf("%.0f", rate), policy}, results)
		}
	}
	return printed.flush()
}

// batchColumns are the columns of Report.
var batchColumns = []column[BatchResult]{
	{"REQUESTS", func(result *BatchResult) string { return count(result.Requests) }},
	{"WORTH", func(result *BatchResult) string { return thousandths(result.ValueShare()) }},
	{"NET", func(result *BatchResult) string { return thousandths(result.NetShare()) }},
	{"WORST 3 S", func(result *BatchResult) string { return thousandths(result.WorstWindowShare()) }},
	{"IN TIME", func(result *BatchResult) string { return permille(result.InTime, result.Requests) }},
	{"LATE", func(result *BatchResult) string { return permille(result.Late, result.Requests) }},
	{"REFUSED", func(result *BatchResult) string { return permille(result.Refused, result.Requests) }},
	{"LOST", func(result *BatchResult) string { return permille(result.Failed, result.Requests) }},
	{"LARGE SERVED", func(result *BatchResult) string { return percent(result.LargeServed, result.Large) }},
	{"REREAD", func(result *BatchResult) string { return permille(result.RereadTokens, result.SharedTokens) }},
	{"SENDS", func(result *BatchResult) string { return thousandths(ratio(result.Sends, result.Requests)) }},
	{"ACROSS", func(result *BatchResult) string { return permille(result.CrossZone, result.Requests) }},
	{"FIRST 50%", func(result *BatchResult) string { return latency(result.Quantile(0.5)) }},
	{"95%", func(result *BatchResult) string { return latency(result.Quantile(0.95)) }},
	{"99%", func(result *BatchResult) string { return latency(result.Quantile(0.99)) }},
}

// Report runs BatchExperiment.Run with each policy at each load, sums the results over the given number of successive
// seeds and prints a line for each route. It returns any error of BatchExperiment.Run or of the output.
func Report(output io.Writer, experiment BatchExperiment, loads []float64, policyNames []string, seeds int) error {
	printed := newTable(output, []string{"LOAD", "WAY"}, batchColumns)
	for _, load := range loads {
		for _, policy := range policyNames {
			experiment.Load, experiment.Policy = load, policy
			sums, err := runSeeds(experiment, seeds)
			if err != nil {
				return err
			}
			printed.printRun([]string{fmt.Sprintf("%.2f", load), policy}, sums)
		}
	}
	return printed.flush()
}

// runSeeds runs a simulation concurrently with successive seeds, from its own on, and sums the results.
func runSeeds(experiment BatchExperiment, seeds int) (map[string]*BatchResult, error) {
	all := make([]map[string]*BatchResult, seeds)
	failures := make([]error, seeds)
	var running sync.WaitGroup
	for index := range seeds {
		seeded := experiment
		seeded.Seed += int64(index)
		running.Go(func() { all[index], failures[index] = seeded.Run() })
	}
	running.Wait()
	sums := map[string]*BatchResult{}
	for index, results := range all {
		if failures[index] != nil {
			return nil, failures[index]
		}
		for route, result := range results {
			if sums[route] == nil {
				sums[route] = newBatchResult()
			}
			sums[route].add(index, result)
		}
	}
	return sums, nil
}
