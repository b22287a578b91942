package sim

import (
	"fmt"
	"testing"
	"time"
)

func try(test *testing.T, seed int64, shape Shape, attempt Attempt) *World {
	test.Helper()
	world := Try(seed, shape, attempt.Trial(15*time.Second))
	for _, line := range world.Check.Broken {
		test.Error(line)
	}
	if test.Failed() {
		test.Log(world.Log)
	}
	return world
}

func TestRules(test *testing.T) {
	for name, attempt := range Attempts {
		for place, shape := range []Shape{GuildPath, FerriesPath} {
			test.Run(fmt.Sprint(name, ", ", shape.Mix.Pool), func(test *testing.T) {
				test.Parallel()
				test.Log(try(test, int64(place+1), shape, attempt).Traffic.Summary())
			})
		}
	}
}

func TestSameSeedSamePath(test *testing.T) {
	attempt := Attempt{Faults: append(RunnerFaultNames(), FaultNames()...)}
	first, second := try(test, 3, GuildPath, attempt), try(test, 3, GuildPath, attempt)
	if first.Trace() != second.Trace() || first.Traffic.Summary() != second.Traffic.Summary() {
		test.Fatalf("one seed gave two runs: %s; %s", first.Traffic.Summary(), second.Traffic.Summary())
	}
	if third := try(test, 4, GuildPath, attempt); third.Trace() == first.Trace() {
		test.Fatal("two seeds gave one run")
	}
}
