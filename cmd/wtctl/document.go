package main

import (
	"io"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/control/operator"
	"wardtray/control/proposal"
)

// registerDocument declares the commands that read and change the configuration document.
func (session *session) registerDocument(known commands, application *kingpin.Application) {
	get := application.Command("get", "Print the present spec; its epoch goes to standard error.")
	known[get.FullCommand()] = session.get
	apply := application.Command("apply", "Put a whole spec into effect, or nothing of it.")
	session.registerChange(known, apply, "The spec", (*operator.Client).Apply)
	change := application.Command("change",
		"Add, replace and remove named zones, pools and lanes: all of it, or nothing.")
	session.registerChange(known, change, "The change", (*operator.Client).Change)
	diff := application.Command("diff", "Show how a spec differs from the present one.")
	file := diff.Arg("file", "The spec; - for standard input.").Required().String()
	known[diff.FullCommand()] = func() (exitCode, error) { return session.diff(*file) }
}

// sender sends a document, or a change of one, to the control plane.
type sender func(client *operator.Client, content []byte, change operator.Change) (proposal.Reply, error)

// registerChange declares a command that sends a file.
func (session *session) registerChange(known commands, command *kingpin.CmdClause, content string, send sender) {
	file := command.Arg("file", content+"; - for standard input.").Required().String()
	baseFlag := command.Flag("base", "The epoch it was built on; the present one if left out.")
	base := baseFlag.Default("").String()
	operation := command.Flag("operation", "An id of your own, to ask by and to repeat safely.").String()
	epochFlag := command.Flag("epoch", "The epoch that the spec is to have; the next one if left out.")
	epoch := epochFlag.Uint64()
	known[command.FullCommand()] = func() (exitCode, error) {
		change := operator.Change{Operation: operationID(*operation), Epoch: *epoch}
		return session.change(send, *file, *base, change)
	}
}

// get prints the present document, and its epoch to the errors.
func (session *session) get() (exitCode, error) {
	return session.withPresent(func(reply proposal.Reply) (exitCode, error) {
		if session.json {
			return session.printReply(reply, nil)
		}
		if reply.Outcome == proposal.OutcomeEmpty {
			session.errors.printf("there is no spec yet; the first one is built on epoch 0\n")
			return exitFine, nil
		}
		session.errors.printf("epoch %d\n", reply.Epoch)
		return exitFine, session.output.printJSON(reply.Spec)
	})
}

// withPresent reads the present spec and hands the reply on, which says that there is one or that there is none yet. A
// refusal is printed instead. A read that nobody answered in time is an error of code Unreachable.
func (session *session) withPresent(use func(reply proposal.Reply) (exitCode, error)) (exitCode, error) {
	reply, err := session.client.Get()
	if err != nil {
		return exitRefused, err
	}
	switch reply.Outcome {
	case proposal.OutcomeUnknown:
		return exitUnreachable, apierror.New(apierror.Unreachable, "reading the present spec: %s", reply.Detail)
	case proposal.OutcomeRefused:
		return session.printReply(reply, nil)
	}
	return use(reply)
}

// readFile reads a file, or the input for a dash. Failures are InvalidSettings errors.
func readFile(path string, input io.Reader) ([]byte, error) {
	// Kingpin hands a lone dash on as an empty argument.
	if path == "-" || path == "" {
		content, err := io.ReadAll(io.LimitReader(input, config.MaximumBytes+1))
		return content, apierror.Wrap(err, apierror.InvalidSettings, "reading standard input")
	}
	content, err := os.ReadFile(path)
	return content, apierror.Wrap(err, apierror.InvalidSettings, "reading the spec")
}

// change reads a file and sends it, built on a base epoch, or on the present one if that is empty.
func (session *session) change(send sender, path, base string, change operator.Change) (exitCode, error) {
	content, err := readFile(path, session.input)
	if err != nil {
		return exitUsage, err
	}
	if base == "" {
		return session.withPresent(func(reply proposal.Reply) (exitCode, error) {
			change.Base = reply.Epoch
			return session.printReply(send(session.client, content, change))
		})
	}
	if change.Base, err = strconv.ParseUint(base, 10, 64); err != nil {
		return exitUsage, apierror.New(apierror.InvalidSettings, "--base %q is no whole number", base)
	}
	return session.printReply(send(session.client, content, change))
}
