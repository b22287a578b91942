package simulation

import (
	"fmt"
	"testing"
	"time"
)

func playDay(t *testing.T, seed int64, shape Shape, day ControlDay) {
	t.Helper()
	world, racers := PlayControlDay(seed, shape, day)
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		t.Log(world.Log)
	}
	t.Logf("seed %d: %d orders in races, %d sent again, %d acknowledged; %v", seed, racers.Sent, racers.Resent,
		len(world.Check.outcomes.acknowledged), world.Check.WorstCases)
}

// playDays plays each day of a table on each of the deployments; WARDTRAY_SEEDS asks for more seeds.
func playDays(t *testing.T, days map[string]ControlDay) {
	t.Helper()
	if underRace {
		t.Skip("played without the race detector")
	}
	for _, name := range sorted(days) {
		for index, shape := range []Shape{Guild, Ferries} {
			t.Run(fmt.Sprint(name, "/", len(shape.Zones), " zones"), func(t *testing.T) {
				t.Parallel()
				for number := range seedCount(t) {
					playDay(t, int64(1+index+2*number), shape, days[name])
				}
			})
		}
	}
}

func TestCutsOfTwentySeconds(t *testing.T) { playDays(t, CutDays) }

func TestDaemonsWithoutTheCore(t *testing.T) { playDays(t, WithoutCoreDays) }

func TestRacesWithLostAnswers(t *testing.T) { playDays(t, RaceDays) }

func TestHundredsOfChanges(t *testing.T) { playDays(t, ManyChangeDays) }

func TestMostDaemonsDark(t *testing.T) { playDays(t, DarkDays) }

// A machine is lost at every moment of another one's repair, leave or replacement: in steps of 100 ms over all of them
// together, and over each of them where WARDTRAY_SEEDS asks for more than one.
func TestSecondLossAtEveryMoment(t *testing.T) {
	if underRace {
		t.Skip("played without the race detector")
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
					playDay(t, int64(1+number), Guild, SecondLossDay(first, wiped, time.Duration(number)*step))
				}
			})
		}
	}
}
