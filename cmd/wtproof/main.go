// Command wtproof proves a fleet: it starts one as real processes with stand-in runners, platform
// and requesters, does harm to it, and checks what everybody saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/proof/fleet"
	"wardtray/proof/history"
	"wardtray/proof/hollow"
	"wardtray/proof/model"
	"wardtray/proof/place"
	"wardtray/proof/sim"
)

// withPath are the deployments with their request paths.
var withPath = map[string]sim.Shape{"guild": sim.GuildPath, "ferries": sim.FerriesPath}

func main() {
	application := kingpin.New("wtproof", "Proves a wardtray fleet under failure.\n\nExample:\n  wtproof fleet guild --seconds 30\n  wtproof fleet ferries --scenario default --seed 7")
	application.HelpFlag.Short('h')
	command := application.Command("fleet", "Run a deployment as real processes on loopback and check it.")
	deployment := command.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
	names := sortedNames(fleet.Scenarios)
	scenarios := command.Flag("scenario", "One of: "+strings.Join(names, ", ")+"; or all.").Default("default").Enum(append(names, "all")...)
	seconds := command.Flag("seconds", "How long the load lasts.").Default("30").Int()
	seed := command.Flag("seed", "Seed of the load and the faults.").Default("1").Int64()
	rate := command.Flag("rate", "Requests a second; 0 for the deployment's own.").Default("0").Float64()
	folder := command.Flag("folder", "Where startup files, data and logs go; a temporary one if empty.").String()
	keep := command.Flag("keep", "Keep the temporary folder.").Bool()
	binaries := command.Flag("binaries", "Where wtdata and wtcore are; beside wtproof if empty.").String()
	simulate := application.Command("sim", "Run seeded simulations of a deployment and check the rules after each step.")
	simulated := simulate.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
	from := simulate.Flag("from", "The first seed.").Default("1").Int64()
	count := simulate.Flag("seeds", "How many seeds.").Default("100").Int64()
	atOnce := simulate.Flag("at-once", "How many faults at once; above 1 is more than a deployment must bear.").Default("1").Int()
	every := simulate.Flag("every", "About how often operators send a change.").Default("700ms").Duration()
	faults := simulate.Flag("fault", "Only this kind of fault; may be given several times.").Strings()
	paths := application.Command("path", "Run seeded simulations of a deployment with its request path: requesters, runners and the platform too.")
	pathed := paths.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
	pathFrom := paths.Flag("from", "The first seed.").Default("1").Int64()
	pathCount := paths.Flag("seeds", "How many seeds.").Default("32").Int64()
	pathAtOnce := paths.Flag("at-once", "How many faults at once.").Default("1").Int()
	pathEvery := paths.Flag("every", "About how often operators send a change.").Default("2s").Duration()
	pathFaults := paths.Flag("fault", "Only this kind of fault; may be given several times, or each to play every kind by itself.").Strings()
	rules := application.Command("rules", "Try every part of every rule of the brief by the faults that cause it, under many seeds.")
	ruled := rules.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
	rulesFrom := rules.Flag("from", "The first seed.").Default("1").Int64()
	rulesCount := rules.Flag("seeds", "How many seeds for each.").Default("16").Int64()
	rulesLength := rules.Flag("length", "For how long harm is done.").Default("40s").Duration()
	rulesOnly := rules.Flag("rule", "Only this part; may be given several times. One of: "+strings.Join(sim.AttemptNames(), "; ")+".").Strings()
	placing := application.Command("place", "Measure placement in simulated time beside random, least loaded and index only.")
	placed := placing.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
	rates := placing.Flag("rate", "Requests a second; may be given several times.").Default("60", "200", "400").Float64List()
	length := placing.Flag("length", "Simulated time.").Default("60s").Duration()
	placeSeed := placing.Flag("seed", "Seed.").Default("1").Int64()
	hot := placing.Flag("hot", "Part of the requests that carry one opening.").Default("0").Float64()
	batching := application.Command("batches", "Measure placement on engines that run requests in batches, in simulated time, beside other ways of choosing.")
	batched := batching.Arg("deployment", "Which fleet and engines.").Required().Enum(place.DeploymentNames()...)
	loads := batching.Flag("load", "Times the usual load; may be given several times.").Default("0.7", "1", "1.3").Float64List()
	ways := batching.Flag("way", "Ways of choosing; may be given several times.").Default(place.ChoiceNames()...).Enums(place.ChoiceNames()...)
	seeds := batching.Flag("seeds", "How many seeds are added up.").Default("2").Int()
	play := place.Play{}
	batching.Flag("length", "Simulated time.").Default("20s").DurationVar(&play.Length)
	batching.Flag("seed", "First seed.").Default("1").Int64Var(&play.Seed)
	batching.Flag("polls", "How old a runner's word may grow before it is asked; 0: never.").Default("1s").DurationVar(&play.Polls)
	batching.Flag("hot", "Part of the hot lane's requests that carry one opening, for a third of the time.").Default("0").Float64Var(&play.Hot)
	batching.Flag("hot-lane", "The hot lane.").Default("survey").EnumVar(&play.HotLane, "survey", "confirm")
	batching.Flag("slow", "Part of the runners that are three times slower for a third of the time.").Default("0").Float64Var(&play.Slow)
	batching.Flag("crash", "Part of the runners that crash for a third of the time.").Default("0").Float64Var(&play.Crash)
	batching.Flag("release", "Part of the runners that are replaced one after the other.").Default("0").Float64Var(&play.Release)
	spreading := application.Command("spread", "Measure in simulated time how a change reaches cohorts of several sizes.")
	sizes := spreading.Flag("daemons", "Size of a cohort; may be given several times.").Default("12", "100", "1000").Ints()
	lanes := spreading.Flag("lanes", "Lanes of the spec that is sent.").Default("10").Int()
	list := application.Command("scenarios", "List the scenarios.")
	hollows := hollow.Register(application)
	searching := model.Register(application)
	commands := map[string]func(){
		list.FullCommand(): func() {
			for _, name := range names {
				fmt.Printf("%-14s %s\n", name, fleet.Scenarios[name].Help)
			}
		},
		spreading.FullCommand(): func() {
			for _, size := range *sizes {
				spread, err := sim.MeasureSpread(1, size, *lanes)
				if err != nil {
					end(err)
				}
				fmt.Printf("%d daemons, %d lanes: half %v, 99%% %v, all %v after the commit; acknowledged %v after it was sent; in quiet %.1f messages, %.0f bytes (%.0f to other zones) a second and daemon; the change %.0f bytes a daemon\n",
					size, *lanes, spread.Half, spread.Most, spread.All, spread.Acknowledged, spread.Messages, spread.Bytes, spread.AcrossBytes, spread.ChangeBytes)
			}
		},
		paths.FullCommand(): func() {
			shape := withPath[*pathed]
			all := append(sim.FaultNames(), sim.RunnerFaultNames()...)
			checkRange(*pathFrom, *pathCount, *pathAtOnce, *pathFaults, append(all, "each"))
			plays := [][]string{*pathFaults}
			if len(*pathFaults) == 0 {
				plays = [][]string{all}
			}
			if len(*pathFaults) == 1 && (*pathFaults)[0] == "each" {
				plays = nil
				for _, name := range all {
					plays = append(plays, []string{name})
				}
			}
			clean := true
			for _, names := range plays {
				if len(plays) > 1 {
					fmt.Printf("--- %s\n", names[0])
				}
				trial := sim.DefaultTrial
				trial.Faults, trial.AtOnce, trial.Every = names, *pathAtOnce, *pathEvery
				clean = simulation(*pathFrom, *pathCount, func(seed int64) *sim.World { return sim.Try(seed, shape, trial) }) && clean
			}
			if !clean {
				os.Exit(1)
			}
		},
		rules.FullCommand(): func() {
			checkRange(*rulesFrom, *rulesCount, 1, *rulesOnly, sim.AttemptNames())
			if len(*rulesOnly) == 0 {
				*rulesOnly = sim.AttemptNames()
			}
			clean := true
			for _, name := range *rulesOnly {
				fmt.Printf("--- %s: %s\n", name, strings.Join(sim.Attempts[name].Faults, ", "))
				trial := sim.Attempts[name].Trial(*rulesLength)
				clean = simulation(*rulesFrom, *rulesCount, func(seed int64) *sim.World { return sim.Try(seed, withPath[*ruled], trial) }) && clean
			}
			if !clean {
				os.Exit(1)
			}
		},
		batching.FullCommand(): func() {
			play.Deployment = place.Deployments[*batched]
			if err := place.Report(os.Stdout, play, *loads, *ways, *seeds); err != nil {
				end(err)
			}
		},
		placing.FullCommand(): func() {
			setting := place.Settings[*placed]
			setting.Length, setting.Seed, setting.Hot = *length, *placeSeed, *hot
			if err := place.Table(os.Stdout, setting, *rates); err != nil {
				end(err)
			}
		},
		simulate.FullCommand(): func() {
			shapes := map[string]sim.Shape{"guild": sim.Guild, "ferries": sim.Ferries}
			checkRange(*from, *count, *atOnce, *faults, sim.FaultNames())
			if len(*faults) == 0 {
				*faults = sim.FaultNames()
			}
			play := func(seed int64) *sim.World {
				return sim.PlayEvery(seed, shapes[*simulated], *faults, *atOnce, *every)
			}
			if !simulation(*from, *count, play) {
				os.Exit(1)
			}
		},
	}
	called := kingpin.MustParse(application.Parse(os.Args[1:]))
	if run := commands[called]; run != nil {
		run()
		return
	}
	if called == searching.Command {
		if err := searching.Run(os.Stdout); err != nil {
			end(err)
		}
		return
	}
	if run := hollows[called]; run != nil {
		if err := run(); err != nil {
			end(err)
		}
		return
	}
	if *binaries == "" {
		self, err := os.Executable()
		if err != nil {
			end(err)
		}
		*binaries = filepath.Dir(self)
	}
	chosen := []string{*scenarios}
	if *scenarios == "all" {
		chosen = names
	}
	clean := true
	for _, name := range chosen {
		fmt.Printf("--- %s, %s, seed %d\n", *deployment, name, *seed)
		held, err := fleet.Prove(fleet.Shapes[*deployment], fleet.Scenarios[name], fleet.Options{Binaries: *binaries, Folder: *folder,
			Seconds: *seconds, Seed: *seed, Rate: *rate, Output: os.Stdout, Keep: *keep})
		if err != nil {
			end(err)
		}
		clean = clean && held
	}
	if !clean {
		os.Exit(1)
	}
}

// simulation runs seeds side by side and prints every failure and the worst cases seen.
func simulation(from, count int64, play func(seed int64) *sim.World) bool {
	seeds := make(chan int64)
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	clean, awards, acknowledged, worst := true, 0, 0, newWorst()
	for range runtime.NumCPU() {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for seed := range seeds {
				world := play(seed)
				mutex.Lock()
				for _, line := range world.Check.Broken {
					clean = false
					fmt.Println("BROKEN", line)
				}
				if len(world.Check.Broken) > 0 {
					fmt.Println("  harm done before:", strings.Join(world.Log[max(0, len(world.Log)-6):], "; "))
				}
				awards += world.Check.Awards
				if world.Traffic != nil {
					worst.add(history.Worst(world.Traffic.History))
					worst.count(world.Traffic.Counts())
				}
				for _, order := range world.Check.Orders {
					if order.Outcome == "accepted" {
						acknowledged++
					}
				}
				for rule, length := range world.Check.Margins {
					worst.lengths[rule] = max(worst.lengths[rule], length)
				}
				mutex.Unlock()
			}
		}()
	}
	for seed := from; seed < from+count; seed++ {
		seeds <- seed
	}
	close(seeds)
	waiting.Wait()
	fmt.Printf("%d seeds, %d changes acknowledged, %d awards checked\n", count, acknowledged, awards)
	worst.print()
	verdicts := map[bool]string{true: "verdict: clean", false: "verdict: rules broken; run again with --from SEED --seeds 1"}
	fmt.Println(verdicts[clean])
	return clean
}

// worst gathers the worst cases of many runs.
type worst struct {
	lengths map[string]time.Duration
	margins history.Margins
	counts  map[string]int
}

func newWorst() *worst {
	return &worst{lengths: map[string]time.Duration{}, counts: map[string]int{}}
}

func (worst *worst) add(margins history.Margins) {
	worst.margins.Add(margins)
	for rule, length := range map[string]time.Duration{"work against an acknowledged spec": worst.margins.Ignored, "work to a leaving runner": worst.margins.Leaving,
		"work to a closed zone": worst.margins.Closed, "first answer after the machines' return": worst.margins.Return, "final answer after a loss could be known": worst.margins.Held} {
		worst.lengths[rule] = length
	}
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
	fmt.Printf("  worst case, repeats in ten seconds: %d to %d requests; most work beside which a cold runner got more: %d\n", worst.margins.Repeated, worst.margins.Requests, worst.margins.Beside)
	fmt.Print("  requests:")
	for _, name := range sortedNames(worst.counts) {
		fmt.Printf(" %s %d;", name, worst.counts[name])
	}
	fmt.Println()
}

func sortedNames[Value any](of map[string]Value) []string {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// checkRange ends with exit code 2 where a seed range or a fault makes no sense.
func checkRange(from, count int64, atOnce int, faults, known []string) {
	wrong := func(format string, values ...any) {
		fmt.Fprintf(os.Stderr, "wtproof: "+format+"\n", values...)
		os.Exit(2)
	}
	if from < 1 || count < 1 || count > 1_000_000 {
		wrong("seeds %d from %d: give --from of at least 1 and --seeds from 1 to 1000000", count, from)
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

func end(err error) {
	fmt.Fprintln(os.Stderr, "wtproof:", err)
	os.Exit(1)
}
