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

// errRulesBroken reports that a rule was broken or that a scenario's verdict was not clean. The details were printed
// before.
var errRulesBroken = errors.New("rules are broken")

// usageError reports flags that are invalid, alone or together.
type usageError struct {
	text string
}

// Error names the invalid values and the valid ones.
func (err *usageError) Error() string { return err.text }

func usagef(format string, values ...any) error {
	return &usageError{fmt.Sprintf(format, values...)}
}

// verdict returns nil for a clean run, and errRulesBroken otherwise.
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
	// If printing fails, the exit code still reports the error.
	_, _ = fmt.Fprintln(output, "wtverify:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
