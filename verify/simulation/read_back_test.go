package simulation

import (
	"strings"
	"testing"
)

func TestReadBackReportsWhatACoreHasForgotten(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(outcomes *outcomes)
		want   string
	}{
		{"nothing", func(*outcomes) {}, ""},
		{"an acknowledged change", func(outcomes *outcomes) {
			outcomes.recordAccepted(&Order{Operation: "lost", Epoch: 1})
		}, "forgotten: a0:core has lost as epoch 0, which was acknowledged as 1"},
		{"the newest version", func(outcomes *outcomes) {
			outcomes.recordAccepted(&Order{Operation: "lost", Epoch: 1_000_000})
		}, "forgotten: read back at a0:core"},
		{"a refusal", func(outcomes *outcomes) {
			outcomes.recordRefusal(&Order{Operation: outcomes.acknowledged[0].Operation})
		}, "was refused and is in effect at a0:core"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := settledFleet(t)
			world.recovery.requireService()
			test.change(world.Check.outcomes)
			readBack(world)
			violations := strings.Join(world.Check.Violations, "; ")
			if (violations == "") != (test.want == "") || !strings.Contains(violations, test.want) {
				t.Errorf("violations %q, want %q", violations, test.want)
			}
		})
	}
}
