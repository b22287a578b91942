// Command wtverify verifies a fleet: it runs one as real processes with emulated runners, platform and clients, or in
// simulated time, does harm to it, and checks what everybody saw. The exit code is 0 where every rule held, 1 where one
// was broken or the command failed, and 2 where its flags make no sense.
package main

import (
	"maps"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/modelcheck"
)

// commands are the functions that run a command, by its full name. exitCode says what an error means.
type commands map[string]func() error

func main() {
	application := kingpin.New(
		"wtverify",
		"Proves a wardtray fleet under failure.\n\nExample:\n"+
			"  wtverify fleet guild --seconds 30\n  wtverify fleet ferries --scenario default --seed 7",
	)
	application.HelpFlag.Short('h')
	known := commands{}
	registerFleet(application, known)
	registerSim(application, known)
	registerPath(application, known)
	registerRules(application, known)
	registerHistories(application, known)
	registerPlace(application, known)
	registerBatches(application, known)
	registerSpread(application, known)
	registerScenarios(application, known)
	search := modelcheck.Register(application)
	known[search.Command] = func() error { return search.Run(os.Stdout) }
	called := kingpin.MustParse(application.Parse(os.Args[1:]))
	os.Exit(exitCode(known[called](), os.Stderr))
}

// deploymentArgument is the deployment that most commands want.
func deploymentArgument(command *kingpin.CmdClause) *string {
	return command.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
}

// sortedNames returns the keys of a table in order.
func sortedNames[Value any](table map[string]Value) []string { return slices.Sorted(maps.Keys(table)) }
