package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/config/nginx"
	"wardtray/control/operator"
	"wardtray/proxy/admission"
)

// context is what every command works with; client and json are set once the flags are read.
type context struct {
	client *operator.Client
	json   bool
	input  io.Reader
	output io.Writer
	errors io.Writer
}

// commands run a command, by its full name; they give its exit code.
type commands map[string]func() (int, error)

// register adds every command to the application.
func (here *context) register(application *kingpin.Application) commands {
	known := commands{}
	get := application.Command("get", "Print the present spec; its epoch goes to standard error.")
	known[get.FullCommand()] = here.get
	here.registerChange(known, application.Command("apply", "Put a whole spec into effect, or nothing of it."), "The spec", (*operator.Client).Apply)
	here.registerChange(known, application.Command("change", "Add, replace and remove named zones, pools and lanes: all of it, or nothing."), "The change", (*operator.Client).Change)
	diff := application.Command("diff", "Show how a spec differs from the present one.")
	diffFile := diff.Arg("file", "The spec; - for standard input.").Required().String()
	known[diff.FullCommand()] = func() (int, error) { return here.diff(*diffFile) }
	here.registerZone(known, application.Command("close", "Close a zone to new work."), "close")
	here.registerZone(known, application.Command("open", "Open a zone again."), "open")
	operation := application.Command("operation", "Tell what became of a change.")
	operationID := operation.Arg("id", "Its operation id.").Required().String()
	known[operation.FullCommand()] = func() (int, error) { return here.told(here.client.Operation(*operationID)) }
	status := application.Command("status", "Show the fleet.")
	part := status.Arg("part", "all, chain, view, cohort, runners, tenants or counters.").Default("all").Enum("all", "chain", "view", "cohort", "runners", "tenants", "counters")
	known[status.FullCommand()] = func() (int, error) { return here.status(*part) }
	here.registerExplain(known, application)
	here.registerImport(known, application)
	return known
}

// registerChange adds a command that sends a file: a whole spec, or a change of it.
func (here *context) registerChange(known commands, command *kingpin.CmdClause, content string, send sender) {
	file := command.Arg("file", content+"; - for standard input.").Required().String()
	base := command.Flag("base", "The epoch it was built on; the present one if left out.").Default("").String()
	operation := command.Flag("operation", "An id of your own, to ask by and to repeat safely.").String()
	epoch := command.Flag("epoch", "The epoch that the spec is to have; the next one if left out.").Uint64()
	known[command.FullCommand()] = func() (int, error) {
		return here.change(send, *file, *base, operator.Change{Operation: orNew(*operation), Epoch: *epoch})
	}
}

// registerZone adds a command that closes or opens a zone.
func (here *context) registerZone(known commands, command *kingpin.CmdClause, verb string) {
	zone := command.Arg("zone", "The zone's name.").Required().String()
	named := command.Flag("operation", "An id of your own.").String()
	known[command.FullCommand()] = func() (int, error) {
		return here.told(here.client.Zone(verb, *zone, orNew(*named)))
	}
}

// registerExplain adds the command that asks a daemon where it would send a request.
func (here *context) registerExplain(known commands, application *kingpin.Application) {
	command := application.Command("explain", "Tell where a request would go and why, without sending it.")
	daemon := command.Arg("daemon", "HTTP address of a wtdata.").Required().String()
	route := command.Flag("lane", "The lane.").Required().String()
	model := command.Flag("model", "The model.").Required().String()
	adapter := command.Flag("adapter", "The adapter.").String()
	key := command.Flag("key", "A tenant's key, where the lane needs one.").Envar("WTCTL_KEY").String()
	tokens := command.Flag("prompt-tokens", "The prompt's tokens.").Default("1000").String()
	prefix := command.Flag("prefix", "Prefix parts in order, as name=tokens,name=tokens.").String()
	known[command.FullCommand()] = func() (int, error) {
		headers := map[string]string{admission.HeaderRoute: *route, admission.HeaderModel: *model, admission.HeaderRequest: "explain",
			admission.HeaderPrompt: *tokens, admission.HeaderAnswer: "1"}
		if *key != "" {
			headers[admission.HeaderAuthorization] = "Bearer " + *key
		}
		for name, value := range map[string]string{admission.HeaderAdapter: *adapter, admission.HeaderPrefix: *prefix} {
			if value != "" {
				headers[name] = value
			}
		}
		return here.explain(*daemon, headers)
	}
}

// registerImport adds the command that reads another program's configuration.
func (here *context) registerImport(known commands, application *kingpin.Application) {
	command := application.Command("import", "Read an nginx configuration's upstreams into a spec to be reviewed; notes go to standard error.")
	file := command.Arg("file", "The configuration.").Required().String()
	known[command.FullCommand()] = func() (int, error) {
		made, notes, err := nginx.Import(*file)
		if err != nil {
			return exitRefused, err
		}
		for _, note := range notes {
			fmt.Fprintln(here.errors, note)
		}
		return exitFine, here.print(json.RawMessage(made.Encode()))
	}
}
