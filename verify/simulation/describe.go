package simulation

import (
	"fmt"
	"strings"
)

// describedLog is the number of log lines that a description ends with.
const describedLog = 8

// Describe returns the last lines of the log and the state of each machine, for the analysis of a failure.
func (world *World) Describe() string {
	text := &strings.Builder{}
	for _, entry := range world.Log[max(0, len(world.Log)-describedLog):] {
		fmt.Fprintf(text, "  %s\n", entry)
	}
	for _, host := range world.Hosts {
		if host.runner == nil && !host.removed {
			host.describe(text)
		}
	}
	return text.String()
}

// describe writes the state of a control node or a data daemon.
func (host *Host) describe(text *strings.Builder) {
	switch {
	case !host.up:
		fmt.Fprintf(text, "  %s is down\n", host.Address)
	case host.core != nil:
		host.core.describe(text)
	default:
		host.daemon.describe(text)
	}
}
