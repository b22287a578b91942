package simulation

import (
	"slices"
	"testing"
	"time"
)

func TestSecondLossIsOfAMachineThatCounts(t *testing.T) {
	world := NewWorld(1)
	t.Cleanup(world.Close)
	old, other, down := world.AddCore("old", "a"), world.AddCore("other", "b"), world.AddCore("down", "c")
	added := world.injector.addReplacement(old)
	for _, host := range []*Host{old, other, added} {
		host.up = true
	}
	tests := []struct {
		name string
		loss secondLoss
		want []*Host
	}{
		{"before the first is repaired", secondLoss{after: firstLossLength}, []*Host{other}},
		{"after the first is repaired", secondLoss{after: firstLossLength + catchUpTime}, []*Host{other, added}},
	}
	for _, test := range tests {
		if got := test.loss.candidates(world, old); !slices.Equal(got, test.want) || slices.Contains(got, down) {
			t.Errorf("%s: %d candidates, want %d", test.name, len(got), len(test.want))
		}
	}
}

func TestSecondLossOfADiskIsTooMuchUntilTheFirstIsRepaired(t *testing.T) {
	for _, test := range []struct {
		after time.Duration
		wiped bool
		want  bool
	}{
		{0, true, true},
		{0, false, false},
		{firstLossLength + catchUpTime - time.Millisecond, true, true},
		{firstLossLength + catchUpTime, true, false},
	} {
		if scenario := SecondLossScenario("repair", test.wiped, test.after); scenario.ExceedsTolerance != test.want {
			t.Errorf("after %v, wiped %v: exceeds the tolerance %v", test.after, test.wiped, scenario.ExceedsTolerance)
		}
	}
}
