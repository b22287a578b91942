package simulation

import (
	"fmt"
	"testing"
	"time"
)

func runScenario(t *testing.T, seed int64, shape Shape, scenario ControlScenario) {
	t.Helper()
	world, writers := RunControlScenario(seed, shape, scenario)
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		t.Log(world.Log)
	}
	t.Logf("seed %d: %d conflicting changes, %d retries, %d acknowledged; %v", seed, writers.Sent, writers.Resent,
		len(world.Check.outcomes.acknowledged), world.Check.WorstCases)
}

// runScenarios runs each scenario on each of the two deployments; WARDTRAY_SEEDS sets the number of seeds.
func runScenarios(t *testing.T, scenarios map[string]ControlScenario) {
	t.Helper()
	if underRace {
		t.Skip("not run under the race detector")
	}
	for _, name := range sorted(scenarios) {
		for index, shape := range []Shape{Guild, Ferries} {
			t.Run(fmt.Sprint(name, "/", len(shape.Zones), " zones"), func(t *testing.T) {
				t.Parallel()
				for number := range seedCount(t) {
					runScenario(t, int64(1+index+2*number), shape, scenarios[name])
				}
			})
		}
	}
}

func TestCutsOfTwentySeconds(t *testing.T) { runScenarios(t, PartitionScenarios) }

func TestDaemonsWithoutTheCore(t *testing.T) { runScenarios(t, IsolationScenarios) }

func TestRacesWithLostAnswers(t *testing.T) { runScenarios(t, LostAnswerScenarios) }

func TestHundredsOfChanges(t *testing.T) { runScenarios(t, ManyChangeScenarios) }

func TestMostDaemonsDark(t *testing.T) { runScenarios(t, DaemonLossScenarios) }

// Loses a second machine while a first one is being repaired, restarted as planned or replaced. The times of the second
// loss differ by steps of 100 ms. With one seed the steps are distributed over the first losses in FirstLossNames; with
// more seeds, each first loss is combined with all steps.
func TestSecondLossAtEveryMoment(t *testing.T) {
	if underRace {
		t.Skip("not run under the race detector")
	}
	const length, step = 8 * time.Second, 100 * time.Millisecond
	stride := 4
	if seedCount(t) > 1 {
		stride = 1
	}
	for index, first := range FirstLossNames() {
		for _, wiped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, wiped %v", first, wiped), func(t *testing.T) {
				t.Parallel()
				for number := index % stride; number < int(length/step); number += stride {
					runScenario(t, int64(1+number), Guild, SecondLossScenario(first, wiped, time.Duration(number)*step))
				}
			})
		}
	}
}
