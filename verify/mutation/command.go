package main

import (
	"context"
	"os"
	"os/exec"
	"strings"
)

// outputLimit is how many bytes of a command's output are printed.
const outputLimit = 600

// run returns a command's standard output and standard error together; environment is added to the process's own.
func run(folder string, environment []string, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(context.Background(), program, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), environment...)
	output, err := command.CombinedOutput()
	return string(output), err
}

// beginning returns the beginning of a command's output.
func beginning(output string) string {
	output = strings.TrimSpace(output)
	return output[:min(len(output), outputLimit)]
}
