package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func runRuleScenario(t *testing.T, seed int64, shape Shape, rule RuleScenario) *World {
	t.Helper()
	scenario := rule.RequestScenario(15 * time.Second)
	if underRace {
		scenario.Length = 5 * time.Second
	}
	world := RunRequestScenario(seed, shape, scenario)
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		t.Log(world.Log)
	}
	return world
}

// seedCount returns the number of seeds for each rule scenario at each deployment: one, unless WARDTRAY_SEEDS is set.
func seedCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv("WARDTRAY_SEEDS")
	if text == "" {
		return 1
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 {
		t.Fatalf("WARDTRAY_SEEDS=%q is not a positive number", text)
	}
	return count
}

func TestRules(t *testing.T) {
	t.Parallel()
	for name, rule := range RuleScenarios {
		if underRace && name != "run twice, sent again" && name != "not whole" {
			continue
		}
		for index, shape := range []Shape{GuildPath, FerriesPath} {
			t.Run(fmt.Sprint(name, ", ", shape.Mix.Backend), func(t *testing.T) {
				t.Parallel()
				for number := range seedCount(t) {
					t.Log(runRuleScenario(t, int64(index+1+2*number), shape, rule).Traffic.Summary())
					if t.Failed() {
						return
					}
				}
			})
		}
	}
}

func TestSameSeedSamePath(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("not run under the race detector")
	}
	rule := RuleScenario{Faults: append(RunnerFaultNames(), FaultNames()...)}
	first, second := runRuleScenario(t, 3, GuildPath, rule), runRuleScenario(t, 3, GuildPath, rule)
	if first.Trace() != second.Trace() || first.Traffic.Summary() != second.Traffic.Summary() {
		t.Fatalf("one seed gave two different runs: %s; %s", first.Traffic.Summary(), second.Traffic.Summary())
	}
	if third := runRuleScenario(t, 4, GuildPath, rule); third.Trace() == first.Trace() {
		t.Fatal("two seeds gave the same run")
	}
}
