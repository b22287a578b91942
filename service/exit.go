package service

import (
	"fmt"
	"os"

	"wardtray/apierror"
	"wardtray/config/process"
)

// exitFailure is the exit code for errors without a specific exit code.
const exitFailure = 1

// exitCode returns the exit code for an error that ends the process.
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
