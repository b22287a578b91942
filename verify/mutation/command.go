package main

import (
	"context"
	"os"
	"os/exec"
	"strings"
)

// outputLimit is the maximum number of bytes of a command's output that are printed.
const outputLimit = 600

// run runs a command in a folder and returns its combined standard output and standard error. environment is added to
// the environment of this process.
func run(folder string, environment []string, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(context.Background(), program, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), environment...)
	output, err := command.CombinedOutput()
	return string(output), err
}

// truncate returns the first outputLimit bytes of a command's output, without surrounding space.
func truncate(output string) string {
	output = strings.TrimSpace(output)
	return output[:min(len(output), outputLimit)]
}
