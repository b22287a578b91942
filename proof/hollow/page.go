package hollow

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"wardtray/process/fault"
)

// ResultsFolder is where the committed results are.
const ResultsFolder = "proof/hollow/results"

// The bounds for control at two years' size: of a daemon, and of a change.
const (
	boundProcessor = 0.034
	boundMemory    = 64 << 20
	boundBytes     = 26 << 10
	boundForce     = 4.0
	aimDaemons     = 3500
	aimRunners     = 10000
)

// ReadResults reads the results of a file.
func ReadResults(path string) (Results, error) {
	results := Results{}
	content, failure := os.ReadFile(path)
	if failure == nil {
		failure = json.Unmarshal(content, &results)
	}
	return results, fault.Wrap(failure, fault.Malformed, "results")
}

// Table shows the runs side by side: each figure of each phase at each size.
func (results Results) Table() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "| phase | figure |")
	for _, run := range results.Runs {
		fmt.Fprintf(text, " %d daemons, %d runners |", run.Daemons, run.Runners)
	}
	fmt.Fprintf(text, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(results.Runs)))
	for _, phase := range append([]string{"founding", "quiet"}, PhaseNames()...) {
		names := map[string]bool{}
		for _, run := range results.Runs {
			for _, held := range run.Phases {
				if held.Name == phase {
					for name := range held.Figures {
						names[name] = true
					}
				}
			}
		}
		sorted := make([]string, 0, len(names))
		for name := range names {
			sorted = append(sorted, name)
		}
		sort.Strings(sorted)
		for _, name := range sorted {
			fmt.Fprintf(text, "| %s | %s |", phase, name)
			for _, run := range results.Runs {
				value := "-"
				for _, held := range run.Phases {
					if found, there := held.Figures[name]; there && held.Name == phase {
						value = short(found)
					}
				}
				fmt.Fprintf(text, " %s |", value)
			}
			fmt.Fprintln(text)
		}
	}
	return text.String()
}

// short writes a figure with three digits that count.
func short(value float64) string {
	if value >= 1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

func writePage(folder, page string) error {
	_ = filepath.Join(folder, page)
	return nil
}
