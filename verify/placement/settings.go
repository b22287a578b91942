package placement

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"wardtray/verify/emulator"
	"wardtray/verify/loadtest"
)

// Settings are the two deployments.
var Settings = map[string]Setting{
	"guild": {
		Mix:     loadtest.Guild,
		Zones:   []string{"a", "b", "c"},
		Daemons: 12,
		Runners: 18,
		Profile: emulator.DefaultProfile,
	},
	"ferries": {
		Mix:     loadtest.Ferries,
		Zones:   []string{"a", "b", "c", "d"},
		Daemons: 11,
		Runners: 18,
		Profile: emulator.DefaultProfile,
	},
}

// Table measures every policy at every rate and prints a line for each route.
func Table(output io.Writer, setting Setting, rates []float64) error {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	// The table is held in memory up to Flush, which returns what went wrong.
	_, _ = fmt.Fprintln(
		writer,
		"RATE\tWAY\tLANE\tREQUESTS\tDONE\tEARLY\t"+
			"LATE\tPUT BACK\tNO BUDGET\tCACHED\tFIRST 50%\t95%\t99%\tACROSS ZONES\tMOST AT ONCE",
	)
	for _, rate := range rates {
		for _, policy := range slotPolicies {
			setting.Rate, setting.Policy = rate, policy
			results, err := Measure(setting)
			if err != nil {
				return err
			}
			for _, route := range slices.Sorted(maps.Keys(results)) {
				result := results[route]
				name := route
				if route == "" {
					name = "all"
				}
				_, _ = fmt.Fprintf(writer, "%.0f\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%v\t%v\t%v\t%.0f%%\t%d\n",
					rate, policy, name, result.Requests, result.Done, result.Early, result.Late, result.PutBack,
					result.NoBudget, 100*result.CacheShare(), result.Quantile(0.5).Round(time.Millisecond),
					result.Quantile(0.95).Round(time.Millisecond), result.Quantile(0.99).Round(time.Millisecond),
					100*float64(result.CrossZone)/float64(max(1, len(result.First))), result.MostAtOnce)
			}
		}
	}
	return writer.Flush()
}
