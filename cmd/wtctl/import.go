package main

import (
	"encoding/json"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/config/nginx"
)

// registerImport declares the command that imports another program's configuration.
func (session *session) registerImport(known commands, application *kingpin.Application) {
	command := application.Command("import",
		"Convert the upstreams of an nginx configuration to a spec for review; notes go to standard error.")
	file := command.Arg("file", "The configuration.").Required().String()
	known[command.FullCommand()] = func() (exitCode, error) {
		spec, notes, err := nginx.Import(*file)
		if err != nil {
			return exitRefused, err
		}
		for _, note := range notes {
			session.errors.printf("%s\n", note)
		}
		return exitFine, session.output.printJSON(json.RawMessage(spec.Encode()))
	}
}
