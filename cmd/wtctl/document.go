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
	apply := application.Command("apply", "Replace the spec by the one in a file, completely or not at all.")
	session.registerChange(known, apply, "The spec", (*operator.Client).Apply)
	change := application.Command("change",
		"Add, replace and remove named zones, pools and lanes, all of them or none.")
	session.registerChange(known, change, "The change", (*operator.Client).Change)
	diff := application.Command("diff", "Show how a spec differs from the present one.")
	file := diff.Arg("file", "The spec; - for standard input.").Required().String()
	known[diff.FullCommand()] = func() (exitCode, error) { return session.diff(*file) }
}

// sender sends a complete document, or a change to the present one, to the control plane.
type sender func(client *operator.Client, content []byte, change operator.Change) (proposal.Reply, error)

// registerChange declares a command that sends a file; content names what the file contains, for the help text.
func (session *session) registerChange(known commands, command *kingpin.CmdClause, content string, send sender) {
	file := command.Arg("file", content+"; - for standard input.").Required().String()
	baseFlag := command.Flag("base", "The epoch of the spec that the file is based on; default: the present one.")
	base := baseFlag.Default("").String()
	operation := command.Flag("operation", "Operation id, for queries and safe retries; default: random.").String()
	epochFlag := command.Flag("epoch", "The epoch to give to the new spec; default: the next one.")
	epoch := epochFlag.Uint64()
	known[command.FullCommand()] = func() (exitCode, error) {
		change := operator.Change{Operation: operationID(*operation), Epoch: *epoch}
		return session.change(send, *file, *base, change)
	}
}

// get prints the present document to standard output and its epoch to standard error.
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

// withPresent reads the present spec and passes the reply to use; its outcome is OutcomeFound, or OutcomeEmpty if there
// is no spec yet. A refusal is printed instead. A read without a response in time is an error of code Unreachable.
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

// readFile reads a file, or the input if the path is a dash. Failures are InvalidSettings errors.
func readFile(path string, input io.Reader) ([]byte, error) {
	// Kingpin passes a lone dash as an empty argument.
	if path == "-" || path == "" {
		content, err := io.ReadAll(io.LimitReader(input, config.MaximumBytes+1))
		return content, apierror.Wrap(err, apierror.InvalidSettings, "reading standard input")
	}
	content, err := os.ReadFile(path)
	return content, apierror.Wrap(err, apierror.InvalidSettings, "reading the spec")
}

// change reads a file and sends it with its base epoch, which is the present one if base is empty.
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
		return exitUsage, apierror.New(apierror.InvalidSettings, "--base %q is not a whole number", base)
	}
	return session.printReply(send(session.client, content, change))
}
