package service

import (
	"fmt"
	"os"

	"wardtray/apierror"
	"wardtray/config/process"
)

// exitFailure is the exit code for every error without a code of its own.
const exitFailure = 1

// exitCode returns the exit code of a process that an error ends.
func exitCode(err error) int {
	if apierror.Is(err, apierror.InvalidSettings) {
		return process.ExitBadSettings
	}
	return exitFailure
}

// exit prints an error to standard error and ends the process.
func exit(name string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(exitCode(err))
}
