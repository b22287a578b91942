package main

import "github.com/alecthomas/kingpin/v2"

// registerZones declares the commands that close and open a zone.
func (session *session) registerZones(known commands, application *kingpin.Application) {
	session.registerZone(known, application.Command("close", "Close a zone to new work."), "close")
	session.registerZone(known, application.Command("open", "Open a zone again."), "open")
}

func (session *session) registerZone(known commands, command *kingpin.CmdClause, verb string) {
	zone := command.Arg("zone", "The zone's name.").Required().String()
	operation := command.Flag("operation", "An id of your own.").String()
	known[command.FullCommand()] = func() (exitCode, error) {
		return session.printReply(session.client.Zone(verb, *zone, operationID(*operation)))
	}
}
