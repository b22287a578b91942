package main

import (
	"errors"
	"fmt"
	"io"
)

// The exit codes.
const (
	exitClean  = 0
	exitFailed = 1
	exitUsage  = 2
)

// errRulesBroken means that a rule was broken, or a scenario's verdict was not clean; that was printed.
var errRulesBroken = errors.New("rules are broken")

// usageError means that the flags of a command make no sense together.
type usageError struct {
	text string
}

// Error returns what is wrong and what to give instead.
func (err *usageError) Error() string { return err.text }

func usagef(format string, values ...any) error {
	return &usageError{fmt.Sprintf(format, values...)}
}

// verdict returns the error of a command whose rules all held, or not.
func verdict(clean bool) error {
	if clean {
		return nil
	}
	return errRulesBroken
}

// exitCode prints a command's error, unless it was printed before, and returns the exit code.
func exitCode(err error, output io.Writer) int {
	if err == nil {
		return exitClean
	}
	if errors.Is(err, errRulesBroken) {
		return exitFailed
	}
	// What can't be printed is in the exit code.
	_, _ = fmt.Fprintln(output, "wtverify:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
