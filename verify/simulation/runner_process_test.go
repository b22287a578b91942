package simulation

import (
	"testing"
	"time"

	"wardtray/verify/emulator"
)

// listedState returns the state of a host's runner in the platform's true list, or nothing if it is not listed.
func listedState(world *World, host *Host) string {
	for _, runner := range world.Platform.actual {
		if runner.Address == host.Address {
			return runner.State
		}
	}
	return ""
}

func TestRunnerProcessIsListedAsColdUntilItIsWarm(t *testing.T) {
	t.Parallel()
	world := settledFleetWithTraffic(t)
	host := world.Runners()[0]
	host.Kill()
	previous := host.runner.engine.id
	host.Boot()
	if state := listedState(world, host); state != "cold" || host.runner.engine.id == previous {
		t.Errorf("%s after %s is listed as %q", host.runner.engine.id, previous, state)
	}
	world.Run(emulator.DefaultProfile.WarmUpTime)
	if state := listedState(world, host); state != "ready" {
		t.Errorf("listed as %q when it is warm", state)
	}
}

func TestRunnerProcessOfAnotherServiceIsNotListed(t *testing.T) {
	t.Parallel()
	world := settledFleetWithTraffic(t)
	host := world.Runners()[0]
	host.Kill()
	world.Platform.set(host, "")
	host.runner.otherService = "another"
	host.Boot()
	world.Run(emulator.DefaultProfile.WarmUpTime + time.Second)
	if state := listedState(world, host); state != "" || host.runner.engine.service != "another" {
		t.Errorf("a runner of %s is listed as %q", host.runner.engine.service, state)
	}
}
