package simulation

import (
	"strings"
	"testing"
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

func TestRegistrationCheckComparesListsWithRunners(t *testing.T) {
	line := func(change func(runner *wire.Runner)) []*wire.Runner {
		runner := &wire.Runner{RunnerId: "q1", Address: "10.9.0.0:80", Service: "s", State: registry.Ready}
		change(runner)
		return []*wire.Runner{runner}
	}
	asItIs := line(func(*wire.Runner) {})
	tests := []struct {
		name    string
		prepare func(world *World, incarnation *runnerIncarnation)
		listed  []*wire.Runner
		want    string
	}{
		{"as it is", func(*World, *runnerIncarnation) {}, asItIs, ""},
		{"nobody's id", func(*World, *runnerIncarnation) {}, line(func(runner *wire.Runner) { runner.RunnerId = "q2" }),
			"unknown-runner: data lists q2"},
		{"another address", func(*World, *runnerIncarnation) {}, line(func(runner *wire.Runner) { runner.Address = "x" }),
			"wrong-runner: data has q1 at x"},
		{"leaving since a moment", func(world *World, incarnation *runnerIncarnation) {
			incarnation.leftAt = world.Now.Add(-drainingKnownBound)
		}, asItIs, ""},
		{"leaving for long", func(world *World, incarnation *runnerIncarnation) {
			incarnation.leftAt = world.Now.Add(-drainingKnownBound - time.Millisecond)
		}, asItIs, "leaving-used: data still uses q1"},
		{"leaving for long, listed as draining", func(world *World, incarnation *runnerIncarnation) {
			incarnation.leftAt = world.Now.Add(-time.Hour)
		}, line(func(runner *wire.Runner) { runner.State = registry.Draining }), ""},
		{"new and missing", func(world *World, incarnation *runnerIncarnation) {
			incarnation.knownSince = world.Now.Add(-time.Second)
		}, nil, ""},
		{"known for long and missing", func(world *World, incarnation *runnerIncarnation) {
			incarnation.knownSince = world.Now.Add(-time.Minute)
		}, nil, "runner-lost: data does not list q1"},
		{"ended and missing", func(world *World, incarnation *runnerIncarnation) {
			incarnation.knownSince, incarnation.running = world.Now.Add(-time.Minute), false
		}, nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			world := NewWorld(1)
			runners := startRegisteringRunners(world, 1, []string{"a"})
			runners.check.knownBound = knownBound
			test.prepare(world, runners.Incarnations[0])
			runners.check.step(&Host{Address: "data"}, test.listed)
			violations := strings.Join(world.Check.Violations, "; ")
			if (violations == "") != (test.want == "") || !strings.Contains(violations, test.want) {
				t.Errorf("violations %q, want %q", violations, test.want)
			}
		})
	}
}

func TestRegisteringRunnersAreReplacedAtTheirAddresses(t *testing.T) {
	t.Parallel()
	world := NewDeployment(1, Guild, func(world *World) { startRegisteringRunners(world, 3, Guild.Zones) })
	t.Cleanup(world.Close)
	world.Run(10 * time.Second)
	runners := world.RegisteringRunners
	first, second := runners.Incarnations[0], runners.Incarnations[1]
	if !first.isRegistered() || !second.isRegistered() {
		t.Fatal("runners that call are not known after ten seconds")
	}
	first.drain()
	second.stop()
	world.Run(crashDetectionBound)
	if first.running || first.leftAt.IsZero() || second.running || !second.leftAt.IsZero() {
		t.Errorf("planned: %+v, unplanned: %+v", first, second)
	}
	addresses := map[string]bool{}
	for _, incarnation := range runners.registered() {
		addresses[incarnation.address] = true
	}
	if len(runners.Incarnations) != 5 || len(addresses) != 3 {
		t.Errorf("%d incarnations, %d addresses in use", len(runners.Incarnations), len(addresses))
	}
	runners.check.requireFinalLists()
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
}
