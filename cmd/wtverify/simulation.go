package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/histories"
	"wardtray/verify/simulation"
)

var (
	// controlOnly are the deployments without their request paths.
	controlOnly = map[string]simulation.Shape{"guild": simulation.Guild, "ferries": simulation.Ferries}
	// withPath are the deployments with their request paths.
	withPath = map[string]simulation.Shape{"guild": simulation.GuildPath, "ferries": simulation.FerriesPath}
)

// eachFault asks for every kind of fault, one kind at a time.
const eachFault = "each"

// seedRange is the flags of a range of seeds.
type seedRange struct {
	from, count int64
}

// register adds the range's flags to a command.
func (seeds *seedRange) register(command *kingpin.CmdClause, help, count string) {
	command.Flag("from", "The first seed.").Default("1").Int64Var(&seeds.from)
	command.Flag("seeds", help).Default(count).Int64Var(&seeds.count)
}

// registerSim adds the command that simulates the control plane alone.
func registerSim(application *kingpin.Application, known commands) {
	command := application.Command("sim", "Run seeded simulations of a deployment and check the rules after each step.")
	deployment := deploymentArgument(command)
	seeds := &seedRange{}
	seeds.register(command, "How many seeds.", "100")
	atOnce := command.Flag("at-once", "How many faults at once; above 1 is more than a deployment must bear.").
		Default("1").
		Int()
	every := command.Flag("every", "About how often operators send a change.").Default("700ms").Duration()
	faults := command.Flag("fault", "Only this kind of fault; may be given several times.").Strings()
	known[command.FullCommand()] = func() error {
		checkRange(*seeds, *atOnce, *faults, simulation.FaultNames())
		if len(*faults) == 0 {
			*faults = simulation.FaultNames()
		}
		endUnless(simulate(*seeds, func(seed int64) *simulation.World {
			return simulation.PlayEvery(seed, controlOnly[*deployment], *faults, *atOnce, *every)
		}))
		return nil
	}
}

// registerPath adds the command that simulates the request path too.
func registerPath(application *kingpin.Application, known commands) {
	command := application.Command("path",
		"Run seeded simulations of a deployment with its request path: requesters, runners and the platform too.")
	deployment := deploymentArgument(command)
	seeds := &seedRange{}
	seeds.register(command, "How many seeds.", "32")
	atOnce := command.Flag("at-once", "How many faults at once.").Default("1").Int()
	every := command.Flag("every", "About how often operators send a change.").Default("2s").Duration()
	faults := command.Flag("fault", "Only this kind of fault; may be given several times, "+
		"or each to play every kind by itself.").
		Strings()
	known[command.FullCommand()] = func() error {
		all := append(simulation.FaultNames(), simulation.RunnerFaultNames()...)
		checkRange(*seeds, *atOnce, *faults, append(all, eachFault))
		clean := true
		plays := faultSets(*faults, all)
		for _, names := range plays {
			if len(plays) > 1 {
				fmt.Printf("--- %s\n", names[0])
			}
			trial := simulation.DefaultTrial
			trial.Faults, trial.AtOnce, trial.Every = names, *atOnce, *every
			clean = simulate(*seeds,
				func(seed int64) *simulation.World { return simulation.Try(seed, withPath[*deployment], trial) }) &&
				clean
		}
		endUnless(clean)
		return nil
	}
}

// faultSets returns the kinds of fault of each play: those asked for, all together, or each by itself.
func faultSets(asked, all []string) [][]string {
	if len(asked) == 0 {
		return [][]string{all}
	}
	if len(asked) > 1 || asked[0] != eachFault {
		return [][]string{asked}
	}
	var sets [][]string
	for _, name := range all {
		sets = append(sets, []string{name})
	}
	return sets
}

// registerRules adds the command that tries each part of each rule.
func registerRules(application *kingpin.Application, known commands) {
	command := application.Command("rules",
		"Try every part of every rule of the brief by the faults that cause it, under many seeds.")
	deployment := deploymentArgument(command)
	seeds := &seedRange{}
	seeds.register(command, "How many seeds for each.", "16")
	length := command.Flag("length", "For how long harm is done.").Default("40s").Duration()
	only := command.Flag("rule", "Only this part; may be given several times. One of: "+
		strings.Join(simulation.AttemptNames(), "; ")+".").
		Strings()
	known[command.FullCommand()] = func() error {
		checkRange(*seeds, 1, *only, simulation.AttemptNames())
		if len(*only) == 0 {
			*only = simulation.AttemptNames()
		}
		clean := true
		for _, name := range *only {
			fmt.Printf("--- %s: %s\n", name, strings.Join(simulation.Attempts[name].Faults, ", "))
			trial := simulation.Attempts[name].Trial(*length)
			clean = simulate(*seeds,
				func(seed int64) *simulation.World { return simulation.Try(seed, withPath[*deployment], trial) }) &&
				clean
		}
		endUnless(clean)
		return nil
	}
}

// summary gathers what many runs showed. It is safe for concurrent use.
type summary struct {
	mutex                sync.Mutex
	clean                bool
	awards, acknowledged int
	worst                *worst
}

// simulate runs seeds side by side, prints every failure and the worst cases seen, and reports whether no rule was
// broken.
func simulate(seeds seedRange, play func(seed int64) *simulation.World) bool {
	waiting := make(chan int64)
	var workers sync.WaitGroup
	summary := &summary{clean: true, worst: newWorst()}
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
	fmt.Printf("%d seeds, %d changes acknowledged, %d awards checked\n", seeds.count, summary.acknowledged,
		summary.awards)
	summary.worst.print()
	verdicts := map[bool]string{
		true:  "verdict: clean",
		false: "verdict: rules broken; run again with --from SEED --seeds 1",
	}
	fmt.Println(verdicts[summary.clean])
	return summary.clean
}

// add takes in a run that has ended; it prints what broke.
func (summary *summary) add(world *simulation.World) {
	summary.mutex.Lock()
	defer summary.mutex.Unlock()
	for _, line := range world.Check.Violations {
		summary.clean = false
		fmt.Println("BROKEN", line)
	}
	if len(world.Check.Violations) > 0 {
		fmt.Println("  harm done before:", strings.Join(world.Log[max(0, len(world.Log)-6):], "; "))
	}
	summary.awards += world.Check.Decisions
	if world.Traffic != nil {
		summary.worst.add(histories.Worst(world.Traffic.History))
		summary.worst.count(world.Traffic.Counts())
	}
	for _, order := range world.Check.Orders {
		if order.Outcome == "accepted" {
			summary.acknowledged++
		}
	}
	for rule, length := range world.Check.WorstCases {
		summary.worst.lengths[rule] = max(summary.worst.lengths[rule], length)
	}
}

// worst gathers the worst cases of many runs.
type worst struct {
	lengths map[string]time.Duration
	cases   histories.WorstCases
	counts  map[string]int
}

func newWorst() *worst {
	return &worst{lengths: map[string]time.Duration{}, counts: map[string]int{}}
}

func (worst *worst) add(cases histories.WorstCases) {
	worst.cases.Add(cases)
	worst.lengths["work against an acknowledged spec"] = worst.cases.Ignored
	worst.lengths["work to a leaving runner"] = worst.cases.Draining
	worst.lengths["work to a closed zone"] = worst.cases.Closed
	worst.lengths["first answer after the machines' return"] = worst.cases.Return
	worst.lengths["final answer after a loss could be known"] = worst.cases.Overdue
}

func (worst *worst) count(counts map[string]int) {
	for name, count := range counts {
		worst.counts[name] += count
	}
}

func (worst *worst) print() {
	for _, rule := range sortedNames(worst.lengths) {
		fmt.Printf("  worst case, %s: %v\n", rule, worst.lengths[rule].Round(time.Millisecond))
	}
	if len(worst.counts) == 0 {
		return
	}
	fmt.Printf(
		"  worst case, repeats in ten seconds: %d to %d requests; most work beside which a cold runner got more: %d\n",
		worst.cases.Retried,
		worst.cases.Requests,
		worst.cases.Concurrent,
	)
	fmt.Print("  requests:")
	for _, name := range sortedNames(worst.counts) {
		fmt.Printf(" %s %d;", name, worst.counts[name])
	}
	fmt.Println()
}

// checkRange ends with exit code 2 where a seed range or a fault makes no sense.
func checkRange(seeds seedRange, atOnce int, faults, known []string) {
	wrong := func(format string, values ...any) {
		fmt.Fprintf(os.Stderr, "wtverify: "+format+"\n", values...)
		os.Exit(2)
	}
	if seeds.from < 1 || seeds.count < 1 || seeds.count > 1_000_000 {
		wrong("seeds %d from %d: give --from of at least 1 and --seeds from 1 to 1000000", seeds.count, seeds.from)
	}
	if atOnce < 1 || atOnce > 16 {
		wrong("--at-once %d: give 1 to 16", atOnce)
	}
	for _, name := range faults {
		if !slices.Contains(known, name) {
			wrong("there is no fault %q: give one of %s", name, strings.Join(known, ", "))
		}
	}
}

// endUnless ends with exit code 1 where a rule was broken; that was printed before.
func endUnless(clean bool) {
	if !clean {
		os.Exit(1)
	}
}
