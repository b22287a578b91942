package placement

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Report plays every way over some seeds and prints a line for each route.
func Report(output io.Writer, play Play, loads []float64, ways []string, seeds int) error {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	// The table is held in memory up to Flush, which returns what went wrong.
	_, _ = fmt.Fprintln(
		writer,
		"LOAD\tWAY\tLANE\tREQUESTS\tWORTH\tNET\tWORST 3 S\tIN TIME\t"+
			"LATE\tREFUSED\tLOST\tLARGE SERVED\tREREAD\tSENDS\tACROSS\tFIRST 50%\t95%\t99%",
	)
	for _, load := range loads {
		for _, way := range ways {
			sums, err := total(play, load, way, seeds)
			if err != nil {
				return err
			}
			for _, route := range slices.Sorted(maps.Keys(sums)) {
				earned := sums[route]
				name := route
				if route == "" {
					name = "all"
				}
				part := func(count int) string {
					return fmt.Sprintf("%.1f%%", 100*float64(count)/float64(max(1, earned.Requests)))
				}
				_, _ = fmt.Fprintf(writer,
					"%.2f\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\t%s\t%.0f%%\t%.1f%%\t%.3f\t%s\t%v\t%v\t%v\n", load,
					way, name, earned.Requests, earned.Share(), earned.Net(), earned.Worst(), part(earned.InTime),
					part(earned.Late), part(earned.Refused), part(earned.Failed),
					100*float64(earned.LargeServed)/float64(max(1, earned.Large)),
					100*float64(earned.RereadTokens)/float64(max(1, earned.Shared)),
					float64(earned.Sends)/float64(max(1, earned.Requests)), part(earned.CrossZone),
					earned.Quantile(0.5).Round(time.Millisecond), earned.Quantile(0.95).Round(time.Millisecond),
					earned.Quantile(0.99).Round(time.Millisecond))
			}
		}
	}
	return writer.Flush()
}

// total plays one way over the seeds and adds the results up.
func total(play Play, load float64, way string, seeds int) (map[string]*Earned, error) {
	all := make([]map[string]*Earned, seeds)
	failures := make([]error, seeds)
	var waiting sync.WaitGroup
	for place := range seeds {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			one := play
			one.Load, one.Policy, one.Seed = load, way, play.Seed+int64(place)
			all[place], failures[place] = one.Run()
		}()
	}
	waiting.Wait()
	sums := map[string]*Earned{}
	for place, results := range all {
		if failures[place] != nil {
			return nil, failures[place]
		}
		for route, earned := range results {
			if sums[route] == nil {
				sums[route] = &Earned{Window: map[int][2]float64{}}
			}
			sums[route].add(place, earned)
		}
	}
	return sums, nil
}

func (earned *Earned) add(seed int, other *Earned) {
	earned.Requests += other.Requests
	earned.InTime += other.InTime
	earned.Late += other.Late
	earned.Refused += other.Refused
	earned.Failed += other.Failed
	earned.Sends += other.Sends
	earned.CrossZone += other.CrossZone
	earned.MaximumValue += other.MaximumValue
	earned.Value += other.Value
	earned.Large += other.Large
	earned.LargeServed += other.LargeServed
	earned.Shared += other.Shared
	earned.RereadTokens += other.RereadTokens
	earned.Probes += other.Probes
	earned.CrossZoneBytes += other.CrossZoneBytes
	earned.First = append(earned.First, other.First...)
	for window, values := range other.Window {
		earned.Window[seed*1000+window] = values
	}
}
