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
	// maxSeeds bounds --seeds, and maxAtOnce --at-once.
	maxSeeds  = 1_000_000
	maxAtOnce = 16
)

// seedRange is a range of seeds: count seeds, the first of which is from.
type seedRange struct {
	from, count int64
}

// register adds the range's flags to a command; help describes the flag --seeds, and count is its default.
func (seeds *seedRange) register(command *kingpin.CmdClause, help, count string) {
	command.Flag("from", "The first seed.").Default("1").Int64Var(&seeds.from)
	command.Flag("seeds", help).Default(count).Int64Var(&seeds.count)
}

// checkFlags returns a usageError if the seed range or the number of concurrent faults is out of bounds, or if a name
// in faults is not in known.
func checkFlags(seeds seedRange, atOnce int, faults, known []string) error {
	if seeds.from < 1 || seeds.count < 1 || seeds.count > maxSeeds {
		return usagef("seeds %d from %d: give --from of at least 1 and --seeds from 1 to %d",
			seeds.count, seeds.from, maxSeeds)
	}
	if atOnce < 1 || atOnce > maxAtOnce {
		return usagef("--at-once %d: give 1 to %d", atOnce, maxAtOnce)
	}
	for _, name := range faults {
		if !slices.Contains(known, name) {
			return usagef("there is no fault %q: give one of %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// simulate runs the simulation of each seed, as many at once as there are processors, prints every failure and the
// worst cases, and reports whether no rule was broken.
func simulate(output io.Writer, seeds seedRange, simulateSeed func(seed int64) *simulation.World) bool {
	queue := make(chan int64)
	var workers sync.WaitGroup
	summary := newSummary(output)
	for range runtime.NumCPU() {
		workers.Go(func() {
			for seed := range queue {
				summary.add(simulateSeed(seed))
			}
		})
	}
	for seed := seeds.from; seed < seeds.from+seeds.count; seed++ {
		queue <- seed
	}
	close(queue)
	workers.Wait()
	summary.print(seeds.count)
	return summary.clean
}
