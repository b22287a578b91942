package main

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/control/node"
	"wardtray/control/operator"
)

// session is what every command works with; client and json are set once the flags are parsed.
type session struct {
	client *operator.Client
	// json says that replies are printed as JSON.
	json   bool
	input  io.Reader
	output *printer
	errors *printer
}

// commands maps the full name of each command to the function that runs it. It returns the exit code; an error is
// printed by the caller, and replaces the exit code by its own.
type commands map[string]func() (exitCode int, err error)

// register declares every command, in the order of the usage text.
func (session *session) register(application *kingpin.Application) commands {
	known := commands{}
	session.registerDocument(known, application)
	session.registerZones(known, application)
	session.registerOperation(known, application)
	session.registerStatus(known, application)
	session.registerExplain(known, application)
	session.registerImport(known, application)
	return known
}

// registerOperation declares the command that asks for the outcome of a change.
func (session *session) registerOperation(known commands, application *kingpin.Application) {
	command := application.Command("operation", "Tell what became of a change.")
	id := command.Arg("id", "Its operation id.").Required().String()
	known[command.FullCommand()] = func() (int, error) {
		return session.printReply(session.client.Operation(*id))
	}
}

// registerZones declares the commands that close and open a zone.
func (session *session) registerZones(known commands, application *kingpin.Application) {
	session.registerZone(known, application.Command("close", "Close a zone to new work."), "close")
	session.registerZone(known, application.Command("open", "Open a zone again."), "open")
}

func (session *session) registerZone(known commands, command *kingpin.CmdClause, verb string) {
	zone := command.Arg("zone", "The zone's name.").Required().String()
	operation := command.Flag("operation", "An id of your own.").String()
	known[command.FullCommand()] = func() (int, error) {
		return session.printReply(session.client.Zone(verb, *zone, operationID(*operation)))
	}
}

// operationIDBytes is the number of random bytes in an operation id that wtctl makes.
const operationIDBytes = 8

// operationID returns an operator's own id of an operation, or a new one if it is empty.
func operationID(own string) string {
	if own != "" {
		return own
	}
	var random [operationIDBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err) // An id that might repeat could give a change another's outcome.
	}
	return "wtctl-" + hex.EncodeToString(random[:])
}

// printReply prints a reply and returns the exit code of its outcome; an error is returned as it is.
func (session *session) printReply(reply node.Reply, err error) (int, error) {
	if err != nil {
		return exitRefused, err
	}
	if session.json {
		return exitOfOutcome(reply.Outcome), session.output.printJSON(reply)
	}
	output := session.output
	output.printf("%s", reply.Outcome)
	if reply.Epoch > 0 {
		output.printf(", epoch %d", reply.Epoch)
	}
	if reply.Operation != "" {
		output.printf(", operation %s", reply.Operation)
	}
	output.printf("\n")
	if reply.Code != "" {
		output.printf("%s: %s\nremedy: %s\n", reply.Code, reply.Detail, reply.Remedy)
	}
	for _, problem := range reply.Problems {
		output.printf("  %s: %s\n", problem.Path, problem.Detail)
	}
	return exitOfOutcome(reply.Outcome), nil
}
