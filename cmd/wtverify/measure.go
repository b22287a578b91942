package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/placement"
	"wardtray/verify/simulation"
)

// registerPlace adds the command that measures placement.
func registerPlace(application *kingpin.Application, known commands) {
	command := application.Command("place",
		"Measure placement in simulated time beside random, least loaded and index only.")
	deployment := deploymentArgument(command)
	rates := command.Flag("rate", "Requests a second; may be given several times.").
		Default("60", "200", "400").
		Float64List()
	length := command.Flag("length", "Simulated time.").Default("60s").Duration()
	seed := command.Flag("seed", "Seed.").Default("1").Int64()
	hot := command.Flag("hot", "Part of the requests that carry one opening.").Default("0").Float64()
	known[command.FullCommand()] = func() error {
		setting := placement.Settings[*deployment]
		setting.Length, setting.Seed, setting.Hot = *length, *seed, *hot
		return placement.Table(os.Stdout, setting, *rates)
	}
}

// registerBatches adds the command that measures placement on batching engines.
func registerBatches(application *kingpin.Application, known commands) {
	command := application.Command("batches",
		"Measure placement on engines that run requests in batches, in simulated time, beside other ways of choosing.")
	deployment := command.Arg("deployment", "Which fleet and engines.").Required().Enum(placement.DeploymentNames()...)
	loads := command.Flag("load", "Times the usual load; may be given several times.").
		Default("0.7", "1", "1.3").
		Float64List()
	ways := command.Flag("way", "Ways of choosing; may be given several times.").
		Default(placement.PolicyNames()...).
		Enums(placement.PolicyNames()...)
	seeds := command.Flag("seeds", "How many seeds are added up.").Default("2").Int()
	play := placement.Play{}
	command.Flag("length", "Simulated time.").Default("20s").DurationVar(&play.Length)
	command.Flag("seed", "First seed.").Default("1").Int64Var(&play.Seed)
	command.Flag("polls", "How old a runner's word may grow before it is asked; 0: never.").
		Default("1s").
		DurationVar(&play.ReportAge)
	command.Flag("hot", "Part of the hot lane's requests that carry one opening, for a third of the time.").
		Default("0").
		Float64Var(&play.Hot)
	command.Flag("hot-lane", "The hot lane.").Default("survey").EnumVar(&play.HotRoute, "survey", "confirm")
	command.Flag("slow", "Part of the runners that are three times slower for a third of the time.").
		Default("0").
		Float64Var(&play.Slow)
	command.Flag("crash", "Part of the runners that crash for a third of the time.").
		Default("0").
		Float64Var(&play.Crash)
	command.Flag("release", "Part of the runners that are replaced one after the other.").
		Default("0").
		Float64Var(&play.Release)
	known[command.FullCommand()] = func() error {
		play.Deployment = placement.Deployments[*deployment]
		return placement.Report(os.Stdout, play, *loads, *ways, *seeds)
	}
}

// registerSpread adds the command that measures how a change spreads.
func registerSpread(application *kingpin.Application, known commands) {
	command := application.Command("spread", "Measure in simulated time how a change reaches cohorts of several sizes.")
	sizes := command.Flag("daemons", "Size of a cohort; may be given several times.").
		Default("12", "100", "1000").
		Ints()
	routes := command.Flag("lanes", "Lanes of the spec that is sent.").Default("10").Int()
	known[command.FullCommand()] = func() error {
		for _, size := range *sizes {
			spread, err := simulation.MeasureSpread(1, size, *routes)
			if err != nil {
				return err
			}
			fmt.Printf(
				"%d daemons, %d lanes: half %v, 99%% %v, all %v after the commit; acknowledged %v after it was sent; "+
					"in quiet %.1f messages, %.0f bytes (%.0f to other zones) a second and daemon; "+
					"the change %.0f bytes a daemon\n",
				size,
				*routes,
				spread.Half,
				spread.Most,
				spread.All,
				spread.Acknowledged,
				spread.Messages,
				spread.Bytes,
				spread.CrossZoneBytes,
				spread.ChangeBytes,
			)
		}
		return nil
	}
}
