package main

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/control/operator"
)

// session is the state that all commands share; client and json are set once the flags are parsed.
type session struct {
	client *operator.Client
	// json is the --json flag: replies are printed as JSON.
	json   bool
	input  io.Reader
	output *printer
	errors *printer
}

// commands maps the full name of each command to the function that runs it. The function returns the exit code; if it
// returns an error, the caller prints the error and uses its exit code (exitOf) instead.
type commands map[string]func() (code exitCode, err error)

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
