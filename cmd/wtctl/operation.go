package main

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/alecthomas/kingpin/v2"
)

// registerOperation declares the command that asks for the outcome of a change.
func (session *session) registerOperation(known commands, application *kingpin.Application) {
	command := application.Command("operation", "Tell what became of a change.")
	id := command.Arg("id", "Its operation id.").Required().String()
	known[command.FullCommand()] = func() (exitCode, error) {
		return session.printReply(session.client.Operation(*id))
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
