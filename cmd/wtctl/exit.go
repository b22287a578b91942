package main

import (
	"strings"

	"wardtray/apierror"
	"wardtray/control/proposal"
)

// The exit codes; wtctl --help documents them.
const (
	exitFine        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// outcomeExits maps outcomes to exit codes.
var outcomeExits = map[string]int{
	proposal.OutcomeAccepted: exitFine,
	proposal.OutcomeFound:    exitFine,
	proposal.OutcomeEmpty:    exitFine,
	proposal.OutcomeRefused:  exitRefused,
	proposal.OutcomeUnknown:  exitUnknown,
	proposal.OutcomePending:  exitUnknown,
}

// errorExits maps errors to exit codes; any other code of an error is exitRefused.
var errorExits = map[apierror.Code]int{
	apierror.Unreachable:     exitUnreachable,
	apierror.InvalidSettings: exitUsage,
}

// exitOfOutcome returns the exit code of a reply's outcome. One that is not known, as from a newer control plane, tells
// nothing.
func exitOfOutcome(outcome string) int {
	if code, known := outcomeExits[outcome]; known {
		return code
	}
	return exitUnknown
}

// exitOf returns the exit code of an error.
func exitOf(err error) int {
	if code, known := errorExits[apierror.Of(err).Code]; known {
		return code
	}
	return exitRefused
}

// exitOfUsage returns the exit code where only the usage was printed: kingpin ends alike when help is requested and
// when no command is given.
func exitOfUsage(arguments []string) int {
	for _, argument := range arguments {
		if strings.HasPrefix(argument, "--help") || argument == "-h" || argument == "help" {
			return exitFine
		}
	}
	return exitUsage
}
