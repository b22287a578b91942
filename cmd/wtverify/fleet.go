package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/fleet"
)

// registerFleet adds the command that runs a deployment as real processes.
func registerFleet(application *kingpin.Application, known commands) {
	command := application.Command("fleet", "Run a deployment as real processes on loopback and check it.")
	deployment := deploymentArgument(command)
	names := sortedNames(fleet.Scenarios)
	scenario := command.Flag("scenario", "One of: "+strings.Join(names, ", ")+"; or all.").
		Default("default").
		Enum(append(names, "all")...)
	options := fleet.Options{Output: os.Stdout}
	command.Flag("seconds", "Duration of the load, in seconds.").Default("30").IntVar(&options.Seconds)
	command.Flag("seed", "Seed of the load and the faults.").Default("1").Int64Var(&options.Seed)
	command.Flag("rate", "Requests a second; 0 for the deployment's default.").Default("0").Float64Var(&options.Rate)
	command.Flag("folder", "Folder for startup files, data and logs; a temporary one if empty.").
		StringVar(&options.Folder)
	command.Flag("keep", "Keep the temporary folder.").BoolVar(&options.Keep)
	command.Flag("binaries", "Folder of wtdata and wtcore; that of wtverify if empty.").StringVar(&options.Binaries)
	record := command.Flag("record", "Write each scenario's history into this folder, for the command histories.").String()
	known[command.FullCommand()] = func() error {
		chosen := []string{*scenario}
		if *scenario == "all" {
			chosen = names
		}
		// An interrupt ends the fleet's processes and removes its folder; a second one ends wtverify at once.
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		context.AfterFunc(ctx, stop)
		return runScenarios(ctx, *deployment, chosen, options, *record)
	}
}

// runScenarios runs scenarios one after the other, and writes their histories into the folder record unless that is
// empty.
func runScenarios(
	ctx context.Context, deployment string, scenarios []string, options fleet.Options, record string,
) error {
	if options.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		options.Binaries = filepath.Dir(self)
	}
	clean := true
	for _, name := range scenarios {
		fmt.Printf("--- %s, %s, seed %d\n", deployment, name, options.Seed)
		if record != "" {
			options.RecordFile = filepath.Join(record, name+".json")
		}
		passed, err := fleet.RunScenario(ctx, fleet.Deployments[deployment], fleet.Scenarios[name], options)
		if err != nil {
			return err
		}
		clean = clean && passed
	}
	return verdict(clean)
}

// registerScenarios adds the command that lists the scenarios.
func registerScenarios(application *kingpin.Application, known commands) {
	command := application.Command("scenarios", "List the scenarios.")
	known[command.FullCommand()] = func() error {
		for _, name := range sortedNames(fleet.Scenarios) {
			fmt.Printf("%-14s %s\n", name, fleet.Scenarios[name].Help)
		}
		return nil
	}
}
