// Command ablation measures what each mechanism is worth: it plays days of deployments on the users' bench with one
// mechanism switched off at a time, beside the same days and seeds with all of them on, and prints a table. Runs whose
// reports are there already are not played again, so that it can be stopped and begun anew.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/features"
)

// settings are what the command is given.
type settings struct {
	bench, out string
	sites      []string
	days       []string
	seeds      []int64
	mechanisms []string
	jobs       int
	tableOnly  bool
}

// everything names the runs with all mechanisms on.
const everything = "everything"

func main() {
	given := settings{}
	application := kingpin.New("ablation", "Measures what each mechanism is worth, on the users' bench.")
	application.Flag("bench", "The bench's program.").Required().StringVar(&given.bench)
	application.Flag("out", "Folder of reports and of the trees that are played.").Required().StringVar(&given.out)
	application.Flag("site", "A site file; may be given several times.").Required().StringsVar(&given.sites)
	application.Flag("day", "A day of the sites; may be given several times.").Required().StringsVar(&given.days)
	application.Flag("seed", "A seed; may be given several times.").Required().Int64ListVar(&given.seeds)
	application.Flag("mechanism", "A mechanism; may be given several times; default: all.").StringsVar(&given.mechanisms)
	application.Flag("jobs", "How many days are played at once.").Default("3").IntVar(&given.jobs)
	application.Flag("table", "Print the table of the reports that are there, and play nothing.").BoolVar(&given.tableOnly)
	kingpin.MustParse(application.Parse(os.Args[1:]))
	if len(given.mechanisms) == 0 {
		for _, name := range features.All {
			given.mechanisms = append(given.mechanisms, string(name))
		}
	}
	if err := run(given); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

func run(given settings) error {
	if !given.tableOnly {
		if err := playAll(given); err != nil {
			return err
		}
	}
	reports, err := readReports(given)
	if err != nil {
		return err
	}
	fmt.Print(table(given, reports))
	return nil
}
