package main

import (
	"strings"

	"wardtray/apierror"
	"wardtray/control/proposal"
)

// exitCode is the exit code of the process. Scripts branch on it; wtctl --help lists the codes.
type exitCode int

const (
	exitFine        exitCode = 0
	exitRefused     exitCode = 1
	exitUsage       exitCode = 2
	exitUnknown     exitCode = 3
	exitUnreachable exitCode = 4
)

// outcomeExits maps outcomes to exit codes.
var outcomeExits = map[string]exitCode{
	proposal.OutcomeAccepted: exitFine,
	proposal.OutcomeFound:    exitFine,
	proposal.OutcomeEmpty:    exitFine,
	proposal.OutcomeRefused:  exitRefused,
	proposal.OutcomeUnknown:  exitUnknown,
	proposal.OutcomePending:  exitUnknown,
}

// errorExits maps error codes to exit codes; any other error code gives exitRefused.
var errorExits = map[apierror.Code]exitCode{
	apierror.Unreachable:     exitUnreachable,
	apierror.InvalidSettings: exitUsage,
}

// exitOfOutcome returns the exit code of a reply's outcome. An outcome that this version does not know, such as one
// from a newer control plane, gives exitUnknown.
func exitOfOutcome(outcome string) exitCode {
	if code, known := outcomeExits[outcome]; known {
		return code
	}
	return exitUnknown
}

// exitOf returns the exit code of an error.
func exitOf(err error) exitCode {
	if code, known := errorExits[apierror.Of(err).Code]; known {
		return code
	}
	return exitRefused
}

// exitOfUsage returns the exit code if only the usage text was printed. Kingpin terminates in the same way when help is
// requested and when no command is given, so the arguments decide.
func exitOfUsage(arguments []string) exitCode {
	for _, argument := range arguments {
		if strings.HasPrefix(argument, "--help") || argument == "-h" || argument == "help" {
			return exitFine
		}
	}
	return exitUsage
}
