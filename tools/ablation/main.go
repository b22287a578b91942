// Command ablation measures the benefit of each feature of the daemons. It runs a benchmark program with each site
// file, each day (a scenario of the benchmark) and each seed: once with all features on, and once for each feature with
// only this feature switched off. It prints a table of the differences. It skips trials that already have a report, so
// that it can be stopped and resumed.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/features"
)

// options are the command's flags.
type options struct {
	// bench is the path of the benchmark program.
	bench string
	// out is the folder of the reports and of the copies of the sources that are run.
	out string
	// sites, days, seeds and features: each combination of them is a trial. sites are paths of site files, and days are
	// the benchmark's names of scenarios.
	sites    []string
	days     []string
	seeds    []int64
	features []string
	// jobs is the number of trials that run at once.
	jobs int
	// tableOnly makes the command print the table of the existing reports and run nothing.
	tableOnly bool
}

func main() {
	chosen := parseOptions(os.Args[1:])
	if err := run(context.Background(), chosen, os.Stdout, log.New(os.Stderr, "", 0)); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

// parseOptions parses the flags; invalid ones end the process.
func parseOptions(arguments []string) options {
	chosen := options{}
	application := kingpin.New("ablation", "Measures the benefit of each feature with a benchmark program.")
	application.Flag("bench", "Path of the benchmark program.").Required().StringVar(&chosen.bench)
	application.Flag("out", "Folder of the reports and of the copies of the sources.").Required().StringVar(&chosen.out)
	application.Flag("site", "A site file; may be given several times.").Required().StringsVar(&chosen.sites)
	application.Flag("day", "A day of the sites; may be given several times.").Required().StringsVar(&chosen.days)
	application.Flag("seed", "A seed; may be given several times.").Required().Int64ListVar(&chosen.seeds)
	mechanism := application.Flag("mechanism", "A feature; may be given several times; default: all.")
	mechanism.StringsVar(&chosen.features)
	application.Flag("jobs", "Number of trials that run at once.").Default("3").IntVar(&chosen.jobs)
	table := application.Flag("table", "Print the table of the existing reports and run nothing.")
	table.BoolVar(&chosen.tableOnly)
	kingpin.MustParse(application.Parse(arguments))
	if len(chosen.features) == 0 {
		for _, name := range features.All {
			chosen.features = append(chosen.features, string(name))
		}
	}
	return chosen
}

// run runs the trials that have no report, logs those that fail, and prints the table.
func run(ctx context.Context, chosen options, output io.Writer, failures *log.Logger) error {
	if !chosen.tableOnly {
		if err := runTrials(ctx, chosen, failures); err != nil {
			return err
		}
	}
	reports, err := readReports(chosen)
	if err != nil {
		return err
	}
	_, err = io.WriteString(output, table(chosen, reports))
	return err
}
