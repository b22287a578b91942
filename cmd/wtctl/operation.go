package main

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/alecthomas/kingpin/v2"
)

// registerOperation declares the command that queries the outcome of a change.
func (session *session) registerOperation(known commands, application *kingpin.Application) {
	command := application.Command("operation", "Show the outcome of a change.")
	id := command.Arg("id", "The change's operation id.").Required().String()
	known[command.FullCommand()] = func() (exitCode, error) {
		return session.printReply(session.client.Operation(*id))
	}
}

// operationIDBytes is the number of random bytes in an operation id that wtctl generates.
const operationIDBytes = 8

// operationID returns the operation id that the operator gave, or a random one if it is empty.
func operationID(given string) string {
	if given != "" {
		return given
	}
	var random [operationIDBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err) // With a repeated id, a change could be answered with the outcome of another change.
	}
	return "wtctl-" + hex.EncodeToString(random[:])
}
