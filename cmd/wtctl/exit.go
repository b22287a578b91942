package main

import (
	"strings"

	"wardtray/apierror"
)

// The exit codes; wtctl --help documents them.
const (
	exitFine        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// The outcomes of a request to the control plane, as replies name them.
const (
	outcomeAccepted = "accepted"
	outcomeFound    = "found"
	outcomeEmpty    = "empty"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomePending  = "pending"
)

// outcomeExits maps outcomes to exit codes.
var outcomeExits = map[string]int{
	outcomeAccepted: exitFine,
	outcomeFound:    exitFine,
	outcomeEmpty:    exitFine,
	outcomeRefused:  exitRefused,
	outcomeUnknown:  exitUnknown,
	outcomePending:  exitUnknown,
}

// errorExits maps errors to exit codes; any other code of an error is exitRefused.
var errorExits = map[apierror.Code]int{
	apierror.Unreachable:     exitUnreachable,
	apierror.InvalidSettings: exitUsage,
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
