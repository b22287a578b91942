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
		"Measure placement in simulated time, compared with random, least loaded and index only.")
	deployment := deploymentArgument(command)
	rates := command.Flag("rate", "Requests a second; may be given several times.").
		Default("60", "200", "400").
		Float64List()
	length := command.Flag("length", "Simulated time.").Default("60s").Duration()
	seed := command.Flag("seed", "Seed.").Default("1").Int64()
	hot := command.Flag("hot", "Fraction of the requests that share one prompt prefix.").Default("0").Float64()
	known[command.FullCommand()] = func() error {
		experiment := placement.SlotExperiments[*deployment]
		experiment.Length, experiment.Seed, experiment.Hot = *length, *seed, *hot
		return placement.Table(os.Stdout, experiment, *rates)
	}
}

// registerBatches adds the command that measures placement on batching engines.
func registerBatches(application *kingpin.Application, known commands) {
	command := application.Command("batches",
		"Measure placement on engines that run requests in batches, in simulated time, compared with other policies.")
	deployment := command.Arg("deployment", "The fleet and its engines.").Required().Enum(placement.DeploymentNames()...)
	loads := command.Flag("load", "Load as a multiple of the usual one; may be given several times.").
		Default("0.7", "1", "1.3").
		Float64List()
	policies := command.Flag("way", "A placement policy; may be given several times.").
		Default(placement.PolicyNames()...).
		Enums(placement.PolicyNames()...)
	seeds := command.Flag("seeds", "Number of seeds whose results are added up.").Default("2").Int()
	run := placement.BatchExperiment{}
	command.Flag("length", "Simulated time.").Default("20s").DurationVar(&run.Length)
	command.Flag("seed", "First seed.").Default("1").Int64Var(&run.Seed)
	command.Flag("polls", "Age of a runner's last report from which the runner is polled; 0: never.").
		Default("1s").
		DurationVar(&run.ReportAge)
	command.Flag("hot", "Fraction of the hot lane's requests that share one prompt prefix, for a third of the time.").
		Default("0").
		Float64Var(&run.Hot)
	command.Flag("hot-lane", "The hot lane.").Default("survey").EnumVar(&run.HotRoute, "survey", "confirm")
	command.Flag("slow", "Fraction of the runners that are three times slower for a third of the time.").
		Default("0").
		Float64Var(&run.Slow)
	command.Flag("crash", "Fraction of the runners that are down after a crash for a third of the time.").
		Default("0").
		Float64Var(&run.Crash)
	command.Flag("release", "Fraction of the runners that are replaced one after the other.").
		Default("0").
		Float64Var(&run.Release)
	known[command.FullCommand()] = func() error {
		run.Deployment = placement.Deployments[*deployment]
		return placement.Report(os.Stdout, run, *loads, *policies, *seeds)
	}
}

// registerSpread adds the command that measures how fast a configuration change reaches the data daemons.
func registerSpread(application *kingpin.Application, known commands) {
	command := application.Command("spread", "Measure in simulated time how fast a change reaches the data daemons.")
	sizes := command.Flag("daemons", "Number of data daemons; may be given several times.").
		Default("12", "100", "1000").
		Ints()
	routes := command.Flag("lanes", "Number of lanes in the spec that is sent.").Default("10").Int()
	known[command.FullCommand()] = func() error {
		for _, size := range *sizes {
			propagation, err := simulation.MeasurePropagation(1, size, *routes)
			if err != nil {
				return err
			}
			fmt.Printf(
				"%d daemons, %d lanes: half %v, 99%% %v, all %v after the commit; acknowledged %v after it was sent; "+
					"in quiet %.1f messages, %.0f bytes (%.0f to other zones) a second and daemon; "+
					"the change %.0f bytes a daemon\n",
				size,
				*routes,
				propagation.Half,
				propagation.Most,
				propagation.All,
				propagation.Acknowledged,
				propagation.Messages,
				propagation.Bytes,
				propagation.CrossZoneBytes,
				propagation.ChangeBytes,
			)
		}
		return nil
	}
}
