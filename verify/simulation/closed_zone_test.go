package simulation

import (
	"testing"
	"time"

	"wardtray/verify/histories"
	"wardtray/wire"
)

// A zone that stays closed for longer than histories.ZoneBound gets no more requests, in a fleet without faults. The
// rule scenario "closed zone" closes a zone for that long only under some seeds.
func TestClosedZoneIsLeft(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("not run under the race detector")
	}
	for index, shape := range []Shape{GuildPath, FerriesPath} {
		t.Run(shape.Mix.Backend, func(t *testing.T) {
			t.Parallel()
			world := NewDeployment(int64(index+1), shape)
			defer world.Close()
			world.Run(8 * time.Second)
			newOperators(world, 500_000).apply(world.Cores()[0])
			world.Run(3 * time.Second)
			traffic := world.Traffic
			traffic.Rate = DefaultRequestScenario.Rate
			world.Run(2 * time.Second)
			closing := &wire.OperatorRequest{Verb: "close", Zone: traffic.History.Zones[0], Operation: "closing"}
			order := world.Check.Send(world.Cores()[0], closing)
			world.Run(time.Second)
			if order.Outcome != "accepted" {
				t.Fatalf("closing the zone: outcome %q", order.Outcome)
			}
			world.Run(histories.ZoneBound)
			runs := len(traffic.History.Runs)
			world.Run(2 * time.Second)
			for _, violation := range world.Check.Violations {
				t.Error(violation)
			}
			if len(traffic.History.Runs) == runs {
				t.Error("nothing ran in the zones that are open")
			}
		})
	}
}
