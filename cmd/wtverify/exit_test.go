package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestExitCode(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		code int
		text string
	}{
		"clean":            {verdict(true), 0, ""},
		"rules are broken": {verdict(false), 1, ""},
		"usage":            {usagef("--at-once %d: give 1 to 16", 17), 2, "wtverify: --at-once 17: give 1 to 16\n"},
		"wrapped usage":    {fmt.Errorf("sim: %w", usagef("no")), 2, "wtverify: sim: no\n"},
		"any other":        {errors.New("no such file"), 1, "wtverify: no such file\n"},
	} {
		output := &strings.Builder{}
		if code := exitCode(test.err, output); code != test.code || output.String() != test.text {
			t.Errorf("%s: %d %q instead of %d %q", name, code, output, test.code, test.text)
		}
	}
}
