package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func try(test *testing.T, seed int64, shape Shape, attempt Attempt) *World {
	test.Helper()
	trial := attempt.Trial(15 * time.Second)
	if underRace {
		trial.Length = 5 * time.Second
	}
	world := Try(seed, shape, trial)
	for _, line := range world.Check.Broken {
		test.Error(line)
	}
	if test.Failed() {
		test.Log(world.Log)
	}
	return world
}

// seedCount is how many seeds each attempt gets at each deployment; WARDTRAY_SEEDS asks for more than one.
func seedCount(test *testing.T) int {
	text := os.Getenv("WARDTRAY_SEEDS")
	if text == "" {
		return 1
	}
	count, failure := strconv.Atoi(text)
	if failure != nil || count < 1 {
		test.Fatalf("WARDTRAY_SEEDS=%q is no count", text)
	}
	return count
}

func TestRules(test *testing.T) {
	for name, attempt := range Attempts {
		if underRace && name != "run twice, sent again" && name != "not whole" {
			continue
		}
		for place, shape := range []Shape{GuildPath, FerriesPath} {
			test.Run(fmt.Sprint(name, ", ", shape.Mix.Pool), func(test *testing.T) {
				test.Parallel()
				for number := range seedCount(test) {
					test.Log(try(test, int64(place+1+2*number), shape, attempt).Traffic.Summary())
					if test.Failed() {
						return
					}
				}
			})
		}
	}
}

func TestSameSeedSamePath(test *testing.T) {
	if underRace {
		test.Skip("played without the race detector")
	}
	attempt := Attempt{Faults: append(RunnerFaultNames(), FaultNames()...)}
	first, second := try(test, 3, GuildPath, attempt), try(test, 3, GuildPath, attempt)
	if first.Trace() != second.Trace() || first.Traffic.Summary() != second.Traffic.Summary() {
		test.Fatalf("one seed gave two runs: %s; %s", first.Traffic.Summary(), second.Traffic.Summary())
	}
	if third := try(test, 4, GuildPath, attempt); third.Trace() == first.Trace() {
		test.Fatal("two seeds gave one run")
	}
}
