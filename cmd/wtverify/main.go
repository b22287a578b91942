// Command wtverify verifies a fleet. It runs one as real processes with emulated runners, platform and clients, or in
// simulated time, injects faults, and checks what clients, runners and operators observed. The exit code is 0 if every
// rule held, 1 if one was broken or the command failed, and 2 if the flags are invalid.
package main

import (
	"maps"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/modelcheck"
)

// commands maps the full name of each command to the function that runs it. exitCode maps its error to an exit code.
type commands map[string]func() error

func main() {
	application := kingpin.New(
		"wtverify",
		"Verifies a wardtray fleet under faults.\n\nExample:\n"+
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

// deploymentArgument adds the argument that names the deployment, which most commands take.
func deploymentArgument(command *kingpin.CmdClause) *string {
	return command.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
}

// sortedNames returns the keys of a map in ascending order.
func sortedNames[Value any](byName map[string]Value) []string {
	return slices.Sorted(maps.Keys(byName))
}
