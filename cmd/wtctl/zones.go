package main

import (
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
	"wardtray/control/proposal"
)

// registerZones declares the commands that close and open a zone.
func (session *session) registerZones(known commands, application *kingpin.Application) {
	session.registerZone(known, application.Command("close", "Close a zone to new requests."), "close")
	session.registerZone(known, application.Command("open", "Open a zone again."), "open")
}

func (session *session) registerZone(known commands, command *kingpin.CmdClause, verb string) {
	zone := command.Arg("zone", "The zone's name.").Required().String()
	operation := command.Flag("operation", "Operation id; default: random.").String()
	sinceFlag := command.Flag("since", "For a retry: the epoch at which this operation was first sent; "+
		"default: the present one.")
	since := sinceFlag.Default("").String()
	known[command.FullCommand()] = func() (exitCode, error) {
		epoch, err := session.sinceEpoch(*since)
		if err != nil {
			return exitUsage, err
		}
		return session.printReply(session.client.Zone(verb, *zone, operationID(*operation), epoch))
	}
}

// sinceEpoch returns the epoch that the flag gives, or else the present one. It returns nil if the present one can't be
// read; the request then states no bound on the age of the operation.
func (session *session) sinceEpoch(given string) (*uint64, error) {
	if given != "" {
		epoch, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			return nil, apierror.New(apierror.InvalidSettings, "--since %q is not a whole number", given)
		}
		return &epoch, nil
	}
	reply, err := session.client.Get()
	if err != nil || reply.Outcome != proposal.OutcomeFound {
		return nil, nil
	}
	return &reply.Epoch, nil
}
