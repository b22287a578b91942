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

// column is a column of a table of outcomes: its title, and how it prints one.
type column[Outcome any] struct {
	title string
	cell  func(outcome *Outcome) string
}

// table prints outcomes: a line for each run and route, with the run's labels and the route first.
type table[Outcome any] struct {
	writer  *tabwriter.Writer
	columns []column[Outcome]
}

// newTable begins a table with its header; labels are the titles of what distinguishes runs.
func newTable[Outcome any](output io.Writer, labels []string, columns []column[Outcome]) *table[Outcome] {
	made := &table[Outcome]{writer: tabwriter.NewWriter(output, 0, 4, 2, ' ', 0), columns: columns}
	titles := append(slices.Clone(labels), "LANE")
	for _, column := range columns {
		titles = append(titles, column.title)
	}
	made.printLine(titles)
	return made
}

// printLine adds a line, which is held in memory up to the flush.
func (table *table[Outcome]) printLine(cells []string) {
	_, _ = fmt.Fprintln(table.writer, strings.Join(cells, "\t"))
}

// printRun adds the lines of one run, by route.
func (table *table[Outcome]) printRun(labels []string, outcomes map[string]*Outcome) {
	for _, route := range slices.Sorted(maps.Keys(outcomes)) {
		cells := append(slices.Clone(labels), routeTitle(route))
		for _, column := range table.columns {
			cells = append(cells, column.cell(outcomes[route]))
		}
		table.printLine(cells)
	}
}

// flush writes the table out; it returns the error of the output.
func (table *table[Outcome]) flush() error { return table.writer.Flush() }

// count prints a number of things.
func count(value int) string { return strconv.Itoa(value) }

// percent prints what part a count is of a whole, in whole percent, permille with one decimal.
func percent(count, whole int) string  { return fmt.Sprintf("%.0f%%", percentage(count, whole)) }
func permille(count, whole int) string { return fmt.Sprintf("%.1f%%", percentage(count, whole)) }

// percentage multiplies first, so that a tie of rounding stays one.
func percentage(count, whole int) float64 { return 100 * float64(count) / float64(max(1, whole)) }

// thousandths prints a figure with three decimals.
func thousandths(value float64) string { return fmt.Sprintf("%.3f", value) }

// latency prints a time in whole milliseconds.
func latency(value time.Duration) string { return value.Round(time.Millisecond).String() }

// slotColumns are the columns of Table.
var slotColumns = []column[Result]{
	{"REQUESTS", func(result *Result) string { return count(result.Requests) }},
	{"DONE", func(result *Result) string { return count(result.Done) }},
	{"EARLY", func(result *Result) string { return count(result.Early) }},
	{"LATE", func(result *Result) string { return count(result.Late) }},
	{"PUT BACK", func(result *Result) string { return count(result.PutBack) }},
	{"NO BUDGET", func(result *Result) string { return count(result.NoBudget) }},
	{"CACHED", func(result *Result) string { return fmt.Sprintf("%.0f%%", 100*result.CacheShare()) }},
	{"FIRST 50%", func(result *Result) string { return latency(result.Quantile(0.5)) }},
	{"95%", func(result *Result) string { return latency(result.Quantile(0.95)) }},
	{"99%", func(result *Result) string { return latency(result.Quantile(0.99)) }},
	{"ACROSS ZONES", func(result *Result) string { return percent(result.CrossZone, len(result.First)) }},
	{"MOST AT ONCE", func(result *Result) string { return count(result.MostAtOnce) }},
}

// Table measures a setting with every policy at every rate (requests a second) and prints a line for each route. The
// error is that of Measure or of the output.
func Table(output io.Writer, setting Setting, rates []float64) error {
	printed := newTable(output, []string{"RATE", "WAY"}, slotColumns)
	for _, rate := range rates {
		for _, policy := range slotPolicies {
			setting.Rate, setting.Policy = rate, policy
			results, err := Measure(setting)
			if err != nil {
				return err
			}
			printed.printRun([]string{fmt.Sprintf("%.0f", rate), policy}, results)
		}
	}
	return printed.flush()
}

// batchColumns are the columns of Report.
var batchColumns = []column[Earned]{
	{"REQUESTS", func(earned *Earned) string { return count(earned.Requests) }},
	{"WORTH", func(earned *Earned) string { return thousandths(earned.Share()) }},
	{"NET", func(earned *Earned) string { return thousandths(earned.Net()) }},
	{"WORST 3 S", func(earned *Earned) string { return thousandths(earned.Worst()) }},
	{"IN TIME", func(earned *Earned) string { return permille(earned.InTime, earned.Requests) }},
	{"LATE", func(earned *Earned) string { return permille(earned.Late, earned.Requests) }},
	{"REFUSED", func(earned *Earned) string { return permille(earned.Refused, earned.Requests) }},
	{"LOST", func(earned *Earned) string { return permille(earned.Failed, earned.Requests) }},
	{"LARGE SERVED", func(earned *Earned) string { return percent(earned.LargeServed, earned.Large) }},
	{"REREAD", func(earned *Earned) string { return permille(earned.RereadTokens, earned.Shared) }},
	{"SENDS", func(earned *Earned) string { return thousandths(ratio(earned.Sends, earned.Requests)) }},
	{"ACROSS", func(earned *Earned) string { return permille(earned.CrossZone, earned.Requests) }},
	{"FIRST 50%", func(earned *Earned) string { return latency(earned.Quantile(0.5)) }},
	{"95%", func(earned *Earned) string { return latency(earned.Quantile(0.95)) }},
	{"99%", func(earned *Earned) string { return latency(earned.Quantile(0.99)) }},
}

// Report plays every policy at every load over some seeds, adds the seeds up and prints a line for each route. The
// error is that of Play.Run or of the output.
func Report(output io.Writer, play Play, loads []float64, policyNames []string, seeds int) error {
	printed := newTable(output, []string{"LOAD", "WAY"}, batchColumns)
	for _, load := range loads {
		for _, policy := range policyNames {
			play.Load, play.Policy = load, policy
			sums, err := total(play, seeds)
			if err != nil {
				return err
			}
			printed.printRun([]string{fmt.Sprintf("%.2f", load), policy}, sums)
		}
	}
	return printed.flush()
}

// total runs a play with seeds from its own on, at the same time, and adds the results up.
func total(play Play, seeds int) (map[string]*Earned, error) {
	all := make([]map[string]*Earned, seeds)
	failures := make([]error, seeds)
	var running sync.WaitGroup
	for index := range seeds {
		seeded := play
		seeded.Seed += int64(index)
		running.Go(func() { all[index], failures[index] = seeded.Run() })
	}
	running.Wait()
	sums := map[string]*Earned{}
	for index, results := range all {
		if failures[index] != nil {
			return nil, failures[index]
		}
		for route, earned := range results {
			if sums[route] == nil {
				sums[route] = newEarned()
			}
			sums[route].add(index, earned)
		}
	}
	return sums, nil
}
