package main

import (
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/simulation"
)

const (
	// mostSeeds and mostAtOnce bound what may be asked for.
	mostSeeds  = 1_000_000
	mostAtOnce = 16
)

// seedRange is the flags of a range of seeds.
type seedRange struct {
	from, count int64
}

// register adds the range's flags to a command.
func (seeds *seedRange) register(command *kingpin.CmdClause, help, count string) {
	command.Flag("from", "The first seed.").Default("1").Int64Var(&seeds.from)
	command.Flag("seeds", help).Default(count).Int64Var(&seeds.count)
}

// checkRange returns a usageError where a seed range, a number of faults at once or a fault makes no sense.
func checkRange(seeds seedRange, atOnce int, faults, known []string) error {
	if seeds.from < 1 || seeds.count < 1 || seeds.count > mostSeeds {
		return usagef("seeds %d from %d: give --from of at least 1 and --seeds from 1 to %d",
			seeds.count, seeds.from, mostSeeds)
	}
	if atOnce < 1 || atOnce > mostAtOnce {
		return usagef("--at-once %d: give 1 to %d", atOnce, mostAtOnce)
	}
	for _, name := range faults {
		if !slices.Contains(known, name) {
			return usagef("there is no fault %q: give one of %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// simulate runs seeds side by side, prints every failure and the worst cases seen, and reports whether no rule was
// broken.
func simulate(output io.Writer, seeds seedRange, play func(seed int64) *simulation.World) bool {
	waiting := make(chan int64)
	var workers sync.WaitGroup
	summary := newSummary(output)
	for range runtime.NumCPU() {
		workers.Go(func() {
			for seed := range waiting {
				summary.add(play(seed))
			}
		})
	}
	for seed := seeds.from; seed < seeds.from+seeds.count; seed++ {
		waiting <- seed
	}
	close(waiting)
	workers.Wait()
	summary.print(seeds.count)
	return summary.clean
}
