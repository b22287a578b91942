package scale

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
)

// Register adds the commands to an application; what it gives runs them by their full names.
func Register(application *kingpin.Application) map[string]func() error {
	carry := application.Command(Hidden, "Carries hollow daemons for another process.").Hidden()
	command := application.Command("hollow", "Measures the control plane at size: hollow daemons, many in one process, against real wtcores.")
	commands := map[string]func() error{carry.FullCommand(): func() error { return Carry(os.Stdin, os.Stdout) }}
	for _, register := range []func(*kingpin.CmdClause) (string, func() error){registerRun, registerPath, registerTable} {
		name, run := register(command)
		commands[name] = run
	}
	return commands
}

// runCommand holds the flags of a run.
type runCommand struct {
	options                  Options
	daemons, runners, routes *[]int
	phases                   *[]string
	mebibytes                *uint64
	output, plot             *string
}

func registerRun(command *kingpin.CmdClause) (string, func() error) {
	run := command.Command("run", "Run hollow fleets of several sizes. Phases are "+PhaseHelp()+".\n\nExample:\n  wtverify hollow run --daemons 12 --daemons 100 --json results.json --plot results.svg").Default()
	made := &runCommand{}
	options := &made.options
	made.daemons = run.Flag("daemons", "Size of a fleet; may be given several times.").Default("12", "100", "500").Ints()
	made.runners = run.Flag("runners", "Runners known to each fleet; may be given several times, each with each size.").Default("0").Ints()
	run.Flag("listed", "Runners are read from a list by one daemon of each zone, in place of calling the cores.").BoolVar(&options.Listed)
	run.Flag("cores", "How many wtcores, each in a region of its own.").Default("3").IntVar(&options.Cores)
	made.routes = run.Flag("lanes", "Lanes of the spec, one a tenant; may be given several times.").Default("320").Ints()
	run.Flag("pools", "Pools of the spec, one a model.").Default("36").IntVar(&options.Backends)
	made.phases = run.Flag("phase", "What is done after the quiet; may be given several times, or all, or none.").Default("all").Enums(append(PhaseNames(), "all", "none")...)
	run.Flag("quiet", "For how long each fleet is left alone.").Default("8s").DurationVar(&options.Quiet)
	run.Flag("founding", "How long a fleet may take to come up.").Default("40s").DurationVar(&options.Founding)
	run.Flag("processors", "Processors for all hollow daemons together.").Default("4").IntVar(&options.Processors)
	run.Flag("core-processors", "Processors for each wtcore.").Default("2").IntVar(&options.CoreProcessors)
	made.mebibytes = run.Flag("memory", "MiB that all processes together may hold; a run that takes more is ended.").Default("12288").Uint64()
	run.Flag("slow", "How many times slower the daemons' clocks run than the cores', so that a small machine can carry many; 0 for what fits the size. Phases that need prompt daemons are left out above 4.").Default("0").Float64Var(&options.Slow)
	run.Flag("bound", "How long one fleet may be measured; phases not begun by then are left out.").Default("120s").DurationVar(&options.Bound)
	faultFlags(run, &options.Faults)
	run.Flag("seed", "Seed.").Default("1").Int64Var(&options.Seed)
	run.Flag("network", "Second byte of the loopback addresses.").Default("60").IntVar(&options.Network)
	run.Flag("binaries", "Where wtcore is; beside wtverify if empty.").StringVar(&options.Binaries)
	made.output = run.Flag("json", "Where the results go as JSON.").String()
	made.plot = run.Flag("plot", "Where a plot of the results goes as SVG.").String()
	return run.FullCommand(), made.run
}

// chosen gives the names of the phases that were asked for.
func (command *runCommand) chosen() []string {
	named := map[string][]string{"all": PhaseNames(), "none": nil}
	if phases, found := named[(*command.phases)[0]]; found {
		return phases
	}
	return *command.phases
}

func (command *runCommand) run() error {
	options := command.options
	program, folder, err := besideProgram(options.Binaries)
	if err != nil {
		return err
	}
	options.Program, options.Binaries, options.Phases = program, folder, command.chosen()
	options.Memory, options.Output = *command.mebibytes<<20, os.Stderr
	results := NewResults("wtverify " + strings.Join(os.Args[1:], " "))
	for _, point := range cross(*command.routes, *command.runners, *command.daemons) {
		options.Routes, options.Runners, options.Daemons = point[0], point[1], point[2]
		measured, err := Measure(options)
		if err != nil {
			return err
		}
		results.Runs = append(results.Runs, measured)
		// A later size may fail, and what was measured so far should not be lost with it.
		if err := results.write(*command.output); err != nil {
			return err
		}
	}
	fmt.Print(results.Table())
	if *command.plot != "" {
		return results.Plot(*command.plot)
	}
	return nil
}

// besideProgram gives this program's path, and the folder of the others: the one named, or else where this one is.
func besideProgram(named string) (program, folder string, err error) {
	program, err = os.Executable()
	if err != nil {
		return "", "", apierror.Wrap(err, apierror.Internal, "this program's own path")
	}
	if named == "" {
		named = filepath.Dir(program)
	}
	return program, named, nil
}

func registerPath(command *kingpin.CmdClause) (string, func() error) {
	path := command.Command("path", "Measure the request path's own costs: awards, index, events, requests at a small fleet; and how changes spread in simulated time.")
	options := PathOptions{Output: os.Stderr}
	path.Flag("runners", "Runners of which an award takes a pool's part; may be given several times.").Default("18", "100", "300", "1000", "3000", "10000").IntsVar(&options.Runners)
	path.Flag("prefixes", "Prefixes held in the index; may be given several times.").Default("100000", "300000", "1000000").IntsVar(&options.Prefixes)
	path.Flag("rate", "Requests a second to a fleet of 12 daemons and 18 runners; may be given several times.").Default("20", "60", "120").Float64ListVar(&options.Rates)
	path.Flag("seconds", "How long each rate lasts.").Default("12").IntVar(&options.Seconds)
	path.Flag("daemons", "Sizes at which the spread of a change is simulated; may be given several times.").Default("12", "100", "300", "1000").IntsVar(&options.Spread)
	output := path.Flag("json", "Where the results go as JSON.").String()
	path.Flag("binaries", "Where wtcore and wtdata are; beside wtverify if empty.").StringVar(&options.Binaries)
	return path.FullCommand(), func() error {
		results := NewResults("wtverify " + strings.Join(os.Args[1:], " "))
		_, folder, err := besideProgram(options.Binaries)
		if err != nil {
			return err
		}
		options.Binaries = folder
		results.Runs, err = MeasurePath(options)
		if err != nil {
			return err
		}
		return results.write(*output)
	}
}

func registerTable(command *kingpin.CmdClause) (string, func() error) {
	table := command.Command("table", "Write the tables of the capacity page from results.\n\nExample:\n  wtverify hollow table --page docs/CAPACITY.md --plot verify/scale/results/daemons.svg")
	page := table.Flag("page", "The page whose tables are written anew; standard output if empty.").String()
	folder := table.Flag("results", "Folder with the results.").Default(ResultsFolder).String()
	drawn := table.Flag("plot", "Where a plot of the fleets of several sizes goes as SVG.").String()
	return table.FullCommand(), func() error {
		if err := writePage(*folder, *page); err != nil || *drawn == "" {
			return err
		}
		results, err := ReadResults(filepath.Join(*folder, "daemons.json"))
		if err != nil {
			return err
		}
		return results.Plot(*drawn)
	}
}

// faultFlags adds the flags of a run with faults, which takes the place of the phases.
func faultFlags(run *kingpin.CmdClause, plan *FaultPlan) {
	run.Flag("kill-head", "Lose the head while an operator makes changes; takes the place of the phases.").BoolVar(&plan.KillHead)
	run.Flag("power", "The lost head falls silent as without power; otherwise its process is killed and connections to it are refused.").BoolVar(&plan.Power)
	run.Flag("lose", "Share of the daemons that fall silent as without power, from 0 to 0.9; takes the place of the phases.").Float64Var(&plan.Lose)
	run.Flag("kill-at", "When the head is lost, from the first change on.").Default("8s").DurationVar(&plan.KillAt)
	run.Flag("head-back", "When it is started again.").Default("18s").DurationVar(&plan.HeadBack)
	run.Flag("lose-at", "When the daemons are lost.").Default("8s").DurationVar(&plan.LoseAt)
	run.Flag("lost-back", "When they are started again.").Default("22s").DurationVar(&plan.LostBack)
	run.Flag("change-every", "How often an operator makes a change meanwhile; 0 for never.").Default("1s").DurationVar(&plan.Every)
	run.Flag("settled", "For how long the fleet is watched once all are back and serve.").Default("8s").DurationVar(&plan.Settled)
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

// rounded keeps so many digits; what is no number becomes 0.
func rounded(value float64) float64 {
	if value == 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		return 0
	}
	scale := math.Pow(10, digits-math.Ceil(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

// compact gives results without what the page does not need: flows are kept of fleets left alone or without a head.
func (results Results) compact() Results {
	runs := append([]Run{}, results.Runs...)
	for place := range runs {
		runs[place].Phases = append([]Phase{}, runs[place].Phases...)
		for number := range runs[place].Phases {
			runs[place].Phases[number].compact()
		}
	}
	results.Runs = runs
	return results
}

func (phase *Phase) compact() {
	phase.Seconds = rounded(phase.Seconds)
	for name, value := range phase.Figures {
		phase.Figures[name] = rounded(value)
	}
	for name, steps := range phase.Steps {
		phase.Steps[name] = StepRate{PerSecond: rounded(steps.PerSecond), Microseconds: rounded(steps.Microseconds)}
	}
	if phase.Name != "quiet" && phase.Name != stageSilent {
		phase.Flows = nil
	}
	for place := range phase.Flows {
		flow := &phase.Flows[place]
		flow.Messages, flow.Bytes = rounded(flow.Messages), rounded(flow.Bytes)
	}
	for place := range phase.Changes {
		change := &phase.Changes[place]
		change.At, change.Seconds = rounded(change.At), rounded(change.Seconds)
	}
	for place := range phase.Cores {
		core := &phase.Cores[place]
		for _, value := range []*float64{&core.Processor, &core.Sent, &core.Received, &core.BytesOut, &core.BytesIn} {
			*value = rounded(*value)
		}
	}
}

func (results Results) write(path string) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(results.compact(), "", " ")
	if err == nil {
		err = os.WriteFile(path, append(content, '\n'), 0o644)
	}
	return apierror.Wrap(err, apierror.Internal, "writing the results")
}
