package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/simulation"
)

var (
	// controlOnly maps the name of each deployment to the simulation of its control plane alone.
	controlOnly = map[string]simulation.Shape{"guild": simulation.Guild, "ferries": simulation.Ferries}
	// withPath maps the name of each deployment to the simulation that includes the request path.
	withPath = map[string]simulation.Shape{"guild": simulation.GuildPath, "ferries": simulation.FerriesPath}
)

// eachFault is the value of --fault that selects every kind of fault, one kind for each group of runs.
const eachFault = "each"

// registerSim adds the command that simulates the control plane alone.
func registerSim(application *kingpin.Application, known commands) {
	command := application.Command("sim",
		"Run seeded simulations of a deployment's control plane and check the rules after each step.")
	deployment := deploymentArgument(command)
	seeds := &seedRange{}
	seeds.register(command, "Number of seeds.", "100")
	atOnce := command.Flag("at-once", "Number of concurrent faults; above 1 is more than a deployment must tolerate.").
		Default("1").
		Int()
	every := command.Flag("every", "Approximate interval between operators' changes.").Default("700ms").Duration()
	faults := command.Flag("fault", "Only this kind of fault; may be given several times.").Strings()
	known[command.FullCommand()] = func() error {
		if err := checkFlags(*seeds, *atOnce, *faults, simulation.FaultNames()); err != nil {
			return err
		}
		if len(*faults) == 0 {
			*faults = simulation.FaultNames()
		}
		return verdict(simulate(os.Stdout, *seeds, func(seed int64) *simulation.World {
			return simulation.RunFaultsEvery(seed, controlOnly[*deployment], *faults, *atOnce, *every)
		}))
	}
}

// registerPath adds the command that simulates the control plane and the request path.
func registerPath(application *kingpin.Application, known commands) {
	command := application.Command("path",
		"Run seeded simulations of a deployment with its request path: with clients, runners and the platform.")
	deployment := deploymentArgument(command)
	seeds := &seedRange{}
	seeds.register(command, "Number of seeds.", "32")
	atOnce := command.Flag("at-once", "Number of concurrent faults.").Default("1").Int()
	every := command.Flag("every", "Approximate interval between operators' changes.").Default("2s").Duration()
	faults := command.Flag("fault", "Only this kind of fault; may be given several times; "+
		`"each" runs every kind by itself.`).
		Strings()
	folder := command.Flag("record", "Write each seed's history into this folder, for the command histories.").
		String()
	known[command.FullCommand()] = func() error {
		all := append(simulation.FaultNames(), simulation.RunnerFaultNames()...)
		if err := checkFlags(*seeds, *atOnce, *faults, append(all, eachFault)); err != nil {
			return err
		}
		clean := true
		recorder := &recorder{folder: *folder}
		sets := faultSets(*faults, all)
		for _, names := range sets {
			if len(sets) > 1 {
				fmt.Printf("--- %s\n", names[0])
			}
			scenario := simulation.DefaultRequestScenario
			scenario.Faults, scenario.AtOnce, scenario.Every = names, *atOnce, *every
			clean = runScenario(*seeds, *deployment, scenario, recorder) && clean
		}
		if err := recorder.failure(); err != nil {
			return err
		}
		return verdict(clean)
	}
}

// faultSets returns the kinds of fault of each group of runs. There is one group with the requested kinds, or with all
// kinds if none is requested; if eachFault alone is requested, there is one group for each kind.
func faultSets(requested, all []string) [][]string {
	if len(requested) == 0 {
		return [][]string{all}
	}
	if len(requested) > 1 || requested[0] != eachFault {
		return [][]string{requested}
	}
	var sets [][]string
	for _, name := range all {
		sets = append(sets, []string{name})
	}
	return sets
}

// registerRules adds the command that tests each part of each rule.
func registerRules(application *kingpin.Application, known commands) {
	command := application.Command("rules",
		"Test every part of every rule with the faults that could break it, under many seeds.")
	deployment := deploymentArgument(command)
	seeds := &seedRange{}
	seeds.register(command, "Number of seeds for each part.", "16")
	length := command.Flag("length", "For how long faults are injected, in simulated time.").Default("40s").Duration()
	only := command.Flag("rule", "Only this part; may be given several times. One of: "+
		strings.Join(simulation.RuleScenarioNames(), "; ")+".").
		Strings()
	known[command.FullCommand()] = func() error {
		if err := checkFlags(*seeds, 1, *only, simulation.RuleScenarioNames()); err != nil {
			return err
		}
		if len(*only) == 0 {
			*only = simulation.RuleScenarioNames()
		}
		clean := true
		for _, name := range *only {
			fmt.Printf("--- %s: %s\n", name, strings.Join(simulation.RuleScenarios[name].Faults, ", "))
			scenario := simulation.RuleScenarios[name].RequestScenario(*length)
			clean = runScenario(*seeds, *deployment, scenario, &recorder{}) && clean
		}
		return verdict(clean)
	}
}

// runScenario runs a request scenario with each seed on a deployment with its request path, and reports whether no rule
// was broken.
func runScenario(seeds seedRange, deployment string, scenario simulation.RequestScenario, recorder *recorder) bool {
	return simulate(os.Stdout, seeds, func(seed int64) *simulation.World {
		world := simulation.RunRequestScenario(seed, withPath[deployment], scenario)
		recorder.record(world)
		return world
	})
}
