package modelcheck

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// errViolation reports that a property does not hold; the violation and its trace have been printed.
var errViolation = errors.New("a property does not hold")

// SearchCommand is the command "model" and its flags.
type SearchCommand struct {
	// Command is the full name under which kingpin registered the command.
	Command  string
	options  Options
	scenario string
	trace    string
}

// Register adds the command "model".
func Register(application *kingpin.Application) *SearchCommand {
	search := &SearchCommand{}
	command := application.Command("model",
		"Search the states of the control plane of a small fleet and check the properties after each action.")
	command.Flag("states", "How many states are looked at; 0 for the scenario's own bound.").
		IntVar(&search.options.States)
	command.Flag("depth", "How many actions one run takes at most; 0 for the scenario's own bound.").
		IntVar(&search.options.Depth)
	command.Flag("seed", "Seed of the search.").Default("1").Int64Var(&search.options.Seed)
	command.Flag("scenario", "Only this scenario, or all.").
		Default("all").
		EnumVar(&search.scenario, append(Names(), "all")...)
	command.Flag("trace", "Instead of a search, take the actions of this file, one a line, "+
		"and print which property they break.").
		StringVar(&search.trace)
	search.Command = command.FullCommand()
	return search
}

// Run searches the chosen scenarios, or replays a trace, and writes the results to output.
func (search *SearchCommand) Run(output io.Writer) error {
	chosen := Scenarios
	if scenario, found := Find(search.scenario); found {
		chosen = []Scenario{scenario}
	}
	if search.trace != "" {
		return search.replay(output, chosen)
	}
	if search.options.States < 0 || search.options.Depth < 0 {
		return errors.New("--states and --depth must not be negative")
	}
	held, err := Print(output, chosen, search.options)
	if err == nil && !held {
		err = errViolation
	}
	return err
}

func (search *SearchCommand) replay(output io.Writer, chosen []Scenario) error {
	if len(chosen) != 1 {
		return errors.New("--trace needs --scenario")
	}
	content, err := os.ReadFile(search.trace)
	if err != nil {
		return err
	}
	trace, err := ReadTrace(string(content))
	if err != nil {
		return err
	}
	violation, err := Replay(chosen[0], trace)
	if err != nil {
		return err
	}
	if violation != "" {
		if _, err := fmt.Fprintf(output, "BROKEN %s\n", violation); err != nil {
			return err
		}
		return errViolation
	}
	_, err = fmt.Fprintf(output, "%d actions break no property\n", len(trace))
	return err
}
