// Command ablation measures what each feature of the daemons is worth: it runs days of deployments on the users' bench
// with one feature switched off at a time, and the same days and seeds with all of them on, and prints a table of the
// differences. Trials that have a report are not run again, so that it can be stopped and resumed.
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
	// bench is the path of the bench's program.
	bench string
	// out is the folder of reports and of the copies of the sources that are run.
	out string
	// sites, days, seeds and features span the trials; sites are paths of site files.
	sites    []string
	days     []string
	seeds    []int64
	features []string
	// jobs is how many trials run at once.
	jobs int
	// tableOnly prints the table of the reports that exist, and runs nothing.
	tableOnly bool
}

func main() {
	chosen := parseOptions(os.Args[1:])
	if err := run(context.Background(), chosen, os.Stdout, log.New(os.Stderr, "", 0)); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

// parseOptions parses the flags; wrong ones end the process.
func parseOptions(arguments []string) options {
	chosen := options{}
	application := kingpin.New("ablation", "Measures what each mechanism is worth, on the users' bench.")
	application.Flag("bench", "The bench's program.").Required().StringVar(&chosen.bench)
	application.Flag("out", "Folder of reports and of the trees that are played.").Required().StringVar(&chosen.out)
	application.Flag("site", "A site file; may be given several times.").Required().StringsVar(&chosen.sites)
	application.Flag("day", "A day of the sites; may be given several times.").Required().StringsVar(&chosen.days)
	application.Flag("seed", "A seed; may be given several times.").Required().Int64ListVar(&chosen.seeds)
	mechanism := application.Flag("mechanism", "A mechanism; may be given several times; default: all.")
	mechanism.StringsVar(&chosen.features)
	application.Flag("jobs", "How many days are played at once.").Default("3").IntVar(&chosen.jobs)
	table := application.Flag("table", "Print the table of the reports that are there, and play nothing.")
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
