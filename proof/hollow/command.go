package hollow

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/process/fault"
)

// Register adds the commands to an application; what it gives runs them by their full names.
func Register(application *kingpin.Application) map[string]func() error {
	carry := application.Command(Hidden, "Carries hollow daemons for another process.").Hidden()
	command := application.Command("hollow", "Measures the control plane at size: hollow daemons, many in one process, against real wtcores.")
	run := command.Command("run", "Run hollow fleets of several sizes. Phases are "+PhaseHelp()+".\n\nExample:\n  wtproof hollow run --daemons 12 --daemons 100 --json results.json --plot results.svg").Default()
	daemons := run.Flag("daemons", "Size of a fleet; may be given several times.").Default("12", "100", "500").Ints()
	runners := run.Flag("runners", "Runners known to each fleet; may be given several times, each with each size.").Default("0").Ints()
	listed := run.Flag("listed", "Runners are read from a list by one daemon of each zone, in place of calling the cores.").Bool()
	cores := run.Flag("cores", "How many wtcores, each in a region of its own.").Default("3").Int()
	lanes := run.Flag("lanes", "Lanes of the spec, one a tenant; may be given several times.").Default("320").Ints()
	pools := run.Flag("pools", "Pools of the spec, one a model.").Default("36").Int()
	names := run.Flag("phase", "What is done after the quiet; may be given several times, or all, or none.").Default("all").Enums(append(PhaseNames(), "all", "none")...)
	quiet := run.Flag("quiet", "For how long each fleet is left alone.").Default("8s").Duration()
	founding := run.Flag("founding", "How long a fleet may take to come up.").Default("40s").Duration()
	processors := run.Flag("processors", "Processors for all hollow daemons together.").Default("4").Int()
	coreProcessors := run.Flag("core-processors", "Processors for each wtcore.").Default("2").Int()
	memory := run.Flag("memory", "MiB that all processes together may hold; a run that takes more is ended.").Default("12288").Uint64()
	slow := run.Flag("slow", "How many times slower the daemons' clocks run than the cores', so that a small machine can carry many; 0 for what fits the size. Phases that need prompt daemons are left out above 4.").Default("0").Float64()
	bound := run.Flag("bound", "How long one fleet may be measured; phases not begun by then are left out.").Default("120s").Duration()
	faults := faultFlags(run)
	seed := run.Flag("seed", "Seed.").Default("1").Int64()
	network := run.Flag("network", "Second byte of the loopback addresses.").Default("60").Int()
	binaries := run.Flag("binaries", "Where wtcore is; beside wtproof if empty.").String()
	output := run.Flag("json", "Where the results go as JSON.").String()
	plot := run.Flag("plot", "Where a plot of the results goes as SVG.").String()
	path := command.Command("path", "Measure the request path's own costs: awards, index, events, requests at a small fleet; and how changes spread in simulated time.")
	pathRunners := path.Flag("runners", "Runners of which an award takes a pool's part; may be given several times.").Default("18", "100", "300", "1000", "3000", "10000").Ints()
	pathPrefixes := path.Flag("prefixes", "Prefixes held in the index; may be given several times.").Default("100000", "300000", "1000000").Ints()
	pathRates := path.Flag("rate", "Requests a second to a fleet of 12 daemons and 18 runners; may be given several times.").Default("20", "60", "120").Float64List()
	pathSeconds := path.Flag("seconds", "How long each rate lasts.").Default("12").Int()
	pathSpread := path.Flag("daemons", "Sizes at which the spread of a change is simulated; may be given several times.").Default("12", "100", "300", "1000").Ints()
	pathOutput := path.Flag("json", "Where the results go as JSON.").String()
	pathBinaries := path.Flag("binaries", "Where wtcore and wtdata are; beside wtproof if empty.").String()
	table := command.Command("table", "Write the tables of the capacity page from results.\n\nExample:\n  wtproof hollow table --page docs/CAPACITY.md --plot proof/hollow/results/daemons.svg")
	page := table.Flag("page", "The page whose tables are written anew; standard output if empty.").String()
	folder := table.Flag("results", "Folder with the results.").Default(ResultsFolder).String()
	drawn := table.Flag("plot", "Where a plot of the fleets of several sizes goes as SVG.").String()
	return map[string]func() error{
		carry.FullCommand(): func() error { return Carry(os.Stdin, os.Stdout) },
		table.FullCommand(): func() error {
			if err := writePage(*folder, *page); err != nil || *drawn == "" {
				return err
			}
			results, err := ReadResults(filepath.Join(*folder, "daemons.json"))
			if err != nil {
				return err
			}
			return results.Plot(*drawn)
		},
		path.FullCommand(): func() error {
			results := NewResults("wtproof " + strings.Join(os.Args[1:], " "))
			self, err := os.Executable()
			if err != nil {
				return fault.Wrap(err, fault.Internal, "this program's own path")
			}
			if *pathBinaries == "" {
				*pathBinaries = filepath.Dir(self)
			}
			results.Runs, err = MeasurePath(PathOptions{Runners: *pathRunners, Prefixes: *pathPrefixes, Rates: *pathRates, Seconds: *pathSeconds, Spread: *pathSpread, Binaries: *pathBinaries, Output: os.Stderr})
			if err != nil {
				return err
			}
			return results.write(*pathOutput)
		},
		run.FullCommand(): func() error {
			self, err := os.Executable()
			if err != nil {
				return fault.Wrap(err, fault.Internal, "this program's own path")
			}
			if *binaries == "" {
				*binaries = filepath.Dir(self)
			}
			chosen := *names
			named := map[string][]string{"all": PhaseNames(), "none": nil}
			if phases, found := named[chosen[0]]; found {
				chosen = phases
			}
			results := NewResults("wtproof " + strings.Join(os.Args[1:], " "))
			for _, point := range cross(*lanes, *runners, *daemons) {
				measured, err := Measure(Options{Daemons: point[2], Runners: point[1], Listed: *listed, Cores: *cores, Lanes: point[0], Pools: *pools, Processors: *processors, CoreProcessors: *coreProcessors,
					Memory: *memory << 20, Seed: *seed, Network: *network, Quiet: *quiet, Founding: *founding, Phases: chosen, Faults: *faults, Slow: *slow, Bound: *bound, Binaries: *binaries, Program: self, Output: os.Stderr})
				if err != nil {
					return err
				}
				results.Runs = append(results.Runs, measured)
				// A later size may fail, and what was measured so far should not be lost with it.
				if err := results.write(*output); err != nil {
					return err
				}
			}
			fmt.Print(results.Table())
			if *plot != "" {
				return results.Plot(*plot)
			}
			return nil
		},
	}
}

// faultFlags adds the flags of a run with faults, which takes the place of the phases.
func faultFlags(run *kingpin.CmdClause) *FaultPlan {
	plan := &FaultPlan{}
	run.Flag("kill-head", "Lose the head while an operator makes changes; takes the place of the phases.").BoolVar(&plan.KillHead)
	run.Flag("power", "The lost head falls silent as without power; otherwise its process is killed and connections to it are refused.").BoolVar(&plan.Power)
	run.Flag("lose", "Share of the daemons that fall silent as without power, from 0 to 0.9; takes the place of the phases.").Float64Var(&plan.Lose)
	run.Flag("kill-at", "When the head is lost, from the first change on.").Default("8s").DurationVar(&plan.KillAt)
	run.Flag("head-back", "When it is started again.").Default("18s").DurationVar(&plan.HeadBack)
	run.Flag("lose-at", "When the daemons are lost.").Default("8s").DurationVar(&plan.LoseAt)
	run.Flag("lost-back", "When they are started again.").Default("22s").DurationVar(&plan.LostBack)
	run.Flag("change-every", "How often an operator makes a change meanwhile; 0 for never.").Default("1s").DurationVar(&plan.Every)
	run.Flag("settled", "For how long the fleet is watched once all are back and serve.").Default("8s").DurationVar(&plan.Settled)
	return plan
}

// cross gives each of the first with each of the second and each of the third.
func cross(first, second, third []int) (points [][3]int) {
	for _, one := range first {
		for _, two := range second {
			for _, three := range third {
				points = append(points, [3]int{one, two, three})
			}
		}
	}
	return points
}

// digits is how many digits of a figure are kept: more than any of them is worth.
const digits = 5

// compact gives results without what the page does not need: flows are kept of the fleets left alone.
func (results Results) compact() Results {
	rounded := func(value float64) float64 {
		if value == 0 || math.IsInf(value, 0) || math.IsNaN(value) {
			return 0
		}
		scale := math.Pow(10, digits-math.Ceil(math.Log10(math.Abs(value))))
		return math.Round(value*scale) / scale
	}
	runs := append([]Run{}, results.Runs...)
	for place := range runs {
		runs[place].Phases = append([]Phase{}, runs[place].Phases...)
		for number := range runs[place].Phases {
			phase := &runs[place].Phases[number]
			phase.Seconds = rounded(phase.Seconds)
			for name, value := range phase.Figures {
				phase.Figures[name] = rounded(value)
			}
			for name, steps := range phase.Steps {
				phase.Steps[name] = StepRate{PerSecond: rounded(steps.PerSecond), Microseconds: rounded(steps.Microseconds)}
			}
			for flow := range phase.Flows {
				phase.Flows[flow].Messages, phase.Flows[flow].Bytes = rounded(phase.Flows[flow].Messages), rounded(phase.Flows[flow].Bytes)
			}
			for change := range phase.Changes {
				phase.Changes[change].At, phase.Changes[change].Seconds = rounded(phase.Changes[change].At), rounded(phase.Changes[change].Seconds)
			}
			for core := range phase.Cores {
				seen := &phase.Cores[core]
				for _, value := range []*float64{&seen.Processor, &seen.Sent, &seen.Received, &seen.BytesOut, &seen.BytesIn} {
					*value = rounded(*value)
				}
			}
			if phase.Name != "quiet" && phase.Name != stageSilent {
				phase.Flows = nil
			}
		}
	}
	results.Runs = runs
	return results
}

func (results Results) write(path string) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(results.compact(), "", " ")
	if err == nil {
		err = os.WriteFile(path, append(content, '\n'), 0o644)
	}
	return fault.Wrap(err, fault.Internal, "writing the results")
}
