// Command wtverify proves a fleet: it starts one as real processes with stand-in runners, platform
// and clients, does harm to it, and checks what everybody saw.
package main

import (
	"fmt"
	"os"
	"sort"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/modelcheck"
)

// commands are the functions that run a command, by its full name. An error ends wtverify with exit code 1.
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
	registerPlace(application, known)
	registerBatches(application, known)
	registerSpread(application, known)
	registerScenarios(application, known)
	search := modelcheck.Register(application)
	known[search.Command] = func() error { return search.Run(os.Stdout) }
	called := kingpin.MustParse(application.Parse(os.Args[1:]))
	if err := known[called](); err != nil {
		end(err)
	}
}

// deploymentArgument is the deployment that most commands want.
func deploymentArgument(command *kingpin.CmdClause) *string {
	return command.Arg("deployment", "guild or ferries").Required().Enum("guild", "ferries")
}

func sortedNames[Value any](of map[string]Value) []string {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func end(err error) {
	fmt.Fprintln(os.Stderr, "wtverify:", err)
	os.Exit(1)
}
