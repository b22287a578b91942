package main

import (
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
	"wardtray/control/proposal"
)

// registerZones declares the commands that close and open a zone.
func (session *session) registerZones(known commands, application *kingpin.Application) {
	session.registerZone(known, application.Command("close", "Close a zone to new work."), "close")
	session.registerZone(known, application.Command("open", "Open a zone again."), "open")
}

func (session *session) registerZone(known commands, command *kingpin.CmdClause, verb string) {
	zone := command.Arg("zone", "The zone's name.").Required().String()
	operation := command.Flag("operation", "An id of your own.").String()
	sinceFlag := command.Flag("since", "The epoch at which this operation was first sent, where it is sent again; "+
		"the present one if left out.")
	since := sinceFlag.Default("").String()
	known[command.FullCommand()] = func() (exitCode, error) {
		epoch, err := session.sinceEpoch(*since)
		if err != nil {
			return exitUsage, err
		}
		return session.printReply(session.client.Zone(verb, *zone, operationID(*operation), epoch))
	}
}

// sinceEpoch returns the epoch that a flag gives, or else the present one; nil: that can't be read, so that the fleet
// is not told how old the operation may be.
func (session *session) sinceEpoch(given string) (*uint64, error) {
	if given != "" {
		epoch, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			return nil, apierror.New(apierror.InvalidSettings, "--since %q is no whole number", given)
		}
		return &epoch, nil
	}
	reply, err := session.client.Get()
	if err != nil || reply.Outcome != proposal.OutcomeFound {
		return nil, nil
	}
	return &reply.Epoch, nil
}
