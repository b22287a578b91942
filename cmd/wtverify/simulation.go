package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

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
		if err := checkRange(*seeds, *atOnce, *faults, simulation.FaultNames()); err != nil {
			return err
		}
		if len(*faults) == 0 {
			*faults = simulation.FaultNames()
		}
		return verdict(simulate(os.Stdout, *seeds, func(seed int64) *simulation.World {
			return simulation.PlayEvery(seed, controlOnly[*deployment], *faults, *atOnce, *every)
		}))
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
	folder := command.Flag("record", "Write each seed's history into this folder, as the command histories reads it.").
		String()
	known[command.FullCommand()] = func() error {
		all := append(simulation.FaultNames(), simulation.RunnerFaultNames()...)
		if err := checkRange(*seeds, *atOnce, *faults, append(all, eachFault)); err != nil {
			return err
		}
		clean := true
		recorder := &recorder{folder: *folder}
		plays := faultSets(*faults, all)
		for _, names := range plays {
			if len(plays) > 1 {
				fmt.Printf("--- %s\n", names[0])
			}
			trial := simulation.DefaultTrial
			trial.Faults, trial.AtOnce, trial.Every = names, *atOnce, *every
			clean = try(*seeds, *deployment, trial, recorder) && clean
		}
		if err := recorder.failure(); err != nil {
			return err
		}
		return verdict(clean)
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
		if err := checkRange(*seeds, 1, *only, simulation.AttemptNames()); err != nil {
			return err
		}
		if len(*only) == 0 {
			*only = simulation.AttemptNames()
		}
		clean := true
		for _, name := range *only {
			fmt.Printf("--- %s: %s\n", name, strings.Join(simulation.Attempts[name].Faults, ", "))
			trial := simulation.Attempts[name].Trial(*length)
			clean = try(*seeds, *deployment, trial, &recorder{}) && clean
		}
		return verdict(clean)
	}
}

// try plays a trial on a deployment with its request path, and reports whether no rule was broken.
func try(seeds seedRange, deployment string, trial simulation.Trial, recorder *recorder) bool {
	return simulate(os.Stdout, seeds, func(seed int64) *simulation.World {
		world := simulation.Try(seed, withPath[deployment], trial)
		recorder.record(world)
		return world
	})
}
